"""Chooses start times of deferrable jobs: the cheapest safe window with free capacity.

A hold is an upper bound of the start: if its window becomes more expensive, uncertain or full, the
job is released earlier.  ``HoldTracker`` remembers the last chosen windows and the released jobs,
so that an alternating forecast does not move jobs back and forth.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from micadeal.clock import ZERO
from micadeal.timing.cost_curve import CostCurve

#: Least additional saving for which a chosen window is replaced, as a share of the cost of starting
#: now.
SWITCH_SHARE = 0.05
#: Least saving for which a job is held, as a share of the cost of starting now; a smaller one is
#: not worth the risk.
MIN_SAVING = 0.02
#: Costs are rounded to this many decimal places, so that every leader chooses the first of several
#: windows with equal costs.
COST_DIGITS = 9


@dataclass(frozen=True, slots=True)
class DeferrableJob:
    """A job that may be held."""

    job_id: str
    #: Capacity that it uses while it runs, in the units of its pool.
    units: float
    #: Expected run time of the whole job.
    duration: timedelta
    #: Latest safe start; no hold lasts longer.
    latest: datetime
    #: Name of the pool whose capacity it uses.
    pool: str = ""


class PoolCapacities:
    """Capacity that deferrable jobs may use at a time, by pool; pools not named are unlimited.

    A slot is the index of a piece of the cost curves.
    """

    __slots__ = ("_capacity", "_used")

    def __init__(self, capacity: Mapping[str, float]) -> None:
        self._capacity = capacity
        self._used: dict[tuple[str, int], float] = {}

    def reserve(self, job: DeferrableJob, slots: range) -> None:
        """Add a job's units to the used capacity of the slots."""
        for slot in slots:
            key = (job.pool, slot)
            self._used[key] = self._used.get(key, 0.0) + job.units

    def fits(self, job: DeferrableJob, slots: range) -> bool:
        """Tell whether a job's units are free during all of the slots."""
        capacity = self._capacity.get(job.pool)
        if capacity is None:
            return True
        max_used = capacity - job.units
        return all(self._used.get((job.pool, slot), 0.0) <= max_used for slot in slots)


@dataclass(frozen=True, slots=True)
class Hold:
    """A decision to hold a job."""

    #: Planned start.
    until: datetime
    #: Latest safe start.
    latest: datetime
    #: Expected saving, as a share of the cost of starting now; 1 if that cost is zero or negative.
    saving: float


def latest_safe_start(
    ready: datetime,
    deadline: datetime,
    estimate: timedelta,
    error_factor: float,
    overhead: timedelta,
    slack: float,
) -> datetime:
    """Return the latest start that meets the deadline at ``error_factor`` times the estimate.

    ``overhead`` covers machine boot, image fetch, the queue ahead, and the bound on clock
    differences.  Only the share ``slack`` of the remaining time is used.
    """
    safe = deadline - estimate * max(error_factor, 1.0) - overhead
    return ready + max(safe - ready, ZERO) * min(max(slack, 0.0), 1.0)


class _Candidate(NamedTuple):
    """A possible start; sorts by cost, then by time."""

    cost: float
    start: datetime


class _Choice(NamedTuple):
    """The cheapest start and its cost; None and the bound if no start costs less than that."""

    cost: float
    start: datetime | None


class Planner:
    """Chooses windows on one cost curve for one job at a time, and takes their capacity.

    Planners whose curves begin with the same slots may share ``pools``.  No window extends beyond
    the end of the curve, since costs are unknown there.
    """

    def __init__(self, curve: CostCurve, now: datetime, pools: PoolCapacities) -> None:
        self._curve = curve
        self._now = now
        self._pools = pools
        #: Possible starts by duration, cheapest first; many jobs have the same duration.
        self._candidates: dict[timedelta, list[_Candidate]] = {}

    def choose(self, job: DeferrableJob, previous: Hold | None) -> Hold | None:
        """Return the hold for a job, or None to start it now; its capacity is taken either way."""
        cost_known = self._now + job.duration <= self._curve.end
        start = self._best_start(job, previous) if cost_known and job.latest > self._now else None
        self._pools.reserve(job, self._slots(job, self._now if start is None else start))
        if start is None:
            return None
        return Hold(start, job.latest, self._saving(job, start))

    def _slots(self, job: DeferrableJob, start: datetime) -> range:
        return range(self._curve.index(start), self._curve.index(start + job.duration) + 1)

    def _saving(self, job: DeferrableJob, start: datetime) -> float:
        cost_now = self._curve.cost(self._now, job.duration)
        if cost_now <= 0:
            return 1.0
        return (cost_now - self._curve.cost(start, job.duration)) / cost_now

    def _candidates_for(self, duration: timedelta) -> list[_Candidate]:
        """Return the starts that may have the least cost: the window begins or ends at an edge."""
        candidates = self._candidates.get(duration)
        if candidates is None:
            starts = {start for edge in self._curve.edges for start in (edge, edge - duration)}
            candidates = self._candidates[duration] = sorted(
                _Candidate(round(self._curve.cost(start, duration), COST_DIGITS), start)
                for start in starts
                if start > self._now and start + duration <= self._curve.end
            )
        return candidates

    def _best_start(self, job: DeferrableJob, previous: Hold | None) -> datetime | None:
        cost_now = self._curve.cost(self._now, job.duration)
        scale = abs(cost_now) or 1.0
        best = self._cheapest(job, cost_now - MIN_SAVING * scale)
        if previous is None or not self._now < previous.until <= job.latest:
            return best.start
        # Guards against a forecast that alternates with each refresh: the previous window is kept
        # unless another one is clearly cheaper or starting now costs no more.
        previous_cost = self._curve.cost(previous.until, job.duration)
        if previous_cost >= cost_now or not self._is_open(job, previous.until):
            return best.start
        keep = best.start is None or previous_cost - best.cost <= SWITCH_SHARE * scale
        return previous.until if keep else best.start

    def _cheapest(self, job: DeferrableJob, bound: float) -> _Choice:
        """Return the cheapest safe start with free capacity that costs less than ``bound``."""
        best = _Choice(bound, None)
        for candidate in self._candidates_for(job.duration):
            if candidate.cost >= bound:
                break
            if candidate.start <= job.latest and self._is_open(job, candidate.start):
                best = _Choice(candidate.cost, candidate.start)
                break
        cost_at_latest = self._curve.cost(job.latest, job.duration)
        if cost_at_latest < best.cost and self._is_open(job, job.latest):
            return _Choice(cost_at_latest, job.latest)
        return best

    def _is_open(self, job: DeferrableJob, start: datetime) -> bool:
        """Tell whether the costs of a window are known and its capacity is free."""
        cost_known = start + job.duration <= self._curve.end
        return cost_known and self._pools.fits(job, self._slots(job, start))


class HoldTracker:
    """The holds of one leader's term.  A released job is not held again.

    A new leader decides again from the same records and series.  Its holds have the same latest
    starts, so a change of leader holds no job longer.
    """

    def __init__(self) -> None:
        #: By job id.
        self.holds: dict[str, Hold] = {}
        #: Latest safe starts of all jobs decided on, held or not, by job id.
        self.latest: dict[str, datetime] = {}
        self._released: set[str] = set()
        self._planner: Planner | None = None

    def begin_round(
        self,
        job_ids: Collection[str],
        curve: CostCurve | None,
        now: datetime,
        pools: PoolCapacities,
    ) -> None:
        """Start a new round of decisions, which ``decide`` makes for one job at a time.

        A job keeps its hold until it is decided on.  Jobs not in ``job_ids`` are forgotten.
        ``curve`` begins now; None: no cost is known, and all held jobs are released.
        """
        self._released |= {job_id for job_id, hold in self.holds.items() if hold.until <= now}
        self._planner = None if curve is None else Planner(curve, now, pools)
        if curve is None:
            self._released |= self.holds.keys()
        self._released &= set(job_ids)
        self.holds = {
            job_id: hold
            for job_id, hold in self.holds.items()
            if job_id in job_ids and job_id not in self._released
        }
        self.latest = {
            job_id: latest for job_id, latest in self.latest.items() if job_id in job_ids
        }

    def decide(self, job: DeferrableJob, now: datetime) -> None:
        """Decide on one job, given the capacity taken by those decided earlier in this round.

        Jobs must be decided on in the order of their latest starts, so that jobs with later
        deadlines yield.  If all windows are full the job starts now, while it has time left.
        """
        self.latest[job.job_id] = job.latest
        if job.job_id in self._released:
            return
        previous = self.holds.pop(job.job_id, None)
        # Guards against a job that is held again although its start came during the round.
        expired = previous is not None and previous.until <= now
        hold = None
        if self._planner is not None and not expired:
            hold = self._planner.choose(job, previous)
        if hold is None:
            self._released.add(job.job_id)
        else:
            self.holds[job.job_id] = hold

    def is_decided(self, job_id: str) -> bool:
        """Tell whether a job is held or was released."""
        return job_id in self.holds or job_id in self._released

    def active_hold(self, job_id: str, now: datetime) -> Hold | None:
        """Return a job's hold if it still applies, else None."""
        hold = self.holds.get(job_id)
        return hold if hold is not None and now < hold.until else None
