"""What reports prove about attempts, on the leader's picture alone."""

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
from tests.test_components import spec

WORKERS = Workers(seconds(2), seconds(14), seconds(50), seconds(6), seconds(34))
TOKEN = 7


def heartbeat(
    sequence: int, *tasks: TaskStatus, token: int = TOKEN, incarnation: int = 1
) -> Heartbeat:
    return Heartbeat("m", "10.1.0.1:9000", "box", "north", False, incarnation, sequence, token,
        None,
                  list(tasks))  # fmt: skip


def started() -> tuple[ClusterState, Job, Machine, Attempt]:
    """A task whose start was ordered in the answer to report 1."""
    cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(), ZERO, 1)
    cluster.add_job(job)
    machine = reconcile_heartbeat(cluster, heartbeat(1), seconds(1), is_heartbeat=True)
    assert machine is not None
    attempt = cluster.place(job, 0, cluster.next_number(), machine, seconds(1))
    assert commands_for(cluster, machine, full_authority=True) == []  # not written down yet
    cluster.written("placed/7/0", list(machine.attempts.values()), seconds(1))
    assert commands_for(cluster, machine, full_authority=False) == []
    commands = commands_for(cluster, machine, full_authority=True)
    assert [(o.verb, o.task) for o in commands] == [(CommandKind.START, "req-1/0")]
    return cluster, job, machine, attempt


def test_an_answer_to_a_command_does_not_disprove_a_start_on_its_way() -> None:
    """Guards ``ran_twice``: the worker may have answered before the start reached it."""
    cluster, job, _, attempt = started()
    cluster.stop(attempt, ZERO, seconds(2))
    reconcile_heartbeat(cluster, heartbeat(2), seconds(2), is_heartbeat=False)
    assert job.attempts == {0: [attempt]}
    reconcile_heartbeat(cluster, heartbeat(3), seconds(3), is_heartbeat=True)
    assert job.attempts == {} and job.next_waiting() == 0


def test_a_start_that_did_not_take_is_ordered_again() -> None:
    cluster, job, machine, attempt = started()
    reconcile_heartbeat(cluster, heartbeat(2), seconds(3), is_heartbeat=True)
    again = commands_for(cluster, machine, full_authority=True)
    assert [(o.verb, o.attempt) for o in again] == [(CommandKind.START, attempt.number)]
    assert job.attempts == {0: [attempt]}


def test_an_old_report_is_not_news() -> None:
    cluster, job, _, attempt = started()
    shown = TaskStatus("req-1/0", attempt.number, "running")
    reconcile_heartbeat(cluster, heartbeat(5, shown), seconds(4), is_heartbeat=True)
    assert reconcile_heartbeat(cluster, heartbeat(4), seconds(5), is_heartbeat=True) is None
    assert job.attempts == {0: [attempt]}


def test_a_result_is_forgotten_by_its_worker_only_once_it_is_recorded() -> None:
    """Guards finished work: reaped before the record is written, it would be lost in a crash."""
    cluster, job, machine, attempt = started()
    done = TaskStatus("req-1/0", attempt.number, "exited", "done")
    reconcile_heartbeat(cluster, heartbeat(2, done), seconds(9), is_heartbeat=True)
    assert job.complete and not machine.attempts
    assert commands_for(cluster, machine, full_authority=True) == []
    job.durable.add(0)
    commands = commands_for(cluster, machine, full_authority=True)
    assert [o.verb for o in commands] == [CommandKind.FORGET]


def test_a_silent_worker_keeps_its_tasks_until_its_lease_is_certainly_over() -> None:
    cluster, job, machine, attempt = started()
    shown = TaskStatus("req-1/0", attempt.number, "running")
    reconcile_heartbeat(cluster, heartbeat(2, shown), seconds(10), is_heartbeat=True)
    expire_leases(cluster, seconds(10) + WORKERS.lease)
    assert job.attempts and not machine.lost
    expire_leases(cluster, seconds(10) + WORKERS.lease + timedelta(seconds=2))
    assert not job.attempts and machine.lost


def test_a_worker_that_has_not_seen_our_token_may_be_kept_alive_by_another_leader() -> None:
    """Guards ``ran_twice``: we don't know who answers it, nor till when."""
    cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(), ZERO, 1)
    cluster.add_job(job)
    shown = TaskStatus("req-1/0", 3, "running")
    reconcile_heartbeat(cluster, heartbeat(1, shown, token=3), seconds(1), is_heartbeat=True)
    expire_leases(cluster, seconds(100))
    assert [a.number for a in job.attempts[0]] == [3]


def test_a_task_nobody_knows_of_stays_in_the_picture_until_it_is_gone() -> None:
    """Guards limits and the worker's lease: a report that was held by a cut shows a task of ours
    whose machine was taken to be silent past its lease, of a job that is over meanwhile."""
    cluster, job, machine, attempt = started()
    running = TaskStatus("req-1/0", attempt.number, "running")
    reconcile_heartbeat(cluster, heartbeat(2, running), seconds(3), is_heartbeat=True)
    expire_leases(cluster, seconds(40))
    assert machine.lost and not machine.attempts
    cluster.job_gone(job.id, seconds(41))
    assert job.id not in cluster.jobs
    reconcile_heartbeat(cluster, heartbeat(3, running), seconds(42), is_heartbeat=True)
    assert [a.number for a in machine.attempts.values()] == [attempt.number]
    assert [o.verb for o in stop_commands_for(cluster, machine)] == [CommandKind.STOP]
    reconcile_heartbeat(cluster, heartbeat(1, incarnation=2), seconds(44), is_heartbeat=True)
    assert not machine.attempts and job.id not in cluster.jobs


def test_what_an_earlier_attempt_of_a_gang_left_ends_without_the_one_that_runs() -> None:
    """Guards work: a placement that was carried out late, after its key had been used and dropped,
    names an attempt that never started.  The next leader takes it for one that may be there, and
    its machine is gone."""
    cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(shape=Shape.GANG, tasks=2), ZERO, 1)
    cluster.add_job(job)

    def placed(name: str, index: int, number: int) -> PlacedMachine:
        task = PlacedTask(job.id, index, number)
        return PlacedMachine(name, f"{name}:9000", "box", "north", False, 1, [task])

    runs = PlacedRecord([placed("m", 0, 6), placed("n", 1, 6)])
    load_placements(cluster, "placed/6/2", runs, ZERO)
    load_placements(cluster, "placed/6/1", PlacedRecord([placed("gone", 0, 5)]), ZERO)
    remove_machine(cluster, "gone", seconds(20))
    assert [(a.number, a.stop) for a in job.all_attempts()] == [(6, None), (6, None)]
    remove_machine(cluster, "n", seconds(21))
    assert [(a.number, a.stop) for a in job.all_attempts()] == [(6, ZERO)]
