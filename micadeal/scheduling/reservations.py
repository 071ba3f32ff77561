"""Reservations by age: machines reserved for jobs that small jobs would starve.  No I/O.

This is an extension to the design.  There all slots are alike, so any slot that becomes free is of
use to the next job.  A gang, however, needs many slots at the same time, and a task that takes a
whole machine needs an empty one.  While small jobs keep arriving, neither becomes free by itself.
When such a job has waited for long, the machines on which its slots can become free soonest are
reserved for it.  Running tasks end by themselves there, and only production work is added.

- All or nothing: machines are reserved only where all of the job's slots can be obtained, in a
  single zone if the job asks for one.
- No deadlock: the job that has waited longest chooses first, and a machine is reserved for one job
  only.
- Fair order: reserved idle capacity counts as used by the job's team.
- Survives a failover: waiting time counts from the submission, and machines are chosen by the tasks
  that they run.
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
from micadeal.placement.machine_capacity import EPSILON, placement_allowed
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.cycle_data import TeamResource
from micadeal.scheduling.slot_forecast import SlotForecast, slots_needed
from micadeal.sharing.shares import Amounts

log = logging.getLogger(__name__)

#: Maximum number of jobs with a reservation at the same time.
MAX_RESERVATIONS = 8
#: Largest share of all machines that may be reserved when a job gets a new reservation.  The first
#: job may exceed it.
MAX_RESERVED_SHARE = 0.2
#: Interval at which machines are chosen again.
REFRESH_INTERVAL = seconds(1)
#: Machines that are already reserved count as free this much sooner, so that the choice does not
#: oscillate.
RESERVED_BONUS_S = 20.0
#: The slots of the previously chosen zone count as free this much sooner, for the same reason.
SAME_ZONE_BONUS_S = 60.0
#: Assumed time until a machine that is booting or still to be rented is up.
RENTAL_TIME_S = 60.0


#: A slot: seconds until it becomes free, and the name of its machine.
Slot = tuple[float, str]


@dataclass(frozen=True, slots=True)
class ReservationInputs:
    """The inputs from which reservations are chosen."""

    cluster: ClusterState
    instance_offers: InstanceOffers
    policy: Policy
    #: Teams that have their fair share.
    satisfied: frozenset[TeamResource]
    #: Teams below their guarantee.
    below_guarantee: frozenset[TeamResource]
    #: Whether the cloud recently refused every spot offer.
    spot_scarce: bool
    now: timedelta


@dataclass(frozen=True, slots=True)
class Reservation:
    """The machines reserved for a job, and their zone if the job asks for a single one."""

    machines: frozenset[str]
    zone: str | None
    #: Number of further slots that are still to be rented.
    missing_slots: int


class GangReservations:
    """One term's reservations; ``refresh`` is called before each cycle."""

    def __init__(self) -> None:
        #: Reservations by job id.
        self.by_job: dict[str, Reservation] = {}
        self._refreshed_at: timedelta | None = None
        #: Number of existing machines by offer, as of the last refresh.
        self._existing: Counter[InstanceOffer] = Counter()

    def refresh(self, inputs: ReservationInputs) -> None:
        """Choose the reservations again, at most once per ``REFRESH_INTERVAL``."""
        if self._refreshed_at is not None and inputs.now - self._refreshed_at < REFRESH_INTERVAL:
            return
        self._refreshed_at = inputs.now
        waiting = self._waiting_jobs(inputs)
        self.by_job = self._choose_all(inputs, waiting) if waiting else {}
        self._mark_machines(inputs.cluster)

    def reserved_machines(self) -> set[str]:
        """Return the names of all reserved machines."""
        return {name for reservation in self.by_job.values() for name in reservation.machines}

    def _mark_machines(self, cluster: ClusterState) -> None:
        """Set ``reserved_for`` of all machines according to the reservations."""
        reserved_for = {
            name: job_id
            for job_id, reservation in self.by_job.items()
            for name in reservation.machines
        }
        for machine in cluster.machines.values():
            if machine.reserved_for != (job_id := reserved_for.get(machine.name)):
                machine.reserved_for = job_id
                cluster.changed = True

    def _choose_all(self, inputs: ReservationInputs, waiting: list[Job]) -> dict[str, Reservation]:
        forecast = SlotForecast(inputs.cluster, inputs.now)
        self._existing = inputs.cluster.machines_by_offer()
        limit = len(inputs.cluster.machines) * MAX_RESERVED_SHARE
        reserved_names: set[str] = set()
        chosen: dict[str, Reservation] = {}
        for job in waiting[:MAX_RESERVATIONS]:
            reservation = self._choose(job, inputs, forecast, reserved_names)
            if reservation is None:
                continue
            is_new = job.id not in self.by_job
            if chosen and is_new and len(reserved_names) + len(reservation.machines) > limit:
                continue
            chosen[job.id] = reservation
            reserved_names |= reservation.machines
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
        """Return jobs that have waited long without a started task, sorted by waiting time."""
        cluster = inputs.cluster
        usage: dict[str, Amounts] | None = None
        result: list[Job] = []
        earliest = min(inputs.policy.reserve_after, inputs.policy.minimum_timeout)
        for job in cluster.live_jobs():
            # The cheapest test comes first: there may be many jobs.
            if inputs.now - job.ready_at < earliest or not job.not_started or job.errors:
                continue
            if not self._has_waited_enough(job, inputs) or not _wants_reservation(job, inputs):
                continue
            usage = cluster.usage() if usage is None else usage
            if _within_limits(job, cluster, usage):
                result.append(job)
        result.sort(key=lambda job: (job.ready_at, job.id))
        return result

    def _has_waited_enough(self, job: Job, inputs: ReservationInputs) -> bool:
        policy = inputs.policy
        waited = inputs.now - job.ready_at
        team = (job.spec.team, job.resource)
        # Reserved capacity counts as used by the team, so a reservation may lift the team to its
        # guarantee or share.  That is no reason to give the reservation up.
        if job.id in self.by_job:
            return True
        # Preemption may free machines for a gang of a team below its guarantee, but only machines
        # that are reserved for the gang.
        if waited < policy.reserve_after and not (job.is_gang and team in inputs.below_guarantee):
            return False
        return team not in inputs.satisfied or waited >= policy.reserve_after_at_fair_share

    # -- machines --------------------------------------------------------------------------

    def _choose(
        self, job: Job, inputs: ReservationInputs, forecast: SlotForecast, reserved_names: set[str]
    ) -> Reservation | None:
        """Return the machines on which the job's slots become free soonest, or None."""
        previous = self.by_job.get(job.id)
        by_zone = self._slots_by_zone(job, inputs, forecast, reserved_names)
        needed = slots_needed(job)
        best: Reservation | None = None
        best_free_at = 0.0
        for zone in sorted(by_zone, key=str):
            earliest_slots = sorted(by_zone[zone])[:needed]
            missing_slots = needed - len(earliest_slots)
            if missing_slots and not self._rentable(job, zone, missing_slots, inputs):
                continue
            free_at = RENTAL_TIME_S if missing_slots else earliest_slots[-1][0]
            if previous is not None and previous.zone == zone:
                free_at -= SAME_ZONE_BONUS_S
            if best is None or free_at < best_free_at:
                names = frozenset(name for _, name in earliest_slots)
                best, best_free_at = Reservation(names, zone, missing_slots), free_at
        return best

    def _rentable(self, job: Job, zone: str | None, slots: int, inputs: ReservationInputs) -> bool:
        """Return whether machines for ``slots`` slots may be rented; zone None: in any zone."""
        offers = inputs.instance_offers
        machines = -(-slots // offers.max_tasks_per_machine(job.spec))
        for offer, _ in offers.available(job.spec, inputs.now, Counter()):
            if zone in (None, offer.zone):
                rentable = offers.remaining(offer, self._existing[offer], inputs.now)
                if rentable is None or rentable >= machines:
                    return True
        return False

    def _slots_by_zone(
        self, job: Job, inputs: ReservationInputs, forecast: SlotForecast, reserved_names: set[str]
    ) -> dict[str | None, list[Slot]]:
        """Return the job's slots by zone: when each becomes free, and on which machine.

        The key is None if the job does not ask for a single zone.
        """
        spec = job.spec
        previous = self.by_job.get(job.id)
        by_zone: dict[str | None, list[Slot]] = {}
        for machine in forecast.usable_machines:
            if machine.name in reserved_names or _preempted_for_other(machine, job):
                continue
            if not placement_allowed(spec, machine.machine_type, machine.zone, machine.spot):
                continue
            if spec.spot_allowed and not machine.spot and not inputs.spot_scarce:
                continue
            reserved = previous is not None and machine.name in previous.machines
            bonus = RESERVED_BONUS_S if reserved else 0.0
            slots = by_zone.setdefault(machine.zone if spec.one_zone else None, [])
            slots += [(free_at - bonus, machine.name) for free_at in forecast.free_at(machine, job)]
        return by_zone


def _preempted_for_other(machine: Machine, job: Job) -> bool:
    return machine.preempted_for is not None and machine.preempted_for.job_id != job.id


def _wants_reservation(job: Job, inputs: ReservationInputs) -> bool:
    if job.production or not job.waiting_count() or job.spec.team not in inputs.cluster.teams:
        return False
    # A single task that shares a machine with other tasks can use any slot that becomes free.
    return slots_needed(job) > 1 or inputs.instance_offers.max_tasks_per_machine(job.spec) <= 1


def _within_limits(job: Job, cluster: ClusterState, usage: dict[str, Amounts]) -> bool:
    team, spec, count = cluster.teams[job.spec.team], job.spec, slots_needed(job)
    cpus, gpus = usage[team.name]
    return not (
        (spec.cpus and team.cpus_max and cpus + count * spec.cpus > team.cpus_max + EPSILON)
        or (spec.gpus and team.gpus_max and gpus + count * spec.gpus > team.gpus_max + EPSILON)
    )
