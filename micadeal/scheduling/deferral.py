"""Which waiting jobs are held for a better hour: the scheduler's side of ``timing``.

A held job holds nothing and counts as no demand, as a job past its team's running limit does in the
source (4.7).  Instants here are of the steady clock, as in all decisions; windows are chosen in
UTC, and the two are tied together anew at each refresh, so a wall clock that is set counts at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta, tzinfo

from micadeal.clock import seconds
from micadeal.jobs.model import Job
from micadeal.operator.policy import Flexible, Policy
from micadeal.placement.bin_packing import EPSILON
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.plan import TeamState
from micadeal.sharing.shares import booked
from micadeal.timing.estimate_errors import EstimateErrors
from micadeal.timing.series import Quantity, Series
from micadeal.timing.shift import Hold, Keeper, Pools, Work, latest_safe_start
from micadeal.timing.signal import SLOT, Profile, Signal, cost_curve

#: How often windows are chosen anew.
REFRESH = seconds(15)
#: A team below its guarantee for so long has nothing held; shorter than that is a boot and a fetch.
SHORT_PATIENCE = seconds(120)
#: Jobs whose windows are chosen at one time.
AT_ONCE = 300
#: Nothing is held for a window further ahead.
HORIZON = timedelta(hours=48)
#: Beside boot and fetch: reports, passes, and a change of leader on the way.
START_MARGIN = seconds(60)
MOST_DURATION = timedelta(days=7)


class Deferral:
    """One term's holds.  ``local``: the zone of the clock by which days repeat themselves."""

    def __init__(self, cluster: ClusterState, local: tzinfo, drift: timedelta) -> None:
        self._cluster = cluster
        self._local = local
        #: How far apart clocks of controllers and feeds may be.
        self._drift = drift
        self._signals: dict[tuple[str, Quantity], Signal] = {}
        self._errors = EstimateErrors()
        self._keepers: dict[str, Keeper] = {}
        self._at: timedelta | None = None
        self._wall = datetime.min
        self._policy = Policy()
        self._teams: Mapping[str, Mapping[str, TeamState]] = {}
        #: Teams that wait for room below their guarantee, by resource.
        self._short_since: dict[tuple[str, str], timedelta] = {}
        #: Of classes that may be held: what to multiply their estimates with.
        self._factors: dict[str, float] = {}
        #: Jobs whose windows are still to be chosen anew.
        self._queue: list[Job] = []
        cluster.ends = []

    def take(self, series: Series) -> None:
        key = (series.zone, series.quantity)
        signal = self._signals.setdefault(key, Signal(Profile(self._local)))
        signal.take(series)
        self._at = None

    def learn(self, ends: Iterable[tuple[str, float]]) -> None:
        """Tasks that ended: their class, and the time taken as a multiple of the estimate."""
        for job_class, ratio in ends:
            self._errors.ended(job_class, ratio)

    # -- deciding --------------------------------------------------------------------------

    def refresh(
        self,
        policy: Policy,
        teams: Mapping[str, Mapping[str, TeamState]],
        waits: frozenset[str],
        now: timedelta,
        utc_now: datetime,
    ) -> None:
        """Choose windows anew, every so often and some jobs at a time; in between ``held`` decides
        on what has come.

        ``teams``: of the last pass, by resource.  ``waits``: classes that somebody waits for.
        """
        if self._at is None or (not self._queue and now - self._at >= REFRESH):
            self._at, self._wall = now, utc_now
            self._policy, self._teams = policy, teams
            self._begin(waits)
        # Guards against a leader that answers nobody for a second: 10,000 jobs take that long.
        for _ in range(min(len(self._queue), AT_ONCE)):
            job = self._queue.pop()
            keeper = self._keepers.get(job.spec.job_class)
            if keeper is not None and _may_wait(job):
                keeper.consider(self._work(job), utc_now)

    def _begin(self, waits: frozenset[str]) -> None:
        policy, utc_now = self._policy, self._wall
        self._note_short()
        self.learn(self._cluster.ends or ())
        self._cluster.ends = []
        found = {name: self._errors.factor(name) for name in policy.flexible if name not in waits}
        self._factors = {name: error for name, error in found.items() if error is not None}
        by_class: dict[str, list[Job]] = {name: [] for name in self._factors}
        for job in self._cluster.live_jobs():
            jobs = by_class.get(job.spec.job_class)
            if jobs is not None and _may_wait(job) and not self._is_short(job):
                jobs.append(job)
        everyone = [job for jobs in by_class.values() for job in jobs]
        shares = {_pool(job): _share(job, self._teams) for job in everyone}
        pools = Pools({name: share for name, share in shares.items() if math.isfinite(share)})
        self._keepers = {name: self._keepers.get(name) or Keeper() for name in by_class}
        for name, jobs in by_class.items():
            curve = cost_curve(self._weighted(policy.flexible[name]), utc_now, utc_now + HORIZON)
            self._keepers[name].begin({job.id for job in jobs}, curve, utc_now, pools)
        # Taken from the end: the least time comes first.
        self._queue = sorted(everyone, key=lambda job: (job.latest, job.id), reverse=True)

    def _note_short(self) -> None:
        """Which teams wait for room below their guarantee, and since when."""
        assert self._at is not None
        usage = self._cluster.usage()
        short = {
            (name, resource)
            for resource, states in self._teams.items()
            for name, state in states.items()
            if booked(usage[name], resource) < min(state.minimum, state.demand) - EPSILON
        }
        self._short_since = {team: self._short_since.get(team, self._at) for team in short}

    def _is_short(self, job: Job) -> bool:
        since = self._short_since.get((job.spec.team, job.resource))
        return since is not None and self._at is not None and self._at - since >= SHORT_PATIENCE

    def _weighted(self, word: Flexible) -> list[tuple[Signal, float]]:
        """All zones count alike: where a job will run is not known before it is placed."""
        weights = {Quantity.PRICE: word.money, Quantity.CARBON: word.carbon}
        found: list[tuple[Signal, float]] = []
        for quantity, weight in weights.items():
            signals = [s for (_, kind), s in self._signals.items() if kind is quantity]
            if weight and not signals:
                return []
            found += [(signal, weight / len(signals)) for signal in signals]
        return found

    def _work(self, job: Job) -> Work:
        spec = job.spec
        word = self._policy.flexible[spec.job_class]
        error = self._factors[spec.job_class]
        assert job.latest is not None
        share = _share(job, self._teams)
        units = spec.tasks * job.units
        parallel = units if job.is_gang else min(units, max(share, job.units))
        rounds = math.ceil(units / parallel - 1e-9)
        estimate = seconds(min(spec.estimate_s, 1e7)) * rounds
        kinds = [k for k in self._cluster.types.values() if k.fetch_gb_per_s > 0]
        boot = max((k.boot_s for k in kinds), default=0.0)
        fetch = max((spec.image_gb / k.fetch_gb_per_s for k in kinds), default=0.0)
        overhead = seconds(boot + fetch) + START_MARGIN + self._drift
        latest = latest_safe_start(
            self._instant(job.ready),
            self._instant(job.latest),
            estimate,
            error,
            overhead,
            word.slack,
        )
        duration = min(estimate, MOST_DURATION)
        # Full slots: jobs of like length share their list of windows.
        rounded = SLOT * math.ceil(max(duration / SLOT, 1.0))
        return Work(job.id, parallel, rounded, min(latest, self._wall + HORIZON), _pool(job))

    def _instant(self, monotonic: timedelta) -> datetime:
        assert self._at is not None
        ahead = min(max(monotonic - self._at, -timedelta(days=400)), timedelta(days=400))
        return self._wall + ahead

    def place(self, job: Job) -> timedelta | None:
        """From when a flexible job counts in its team's order; None: as any other.

        It can wait until its latest safe start, held or not, so it goes behind what can't.
        """
        keeper = self._keepers.get(job.spec.job_class)
        latest = None if keeper is None else keeper.latest.get(job.id)
        if latest is None or self._at is None:
            return None
        return self._at + (latest - self._wall)

    # -- asking ----------------------------------------------------------------------------

    def held(self, job: Job, now: timedelta) -> Hold | None:
        keeper = self._keepers.get(job.spec.job_class)
        if keeper is None or self._at is None:
            return None
        if not keeper.decided(job.id) and _may_wait(job) and not self._is_short(job):
            # It has come, or need not wait for others any more, since windows were chosen.
            keeper.consider(self._work(job), self._instant(now))
        return keeper.held(job.id, self._instant(now))


def _may_wait(job: Job) -> bool:
    """Nothing of it has begun, it has a deadline, and nobody waits for it as it is."""
    return (
        job.latest is not None
        and not job.is_service
        and not job.production
        and not job.attempts
        and not job.finished
        and job.waiting_count() > 0
    )


def _pool(job: Job) -> str:
    return f"{job.spec.team} {job.resource}"


def _share(job: Job, teams: Mapping[str, Mapping[str, TeamState]]) -> float:
    """What held work of its team may count on: its guarantee, or else its share."""
    state = teams.get(job.resource, {}).get(job.spec.team)
    if state is None:
        return math.inf
    capacity = state.minimum or state.share
    return max(capacity, job.units) if capacity > 0 else math.inf
