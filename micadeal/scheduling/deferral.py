"""Deferral of flexible jobs to a cheaper or lower-carbon hour: the scheduler's side of ``timing``.

A deferred job uses no capacity and does not count as demand.  The design (4.7) treats a job past
its team's running limit the same way.  Instants here are of the monotonic clock, as in all
scheduling decisions; windows are chosen in UTC.  Each refresh reads both clocks again, so a change
of the wall clock takes effect at the next refresh.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta, tzinfo

from micadeal.clock import seconds
from micadeal.jobs.model import Job
from micadeal.operator.policy import Flexible, Policy
from micadeal.placement.machine_capacity import EPSILON
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.plan import TeamState
from micadeal.sharing.shares import resource_amount
from micadeal.timing.estimate_errors import EstimateErrors
from micadeal.timing.series import Quantity, Series
from micadeal.timing.shift import (
    DeferrableJob,
    Hold,
    HoldTracker,
    PoolCapacities,
    latest_safe_start,
)
from micadeal.timing.signal import SLOT, Profile, Signal, cost_curve
from micadeal.wire.users import Submission

#: Interval at which windows are chosen again.
REFRESH_INTERVAL = seconds(15)
#: Jobs of a team that has been below its guarantee for this long are not deferred.  A boot and an
#: image fetch take less time.
STARVATION_TIMEOUT = seconds(120)
#: Maximum number of jobs whose windows are chosen in one call of ``refresh``.
MAX_JOBS_PER_REFRESH = 300
#: Jobs are not deferred to windows further in the future than this.
HORIZON = timedelta(hours=48)
#: Start time in addition to boot and fetch: heartbeats, scheduling cycles and a leader failover.
START_MARGIN = seconds(60)
MAX_DURATION = timedelta(days=7)
#: Estimates are capped at this value, so that they stay representable as ``timedelta``.
MAX_ESTIMATE_S = 1e7
#: Offsets from the last refresh are clamped to this, so that instants stay representable in UTC.
MAX_OFFSET = timedelta(days=400)
#: A fraction of a round of tasks that is smaller than this is a rounding error, not another round.
ROUND_TOLERANCE = 1e-9


class Deferral:
    """Decides which flexible jobs are deferred, during one leader's term."""

    def __init__(self, cluster: ClusterState, local: tzinfo, drift: timedelta) -> None:
        """Set up deferral without any signals.

        ``local``: time zone of the daily pattern of prices and carbon intensities.  ``drift``:
        largest difference between the wall clocks of controllers and signal feeds.
        """
        self._cluster = cluster
        self._local = local
        self._drift = drift
        self._signals: dict[tuple[str, Quantity], Signal] = {}
        self._estimate_errors = EstimateErrors()
        self._hold_trackers: dict[str, HoldTracker] = {}
        #: Time of the last refresh, on the monotonic clock (None: a refresh is due) and in UTC.
        self._refreshed_at: timedelta | None = None
        self._refreshed_utc = datetime.min
        self._policy = Policy()
        self._teams: Mapping[str, Mapping[str, TeamState]] = {}
        #: Since when teams with unmet demand are below their guarantee, by (team, resource).
        self._starved_since: dict[tuple[str, str], timedelta] = {}
        #: Factors for the estimates of running time, by class that may be deferred.
        self._error_factors: dict[str, float] = {}
        #: Jobs whose windows are still to be chosen in this refresh; taken from the end.
        self._queue: list[Job] = []
        cluster.completed_run_times = []

    def add_series(self, series: Series) -> None:
        """Add new prices or carbon intensities of a zone."""
        key = (series.zone, series.quantity)
        signal = self._signals.setdefault(key, Signal(Profile(self._local)))
        signal.add_series(series)
        self._refreshed_at = None

    def record_run_times(self, ended_tasks: Iterable[tuple[str, float]]) -> None:
        """Record ended tasks: their class, and the ratio of running time to estimate."""
        for job_class, ratio in ended_tasks:
            self._estimate_errors.record(job_class, ratio)

    # -- deciding --------------------------------------------------------------------------

    def refresh(
        self,
        policy: Policy,
        teams: Mapping[str, Mapping[str, TeamState]],
        urgent_classes: frozenset[str],
        now: timedelta,
        utc_now: datetime,
    ) -> None:
        """Choose windows for flexible jobs again, every ``REFRESH_INTERVAL``.

        Each call decides on a limited number of jobs.  ``active_hold`` decides on jobs that arrive
        in between.

        ``teams``: team states of the last cycle, by resource.  ``urgent_classes``: classes with a
        waiting-time objective, which are never deferred.
        """
        due = self._refreshed_at is None or (
            not self._queue and now - self._refreshed_at >= REFRESH_INTERVAL
        )
        if due:
            self._refreshed_at, self._refreshed_utc = now, utc_now
            self._policy, self._teams = policy, teams
            self._begin_refresh(urgent_classes)
        # Guards against a leader that answers no request for a second: choosing windows for 10,000
        # jobs takes that long.
        for _ in range(min(len(self._queue), MAX_JOBS_PER_REFRESH)):
            job = self._queue.pop()
            tracker = self._hold_trackers.get(job.spec.job_class)
            if tracker is not None and _is_deferrable(job):
                tracker.decide(self._to_deferrable_job(job), utc_now)

    def _begin_refresh(self, urgent_classes: frozenset[str]) -> None:
        policy, utc_now = self._policy, self._refreshed_utc
        self._update_starved()
        self.record_run_times(self._cluster.completed_run_times or ())
        self._cluster.completed_run_times = []
        factors = {
            name: self._estimate_errors.factor(name)
            for name in policy.flexible
            if name not in urgent_classes
        }
        self._error_factors = {name: f for name, f in factors.items() if f is not None}
        by_class = self._deferrable_by_class()
        all_jobs = [job for jobs in by_class.values() for job in jobs]
        units_by_pool = {_pool_name(job): _available_units(job, self._teams) for job in all_jobs}
        pools = PoolCapacities(
            {
                name: available
                for name, available in units_by_pool.items()
                if math.isfinite(available)
            }
        )
        self._hold_trackers = {
            name: self._hold_trackers.get(name) or HoldTracker() for name in by_class
        }
        for name, jobs in by_class.items():
            curve = cost_curve(
                self._weighted_signals(policy.flexible[name]), utc_now, utc_now + HORIZON
            )
            self._hold_trackers[name].begin_round({job.id for job in jobs}, curve, utc_now, pools)
        # Reversed, because jobs are taken from the end: the one that must finish first comes first.
        self._queue = sorted(all_jobs, key=lambda job: (job.latest, job.id), reverse=True)

    def _deferrable_by_class(self) -> dict[str, list[Job]]:
        by_class: dict[str, list[Job]] = {name: [] for name in self._error_factors}
        for job in self._cluster.live_jobs():
            jobs = by_class.get(job.spec.job_class)
            if jobs is not None and _is_deferrable(job) and not self._is_starved(job):
                jobs.append(job)
        return by_class

    def _update_starved(self) -> None:
        """Record which teams with unmet demand are below their guarantee, and since when."""
        assert self._refreshed_at is not None
        usage = self._cluster.usage()
        starved = {
            (name, resource)
            for resource, states in self._teams.items()
            for name, state in states.items()
            if resource_amount(usage[name], resource) < min(state.guarantee, state.demand) - EPSILON
        }
        self._starved_since = {
            team: self._starved_since.get(team, self._refreshed_at) for team in starved
        }

    def _is_starved(self, job: Job) -> bool:
        since = self._starved_since.get((job.spec.team, job.resource))
        if since is None or self._refreshed_at is None:
            return False
        return self._refreshed_at - since >= STARVATION_TIMEOUT

    def _weighted_signals(self, settings: Flexible) -> list[tuple[Signal, float]]:
        """Return the signals with their weights; empty if a signal with a weight is missing.

        All zones have the same weight: the zone of a job is not known before it is placed.
        """
        weights = {Quantity.PRICE: settings.money, Quantity.CARBON: settings.carbon}
        weighted: list[tuple[Signal, float]] = []
        for quantity, weight in weights.items():
            signals = [s for (_, kind), s in self._signals.items() if kind is quantity]
            if weight and not signals:
                return []
            weighted += [(signal, weight / len(signals)) for signal in signals]
        return weighted

    def _to_deferrable_job(self, job: Job) -> DeferrableJob:
        """Return the description of a job by which its window is chosen."""
        spec = job.spec
        assert job.latest is not None
        available = _available_units(job, self._teams)
        units = spec.tasks * job.units
        parallel_units = units if job.is_gang else min(units, max(available, job.units))
        task_rounds = math.ceil(units / parallel_units - ROUND_TOLERANCE)
        estimate = seconds(min(spec.estimate_s, MAX_ESTIMATE_S)) * task_rounds
        latest = latest_safe_start(
            self._to_utc(job.ready_at),
            self._to_utc(job.latest),
            estimate,
            self._error_factors[spec.job_class],
            self._start_overhead(spec),
            self._policy.flexible[spec.job_class].slack,
        )
        duration = min(estimate, MAX_DURATION)
        # Rounded up to full slots, so that jobs of similar length share a list of windows.
        rounded_duration = SLOT * math.ceil(max(duration / SLOT, 1.0))
        horizon = self._refreshed_utc + HORIZON
        return DeferrableJob(
            job.id, parallel_units, rounded_duration, min(latest, horizon), _pool_name(job)
        )

    def _start_overhead(self, spec: Submission) -> timedelta:
        """Return how long a start may take: boot, image fetch and margins."""
        kinds = [kind for kind in self._cluster.types.values() if kind.fetch_gb_per_s > 0]
        boot = max((kind.boot_s for kind in kinds), default=0.0)
        fetch = max((spec.image_gb / kind.fetch_gb_per_s for kind in kinds), default=0.0)
        return seconds(boot + fetch) + START_MARGIN + self._drift

    def _to_utc(self, monotonic: timedelta) -> datetime:
        assert self._refreshed_at is not None
        offset = min(max(monotonic - self._refreshed_at, -MAX_OFFSET), MAX_OFFSET)
        return self._refreshed_utc + offset

    # -- queries ---------------------------------------------------------------------------

    def queue_time(self, job: Job) -> timedelta | None:
        """Return the instant by which a flexible job is ordered in its team's queue.

        This is its latest safe start, whether it is deferred or not: a job that can wait goes
        behind jobs that can't.  None: the job is ordered as any other job.
        """
        tracker = self._hold_trackers.get(job.spec.job_class)
        latest = None if tracker is None else tracker.latest.get(job.id)
        if latest is None or self._refreshed_at is None:
            return None
        return self._refreshed_at + (latest - self._refreshed_utc)

    def active_hold(self, job: Job, now: timedelta) -> Hold | None:
        """Return the hold by which the job is deferred, or None."""
        tracker = self._hold_trackers.get(job.spec.job_class)
        if tracker is None or self._refreshed_at is None:
            return None
        if not tracker.is_decided(job.id) and _is_deferrable(job) and not self._is_starved(job):
            # It arrived, or its dependencies completed, after windows were chosen.
            tracker.decide(self._to_deferrable_job(job), self._to_utc(now))
        return tracker.active_hold(job.id, self._to_utc(now))


def _is_deferrable(job: Job) -> bool:
    """Return whether the job has a deadline and only pending tasks.

    Services and production jobs are never deferred.
    """
    return (
        job.latest is not None
        and not job.is_service
        and not job.production
        and not job.attempts
        and not job.finished
        and job.waiting_count() > 0
    )


def _pool_name(job: Job) -> str:
    """Return the name of the capacity pool that the job shares with other jobs of its team."""
    return f"{job.spec.team} {job.resource}"


def _available_units(job: Job, teams: Mapping[str, Mapping[str, TeamState]]) -> float:
    """Return the units available to deferred jobs of the team: its guarantee, or else its share."""
    state = teams.get(job.resource, {}).get(job.spec.team)
    if state is None:
        return math.inf
    amount = state.guarantee or state.share
    return max(amount, job.units) if amount > 0 else math.inf
