"""Delay scheduling (design, 3.7 and 4.8): a job waits for a machine that caches its image.

A job declines a machine that would have to fetch the image if a machine that caches it is likely
to have capacity soon.  The image takes the place of the design's input data.  The design waits for
a fixed time.  Here the delay is a share of the time that the fetch takes, and a job waits only if
enough running tasks are likely to end within the delay to leave capacity for it.  This is rarely
the case on a small cluster and nearly always on a large one.
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
    fits_into,
    placement_allowed,
    request_key,
)
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Submission

#: Delay as a share of the time that fetching the image would take.
DELAY_FETCH_SHARE = 0.5
#: Shortest delay, in heartbeat intervals (as in the design): no machine would become free within a
#: shorter one.
MIN_DELAY_HEARTBEATS = 1.5


class DelayScheduling:
    """One cycle's estimate of the capacity that becomes free on machines that cache an image."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        self._now = now
        self._machines_by_image: dict[str, list[Machine]] | None = None
        self._end_rates: dict[RequestKey, float] = {}
        #: Tasks that this cycle has already delayed, by image.
        self._delayed_tasks: dict[str, int] = {}

    def should_wait(self, job: Job, tasks: int, capacity: MachineCapacity) -> bool:
        """Return whether ``tasks`` tasks of the job should wait rather than fetch the image."""
        spec = job.spec
        if job.is_service or spec.image in capacity.images or spec.image in capacity.fetching:
            # A service runs until it is cancelled, so it frees no capacity for other services.
            return False
        delay = self._delay(spec, capacity)
        if delay < self._cluster.workers.heartbeat_interval * MIN_DELAY_HEARTBEATS:
            return False
        if job.delayed_since is not None and self._now - job.delayed_since >= delay:
            return False
        already_waiting = self._delayed_tasks.get(spec.image, 0)
        if self._end_rate(spec) * delay.total_seconds() < already_waiting + tasks:
            return False
        self._delayed_tasks[spec.image] = already_waiting + tasks
        if job.delayed_since is None:
            job.delayed_since = self._now
        return True

    def _delay(self, spec: Submission, capacity: MachineCapacity) -> timedelta:
        kind = self._cluster.types.get(capacity.machine_type)
        if kind is None or kind.fetch_gb_per_s <= 0:
            return ZERO
        return seconds(spec.image_gb / kind.fetch_gb_per_s * DELAY_FETCH_SHARE)

    def _end_rate(self, spec: Submission) -> float:
        """Return the rate, per second, at which ending tasks free capacity for a task.

        ``spec`` describes the task.  Only machines that cache its image count.
        """
        key = (spec.image, *request_key(spec))
        cached_rate = self._end_rates.get(key)
        if cached_rate is not None:
            return cached_rate
        rate = 0.0
        for estimate_s in self._ending_estimates(spec):
            rate += 1.0 / max(estimate_s, 1.0)
        self._end_rates[key] = rate
        return rate

    def _ending_estimates(self, spec: Submission) -> Iterator[float]:
        """Yield the estimates of running tasks whose end frees capacity for a task of ``spec``."""
        for machine in self._machines_caching(spec.image):
            free = machine.free_capacity
            if free is None or not placement_allowed(
                spec, machine.machine_type, machine.zone, machine.spot
            ):
                continue
            for attempt in machine.attempts.values():
                job = self._cluster.jobs[attempt.job_id]
                ending_spec = job.spec
                if not job.is_service and fits_into(
                    spec,
                    ending_spec.cpus + free.cpus,
                    ending_spec.gpus + free.gpus,
                    ending_spec.memory_gb + free.memory_gb,
                ):
                    yield ending_spec.estimate_s

    def _machines_caching(self, image: str) -> list[Machine]:
        """Return the usable machines that cache the image."""
        if self._machines_by_image is None:
            self._machines_by_image = {}
            for machine in self._cluster.machines.values():
                if machine.free_capacity is None or machine.lease_expired or machine.draining:
                    continue
                if machine.reclaim_expected_at is None and machine.up:
                    for cached_image in machine.free_capacity.images:
                        self._machines_by_image.setdefault(cached_image, []).append(machine)
        return self._machines_by_image.get(image, [])
