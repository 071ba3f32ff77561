"""Reconciles the attempts on a machine with the tasks that its newest heartbeat shows."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Attempt, AttemptKey, ExitedTask, Machine, ReportedTask
from micadeal.jobs.model import Job
from micadeal.scheduling.attempts import lose_attempt, stop_gang_members
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.workers import Heartbeat, TaskState, TaskStatus

log = logging.getLogger(__name__)

#: A service task that has run for longer than this shows that its job is not at fault.
PROVEN_RUN_TIME = seconds(30)
#: Delay before a job is retried after an error; doubled with each further failure.
FIRST_RETRY_DELAY = seconds(2)
MAX_RETRY_DELAY = seconds(90)
MAX_RETRY_DOUBLINGS = 6
#: Up to this many failures on a single machine don't delay the job: the machine may be faulty.
MAX_UNDELAYED_FAILURES = 2

#: Causes of an exit, as workers report them.
CAUSE_DONE = "done"
CAUSE_ERROR = "error"
CAUSE_UNKNOWN = "unknown"

_STATES = {state.value: state for state in TaskState}


def reconcile_tasks(
    cluster: ClusterState,
    machine: Machine,
    heartbeat: Heartbeat,
    now: timedelta,
    is_heartbeat: bool,
) -> None:
    """Apply the tasks that a message shows, and remove attempts that it proves to be gone.

    ``is_heartbeat`` is False for an answer to a command, which proves less.
    """
    shown: set[AttemptKey] = set()
    exited: set[ReportedTask] = set()
    for task in heartbeat.tasks:
        try:
            job_id, index = _parse_task_id(task.task)
        except ValueError:
            log.warning("invalid task id in heartbeat: machine=%s task=%r", machine.name, task.task)
            continue
        key = (job_id, index, task.attempt)
        shown.add(key)
        if task.state == TaskState.EXITED.value:
            exited.add((task.task, task.attempt))
            _handle_exit(cluster, machine, key, task, now)
        else:
            state = _STATES.get(task.state, TaskState.RUNNING)
            _update_task_state(cluster, machine, key, state, now)
    for no_longer_reported in [task for task in machine.exited if task not in exited]:
        del machine.exited[no_longer_reported]
    for attempt in [a for key, a in machine.attempts.items() if key not in shown]:
        if _is_certainly_gone(cluster, attempt, machine, is_heartbeat):
            if attempt.state is None:
                cluster.remove_attempt(attempt, now)
            else:
                lose_attempt(cluster, machine, attempt, now)


def _parse_task_id(text: str) -> tuple[str, int]:
    """Split ``<job id>/<index>``; raise ``ValueError`` for any other form."""
    job_id, _, index = text.rpartition("/")
    if not job_id or not index.isdigit():
        raise ValueError(f"invalid task id: {text!r}")
    return job_id, int(index)


def _is_certainly_gone(
    cluster: ClusterState, attempt: Attempt, machine: Machine, is_heartbeat: bool
) -> bool:
    """Tell whether an attempt that the newest message does not show can't run any more."""
    if attempt.state is not None:
        # An earlier message showed it: it was killed with its incarnation, or forgotten.
        return True
    if not cluster.placed_by_this_leader(attempt):
        # Only a response of an earlier leader can start it.  The worker drops such responses once
        # it has seen this leader's token; until then a delayed heartbeat proves nothing.
        # Guards ``ran_twice``: with two leaders, one delayed heartbeat could make a task run twice.
        return machine.has_current_token
    if attempt.start_sent_in is None:
        return False
    if not is_heartbeat:
        # The worker may answer a command while the response with the start is in transit.
        return False
    # The worker has one heartbeat in flight at a time.  It sent a heartbeat newer than
    # ``start_sent_in`` after it had processed or given up on the response with the start, and that
    # heartbeat does not show the task.  An attempt that is not to be stopped stays: its start
    # command is sent again.
    latest = (machine.incarnation, machine.sequence)
    return attempt.stop_grace is not None and attempt.start_sent_in < latest


def _update_task_state(
    cluster: ClusterState,
    machine: Machine,
    key: AttemptKey,
    state: TaskState,
    now: timedelta,
) -> None:
    """Apply the state of a task that is on the machine and has not exited."""
    job_id, index, _ = key
    attempt = machine.attempts.get(key)
    unknown = attempt is None
    if attempt is None:
        attempt = Attempt(*key, machine.name, now)
        cluster.add_attempt(cluster.job_or_placeholder(job_id), machine, attempt)
    job = cluster.jobs[job_id]
    if state is not attempt.state:
        if state is TaskState.RUNNING and attempt.running_since is None:
            _record_running(machine, job, attempt, now)
        attempt.state = state
    if job.is_service and job.errors and _has_run_long_enough(attempt, now):
        # A service task never completes, so a long run clears the errors of faulty machines.
        # Otherwise a replica lost later would not be replaced while another one runs.
        job.errors.clear()
        job.retry_at = timedelta.min
    if not job.ended:
        machine.images[job.spec.image] = now
    if unknown and (job.ended or len(job.attempts[index]) > 1 or index in job.finished):
        # Must follow the update of its state: ``stop`` immediately removes an attempt without a
        # state, as one that was never started.
        cluster.stop(attempt, ZERO, now)


def _record_running(machine: Machine, job: Job, attempt: Attempt, now: timedelta) -> None:
    attempt.running_since = now
    machine.free_capacity = None
    log.debug(
        "task runs: job=%s task=%d class=%s machine=%s since_ready_s=%.1f since_placed_s=%.1f",
        job.id,
        attempt.index,
        job.spec.job_class,
        machine.name,
        (now - job.ready_at).total_seconds(),
        (now - attempt.placed_at).total_seconds(),
    )


def _has_run_long_enough(attempt: Attempt, now: timedelta) -> bool:
    return attempt.running_since is not None and now - attempt.running_since > PROVEN_RUN_TIME


def _handle_exit(
    cluster: ClusterState, machine: Machine, key: AttemptKey, task: TaskStatus, now: timedelta
) -> None:
    """Apply the exit of a task, which workers report until a command makes them forget it."""
    job_id, index, _ = key
    done = task.why == CAUSE_DONE
    reported = (task.task, task.attempt)
    already_reported = reported in machine.exited
    attempt = machine.attempts.get(key)
    machine.exited[reported] = ExitedTask(job_id, index, done)
    if already_reported and attempt is None:
        return
    job = cluster.jobs.get(job_id)
    if job is not None and not job.ended:
        if done:
            _collect_run_time(cluster, job, attempt, now)
            _finish_task(cluster, job, index, machine, now)
        else:
            _record_failure(job, machine, task, now)
    if attempt is not None:
        if not done:
            stop_gang_members(cluster, attempt, now)
        cluster.remove_attempt(attempt, now)


def _collect_run_time(
    cluster: ClusterState, job: Job, attempt: Attempt | None, now: timedelta
) -> None:
    """Collect the ratio of a completed task's run time to its estimate, if enabled."""
    since = None if attempt is None else attempt.running_since
    if cluster.completed_run_times is not None and since is not None and job.spec.estimate_s > 0:
        run_time_s = (now - since).total_seconds()
        cluster.completed_run_times.append((job.spec.job_class, run_time_s / job.spec.estimate_s))


def _finish_task(
    cluster: ClusterState, job: Job, index: int, machine: Machine, now: timedelta
) -> None:
    if job.is_service or index >= job.spec.tasks:
        return
    machine.errors.clear()
    job.errors.clear()
    job.retry_at = timedelta.min
    job.last_progress = now
    # The tasks of a gang complete together: if one is done, all are.
    indexes: Iterable[int] = range(job.spec.tasks) if job.is_gang else (index,)
    for finished in indexes:
        job.finish(finished)
    cluster.jobs_with_unwritten_results.add(job.id)
    cluster.changed = True


def _record_failure(job: Job, machine: Machine, task: TaskStatus, now: timedelta) -> None:
    """Count an error of a job on a machine, and delay its next attempt if the job is suspect."""
    cause = task.why or CAUSE_UNKNOWN
    if cause == CAUSE_ERROR:
        machine.errors.add(job.id)
        job.errors[machine.name] += 1
        # A job submitted with a mistake fails on every machine.  It stays below its share and would
        # take each slot that it frees again (design, "Consequences"), so it waits longer each time.
        failures = sum(job.errors.values())
        if len(job.errors) > 1 or failures > MAX_UNDELAYED_FAILURES:
            doublings = min(failures - MAX_UNDELAYED_FAILURES, MAX_RETRY_DOUBLINGS)
            job.retry_at = now + min(FIRST_RETRY_DELAY * 2**doublings, MAX_RETRY_DELAY)
    elif cause == CAUSE_UNKNOWN:
        job.retry_at = now + FIRST_RETRY_DELAY
