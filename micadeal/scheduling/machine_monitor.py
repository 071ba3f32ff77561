"""Checks machines at each tick: returns them, drains faulty ones, and requests worker contact."""

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

#: Points from which a machine counts as faulty.
FAULTY_POINTS = 3
#: Points for a job that failed on the machine and has run elsewhere for ``PROVEN_AFTER``, or has a
#: finished task.
PROVEN_JOB_POINTS = 2
PROVEN_AFTER = seconds(5)
#: Points for any other job that failed on the machine.
UNPROVEN_JOB_POINTS = 1
#: Errors of fewer jobs than this say nothing about the machine.
MIN_FAILED_JOBS = 2
#: Shortest time between two direct commands to one machine.
DIRECT_COMMAND_INTERVAL = seconds(2)


class MachineMonitor:
    """Checks all machines at each tick."""

    def __init__(self, cluster: ClusterState, inventory: MachineInventory, now: timedelta) -> None:
        self._cluster = cluster
        self._inventory = inventory
        self._scale_in = ScaleIn(cluster, now)
        #: Earliest time of the next direct command to each machine.
        self._direct_due: dict[str, timedelta] = {}

    def restart_silence_timers(self, now: timedelta) -> None:
        """Restart the count of each machine's silence, since this process was stalled until now."""
        self._scale_in.restart_silence_timers(now)

    def check(self, plan: Plan, now: timedelta) -> None:
        """Return, drain, command or probe each machine for which that is due.

        ``plan`` is the plan of the last scheduling cycle; machines that it needs are kept.
        """
        lease_expiry = self._cluster.lease_expiry
        reporting = unreachable = 0
        for machine in list(self._cluster.machines.values()):
            if (
                machine.last_heartbeat_at is not None
                and now - machine.last_heartbeat_at <= lease_expiry
            ):
                reporting += 1
                unreachable += machine.reachability.receives_no_responses
            if machine.release_requested is None:
                self._return_or_drain(machine, plan, now)
                self._request_contact(machine, now)
        for name in self._cluster.pending_direct_commands:
            self._direct_due[name] = now + DIRECT_COMMAND_INTERVAL
        self._scale_in.note_reachability(reporting, unreachable)

    def _return_or_drain(self, machine: Machine, plan: Plan, now: timedelta) -> None:
        reason = self._scale_in.return_reason(machine, plan, now)
        if reason is not None:
            log.info(
                "machine returned: machine=%s zone=%s reason=%s", machine.name, machine.zone, reason
            )
            self._inventory.request_return(machine, reason, now)
            self._cluster.changed = True
        elif machine.errors and machine.draining is None and self.is_faulty(machine, now):
            reason = ReturnReason.FAULTY
            log.info(
                "machine drained: machine=%s zone=%s reason=%s", machine.name, machine.zone, reason
            )
            machine.draining = reason
            self._cluster.changed = True

    def _request_contact(self, machine: Machine, now: timedelta) -> None:
        """Request direct commands to the machine, or a probe of it, where that is due."""
        # The first direct command shows a worker this leader's fencing token.  It can be lost, or a
        # worker in another incarnation can refuse it, so it is repeated.  Otherwise an earlier
        # leader that lost only the state service could keep answering the worker, and this leader
        # could not stop its tasks.
        lacks_token = bool(machine.attempts) and not machine.has_current_token
        if (lacks_token or _has_stopping_task(machine)) and now >= self._direct_due.get(
            machine.name, ZERO
        ):
            self._cluster.pending_direct_commands.add(machine.name)
        reachability = machine.reachability
        if (
            reachability.ineffective_responses
            and reachability.receives_no_responses
            and reachability.may_probe(now)
        ):
            # An answer proves that it receives messages again.
            self._cluster.pending_probes.add(machine.name)

    def is_faulty(self, machine: Machine, now: timedelta) -> bool:
        """Return whether errors of several jobs on the machine suggest that it is faulty.

        Guards against draining machines because of jobs that were submitted with a mistake.  A job
        that also fails elsewhere says nothing about the machine.  A job that works elsewhere says
        more than a job of which nothing else is known.
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
    # A loop: for most machines a generator would cost more than the rest of the tick.
    for attempt in machine.attempts.values():  # noqa: SIM110 - see above
        if attempt.stop_grace is not None:
            return True
    return False
