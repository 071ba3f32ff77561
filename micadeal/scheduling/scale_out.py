"""Scale out: which machines a scheduling cycle rents for tasks that find no capacity."""

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
    RENTAL_LIMIT_REACHED,
    ZONES_EXCLUDED,
)
from micadeal.scheduling.plan import Plan
from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Submission

#: Maximum number of new machines planned in one cycle.
MAX_PLANNED_MACHINES = 200


class ScaleOut:
    """Plans machines: adds them to the capacity pool and their rentals to the plan."""

    def __init__(self, inputs: CycleInputs, pool: CapacityPool, plan: Plan) -> None:
        self._offers = inputs.instance_offers
        self._now = inputs.now
        self._may_rent = inputs.may_rent
        self._pending_rentals = inputs.pending_rentals
        #: Number of existing machines by offer.
        self._existing = inputs.cluster.machines_by_offer()
        self._pool = pool
        self._plan = plan
        self._planned_count = 0

    @property
    def _exhausted(self) -> bool:
        return not self._may_rent or self._planned_count >= MAX_PLANNED_MACHINES

    def plan_machine(
        self, spec: Submission, rule: ZoneRule, warm: bool = False
    ) -> MachineCapacity | None:
        """Plan the cheapest machine on which one task fits; return None if there is none.

        ``warm``: the machine is for expected work only.  If this work may use spot machines, no
        on-demand machine is planned, since it is not worth its price.
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
        """Return machines that could be rented for a gang, of the cheapest offer in each zone.

        They are not planned yet; the caller passes those that it uses to ``add``.
        """
        if self._exhausted:
            return []
        zones: set[str] = set()
        candidates: list[MachineCapacity] = []
        for offer, kind in self._offers.available(spec, self._now, self._pool.machines_by_zone):
            if offer.zone in zones:
                continue
            zones.add(offer.zone)
            count = min(spec.tasks, MAX_PLANNED_MACHINES)
            rentable = self._offers.remaining(offer, self._machine_count(offer), self._now)
            if rentable is not None:
                count = min(count, rentable)
            for _ in range(count):
                capacity = self._new_capacity(offer, kind)
                capacity.order += len(candidates)
                candidates.append(capacity)
        return candidates

    def add(self, capacity: MachineCapacity) -> None:
        """Add a machine to the pool, and its rental to the plan."""
        self._planned_count += 1
        self._pool.add(capacity)
        offer = InstanceOffer(capacity.machine_type, capacity.zone, capacity.spot)
        self._plan.rentals[offer] += 1

    def _new_capacity(self, offer: InstanceOffer, kind: MachineType) -> MachineCapacity:
        order = len(self._pool.capacities)
        name = f"planned {offer.zone} {self._planned_count} {order}"
        return empty_capacity(name, offer, kind, order, planned=True)

    def _machine_count(self, offer: InstanceOffer) -> int:
        """Return how many machines of an offer exist, are requested or are planned."""
        return self._existing[offer] + self._pending_rentals[offer] + self._plan.rentals[offer]

    def refusal_reason(self, job: Job) -> str:
        """Return why no machine is rented for a job that found no capacity."""
        if not self._may_rent:
            return MACHINES_NOT_COUNTED
        if self._planned_count >= MAX_PLANNED_MACHINES:
            return RENTAL_LIMIT_REACHED
        zones = self._pool.machines_by_zone
        if not any(True for _ in self._offers.available(job.spec, self._now, zones)):
            return CLOUD_REFUSED
        return ZONES_EXCLUDED
