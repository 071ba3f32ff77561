"""Reservations by age: machines kept for jobs that small work would starve.  No I/O.

An extension to the design, where every slot is alike and whatever becomes free is of use to whoever
is next.  A gang needs many slots at one time, and a task that takes a whole machine needs one on
which nothing else runs: among small work that keeps coming neither ever becomes free by itself.  So
when such a job has waited for long, the machines on which its slots can become free soonest are
reserved for it: what runs there ends by itself, and nothing but production work is added.

- All or nothing: machines are reserved only where all of the job's slots can be had, in one zone if
  it asks for that.
- No deadlock: the job that has waited longest chooses first, and no machine is reserved for two.
- Fair order: what is reserved and idle counts as used by the job's team.
- Survives a failover: age counts from the submission, and machines are chosen by what they run.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.fleet.machines import Machine
from micadeal.jobs.model import Job
from micadeal.operator.policy import Policy
from micadeal.placement.machine_capacity import EPSILON, allowed
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.cycle_data import TeamResource
from micadeal.scheduling.slot_forecast import SlotForecast, slots_needed
from micadeal.sharing.shares import Amounts

log = logging.getLogger(__name__)

#: Jobs with a reservation at one time.
MAX_RESERVATIONS = 8
#: Share of all machines that may be reserved for all but the first of them.
MAX_RESERVED_SHARE = 0.2
#: How often machines are chosen anew.
REFRESH_INTERVAL = seconds(1)
#: Machines reserved already count as free so many seconds sooner: the choice must not oscillate.
RESERVED_BONUS_S = 20.0
#: And the zone chosen before so many seconds sooner.
SAME_ZONE_BONUS_S = 60.0
#: A machine that is still to be rented, or boots, is up after about so many seconds.
RENTAL_S = 60.0


#: (seconds until it becomes free, name of its machine).
Slot = tuple[float, str]


@dataclass(frozen=True, slots=True)
class ReservationInputs:
    """What reservations are chosen by."""

    cluster: ClusterState
    instance_offers: InstanceOffers
    policy: Policy
    #: Teams that have their fair share.
    satisfied: frozenset[TeamResource]
    #: Teams below their guarantee.
    below_guarantee: frozenset[TeamResource]
    #: Every spot offer was refused lately.
    spot_scarce: bool
    now: timedelta


@dataclass(frozen=True, slots=True)
class Reservation:
    """The machines reserved for a job, and the zone if it wants a single one."""

    machines: frozenset[str]
    zone: str | None
    #: Slots that are to be rented beside them.
    lacking: int


class GangReservations:
    """One term's reservations; ``refresh`` is called before each cycle."""

    def __init__(self) -> None:
        #: By job id.
        self.by_job: dict[str, Reservation] = {}
        self._refreshed_at: timedelta | None = None
        #: Machines that exist, by offer, as of the last choice.
        self._existing: Counter[InstanceOffer] = Counter()

    def refresh(self, inputs: ReservationInputs) -> None:
        """Choose the reservations anew, at most every ``REFRESH_INTERVAL``."""
        if self._refreshed_at is not None and inputs.now - self._refreshed_at < REFRESH_INTERVAL:
            return
        self._refreshed_at = inputs.now
        waiting = self._waiting_jobs(inputs)
        self.by_job = self._choose_all(inputs, waiting) if waiting else {}
        self._mark_machines(inputs.cluster)

    def reserved_machines(self) -> set[str]:
        """Return the names of all reserved machines."""
        return {name for entry in self.by_job.values() for name in entry.machines}

    def _mark_machines(self, cluster: ClusterState) -> None:
        """Write the reservations to the machines."""
        reserved_for = {
            name: job_id for job_id, entry in self.by_job.items() for name in entry.machines
        }
        for machine in cluster.machines.values():
            if machine.reserved_for != (job_id := reserved_for.get(machine.name)):
                machine.reserved_for = job_id
                cluster.changed = True

    def _choose_all(self, inputs: ReservationInputs, waiting: list[Job]) -> dict[str, Reservation]:
        forecast = SlotForecast(inputs.cluster, inputs.now)
        self._existing = inputs.cluster.held()
        limit = len(inputs.cluster.machines) * MAX_RESERVED_SHARE
        taken: set[str] = set()
        chosen: dict[str, Reservation] = {}
        for job in waiting[:MAX_RESERVATIONS]:
            reservation = self._choose(job, inputs, forecast, taken)
            if reservation is None:
                continue
            is_new = job.id not in self.by_job
            if chosen and is_new and len(taken) + len(reservation.machines) > limit:
                continue
            chosen[job.id] = reservation
            taken |= reservation.machines
            if is_new:
                log.info(
                    "machines reserved: job=%s class=%s tasks=%d machines=%d zone=%s",
                    job.id,
                    job.spec.job_class,
                    slots_needed(job),
                    len(reservation.machines),
                    reservation.zone or "any",
                )
        return chosen

    # -- jobs ------------------------------------------------------------------------------

    def _waiting_jobs(self, inputs: ReservationInputs) -> list[Job]:
        """Return jobs that have waited for long with nothing started, the longest first."""
        cluster = inputs.cluster
        usage: dict[str, Amounts] | None = None
        result: list[Job] = []
        earliest = min(inputs.policy.reserve_after, inputs.policy.minimum_timeout)
        for job in cluster.live_jobs():
            # Cheapest test first: there may be many jobs.
            if inputs.now - job.ready < earliest or not job.not_started or job.errors:
                continue
            if not self._has_waited_enough(job, inputs) or not _wants_reservation(job, inputs):
                continue
            usage = cluster.usage() if usage is None else usage
            if _within_limits(job, cluster, usage):
                result.append(job)
        result.sort(key=lambda job: (job.ready, job.id))
        return result

    def _has_waited_enough(self, job: Job, inputs: ReservationInputs) -> bool:
        policy = inputs.policy
        waited = inputs.now - job.ready
        team = (job.spec.team, job.resource)
        # What is reserved counts as used by the team, so with a reservation a team may not be below
        # its guarantee, or below its share, any more: no reason to give the reservation up.
        if job.id in self.by_job:
            return True
        # Preemption may free a gang's machines for a team below its guarantee, but has to know
        # which ones.
        if waited < policy.reserve_after and not (job.is_gang and team in inputs.below_guarantee):
            return False
        return team not in inputs.satisfied or waited >= policy.reserve_after_at_fair_share

    # -- machines --------------------------------------------------------------------------

    def _choose(
        self, job: Job, inputs: ReservationInputs, forecast: SlotForecast, taken: set[str]
    ) -> Reservation | None:
        """Return the machines on which the job's slots become free soonest; None if nowhere."""
        before = self.by_job.get(job.id)
        by_zone = self._slots_by_zone(job, inputs, forecast, taken)
        needed = slots_needed(job)
        best: Reservation | None = None
        best_at = 0.0
        for zone in sorted(by_zone, key=str):
            soonest = sorted(by_zone[zone])[:needed]
            lacking = needed - len(soonest)
            if lacking and not self._rentable(job, zone, lacking, inputs):
                continue
            free_at = RENTAL_S if lacking else soonest[-1][0]
            if before is not None and before.zone == zone:
                free_at -= SAME_ZONE_BONUS_S
            if best is None or free_at < best_at:
                names = frozenset(name for _, name in soonest)
                best, best_at = Reservation(names, zone, lacking), free_at
        return best

    def _rentable(self, job: Job, zone: str | None, slots: int, inputs: ReservationInputs) -> bool:
        """Return whether the cloud may have machines for so many more slots; zone None: any."""
        offers = inputs.instance_offers
        machines = -(-slots // offers.max_tasks_per_machine(job.spec))
        for offer, _ in offers.available(job.spec, inputs.now, Counter()):
            if zone in (None, offer.zone):
                left = offers.remaining(offer, self._existing[offer], inputs.now)
                if left is None or left >= machines:
                    return True
        return False

    def _slots_by_zone(
        self, job: Job, inputs: ReservationInputs, forecast: SlotForecast, taken: set[str]
    ) -> dict[str | None, list[Slot]]:
        """Return when the job's slots become free and on which machine, by zone.

        The key is None if the job does not ask for a single zone.
        """
        spec = job.spec
        before = self.by_job.get(job.id)
        by_zone: dict[str | None, list[Slot]] = {}
        for machine in forecast.usable_machines:
            if machine.name in taken or _preempted_for_other(machine, job):
                continue
            if not allowed(spec, machine.machine_type, machine.zone, machine.spot):
                continue
            if spec.spot_allowed and not machine.spot and not inputs.spot_scarce:
                continue
            reserved = before is not None and machine.name in before.machines
            bonus = RESERVED_BONUS_S if reserved else 0.0
            slots = by_zone.setdefault(machine.zone if spec.one_zone else None, [])
            slots += [(free_at - bonus, machine.name) for free_at in forecast.free_at(machine, job)]
        return by_zone


def _preempted_for_other(machine: Machine, job: Job) -> bool:
    return machine.preempted_for is not None and machine.preempted_for.job_id != job.id


def _wants_reservation(job: Job, inputs: ReservationInputs) -> bool:
    if job.production or not job.waiting_count() or job.spec.team not in inputs.cluster.teams:
        return False
    # A single task that shares a machine with others can use whatever becomes free.
    return slots_needed(job) > 1 or inputs.instance_offers.max_tasks_per_machine(job.spec) <= 1


def _within_limits(job: Job, cluster: ClusterState, usage: dict[str, Amounts]) -> bool:
    team, spec, count = cluster.teams[job.spec.team], job.spec, slots_needed(job)
    cpus, gpus = usage[team.name]
    return not (
        (spec.cpus and team.cpus_max and cpus + count * spec.cpus > team.cpus_max + EPSILON)
        or (spec.gpus and team.gpus_max and gpus + count * spec.gpus > team.gpus_max + EPSILON)
    )
