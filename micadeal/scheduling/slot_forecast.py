"""Forecast of when machines have free slots for a job, if nothing is added to them."""

from __future__ import annotations

from datetime import timedelta

from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import fits_into, type_fits
from micadeal.scheduling.capacity import heartbeat_timeout
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.sharing.order import RANK
from micadeal.wire.users import Priority

LOW = RANK[Priority.LOW]
#: Remaining time of a task that is being stopped, in seconds.
STOPPING_S = 5.0
#: Added to a task that still fetches its image, in seconds.
FETCHING_S = 15.0
#: Remaining time of a task past its estimate, as a share of its running time.
OVERDUE_SHARE = 0.5


def slots_needed(job: Job) -> int:
    """Return how many slots the job needs before any of its tasks starts."""
    return job.spec.tasks if job.is_gang else 1


class SlotForecast:
    """The forecast at one instant, by the owners' estimates of running time."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        self._now = now
        timeout = heartbeat_timeout(cluster)
        #: Machines that may get new work.
        self.usable_machines = [m for m in cluster.machines.values() if m.usable(now, timeout)]

    def free_at(self, machine: Machine, job: Job) -> list[float]:
        """Return in how many seconds each slot becomes free, soonest first.

        What does not end by itself, or is urgent itself, stays.
        """
        kind = self._cluster.types.get(machine.machine_type)
        spec = job.spec
        if kind is None or not type_fits(spec, kind):
            return []
        cpus, gpus, memory_gb = kind.cpus, kind.gpus, kind.memory_gb
        for attempt in machine.attempts.values():
            other = self._cluster.jobs[attempt.job_id].spec
            cpus -= other.cpus
            gpus -= other.gpus
            memory_gb -= other.memory_gb
        ending = self._ending(machine, job)
        needed = slots_needed(job)
        result: list[float] = []
        at = 0.0
        while True:
            while fits_into(spec, cpus, gpus, memory_gb):
                result.append(at)
                cpus -= spec.cpus
                gpus -= spec.gpus
                memory_gb -= spec.memory_gb
                if len(result) >= needed:
                    return result
            if not ending:
                return result
            at, ended = ending.pop(0)
            cpus += ended.spec.cpus
            gpus += ended.spec.gpus
            memory_gb += ended.spec.memory_gb

    def _ending(self, machine: Machine, job: Job) -> list[tuple[float, Job]]:
        """Return the tasks that end, as (seconds left, job), soonest first."""
        ending: list[tuple[float, Job]] = []
        for attempt in machine.attempts.values():
            other = self._cluster.jobs[attempt.job_id]
            left = _seconds_left(other, attempt, self._now)
            if left is None:
                continue
            if other.rank > job.rank and other.rank == LOW:
                # Low work is preempted at once (scheduling/preemption_demand.py).
                left = min(left, STOPPING_S + other.spec.save_s)
            ending.append((left, other))
        ending.sort(key=lambda entry: entry[0])
        return ending


def _seconds_left(job: Job, attempt: Attempt, now: timedelta) -> float | None:
    """Return how long a task is likely to stay; None: it does not end by itself."""
    if attempt.stop is not None or job.over:
        return STOPPING_S
    if job.is_service or job.production:
        return None
    estimate = job.spec.estimate_s
    if attempt.running_since is None:
        return estimate + FETCHING_S
    ran = (now - attempt.running_since).total_seconds()
    return estimate - ran if ran < estimate else max(ran * OVERDUE_SHARE, STOPPING_S)
