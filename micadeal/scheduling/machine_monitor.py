"""Care for machines at each tick: returning, draining faulty ones, and what to ask workers."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Machine
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.machine_inventory import MachineInventory
from micadeal.scheduling.plan import Plan
from micadeal.scheduling.scale_in import ReturnReason, ScaleIn

log = logging.getLogger(__name__)

#: A machine is faulty with so many points.
FAULTY_POINTS = 3
#: Points of a job that failed on it and has run elsewhere for ``PROVEN_AFTER``.
PROVEN_JOB_POINTS = 2
PROVEN_AFTER = seconds(5)
#: Points of a job of which nothing else is known.
UNPROVEN_JOB_POINTS = 1
#: Errors of a single job say nothing about the machine.
MIN_FAILED_JOBS = 2
#: Direct commands to a machine are so far apart.
DIRECT_COMMAND_INTERVAL = seconds(2)


class MachineMonitor:
    """Checks all machines; called at each tick."""

    def __init__(self, cluster: ClusterState, inventory: MachineInventory, now: timedelta) -> None:
        self._cluster = cluster
        self._inventory = inventory
        self._scale_in = ScaleIn(cluster, now)
        #: When each machine may get direct commands again.
        self._direct_due: dict[str, timedelta] = {}

    def observe_from(self, now: timedelta) -> None:
        """Count silence of machines anew from now: this process was stalled before."""
        self._scale_in.observe_from(now)

    def check(self, plan: Plan, now: timedelta) -> None:
        """Return, drain, command or probe each machine where that is due.

        ``plan``: of the last cycle; machines that it needs are kept.
        """
        lease_expiry = self._cluster.lease_expiry
        heard = receives_nothing = 0
        for machine in list(self._cluster.machines.values()):
            if machine.heard is not None and now - machine.heard <= lease_expiry:
                heard += 1
                receives_nothing += machine.reachability.receives_nothing
            if machine.release_requested is None:
                self._return_or_drain(machine, plan, now)
                self._request_contact(machine, now)
        for name in self._cluster.pending_direct_commands:
            self._direct_due[name] = now + DIRECT_COMMAND_INTERVAL
        self._scale_in.note_reachability(heard, receives_nothing)

    def _return_or_drain(self, machine: Machine, plan: Plan, now: timedelta) -> None:
        reason = self._scale_in.return_reason(machine, plan, now)
        if reason is not None:
            log.info(
                "machine returned: machine=%s zone=%s reason=%s", machine.name, machine.zone, reason
            )
            self._inventory.release(machine, reason, now)
            self._cluster.changed = True
        elif machine.errors and machine.draining is None and self.is_faulty(machine, now):
            reason = ReturnReason.FAULTY
            log.info(
                "machine drained: machine=%s zone=%s reason=%s", machine.name, machine.zone, reason
            )
            machine.draining = reason
            self._cluster.changed = True

    def _request_contact(self, machine: Machine, now: timedelta) -> None:
        """Have the machine sent direct commands, or asked for its state, where that is due."""
        # The first direct command shows a worker our fencing token.  It can be lost, or be refused
        # since the worker is in another incarnation: unless it is repeated, an earlier leader that
        # lost the state service alone could go on answering the worker, and its tasks would be out
        # of our reach.
        lacks_token = bool(machine.attempts) and not machine.has_our_token
        if (lacks_token or _has_stopping_task(machine)) and now >= self._direct_due.get(
            machine.name, ZERO
        ):
            self._cluster.pending_direct_commands.add(machine.name)
        reachability = machine.reachability
        if (
            reachability.ineffective_responses
            and reachability.receives_nothing
            and reachability.may_probe(now)
        ):
            # Its answer proves that it receives what we send again.
            self._cluster.pending_probes.add(machine.name)

    def is_faulty(self, machine: Machine, now: timedelta) -> bool:
        """Return whether errors of several jobs on one machine point to the machine.

        Guards against draining machines for jobs that were submitted with a mistake: a job that
        fails elsewhere as well says nothing about a machine, and one that runs elsewhere says more
        than one of which nothing else is known.
        """
        if len(machine.errors) < MIN_FAILED_JOBS:
            return False
        points = 0
        for job_id in machine.errors:
            job = self._cluster.jobs.get(job_id)
            if job is None or job.suspected_faulty:
                continue
            proven = bool(job.finished) or job.runs_on_other_machine(
                machine.name, now - PROVEN_AFTER
            )
            points += PROVEN_JOB_POINTS if proven else UNPROVEN_JOB_POINTS
        return points >= FAULTY_POINTS


def _has_stopping_task(machine: Machine) -> bool:
    # A loop, since a generator costs more than everything else that a tick does for most machines.
    for attempt in machine.attempts.values():  # noqa: SIM110 - see above
        if attempt.stop is not None:
            return True
    return False
