"""Preemption: victims for what a scheduling cycle could not place.

The last step of a cycle.  It works on the capacities as they will be when everything that is being
stopped has stopped.
"""

from __future__ import annotations

from collections import Counter

from micadeal.fleet.machines import Attempt
from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import ZoneRule
from micadeal.placement.machine_capacity import MachineCapacity, RequestKey, allowed
from micadeal.scheduling.capacity import build_capacities
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.cycle_data import CycleFindings
from micadeal.scheduling.plan import Kill
from micadeal.scheduling.preemption_demand import LOW, PreemptionDemand, Preemptor
from micadeal.sharing.shares import booked
from micadeal.sharing.victims import FreedAmounts, Victim, choose_victims, may_preempt

#: Tasks for which victims are chosen in one cycle; the next cycle goes on.
MAX_SERVED_TASKS = 24


class Preemption:
    """Reads a cycle's findings, and adds to its plan what is to be stopped."""

    def __init__(self, findings: CycleFindings) -> None:
        self._findings = findings
        self._cluster = findings.inputs.cluster
        #: (cores, accelerators) by team that may be running; nothing that is only reserved.
        self._usage = self._cluster.usage()
        #: Capacities by machine name, and victims by machine.
        self._capacities: dict[str, MachineCapacity] = {}
        self._victims: dict[str, list[Victim]] = {}
        self._tasks_left = MAX_SERVED_TASKS
        #: Preemptors for which nothing can be done: within a cycle capacities only shrink.
        self._hopeless: set[RequestKey] = set()

    def select(self) -> None:
        """Choose the victims of this cycle."""
        preemptors = PreemptionDemand(self._findings, self._usage).preemptors()
        if not preemptors:
            return
        self._capacities = self._capacities_after_stops()
        self._victims = _victims_by_machine(self._cluster)
        bound = self._machines_with_bound_work()
        for preemptor in preemptors:
            if self._tasks_left <= 0:
                return
            if preemptor.key not in self._hopeless:
                self._serve(preemptor, bound)

    def _serve(self, preemptor: Preemptor, bound: set[str]) -> None:
        """Choose victims for as many of the preemptor's tasks as possible."""
        job = preemptor.job
        rule = ZoneRule(job.spec, self._cluster.zones_of(job))
        usable = self._usable_capacities(job, bound)
        surplus = self._surplus(job.resource)
        for _ in range(preemptor.tasks):
            if self._tasks_left <= 0:
                return
            chosen = self._victims_for_task(preemptor, rule, usable, surplus)
            if chosen is None:
                if all(map(rule.permits, self._findings.machines_by_zone)):
                    self._hopeless.add(preemptor.key)
                return
            for victim in chosen:
                self._kill(preemptor, victim)
            self._tasks_left -= bool(chosen)

    def _kill(self, preemptor: Preemptor, victim: Victim) -> None:
        self._findings.plan.kills.append(Kill(preemptor.job.id, victim))
        for name in {freed.machine for freed in victim.freed}:
            self._victims[name] = [v for v in self._victims[name] if v is not victim]

    def _surplus(self, resource: str) -> dict[str, float]:
        """Return what each team has beyond its minimum.

        Only what runs counts, not what is reserved for later: nothing else can be given back.
        """
        return {
            name: booked(self._usage[name], resource) - state.minimum
            for name, state in self._findings.plan.teams[resource].items()
        }

    def _usable_capacities(self, job: Job, bound: set[str]) -> list[MachineCapacity]:
        """Return the machines that a cycle would place the job on once victims are gone.

        Guards against a victim that is started and stopped again in every cycle, since the job does
        not go where something was stopped for it.  Not usable are machines where the job failed,
        and on-demand ones on which only the victims are bound to such.  For a gang only machines
        reserved for it are usable: a part of its slots is of no use.
        """
        spec = job.spec
        any_price = not spec.spot_allowed or self._findings.spot_scarce
        return [
            capacity
            for capacity in self._capacities.values()
            if allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
            and capacity.name not in job.errors
            and (capacity.dedicated_to == job.id or not job.is_gang or spec.tasks == 1)
            and (capacity.spot or any_price or capacity.name in bound)
        ]

    def _machines_with_bound_work(self) -> set[str]:
        """Return machines with work that needs an on-demand one and is never preempted."""
        names: set[str] = set()
        for job in self._cluster.live_jobs():
            if (job.production or job.is_service) and not job.spec.spot_allowed:
                names |= {attempt.machine for attempt in job.all_attempts() if attempt.stop is None}
        return names

    def _capacities_after_stops(self) -> dict[str, MachineCapacity]:
        """Return the capacities of machines that are up, without what is being stopped."""
        built = build_capacities(self._cluster, self._findings.inputs.now, Counter())
        capacities = {capacity.name: capacity for capacity in built if capacity.up}
        for machine in self._cluster.machines.values():
            capacity = capacities.get(machine.name)
            if capacity is None:
                continue
            for attempt in machine.attempts.values():
                if attempt.stop is not None:
                    capacity.unbook(self._cluster.jobs[attempt.job_id].spec)
        return capacities

    def _victims_for_task(
        self,
        preemptor: Preemptor,
        rule: ZoneRule,
        usable: list[MachineCapacity],
        surplus: dict[str, float],
    ) -> list[Victim] | None:
        """Return victims for one task.

        The list is empty if capacity is about to become free, and None if nothing can be done.
        """
        spec = preemptor.job.spec
        permitted_zones = [capacity for capacity in usable if rule.permits(capacity.zone)]
        if _book_first_fit(preemptor, permitted_zones, rule):
            return []
        permitted = self._permitted_victims(preemptor, surplus)
        if not permitted:
            return None
        chosen = choose_victims(spec, permitted_zones, self._victims, permitted)
        if not chosen:
            return None
        for victim in chosen:
            surplus[victim.team] = surplus.get(victim.team, 0.0) - victim.units
            for freed in victim.freed:
                if (capacity := self._capacities.get(freed.machine)) is not None:
                    capacity.cpus += freed.cpus
                    capacity.gpus += freed.gpus
                    capacity.memory_gb += freed.memory_gb
        _book_first_fit(preemptor, permitted_zones, rule)
        return chosen

    def _permitted_victims(self, preemptor: Preemptor, surplus: dict[str, float]) -> set[int]:
        """Return the ids (``id``) of victims that the rules allow."""
        team, rank = preemptor.job.spec.team, preemptor.job.rank
        return {
            id(victim)
            for victims in self._victims.values()
            for victim in victims
            if may_preempt(victim, team, rank, preemptor.for_guarantee, surplus)
            and (victim.rank == LOW or not preemptor.only_low)
        }


def _book_first_fit(
    preemptor: Preemptor, capacities: list[MachineCapacity], rule: ZoneRule
) -> bool:
    """Book one task on the first machine that holds it; False if none does."""
    spec = preemptor.job.spec
    for capacity in capacities:
        if capacity.fits(spec):
            capacity.book(spec)
            rule.zones[capacity.zone] += 1
            return True
    return False


def _victims_by_machine(cluster: ClusterState) -> dict[str, list[Victim]]:
    """Return all that could be preempted: single tasks, and gangs as a whole."""
    by_machine: dict[str, list[Victim]] = {}
    for job in cluster.live_jobs():
        if job.production or job.is_service:
            continue
        groups: list[list[Attempt]]
        if job.is_gang:
            groups = [list(job.all_attempts())]
        else:
            groups = [[attempt] for attempt in job.all_attempts()]
        for group in groups:
            running = [attempt for attempt in group if attempt.stop is None]
            if not running:
                continue
            victim = _victim(job, running)
            for name in {attempt.machine for attempt in running}:
                by_machine.setdefault(name, []).append(victim)
    return by_machine


def _victim(job: Job, running: list[Attempt]) -> Victim:
    spec = job.spec
    return Victim(
        job.id,
        spec.team,
        job.rank,
        min(attempt.placed for attempt in running),
        tuple(FreedAmounts(a.machine, spec.cpus, spec.gpus, spec.memory_gb) for a in running),
        job.units * len(running),
        None if job.is_gang else running[0].index,
        job.can_save,
    )
