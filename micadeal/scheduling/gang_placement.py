"""Placement of gangs: all tasks of a gang are placed together, or none of them."""

from __future__ import annotations

from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import choose_gang
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.scheduling.bookings import Bookings
from micadeal.scheduling.capacity_pool import MAX_AVOIDED_MACHINES, CapacityPool
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.delay import DelayScheduling
from micadeal.scheduling.pending_reasons import WAITS_FOR_IMAGE
from micadeal.scheduling.scale_out import ScaleOut


class GangPlacement:
    """Places whole gangs; the tasks of a gang share one attempt number."""

    def __init__(
        self,
        cluster: ClusterState,
        pool: CapacityPool,
        bookings: Bookings,
        scale_out: ScaleOut,
        delay: DelayScheduling,
    ) -> None:
        self._cluster = cluster
        self._pool = pool
        self._bookings = bookings
        self._scale_out = scale_out
        self._delay = delay

    def place(self, job: Job) -> float:
        """Book all tasks and return their units, or 0 if the job passes."""
        spec = job.spec
        if reason := self._bookings.limit_reason(job, spec.tasks):
            job.reasons[reason] += spec.tasks
            return 0.0
        candidates = self._pool.candidates(job)
        chosen = self._choose_existing(job, candidates)
        if chosen is not None and self._should_wait(job, chosen):
            for capacity in chosen:
                capacity.unbook(spec)
            job.reasons[WAITS_FOR_IMAGE] += spec.tasks
            return 0.0
        if chosen is None:
            chosen = self._choose_with_planned(job, candidates)
        if chosen is None:
            job.reasons[self._scale_out.refusal_reason(job)] += spec.tasks
            self._bookings.unplaced.append(job)
            return 0.0
        self._book(job, chosen)
        return job.units * spec.tasks

    def _choose_existing(
        self, job: Job, candidates: list[MachineCapacity]
    ) -> list[MachineCapacity] | None:
        """Choose and book capacities that exist or are already planned."""
        chosen = None
        if self._pool.gang_search_due(job):
            self._pool.examined += len(candidates)
            chosen = choose_gang(job.spec, candidates, self._pool.spot_scarce)
        if chosen is None:
            self._pool.note_no_gang_fit(job)
        return chosen

    def _choose_with_planned(
        self, job: Job, candidates: list[MachineCapacity]
    ) -> list[MachineCapacity] | None:
        """Choose and book capacities, including machines that are planned for this gang."""
        if len(job.errors) > MAX_AVOIDED_MACHINES:
            return None
        new_machines = self._scale_out.gang_candidates(job.spec)
        if not new_machines:
            return None
        chosen = choose_gang(job.spec, [*candidates, *new_machines], self._pool.spot_scarce)
        for capacity in new_machines:
            if capacity.booked:
                self._scale_out.add(capacity)
        return chosen

    def _book(self, job: Job, chosen: list[MachineCapacity]) -> None:
        """Start the gang if all its machines are up; otherwise reserve them."""
        for capacity in dict.fromkeys(chosen):
            self._pool.note_booking(capacity, job.spec)
        if not all(capacity.up for capacity in chosen):
            self._bookings.reserve_gang(job, chosen)
            return
        attempt_number = self._cluster.next_number()
        for capacity in chosen:
            self._bookings.book_task(job, capacity, attempt_number)

    def _should_wait(self, job: Job, chosen: list[MachineCapacity]) -> bool:
        """Return whether the gang should wait for machines that cache its image.

        A gang starts only after its slowest fetch.  If it is limited to one zone, all its machines
        must become free in the same zone.
        """
        if not all(capacity.up for capacity in chosen):
            return False
        fetching = [capacity for capacity in chosen if job.spec.image not in capacity.images]
        if not fetching:
            return False
        zone_count = (
            len(self._pool.machines_by_zone) if job.spec.one_zone and job.spec.tasks > 1 else 1
        )
        return self._delay.should_wait(job, len(fetching) * zone_count, fetching[0])
