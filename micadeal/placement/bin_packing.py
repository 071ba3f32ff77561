"""Choice of machines for single tasks and for gangs: constraints, ranking, search.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace

from micadeal.placement.machine_capacity import EPSILON, MachineCapacity, placement_allowed
from micadeal.wire.users import Shape, Submission

#: Smaller is better; compared field by field.
Rank = tuple[float, ...]


def spread_limit(spec: Submission) -> int:
    """Return how many of a spread job's tasks may be in one zone."""
    return (spec.tasks + 1) // 2


@dataclass(slots=True)
class ZoneRule:
    """The zones that a job's next task may use, given where its tasks may be running now."""

    spec: Submission
    zones: Counter[str] = field(default_factory=Counter)

    def permits(self, zone: str) -> bool:
        """Return whether the next task may be placed in the zone."""
        if self.spec.one_zone and any(other != zone for other in self.zones if self.zones[other]):
            return False
        return not self.spec.spread or self.zones[zone] < spread_limit(self.spec)


def rank(spec: Submission, capacity: MachineCapacity, zones: Counter[str]) -> Rank:
    """Rank a machine for one task; smaller is better.

    The criteria, in this order:

    - Machines that are up come first, then booting ones, then planned ones.
    - Tasks without accelerators avoid machines with a free accelerator, because tasks that use the
      accelerator also need cores on its machine.
    - Tasks that may run on spot machines prefer them: they are cheaper and leave the on-demand
      machines to tasks that need those.
    - Services prefer machines that already run tasks bound to on-demand machines.
    - Machines that have the image cached come first, then those that are fetching it, then the
      others, in the order of how few fetches they have in progress.
    - Tasks of a spread job prefer zones with fewer of the job's tasks.
    - The fullest machine comes first, so that others become empty and can be returned.
    """
    if spec.image in capacity.images:
        image = 0
    elif spec.image in capacity.fetching:
        image = 1
    else:
        # Concurrent fetches share the machine's bandwidth, so each takes longer.  That alone does
        # not justify renting more machines.
        image = 2 + len(capacity.fetching) if capacity.up else 2
    on_demand = 0 if capacity.spot or not spec.spot_allowed else 1
    stage = 2 if capacity.planned else 0 if capacity.up else 1
    # A service pays for the idle rest of its machine until it is cancelled.  So sharing a machine
    # with other services matters more than finding the image cached.
    unshared = 1 if spec.shape is Shape.SERVICE and not capacity.on_demand_tasks else 0
    strands_accelerators = 1 if not spec.gpus and capacity.gpus > EPSILON else 0
    return (
        stage,
        strands_accelerators,
        on_demand,
        unshared,
        image,
        zones[capacity.zone] if spec.spread else 0,
        0 if capacity.tasks else 1,
        capacity.gpus,
        capacity.cpus,
    )


def is_economical(spec: Submission, capacity: MachineCapacity, spot_scarce: bool) -> bool:
    """Return whether the machine's price suits the task.

    An on-demand machine is not used for a task that may run on a cheaper spot machine, unless spot
    machines are scarce or tasks bound to on-demand machines run there anyway.
    """
    return bool(capacity.spot or capacity.on_demand_tasks or spot_scarce or not spec.spot_allowed)


def choose_machine(
    spec: Submission, capacities: Iterable[MachineCapacity], rule: ZoneRule, spot_scarce: bool
) -> MachineCapacity | None:
    """Return the best machine for one more task, the first of equal ones, or None."""
    best: MachineCapacity | None = None
    best_rank: Rank = ()
    for capacity in capacities:
        if not capacity.fits(spec) or not placement_allowed(
            spec, capacity.machine_type, capacity.zone, capacity.spot
        ):
            continue
        if not rule.permits(capacity.zone):
            continue
        if not is_economical(spec, capacity, spot_scarce):
            continue
        machine_rank = rank(spec, capacity, rule.zones)
        if best is None or machine_rank < best_rank:
            best, best_rank = capacity, machine_rank
    return best


class MachineRanking:
    """Chooses machines for the tasks of one job, one after the other, as ``choose_machine`` would.

    Machines are ranked once, not again for each task.  This works because capacities only shrink
    within a cycle.  An entry whose rank has become worse is detected at the top of the heap.  A
    machine whose rank has improved (it is fuller, or shared now) is pushed again by ``refresh``.
    """

    __slots__ = ("_heap", "_rule", "_spec", "_spot_scarce")

    def __init__(
        self,
        spec: Submission,
        capacities: Iterable[MachineCapacity],
        rule: ZoneRule,
        spot_scarce: bool,
    ) -> None:
        self._spec = spec
        self._rule = rule
        self._spot_scarce = spot_scarce
        self._heap: list[tuple[Rank, int, str, MachineCapacity]] = []
        for capacity in capacities:
            if capacity.fits(spec) and self._suits(capacity):
                self._heap.append(
                    (rank(spec, capacity, rule.zones), capacity.order, capacity.name, capacity)
                )
        heapify(self._heap)

    def _suits(self, capacity: MachineCapacity) -> bool:
        spec = self._spec
        return placement_allowed(
            spec, capacity.machine_type, capacity.zone, capacity.spot
        ) and is_economical(spec, capacity, self._spot_scarce)

    def refresh(self, capacity: MachineCapacity) -> None:
        """Rank a machine again after a booking on it, or rank an added machine."""
        if capacity.fits(self._spec) and self._suits(capacity):
            machine_rank = rank(self._spec, capacity, self._rule.zones)
            heappush(self._heap, (machine_rank, capacity.order, capacity.name, capacity))

    def best(self) -> MachineCapacity | None:
        """Return the machine for the next task, or None.

        The caller books the task on it and calls ``refresh``.
        """
        while self._heap:
            pushed_rank, order, name, capacity = self._heap[0]
            if not capacity.fits(self._spec) or not self._rule.permits(capacity.zone):
                # Both conditions last until the end of the cycle.
                heappop(self._heap)
                continue
            current_rank = rank(self._spec, capacity, self._rule.zones)
            if current_rank == pushed_rank:
                return capacity
            heapreplace(self._heap, (current_rank, order, name, capacity))
        return None


def choose_gang(
    spec: Submission, capacities: Sequence[MachineCapacity], spot_scarce: bool
) -> list[MachineCapacity] | None:
    """Return machines for all tasks of a gang, already booked, or None.

    With ``one_zone``, try each zone and take the one where the gang can start soonest.
    """
    by_zone = _fitting_by_zone(spec, capacities)
    best: list[MachineCapacity] | None = None
    best_cost: Rank = ()
    for zone in sorted(by_zone, key=str):
        fitting = by_zone[zone]
        if sum(capacity.task_slots(spec) for capacity in fitting) < spec.tasks:
            continue
        chosen = _book_gang(fitting, spec, spot_scarce)
        if chosen is None:
            continue
        cost = _start_cost(spec, chosen)
        for capacity in chosen:
            capacity.unbook(spec)
        if best is None or cost < best_cost:
            best, best_cost = chosen, cost
    if best is not None:
        for capacity in best:
            capacity.book(spec)
    return best


def _fitting_by_zone(
    spec: Submission, capacities: Sequence[MachineCapacity]
) -> dict[str | None, list[MachineCapacity]]:
    """Return machines with room for a task, by zone; all under None unless ``one_zone`` is set."""
    by_zone: dict[str | None, list[MachineCapacity]] = {}
    for capacity in capacities:
        if capacity.fits(spec) and placement_allowed(
            spec, capacity.machine_type, capacity.zone, capacity.spot
        ):
            by_zone.setdefault(capacity.zone if spec.one_zone else None, []).append(capacity)
    return by_zone


def _start_cost(spec: Submission, chosen: list[MachineCapacity]) -> Rank:
    """Rank a gang's machines by how soon it can start on them; smaller is better."""
    return (
        float(max(2 if c.planned else 0 if c.up else 1 for c in chosen)),
        float(sum(1 for c in chosen if not c.up)),
        float(sum(1 for c in chosen if spec.image not in c.images)),
    )


def _book_gang(
    capacities: list[MachineCapacity], spec: Submission, spot_scarce: bool
) -> list[MachineCapacity] | None:
    """Book all tasks and return their machines; if one does not fit, book none and return None."""
    rule = ZoneRule(spec)
    ranking = MachineRanking(spec, capacities, rule, spot_scarce)
    chosen: list[MachineCapacity] = []
    for _ in range(spec.tasks):
        capacity = ranking.best()
        if capacity is None:
            for booked in chosen:
                booked.unbook(spec)
            return None
        capacity.book(spec)
        rule.zones[capacity.zone] += 1
        chosen.append(capacity)
        ranking.refresh(capacity)
    return chosen
