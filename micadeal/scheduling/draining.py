"""Drains machines with a reclaim notice from the cloud."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Attempt
from micadeal.jobs.model import Job
from micadeal.scheduling.cluster_state import ClusterState, grace_to_save


def drain_reclaimed_machines(cluster: ClusterState, now: timedelta) -> None:
    """Stop tasks on machines with a reclaim notice while there is time to save.

    A task that can neither save nor end in time is stopped immediately: its work is lost in any
    case, and this way it starts elsewhere sooner.
    """
    for machine in list(cluster.machines.values()):
        if machine.reclaim_expected_at is None:
            continue
        remaining = machine.reclaim_expected_at - now
        for attempt in list(machine.attempts.values()):
            job = cluster.jobs[attempt.job_id]
            if attempt.stop_grace is not None or job.ended:
                continue
            if job.can_save and remaining >= job.save_time:
                if job.is_gang:
                    cluster.stop_job(job, now, save=True)
                else:
                    cluster.stop(attempt, grace_to_save(job), now)
            elif not job.is_gang and not _ends_within(job, attempt, remaining, now):
                cluster.stop(attempt, ZERO, now)


def _ends_within(job: Job, attempt: Attempt, remaining: timedelta, now: timedelta) -> bool:
    """Return whether a task is likely to complete in the remaining time, by its estimate."""
    if attempt.running_since is None or job.is_service:
        return False
    return attempt.running_since + seconds(job.spec.estimate_s) <= now + remaining
