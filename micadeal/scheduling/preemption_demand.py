"""Selects the jobs for which others may be preempted.

Production jobs may preempt without delay, jobs of starved teams as their starvation timers allow.
"""

from __future__ import annotations

from dataclasses import dataclass

from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import EPSILON, RequestKey, request_key
from micadeal.scheduling.cycle_data import PlacementOutcome, TeamResource
from micadeal.scheduling.plan import TeamState
from micadeal.sharing.order import RANK
from micadeal.sharing.shares import Amounts, resource_amount
from micadeal.sharing.starvation import StarvationTimer, TeamUsage
from micadeal.wire.users import Priority

LOW_RANK = RANK[Priority.LOW]
#: Maximum number of jobs per cycle for which low-priority work is preempted without waiting for a
#: starvation timer; the next cycle continues.
MAX_LOW_PREEMPTORS = 8


@dataclass(frozen=True, slots=True)
class Preemptor:
    """A job for which others may be preempted, and the number of its tasks to serve."""

    job: Job
    tasks: int
    #: Whether its team is below its guarantee.
    for_guarantee: bool
    #: Whether only low-priority work may be preempted.
    only_low_priority: bool = False

    @property
    def key(self) -> RequestKey:
        """Key by which preemptors that may preempt the same victims compare equal."""
        spec = self.job.spec
        return (
            spec.team,
            self.job.rank,
            self.for_guarantee,
            self.only_low_priority,
            *request_key(spec),
        )


@dataclass(slots=True)
class _Shortage:
    """A team's shortage of a resource, in booked units; reduced as preemptors are found."""

    #: Units that the starvation timers allow to preempt now.
    preemptible_units: float
    #: Whether the team is short of its guarantee, rather than of its fair share.
    for_guarantee: bool
    #: Unmet demand below the guarantee, regardless of the timers.
    units_below_guarantee: float


class PreemptionDemand:
    """Finds the preemptors among the jobs that a cycle could not place."""

    def __init__(self, outcome: PlacementOutcome, usage: dict[str, Amounts]) -> None:
        self._outcome = outcome
        self._shortages = self._update_timers(usage)
        cluster = outcome.inputs.cluster
        #: Ids of jobs for which machines are reserved.
        self._with_reservation = {m.reserved_for for m in cluster.machines.values()} - {None}
        low_priority_runs = any(
            job.rank == LOW_RANK and job.attempts for job in cluster.live_jobs()
        )
        self._low_preemptors_left = MAX_LOW_PREEMPTORS if low_priority_runs else 0

    def preemptors(self) -> list[Preemptor]:
        """Return the preemptors in the order in which their jobs were considered."""
        result: list[Preemptor] = []
        considered: set[str] = set()
        for job in self._outcome.unplaced:
            if job.id in considered:
                continue
            if job.is_gang and job.spec.tasks > 1 and job.id not in self._with_reservation:
                continue
            considered.add(job.id)
            # Nothing is preempted for a job that fails on several machines.
            preemptor = None if job.suspected_faulty else self._preemptor(job)
            if preemptor is not None:
                result.append(preemptor)
        return result

    def _preemptor(self, job: Job) -> Preemptor | None:
        pending = job.waiting_count()
        shortage = self._shortages[job.spec.team, job.resource]
        if job.production:
            return Preemptor(job, pending, shortage.for_guarantee)
        if shortage.preemptible_units >= job.units - EPSILON:
            tasks = min(pending, int(shortage.preemptible_units / job.units + EPSILON))
            shortage.preemptible_units -= tasks * job.units
            shortage.units_below_guarantee -= tasks * job.units
            return Preemptor(job, tasks, shortage.for_guarantee)
        reserved = job.id in self._with_reservation
        if (
            self._low_preemptors_left
            and job.rank < LOW_RANK
            and (reserved or shortage.units_below_guarantee >= job.units)
        ):
            # Low-priority work runs on capacity that others leave unused.  It gives way to a team
            # below its guarantee, and on reserved machines, without waiting for a timer: timers are
            # for tolerable unfairness (design, 4.5).
            self._low_preemptors_left -= 1
            tasks = pending
            if not reserved:
                tasks = min(pending, int(shortage.units_below_guarantee / job.units + EPSILON))
            shortage.units_below_guarantee -= tasks * job.units
            return Preemptor(job, tasks, for_guarantee=False, only_low_priority=True)
        return None

    def _update_timers(self, usage: dict[str, Amounts]) -> dict[TeamResource, _Shortage]:
        """Update the starvation timers and return the shortage of each team."""
        return {
            (name, resource): self._shortage(
                name, resource, state, resource_amount(usage[name], resource)
            )
            for resource, states in self._outcome.plan.teams.items()
            for name, state in states.items()
        }

    def _shortage(self, name: str, resource: str, state: TeamState, used: float) -> _Shortage:
        """Update a team's timer and return its shortage.

        ``used``: units of running tasks, without reserved capacity.
        """
        inputs = self._outcome.inputs
        now, policy = inputs.now, inputs.policy
        timer = inputs.timers.setdefault((name, resource), StarvationTimer(now, now))
        team = TeamUsage(used, state.demand, state.guarantee, state.share)
        timer.update(now, team)
        preemptible_units, for_guarantee = timer.starved_amount(
            now,
            team,
            policy.team(name).minimum_timeout or policy.minimum_timeout,
            policy.share_timeout,
        )
        units_below_guarantee = max(min(state.guarantee, state.demand) - used, 0.0)
        return _Shortage(preemptible_units, for_guarantee, units_below_guarantee)
