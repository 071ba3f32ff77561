"""Counts jobs, tasks and machines for the other controllers, the overview and the log."""

from __future__ import annotations

import logging
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from micadeal.clock import seconds
from micadeal.fleet.machines import Machine
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.peers import Counts

if TYPE_CHECKING:
    # Imported at run time only if deferral is switched on; other deployments start without it.
    from micadeal.scheduling.deferral import Deferral

log = logging.getLogger(__name__)

#: Maximum number of jobs named in one message to the other controllers.
MAX_JOBS_PER_MESSAGE = 2000
#: A new leader logs when it has received heartbeats of these shares of the machines in use.
HEARTBEAT_SHARES = (0.5, 0.65, 0.9)
#: Time between two log lines on machines and tasks.
STATUS_INTERVAL = seconds(15)


def job_counts(cluster: ClusterState, limit: int) -> list[Counts]:
    """Return how many tasks of each job are done and running, for jobs that have any."""
    result: list[Counts] = []
    for job in cluster.live_jobs():
        running = job.running_count()
        if running or job.finished:
            result.append(Counts(job.id, len(job.finished), running))
            if len(result) >= limit:
                break
    return result


def fully_started_jobs(cluster: ClusterState, limit: int) -> list[str]:
    """Return the jobs whose unfinished tasks all run, so that none can still start."""
    return [
        job.id
        for job in cluster.jobs.values()
        if job.attempts and not job.waiting_count() and not job.may_start
    ][:limit]


def job_state_counts(
    cluster: ClusterState, deferral: Deferral | None, now: timedelta
) -> Counter[str]:
    """Return the number of jobs in each state, by the names that the overview shows."""
    states: Counter[str] = Counter()
    for job in cluster.live_jobs():
        if job.blocked:
            states["blocked"] += 1
        elif deferral is not None and deferral.active_hold(job, now) is not None:
            states["held"] += 1
        elif job.running_count():
            states["running"] += 1
        elif job.attempts:
            states["starting"] += 1
        else:
            states["waiting"] += 1
    return states


class StatusLog:
    """Logs machines and tasks, and how soon a new leader receives the first heartbeats."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._logged_at: timedelta | None = None
        #: Shares of ``HEARTBEAT_SHARES`` that have not been reached yet.
        self._pending_shares = list(HEARTBEAT_SHARES)

    def tick(self, now: timedelta) -> None:
        """Log the lines that are due."""
        if self._pending_shares:
            self._log_first_heartbeats(now)
        if self._logged_at is None or now - self._logged_at >= STATUS_INTERVAL:
            self._logged_at = now
            for spot in (True, False):
                self._log_machines(spot)
            waiting = sum(job.waiting_count() for job in self._cluster.live_jobs())
            log.info("pending tasks: tasks=%d", waiting)

    def _log_first_heartbeats(self, now: timedelta) -> None:
        """Log how soon after the failover machines sent heartbeats; until then they get no work."""
        machines = self._cluster.machines.values()
        known = [machine for machine in machines if machine.attempts or machine.up]
        reporting = sum(1 for machine in known if machine.last_heartbeat_at is not None)
        while self._pending_shares and known and reporting >= self._pending_shares[0] * len(known):
            share = self._pending_shares.pop(0)
            log.info(
                "machines heard of: percent=%.0f machines=%d seconds=%.1f",
                share * 100,
                len(known),
                (now - self._cluster.term_start).total_seconds(),
            )

    def _log_machines(self, spot: bool) -> None:
        machines = [m for m in self._cluster.machines.values() if m.spot is spot]
        up = [machine for machine in machines if machine.up and not machine.lease_expired]
        running = sum(map(_running_tasks, up))
        log.info(
            "machines: spot=%s up=%d empty=%d booting=%d running_tasks=%d starting_tasks=%d",
            spot,
            len(up),
            sum(1 for machine in up if not machine.attempts),
            sum(1 for machine in machines if not machine.up),
            running,
            sum(len(machine.attempts) for machine in up) - running,
        )


def _running_tasks(machine: Machine) -> int:
    return sum(1 for attempt in machine.attempts.values() if attempt.running_since is not None)
