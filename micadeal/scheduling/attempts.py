"""What follows when an attempt is gone without having completed."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO
from micadeal.fleet.machines import Attempt, Machine
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.workers import TaskState


def lose_attempt(cluster: ClusterState, machine: Machine, attempt: Attempt, now: timedelta) -> None:
    """Remove an attempt that was on the machine, or could have been started, and can't be now."""
    stop_gang_members(cluster, attempt, now)
    # The stop of other members may have released this one as well.
    if attempt.key in machine.attempts:
        cluster.release(attempt, now)


def stop_gang_members(cluster: ClusterState, attempt: Attempt, now: timedelta) -> None:
    """Stop what runs together with an attempt that is gone, if that belonged to a gang.

    The whole attempt of a gang ends before the next one begins.  Its other attempts are left alone:
    what an earlier one may have left on a machine, or what a record that was carried out late
    names, ends without those that run.
    """
    job = cluster.jobs.get(attempt.job_id)
    if job is None or not job.is_gang or job.over or job.complete:
        return
    members = [
        other
        for other in job.all_attempts()
        if other is not attempt and other.number == attempt.number
    ]
    if attempt.state is TaskState.SAVING or attempt.stop is not None:
        # An orderly stop: each task saves and exits by itself.
        members = [member for member in members if member.stop is None]
    for member in members:
        cluster.stop(member, ZERO, now)
