"""Which jobs others may be preempted for: production at once, starved teams by their timers."""

from __future__ import annotations

from dataclasses import dataclass

from micadeal.jobs.model import Job
from micadeal.placement.machine_capacity import EPSILON, RequestKey, request_key
from micadeal.scheduling.cycle_data import CycleFindings, TeamResource
from micadeal.scheduling.plan import TeamState
from micadeal.sharing.order import RANK
from micadeal.sharing.shares import Amounts, booked
from micadeal.sharing.starvation import StarvationTimer, TeamUsage
from micadeal.wire.users import Priority

LOW = RANK[Priority.LOW]
#: Jobs for which low-priority work is preempted at once in one cycle; the next cycle goes on.
MAX_LOW_PREEMPTORS = 8


@dataclass(frozen=True, slots=True)
class Preemptor:
    """A job that others may be preempted for, and how many of its tasks."""

    job: Job
    tasks: int
    #: Its team is below its guarantee.
    for_guarantee: bool
    #: Only low-priority work may be preempted.
    only_low: bool = False

    @property
    def key(self) -> RequestKey:
        """Preemptors with equal keys find the same victims."""
        spec = self.job.spec
        return (
            spec.team,
            self.job.rank,
            self.for_guarantee,
            self.only_low,
            *request_key(spec),
        )


@dataclass(slots=True)
class _Shortage:
    """What a team lacks of a resource, in booked units; reduced as preemptors are found."""

    #: May be preempted for now, by the starvation timers.
    by_timers: float
    #: The guarantee is what is lacking.
    for_guarantee: bool
    #: Demand below the guarantee, whatever the timers say.
    below_guarantee: float


class PreemptionDemand:
    """Finds the preemptors among the jobs that a cycle could not place."""

    def __init__(self, findings: CycleFindings, usage: dict[str, Amounts]) -> None:
        self._findings = findings
        self._shortages = self._update_timers(usage)
        cluster = findings.inputs.cluster
        #: Jobs that machines are reserved for.
        self._with_reservation = {m.reserved_for for m in cluster.machines.values()} - {None}
        low_runs = any(job.rank == LOW and job.attempts for job in cluster.live_jobs())
        self._low_left = MAX_LOW_PREEMPTORS if low_runs else 0

    def preemptors(self) -> list[Preemptor]:
        """Return the preemptors in the order in which their jobs were considered."""
        result: list[Preemptor] = []
        seen: set[str] = set()
        for job in self._findings.unplaced:
            if job.id in seen:
                continue
            if job.is_gang and job.spec.tasks > 1 and job.id not in self._with_reservation:
                continue
            seen.add(job.id)
            # Nothing is preempted for what fails everywhere.
            preemptor = None if job.suspected_faulty else self._preemptor(job)
            if preemptor is not None:
                result.append(preemptor)
        return result

    def _preemptor(self, job: Job) -> Preemptor | None:
        pending = job.waiting_count()
        shortage = self._shortages[job.spec.team, job.resource]
        if job.production:
            return Preemptor(job, pending, shortage.for_guarantee)
        if shortage.by_timers >= job.units - EPSILON:
            tasks = min(pending, int(shortage.by_timers / job.units + EPSILON))
            shortage.by_timers -= tasks * job.units
            shortage.below_guarantee -= tasks * job.units
            return Preemptor(job, tasks, shortage.for_guarantee)
        reserved = job.id in self._with_reservation
        if (
            self._low_left
            and job.rank < LOW
            and (reserved or shortage.below_guarantee >= job.units)
        ):
            # Low work runs in what others leave: it gives way at once to a team below its
            # guarantee, and on reserved machines.  The timers are for unfairness that is tolerable
            # (design, 4.5).
            self._low_left -= 1
            tasks = pending
            if not reserved:
                tasks = min(pending, int(shortage.below_guarantee / job.units + EPSILON))
            shortage.below_guarantee -= tasks * job.units
            return Preemptor(job, tasks, for_guarantee=False, only_low=True)
        return None

    def _update_timers(self, usage: dict[str, Amounts]) -> dict[TeamResource, _Shortage]:
        """Update the starvation timers and return what each team lacks."""
        return {
            (name, resource): self._shortage(name, resource, state, booked(usage[name], resource))
            for resource, states in self._findings.plan.teams.items()
            for name, state in states.items()
        }

    def _shortage(self, name: str, resource: str, state: TeamState, used: float) -> _Shortage:
        """Update a team's timer; ``used``: what runs, without capacity reserved for later."""
        inputs = self._findings.inputs
        now, policy = inputs.now, inputs.policy
        timer = inputs.timers.setdefault((name, resource), StarvationTimer(now, now))
        team = TeamUsage(used, state.demand, state.minimum, state.share)
        timer.update(now, team)
        by_timers, for_guarantee = timer.starved_amount(
            now,
            team,
            policy.team(name).minimum_timeout or policy.minimum_timeout,
            policy.share_timeout,
        )
        below_guarantee = max(min(state.minimum, state.demand) - used, 0.0)
        return _Shortage(by_timers, for_guarantee, below_guarantee)
