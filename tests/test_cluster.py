"""What reports prove about attempts, on the leader's picture alone."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.model import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.operator.platform import Workers
from micadeal.scheduling.cluster import Cluster
from micadeal.wire.state import PlacedMachine, PlacedRecord, PlacedTask
from micadeal.wire.users import Shape
from micadeal.wire.workers import Report, TaskReport, Verb
from tests.test_parts import spec

WORKERS = Workers(seconds(2), seconds(14), seconds(50), seconds(6), seconds(34))
TOKEN = 7


def report(sequence: int, *tasks: TaskReport, token: int = TOKEN, session: int = 1) -> Report:
    return Report("m", "10.1.0.1:9000", "box", "north", False, session, sequence, token, None,
                  list(tasks))  # fmt: skip


def started() -> tuple[Cluster, Job, Machine, Attempt]:
    """A task whose start was ordered in the answer to report 1."""
    cluster = Cluster(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(), ZERO, 1)
    cluster.add_job(job)
    machine = cluster.on_report(report(1), seconds(1), checkin=True)
    assert machine is not None
    attempt = cluster.place(job, 0, cluster.next_number(), machine, seconds(1))
    assert cluster.orders_for(machine, seconds(1), full=True) == []  # not written down yet
    cluster.written("placed/7/0", list(machine.attempts.values()), seconds(1))
    assert cluster.orders_for(machine, seconds(1), full=False) == []
    orders = cluster.orders_for(machine, seconds(1), full=True)
    assert [(o.verb, o.task) for o in orders] == [(Verb.START, "req-1/0")]
    return cluster, job, machine, attempt


def test_an_answer_to_a_command_does_not_disprove_a_start_on_its_way() -> None:
    """Guards ``ran_twice``: the worker may have answered before the start reached it."""
    cluster, job, _, attempt = started()
    cluster.stop(attempt, ZERO, seconds(2))
    cluster.on_report(report(2), seconds(2), checkin=False)
    assert job.attempts == {0: [attempt]}
    cluster.on_report(report(3), seconds(3), checkin=True)
    assert job.attempts == {} and job.next_waiting() == 0


def test_a_start_that_did_not_take_is_ordered_again() -> None:
    cluster, job, machine, attempt = started()
    cluster.on_report(report(2), seconds(3), checkin=True)
    again = cluster.orders_for(machine, seconds(3), full=True)
    assert [(o.verb, o.attempt) for o in again] == [(Verb.START, attempt.number)]
    assert job.attempts == {0: [attempt]}


def test_an_old_report_is_not_news() -> None:
    cluster, job, _, attempt = started()
    shown = TaskReport("req-1/0", attempt.number, "running")
    cluster.on_report(report(5, shown), seconds(4), checkin=True)
    assert cluster.on_report(report(4), seconds(5), checkin=True) is None
    assert job.attempts == {0: [attempt]}


def test_a_result_is_forgotten_by_its_worker_only_once_it_is_recorded() -> None:
    """Guards finished work: reaped before the record is written, it would be lost in a crash."""
    cluster, job, machine, attempt = started()
    done = TaskReport("req-1/0", attempt.number, "exited", "done")
    cluster.on_report(report(2, done), seconds(9), checkin=True)
    assert job.complete and not machine.attempts
    assert cluster.orders_for(machine, seconds(9), full=True) == []
    job.durable.add(0)
    orders = cluster.orders_for(machine, seconds(9), full=True)
    assert [o.verb for o in orders] == [Verb.FORGET]


def test_a_silent_worker_keeps_its_tasks_until_its_lease_is_certainly_over() -> None:
    cluster, job, machine, attempt = started()
    shown = TaskReport("req-1/0", attempt.number, "running")
    cluster.on_report(report(2, shown), seconds(10), checkin=True)
    cluster.expire(seconds(10) + WORKERS.lease)
    assert job.attempts and not machine.lost
    cluster.expire(seconds(10) + WORKERS.lease + timedelta(seconds=2))
    assert not job.attempts and machine.lost


def test_a_worker_that_has_not_seen_our_token_may_be_kept_alive_by_another_leader() -> None:
    """Guards ``ran_twice``: we don't know who answers it, nor till when."""
    cluster = Cluster(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(), ZERO, 1)
    cluster.add_job(job)
    shown = TaskReport("req-1/0", 3, "running")
    cluster.on_report(report(1, shown, token=3), seconds(1), checkin=True)
    cluster.expire(seconds(100))
    assert [a.number for a in job.attempts[0]] == [3]


def test_a_task_nobody_knows_of_stays_in_the_picture_until_it_is_gone() -> None:
    """Guards limits and the worker's lease: a report that was held by a cut shows a task of ours
    whose machine was taken to be silent past its lease, of a job that is over meanwhile."""
    cluster, job, machine, attempt = started()
    running = TaskReport("req-1/0", attempt.number, "running")
    cluster.on_report(report(2, running), seconds(3), checkin=True)
    cluster.expire(seconds(40))
    assert machine.lost and not machine.attempts
    cluster.job_gone(job.id, seconds(41))
    assert job.id not in cluster.jobs
    cluster.on_report(report(3, running), seconds(42), checkin=True)
    assert [a.number for a in machine.attempts.values()] == [attempt.number]
    assert [o.verb for o in cluster.stops_for(machine)] == [Verb.STOP]
    cluster.on_report(report(1, session=2), seconds(44), checkin=True)
    assert not machine.attempts and job.id not in cluster.jobs


def test_what_an_earlier_attempt_of_a_gang_left_ends_without_the_one_that_runs() -> None:
    """Guards work: a placement that was carried out late, after its key had been used and dropped,
    names an attempt that never started.  The next leader takes it for one that may be there, and
    its machine is gone."""
    cluster = Cluster(TOKEN, WORKERS, {}, ZERO)
    job = Job(spec(shape=Shape.GANG, tasks=2), ZERO, 1)
    cluster.add_job(job)

    def placed(name: str, index: int, number: int) -> PlacedMachine:
        task = PlacedTask(job.id, index, number)
        return PlacedMachine(name, f"{name}:9000", "box", "north", False, 1, [task])

    runs = PlacedRecord([placed("m", 0, 6), placed("n", 1, 6)])
    cluster.load_placed("placed/6/2", runs, ZERO)
    cluster.load_placed("placed/6/1", PlacedRecord([placed("gone", 0, 5)]), ZERO)
    cluster.machine_gone("gone", seconds(20))
    assert [(a.number, a.stop) for a in job.all_attempts()] == [(6, None), (6, None)]
    cluster.machine_gone("n", seconds(21))
    assert [(a.number, a.stop) for a in job.all_attempts()] == [(6, ZERO)]
