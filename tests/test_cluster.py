"""Effects of heartbeats, lease expiry and lost machines on attempts in the cluster state."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.operator.platform import Workers
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.machine_loss import expire_leases, remove_machine
from micadeal.scheduling.reconciliation import reconcile_heartbeat
from micadeal.scheduling.takeover import load_placements
from micadeal.scheduling.worker_commands import commands_for, stop_commands_for
from micadeal.wire.state import PlacedMachine, PlacedRecord, PlacedTask
from micadeal.wire.users import Shape
from micadeal.wire.workers import CommandKind, Heartbeat, TaskStatus
from tests.fakes.submissions import spec

WORKERS = Workers(seconds(2), seconds(14), seconds(50), seconds(6), seconds(34))
TOKEN = 7


def heartbeat(
    sequence: int, *tasks: TaskStatus, token: int = TOKEN, incarnation: int = 1
) -> Heartbeat:
    return Heartbeat(
        machine="m",
        address="10.1.0.1:9000",
        machine_type="box",
        zone="north",
        spot=False,
        incarnation=incarnation,
        sequence=sequence,
        token=token,
        tasks=list(tasks),
    )


def cluster_with_start_command() -> tuple[ClusterState, Job, Machine, Attempt]:
    """Return a cluster with a task whose start command was sent in the response to heartbeat 1."""
    cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(), ZERO, 1)
    cluster.add_job(job)
    machine = reconcile_heartbeat(cluster, heartbeat(1), seconds(1), is_heartbeat=True)
    assert machine is not None
    attempt = cluster.place(job, 0, cluster.next_number(), machine, seconds(1))
    assert commands_for(cluster, machine, full_authority=True) == []  # not recorded yet
    cluster.placements_written("placed/7/0", list(machine.attempts.values()), seconds(1))
    assert commands_for(cluster, machine, full_authority=False) == []
    commands = commands_for(cluster, machine, full_authority=True)
    assert [(command.verb, command.task) for command in commands] == [
        (CommandKind.START, "req-1/0")
    ]
    return cluster, job, machine, attempt


def test_command_answer_does_not_disprove_a_start_in_flight() -> None:
    """Guards ``ran_twice``: the worker may have answered before the start command reached it."""
    cluster, job, _, attempt = cluster_with_start_command()
    cluster.stop(attempt, ZERO, seconds(2))
    reconcile_heartbeat(cluster, heartbeat(2), seconds(2), is_heartbeat=False)
    assert job.attempts == {0: [attempt]}
    reconcile_heartbeat(cluster, heartbeat(3), seconds(3), is_heartbeat=True)
    assert job.attempts == {} and job.next_waiting() == 0


def test_start_command_without_effect_is_sent_again() -> None:
    cluster, job, machine, attempt = cluster_with_start_command()
    reconcile_heartbeat(cluster, heartbeat(2), seconds(3), is_heartbeat=True)
    again = commands_for(cluster, machine, full_authority=True)
    assert [(command.verb, command.attempt) for command in again] == [
        (CommandKind.START, attempt.number)
    ]
    assert job.attempts == {0: [attempt]}


def test_older_heartbeat_is_ignored() -> None:
    cluster, job, _, attempt = cluster_with_start_command()
    running = TaskStatus("req-1/0", attempt.number, "running")
    reconcile_heartbeat(cluster, heartbeat(5, running), seconds(4), is_heartbeat=True)
    assert reconcile_heartbeat(cluster, heartbeat(4), seconds(5), is_heartbeat=True) is None
    assert job.attempts == {0: [attempt]}


def test_completed_task_is_forgotten_only_after_it_is_recorded() -> None:
    """Guards finished work: the leader may crash before it has recorded that the task is done."""
    cluster, job, machine, attempt = cluster_with_start_command()
    done = TaskStatus("req-1/0", attempt.number, "exited", "done")
    reconcile_heartbeat(cluster, heartbeat(2, done), seconds(9), is_heartbeat=True)
    assert job.complete and not machine.attempts
    assert commands_for(cluster, machine, full_authority=True) == []
    job.recorded_finished.add(0)
    commands = commands_for(cluster, machine, full_authority=True)
    assert [command.verb for command in commands] == [CommandKind.FORGET]


def test_silent_worker_keeps_its_tasks_until_its_lease_has_expired() -> None:
    cluster, job, machine, attempt = cluster_with_start_command()
    running = TaskStatus("req-1/0", attempt.number, "running")
    reconcile_heartbeat(cluster, heartbeat(2, running), seconds(10), is_heartbeat=True)
    expire_leases(cluster, seconds(10) + WORKERS.lease)
    assert job.attempts and not machine.lease_expired
    expire_leases(cluster, seconds(10) + WORKERS.lease + timedelta(seconds=2))
    assert not job.attempts and machine.lease_expired


def test_lease_does_not_expire_before_the_worker_has_shown_the_leaders_token() -> None:
    """Guards ``ran_twice``: until then, another leader may still renew the worker's lease."""
    cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(), ZERO, 1)
    cluster.add_job(job)
    running = TaskStatus("req-1/0", 3, "running")
    reconcile_heartbeat(cluster, heartbeat(1, running, token=3), seconds(1), is_heartbeat=True)
    expire_leases(cluster, seconds(100))
    assert [attempt.number for attempt in job.attempts[0]] == [3]


def test_unknown_reported_task_counts_until_it_is_gone() -> None:
    """Guards limits and the worker's lease.

    A partition delays a heartbeat until the machine's lease has expired and a job has ended.  The
    heartbeat then shows a running task of that job.
    """
    cluster, job, machine, attempt = cluster_with_start_command()
    running = TaskStatus("req-1/0", attempt.number, "running")
    reconcile_heartbeat(cluster, heartbeat(2, running), seconds(3), is_heartbeat=True)
    expire_leases(cluster, seconds(40))
    assert machine.lease_expired and not machine.attempts
    cluster.job_record_removed(job.id, seconds(41))
    assert job.id not in cluster.jobs
    reconcile_heartbeat(cluster, heartbeat(3, running), seconds(42), is_heartbeat=True)
    assert [attempt.number for attempt in machine.attempts.values()] == [attempt.number]
    assert [command.verb for command in stop_commands_for(cluster, machine)] == [CommandKind.STOP]
    reconcile_heartbeat(cluster, heartbeat(1, incarnation=2), seconds(44), is_heartbeat=True)
    assert not machine.attempts and job.id not in cluster.jobs


def test_loss_of_an_earlier_gang_attempt_leaves_the_running_one_alone() -> None:
    """Guards running gangs.

    A delayed write stores a placement again after its key was used and deleted.  The placement
    names an attempt that never started.  The next leader has to assume that this attempt may be
    running.  Then the machine of this attempt is removed.
    """
    cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(shape=Shape.GANG, tasks=2), ZERO, 1)
    cluster.add_job(job)

    def placed(name: str, index: int, number: int) -> PlacedMachine:
        task = PlacedTask(job.id, index, number)
        return PlacedMachine(name, f"{name}:9000", "box", "north", False, 1, [task])

    current = PlacedRecord([placed("m", 0, 6), placed("n", 1, 6)])
    load_placements(cluster, "placed/6/2", current, ZERO)
    load_placements(cluster, "placed/6/1", PlacedRecord([placed("gone", 0, 5)]), ZERO)
    remove_machine(cluster, "gone", seconds(20))
    assert [(attempt.number, attempt.stop_grace) for attempt in job.all_attempts()] == [
        (6, None),
        (6, None),
    ]
    remove_machine(cluster, "n", seconds(21))
    assert [(attempt.number, attempt.stop_grace) for attempt in job.all_attempts()] == [(6, ZERO)]
