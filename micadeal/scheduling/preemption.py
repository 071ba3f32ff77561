"""Preemption: chooses victims for tasks that a scheduling cycle could not place.

This is the last step of a cycle.  It works on the capacities as they will be once all tasks that
are being stopped have ended.
"""

from __future__ import annotations

from collections import Counter

from micadeal.fleet.machines import Attempt
from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import ZoneRule
from micadeal.placement.machine_capacity import MachineCapacity, RequestKey, placement_allowed
from micadeal.scheduling.capacity import build_capacities
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.cycle_data import PlacementOutcome
from micadeal.scheduling.plan import PlannedPreemption
from micadeal.scheduling.preemption_demand import LOW_RANK, PreemptionDemand, Preemptor
from micadeal.sharing.shares import resource_amount
from micadeal.sharing.victims import FreedAmounts, Victim, choose_victims, may_preempt

#: Maximum number of tasks for which victims are chosen in one cycle; the next cycle continues.
MAX_SERVED_TASKS = 24


class Preemption:
    """Reads the outcome of placement and adds the victims to its plan."""

    def __init__(self, outcome: PlacementOutcome) -> None:
        self._outcome = outcome
        self._cluster = outcome.inputs.cluster
        #: Cores and accelerators of tasks that may be running, by team; without reserved capacity.
        self._usage = self._cluster.usage()
        #: Capacities by machine name, and victims by machine.
        self._capacities: dict[str, MachineCapacity] = {}
        self._victims: dict[str, list[Victim]] = {}
        self._tasks_left = MAX_SERVED_TASKS
        #: Preemptors for which no victims were found.  They are not tried again: within a cycle
        #: capacities only shrink.
        self._unservable: set[RequestKey] = set()

    def select(self) -> None:
        """Choose the victims of this cycle."""
        preemptors = PreemptionDemand(self._outcome, self._usage).preemptors()
        if not preemptors:
            return
        self._capacities = self._capacities_after_stops()
        self._victims = _victims_by_machine(self._cluster)
        with_on_demand_work = self._machines_with_on_demand_work()
        for preemptor in preemptors:
            if self._tasks_left <= 0:
                return
            if preemptor.key not in self._unservable:
                self._serve(preemptor, with_on_demand_work)

    def _serve(self, preemptor: Preemptor, with_on_demand_work: set[str]) -> None:
        """Choose victims for as many of the preemptor's tasks as possible."""
        job = preemptor.job
        rule = ZoneRule(job.spec, self._cluster.zones_of(job))
        usable = self._usable_capacities(job, with_on_demand_work)
        surplus = self._surplus(job.resource)
        for _ in range(preemptor.tasks):
            if self._tasks_left <= 0:
                return
            chosen = self._victims_for_task(preemptor, rule, usable, surplus)
            if chosen is None:
                if all(map(rule.permits, self._outcome.machines_by_zone)):
                    self._unservable.add(preemptor.key)
                return
            for victim in chosen:
                self._kill(preemptor, victim)
            self._tasks_left -= bool(chosen)

    def _kill(self, preemptor: Preemptor, victim: Victim) -> None:
        self._outcome.plan.preemptions.append(PlannedPreemption(preemptor.job.id, victim))
        for name in {freed.machine for freed in victim.freed}:
            self._victims[name] = [v for v in self._victims[name] if v is not victim]

    def _surplus(self, resource: str) -> dict[str, float]:
        """Return how many units of running tasks each team has above its guarantee.

        Reserved capacity does not count: preemption frees only what tasks use.
        """
        return {
            name: resource_amount(self._usage[name], resource) - state.guarantee
            for name, state in self._outcome.plan.teams[resource].items()
        }

    def _usable_capacities(self, job: Job, with_on_demand_work: set[str]) -> list[MachineCapacity]:
        """Return the machines on which a cycle would place the job once victims have ended.

        Guards against a victim that is started and stopped again in every cycle, since the job is
        not placed where the victim was stopped for it.  Machines on which the job failed are not
        usable.  For a job that may use spot machines, an on-demand machine is usable only if it
        runs work that is never preempted and needs it, or if spot machines are scarce.  For a gang
        only machines reserved for it are usable: it can't start on a part of its slots.
        """
        spec = job.spec
        on_demand_allowed = not spec.spot_allowed or self._outcome.spot_scarce
        return [
            capacity
            for capacity in self._capacities.values()
            if placement_allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
            and capacity.name not in job.errors
            and (capacity.dedicated_to == job.id or not job.is_gang or spec.tasks == 1)
            and (capacity.spot or on_demand_allowed or capacity.name in with_on_demand_work)
        ]

    def _machines_with_on_demand_work(self) -> set[str]:
        """Return machines with work that may not use spot machines and is never preempted."""
        names: set[str] = set()
        for job in self._cluster.live_jobs():
            if (job.production or job.is_service) and not job.spec.spot_allowed:
                names |= {
                    attempt.machine for attempt in job.all_attempts() if attempt.stop_grace is None
                }
        return names

    def _capacities_after_stops(self) -> dict[str, MachineCapacity]:
        """Return the capacities of machines that are up, as if all stopping tasks had ended."""
        all_capacities = build_capacities(self._cluster, self._outcome.inputs.now, Counter())
        capacities = {capacity.name: capacity for capacity in all_capacities if capacity.up}
        for machine in self._cluster.machines.values():
            capacity = capacities.get(machine.name)
            if capacity is None:
                continue
            for attempt in machine.attempts.values():
                if attempt.stop_grace is not None:
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

        The list is empty if capacity is about to become free without victims.  None: no choice of
        permitted victims frees enough.
        """
        spec = preemptor.job.spec
        permitted_capacities = [capacity for capacity in usable if rule.permits(capacity.zone)]
        if _book_first_fit(preemptor, permitted_capacities, rule):
            return []
        permitted = self._permitted_victims(preemptor, surplus)
        if not permitted:
            return None
        chosen = choose_victims(spec, permitted_capacities, self._victims, permitted)
        if not chosen:
            return None
        for victim in chosen:
            surplus[victim.team] = surplus.get(victim.team, 0.0) - victim.units
            for freed in victim.freed:
                if (capacity := self._capacities.get(freed.machine)) is not None:
                    capacity.cpus += freed.cpus
                    capacity.gpus += freed.gpus
                    capacity.memory_gb += freed.memory_gb
        _book_first_fit(preemptor, permitted_capacities, rule)
        return chosen

    def _permitted_victims(self, preemptor: Preemptor, surplus: dict[str, float]) -> set[int]:
        """Return the object ids (``id``) of the victims that the rules allow."""
        team, rank = preemptor.job.spec.team, preemptor.job.rank
        return {
            id(victim)
            for victims in self._victims.values()
            for victim in victims
            if may_preempt(victim, team, rank, preemptor.for_guarantee, surplus)
            and (victim.rank == LOW_RANK or not preemptor.only_low_priority)
        }


def _book_first_fit(
    preemptor: Preemptor, capacities: list[MachineCapacity], rule: ZoneRule
) -> bool:
    """Book one task on the first machine on which it fits; return False if there is none."""
    spec = preemptor.job.spec
    for capacity in capacities:
        if capacity.fits(spec):
            capacity.book(spec)
            rule.zones[capacity.zone] += 1
            return True
    return False


def _victims_by_machine(cluster: ClusterState) -> dict[str, list[Victim]]:
    """Return all possible victims, single tasks or whole gangs, by machine."""
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
            running = [attempt for attempt in group if attempt.stop_grace is None]
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
        min(attempt.placed_at for attempt in running),
        tuple(FreedAmounts(a.machine, spec.cpus, spec.gpus, spec.memory_gb) for a in running),
        job.units * len(running),
        None if job.is_gang else running[0].index,
        job.can_save,
    )
