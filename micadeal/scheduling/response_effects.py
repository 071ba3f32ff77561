"""Tells from a heartbeat whether the last response to its worker arrived.

Guards against one-way partitions, in which a machine is sent one start command after the other and
runs none.  A response counts only by its effect, never by having been sent (docs/safety.md).
"""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO
from micadeal.fleet.machines import Machine
from micadeal.fleet.reachability import UNRENEWED_LEASE_SHARE
from micadeal.scheduling.attempts import stop_gang_members
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.workers import Heartbeat


def assess_last_response(
    cluster: ClusterState,
    machine: Machine,
    heartbeat: Heartbeat,
    now: timedelta,
    is_heartbeat: bool,
) -> None:
    """Record whether a message shows an effect of the last response.

    Called before the message is applied to ``machine``.  ``is_heartbeat`` is False for an answer to
    a command.
    """
    shows_our_token = heartbeat.token == cluster.token
    starts = [
        attempt
        for attempt in machine.attempts.values()
        if attempt.state is None and attempt.start_sent_in is not None
    ]
    if (
        not starts
        and shows_our_token
        and machine.has_current_token
        and heartbeat.incarnation == machine.incarnation
    ):
        # The last response asked for nothing that a message could show.
        return
    reachability = machine.reachability
    shown = {(task.task, task.attempt) for task in heartbeat.tasks}
    started = any((attempt.task, attempt.number) in shown for attempt in starts)
    if started or (shows_our_token and not machine.has_current_token):
        reachability.response_took_effect()
        return
    if not is_heartbeat or machine.last_heartbeat_at is None:
        # The message may have been sent while the response was in transit.
        return
    latest = (machine.incarnation, machine.sequence)
    start_missing = any(
        attempt.start_sent_in == latest and attempt.stop_grace is None for attempt in starts
    )
    lease_not_renewed = (
        heartbeat.incarnation > machine.incarnation
        and now - machine.last_heartbeat_at < cluster.workers.lease * UNRENEWED_LEASE_SHARE
    )
    if start_missing or lease_not_renewed or not shows_our_token:
        reachability.response_had_no_effect(now)
        if reachability.may_probe(now):
            cluster.pending_probes.add(machine.name)
        cluster.changed |= reachability.receives_no_responses


def withdraw_unconfirmed_starts(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    """Stop attempts whose start an unreachable machine has not shown, so that they go elsewhere.

    Each is removed only when that is certainly safe: once a heartbeat that was sent after the
    response with the start does not show it.  A gang is withdrawn as a whole, since its other tasks
    would wait for the missing one.
    """
    for attempt in list(machine.attempts.values()):
        if (
            attempt.state is None
            and cluster.placed_by_this_leader(attempt)
            and attempt.stop_grace is None
        ):
            stop_gang_members(cluster, attempt, now)
            cluster.stop(attempt, ZERO, now)
