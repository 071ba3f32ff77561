"""One scheduling cycle: place tasks in fair-share order, plan machines to rent, choose victims.

A cycle does no I/O.  It changes only the cluster state, to which it adds attempts; the caller
persists them before they are started.
"""

from __future__ import annotations

from micadeal.jobs.model import Job
from micadeal.scheduling.bookings import Bookings
from micadeal.scheduling.capacity import build_capacities
from micadeal.scheduling.capacity_pool import CapacityPool
from micadeal.scheduling.cycle_data import CycleInputs, PlacementOutcome
from micadeal.scheduling.delay import DelayScheduling
from micadeal.scheduling.gang_placement import GangPlacement
from micadeal.scheduling.plan import Plan, TeamState
from micadeal.scheduling.preemption import Preemption
from micadeal.scheduling.scale_out import ScaleOut
from micadeal.scheduling.task_placement import TaskPlacement
from micadeal.scheduling.team_shares import runnable_jobs, team_states
from micadeal.scheduling.warm_capacity import keep_warm_capacity
from micadeal.sharing.order import team_key

#: Jobs that use accelerators are served first; the others use the remaining cores.
RESOURCES = ("gpus", "cpus")


class SchedulingCycle:
    """The state of one cycle; ``run`` is called once."""

    def __init__(self, inputs: CycleInputs) -> None:
        self._inputs = inputs
        cluster, now = inputs.cluster, inputs.now
        self.plan = Plan()
        self.pool = CapacityPool(
            cluster,
            build_capacities(cluster, now, inputs.pending_rentals),
            inputs.instance_offers.all_spot_backing_off(now),
        )
        self._bookings = Bookings(cluster, self.plan, now)
        self._scale_out = ScaleOut(inputs, self.pool, self.plan)
        delay = DelayScheduling(cluster, now)
        self._tasks = TaskPlacement(inputs, self.pool, self._bookings, self._scale_out, delay)
        self._gangs = GangPlacement(cluster, self.pool, self._bookings, self._scale_out, delay)

    def run(self) -> Plan:
        """Run the cycle and return its plan."""
        runnable = runnable_jobs(self._inputs)
        for resource in RESOURCES:
            self._serve_resource(resource, [job for job in runnable if job.resource == resource])
        for work in self._inputs.expected:
            keep_warm_capacity(work, self.pool, self._scale_out, self.plan)
        for capacity in self.pool.capacities:
            if capacity.booked and not capacity.planned and not capacity.up:
                self.plan.reserved.add(capacity.name)
        outcome = PlacementOutcome(
            self._inputs,
            self.plan,
            self.pool.machines_by_zone,
            self._bookings.unplaced,
            self.pool.spot_scarce,
        )
        Preemption(outcome).select()
        return self.plan

    def _serve_resource(self, resource: str, jobs: list[Job]) -> None:
        states = team_states(resource, jobs, self._inputs, self.pool, self._bookings)
        self.plan.teams[resource] = states
        self.pool.select_resource(resource)
        # Production jobs come first: they must not wait behind jobs that may be preempted for them.
        # The order within each of the two groups is that of the design.
        for production in (True, False):
            self._serve([job for job in jobs if job.production is production], states)

    def _serve(self, jobs: list[Job], states: dict[str, TeamState]) -> None:
        """Offer capacity to the teams in fair-share order until every job has passed."""
        queues: dict[str, list[Job]] = {}
        for job in jobs:
            queues.setdefault(job.spec.team, []).append(job)
        #: Teams whose longest waiting job is offered capacity before the others.
        by_age: set[str] = set()
        for team, queue in queues.items():
            oldest = self._longest_waiting(queue)
            # Jobs are taken from the end.
            queue.reverse()
            if oldest is not None:
                # It is considered once before the others, and again at its own place in the queue.
                queue.append(oldest)
                by_age.add(team)
        while queues:
            team = min(
                queues,
                key=lambda name: (
                    *team_key(states[name].used, states[name].guarantee, states[name].weight),
                    name,
                ),
            )
            queue = queues[team]
            job = queue[-1]
            units = self._place(job)
            states[team].used += units
            if team in by_age:
                by_age.discard(team)
                if units:
                    self._inputs.served_by_age.add(team)
                queue.pop()
                continue
            if units:
                self._inputs.served_by_age.discard(team)
            if not units or not self._bookings.waiting(job):
                # The job passes (design, 4.2): the team's next job is considered.
                queue.pop()
                self.pool.forget_ranking(job)
                if not queue:
                    del queues[team]

    def _place(self, job: Job) -> float:
        """Place one task or a whole gang and return its units; 0 if the job passes."""
        if not self._bookings.waiting(job):
            return 0.0
        return self._gangs.place(job) if job.is_gang else self._tasks.place(job)

    def _longest_waiting(self, queue: list[Job]) -> Job | None:
        """Return the team's job that has waited longest without a started task, if it is due.

        Guards against single jobs that wait until a job of thousands of tasks before them is done.
        Every other start of a team goes to the longest waiting job, so neither starves the other.
        """
        if queue[0].spec.team in self._inputs.served_by_age:
            return None
        min_wait, now = self._inputs.policy.reserve_after_at_fair_share, self._inputs.now
        waiting = [job for job in queue[1:] if job.not_started and now - job.ready_at >= min_wait]
        return min(waiting, key=lambda job: (job.ready_at, job.id), default=None)
