"""Choice of victims for a starved task: the newest, gangs whole, no more than needed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from micadeal.placement.machine_capacity import EPSILON, MachineCapacity, fits_into
from micadeal.wire.users import Submission

#: Victims that started within so many seconds of each other count as equally new.
START_RESOLUTION_S = 10


class FreedAmounts(NamedTuple):
    """What one machine gets back when a victim ends."""

    machine: str
    cpus: float
    gpus: float
    memory_gb: float


@dataclass(frozen=True, slots=True)
class Victim:
    """What is preempted as one: a single task, or all tasks of a gang."""

    job_id: str
    team: str
    #: 0 production ... 3 low.
    rank: int
    started: timedelta
    #: One entry for each task that ends.
    freed: tuple[FreedAmounts, ...]
    #: Booked units that its team loses.
    units: float
    #: Index of the task; None: a whole gang.
    index: int | None = None
    #: Whether its progress is saved when it is stopped.
    saves: bool = True


def may_preempt(
    victim: Victim,
    preemptor_team: str,
    preemptor_rank: int,
    for_guarantee: bool,
    surplus: dict[str, float],
) -> bool:
    """Return whether the rules allow this victim.

    PROTOCOL, "Preemption", and the design: another team loses only what it has beyond its minimum
    (``surplus``, in booked units by team).  ``for_guarantee``: the preemptor's team is below its
    own minimum.
    """
    if victim.team == preemptor_team:
        return victim.rank > preemptor_rank
    if surplus.get(victim.team, 0.0) + EPSILON < victim.units:
        return False
    return victim.rank > preemptor_rank or for_guarantee


def choose_victims(
    spec: Submission,
    capacities: Iterable[MachineCapacity],
    by_machine: dict[str, list[Victim]],
    permitted: set[int],
) -> list[Victim]:
    """Return victims on one machine whose end frees enough for one task; empty if there are none.

    ``capacities`` are those that the task may use, ``permitted`` the ids of victims that the rules
    allow.  Among machines, the one whose oldest victim is the newest is taken, and among equally
    new ones the one where less work is lost.
    """
    best: list[Victim] = []
    best_key: tuple[float, ...] = ()
    for capacity in capacities:
        candidates = [v for v in by_machine.get(capacity.name, ()) if id(v) in permitted]
        chosen = _newest_that_free_enough(spec, capacity, candidates)
        if not chosen:
            continue
        oldest = min(victim.started for victim in chosen)
        lost = sum(len(v.freed) for v in chosen if not v.saves)
        stopped = sum(len(v.freed) for v in chosen)
        key = (oldest.total_seconds() // START_RESOLUTION_S, -lost, -stopped)
        if not best or key > best_key:
            best, best_key = chosen, key
    return best


def _newest_that_free_enough(
    spec: Submission, capacity: MachineCapacity, candidates: list[Victim]
) -> list[Victim]:
    """Return as few of the newest candidates as free enough on this machine; empty if none do."""
    cpus, gpus, memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
    chosen: list[Victim] = []
    for victim in sorted(candidates, key=lambda v: v.started, reverse=True):
        if fits_into(spec, cpus, gpus, memory_gb):
            break
        for freed in victim.freed:
            if freed.machine == capacity.name:
                cpus += freed.cpus
                gpus += freed.gpus
                memory_gb += freed.memory_gb
        chosen.append(victim)
    return chosen if fits_into(spec, cpus, gpus, memory_gb) else []
