"""Reconciles the cluster state with a heartbeat, or with a worker's answer to a command."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Machine
from micadeal.scheduling.attempts import lose_attempt
from micadeal.scheduling.cluster_state import ClusterState, StaleTokenError
from micadeal.scheduling.reported_tasks import reconcile_tasks
from micadeal.scheduling.response_effects import assess_last_response, withdraw_unconfirmed_starts
from micadeal.scheduling.scale_in import ReturnReason
from micadeal.wire.workers import Heartbeat

log = logging.getLogger(__name__)

#: A worker whose messages look old is probed after this many heartbeat intervals without a newer
#: message.
PROBE_AFTER_INTERVALS = 1.5
#: Longest accepted time until a machine is reclaimed, in seconds; longer notices are cut to it.
MAX_NOTICE_S = 1e6


def reconcile_heartbeat(
    cluster: ClusterState,
    heartbeat: Heartbeat,
    now: timedelta,
    *,
    is_heartbeat: bool,
    command_sent_at: timedelta | None = None,
) -> Machine | None:
    """Apply a message of a worker to the cluster state and return its machine.

    ``is_heartbeat`` is True if the worker sent the message by itself.  It is False for an answer to
    a command, which was sent at ``command_sent_at``.

    Returns None if the machine is permanently gone, or if the message is older than one already
    applied: the caller must not answer it as a new one.  Raises ``StaleTokenError`` if the message
    shows the token of a later leader.
    """
    if heartbeat.token > cluster.token:
        raise StaleTokenError(heartbeat.machine, heartbeat.token, cluster.token)
    if heartbeat.machine in cluster.removed_machines:
        return None
    machine = cluster.machines.get(heartbeat.machine)
    if machine is None:
        machine = _add_unknown_machine(cluster, heartbeat, now)
    reachability = machine.reachability
    if reachability.restarted or _is_stale(machine, heartbeat):
        _handle_old_message(cluster, machine, heartbeat, now, is_heartbeat, command_sent_at)
        return None
    if machine.lease_expired and heartbeat.incarnation == machine.incarnation:
        # Guards against late copies that make a lost machine look alive: a live worker reports its
        # next incarnation once its lease has expired.  The tasks in the message still count as
        # possibly running.
        is_heartbeat = False
    if machine.up_since is None:
        _mark_up(cluster, machine, now)
    assess_last_response(cluster, machine, heartbeat, now, is_heartbeat)
    _update_position(cluster, machine, heartbeat)
    reachability.record_message(heartbeat.token, now)
    if command_sent_at is not None:
        reachability.probe_answered(command_sent_at)
    if is_heartbeat:
        _record_heartbeat(cluster, machine, now)
    _update_reclaim_notice(cluster, machine, heartbeat, now)
    if reachability.receives_no_responses:
        withdraw_unconfirmed_starts(cluster, machine, now)
    reconcile_tasks(cluster, machine, heartbeat, now, is_heartbeat)
    return machine


def _add_unknown_machine(cluster: ClusterState, heartbeat: Heartbeat, now: timedelta) -> Machine:
    """Add a machine known only from a heartbeat: a late rental, or one of an earlier leader."""
    machine = Machine(
        heartbeat.machine,
        heartbeat.address,
        heartbeat.machine_type,
        heartbeat.zone,
        heartbeat.spot,
        now,
        now,
    )
    machine.confirmed = False
    cluster.machines[machine.name] = machine
    return machine


def _is_stale(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Tell whether a message looks older than one already applied.

    Within one worker process, incarnation, sequence and token never decrease.
    """
    latest = (machine.incarnation, machine.sequence)
    shown = (heartbeat.incarnation, heartbeat.sequence)
    return shown <= latest or heartbeat.token < machine.reachability.token


def _handle_old_message(
    cluster: ClusterState,
    machine: Machine,
    heartbeat: Heartbeat,
    now: timedelta,
    is_heartbeat: bool,
    command_sent_at: timedelta | None,
) -> None:
    """Handle a message that looks old: delayed, duplicated, or sent by a restarted worker.

    Its list of tasks may be out of date.  Unless it proves a restart, the message renews no lease
    and neither removes nor adds attempts.
    """
    reachability = machine.reachability
    if reachability.proves_restart(command_sent_at):
        _handle_worker_restart(cluster, machine, heartbeat, now)
    elif is_heartbeat and not reachability.restarted and _needs_probe(cluster, machine, now):
        cluster.pending_probes.add(machine.name)


def _needs_probe(cluster: ClusterState, machine: Machine, now: timedelta) -> bool:
    """Tell whether this worker may be sending nothing but messages that look old.

    If newer messages arrived recently, this one is a late copy.  Many late copies are no reason to
    probe hundreds of machines.
    """
    last_message_at = machine.reachability.last_message_at
    overdue = cluster.workers.heartbeat_interval * PROBE_AFTER_INTERVALS
    return (
        last_message_at is None or now - last_message_at > overdue
    ) and machine.reachability.may_probe(now)


def _handle_worker_restart(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, now: timedelta
) -> None:
    """Handle a restart of the worker process, as proven by its answer to a probe.

    Tasks that the answer does not show are gone, and the machine is returned.  Guards against tasks
    that seem to run while the sequence of the new process is below that of the previous one, and
    against late copies of the previous process's heartbeats.
    """
    if not machine.reachability.restarted:
        log.info("worker restarted: machine=%s zone=%s", machine.name, machine.zone)
        machine.reachability.restarted = True
        machine.draining = ReturnReason.RESTARTED
        machine.exited.clear()
    shown = {(task.task, task.attempt) for task in heartbeat.tasks}
    for attempt in list(machine.attempts.values()):
        if (attempt.task, attempt.number) in shown:
            cluster.stop(attempt, ZERO, now)
        elif cluster.placed_by_this_leader(attempt) or heartbeat.token == cluster.token:
            # This leader sends no start while heartbeats look old.  A start by an earlier leader
            # may be in transit to a worker that has not seen this leader's token.  In that case
            # only the return of the machine proves that the attempt can't run.
            lose_attempt(cluster, machine, attempt, now)
    cluster.changed = True


def _mark_up(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    machine.up_since = now
    machine.idle_since = now
    if machine.boot_seen:
        cluster.boot_times.record_boot(machine, now)
    cluster.changed = True


def _update_position(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> None:
    """Copy incarnation, sequence, address, and whether the worker has this leader's token."""
    if heartbeat.incarnation > machine.incarnation:
        machine.exited.clear()
    machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
    machine.address = heartbeat.address
    had_token = machine.has_current_token
    machine.has_current_token = heartbeat.token == cluster.token
    if machine.has_current_token and not had_token:
        cluster.changed = True


def _record_heartbeat(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    machine.last_heartbeat_at = now
    if machine.lease_expired:
        machine.lease_expired = False
        cluster.changed = True


def _update_reclaim_notice(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, now: timedelta
) -> None:
    """Update when the cloud is going to reclaim the machine, if it gave notice."""
    if heartbeat.notice_s is None:
        machine.reclaim_expected_at = None
        return
    if machine.reclaim_expected_at is None:
        cluster.changed = True
    machine.reclaim_expected_at = now + seconds(min(max(heartbeat.notice_s, 0.0), MAX_NOTICE_S))
