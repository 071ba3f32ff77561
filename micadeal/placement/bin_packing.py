"""Rooms: what is free on machines during one pass, those up, those booting, those only wished for.

A pass books tasks into rooms in the fair order.  A booking on a machine that is up becomes a
start; one on a booting machine holds room for a task that must wait; one on a wish becomes a
rental.  So one pass gives placements, reservations and demand, all in the same order.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace

from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Priority, Shape, Submission

#: Amounts are decimal fractions added up as floats.
EPSILON = 1e-6


def fits_into(spec: Submission, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Whether these amounts hold a task."""
    return (
        spec.gpus <= gpus + EPSILON
        and spec.cpus <= cpus + EPSILON
        and spec.memory_gb <= memory_gb + EPSILON
    )


def size_of(spec: Submission) -> tuple[object, ...]:
    """What decides into which rooms a task may go, but for the other tasks of its job."""
    types = None if spec.machine_types is None else tuple(spec.machine_types)
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.zone, spec.spot_allowed, types)


@dataclass(slots=True, eq=False)
class MachineCapacity:
    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    #: Up and allowed to get work now; else booting or only wished for.
    up: bool = True
    wish: bool = False
    images: frozenset[str] = frozenset()
    fetching: frozenset[str] = frozenset()
    tasks: int = 0
    #: Tasks on it that could not be on a spot machine.
    bound_tasks: int = 0
    booked: int = 0
    #: Place in the pass: of equally good rooms the first is taken.
    order: int = 0
    #: The job for which something is being stopped here: no other goes in.
    preempted_for: str | None = None
    #: It is not cleared but gathered for that job (scheduling/reservations.py).
    kept: bool = False

    def fits(self, spec: Submission) -> bool:
        return (
            (self.preempted_for is None or self.open_to(spec))
            and spec.gpus <= self.gpus + EPSILON
            and spec.cpus <= self.cpus + EPSILON
            and spec.memory_gb <= self.memory_gb + EPSILON
        )

    def open_to(self, spec: Submission) -> bool:
        return self.preempted_for == spec.job_id or (
            self.kept and spec.priority is Priority.PRODUCTION
        )

    def places(self, spec: Submission) -> int:
        """How many tasks of this size there is room for."""
        return int(
            min(
                have / need
                for have, need in (
                    (self.cpus + EPSILON, spec.cpus),
                    (self.gpus + EPSILON, spec.gpus),
                    (self.memory_gb + EPSILON, spec.memory_gb),
                )
                if need > 0
            )
        )

    def book(self, spec: Submission) -> None:
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.tasks += 1
        self.booked += 1
        if not spec.spot_allowed:
            self.bound_tasks += 1

    def unbook(self, spec: Submission) -> None:
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.tasks -= 1
        self.booked -= 1
        if not spec.spot_allowed:
            self.bound_tasks -= 1


def allowed(spec: Submission, machine_type: str, zone: str, spot: bool) -> bool:
    """PROTOCOL, rule ``wrong_place``, as far as one machine decides it."""
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot_allowed or not spot)
    )


def type_fits(spec: Submission, kind: MachineType) -> bool:
    return fits_into(spec, kind.cpus, kind.gpus, kind.memory_gb)


def spread_limit(spec: Submission) -> int:
    """At most this many of a spread job's tasks may be in one zone."""
    return (spec.tasks + 1) // 2


@dataclass(slots=True)
class ZoneRule:
    """Zones that a job's next task may use, given where its tasks may be at this moment."""

    spec: Submission
    zones: Counter[str] = field(default_factory=Counter)

    def permits(self, zone: str) -> bool:
        if self.spec.one_zone and any(other != zone for other in self.zones if self.zones[other]):
            return False
        return not self.spec.spread or self.zones[zone] < spread_limit(self.spec)


def rank(spec: Submission, capacity: MachineCapacity, zones: Counter[str]) -> tuple[float, ...]:
    """Smaller is better.

    Up before booting before wished; what takes no accelerators where none is left, since the cores
    beside a free accelerator are needed for its work; spot for what may use it, since it is cheaper
    and leaves the ordinary machines to what must have them; the image there already, or being
    fetched, or nothing else being fetched; zones with fewer tasks of the job; then the fullest
    machine, so that others can empty and be returned.
    """
    if spec.image in capacity.images:
        image = 0
    elif spec.image in capacity.fetching:
        image = 1
    else:
        # Fetches of several images on one machine share its rate: each takes longer.  That is no
        # reason to rent more machines.
        image = 2 + len(capacity.fetching) if capacity.up else 2
    kind = 0 if capacity.spot or not spec.spot_allowed else 1
    stage = 2 if capacity.wish else 0 if capacity.up else 1
    # What runs until it is cancelled pays for the empty rest of its machine all the time: it
    # shares one with its like before it looks for its image.
    alone = 1 if spec.shape is Shape.SERVICE and not capacity.bound_tasks else 0
    strands = 1 if not spec.gpus and capacity.gpus > EPSILON else 0
    return (
        stage,
        strands,
        kind,
        alone,
        image,
        zones[capacity.zone] if spec.spread else 0,
        0 if capacity.tasks else 1,
        capacity.gpus,
        capacity.cpus,
    )


def worth_it(spec: Submission, capacity: MachineCapacity, batch_on_ordinary: bool) -> bool:
    """An ordinary machine is not kept for work that may run on a cheaper one."""
    return bool(capacity.spot or capacity.bound_tasks or batch_on_ordinary or not spec.spot_allowed)


def choose(
    spec: Submission, capacities: Iterable[MachineCapacity], rule: ZoneRule, batch_on_ordinary: bool
) -> MachineCapacity | None:
    """The best room for one more task."""
    best: MachineCapacity | None = None
    best_rank: tuple[float, ...] = ()
    for capacity in capacities:
        if not capacity.fits(spec) or not allowed(
            spec, capacity.machine_type, capacity.zone, capacity.spot
        ):
            continue
        if not rule.permits(capacity.zone):
            continue
        if not worth_it(spec, capacity, batch_on_ordinary):
            continue
        value = rank(spec, capacity, rule.zones)
        if best is None or value < best_rank:
            best, best_rank = capacity, value
    return best


class MachineRanking:
    """Picks rooms for the tasks of one job, one after the other, as ``choose`` would.

    The rooms are ranked once, not anew for each task.  That holds because within a pass rooms only
    fill up: an entry may have become worse, which is seen when it is taken from the heap, and a
    room that has become better (fuller, or shared now) is put in again by ``refresh``.
    """

    __slots__ = ("_batch_on_ordinary", "_heap", "_rule", "_spec")

    def __init__(
        self,
        spec: Submission,
        capacities: Iterable[MachineCapacity],
        rule: ZoneRule,
        batch_on_ordinary: bool,
    ) -> None:
        self._spec = spec
        self._rule = rule
        self._batch_on_ordinary = batch_on_ordinary
        self._heap: list[tuple[tuple[float, ...], int, str, MachineCapacity]] = []
        for capacity in capacities:
            if capacity.fits(spec) and self._open(capacity):
                self._heap.append(
                    (rank(spec, capacity, rule.zones), capacity.order, capacity.name, capacity)
                )
        heapify(self._heap)

    def _open(self, capacity: MachineCapacity) -> bool:
        spec = self._spec
        return allowed(spec, capacity.machine_type, capacity.zone, capacity.spot) and worth_it(
            spec, capacity, self._batch_on_ordinary
        )

    def refresh(self, capacity: MachineCapacity) -> None:
        """Something was booked into the room, or it is new."""
        if capacity.fits(self._spec) and self._open(capacity):
            value = rank(self._spec, capacity, self._rule.zones)
            heappush(self._heap, (value, capacity.order, capacity.name, capacity))

    def best(self) -> MachineCapacity | None:
        """The room for the next task; the caller books it and says so to ``refresh``."""
        while self._heap:
            value, order, name, capacity = self._heap[0]
            if not capacity.fits(self._spec) or not self._rule.permits(capacity.zone):
                # Neither comes back within a pass.
                heappop(self._heap)
                continue
            now = rank(self._spec, capacity, self._rule.zones)
            if now == value:
                return capacity
            heapreplace(self._heap, (now, order, name, capacity))
        return None


def choose_gang(
    spec: Submission, capacities: Sequence[MachineCapacity], batch_on_ordinary: bool
) -> list[MachineCapacity] | None:
    """Rooms for all tasks of a gang, or None.  The rooms come back booked.

    With ``one_zone`` each zone is tried and the one that can start soonest is taken.
    """
    by_zone: dict[str | None, list[MachineCapacity]] = {}
    for capacity in capacities:
        if capacity.fits(spec) and allowed(
            spec, capacity.machine_type, capacity.zone, capacity.spot
        ):
            by_zone.setdefault(capacity.zone if spec.one_zone else None, []).append(capacity)
    best: list[MachineCapacity] | None = None
    best_cost: tuple[float, ...] = ()
    for zone in sorted(by_zone, key=str):
        fitting = by_zone[zone]
        if sum(capacity.places(spec) for capacity in fitting) < spec.tasks:
            continue
        found = _fill(fitting, spec, batch_on_ordinary)
        if found is None:
            continue
        cost = (
            float(max(2 if r.wish else 0 if r.up else 1 for r in found)),
            float(sum(1 for r in found if not r.up)),
            float(sum(1 for r in found if spec.image not in r.images)),
        )
        for capacity in found:
            capacity.unbook(spec)
        if best is None or cost < best_cost:
            best, best_cost = found, cost
    if best is not None:
        for capacity in best:
            capacity.book(spec)
    return best


def _fill(
    capacities: list[MachineCapacity], spec: Submission, batch_on_ordinary: bool
) -> list[MachineCapacity] | None:
    rule = ZoneRule(spec)
    picker = MachineRanking(spec, capacities, rule, batch_on_ordinary)
    chosen: list[MachineCapacity] = []
    for _ in range(spec.tasks):
        capacity = picker.best()
        if capacity is None:
            for taken in chosen:
                taken.unbook(spec)
            return None
        capacity.book(spec)
        rule.zones[capacity.zone] += 1
        chosen.append(capacity)
        picker.refresh(capacity)
    return chosen
