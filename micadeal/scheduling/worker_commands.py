"""Derives the commands for a worker from the cluster state: start, stop and forget tasks."""

from __future__ import annotations

from micadeal.fleet.machines import HeartbeatId, Machine
from micadeal.invariants import report_violation
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.start_invariants import find_start_violation
from micadeal.wire.workers import Command, CommandKind


def commands_for(cluster: ClusterState, machine: Machine, full_authority: bool) -> list[Command]:
    """Return the commands for the response to the machine's newest heartbeat.

    Start commands are sent only with full authority, and only in these responses, since the worker
    ignores responses that arrive late.
    """
    commands = stop_commands_for(cluster, machine)
    if not full_authority:
        return commands
    if machine.exited:
        commands += _forget_commands(cluster, machine)
    if (
        not machine.has_current_token
        or machine.lease_expired
        or machine.reachability.receives_no_responses
    ):
        return commands
    commands += _start_commands(cluster, machine)
    return commands


def stop_commands_for(cluster: ClusterState, machine: Machine) -> list[Command]:
    """Return the stop commands for a machine; they may be sent at any time and repeated."""
    return [
        Command(CommandKind.STOP, attempt.task, attempt.number, attempt.stop_grace.total_seconds())
        for attempt in machine.attempts.values()
        if attempt.stop_grace is not None
        and (attempt.state is not None or not cluster.placed_by_this_leader(attempt))
    ]


def _forget_commands(cluster: ClusterState, machine: Machine) -> list[Command]:
    """Return commands to forget exited tasks; a completed one only once it is recorded."""
    commands: list[Command] = []
    for (task, number), exited in machine.exited.items():
        job = cluster.jobs.get(exited.job_id)
        if (
            not exited.done
            or job is None
            or job.ended
            or job.is_service
            or exited.task_index in job.recorded_finished
        ):
            commands.append(Command(CommandKind.FORGET, task, number))
    return commands


def _start_commands(cluster: ClusterState, machine: Machine) -> list[Command]:
    """Return the start commands for recorded attempts that no heartbeat has shown yet."""
    commands: list[Command] = []
    for attempt in machine.attempts.values():
        # The most selective conditions come first: this runs with each heartbeat.
        if attempt.state is not None or attempt.stop_grace is not None:
            continue
        if attempt.recorded and cluster.placed_by_this_leader(attempt):
            violation = find_start_violation(cluster, machine, attempt)
            if violation is not None:
                report_violation(violation.invariant, attempt.task, violation.reason)
                continue
            attempt.start_sent_in = HeartbeatId(machine.incarnation, machine.sequence)
            commands.append(Command(CommandKind.START, attempt.task, attempt.number))
    return commands
