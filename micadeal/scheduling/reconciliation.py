"""Reconciling the cluster state with a heartbeat, or with a worker's answer to a command."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Machine
from micadeal.scheduling.attempts import lose_attempt
from micadeal.scheduling.cluster_state import ClusterState, StaleTokenError
from micadeal.scheduling.reported_tasks import reconcile_tasks
from micadeal.scheduling.response_effects import assess_last_response, withdraw_unseen_starts
from micadeal.scheduling.scale_in import ReturnReason
from micadeal.wire.workers import Heartbeat

log = logging.getLogger(__name__)

#: After so many heartbeat intervals without a newer message, a worker whose messages look old is
#: probed.
PROBE_AFTER_INTERVALS = 1.5
#: Latest end of a machine that an announcement is taken for, in seconds from now.
MAX_NOTICE_S = 1e6


def reconcile_heartbeat(
    cluster: ClusterState,
    heartbeat: Heartbeat,
    now: timedelta,
    *,
    is_heartbeat: bool,
    asked: timedelta | None = None,
) -> Machine | None:
    """Take in a message of a worker and return its machine.

    ``is_heartbeat``: the worker sent it by itself; False for an answer to a command, which was sent
    at ``asked``.

    Returns None if the message is of a machine that is gone for good, or older than one taken in
    already: it must not be answered as if it were new.  Raises ``StaleTokenError`` if it shows the
    token of a later leader.
    """
    if heartbeat.token > cluster.token:
        raise StaleTokenError(heartbeat.machine, heartbeat.token, cluster.token)
    if heartbeat.machine in cluster.removed_machines:
        return None
    machine = cluster.machines.get(heartbeat.machine)
    if machine is None:
        machine = _add_unknown_machine(cluster, heartbeat, now)
    reachability = machine.reachability
    if reachability.restarted or _looks_older(machine, heartbeat):
        _take_old_message(cluster, machine, heartbeat, now, is_heartbeat, asked)
        return None
    if machine.lease_expired and heartbeat.incarnation == machine.incarnation:
        # Guards against copies that bring back machines which are gone: after its lease a worker
        # that is there reports its next incarnation.  What the message shows still counts as
        # possibly running.
        is_heartbeat = False
    if machine.up_since is None:
        _mark_up(cluster, machine, now)
    assess_last_response(cluster, machine, heartbeat, now, is_heartbeat)
    _take_position(cluster, machine, heartbeat)
    reachability.record_message(heartbeat.token, now)
    if asked is not None:
        reachability.probe_answered(asked)
    if is_heartbeat:
        _take_sign_of_life(cluster, machine, now)
    _take_notice(cluster, machine, heartbeat, now)
    if reachability.receives_nothing:
        withdraw_unseen_starts(cluster, machine, now)
    reconcile_tasks(cluster, machine, heartbeat, now, is_heartbeat)
    return machine


def _add_unknown_machine(cluster: ClusterState, heartbeat: Heartbeat, now: timedelta) -> Machine:
    """Add a machine known from a heartbeat alone: a late rental, or one of an earlier leader."""
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


def _looks_older(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Tell whether a message looks older than one taken in before.

    Within one worker process incarnation, sequence and token only grow.
    """
    latest = (machine.incarnation, machine.sequence)
    shown = (heartbeat.incarnation, heartbeat.sequence)
    return shown <= latest or heartbeat.token < machine.reachability.token


def _take_old_message(
    cluster: ClusterState,
    machine: Machine,
    heartbeat: Heartbeat,
    now: timedelta,
    is_heartbeat: bool,
    asked: timedelta | None,
) -> None:
    """Handle a message that was held up by the network, or is a copy; or the worker was restarted.

    Its list of tasks is as old as itself: nothing is renewed, freed or brought back by it.
    """
    reachability = machine.reachability
    if reachability.proves_restart(asked):
        _take_restart(cluster, machine, heartbeat, now)
    elif is_heartbeat and not reachability.restarted and _needs_probe(cluster, machine, now):
        cluster.pending_probes.add(machine.name)


def _needs_probe(cluster: ClusterState, machine: Machine, now: timedelta) -> bool:
    """Tell whether messages that look old may be all that this worker sends.

    Otherwise the message is a copy: many copies are no reason to probe hundreds of machines.
    """
    latest = machine.reachability.latest
    overdue = cluster.workers.heartbeat_interval * PROBE_AFTER_INTERVALS
    return (latest is None or now - latest > overdue) and machine.reachability.may_probe(now)


def _take_restart(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, now: timedelta
) -> None:
    """Take in that the worker process was restarted, as its answer to a probe proves.

    What the answer does not show is gone, and the machine is returned.  Guards against tasks that
    are thought to run for as long as the sequence of the new process is below that of the one
    before it, and against what copies of the latter's heartbeats would seem to show.
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
        elif cluster.is_ours(attempt) or heartbeat.token == cluster.token:
            # We order no start as long as heartbeats look old.  A start by an earlier leader may be
            # on its way to a worker that does not know our token: there only the return of the
            # machine makes certain.
            lose_attempt(cluster, machine, attempt, now)
    cluster.changed = True


def _mark_up(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    machine.up_since = now
    machine.idle_since = now
    if machine.boot_seen:
        cluster.boot_times.record_boot(machine, now)
    cluster.changed = True


def _take_position(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> None:
    """Take over incarnation, sequence, address, and whether the worker knows our token."""
    if heartbeat.incarnation > machine.incarnation:
        machine.exited.clear()
    machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
    machine.address = heartbeat.address
    had_our_token = machine.has_our_token
    machine.has_our_token = heartbeat.token == cluster.token
    if machine.has_our_token and not had_our_token:
        cluster.changed = True


def _take_sign_of_life(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    machine.heard = now
    if machine.lease_expired:
        machine.lease_expired = False
        cluster.changed = True


def _take_notice(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, now: timedelta
) -> None:
    """Take over when the cloud is going to take the machine away, if that is announced."""
    if heartbeat.notice_s is None:
        machine.reclaim_expected_at = None
        return
    if machine.reclaim_expected_at is None:
        cluster.changed = True
    machine.reclaim_expected_at = now + seconds(min(max(heartbeat.notice_s, 0.0), MAX_NOTICE_S))
