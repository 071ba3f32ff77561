"""Delay scheduling (design, 3.7 and 4.8): a job waits for a machine that caches its image.

It passes on a machine that would have to fetch the image, if one that caches it is likely to have
capacity soon.  The input data of the design is the image here.  The design waits for a fixed time;
here it follows from what is at stake, the fetch, and a job waits only as far as tasks that are
likely to end in that time leave capacity for it.  On a small cluster that is hardly ever so, on a
large one nearly always.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Machine
from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import (
    MachineCapacity,
    RequestKey,
    allowed,
    fits_into,
    request_key,
)
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Submission

#: A job waits for this share of the time that its fetch would take.
FETCH_SHARE = 0.5
#: As in the design: a delay shorter than so many heartbeat intervals would not bring a machine.
MIN_HEARTBEATS = 1.5


class DelayScheduling:
    """One cycle's estimate of where capacity beside a cached image is about to become free."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        self._now = now
        self._machines_by_image: dict[str, list[Machine]] | None = None
        self._rates: dict[RequestKey, float] = {}
        #: Tasks that wait already for machines that cache an image.
        self._waiting: dict[str, int] = {}

    def should_wait(self, job: Job, tasks: int, capacity: MachineCapacity) -> bool:
        """Return whether the job, with so many tasks to place, had better wait than fetch here."""
        spec = job.spec
        if job.is_service or spec.image in capacity.images or spec.image in capacity.fetching:
            # A service runs until it is cancelled and frees nothing for the next one of its kind.
            return False
        delay = self._delay(spec, capacity)
        if delay < self._cluster.workers.heartbeat_interval * MIN_HEARTBEATS:
            return False
        if job.declined_since is not None and self._now - job.declined_since >= delay:
            return False
        before = self._waiting.get(spec.image, 0)
        if self._end_rate(spec) * delay.total_seconds() < before + tasks:
            return False
        self._waiting[spec.image] = before + tasks
        if job.declined_since is None:
            job.declined_since = self._now
        return True

    def _delay(self, spec: Submission, capacity: MachineCapacity) -> timedelta:
        kind = self._cluster.types.get(capacity.machine_type)
        if kind is None or kind.fetch_gb_per_s <= 0:
            return ZERO
        return seconds(spec.image_gb / kind.fetch_gb_per_s * FETCH_SHARE)

    def _end_rate(self, spec: Submission) -> float:
        """Return how many tasks per second are likely to end and leave capacity for such a task.

        Only machines that cache its image count.
        """
        key = (spec.image, *request_key(spec))
        known = self._rates.get(key)
        if known is not None:
            return known
        rate = 0.0
        for estimate_s in self._ending_for(spec):
            rate += 1.0 / max(estimate_s, 1.0)
        self._rates[key] = rate
        return rate

    def _ending_for(self, spec: Submission) -> Iterator[float]:
        """Yield the estimates of running tasks whose end leaves capacity for such a task."""
        for machine in self._caching(spec.image):
            shape = machine.free_capacity
            if shape is None or not allowed(spec, machine.machine_type, machine.zone, machine.spot):
                continue
            for attempt in machine.attempts.values():
                job = self._cluster.jobs[attempt.job_id]
                ending = job.spec
                if not job.is_service and fits_into(
                    spec,
                    ending.cpus + shape.cpus,
                    ending.gpus + shape.gpus,
                    ending.memory_gb + shape.memory_gb,
                ):
                    yield ending.estimate_s

    def _caching(self, image: str) -> list[Machine]:
        """Return the machines in use that cache the image."""
        if self._machines_by_image is None:
            self._machines_by_image = {}
            for machine in self._cluster.machines.values():
                if machine.free_capacity is None or machine.lease_expired or machine.draining:
                    continue
                if machine.reclaim_expected_at is None and machine.up:
                    for cached in machine.free_capacity.images:
                        self._machines_by_image.setdefault(cached, []).append(machine)
        return self._machines_by_image.get(image, [])
