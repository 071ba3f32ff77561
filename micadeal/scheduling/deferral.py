"""Which pending jobs are deferred to a cheaper or cleaner hour: the scheduler's side of ``timing``.

A deferred job uses nothing and counts as no demand, as a job past its team's running limit does in
the design (4.7).  Instants here are of the monotonic clock, as in all decisions; windows are chosen
in UTC.  The two are related anew at each refresh, so a wall clock that is set takes effect at once.
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
from micadeal.sharing.shares import booked
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

#: How often windows are chosen anew.
REFRESH_INTERVAL = seconds(15)
#: A team below its guarantee for so long has nothing deferred; a boot and a fetch take less.
STARVATION_TIMEOUT = seconds(120)
#: Jobs whose windows are chosen at one time.
AT_ONCE = 300
#: Nothing is deferred to a window further ahead.
HORIZON = timedelta(hours=48)
#: Time to start beside boot and fetch: heartbeats, cycles, and a failover of the leader.
START_MARGIN = seconds(60)
MAX_DURATION = timedelta(days=7)
#: Estimates count no further than this, so that they stay representable.
MAX_ESTIMATE_S = 1e7
#: Instants further from now than this are cut, so that they stay representable in UTC.
MAX_OFFSET = timedelta(days=400)
#: A rest smaller than this is no further round of tasks, but rounding.
ROUND_TOLERANCE = 1e-9


class Deferral:
    """Defers flexible jobs during one leader's term."""

    def __init__(self, cluster: ClusterState, local: tzinfo, drift: timedelta) -> None:
        """``local``: time zone in which days repeat themselves; ``drift``: of the wall clocks."""
        self._cluster = cluster
        self._local = local
        #: How far apart the clocks of controllers and signal feeds may be.
        self._drift = drift
        self._signals: dict[tuple[str, Quantity], Signal] = {}
        self._errors = EstimateErrors()
        self._keepers: dict[str, HoldTracker] = {}
        #: The last refresh, on the monotonic clock (None: due at once) and in UTC.
        self._refreshed_at: timedelta | None = None
        self._refreshed_utc = datetime.min
        self._policy = Policy()
        self._teams: Mapping[str, Mapping[str, TeamState]] = {}
        #: Teams with demand below their guarantee, by (team, resource).
        self._starved_since: dict[tuple[str, str], timedelta] = {}
        #: What to multiply estimates with, by class that may be deferred.
        self._error_factors: dict[str, float] = {}
        #: Jobs whose windows are still to be chosen anew; taken from the end.
        self._queue: list[Job] = []
        cluster.completed_run_times = []

    def take(self, series: Series) -> None:
        """Take in new prices or carbon intensities of a zone."""
        key = (series.zone, series.quantity)
        signal = self._signals.setdefault(key, Signal(Profile(self._local)))
        signal.update(series)
        self._refreshed_at = None

    def learn(self, ends: Iterable[tuple[str, float]]) -> None:
        """Take in ended tasks: their class, and the time taken as a multiple of the estimate."""
        for job_class, ratio in ends:
            self._errors.record(job_class, ratio)

    # -- deciding --------------------------------------------------------------------------

    def refresh(
        self,
        policy: Policy,
        teams: Mapping[str, Mapping[str, TeamState]],
        waits: frozenset[str],
        now: timedelta,
        utc_now: datetime,
    ) -> None:
        """Choose windows anew, every ``REFRESH_INTERVAL`` and some jobs at a time.

        In between ``held`` decides on jobs that have come since.

        ``teams``: of the last cycle, by resource.  ``waits``: classes with a waiting-time
        objective, which are never deferred.
        """
        due = self._refreshed_at is None or (
            not self._queue and now - self._refreshed_at >= REFRESH_INTERVAL
        )
        if due:
            self._refreshed_at, self._refreshed_utc = now, utc_now
            self._policy, self._teams = policy, teams
            self._begin_refresh(waits)
        # Guards against a leader that answers nobody for a second: 10,000 jobs take that long.
        for _ in range(min(len(self._queue), AT_ONCE)):
            job = self._queue.pop()
            keeper = self._keepers.get(job.spec.job_class)
            if keeper is not None and _deferrable(job):
                keeper.decide(self._work(job), utc_now)

    def _begin_refresh(self, waits: frozenset[str]) -> None:
        policy, utc_now = self._policy, self._refreshed_utc
        self._update_starved()
        self.learn(self._cluster.completed_run_times or ())
        self._cluster.completed_run_times = []
        factors = {name: self._errors.factor(name) for name in policy.flexible if name not in waits}
        self._error_factors = {name: f for name, f in factors.items() if f is not None}
        by_class = self._deferrable_by_class()
        all_jobs = [job for jobs in by_class.values() for job in jobs]
        shares = {_pool(job): _share(job, self._teams) for job in all_jobs}
        pools = PoolCapacities(
            {name: share for name, share in shares.items() if math.isfinite(share)}
        )
        self._keepers = {name: self._keepers.get(name) or HoldTracker() for name in by_class}
        for name, jobs in by_class.items():
            curve = cost_curve(self._weighted(policy.flexible[name]), utc_now, utc_now + HORIZON)
            self._keepers[name].begin_round({job.id for job in jobs}, curve, utc_now, pools)
        # Reversed, since it is taken from the end: the least time left comes first.
        self._queue = sorted(all_jobs, key=lambda job: (job.latest, job.id), reverse=True)

    def _deferrable_by_class(self) -> dict[str, list[Job]]:
        by_class: dict[str, list[Job]] = {name: [] for name in self._error_factors}
        for job in self._cluster.live_jobs():
            jobs = by_class.get(job.spec.job_class)
            if jobs is not None and _deferrable(job) and not self._is_starved(job):
                jobs.append(job)
        return by_class

    def _update_starved(self) -> None:
        """Note which teams have demand below their guarantee, and since when."""
        assert self._refreshed_at is not None
        usage = self._cluster.usage()
        starved = {
            (name, resource)
            for resource, states in self._teams.items()
            for name, state in states.items()
            if booked(usage[name], resource) < min(state.minimum, state.demand) - EPSILON
        }
        self._starved_since = {
            team: self._starved_since.get(team, self._refreshed_at) for team in starved
        }

    def _is_starved(self, job: Job) -> bool:
        since = self._starved_since.get((job.spec.team, job.resource))
        if since is None or self._refreshed_at is None:
            return False
        return self._refreshed_at - since >= STARVATION_TIMEOUT

    def _weighted(self, settings: Flexible) -> list[tuple[Signal, float]]:
        """Return the signals with their weights; empty if one that counts is missing.

        All zones count alike: where a job will run is not known before it is placed.
        """
        weights = {Quantity.PRICE: settings.money, Quantity.CARBON: settings.carbon}
        weighted: list[tuple[Signal, float]] = []
        for quantity, weight in weights.items():
            signals = [s for (_, kind), s in self._signals.items() if kind is quantity]
            if weight and not signals:
                return []
            weighted += [(signal, weight / len(signals)) for signal in signals]
        return weighted

    def _work(self, job: Job) -> DeferrableJob:
        """Describe the job to the choice of windows."""
        spec = job.spec
        assert job.latest is not None
        share = _share(job, self._teams)
        units = spec.tasks * job.units
        parallel = units if job.is_gang else min(units, max(share, job.units))
        rounds = math.ceil(units / parallel - ROUND_TOLERANCE)
        estimate = seconds(min(spec.estimate_s, MAX_ESTIMATE_S)) * rounds
        latest = latest_safe_start(
            self._to_utc(job.ready),
            self._to_utc(job.latest),
            estimate,
            self._error_factors[spec.job_class],
            self._start_overhead(spec),
            self._policy.flexible[spec.job_class].slack,
        )
        duration = min(estimate, MAX_DURATION)
        # Full slots: jobs of like length share their list of windows.
        rounded = SLOT * math.ceil(max(duration / SLOT, 1.0))
        horizon = self._refreshed_utc + HORIZON
        return DeferrableJob(job.id, parallel, rounded, min(latest, horizon), _pool(job))

    def _start_overhead(self, spec: Submission) -> timedelta:
        """Return how long a start may take: boot, image fetch, and margins."""
        kinds = [kind for kind in self._cluster.types.values() if kind.fetch_gb_per_s > 0]
        boot = max((kind.boot_s for kind in kinds), default=0.0)
        fetch = max((spec.image_gb / kind.fetch_gb_per_s for kind in kinds), default=0.0)
        return seconds(boot + fetch) + START_MARGIN + self._drift

    def _to_utc(self, monotonic: timedelta) -> datetime:
        assert self._refreshed_at is not None
        offset = min(max(monotonic - self._refreshed_at, -MAX_OFFSET), MAX_OFFSET)
        return self._refreshed_utc + offset

    # -- queries ---------------------------------------------------------------------------

    def queued_since(self, job: Job) -> timedelta | None:
        """Return from when a flexible job counts in its team's queue; None: as any other job.

        It can wait until its latest safe start, deferred or not, so it goes behind what can't.
        """
        keeper = self._keepers.get(job.spec.job_class)
        latest = None if keeper is None else keeper.latest.get(job.id)
        if latest is None or self._refreshed_at is None:
            return None
        return self._refreshed_at + (latest - self._refreshed_utc)

    def held(self, job: Job, now: timedelta) -> Hold | None:
        """Return until when and why the job is deferred, or None."""
        keeper = self._keepers.get(job.spec.job_class)
        if keeper is None or self._refreshed_at is None:
            return None
        if not keeper.is_decided(job.id) and _deferrable(job) and not self._is_starved(job):
            # It arrived, or its dependencies were done, after windows were chosen.
            keeper.decide(self._work(job), self._to_utc(now))
        return keeper.active_hold(job.id, self._to_utc(now))


def _deferrable(job: Job) -> bool:
    """Return whether the job has a deadline, is not urgent, and has nothing started."""
    return (
        job.latest is not None
        and not job.is_service
        and not job.production
        and not job.attempts
        and not job.finished
        and job.waiting_count() > 0
    )


def _pool(job: Job) -> str:
    """Return the name of the capacity that the job shares with others of its team."""
    return f"{job.spec.team} {job.resource}"


def _share(job: Job, teams: Mapping[str, Mapping[str, TeamState]]) -> float:
    """Return what deferred work of the team may count on: its guarantee, or else its share."""
    state = teams.get(job.resource, {}).get(job.spec.team)
    if state is None:
        return math.inf
    amount = state.minimum or state.share
    return max(amount, job.units) if amount > 0 else math.inf
