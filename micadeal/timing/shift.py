"""Start times of deferrable jobs: the cheapest window that is safe and has capacity left.

A hold sets the latest start, not the earliest: if its window becomes dearer, uncertain or full,
the job is released earlier.  Only the windows chosen last and the released jobs are remembered
(``HoldTracker``), so that a forecast that alternates does not move work to and fro.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from micadeal.clock import ZERO
from micadeal.timing.cost_curve import CostCurve

#: A window is given up for another only if that saves this much more, as a share of the cost of
#: starting now.
SWITCH_SHARE = 0.05
#: Holding for a saving below this share is not worth the risk.
MIN_SAVING = 0.02
#: Costs are rounded to this many digits, so that of windows with equal costs every leader takes
#: the first.
COST_DIGITS = 9


@dataclass(frozen=True, slots=True)
class DeferrableJob:
    """A job that could be held."""

    job_id: str
    #: Capacity that it takes while it runs, in the units of its pool.
    units: float
    #: How long the whole job is likely to run.
    duration: timedelta
    #: Latest safe start: no hold lasts longer.
    latest: datetime
    #: The pool whose capacity it takes.
    pool: str = ""


class PoolCapacities:
    """Capacity that held work may use at one time, by pool; pools not named are unlimited.

    Slots are the pieces of the cost curves.
    """

    __slots__ = ("_capacity", "_used")

    def __init__(self, capacity: Mapping[str, float]) -> None:
        self._capacity = capacity
        self._used: dict[tuple[str, int], float] = {}

    def take(self, work: DeferrableJob, slots: range) -> None:
        """Count a job's units as used during the slots."""
        for slot in slots:
            key = (work.pool, slot)
            self._used[key] = self._used.get(key, 0.0) + work.units

    def fits(self, work: DeferrableJob, slots: range) -> bool:
        """Whether a job's units are free during all of the slots."""
        capacity = self._capacity.get(work.pool)
        if capacity is None:
            return True
        max_used = capacity - work.units
        return all(self._used.get((work.pool, slot), 0.0) <= max_used for slot in slots)


@dataclass(frozen=True, slots=True)
class Hold:
    """A decision to hold a job."""

    #: Planned start.
    until: datetime
    #: Latest safe start.
    latest: datetime
    #: Share of the cost of starting now that is likely to be saved; 1 if that cost is zero or
    #: below.
    saving: float


def latest_safe_start(
    ready: datetime,
    deadline: datetime,
    estimate: timedelta,
    error: float,
    overhead: timedelta,
    slack: float,
) -> datetime:
    """Return the start by which work ends in time even at ``error`` times its estimate.

    ``overhead`` covers machine boot, image fetch, the queue ahead, and the bound on clock
    differences.  Of the slack that is left only the share ``slack`` is used.
    """
    safe = deadline - estimate * max(error, 1.0) - overhead
    return ready + max(safe - ready, ZERO) * min(max(slack, 0.0), 1.0)


class _Candidate(NamedTuple):
    """A start time that may be chosen; sorts by cost, then by time."""

    cost: float
    start: datetime


class _Choice(NamedTuple):
    """The best start found, and its cost; without a start, the bound that none was below."""

    cost: float
    start: datetime | None


class Planner:
    """Chooses windows on one cost curve, job after job, and takes their capacity.

    ``pools`` may be shared by planners whose curves begin with the same slots.  No window reaches
    beyond the curve's end, since costs are unknown there.
    """

    def __init__(self, curve: CostCurve, now: datetime, pools: PoolCapacities) -> None:
        self._curve = curve
        self._now = now
        self._pools = pools
        #: Starts by cost, cheapest first, for each duration: many jobs share one.
        self._candidates: dict[timedelta, list[_Candidate]] = {}

    def choose(self, work: DeferrableJob, previous: Hold | None) -> Hold | None:
        """Return the hold for a job, None to start it now; its capacity is taken either way."""
        known = self._now + work.duration <= self._curve.end
        start = self._best_start(work, previous) if known and work.latest > self._now else None
        self._pools.take(work, self._slots(work, self._now if start is None else start))
        if start is None:
            return None
        return Hold(start, work.latest, self._saving(work, start))

    def _slots(self, work: DeferrableJob, start: datetime) -> range:
        return range(self._curve.index(start), self._curve.index(start + work.duration) + 1)

    def _saving(self, work: DeferrableJob, start: datetime) -> float:
        cost_now = self._curve.cost(self._now, work.duration)
        if cost_now <= 0:
            return 1.0
        return (cost_now - self._curve.cost(start, work.duration)) / cost_now

    def _candidates_for(self, duration: timedelta) -> list[_Candidate]:
        """Return the starts at which a cost can be least: the window begins or ends at an edge."""
        candidates = self._candidates.get(duration)
        if candidates is None:
            starts = {start for edge in self._curve.edges for start in (edge, edge - duration)}
            candidates = self._candidates[duration] = sorted(
                _Candidate(round(self._curve.cost(start, duration), COST_DIGITS), start)
                for start in starts
                if start > self._now and start + duration <= self._curve.end
            )
        return candidates

    def _best_start(self, work: DeferrableJob, previous: Hold | None) -> datetime | None:
        cost_now = self._curve.cost(self._now, work.duration)
        scale = abs(cost_now) or 1.0
        best = self._cheapest(work, cost_now - MIN_SAVING * scale)
        if previous is None or not self._now < previous.until <= work.latest:
            return best.start
        # Guards against a forecast that alternates with each refresh: the previous window is kept
        # unless another one is clearly better, or it would cost more than starting at once.
        previous_cost = self._curve.cost(previous.until, work.duration)
        if previous_cost >= cost_now or not self._is_open(work, previous.until):
            return best.start
        keep = best.start is None or previous_cost - best.cost <= SWITCH_SHARE * scale
        return previous.until if keep else best.start

    def _cheapest(self, work: DeferrableJob, bound: float) -> _Choice:
        """Return the cheapest safe start with capacity left that costs less than ``bound``."""
        best = _Choice(bound, None)
        for candidate in self._candidates_for(work.duration):
            if candidate.cost >= bound:
                break
            if candidate.start <= work.latest and self._is_open(work, candidate.start):
                best = _Choice(candidate.cost, candidate.start)
                break
        cost_at_latest = self._curve.cost(work.latest, work.duration)
        if cost_at_latest < best.cost and self._is_open(work, work.latest):
            return _Choice(cost_at_latest, work.latest)
        return best

    def _is_open(self, work: DeferrableJob, start: datetime) -> bool:
        """Whether the costs of a window are known and its capacity is free."""
        known = start + work.duration <= self._curve.end
        return known and self._pools.fits(work, self._slots(work, start))


class HoldTracker:
    """The holds of one leader's term.  Work that was released once is not held again.

    A later leader decides anew from the same records and series.  Its holds have the same latest
    starts, so no job is held longer because the leader changed.
    """

    def __init__(self) -> None:
        #: By job id.
        self.holds: dict[str, Hold] = {}
        #: Latest safe starts of all jobs decided on, held or not, by job id.
        self.latest: dict[str, datetime] = {}
        self._released: set[str] = set()
        self._planner: Planner | None = None

    def begin(
        self, names: Collection[str], curve: CostCurve | None, now: datetime, pools: PoolCapacities
    ) -> None:
        """Start a new round of decisions, made by ``consider`` for one job after the other.

        Until its turn a job keeps its hold.  Jobs that are not in ``names`` are forgotten.
        ``curve`` begins now; without one no cost is known, and all holds are released.
        """
        self._released |= {name for name, hold in self.holds.items() if hold.until <= now}
        self._planner = None if curve is None else Planner(curve, now, pools)
        if curve is None:
            self._released |= self.holds.keys()
        self._released &= set(names)
        self.holds = {
            name: hold
            for name, hold in self.holds.items()
            if name in names and name not in self._released
        }
        self.latest = {name: latest for name, latest in self.latest.items() if name in names}

    def consider(self, work: DeferrableJob, now: datetime) -> None:
        """Decide on one job, beside those decided before it in this round.

        Jobs are to come in the order of their latest starts, so that later deadlines give way.  A
        job that finds every window full starts now, while there is time left.
        """
        self.latest[work.job_id] = work.latest
        if work.job_id in self._released:
            return
        previous = self.holds.pop(work.job_id, None)
        # Guards against work that is held again though its start came while the round went on.
        expired = previous is not None and previous.until <= now
        hold = None
        if self._planner is not None and not expired:
            hold = self._planner.choose(work, previous)
        if hold is None:
            self._released.add(work.job_id)
        else:
            self.holds[work.job_id] = hold

    def decided(self, job_id: str) -> bool:
        """Whether a job is held, or was released."""
        return job_id in self.holds or job_id in self._released

    def held(self, job_id: str, now: datetime) -> Hold | None:
        """Return a job's hold if it is in force."""
        hold = self.holds.get(job_id)
        return hold if hold is not None and now < hold.until else None
