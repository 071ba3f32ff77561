"""Keeps warm capacity: machines for expected work that must start sooner than a machine boots."""

from __future__ import annotations

from collections import Counter
from heapq import heapify, heappop, heappush

from micadeal.placement.bin_packing import Rank, ZoneRule, is_economical, rank
from micadeal.placement.machine_capacity import MachineCapacity, placement_allowed
from micadeal.scheduling.capacity_pool import CapacityPool
from micadeal.scheduling.plan import ExpectedWork, Plan
from micadeal.scheduling.scale_out import ScaleOut

#: Zones used by other tasks of the job: expected tasks have none.
_NO_ZONES: Counter[str] = Counter()


def keep_warm_capacity(
    work: ExpectedWork, pool: CapacityPool, scale_out: ScaleOut, plan: Plan
) -> None:
    """Book capacity for the expected tasks, and plan machines if too little is free.

    Machines are ranked once, and again only after a booking on them.  With hundreds of expected
    tasks, ranking all machines for each task took most of a leader's time.
    """
    spec = work.spec
    heap = [
        (_warm_rank(work, capacity), capacity.order, capacity)
        for capacity in pool.capacities
        if capacity.fits(spec)
        and placement_allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
        and is_economical(spec, capacity, spot_scarce=False)
    ]
    heapify(heap)
    for _ in range(work.tasks):
        if heap:
            capacity = heap[0][2]
        elif (planned := scale_out.plan_machine(spec, ZoneRule(spec), warm=True)) is not None:
            capacity = planned
            heappush(heap, (_warm_rank(work, capacity), capacity.order, capacity))
        else:
            return
        capacity.book(spec)
        if not capacity.planned:
            plan.warm.add(capacity.name)
        # A fuller machine ranks no worse, so it stays the next choice while it fits.
        heappop(heap)
        if capacity.fits(spec):
            heappush(heap, (_warm_rank(work, capacity), capacity.order, capacity))


def _warm_rank(work: ExpectedWork, capacity: MachineCapacity) -> Rank:
    """Rank a machine as warm capacity; smaller is better.

    Free capacity on a machine that is kept for other tasks anyway costs nothing.  A machine that
    caches more of the job class's images ranks better, since a fetch takes longer than such work
    may wait.
    """
    shared = capacity.up and (capacity.on_demand_tasks > 0 or work.spec.spot_allowed)
    images = len(capacity.images & work.images) if capacity.up else 0
    return (
        0 if shared else 1,
        0 if capacity.up else 1,
        -images,
        *rank(work.spec, capacity, _NO_ZONES),
    )
