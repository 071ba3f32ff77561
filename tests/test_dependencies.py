"""Dependencies between jobs: no job starts too early, and cancellations reach all dependents."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from micadeal.clock import monotonic, seconds, utc_now
from micadeal.http.message import Answer, Request, error
from micadeal.jobs.dependencies import JobEnd
from micadeal.jobs.model import Job
from micadeal.operator.platform import Team
from micadeal.operator.policy import Policy, TeamPolicy
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.pending_reasons import CAPACITY_FREES_SOON
from micadeal.wire.state import EndRecord
from micadeal.wire.users import Priority, Shape, Status
from micadeal.wire.workers import TaskState
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS
from tests.fakes.random_clusters import WORKERS, RandomDeployment
from tests.fakes.submissions import spec
from tests.fakes.world import World
from tests.test_lost_responses import writes

SMALL: dict[str, Any] = {"image_gb": 0.1, "accelerators": 0.0, "run_s": 5.0}


def test_dependent_jobs_run_in_order_and_count_as_blocked_until_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        first = await world.run_job("array", 3, **SMALL)
        middle = await world.run_job("gang", 2, one_zone=True, waits_on=[first, first], **SMALL)
        last = await world.run_job("array", 2, waits_on=[first, middle], rank="high", **SMALL)
        independent = await world.run_job("array", 1, waits_on=None, crew="blue", **SMALL)
        with_empty_list = await world.run_job("array", 1, waits_on=[], crew="blue", **SMALL)
        await curio.sleep(3)
        status, why = await world.call(1, "GET", f"/why/{last}")
        reasons = [line["reason"] for line in why["reasons"]]
        assert status == 200 and any(first in line for line in reasons)
        _, why = await world.call(1, "GET", f"/why/{first}")
        expected_reason = f"it has the priority of {last}, which needs it"
        assert expected_reason in [line["reason"] for line in why["reasons"]]
        _, overview = await world.call(2, "GET", "/overview")
        assert overview["jobs"]["blocked"] == 2
        for job in (first, middle, last, independent, with_empty_list):
            await world.wait_until_done(job)

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


@pytest.mark.parametrize("crashes", [1, 3])
def test_new_leader_blocks_jobs_whose_prerequisites_are_not_known_done(
    monkeypatch: pytest.MonkeyPatch, crashes: int
) -> None:
    """Guards ``too_early`` across leader changes at every stage of a chain of jobs."""

    async def scenario(world: World) -> None:
        jobs = [await world.run_job("array", 2, **SMALL)]
        for _ in range(3):
            jobs.append(await world.run_job("array", 2, waits_on=[jobs[-1]], **SMALL))
        for job in jobs[:-1]:
            await world.wait_until(lambda job=job: world.running(job) > 0)  # type: ignore[misc]
            leader = world.leader()
            assert leader is not None
            crashed = [(leader + n) % 3 for n in range(crashes)]
            for number in crashed:
                world.crash(number)
            await curio.sleep(4)
            for number in crashed:
                await world.start(number)
        for job in jobs:
            await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_unreadable_end_blocks_dependents(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards ``too_early``: an unreadable or missing record in a chain does not prove an end.

    A cancellation further down the chain still cascades.
    """

    async def scenario(world: World) -> None:
        first = await world.run_job("array", 1, **SMALL)
        second = await world.run_job("array", 1, waits_on=[first], **SMALL)
        third = await world.run_job("array", 1, waits_on=[second], **SMALL)
        world.rules.unreadable_jobs.add(first)
        for number in range(3):
            world.crash(number)
        del world.state.keys[f"job/{first}"]
        world.state.keys[f"end/{first}"] = ({"status": 7}, world.state.revision, None)
        for number in range(3):
            await world.start(number)
        await curio.sleep(25)
        assert not world.rules.starts
        assert await world.cancel(second, 1) == "cancelled"
        await curio.sleep(3)
        assert await world.status(third, 2) == "cancelled"

    World().play(monkeypatch, scenario)


def test_cancellation_cascades_to_all_dependents(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cover a wide and deep graph with the smallest transactions; prerequisites keep running."""

    async def scenario(world: World) -> None:
        world.state.txn_ops, world.state.value_bytes = 5, 2048
        first = await world.run_job("array", 1, run_s=30.0, image_gb=0.1)
        middle = await world.run_job("array", 1, waits_on=[first], **SMALL)
        chain = [middle]
        for _ in range(8):
            chain.append(await world.run_job("array", 1, waits_on=[chain[-1]], **SMALL))
        wide = [
            await world.run_job("array", 1, waits_on=[middle, first], **SMALL) for _ in range(20)
        ]
        assert await world.cancel(middle, 1) == "cancelled"
        late = await world.run_job("array", 1, waits_on=[chain[3]], **SMALL)
        await curio.sleep(12)
        for number, job in enumerate([*chain, *wide, late]):
            assert await world.status(job, number % 3) == "cancelled", job
        await world.wait_until_done(first)

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


def test_job_whose_end_is_refused_by_the_state_service_is_not_answered_as_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled`` and ``went_back`` if the end of a new job can't be stored.

    The new job depends on a cancelled one, so its end is stored instead of the job.  When the state
    service refused that end as too large, the job was split into parts and stored as live.  It ran
    after its user was answered 201 "cancelled".
    """

    async def scenario(world: World) -> None:
        first = await world.run_job("array", 1, run_s=30.0)
        assert await world.cancel_until_confirmed(first) == "cancelled"

        async def refuse_ends(request: Request) -> Answer:
            if writes(request, "end/"):
                return error(400, "too large")
            return await world.state.handle(request)

        world.network.serve(state_fake.HOST, state_fake.ADDRESS, refuse_ends)
        job = world.job("array", 1, waits_on=[first], run_s=30.0)
        for number in range(3):
            assert await world.submit_once(job, number) == 400
            assert await world.status(job, number) is None
        assert f"job/{job}" not in world.state.keys
        world.network.serve(state_fake.HOST, state_fake.ADDRESS, world.state.handle)
        assert await world.submit_once(job, 0) == 201
        assert await world.status(job, 1) == "cancelled"

    World().play(monkeypatch, scenario)


@pytest.mark.parametrize("crash_after_s", [0.0, 0.02, 0.05, 0.1, 0.3])
def test_interrupted_cascade_continues_under_the_next_leader(
    monkeypatch: pytest.MonkeyPatch, crash_after_s: float
) -> None:
    """Guards ``orphaned``: all controllers may crash between any two transactions of a cascade."""

    async def scenario(world: World) -> None:
        first = await world.run_job("array", 1, run_s=300.0, image_gb=0.1)
        chain = [first]
        for _ in range(12):
            chain.append(await world.run_job("array", 1, waits_on=[chain[-1]], **SMALL))
        assert await world.cancel(first, 1) == "cancelled"
        await curio.sleep(crash_after_s)
        for number in range(3):
            world.crash(number)
        ended = sum(f"end/{job}" in world.state.keys for job in chain)
        assert ended < len(chain) or crash_after_s > 0.2
        await curio.sleep(8)
        for number in range(3):
            await world.start(number)
        await curio.sleep(8)
        for number, job in enumerate(chain):
            assert await world.status(job, number % 3) == "cancelled", job

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


def test_status_poll_finds_a_cancelled_ancestor_without_a_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``orphaned``: no controller answers "pending" for dependents of a cancelled job.

    This also holds if there is no leader for longer than ``cancel_s``, or if an outage begins right
    after the cancellation.
    """

    async def scenario(world: World) -> None:
        first = await world.run_job("array", 1, run_s=300.0, image_gb=0.1)
        second = await world.run_job("array", 1, waits_on=[first], **SMALL)
        third = await world.run_job("array", 1, waits_on=[second], **SMALL)
        leader = world.leader()
        assert leader is not None
        other = (leader + 1) % 3
        # All controllers must know that its task runs.  Otherwise none can rule out a later start.
        await world.wait_until(lambda: world.running(first) == 1)
        await curio.sleep(3)
        world.crash(leader)
        # From here on, no controller can be elected.
        for key in ("leader", "seat/held"):
            world.state.keys[key] = ({"controller": "c9", "lease": 1}, 10**6, None)
        assert await world.cancel(first, other) == "cancelled"
        await curio.sleep(40)
        late = world.fleet.jobs[world.job("array", 1, waits_on=[third], **SMALL)].spec
        status, reply = await world.call(other, "POST", "/work", late)
        assert (status, reply["status"]) == (201, "cancelled")
        assert await world.status(third, other) == "cancelled"
        assert await world.status(second, other) == "cancelled"

    World().play(monkeypatch, scenario)


def test_submission_racing_with_a_cancellation_ends_in_the_right_status(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``orphaned``: a job is submitted while its prerequisite is being cancelled or ends."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        world.state.cancel_delay = 0.5
        for tenths in range(8):
            first = await world.run_job("array", 1, run_s=100.0, image_gb=0.1)
            dependent = world.job("array", 1, waits_on=[first], **SMALL)
            cancelling = await curio.spawn(world.cancel, first, 1)
            await curio.sleep(tenths / 10)
            await world.submit(dependent)
            assert await cancelling.join() == "cancelled"
            await curio.sleep(3)
            assert await world.status(dependent, tenths % 3) == "cancelled"
        for tenths in range(8):
            first = await world.run_job("array", 1, run_s=2.0, image_gb=0.1)
            await world.wait_until(lambda first=first: world.running(first) == 1)  # type: ignore[misc]
            await curio.sleep(1.5 + tenths / 5)
            dependent = world.job("array", 1, waits_on=[first], **SMALL)
            cancelling = await curio.spawn(world.cancel, first, 1)
            await world.submit(dependent)
            final = await cancelling.join()
            await curio.sleep(3)
            if final == "cancelled":
                assert await world.status(dependent) == "cancelled"
            else:
                await world.wait_until_done(dependent)

    World().play(monkeypatch, scenario)


def test_invalid_prerequisites_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        done = await world.run_job("array", 1, **SMALL)
        service = await world.run_job("daemon", 1, crew="blue")
        await world.wait_until_done(done)

        async def status_of_submission(waits_on: Any, **fields: Any) -> int:
            spec = world.fleet.jobs[world.job(waits_on=waits_on, **fields)].spec
            if isinstance(waits_on, list) and "self" in waits_on:
                spec["waits_on"] = [spec["name_id"]]
            return (await world.call(0, "POST", "/work", spec))[0]

        malformed: tuple[Any, ...] = (
            "req-000001", 7, {"a": 1}, [7], ["job-1"], [[]], ["req-1" + "0" * 40],
        )  # fmt: skip
        for bad in malformed:
            assert await status_of_submission(bad) == 400, bad
        assert await status_of_submission([f"req-{n}" for n in range(5000)]) == 400
        for impossible in (["req-999999"], [done, "req-999999"], [service], ["self"]):
            assert await status_of_submission(impossible) == 422, impossible
        assert await status_of_submission([done] * 30) == 201
        # A cycle would need a job that depends on a job submitted later.
        first, second = world.job(), world.job()
        spec = {**world.fleet.jobs[first].spec, "waits_on": [second]}
        assert (await world.call(0, "POST", "/work", spec))[0] == 422
        # A repeated submission is answered with the job's status, whatever its prerequisites.
        known = {**world.fleet.jobs[done].spec, "waits_on": ["req-999999"]}
        status, reply = await world.call(1, "POST", "/work", known)
        assert (status, reply["status"]) == (200, "done")
        world.state.outage = True
        assert await status_of_submission(["req-999998"]) == 503

    World().play(monkeypatch, scenario)


def _job(number: int, *prerequisites: int, submitted: float = 0.0, **fields: Any) -> Job:
    prerequisite_ids = [f"req-{n}" for n in prerequisites]
    return Job(
        spec(job_id=f"req-{number}", prerequisites=prerequisite_ids, **fields),
        seconds(submitted),
        number,
    )


def _cluster(*jobs: Job) -> ClusterState:
    cluster = ClusterState(7, WORKERS, {}, seconds(0))
    for job in jobs:
        cluster.add_job(job)
    return cluster


@pytest.mark.parametrize("order", [(0, 1, 2, 3), (3, 2, 1, 0), (2, 0, 3, 1)])
def test_priority_and_deadline_propagate_upwards_in_any_order_of_arrival(
    order: tuple[int, ...],
) -> None:
    """Guards priorities after a leader change, and if the last job of a chain is submitted late."""
    jobs = [
        _job(1, priority=Priority.LOW, estimate_s=10.0),
        _job(2, 1, priority=Priority.STANDARD, estimate_s=20.0),
        _job(3, 1, priority=Priority.LOW, estimate_s=40.0),
        _job(4, 2, 3, priority=Priority.HIGH, estimate_s=5.0, deadline_s=200.0, submitted=30.0),
    ]
    cluster = _cluster(*(jobs[n] for n in order))
    assert [job.rank for job in jobs] == [1, 1, 1, 1]
    assert [job.rank_inherited_from for job in jobs] == ["req-4", "req-4", "req-4", None]
    latest = [job.latest.total_seconds() if job.latest else None for job in jobs]
    assert latest == [185.0, 225.0, 225.0, 230.0]
    # Both became ready after their latest start: the earlier latest start goes first.
    jobs[1].ready_at = jobs[2].ready_at = seconds(210)
    assert sorted(jobs[1:3], key=lambda job: job.order) == [jobs[2], jobs[1]]
    # Without the last job, the others have their own priorities again, and no deadline.
    cluster.job_record_removed("req-4", seconds(50))
    assert [job.rank for job in jobs[:3]] == [2, 2, 3]
    assert jobs[2].latest is None


def test_waiting_time_counts_from_the_recorded_end_of_the_last_prerequisite() -> None:
    """Guards waiting times and job order after a leader change: both follow from stored records."""
    first, second = _job(1), _job(2)
    third = _job(3, 1, 2, submitted=-100.0)
    cluster = _cluster(third, first, second)
    now = monotonic()
    now_utc = utc_now().timestamp()
    assert third.blocked and third.waiting_count() == 0 and third.next_waiting() is None
    cluster.job_ended("req-2", EndRecord(Status.DONE, 1, now_utc - 20.0), now)
    assert third.blocked
    cluster.job_ended("req-1", EndRecord(Status.DONE, 1, now_utc - 50.0), now)
    assert not third.blocked and third.waiting_count() == third.spec.tasks
    assert abs((now - third.ready_at).total_seconds() - 20.0) < 0.5
    # The next leader never knew these jobs: it reads their ends and gets the same result.
    third_after_failover = _job(3, 1, 2, submitted=-100.0)
    next_cluster = _cluster(third_after_failover)
    assert sorted(next_cluster.dependencies.ends_to_read(now)) == ["req-1", "req-2"]
    for name, age in (("req-1", 50.0), ("req-2", 20.0)):
        next_cluster.job_ended(name, EndRecord(Status.DONE, 1, now_utc - age), now)
    assert not third_after_failover.blocked
    assert abs((now - third_after_failover.ready_at).total_seconds() - 20.0) < 0.5
    assert next_cluster.dependencies.ends_to_read(now) == []


def test_records_with_circular_dependencies_do_no_harm() -> None:
    """Guards against damaged records: submissions can't form a cycle, but damaged records could."""
    one, two = _job(1, 2, deadline_s=50.0, estimate_s=3.0), _job(2, 1, estimate_s=3.0)
    cluster = _cluster(one, two)
    assert one.blocked and two.blocked
    cluster.dependencies.record_end("req-2", JobEnd(False, seconds(1)))
    assert set(cluster.dependencies.cancelled_by_dependency) == {"req-1", "req-2"}


def test_blocked_job_has_no_demand_and_is_not_a_running_job() -> None:
    deployment = RandomDeployment(6, 0, 4, teams=1)
    team = deployment.teams[0]
    fields: dict[str, Any] = {
        "shape": Shape.ARRAY, "team": team, "gpus": 0.0, "cpus": 4.0, "spot_allowed": True,
        "priority": Priority.LOW, "tasks": 3, "one_zone": False, "spread": False,
    }  # fmt: skip
    deployment.scheduler.policy = Policy(teams={team: TeamPolicy(running_jobs=1)})
    blocked = deployment.submit(
        **fields | {"priority": Priority.HIGH, "prerequisites": ["req-999"]}
    )
    other = deployment.submit(**fields)
    deployment.scheduler.run_cycle(deployment.now)
    assert len(other.attempts) == 3 and not blocked.attempts
    assert deployment.scheduler.plan.teams["cpus"][team].demand == 12.0
    deployment.cluster.job_ended("req-999", EndRecord(Status.DONE, 1, 0.0), deployment.now)
    deployment.scheduler.run_cycle(deployment.now)
    assert len(blocked.attempts) == 3


def test_short_tasks_wait_for_capacity_that_frees_up_before_a_machine_boots() -> None:
    """Guards against renting machines for tasks of a few seconds: accelerators would stay idle."""
    deployment = RandomDeployment(2, 0, 4, teams=1)
    deployment.cluster.teams["team-0"] = Team("team-0")
    fields: dict[str, Any] = {
        "shape": Shape.ARRAY, "team": "team-0", "gpus": 0.0, "cpus": 4.0, "spot_allowed": True,
        "memory_gb": 4.0, "priority": Priority.LOW, "one_zone": False, "spread": False,
        "estimate_s": 20.0,
    }  # fmt: skip
    deployment.scheduler.listed = True
    running = deployment.submit(**fields, tasks=4)
    deployment.scheduler.run_cycle(deployment.now)
    for attempt in running.all_attempts():
        attempt.state = TaskState.RUNNING
    few, many = deployment.submit(**fields, tasks=3), deployment.submit(**fields, tasks=30)
    deployment.scheduler.run_cycle(deployment.now)
    assert few.reasons == {CAPACITY_FREES_SOON: 3}
    assert CAPACITY_FREES_SOON not in many.reasons and deployment.scheduler.pending_rental_requests
