"""Answers to operators' questions: why a job is pending, and an overview of the deployment.

The texts are part of the interface: they are served over HTTP and compared by scripts.
"""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import Machine
from micadeal.jobs.model import Job
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.job_reasons import job_reasons
from micadeal.scheduling.scale_in import ReturnReason
from micadeal.scheduling.scheduler import Scheduler
from micadeal.sharing.shares import resource_amount
from micadeal.wire.peers import MachineLine, Overview, StuckJob, TeamLine, WhyAnswer, WhyLine

#: A job without started tasks is stuck after waiting this long.
STUCK_AFTER = seconds(60)
#: A job with more failed tasks than this is stuck as well.
STUCK_FAILURES = 2
#: Number of stuck jobs listed, and of machines named in one note.
MAX_STUCK_JOBS = 20
MAX_NAMED_MACHINES = 5
#: A machine is shown as unresponsive after this many heartbeat intervals without a heartbeat.
UNRESPONSIVE_AFTER_INTERVALS = 3


def why(scheduler: Scheduler, job_id: str, now: timedelta) -> WhyAnswer | None:
    """Return why tasks of a job are pending; None if the leader has no live job of this id."""
    job = scheduler.cluster.jobs.get(job_id)
    if job is None or job.ended:
        return None
    running = job.running_count()
    return WhyAnswer(
        job_id,
        "running" if running else "pending",
        job.spec.team,
        len(job.finished),
        running,
        len(job.attempts) - running,
        job.unassigned_count(),
        max((now - job.submitted_at).total_seconds(), 0.0),
        [WhyLine(reason.text, reason.tasks) for reason in job_reasons(scheduler, job, now)],
    )


def overview(scheduler: Scheduler, leader: str, now: timedelta, state_reachable: bool) -> Overview:
    """Return an overview of the deployment.

    ``leader``: name of this controller; ``state_reachable``: whether it reaches the state service.
    """
    cluster = scheduler.cluster
    stuck = _stuck_jobs(scheduler, now)
    stuck_lines = [_stuck_line(scheduler, entry, now) for entry in stuck[:MAX_STUCK_JOBS]]
    return Overview(
        leader,
        cluster.token,
        (now - cluster.term_start).total_seconds(),
        state_reachable,
        _team_lines(scheduler),
        dict(scheduler.state_counts(now)),
        stuck_lines,
        _machine_lines(cluster, now),
        _notes(scheduler, now),
        len(stuck),
    )


# -- teams -------------------------------------------------------------------------------------


def _team_lines(scheduler: Scheduler) -> list[TeamLine]:
    """Return a line for each team and resource in use, as of the last cycle."""
    cluster = scheduler.cluster
    usage = cluster.usage()
    lines: list[TeamLine] = []
    for resource, states in scheduler.plan.teams.items():
        for name, state in states.items():
            jobs = [
                job
                for job in cluster.live_jobs()
                if job.spec.team == name and job.resource == resource and not job.blocked
            ]
            used = resource_amount(usage[name], resource)
            if not jobs and not state.guarantee and not used:
                continue
            running = sum(1 for job in jobs if job.attempts)
            lines.append(
                TeamLine(
                    name,
                    resource,
                    used,
                    state.guarantee,
                    cluster.teams[name].limit(resource) or 0.0,
                    state.share,
                    state.demand,
                    len(jobs) - running,
                    running,
                )
            )
    return lines


# -- stuck jobs --------------------------------------------------------------------------------


class _StuckEntry(NamedTuple):
    waited: timedelta
    job: Job


def _stuck_jobs(scheduler: Scheduler, now: timedelta) -> list[_StuckEntry]:
    """Return all stuck jobs, sorted by waiting time, longest first."""
    stuck: list[_StuckEntry] = []
    for job in scheduler.cluster.live_jobs():
        waited = now - max(job.ready_at, job.last_progress)
        fails_often = sum(job.errors.values()) > STUCK_FAILURES
        if not fails_often and (waited < STUCK_AFTER or job.attempts or not job.waiting_count()):
            continue
        # A deferred job is pending on purpose; ``why`` states until when.
        if scheduler.deferral is None or scheduler.deferral.active_hold(job, now) is None:
            stuck.append(_StuckEntry(waited, job))
    stuck.sort(key=lambda entry: (-entry.waited, entry.job.id))
    return stuck


def _stuck_line(scheduler: Scheduler, entry: _StuckEntry, now: timedelta) -> StuckJob:
    job = entry.job
    reasons = job_reasons(scheduler, job, now)
    text = reasons[0].text if reasons else "not looked at yet"
    return StuckJob(job.id, job.spec.team, job.spec.job_class, entry.waited.total_seconds(), text)


# -- machines ----------------------------------------------------------------------------------


def _machine_lines(cluster: ClusterState, now: timedelta) -> list[MachineLine]:
    """Return a line for each offer with existing machines."""
    groups: dict[tuple[str, str, bool], list[Machine]] = {}
    for machine in cluster.machines.values():
        groups.setdefault((machine.machine_type, machine.zone, machine.spot), []).append(machine)
    lines: list[MachineLine] = []
    for (machine_type, zone, spot), machines in sorted(groups.items()):
        line = MachineLine(machine_type, zone, spot, 0, 0, 0, 0, 0.0, 0.0)
        for machine in machines:
            _count_machine(line, machine, cluster, now)
        lines.append(line)
    return lines


def _count_machine(
    line: MachineLine, machine: Machine, cluster: ClusterState, now: timedelta
) -> None:
    if not machine.up:
        line.booting += 1
        return
    timeout = cluster.workers.heartbeat_interval * UNRESPONSIVE_AFTER_INTERVALS
    if machine.draining or machine.reclaim_expected_at is not None:
        line.draining += 1
    elif machine.last_heartbeat_at is None or now - machine.last_heartbeat_at > timeout:
        line.unresponsive += 1
    else:
        line.up += 1
    if (kind := cluster.types.get(machine.machine_type)) is not None:
        line.gpus += kind.gpus
    for attempt in machine.attempts.values():
        line.gpus_used += cluster.jobs[attempt.job_id].spec.gpus


# -- notes -------------------------------------------------------------------------------------


def _notes(scheduler: Scheduler, now: timedelta) -> list[str]:
    """Return notes on what needs an operator's attention, in alphabetical order."""
    notes = [_refusal_note(offer) for offer in scheduler.instance_offers.backing_off(now)]
    names_by_note: dict[str, list[str]] = {}
    for machine in scheduler.cluster.machines.values():
        note = _machine_note(machine, scheduler.cluster, now)
        if note is not None:
            names_by_note.setdefault(note, []).append(machine.name)
    notes += [f"{note}: {_abbreviate(names)}" for note, names in names_by_note.items()]
    return sorted(notes)


def _refusal_note(offer: InstanceOffer) -> str:
    kind = "spot" if offer.spot else "ordinary"
    return f"the cloud refused {offer.machine_type} ({kind}) in {offer.zone} lately"


def _machine_note(machine: Machine, cluster: ClusterState, now: timedelta) -> str | None:
    """Return the first note that applies to a machine, or None."""
    if machine.draining == ReturnReason.FAULTY:
        return "failed tasks of several jobs and are being emptied"
    if machine.reclaim_expected_at is not None:
        return "about to be taken by the cloud"
    if machine.reachability.receives_no_responses:
        return "report, but don't hear us, and get nothing new"
    kind = cluster.types.get(machine.machine_type)
    if machine.up or kind is None:
        return None
    if cluster.boot_times.is_late(machine, seconds(kind.boot_s), now):
        return "boot for much longer than others did"
    return None


def _abbreviate(names: list[str]) -> str:
    """Return some names and the count of the rest: the cloud may reclaim dozens of machines."""
    listed = ", ".join(sorted(names)[:MAX_NAMED_MACHINES])
    unnamed = len(names) - MAX_NAMED_MACHINES
    return f"{listed} and {unnamed} more" if unnamed > 0 else listed
