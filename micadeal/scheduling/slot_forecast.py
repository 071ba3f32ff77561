"""Forecasts when machines have free slots for a job, if no other work is placed on them."""

from __future__ import annotations

from datetime import timedelta

from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import fits_into, type_fits
from micadeal.scheduling.capacity import heartbeat_timeout
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.sharing.order import RANK
from micadeal.wire.users import Priority

LOW_RANK = RANK[Priority.LOW]
#: Assumed remaining time of a task that is being stopped, in seconds.
STOPPING_S = 5.0
#: Added to the remaining time of a task that does not run yet, for its image fetch, in seconds.
FETCHING_S = 15.0
#: Assumed remaining time of a task past its estimate, as a share of its running time.
OVERDUE_SHARE = 0.5


def slots_needed(job: Job) -> int:
    """Return how many slots the job needs before any of its tasks can start."""
    return job.spec.tasks if job.is_gang else 1


class SlotForecast:
    """The forecast at one instant, based on the users' run time estimates."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        self._now = now
        timeout = heartbeat_timeout(cluster)
        #: Machines that may get new work.
        self.usable_machines = [m for m in cluster.machines.values() if m.usable(now, timeout)]

    def free_at(self, machine: Machine, job: Job) -> list[float]:
        """Return in how many seconds each slot becomes free, soonest first.

        Services and production tasks are assumed to stay, unless they are being stopped or their
        job is over.
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
        slot_times: list[float] = []
        time_s = 0.0
        while True:
            while fits_into(spec, cpus, gpus, memory_gb):
                slot_times.append(time_s)
                cpus -= spec.cpus
                gpus -= spec.gpus
                memory_gb -= spec.memory_gb
                if len(slot_times) >= needed:
                    return slot_times
            if not ending:
                return slot_times
            time_s, ended = ending.pop(0)
            cpus += ended.spec.cpus
            gpus += ended.spec.gpus
            memory_gb += ended.spec.memory_gb

    def _ending(self, machine: Machine, job: Job) -> list[tuple[float, Job]]:
        """Return the tasks that are expected to end, as (seconds left, job), soonest first."""
        ending: list[tuple[float, Job]] = []
        for attempt in machine.attempts.values():
            other = self._cluster.jobs[attempt.job_id]
            remaining_s = _seconds_left(other, attempt, self._now)
            if remaining_s is None:
                continue
            if other.rank > job.rank and other.rank == LOW_RANK:
                # Low-priority work is preempted immediately (scheduling/preemption_demand.py).
                remaining_s = min(remaining_s, STOPPING_S + other.spec.save_s)
            ending.append((remaining_s, other))
        ending.sort(key=lambda entry: entry[0])
        return ending


def _seconds_left(job: Job, attempt: Attempt, now: timedelta) -> float | None:
    """Return how long a task is likely to stay, or None if it does not end by itself."""
    if attempt.stop_grace is not None or job.ended:
        return STOPPING_S
    if job.is_service or job.production:
        return None
    estimate_s = job.spec.estimate_s
    if attempt.running_since is None:
        return estimate_s + FETCHING_S
    ran_s = (now - attempt.running_since).total_seconds()
    return estimate_s - ran_s if ran_s < estimate_s else max(ran_s * OVERDUE_SHARE, STOPPING_S)
