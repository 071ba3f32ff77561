"""The leader's scheduling decisions during one term: cycles, rentals and returns.  No I/O.

``Scheduler`` is the interface to the controller.  It receives events (jobs, heartbeats, responses
of the cloud) and stores its decisions in the cluster state, ``pending_rental_requests`` and
``pending_returns``.  The controller carries them out.
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
from micadeal.scheduling.plan import Plan, PlannedPreemption
from micadeal.scheduling.reservations import GangReservations, ReservationInputs
from micadeal.scheduling.scheduling_cycle import SchedulingCycle
from micadeal.scheduling.status_counts import (
    MAX_JOBS_PER_MESSAGE,
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
    # Imported at run time only if timing is enabled: other deployments run without it.
    from micadeal.scheduling.deferral import Deferral

log = logging.getLogger(__name__)

#: A longer gap between two ticks means that this process was stalled.
STALL_THRESHOLD = seconds(3)
#: No machine is rented for this long after a failover: existing ones may not have reported yet.
MACHINE_COUNT_TIMEOUT = seconds(4)
#: A machine stays closed to other jobs for this long after the grace period of a preempted task, so
#: that the end of the task can be reported and the next cycle can run.
PREEMPTION_MARGIN = seconds(6)


class Scheduler:
    """The scheduler of one term; call ``tick`` often, and ``run_cycle`` when ``cycle_due``."""

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
        #: The plan of the last cycle.
        self.plan = Plan()
        #: Defers flexible jobs to better hours; None if timing is disabled.
        self.deferral: Deferral | None = None
        #: Teams whose last start was a task of their longest waiting job.
        self._served_by_age: set[str] = set()
        self._inventory = MachineInventory(cluster, instance_offers)
        self._monitor = MachineMonitor(cluster, self._inventory, now)
        self._arrivals = ArrivalHistory(instance_offers, objectives)
        self._status_log = StatusLog(cluster)
        self._last_tick: timedelta | None = None
        self._last_cycle: timedelta | None = None

    # -- jobs and heartbeats ---------------------------------------------------------------

    def job_added(self, job: Job, now: timedelta) -> None:
        """Add a submitted job; a job that is already known is ignored."""
        if job.id in self.cluster.jobs:
            return
        self.cluster.add_job(job)
        if not job.spec.prerequisites:
            # A job with prerequisites can start when these complete, so arrival rates ignore it.
            self._arrivals.add(job, now)

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: timedelta, *, is_heartbeat: bool, full_authority: bool
    ) -> list[Command] | None:
        """Return the commands to respond with; None if the machine is gone or the report is old."""
        machine = reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, now, is_heartbeat=is_heartbeat
        )
        if machine is None:
            return None
        return (
            worker_commands.commands_for(self.cluster, machine, full_authority)
            if is_heartbeat
            else []
        )

    # -- responses of the cloud ------------------------------------------------------------

    @property
    def listed(self) -> bool:
        """Whether the cloud's list of machines has been read in this term."""
        return self._inventory.listed

    @listed.setter
    def listed(self, listed: bool) -> None:
        self._inventory.listed = listed

    @property
    def pending_rental_requests(self) -> dict[InstanceOffer, RentalRequest]:
        """Rental requests without a response yet, at most one for each offer."""
        return self._inventory.pending_rental_requests

    @property
    def pending_returns(self) -> set[str]:
        """Names of machines to be returned; each stays until the cloud confirms the return."""
        return self._inventory.pending_returns

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        """Set the cloud's machine types."""
        self.instance_offers.types = {kind.name: kind for kind in types}
        self.cluster.types = self.instance_offers.types
        self.cluster.changed = True

    def apply_machine_list(self, listed: Iterable[ListedMachine], now: timedelta) -> None:
        """Process the cloud's list of all machines."""
        self._inventory.apply_machine_list(listed, now)

    def rental_granted(self, request: RentalRequest, names: list[str], now: timedelta) -> None:
        """Process a granted rental request; the cloud may grant fewer machines than requested."""
        self._inventory.rental_granted(request, names, now)

    def rental_refused(self, request: RentalRequest, now: timedelta) -> None:
        """Process a refused rental request."""
        self._inventory.rental_refused(request, now)

    def return_confirmed(self, names: Iterable[str], now: timedelta) -> None:
        """Process the cloud's confirmation that these machines are gone."""
        self._inventory.return_confirmed(names, now)

    def retry_returns(self, names: Iterable[str], now: timedelta) -> None:
        """Request again the return of machines that an earlier leader was returning."""
        self._inventory.retry_returns(names, now)

    # -- time ------------------------------------------------------------------------------

    def tick(self, now: timedelta, *, may_expire_leases: bool = True) -> None:
        """Make the decisions that depend on time alone.

        ``may_expire_leases``: whether it is certain that no other controller has renewed the lease
        of a worker that is silent here.  If it is not, silent machines are returned instead, and
        their tasks are replaced only after the cloud has confirmed the return.
        """
        if self._last_tick is not None and now - self._last_tick > STALL_THRESHOLD:
            # Guards against treating machines as silent because this process was stalled:
            # heartbeats that arrived during the stall are processed first.
            stalled = (now - self._last_tick).total_seconds()
            log.info("scheduler stalled: seconds=%.1f", stalled)
            self._monitor.restart_silence_timers(now)
        self._last_tick = now
        if may_expire_leases:
            machine_loss.expire_leases(self.cluster, now)
        drain_reclaimed_machines(self.cluster, now)
        self._monitor.check(self.plan, now)
        self._status_log.tick(now)

    def cycle_due(self, now: timedelta) -> bool:
        """Return whether the cluster state changed or the refresh period has passed."""
        due = self._last_cycle is None or now - self._last_cycle >= self.policy.refresh
        return self.cluster.changed or due

    # -- cycles ----------------------------------------------------------------------------

    def refresh_deferral(self, now: timedelta, utc_now: datetime) -> None:
        """Decide which jobs are deferred, if timing is enabled; called before a cycle."""
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
        for preemption in self.plan.preemptions:
            self._preempt(preemption, now)
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
            # Otherwise the requested machines would be rented twice.
            pending_rentals=self._inventory.pending_rentals(),
            deferral=self.deferral,
            served_by_age=self._served_by_age,
        )

    def _refresh_reservations(self, now: timedelta) -> None:
        """Choose the machines to reserve for jobs that have waited long."""
        satisfied: set[TeamResource] = set()
        below_guarantee: set[TeamResource] = set()
        for resource, states in self.plan.teams.items():
            for name, state in states.items():
                guaranteed = min(state.guarantee, state.demand)
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
        """Open machines to other jobs again once the preemptor no longer needs them.

        Until then they are closed.  Otherwise, while another task on the machine is still saving,
        the preempted job or a job that is placed earlier would take the freed slot, and would be
        stopped again in the next cycle.
        """
        for machine in self.cluster.machines.values():
            if machine.preempted_for is not None:
                job_id, until = machine.preempted_for
                job = self.cluster.jobs.get(job_id)
                if job is None or not job.waiting_count() or now >= until:
                    machine.preempted_for = None

    def _preempt(self, preemption: PlannedPreemption, now: timedelta) -> None:
        """Stop a victim with a grace period to save, and close its machines to other jobs."""
        victim = preemption.victim
        job = self.cluster.jobs[victim.job_id]
        grace = grace_to_save(job)
        machines = {freed.machine for freed in victim.freed}
        log.info(
            "preempted: job=%s task=%s machine=%s preemptor=%s",
            victim.job_id,
            "all" if victim.index is None else victim.index,
            ",".join(sorted(machines)),
            preemption.preemptor,
        )
        for name in machines:
            self.cluster.machines[name].preempted_for = PreemptionHold(
                preemption.preemptor, now + grace + PREEMPTION_MARGIN
            )
        if victim.index is None:
            self.cluster.stop_job(job, now, save=True)
            return
        for attempt in list(job.attempts.get(victim.index, ())):
            self.cluster.stop(attempt, grace, now)

    # -- counts ----------------------------------------------------------------------------

    def counts(self, limit: int = MAX_JOBS_PER_MESSAGE) -> list[Counts]:
        """Return the numbers of done and running tasks of each job that has any."""
        return job_counts(self.cluster, limit)

    def all_started(self, limit: int = MAX_JOBS_PER_MESSAGE) -> list[str]:
        """Return the jobs whose unfinished tasks all run, so that no task of them can start."""
        return fully_started_jobs(self.cluster, limit)

    def state_counts(self, now: timedelta) -> Counter[str]:
        """Return the number of jobs in each state."""
        return job_state_counts(self.cluster, self.deferral, now)
