"""Bookings of one scheduling cycle: task starts, reserved capacity, and usage of each team."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import EPSILON, MachineCapacity
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.pending_reasons import (
    BEING_RENTED,
    CPU_LIMIT,
    GANG_INCOMPLETE,
    GPU_LIMIT,
    STILL_BOOTING,
)
from micadeal.scheduling.plan import Plan
from micadeal.sharing.shares import Amounts


class Bookings:
    """Books tasks for jobs and keeps track of what each team uses."""

    __slots__ = ("_cluster", "_now", "_plan", "_reserved_tasks", "unplaced", "usage")

    def __init__(self, cluster: ClusterState, plan: Plan, now: timedelta) -> None:
        self._cluster = cluster
        self._plan = plan
        self._now = now
        #: (CPUs, GPUs) by team, including the bookings of this cycle.
        self.usage: dict[str, Amounts] = cluster.usage()
        #: Pending tasks with capacity reserved in this cycle, by job.
        self._reserved_tasks: Counter[str] = Counter()
        #: Jobs with tasks that can't start now, in the order in which they were considered.
        self.unplaced: list[Job] = []

    def waiting(self, job: Job) -> int:
        """Return how many tasks of the job are neither placed nor have capacity reserved."""
        return job.waiting_count() - self._reserved_tasks[job.id]

    def limit_reason(self, job: Job, tasks: int) -> str | None:
        """Return which limit of its team this many more tasks would exceed, or None."""
        spec = job.spec
        team = self._cluster.teams[spec.team]
        cpus, gpus = self.usage[team.name]
        if spec.cpus and team.cpus_max and cpus + tasks * spec.cpus > team.cpus_max + EPSILON:
            return CPU_LIMIT
        if spec.gpus and team.gpus_max and gpus + tasks * spec.gpus > team.gpus_max + EPSILON:
            return GPU_LIMIT
        return None

    def book_task(self, job: Job, capacity: MachineCapacity, number: int | None = None) -> None:
        """Place the job's next task if the machine is up; otherwise reserve the capacity for it.

        ``number`` is the attempt number that all tasks of a gang share; None assigns a new one.
        """
        self._charge(job, 1)
        index = job.next_waiting()
        if capacity.up and index is not None:
            machine = self._cluster.machines[capacity.name]
            if job.spec.image in capacity.images:
                job.delayed_since = None
            attempt = self._cluster.place(
                job, index, number or self._cluster.next_number(), machine, self._now
            )
            self._plan.placed.append(attempt.placed_task)
            return
        self._reserved_tasks[job.id] += 1
        job.reasons[BEING_RENTED if capacity.planned else STILL_BOOTING] += 1
        self.unplaced.append(job)

    def reserve_gang(self, job: Job, capacities: list[MachineCapacity]) -> None:
        """Reserve capacity for all tasks of a gang.

        This includes machines that are already up.  Otherwise the gang's machines would never be
        free at the same time.
        """
        tasks = job.spec.tasks
        self._charge(job, tasks)
        self._reserved_tasks[job.id] += tasks
        self._plan.reserved.update(c.name for c in capacities if not c.planned)
        job.reasons[GANG_INCOMPLETE] += tasks
        self.unplaced.append(job)

    def _charge(self, job: Job, tasks: int) -> None:
        cpus, gpus = self.usage[job.spec.team]
        self.usage[job.spec.team] = (cpus + tasks * job.spec.cpus, gpus + tasks * job.spec.gpus)
