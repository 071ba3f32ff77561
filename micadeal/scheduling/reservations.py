"""Room that is gathered by age for jobs of which nothing has begun.  No I/O.

An extension to the source, where every slot is alike and whatever comes free is of use to whoever
is next.  A gang needs many places at once, and a task that takes a whole machine needs one on which
nothing else runs: among small work that keeps coming neither ever comes free by itself.  So when
such a job has waited for long, the machines on which its room can come together soonest are kept
for it: what runs there ends by itself, and nothing but production work is added.

- Whole or not at all: machines are kept only where all of the job's room can be had, in one zone if
  it asks for that.
- No deadlock: the job that has waited longest chooses first, and no machine is kept for two.
- Fair order: what is kept and stands empty counts as used by the job's team.
- A next leader goes on: age counts from the submission, and machines are chosen by what they run.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.operator.policy import Policy
from micadeal.placement.bin_packing import EPSILON, allowed, fits_into, type_fits
from micadeal.scheduling.capacity import SILENT_HEARTBEATS
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.sharing.order import RANK
from micadeal.wire.users import Priority

log = logging.getLogger(__name__)

LOW = RANK[Priority.LOW]
#: Jobs for which room is gathered at once, and the share of all machines that is kept for all but
#: the first of them.
MOST_GATHERING = 8
MOST_KEPT = 0.2
#: How often machines are chosen anew.
LOOK_EVERY = seconds(1)
#: Remaining time, in seconds: of a task that is being stopped; added to one that fetches; of one
#: that is past its estimate, as a share of that.
STOPPING_S = 5.0
FETCHING_S = 15.0
OVERDUE = 0.5
#: A machine that is kept already is worth so many seconds more: the choice is not to waver.
KEPT_BONUS_S = 20.0
#: And the zone that was chosen before so many.
SAME_ZONE_S = 60.0
#: A machine that is still to be rented, or boots, comes after about its boot time.
RENTED_S = 60.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """The machines that are kept for a job, and the zone if it wants one."""

    machines: frozenset[str]
    zone: str | None
    #: Places that are to be rented beside them.
    lacking: int


def need(job: Job) -> int:
    """Places without which nothing of the job begins."""
    return job.spec.tasks if job.is_gang else 1


class GangReservations:
    """One term's choice of machines; ``look`` before a pass."""

    def __init__(self) -> None:
        self.sets: dict[str, Reservation] = {}
        self._looked: timedelta | None = None

    def look(
        self,
        cluster: ClusterState,
        instance_offers: InstanceOffers,
        policy: Policy,
        content: Iterable[tuple[str, str]],
        short: Iterable[tuple[str, str]],
        scarce: bool,
        now: timedelta,
    ) -> None:
        """``content``: (team, resource) that has its fair share, ``short``: that lacks its
        guarantee; ``scarce``: spot is."""
        if self._looked is not None and now - self._looked < LOOK_EVERY:
            return
        self._looked = now
        waiting = self._waiting(
            cluster, instance_offers, policy, frozenset(content), frozenset(short), now
        )
        found: dict[str, Reservation] = {}
        if waiting:
            places = _Places(cluster, now)
            most = len(cluster.machines) * MOST_KEPT
            taken: set[str] = set()
            for job in waiting[:MOST_GATHERING]:
                chosen = self._choose(job, places, instance_offers, scarce, taken, now)
                if chosen is None:
                    continue
                more = found and job.id not in self.sets
                if more and len(taken) + len(chosen.machines) > most:
                    continue
                found[job.id] = chosen
                taken |= chosen.machines
                if job.id not in self.sets:
                    log.info(
                        "room is gathered for %s, %d tasks of %s: %d machines in %s",
                        job.id,
                        need(job),
                        job.spec.job_class,
                        len(chosen.machines),
                        chosen.zone or "any zone",
                    )
        self.sets = found
        kept = {name: job_id for job_id, entry in found.items() for name in entry.machines}
        for machine in cluster.machines.values():
            if machine.reserved_for != (job_id := kept.get(machine.name)):
                machine.reserved_for = job_id
                cluster.changed = True

    def kept(self) -> set[str]:
        return {name for entry in self.sets.values() for name in entry.machines}

    def _waiting(
        self,
        cluster: ClusterState,
        instance_offers: InstanceOffers,
        policy: Policy,
        content: frozenset[tuple[str, str]],
        short: frozenset[tuple[str, str]],
        now: timedelta,
    ) -> list[Job]:
        """Jobs that have waited for long with nothing begun, the longest first."""
        usage: dict[str, tuple[float, float]] | None = None
        result: list[Job] = []
        soon = min(policy.gather_after, policy.minimum_timeout)
        for job in cluster.live_jobs():
            waited = now - job.ready
            if waited < soon or not job.unbegun or job.errors:
                continue
            key = (job.spec.team, job.resource)
            # Room may be cleared for a team that lacks its guarantee, once it is known where.
            early = job.is_gang and key in short
            # What is kept counts as used by its team, so a team whose job is gathered for is
            # neither short nor wanting any more: that is no reason to give all of it up again.
            chosen = job.id in self.sets
            if waited < policy.gather_after and not (early or chosen):
                continue
            if job.production or not job.waiting_count() or job.spec.team not in cluster.teams:
                continue
            if need(job) == 1 and instance_offers.most_on_one(job.spec) > 1:
                # Whatever comes free is of use to it: its turn is all that it waits for.
                continue
            if key in content and waited < policy.gather_late and not chosen:
                continue
            usage = cluster.usage() if usage is None else usage
            if _within_limits(job, cluster, usage):
                result.append(job)
        result.sort(key=lambda job: (job.ready, job.id))
        return result

    def _choose(
        self,
        job: Job,
        places: _Places,
        instance_offers: InstanceOffers,
        scarce: bool,
        taken: set[str],
        now: timedelta,
    ) -> Reservation | None:
        """The machines on which the job's room comes together soonest; None if nowhere."""
        spec = job.spec
        before = self.sets.get(job.id)
        zones: dict[str | None, list[tuple[float, str]]] = {}
        for machine in places.machines():
            if machine.name in taken or (
                machine.preempted_for is not None and machine.preempted_for[0] != job.id
            ):
                continue
            if not allowed(spec, machine.machine_type, machine.zone, machine.spot):
                continue
            if spec.spot_allowed and not machine.spot and not scarce:
                continue
            bonus = KEPT_BONUS_S if before is not None and machine.name in before.machines else 0.0
            entry = zones.setdefault(machine.zone if spec.one_zone else None, [])
            entry += [(at - bonus, machine.name) for at in places.free_at(machine, job)]
        best: Reservation | None = None
        best_at = 0.0
        wanted = need(job)
        for zone in sorted(zones, key=str):
            soonest = sorted(zones[zone])[:wanted]
            lacking = wanted - len(soonest)
            if lacking and not _rentable(job, zone, lacking, instance_offers, places.held, now):
                continue
            at = RENTED_S if lacking else soonest[-1][0]
            if before is not None and before.zone == zone:
                at -= SAME_ZONE_S
            if best is None or at < best_at:
                names = frozenset(name for _, name in soonest)
                best, best_at = Reservation(names, zone, lacking), at
        return best


class _Places:
    """When machines have room for a job's tasks, if nothing is added to them."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        self._now = now
        self.held = cluster.held()
        silence = cluster.workers.heartbeat_interval * SILENT_HEARTBEATS
        self._usable = [m for m in cluster.machines.values() if m.usable(now, silence)]

    def machines(self) -> list[Machine]:
        return self._usable

    def free_at(self, machine: Machine, job: Job) -> list[float]:
        """Seconds until each place is free.  What runs until it is cancelled, or is not to be kept
        waiting itself, stays."""
        kind = self._cluster.types.get(machine.machine_type)
        spec = job.spec
        if kind is None or not type_fits(spec, kind):
            return []
        cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
        ending: list[tuple[float, Job]] = []
        for attempt in machine.attempts.values():
            other = self._cluster.jobs[attempt.job_id]
            cpus -= other.spec.cpus
            gpus -= other.spec.gpus
            memory -= other.spec.memory_gb
            left = _left(other, attempt, self._now)
            if left is not None and other.rank > job.rank and other.rank == LOW:
                # It gives way at once (scheduling/preemption.py).
                left = min(left, STOPPING_S + other.spec.save_s)
            if left is not None:
                ending.append((left, other))
        ending.sort(key=lambda entry: entry[0])
        result: list[float] = []
        at = 0.0
        while True:
            while fits_into(spec, cpus, gpus, memory):
                result.append(at)
                cpus -= spec.cpus
                gpus -= spec.gpus
                memory -= spec.memory_gb
                if len(result) >= need(job):
                    return result
            if not ending:
                return result
            at, other = ending.pop(0)
            cpus += other.spec.cpus
            gpus += other.spec.gpus
            memory += other.spec.memory_gb


def _left(job: Job, attempt: Attempt, now: timedelta) -> float | None:
    """Seconds that a task is likely to stay, as far as its owner's estimate tells; None: it does
    not end by itself."""
    if attempt.stop is not None or job.over:
        return STOPPING_S
    if job.is_service or job.production:
        return None
    estimate = job.spec.estimate_s
    if attempt.running_since is None:
        return estimate + FETCHING_S
    ran = (now - attempt.running_since).total_seconds()
    return estimate - ran if ran < estimate else max(ran * OVERDUE, STOPPING_S)


def _within_limits(job: Job, cluster: ClusterState, usage: dict[str, tuple[float, float]]) -> bool:
    team, spec, count = cluster.teams[job.spec.team], job.spec, need(job)
    cpus, gpus = usage[team.name]
    return not (
        (spec.cpus and team.cpus_max and cpus + count * spec.cpus > team.cpus_max + EPSILON)
        or (spec.gpus and team.gpus_max and gpus + count * spec.gpus > team.gpus_max + EPSILON)
    )


def _rentable(
    job: Job,
    zone: str | None,
    count: int,
    instance_offers: InstanceOffers,
    held: Counter[InstanceOffer],
    now: timedelta,
) -> bool:
    """Whether the cloud may have so many machines more for the job."""
    per_machine = instance_offers.most_on_one(job.spec)
    machines = -(-count // per_machine)
    for offer, _ in instance_offers.choices(job.spec, now, Counter()):
        if zone in (None, offer.zone):
            left = instance_offers.left(offer, held[offer], now)
            if left is None or left >= machines:
                return True
    return False
