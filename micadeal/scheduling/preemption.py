"""Victims for what a pass could not place: for production at once, for starved teams by timers.

The last step of a pass, over rooms as they will be when all that is stopping has stopped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from micadeal.fleet.machines import Attempt
from micadeal.jobs.model import Job
from micadeal.placement.bin_packing import EPSILON, MachineCapacity, ZoneRule, allowed, size_of
from micadeal.scheduling.capacity import build_capacities
from micadeal.scheduling.plan import Findings
from micadeal.sharing.order import RANK
from micadeal.sharing.shares import booked
from micadeal.sharing.starvation import StarvationTimer
from micadeal.sharing.victims import Victim, choose_victims, may_kill
from micadeal.wire.users import Priority

#: Tasks for which victims are chosen in one pass; the next pass goes on.
MOST_KILLED_FOR = 24


LOW = RANK[Priority.LOW]
#: Jobs for which low work is stopped in one pass; the next pass goes on.
MOST_LOW = 8


@dataclass(frozen=True, slots=True)
class _Need:
    """A job for which something may be killed, how many tasks of it, and whether to give its team
    its guarantee."""

    job: Job
    tasks: int
    for_guarantee: bool
    only_low: bool = False


class Preemption:
    """Reads what the pass has found, and adds to its plan whom to stop."""

    def __init__(self, found: Findings) -> None:
        self._found = found

    def pick(self) -> None:
        usage = self._found.cluster.usage()
        needy = self._needy(usage)
        if not needy:
            return
        capacities, victims = self._victims()
        kept = self._kept_for_bound()
        scarce = self._found.spot_scarce
        hopeless: set[tuple[object, ...]] = set()
        left = MOST_KILLED_FOR
        for need in needy:
            job, tasks, resource = need.job, need.tasks, need.job.resource
            spec = job.spec
            like = (spec.team, job.rank, need.for_guarantee, need.only_low, *size_of(spec))
            if like in hopeless:
                # Nothing could be done for a task like this one, and in a pass room only shrinks.
                continue
            states = self._found.plan.teams[resource]
            # What runs, not what is held for later: only that can be given back.
            surplus = {
                name: booked(usage[name], resource) - state.minimum
                for name, state in states.items()
            }
            rule = ZoneRule(job.spec, self._found.cluster.zones_of(job))
            usable = [
                capacity
                for capacity in capacities.values()
                # Nor where it failed: a pass would not place it there, so the same victim was
                # started and stopped again in every pass.
                # The same held for an ordinary machine on which only the victims are bound to such.
                if allowed(spec, capacity.machine_type, capacity.zone, capacity.spot)
                and capacity.name not in job.errors
                # For a gang only where all of its room is gathered: a part of it is of no use.
                and (capacity.preempted_for == job.id or not job.is_gang or spec.tasks == 1)
                and (capacity.spot or not spec.spot_allowed or scarce or capacity.name in kept)
            ]
            for _ in range(tasks):
                if left <= 0:
                    return
                chosen = self._victims_for(need, rule, usable, capacities, victims, surplus)
                if chosen is None:
                    if all(map(rule.permits, self._found.present)):
                        hopeless.add(like)
                    break
                for victim in chosen:
                    self._found.plan.kills.append((job.id, victim))
                    for machine in {entry[0] for entry in victim.frees}:
                        victims[machine] = [v for v in victims[machine] if v is not victim]
                left -= bool(chosen)

    def _kept_for_bound(self) -> set[str]:
        """Machines with work that must be on an ordinary one and that nothing is stopped for."""
        kept: set[str] = set()
        for job in self._found.cluster.live_jobs():
            if (job.production or job.is_service) and not job.spec.spot_allowed:
                kept |= {attempt.machine for attempt in job.all_attempts() if attempt.stop is None}
        return kept

    def _needy(self, usage: dict[str, tuple[float, float]]) -> list[_Need]:
        """Jobs for which something may be killed."""
        result: list[_Need] = []
        lacking: dict[tuple[str, str], tuple[float, bool]] = {}
        short: dict[tuple[str, str], float] = {}
        for resource, states in self._found.plan.teams.items():
            for name, state in states.items():
                timer = self._found.timers.setdefault(
                    (name, resource), StarvationTimer(self._found.now, self._found.now)
                )
                used = booked(usage[name], resource)
                short[name, resource] = max(min(state.minimum, state.demand) - used, 0.0)
                team = self._found.policy.team(name)
                timer.update(self._found.now, used, state.demand, state.minimum, state.share)
                lacking[name, resource] = timer.lacks(
                    self._found.now,
                    used,
                    state.demand,
                    state.minimum,
                    state.share,
                    team.minimum_timeout or self._found.policy.minimum_timeout,
                    self._found.policy.share_timeout,
                )
        seen: set[str] = set()
        low_left = MOST_LOW if self._low_runs() else 0
        gathered = {m.reserved_for for m in self._found.cluster.machines.values()} - {None}
        for job in self._found.unplaced:
            if job.id in seen or (job.is_gang and job.spec.tasks > 1 and job.id not in gathered):
                continue
            seen.add(job.id)
            if job.suspect:
                # Nothing is stopped for what fails everywhere.
                continue
            count = job.waiting_count()
            key = (job.spec.team, job.resource)
            units, for_guarantee = lacking[key]
            if job.production:
                result.append(_Need(job, count, for_guarantee))
            elif units >= job.units - EPSILON:
                tasks = min(count, int(units / job.units + EPSILON))
                lacking[key] = (units - tasks * job.units, for_guarantee)
                short[key] -= tasks * job.units
                result.append(_Need(job, tasks, for_guarantee))
            elif low_left and job.rank < LOW and (job.id in gathered or short[key] >= job.units):
                # Low work runs in what others leave: it gives way at once to a team below its
                # guarantee, and where room is gathered.  The timers are for unfairness that is
                # tolerable (source, 4.5).
                low_left -= 1
                tasks = count
                if job.id not in gathered:
                    tasks = min(count, int(short[key] / job.units + EPSILON))
                short[key] -= tasks * job.units
                result.append(_Need(job, tasks, False, only_low=True))
        return result

    def _low_runs(self) -> bool:
        return any(job.rank == LOW and job.attempts for job in self._found.cluster.live_jobs())

    def _victims(self) -> tuple[dict[str, MachineCapacity], dict[str, list[Victim]]]:
        """Rooms as they will be when all that is stopping has stopped, and what could be killed."""
        found = build_capacities(self._found.cluster, self._found.now, Counter())
        capacities = {capacity.name: capacity for capacity in found if capacity.up}
        by_machine: dict[str, list[Victim]] = {}
        for job in self._found.cluster.live_jobs():
            if job.production or job.is_service:
                groups: list[list[Attempt]] = []
            elif job.is_gang:
                groups = [list(job.all_attempts())]
            else:
                groups = [[attempt] for attempt in job.all_attempts()]
            for group in groups:
                running = [a for a in group if a.stop is None]
                if not running:
                    continue
                victim = Victim(
                    job.id,
                    job.spec.team,
                    job.rank,
                    min(a.placed for a in running),
                    tuple(
                        (a.machine, job.spec.cpus, job.spec.gpus, job.spec.memory_gb)
                        for a in running
                    ),
                    job.units * len(running),
                    None if job.is_gang else running[0].index,
                    job.can_save,
                )
                for name in {a.machine for a in running}:
                    by_machine.setdefault(name, []).append(victim)
        for machine in self._found.cluster.machines.values():
            capacity = capacities.get(machine.name)
            if capacity is None:
                continue
            for attempt in machine.attempts.values():
                if attempt.stop is not None:
                    capacity.unbook(self._found.cluster.jobs[attempt.job_id].spec)
        return capacities, by_machine

    def _victims_for(
        self,
        need: _Need,
        rule: ZoneRule,
        usable: list[MachineCapacity],
        capacities: dict[str, MachineCapacity],
        victims: dict[str, list[Victim]],
        surplus: dict[str, float],
    ) -> list[Victim] | None:
        """Victims for one task; empty if room is about to be free; None if nothing can be done."""
        spec = need.job.spec
        open_rooms = [capacity for capacity in usable if rule.permits(capacity.zone)]
        for capacity in open_rooms:
            if capacity.fits(spec):
                capacity.book(spec)
                rule.zones[capacity.zone] += 1
                return []
        permitted = {
            id(victim)
            for offers in victims.values()
            for victim in offers
            if may_kill(victim, spec.team, need.job.rank, need.for_guarantee, surplus)
            and (victim.rank == LOW or not need.only_low)
        }
        if not permitted:
            return None
        chosen = choose_victims(spec, open_rooms, victims, permitted)
        if not chosen:
            return None
        for victim in chosen:
            surplus[victim.team] = surplus.get(victim.team, 0.0) - victim.units
            for machine, cpus, gpus, memory in victim.frees:
                if (freed := capacities.get(machine)) is not None:
                    freed.cpus += cpus
                    freed.gpus += gpus
                    freed.memory_gb += memory
        for capacity in open_rooms:
            if capacity.fits(spec):
                capacity.book(spec)
                rule.zones[capacity.zone] += 1
                break
        return chosen
