"""Choice of preemption victims for a starved task: newest first, whole gangs, only as needed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from micadeal.placement.machine_capacity import EPSILON, MachineCapacity, fits_into
from micadeal.wire.users import Submission

#: Start times of victims are compared in steps of this many seconds.
START_RESOLUTION_S = 10


class FreedAmounts(NamedTuple):
    """The resources that a victim frees on one machine when it ends."""

    machine: str
    cpus: float
    gpus: float
    memory_gb: float


@dataclass(frozen=True, slots=True)
class Victim:
    """A unit of preemption: a single task, or all tasks of a gang."""

    job_id: str
    team: str
    #: 0 production ... 3 low.
    rank: int
    started_at: timedelta
    #: One entry for each task that ends.
    freed: tuple[FreedAmounts, ...]
    #: The booked units that its team loses.
    units: float
    #: Index of the task; None: a whole gang.
    index: int | None = None
    #: Whether its progress is saved when it is stopped.
    saves_progress: bool = True


def may_preempt(
    victim: Victim,
    preemptor_team: str,
    preemptor_rank: int,
    for_guarantee: bool,
    surplus: dict[str, float],
) -> bool:
    """Return whether the rules allow this victim.

    PROTOCOL, "Preemption", and the design: another team loses only what it has beyond its guarantee
    (``surplus``, in booked units by team).  ``for_guarantee``: the preemptor's team is below its
    own guarantee.
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

    ``capacities`` are the machines that the task may use, ``permitted`` the ids of the victims that
    the rules allow.  The machine is chosen whose oldest victim is the newest.  Between equally new
    ones, the machine is chosen where fewer tasks lose their progress, then where fewer tasks end.
    """
    best: list[Victim] = []
    best_key: tuple[float, ...] = ()
    for capacity in capacities:
        candidates = [v for v in by_machine.get(capacity.name, ()) if id(v) in permitted]
        chosen = _newest_that_free_enough(spec, capacity, candidates)
        if not chosen:
            continue
        oldest = min(victim.started_at for victim in chosen)
        lost_tasks = sum(len(v.freed) for v in chosen if not v.saves_progress)
        stopped_tasks = sum(len(v.freed) for v in chosen)
        key = (oldest.total_seconds() // START_RESOLUTION_S, -lost_tasks, -stopped_tasks)
        if not best or key > best_key:
            best, best_key = chosen, key
    return best


def _newest_that_free_enough(
    spec: Submission, capacity: MachineCapacity, candidates: list[Victim]
) -> list[Victim]:
    """Return the newest candidates, as few as free enough on this machine; empty if none do."""
    cpus, gpus, memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
    chosen: list[Victim] = []
    for victim in sorted(candidates, key=lambda v: v.started_at, reverse=True):
        if fits_into(spec, cpus, gpus, memory_gb):
            break
        for freed in victim.freed:
            if freed.machine == capacity.name:
                cpus += freed.cpus
                gpus += freed.gpus
                memory_gb += freed.memory_gb
        chosen.append(victim)
    return chosen if fits_into(spec, cpus, gpus, memory_gb) else []
