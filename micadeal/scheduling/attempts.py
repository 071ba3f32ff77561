"""Handles attempts that are gone without having completed, and the rest of their gangs."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO
from micadeal.fleet.machines import Attempt, Machine
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.workers import TaskState


def lose_attempt(cluster: ClusterState, machine: Machine, attempt: Attempt, now: timedelta) -> None:
    """Remove an attempt that can no longer be on the machine or be started there."""
    stop_gang_members(cluster, attempt, now)
    # Stopping the other members may already have removed this attempt.
    if attempt.key in machine.attempts:
        cluster.remove_attempt(attempt, now)


def stop_gang_members(cluster: ClusterState, attempt: Attempt, now: timedelta) -> None:
    """Stop the tasks that ran together with an attempt that is gone, if it belonged to a gang.

    The tasks of one attempt of a gang share its attempt number.  All of them end before the next
    attempt of the gang begins.  Attempts with other numbers are not stopped: a leftover of an
    earlier attempt, or one named by a record that was written late, must not end the attempt that
    runs.
    """
    job = cluster.jobs.get(attempt.job_id)
    if job is None or not job.is_gang or job.ended or job.complete:
        return
    members = [
        other
        for other in job.all_attempts()
        if other is not attempt and other.number == attempt.number
    ]
    if attempt.state is TaskState.SAVING or attempt.stop_grace is not None:
        # An orderly stop: members that are being stopped save and exit by themselves.
        members = [member for member in members if member.stop_grace is None]
    for member in members:
        cluster.stop(member, ZERO, now)
