"""Scale-out demand of one scheduling cycle: which machines to rent for what finds no capacity."""

from __future__ import annotations

from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import ZoneRule
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.scheduling.capacity import empty_capacity
from micadeal.scheduling.capacity_pool import CapacityPool
from micadeal.scheduling.cycle_data import CycleInputs
from micadeal.scheduling.pending_reasons import (
    CLOUD_REFUSED,
    MACHINES_NOT_COUNTED,
    MANY_RENTALS,
    ZONES_EXCLUDED,
)
from micadeal.scheduling.plan import Plan
from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Submission

#: New machines planned in one cycle, however much is pending.
MAX_PLANNED = 200


class ScaleOut:
    """Adds planned machines to the pool, and their rentals to the plan."""

    def __init__(self, inputs: CycleInputs, pool: CapacityPool, plan: Plan) -> None:
        self._offers = inputs.instance_offers
        self._now = inputs.now
        self._may_rent = inputs.may_rent
        self._pending_rentals = inputs.pending_rentals
        #: Machines that exist, by offer.
        self._existing = inputs.cluster.held()
        self._pool = pool
        self._plan = plan
        self._planned = 0

    @property
    def _exhausted(self) -> bool:
        return not self._may_rent or self._planned >= MAX_PLANNED

    def plan_machine(
        self, spec: Submission, rule: ZoneRule, warm: bool = False
    ) -> MachineCapacity | None:
        """Plan the cheapest machine that holds one task, or return None.

        ``warm``: for work that is only expected.  What may use spot is then not worth an on-demand
        machine's price.
        """
        if self._exhausted:
            return None
        for offer, kind in self._offers.available(spec, self._now, self._pool.machines_by_zone):
            if warm and spec.spot_allowed and not offer.spot:
                continue
            if rule.permits(offer.zone):
                capacity = self._new_capacity(offer, kind)
                self.add(capacity)
                return capacity
        return None

    def gang_candidates(self, spec: Submission) -> list[MachineCapacity]:
        """Return machines that could be rented for a gang: the cheapest offer in each zone.

        They are not planned yet; the caller passes those that it uses to ``add``.
        """
        if self._exhausted:
            return []
        seen: set[str] = set()
        candidates: list[MachineCapacity] = []
        for offer, kind in self._offers.available(spec, self._now, self._pool.machines_by_zone):
            if offer.zone in seen:
                continue
            seen.add(offer.zone)
            count = min(spec.tasks, MAX_PLANNED)
            left = self._offers.remaining(offer, self._count(offer), self._now)
            if left is not None:
                count = min(count, left)
            for _ in range(count):
                capacity = self._new_capacity(offer, kind)
                capacity.order += len(candidates)
                candidates.append(capacity)
        return candidates

    def add(self, capacity: MachineCapacity) -> None:
        """Plan this machine."""
        self._planned += 1
        self._pool.add(capacity)
        offer = InstanceOffer(capacity.machine_type, capacity.zone, capacity.spot)
        self._plan.rentals[offer] += 1

    def _new_capacity(self, offer: InstanceOffer, kind: MachineType) -> MachineCapacity:
        order = len(self._pool.capacities)
        name = f"planned {offer.zone} {self._planned} {order}"
        return empty_capacity(name, offer, kind, order, planned=True)

    def _count(self, offer: InstanceOffer) -> int:
        """Machines of an offer that exist, are asked for, or are planned in this cycle."""
        return self._existing[offer] + self._pending_rentals[offer] + self._plan.rentals[offer]

    def refusal_reason(self, job: Job) -> str:
        """Return why no machine is rented for a job that found no capacity."""
        if not self._may_rent:
            return MACHINES_NOT_COUNTED
        if self._planned >= MAX_PLANNED:
            return MANY_RENTALS
        zones = self._pool.machines_by_zone
        if not any(True for _ in self._offers.available(job.spec, self._now, zones)):
            return CLOUD_REFUSED
        return ZONES_EXCLUDED
