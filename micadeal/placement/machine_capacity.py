"""Free capacity of single machines during one scheduling cycle.

A cycle books tasks into capacities in fair-share order.  A booking on a machine that is up becomes
a task start.  A booking on a booting machine reserves capacity for a task that has to wait.  A
booking on a planned machine becomes a rental.  So a single cycle yields placements, reservations
and scale-out demand, all in the same order.
"""

from __future__ import annotations

from dataclasses import dataclass

from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Priority, Submission

#: Tolerance for comparing resource amounts, which are sums of decimal fractions as floats.
EPSILON = 1e-6

#: Everything that determines which machines a task may use, except the other tasks of its job.
RequestKey = tuple[object, ...]


def fits_into(spec: Submission, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Return whether these free amounts are enough for one task."""
    return (
        spec.gpus <= gpus + EPSILON
        and spec.cpus <= cpus + EPSILON
        and spec.memory_gb <= memory_gb + EPSILON
    )


def request_key(spec: Submission) -> RequestKey:
    """Return a key that is equal for tasks with equal resource requests and constraints."""
    machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.zone, spec.spot_allowed, machine_types)


def placement_allowed(spec: Submission, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether the constraints of a task allow such a machine.

    This is the part of the PROTOCOL rule ``wrong_place`` that a single machine decides.
    """
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot_allowed or not spot)
    )


def type_fits(spec: Submission, kind: MachineType) -> bool:
    """Return whether one task fits into an empty machine of this type."""
    return fits_into(spec, kind.cpus, kind.gpus, kind.memory_gb)


@dataclass(slots=True, eq=False)
class MachineCapacity:
    """Free resources of one machine; changed by ``book`` and ``unbook`` during a cycle."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    #: Up and able to receive tasks now; otherwise booting or planned.
    up: bool = True
    #: Not rented yet: a booking on it requests a rental.
    planned: bool = False
    images: frozenset[str] = frozenset()
    fetching: frozenset[str] = frozenset()
    tasks: int = 0
    #: Tasks on it that must not run on a spot machine.
    on_demand_tasks: int = 0
    #: Tasks booked in this cycle.
    booked: int = 0
    #: Position in the cycle, which decides between equally good machines.
    order: int = 0
    #: The job that this machine is dedicated to; other jobs may not use it.
    dedicated_to: str | None = None
    #: Dedicated by a reservation (scheduling/reservations.py), which production work may ignore;
    #: otherwise by preemption.
    reserved: bool = False

    def fits(self, spec: Submission) -> bool:
        """Return whether the machine admits one more task and has room for it."""
        return (
            (self.dedicated_to is None or self.admits(spec))
            and spec.gpus <= self.gpus + EPSILON
            and spec.cpus <= self.cpus + EPSILON
            and spec.memory_gb <= self.memory_gb + EPSILON
        )

    def admits(self, spec: Submission) -> bool:
        """Return whether a dedicated machine accepts tasks of this job."""
        return self.dedicated_to == spec.job_id or (
            self.reserved and spec.priority is Priority.PRODUCTION
        )

    def task_slots(self, spec: Submission) -> int:
        """Return how many tasks of this size fit, regardless of any dedication."""
        return int(
            min(
                free / requested
                for free, requested in (
                    (self.cpus + EPSILON, spec.cpus),
                    (self.gpus + EPSILON, spec.gpus),
                    (self.memory_gb + EPSILON, spec.memory_gb),
                )
                if requested > 0
            )
        )

    def book(self, spec: Submission) -> None:
        """Subtract the resources of one task."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.tasks += 1
        self.booked += 1
        if not spec.spot_allowed:
            self.on_demand_tasks += 1

    def unbook(self, spec: Submission) -> None:
        """Add the resources of one task back; undoes ``book``."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.tasks -= 1
        self.booked -= 1
        if not spec.spot_allowed:
            self.on_demand_tasks -= 1
