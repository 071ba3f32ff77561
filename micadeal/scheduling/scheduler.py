"""The leader's scheduling decisions over one term: cycles, and machines that come and go.  No I/O.

``Scheduler`` is what the controller talks to.  It takes in events (jobs, heartbeats, answers of the
cloud) and leaves its decisions in the cluster state, ``rentals`` and ``releases``, which the
controller carries out.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.fleet.machines import PreemptionHold
from micadeal.jobs.model import Job
from micadeal.operator.platform import Objective
from micadeal.operator.policy import Policy
from micadeal.placement.machine_capacity import EPSILON
from micadeal.scheduling import machine_loss, reconciliation, worker_commands
from micadeal.scheduling.arrivals import ArrivalHistory
from micadeal.scheduling.cluster_state import ClusterState, grace_to_save
from micadeal.scheduling.cycle_data import CycleInputs, TeamResource
from micadeal.scheduling.draining import drain_reclaimed_machines
from micadeal.scheduling.machine_inventory import MachineInventory
from micadeal.scheduling.machine_monitor import MachineMonitor
from micadeal.scheduling.plan import Kill, Plan
from micadeal.scheduling.reservations import GangReservations, ReservationInputs
from micadeal.scheduling.scheduling_cycle import SchedulingCycle
from micadeal.scheduling.status_counts import (
    MAX_JOBS,
    StatusLog,
    fully_started_jobs,
    job_counts,
    job_state_counts,
)
from micadeal.sharing.starvation import StarvationTimer
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.peers import Counts
from micadeal.wire.workers import Command, Heartbeat

if TYPE_CHECKING:
    # Imported at run time only where timing is switched on: other deployments start without it.
    from micadeal.scheduling.deferral import Deferral

log = logging.getLogger(__name__)

#: A gap of this length between two ticks: this process was stalled.
STALL_THRESHOLD = seconds(3)
#: How long after a failover renting waits for machines that have not reported yet.
MACHINE_COUNT_TIMEOUT = seconds(4)
#: A machine stays closed to others for this long beyond the time that a preempted task needs to
#: save: until its end is reported, and the next cycle.
PREEMPTION_MARGIN = seconds(6)


class Scheduler:
    """One term's decisions; ``tick`` is called often, ``run_cycle`` when ``wants_cycle``."""

    def __init__(
        self,
        cluster: ClusterState,
        instance_offers: InstanceOffers,
        policy: Policy,
        objectives: Iterable[Objective],
        now: timedelta,
    ) -> None:
        self.cluster = cluster
        self.instance_offers = instance_offers
        self.policy = policy
        self.timers: dict[TeamResource, StarvationTimer] = {}
        self.reservations = GangReservations()
        #: Of the last cycle.
        self.plan = Plan()
        #: Defers flexible work to better hours; None: that is switched off.
        self.deferral: Deferral | None = None
        #: Teams whose last start went to their longest waiting job.
        self._served_by_age: set[str] = set()
        self._inventory = MachineInventory(cluster, instance_offers)
        self._monitor = MachineMonitor(cluster, self._inventory, now)
        self._arrivals = ArrivalHistory(instance_offers, objectives)
        self._status_log = StatusLog(cluster)
        self._last_tick: timedelta | None = None
        self._last_cycle: timedelta | None = None

    # -- jobs and heartbeats ---------------------------------------------------------------

    def job_added(self, job: Job, now: timedelta) -> None:
        """Take in a submitted job; one that is known already is ignored."""
        if job.id in self.cluster.jobs:
            return
        self.cluster.add_job(job)
        if not job.spec.prerequisites:
            # When a job that waits for others can start is known better than by a rate.
            self._arrivals.add(job, now)

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: timedelta, *, is_heartbeat: bool, full: bool
    ) -> list[Command] | None:
        """Return the commands for the answer; None if the machine is gone or the report is old."""
        machine = reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, now, is_heartbeat=is_heartbeat
        )
        if machine is None:
            return None
        return worker_commands.commands_for(self.cluster, machine, full) if is_heartbeat else []

    # -- answers of the cloud --------------------------------------------------------------

    @property
    def listed(self) -> bool:
        """Whether the cloud's list of machines has been read in this term."""
        return self._inventory.listed

    @listed.setter
    def listed(self, listed: bool) -> None:
        self._inventory.listed = listed

    @property
    def rentals(self) -> dict[InstanceOffer, RentalRequest]:
        """Rental requests that are not answered yet, one for each offer at most."""
        return self._inventory.rentals

    @property
    def releases(self) -> set[str]:
        """Machines to be returned; each stays until the cloud confirms."""
        return self._inventory.releases

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        """Take in the cloud's machine types."""
        self.instance_offers.types = {kind.name: kind for kind in types}
        self.cluster.types = self.instance_offers.types
        self.cluster.changed = True

    def on_list(self, listed: Iterable[ListedMachine], now: timedelta) -> None:
        """Take in the cloud's list of all machines."""
        self._inventory.on_list(listed, now)

    def rented(self, request: RentalRequest, names: list[str], now: timedelta) -> None:
        """Take in a granted request, of which fewer machines may have come than asked for."""
        self._inventory.rented(request, names, now)

    def rental_refused(self, request: RentalRequest, now: timedelta) -> None:
        """Take in a refused request."""
        self._inventory.rental_refused(request, now)

    def released(self, names: Iterable[str], now: timedelta) -> None:
        """Take in the cloud's confirmation that these machines are gone."""
        self._inventory.released(names, now)

    def return_again(self, names: Iterable[str], now: timedelta) -> None:
        """Ask the cloud once more to take back machines that an earlier leader was returning."""
        self._inventory.return_again(names, now)

    # -- time ------------------------------------------------------------------------------

    def tick(self, now: timedelta, *, may_expire_leases: bool = True) -> None:
        """Do what is due by the clock alone.

        ``may_expire_leases``: no other controller can have renewed the lease of a worker that we do
        not hear from.  Where that is not sure, silent machines are returned, and the cloud's answer
        waited for.
        """
        if self._last_tick is not None and now - self._last_tick > STALL_THRESHOLD:
            # Guards against judging machines by our own absence: heartbeats that came while this
            # process was stalled are taken in first.
            stalled = (now - self._last_tick).total_seconds()
            log.info("scheduler stalled: seconds=%.1f", stalled)
            self._monitor.observe_from(now)
        self._last_tick = now
        if may_expire_leases:
            machine_loss.expire_leases(self.cluster, now)
        drain_reclaimed_machines(self.cluster, now)
        self._monitor.check(self.plan, now)
        self._status_log.tick(now)

    def wants_cycle(self, now: timedelta) -> bool:
        """Return whether something changed, or the refresh period is over."""
        due = self._last_cycle is None or now - self._last_cycle >= self.policy.refresh
        return self.cluster.changed or due

    # -- cycles ----------------------------------------------------------------------------

    def refresh_deferral(self, now: timedelta, utc_now: datetime) -> None:
        """Decide which jobs are deferred; before a cycle, where timing is switched on."""
        if self.deferral is not None:
            urgent = self._arrivals.urgent_classes
            self.deferral.refresh(self.policy, self.plan.teams, urgent, now, utc_now)

    def run_cycle(self, now: timedelta) -> None:
        """Run a scheduling cycle and apply its plan to the cluster state."""
        self._reopen_preempted_machines(now)
        self._refresh_reservations(now)
        self.cluster.changed = False
        self._last_cycle = now
        self.plan = SchedulingCycle(self._cycle_inputs(now)).run()
        self.plan.reserved |= self.reservations.reserved_machines()
        for kill in self.plan.kills:
            self._preempt(kill, now)
        self._inventory.request_rentals(self.plan.rentals)

    def _cycle_inputs(self, now: timedelta) -> CycleInputs:
        return CycleInputs(
            self.cluster,
            self.instance_offers,
            self.policy,
            self.timers,
            now,
            self._arrivals.expected_work(now),
            may_rent=self.listed and now - self.cluster.term_start >= MACHINE_COUNT_TIMEOUT,
            # Else what is asked for would be rented twice.
            pending_rentals=self._inventory.pending_rentals(),
            deferral=self.deferral,
            served_by_age=self._served_by_age,
        )

    def _refresh_reservations(self, now: timedelta) -> None:
        """Choose the machines that are reserved for jobs that have waited for long."""
        satisfied: set[TeamResource] = set()
        below_guarantee: set[TeamResource] = set()
        for resource, states in self.plan.teams.items():
            for name, state in states.items():
                guaranteed = min(state.minimum, state.demand)
                if state.used + EPSILON >= max(state.share, guaranteed):
                    satisfied.add((name, resource))
                elif state.used + EPSILON < guaranteed:
                    below_guarantee.add((name, resource))
        self.reservations.refresh(
            ReservationInputs(
                self.cluster,
                self.instance_offers,
                self.policy,
                frozenset(satisfied),
                frozenset(below_guarantee),
                self.instance_offers.all_spot_backing_off(now),
                now,
            )
        )

    def _reopen_preempted_machines(self, now: timedelta) -> None:
        """Open machines to others again once the job that was preempted for needs them no more.

        Until then they are closed: what was stopped, or is placed before, would take the slot again
        as long as another task there is still saving, and be stopped again in the next cycle.
        """
        for machine in self.cluster.machines.values():
            if machine.preempted_for is not None:
                job_id, until = machine.preempted_for
                job = self.cluster.jobs.get(job_id)
                if job is None or not job.waiting_count() or now >= until:
                    machine.preempted_for = None

    def _preempt(self, kill: Kill, now: timedelta) -> None:
        """Stop a victim, with grace to save, and close its machines to others."""
        victim = kill.victim
        job = self.cluster.jobs[victim.job_id]
        grace = grace_to_save(job)
        machines = {freed.machine for freed in victim.frees}
        log.info(
            "preempted: job=%s task=%s machine=%s preemptor=%s",
            victim.job_id,
            "all" if victim.index is None else victim.index,
            ",".join(sorted(machines)),
            kill.preemptor,
        )
        for name in machines:
            self.cluster.machines[name].preempted_for = PreemptionHold(
                kill.preemptor, now + grace + PREEMPTION_MARGIN
            )
        if victim.index is None:
            self.cluster.stop_job(job, now, save=True)
            return
        for attempt in list(job.attempts.get(victim.index, ())):
            self.cluster.stop(attempt, grace, now)

    # -- counts ----------------------------------------------------------------------------

    def counts(self, limit: int = MAX_JOBS) -> list[Counts]:
        """Return how many tasks of each job are done and running, for jobs where any are."""
        return job_counts(self.cluster, limit)

    def all_started(self, limit: int = MAX_JOBS) -> list[str]:
        """Return the jobs of which each task that is not done runs: no task of them can start."""
        return fully_started_jobs(self.cluster, limit)

    def state_counts(self, now: timedelta) -> Counter[str]:
        """Return how many jobs there are in each state."""
        return job_state_counts(self.cluster, self.deferral, now)
