"""Choice of what to kill for a starved task: the newest, gangs whole, no more than needed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from micadeal.placement.bin_packing import EPSILON, MachineCapacity
from micadeal.wire.users import Submission


@dataclass(frozen=True, slots=True)
class Victim:
    """One thing that is killed whole: a task, or all tasks of a gang."""

    job_id: str
    team: str
    #: 0 production ... 3 low.
    rank: int
    started: timedelta
    #: Machines it frees, with the amounts per machine: (cpus, gpus, memory).
    frees: tuple[tuple[str, float, float, float], ...]
    #: Booked units that its team loses.
    units: float
    index: int | None = None
    #: Whether its progress is saved when it is stopped.
    saves: bool = True


def may_kill(
    victim: Victim,
    needy_team: str,
    needy_rank: int,
    for_guarantee: bool,
    surplus: dict[str, float],
) -> bool:
    """PROTOCOL, "Preemption", and the design: only from what a team has beyond its minimum."""
    if victim.team == needy_team:
        return victim.rank > needy_rank
    if surplus.get(victim.team, 0.0) + EPSILON < victim.units:
        return False
    return victim.rank > needy_rank or for_guarantee


def choose_victims(
    spec: Submission,
    capacities: Iterable[MachineCapacity],
    by_machine: dict[str, list[Victim]],
    permitted: set[int],
) -> list[Victim]:
    """The victims on one machine whose end makes room for one task of ``spec``.

    ``rooms`` are those that the task may use.  Among machines, the one whose oldest victim is the
    newest, and among equally new ones the one where less work is lost.  ``permitted`` holds the
    ids of victims that the rules allow.
    """
    best: list[Victim] = []
    best_key: tuple[float, ...] = ()
    for capacity in capacities:
        cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory_gb
        chosen: list[Victim] = []
        offers = [v for v in by_machine.get(capacity.name, ()) if id(v) in permitted]
        for victim in sorted(offers, key=lambda v: v.started, reverse=True):
            if _enough(spec, cpus, gpus, memory):
                break
            for machine, c, g, m in victim.frees:
                if machine == capacity.name:
                    cpus, gpus, memory = cpus + c, gpus + g, memory + m
            chosen.append(victim)
        if not chosen or not _enough(spec, cpus, gpus, memory):
            continue
        oldest = min(victim.started for victim in chosen)
        lost = sum(len(v.frees) for v in chosen if not v.saves)
        # Starts within ten seconds count as equally new: then the cheaper loss decides.
        key = (oldest.total_seconds() // 10, -lost, -sum(len(v.frees) for v in chosen))
        if not best or key > best_key:
            best, best_key = chosen, key
    return best


def _enough(spec: Submission, cpus: float, gpus: float, memory: float) -> bool:
    return (
        spec.cpus <= cpus + EPSILON
        and spec.gpus <= gpus + EPSILON
        and spec.memory_gb <= memory + EPSILON
    )
