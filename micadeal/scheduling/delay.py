"""Delay scheduling (source, 3.7 and 4.8): a job passes on a machine that would have to fetch its
image, if one that holds it is likely to have room soon.

The data of the source is the image here.  The source waits for a fixed time; here it follows from
what is at stake, the fetch, and a job waits only as far as tasks that are likely to end in that
time leave room for it.  On a small cluster that is hardly ever so, on a large one nearly always.
"""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Machine
from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import MachineCapacity, allowed, fits_into, size_of
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Submission

#: A job waits for this share of the time that its fetch would take.
SHARE_OF_FETCH = 0.5
#: As in the source: a shorter delay than so many report intervals would not bring a machine.
LEAST_REPORTS = 1.5


class Delay:
    """One pass's view of where room is about to come free."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        self._now = now
        self._by_image: dict[str, list[Machine]] | None = None
        self._rates: dict[tuple[object, ...], float] = {}
        #: Tasks that wait already for room on machines that hold an image.
        self._waiting: dict[str, int] = {}

    def passes(self, job: Job, tasks: int, capacity: MachineCapacity) -> bool:
        """Whether the job, with so many tasks to place, had better wait than fetch its image."""
        spec = job.spec
        if job.is_service or spec.image in capacity.images or spec.image in capacity.fetching:
            # What runs until it is cancelled leaves nothing for the next one of its kind.
            return False
        patience = self._patience(spec, capacity)
        if patience < self._cluster.workers.heartbeat_interval * LEAST_REPORTS:
            return False
        if job.passed_since is not None and self._now - job.passed_since >= patience:
            return False
        before = self._waiting.get(spec.image, 0)
        if self._rate(spec) * patience.total_seconds() < before + tasks:
            return False
        self._waiting[spec.image] = before + tasks
        if job.passed_since is None:
            job.passed_since = self._now
        return True

    def _patience(self, spec: Submission, capacity: MachineCapacity) -> timedelta:
        kind = self._cluster.types.get(capacity.machine_type)
        if kind is None or kind.fetch_gb_per_s <= 0:
            return ZERO
        return seconds(spec.image_gb / kind.fetch_gb_per_s * SHARE_OF_FETCH)

    def _rate(self, spec: Submission) -> float:
        """Tasks per second that are likely to end and to leave room for one of this size on a
        machine that holds its image."""
        key = (spec.image, *size_of(spec))
        known = self._rates.get(key)
        if known is not None:
            return known
        rate = 0.0
        for machine in self._machines().get(spec.image, ()):
            shape = machine.shape
            if shape is None or not allowed(spec, machine.machine_type, machine.zone, machine.spot):
                continue
            for attempt in machine.attempts.values():
                job = self._cluster.jobs[attempt.job_id]
                left = job.spec
                if not job.is_service and fits_into(
                    spec,
                    left.cpus + shape.cpus,
                    left.gpus + shape.gpus,
                    left.memory_gb + shape.memory_gb,
                ):
                    rate += 1.0 / max(left.estimate_s, 1.0)
        self._rates[key] = rate
        return rate

    def _machines(self) -> dict[str, list[Machine]]:
        if self._by_image is None:
            self._by_image = {}
            for machine in self._cluster.machines.values():
                if machine.shape is None or machine.lost or machine.draining:
                    continue
                if machine.notice_end is None and machine.up:
                    for image in machine.shape.images:
                        self._by_image.setdefault(image, []).append(machine)
        return self._by_image
