"""Free capacity of single machines during one scheduling cycle.

A cycle books tasks into capacities in fair-share order.  A booking on a machine that is up becomes
a task start, one on a booting machine reserves capacity for a task that has to wait, and one on a
planned machine becomes a rental.  So a single cycle yields placements, reservations and scale-out
demand, all in the same order.
"""

from __future__ import annotations

from dataclasses import dataclass

from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Priority, Submission

#: Tolerance for comparing amounts, which are decimal fractions added up as floats.
EPSILON = 1e-6

#: Everything that decides which machines a task may use, except the other tasks of its job.
RequestKey = tuple[object, ...]


def fits_into(spec: Submission, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Return whether these free amounts hold one task."""
    return (
        spec.gpus <= gpus + EPSILON
        and spec.cpus <= cpus + EPSILON
        and spec.memory_gb <= memory_gb + EPSILON
    )


def request_key(spec: Submission) -> RequestKey:
    """Return the key under which tasks with equal resource requests and constraints compare."""
    machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.zone, spec.spot_allowed, machine_types)


def allowed(spec: Submission, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether a task may run on such a machine.

    This is the PROTOCOL rule ``wrong_place``, as far as a single machine decides it.
    """
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot_allowed or not spot)
    )


def type_fits(spec: Submission, kind: MachineType) -> bool:
    """Return whether an empty machine of this type holds one task."""
    return fits_into(spec, kind.cpus, kind.gpus, kind.memory_gb)


@dataclass(slots=True, eq=False)
class MachineCapacity:
    """What is free on one machine; changed by ``book`` and ``unbook`` during a cycle."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    #: Up and allowed to get work now; otherwise booting or only planned.
    up: bool = True
    #: Does not exist yet: a booking on it asks for a rental.
    planned: bool = False
    images: frozenset[str] = frozenset()
    fetching: frozenset[str] = frozenset()
    tasks: int = 0
    #: Tasks on it that must not run on a spot machine.
    bound_tasks: int = 0
    #: Tasks booked in this cycle.
    booked: int = 0
    #: Position in the cycle: of equally good machines the first is taken.
    order: int = 0
    #: The job that this machine is dedicated to; others stay off it.
    dedicated_to: str | None = None
    #: Dedicated by a reservation (scheduling/reservations.py), which production work may ignore;
    #: otherwise by preemption.
    reserved: bool = False

    def fits(self, spec: Submission) -> bool:
        """Return whether one more task may and can be booked."""
        return (
            (self.dedicated_to is None or self.admits(spec))
            and spec.gpus <= self.gpus + EPSILON
            and spec.cpus <= self.cpus + EPSILON
            and spec.memory_gb <= self.memory_gb + EPSILON
        )

    def admits(self, spec: Submission) -> bool:
        """Return whether a dedicated machine takes tasks of this job."""
        return self.dedicated_to == spec.job_id or (
            self.reserved and spec.priority is Priority.PRODUCTION
        )

    def task_slots(self, spec: Submission) -> int:
        """Return how many tasks of this size fit, whatever the machine is dedicated to."""
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
        """Take one task's amounts."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.tasks += 1
        self.booked += 1
        if not spec.spot_allowed:
            self.bound_tasks += 1

    def unbook(self, spec: Submission) -> None:
        """Give one task's amounts back."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.tasks -= 1
        self.booked -= 1
        if not spec.spot_allowed:
            self.bound_tasks -= 1
