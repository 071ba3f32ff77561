"""Until when flexible work is held: the cheapest window that is safe and has room.

A hold is a promise to start by then, never one to wait: whatever makes the window worse, less sure
or too full releases the work earlier.  Only the windows chosen last and what was released are
remembered (``Keeper``), so that a forecast that flips moves no work to and fro.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

from micadeal.timing.series import Curve

#: A window is left for another only if that saves so much more, as a share of what starting now
#: costs.
SWITCH_SHARE = 0.05
#: Holding for less than this share is not worth the risk.
LEAST_SAVING = 0.02


@dataclass(frozen=True, slots=True)
class Work:
    """A job that could be held."""

    job_id: str
    #: Room that it takes while it runs, in the units of its pool.
    units: float
    #: How long it is likely to run, all of it.
    duration: timedelta
    #: No hold lasts longer.
    latest: datetime
    #: Whose room it takes.
    pool: str = ""


class Pools:
    """Room that held work may count on in one slot, by pool; what is not named has enough."""

    __slots__ = ("_capacity", "_used")

    def __init__(self, capacity: Mapping[str, float]) -> None:
        self._capacity = capacity
        self._used: dict[tuple[str, int], float] = {}

    def take(self, work: Work, slots: range) -> None:
        for slot in slots:
            key = (work.pool, slot)
            self._used[key] = self._used.get(key, 0.0) + work.units

    def fits(self, work: Work, slots: range) -> bool:
        capacity = self._capacity.get(work.pool)
        if capacity is None:
            return True
        capacity = capacity - work.units
        return all(self._used.get((work.pool, slot), 0.0) <= capacity for slot in slots)


@dataclass(frozen=True, slots=True)
class Hold:
    until: datetime
    latest: datetime
    #: Share of the cost of starting now that is likely to be saved.  Of a cost that is zero or
    #: below: 1.
    saving: float


def latest_safe_start(
    ready: datetime,
    deadline: datetime,
    estimate: timedelta,
    error: float,
    overhead: timedelta,
    slack: float,
) -> datetime:
    """Work that starts by then ends by its deadline though it takes ``error`` times its estimate.

    ``overhead``: boot, image, the queue ahead of it, and the clocks' bound.  Of the slack after
    that only the share ``slack`` is used.
    """
    safe = deadline - estimate * max(error, 1.0) - overhead
    return ready + max(safe - ready, timedelta(0)) * min(max(slack, 0.0), 1.0)


class Planner:
    """Chooses windows on one curve, one job after the other, and takes their room.

    ``pools`` may be shared by planners whose curves begin with the same slots.  What a window would
    cost past the curve's end is not known, so none reaches beyond it.
    """

    def __init__(self, curve: Curve, now: datetime, pools: Pools) -> None:
        self._curve = curve
        self._now = now
        self._pools = pools
        #: Starts by cost, cheapest first, for each duration: many jobs share one.
        self._starts: dict[timedelta, list[tuple[float, datetime]]] = {}

    def choose(self, work: Work, former: Hold | None) -> Hold | None:
        """The hold for one job, None to start it now; its room is counted in either case."""
        known = self._now + work.duration <= self._curve.end
        start = self._window(work, former) if known and work.latest > self._now else None
        self._pools.take(work, self._span(work, self._now if start is None else start))
        if start is None:
            return None
        return Hold(start, work.latest, self._saving(work, start))

    def _span(self, work: Work, start: datetime) -> range:
        return range(self._curve.index(start), self._curve.index(start + work.duration) + 1)

    def _saving(self, work: Work, start: datetime) -> float:
        at_once = self._curve.cost(self._now, work.duration)
        if at_once <= 0:
            return 1.0
        return (at_once - self._curve.cost(start, work.duration)) / at_once

    def _by_cost(self, duration: timedelta) -> list[tuple[float, datetime]]:
        """Where the cost of a window can be least: where it begins or ends at an edge."""
        found = self._starts.get(duration)
        if found is None:
            starts = {s for edge in self._curve.edges for s in (edge, edge - duration)}
            found = self._starts[duration] = sorted(
                # Rounded: of windows that cost the same the first is taken, by every leader.
                (round(self._curve.cost(start, duration), 9), start)
                for start in starts
                if start > self._now and start + duration <= self._curve.end
            )
        return found

    def _window(self, work: Work, former: Hold | None) -> datetime | None:
        at_once = self._curve.cost(self._now, work.duration)
        scale = abs(at_once) or 1.0
        best: datetime | None = None
        least = at_once - LEAST_SAVING * scale
        for cost, start in self._by_cost(work.duration):
            if cost >= least:
                break
            if start <= work.latest and self._open(work, start):
                best, least = start, cost
                break
        last = self._curve.cost(work.latest, work.duration)
        if last < least and self._open(work, work.latest):
            best, least = work.latest, last
        if former is None or not self._now < former.until <= work.latest:
            return best
        # Guards against a forecast that flips with each refresh: the window of before is kept
        # unless another one is clearly better, or it would cost more than starting at once.
        kept = self._curve.cost(former.until, work.duration)
        if kept >= at_once or not self._open(work, former.until):
            return best
        return former.until if best is None or kept - least <= SWITCH_SHARE * scale else best

    def _open(self, work: Work, start: datetime) -> bool:
        known = start + work.duration <= self._curve.end
        return known and self._pools.fits(work, self._span(work, start))


class Keeper:
    """Holds of one leader's term.  Work that was released once is not held again.

    A later leader decides anew, by the same records and series: its holds end by the same latest
    starts, so none lasts longer for the change.
    """

    def __init__(self) -> None:
        self.holds: dict[str, Hold] = {}
        #: Latest safe starts of all that was decided on, held or not.
        self.latest: dict[str, datetime] = {}
        self._released: set[str] = set()
        self._planner: Planner | None = None

    def begin(
        self, names: Collection[str], curve: Curve | None, now: datetime, pools: Pools
    ) -> None:
        """Windows are chosen anew, by ``consider`` for one job after the other; until its turn a
        job keeps what it has.  Who is not in ``names`` is forgotten.

        ``curve`` begins now; None: nothing is known, and nothing is held any more.
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

    def consider(self, work: Work, now: datetime) -> None:
        """Decide on one job, on the curve and beside those that came before it.

        Who has the least time is to come first: later deadlines give way then.  Who finds every
        window full starts now, while there is time left.
        """
        self.latest[work.job_id] = work.latest
        if work.job_id in self._released:
            return
        former = self.holds.pop(work.job_id, None)
        # Guards against work that is held again though its hour came while others had their turn.
        over = former is not None and former.until <= now
        hold = None
        if self._planner is not None and not over:
            hold = self._planner.choose(work, former)
        if hold is None:
            self._released.add(work.job_id)
        else:
            self.holds[work.job_id] = hold

    def decided(self, job_id: str) -> bool:
        return job_id in self.holds or job_id in self._released

    def held(self, job_id: str, now: datetime) -> Hold | None:
        hold = self.holds.get(job_id)
        return hold if hold is not None and now < hold.until else None
