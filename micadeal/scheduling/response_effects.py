"""Judging from a heartbeat whether the last response to its worker arrived.

Guards against one-way partitions, in which a machine is given one start after the other and runs
none.  A response counts by its effect alone, never by having been sent (docs/safety.md).
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
    """Record what a message shows of the last response, before it is taken over into ``machine``.

    ``is_heartbeat``: False for an answer to a command.
    """
    shows_our_token = heartbeat.token == cluster.token
    starts = [
        attempt
        for attempt in machine.attempts.values()
        if attempt.state is None and attempt.ordered is not None
    ]
    if (
        not starts
        and shows_our_token
        and machine.has_our_token
        and heartbeat.incarnation == machine.incarnation
    ):
        # Nothing was asked for that could show.
        return
    reachability = machine.reachability
    reported = {(task.task, task.attempt) for task in heartbeat.tasks}
    started = any((attempt.task, attempt.number) in reported for attempt in starts)
    if started or (shows_our_token and not machine.has_our_token):
        reachability.response_took_effect()
        return
    if not is_heartbeat or machine.heard is None:
        # It may have been sent while the response was on its way.
        return
    latest = (machine.incarnation, machine.sequence)
    start_missing = any(attempt.ordered == latest and attempt.stop is None for attempt in starts)
    lease_not_renewed = (
        heartbeat.incarnation > machine.incarnation
        and now - machine.heard < cluster.workers.lease * UNRENEWED_LEASE_SHARE
    )
    if start_missing or lease_not_renewed or not shows_our_token:
        reachability.response_had_no_effect(now)
        if reachability.may_probe(now):
            cluster.pending_probes.add(machine.name)
        cluster.changed |= reachability.receives_nothing


def withdraw_unseen_starts(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    """Stop the starts that an unreachable machine has not shown, so that they go elsewhere.

    They are released by the ways that are certain: once a newer heartbeat, sent after the response
    with the start, does not show them.  A gang is withdrawn as a whole: the rest of it would wait
    in vain.
    """
    for attempt in list(machine.attempts.values()):
        if attempt.state is None and cluster.is_ours(attempt) and attempt.stop is None:
            stop_gang_members(cluster, attempt, now)
            cluster.stop(attempt, ZERO, now)
