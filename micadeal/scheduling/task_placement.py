"""Placement of single tasks on free capacity or on machines that are planned for them."""

from __future__ import annotations

from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.scheduling.bookings import Bookings
from micadeal.scheduling.capacity_pool import MAX_AVOIDED_MACHINES, CapacityPool
from micadeal.scheduling.cycle_data import CycleInputs
from micadeal.scheduling.delay import DelayScheduling
from micadeal.scheduling.pending_reasons import (
    CAPACITY_FREES_SOON,
    FAULTY_JOB,
    ONE_TASK_AT_A_TIME,
    WAITS_FOR_IMAGE,
)
from micadeal.scheduling.scale_out import ScaleOut


class TaskPlacement:
    """Places the tasks of array and service jobs, one at a time."""

    def __init__(
        self,
        inputs: CycleInputs,
        pool: CapacityPool,
        bookings: Bookings,
        scale_out: ScaleOut,
        delay: DelayScheduling,
    ) -> None:
        self._cluster = inputs.cluster
        self._offers = inputs.instance_offers
        self._pool = pool
        self._bookings = bookings
        self._scale_out = scale_out
        self._delay = delay
        #: Cores that tasks without accelerators are likely to free within a machine's boot time.
        self._cores_freed_soon: float | None = None

    def place(self, job: Job) -> float:
        """Book one task and return its units, or 0 if the job passes."""
        waiting = self._bookings.waiting(job)
        if reason := self._bookings.limit_reason(job, 1):
            job.reasons[reason] += waiting
            return 0.0
        if job.suspected_faulty and job.attempts:
            job.reasons[ONE_TASK_AT_A_TIME] += waiting
            return 0.0
        capacity = self._pool.best(job)
        if reason := self._wait_reason(job, waiting, capacity):
            job.reasons[reason] += waiting
            return 0.0
        rule = self._pool.zone_rule(job)
        if capacity is None:
            capacity = self._scale_out.plan_machine(job.spec, rule)
        if capacity is None:
            job.reasons[self._scale_out.refusal_reason(job)] += waiting
            self._bookings.unplaced.append(job)
            return 0.0
        self._pool.book(capacity, job.spec)
        rule.zones[capacity.zone] += 1
        self._bookings.book_task(job, capacity)
        return job.units

    def _wait_reason(self, job: Job, waiting: int, capacity: MachineCapacity | None) -> str | None:
        """Return why the job should wait rather than use ``capacity`` or rent, or None."""
        if capacity is not None:
            if capacity.up and self._delay.should_wait(job, waiting, capacity):
                return WAITS_FOR_IMAGE
            return None
        if len(job.errors) > MAX_AVOIDED_MACHINES:
            return FAULTY_JOB
        return CAPACITY_FREES_SOON if self._frees_soon(job, waiting) else None

    def _frees_soon(self, job: Job, tasks: int) -> bool:
        """Return whether running tasks are likely to free enough cores for ``tasks`` tasks soon.

        Only running tasks without accelerators count.  "Soon" is within the boot time of a machine:
        a machine rented for the tasks would be up too late, and its accelerators would be idle.
        """
        spec = job.spec
        if spec.gpus or job.is_service:
            return False
        if self._cores_freed_soon is None:
            self._cores_freed_soon = self._cores_freed_in_boot_time()
        needed = tasks * spec.cpus
        if self._cores_freed_soon < needed:
            return False
        self._cores_freed_soon -= needed
        return True

    def _cores_freed_in_boot_time(self) -> float:
        boot_s = min((kind.boot_s for kind in self._offers.types.values()), default=0.0)
        return sum(
            other.running_count() * other.spec.cpus * min(boot_s / max(estimate, 1.0), 1.0)
            for other in self._cluster.live_jobs()
            if not other.spec.gpus and (estimate := other.spec.estimate_s)
        )
