"""Reasons why a job is pending, as text lines for users and operators.

The texts are part of the interface: they are served over HTTP and compared by scripts.
"""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from micadeal.fleet.machines import Attempt
from micadeal.jobs.model import Job
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.scheduler import Scheduler
from micadeal.wire.workers import TaskState

if TYPE_CHECKING:
    # Imported at run time only if timing is enabled: other deployments run without it.
    from micadeal.timing.shift import Hold

#: Maximum number of dependencies that are named for one job.
MAX_NAMED_JOBS = 5


class Reason(NamedTuple):
    """One reason, and the number of tasks that it applies to; 0: the job as a whole."""

    text: str
    tasks: int = 0


def job_reasons(scheduler: Scheduler, job: Job, now: timedelta) -> list[Reason]:
    """Return why tasks of the job are pending or starting, the most important reasons first."""
    reasons = _dependency_reasons(scheduler.cluster, job)
    if job.rank_inherited_from is not None:
        reasons.append(Reason(f"it has the priority of {job.rank_inherited_from}, which needs it"))
    if job.blocked:
        return reasons
    hold = scheduler.deferral.active_hold(job, now) if scheduler.deferral is not None else None
    if hold is not None:
        return [*reasons, *_deferral_reasons(hold)]
    reasons += [Reason(text, tasks) for text, tasks in job.reasons.most_common()]
    reasons += _reservation_reasons(scheduler, job)
    reasons += _error_reasons(job, now)
    reasons += _starting_reasons(job)
    if job.waiting_count():
        reasons += _refusal_reasons(scheduler, now)
    return reasons


def _deferral_reasons(hold: Hold) -> list[Reason]:
    until = hold.until.strftime("%Y-%m-%d %H:%M UTC")
    latest = hold.latest.strftime("%H:%M UTC")
    return [
        Reason(f"held for a better hour until {until}, to save {hold.saving:.0%}"),
        Reason(f"starts sooner if its window fills up or its price is lost; by {latest} anyway"),
    ]


def _reservation_reasons(scheduler: Scheduler, job: Job) -> list[Reason]:
    reservation = scheduler.reservations.by_job.get(job.id)
    if reservation is None:
        return []
    zone_text = f" in {reservation.zone}" if reservation.zone else ""
    count = len(reservation.machines)
    return [Reason(f"{count} machines{zone_text} are kept for it as they come free")]


def _error_reasons(job: Job, now: timedelta) -> list[Reason]:
    if not job.errors:
        return []
    text = f"it failed {sum(job.errors.values())} times on {len(job.errors)} machines"
    if job.suspected_faulty:
        text += ", most likely by its own mistake"
    if job.retry_at > now:
        text += f"; next try in {(job.retry_at - now).total_seconds():.0f} s"
    return [Reason(text)]


def _starting_reasons(job: Job) -> list[Reason]:
    starting = Counter(
        text for attempt in job.all_attempts() if (text := _starting_text(attempt)) is not None
    )
    return [Reason(text, tasks) for text, tasks in starting.most_common()]


def _starting_text(attempt: Attempt) -> str | None:
    """Return the state of an attempt that is starting or being stopped, or None."""
    if attempt.stop_grace is not None:
        return "is being stopped"
    match attempt.state:
        case None:
            return "placed; its machine has not confirmed the start yet"
        case TaskState.FETCHING:
            return "its machine fetches the image"
        case TaskState.WAITING:
            return "waits for the other tasks of the gang to have their image"
        case _:
            return None


def _refusal_reasons(scheduler: Scheduler, now: timedelta) -> list[Reason]:
    paused = scheduler.instance_offers.backing_off(now)
    if not paused:
        return []
    offers = ", ".join(
        f"{offer.machine_type} {'spot' if offer.spot else 'ordinary'} in {offer.zone}"
        for offer in sorted(paused, key=lambda o: (o.machine_type, o.zone, o.spot))
    )
    return [Reason(f"the cloud refused lately: {offers}")]


# -- dependencies ------------------------------------------------------------------------------


class _DependencyReason(NamedTuple):
    """Why a job waits for one of its dependencies; sorted by the fields in this order."""

    #: 0: running, 1: pending, 2: over.
    state_rank: int
    job_id: str
    text: str


def _dependency_reasons(cluster: ClusterState, job: Job) -> list[Reason]:
    """Return the dependencies that a job waits for: some by name, the others as a count."""
    if job.cancelled_by_dependency:
        return [Reason("a job that it needs is cancelled, and it is being cancelled with it")]
    dependencies = sorted(
        _dependency_reason(cluster, name) for name in job.unfinished_prerequisites
    )
    reasons = [Reason(dependency.text) for dependency in dependencies[:MAX_NAMED_JOBS]]
    unnamed = len(dependencies) - MAX_NAMED_JOBS
    if unnamed > 0:
        reasons.append(Reason(f"waits for {unnamed} more jobs"))
    return reasons


def _dependency_reason(cluster: ClusterState, job_id: str) -> _DependencyReason:
    dependency = cluster.jobs.get(job_id)
    if dependency is None or dependency.ended:
        text = f"waits for {job_id}, whose end is being looked up"
        return _DependencyReason(2, job_id, text)
    running = dependency.running_count()
    if running:
        state = f"running {running} of {dependency.spec.tasks}"
    elif dependency.blocked:
        state = "which waits for others itself"
    else:
        state = "of which nothing runs yet"
    if dependency.finished:
        state += f", {len(dependency.finished)} done"
    return _DependencyReason(0 if running else 1, job_id, f"waits for {job_id}, {state}")
