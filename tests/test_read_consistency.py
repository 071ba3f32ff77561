"""No answer is older than one that was given to an earlier request (docs/fault-interactions.md).

``World`` checks the order of all answers; here requests overlap with changes of the job.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
import pytest

from micadeal.http.message import Request
from micadeal.wire.codec import decode
from tests.fakes import state as state_fake
from tests.fakes.network import SILENT
from tests.fakes.world import World, leader_of

#: Delay of the state service's answers to one controller, in seconds.
ANSWER_DELAY_S = 0.5


def reads_job_record(request: Request) -> bool:
    """Return whether a request reads a job's record or compares its version with the known one."""
    if request.path == "/txn":
        return not decode(dict, request.body)["then"]
    return request.path.startswith("/keys/job/")


def delay_state_service_answers(
    world: World, number: int, is_delayed: Callable[[Request], bool]
) -> None:
    """Delay the state service's answers to some requests of one controller."""

    def delay_answer(source: str, address: str, request: Request) -> float:
        to_controller = source == f"c{number}" and address == state_fake.ADDRESS
        return ANSWER_DELAY_S if to_controller and is_delayed(request) else 0.0

    world.network.answer_delay = delay_answer


@pytest.mark.parametrize("version_known", [False, True])
@pytest.mark.parametrize("request_kind", ["status", "submission"])
def test_status_read_before_a_cancellation_and_answered_after_it_is_cancelled(
    monkeypatch: pytest.MonkeyPatch, request_kind: str, version_known: bool
) -> None:
    """The controller has been notified of the cancellation by the time it answers.

    ``version_known``: it has read the job's record before and compares its version.
    """

    async def scenario(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.wait_until(lambda: world.running(job) == 2)
        await curio.sleep(2)
        leader = leader_of(world)
        number, other = (leader + 1) % 3, (leader + 2) % 3
        if version_known:
            assert await world.status(job, number) == "running"
        delay_state_service_answers(
            world, number, lambda request: request.path == "/txn" or reads_job_record(request)
        )
        send_request = world.status if request_kind == "status" else world.submit_once
        pending_request = await curio.spawn(send_request, job, number)
        await curio.sleep(ANSWER_DELAY_S / 2)
        assert await world.cancel(job, other) == "cancelled"
        assert not pending_request.terminated
        assert await pending_request.join() in ("cancelled", 200)
        assert world.answers.stale_answers == []
        assert world.answers.latest[job] == "cancelled"

    World().play(monkeypatch, scenario)


def test_submission_answered_after_its_cancellation_is_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a late 201 that says that a cancelled job is pending.

    The answer to the first submission's transaction is slow.  Meanwhile the user submits the job at
    another controller and cancels it immediately.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(3)
        leader = leader_of(world)
        number, other = (leader + 1) % 3, (leader + 2) % 3
        delay_state_service_answers(world, number, lambda request: request.path == "/txn")
        job = world.job("daemon", 1)
        pending_submission = await curio.spawn(world.submit_once, job, number)
        await curio.sleep(ANSWER_DELAY_S / 5)
        assert await world.submit_once(job, other) == 200
        while await world.cancel(job, other) is None:
            await curio.sleep(0.05)
        assert not pending_submission.terminated
        assert await pending_submission.join() == 200
        assert world.answers.stale_answers == []

    World().play(monkeypatch, scenario)


@pytest.mark.parametrize("by_leader", [True, False])
def test_status_polls_around_the_end_of_the_last_task_are_consistent(
    monkeypatch: pytest.MonkeyPatch, by_leader: bool
) -> None:
    """The leader knows of the end that it wrote, while a follower may not.

    After another controller has answered "done", a follower may still give an older status, but
    only to a request that was sent before that answer.  The status is at most as old as the
    follower's read.
    """

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=6.0, image_gb=0.1)
        await world.wait_until(lambda: world.running(job) == 1)
        await curio.sleep(5)
        leader = leader_of(world)
        number, other = (leader, (leader + 1) % 3) if by_leader else ((leader + 1) % 3, leader)
        delay_state_service_answers(world, number, reads_job_record)
        polls = 0
        while world.answers.latest.get(job) != "done":
            # Each request is sent at another time around the end, so that requests to both overlap.
            await curio.spawn(world.status, job, number, daemon=True)
            await world.status(job, other)
            await curio.sleep(0.02)
            polls += 1
        await curio.sleep(2 * ANSWER_DELAY_S + 0.1)
        assert polls > 3
        assert await world.status(job, number) == "done"
        if by_leader:
            assert world.answers.stale_answers == []
        assert all(delay_s <= ANSWER_DELAY_S + 0.05 for _, delay_s in world.answers.stale_answers)

    World().play(monkeypatch, scenario)


def test_all_controllers_answer_consistently_right_after_every_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All are queried within milliseconds after a job is accepted, ends or is confirmed cancelled.

    Some jobs are cancelled immediately, some as their last task ends.
    """

    async def scenario(world: World) -> None:
        await curio.sleep(4)
        for turn in range(12):
            # The submission is sent to each controller in turn.
            number = turn % 3
            job = world.job("array", 1, run_s=1.0, image_gb=0.1, crew="blue")
            assert await world.submit_once(job, number) == 201
            for _ in range(3):
                await world.query_all_controllers(job)
            if turn % 3 == 1:
                while await world.cancel(job, (number + 1) % 3) is None:
                    await world.query_all_controllers(job)
            else:
                await world.wait_until(lambda job=job: world.all_tasks_done(job))  # type: ignore[misc]
                if turn % 3 == 2:
                    await curio.sleep(turn / 100)
                    while await world.cancel(job, (number + 2) % 3) is None:
                        await world.query_all_controllers(job)
            while world.answers.latest[job] not in ("done", "cancelled"):
                await world.query_all_controllers(job)
            for _ in range(3):
                await world.query_all_controllers(job)
        assert world.answers.count > 12 * 36
        assert {"done", "cancelled"} <= set(world.answers.latest.values())

    World().play(monkeypatch, scenario)


def test_repeated_submission_too_large_for_the_state_service_is_still_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``forgotten``: a known job is looked up before its size is checked."""

    async def scenario(world: World) -> None:
        large: dict[str, Any] = {"rigs": ["box", *(f"{n:0>200}" for n in range(60))]}
        job = await world.run_job("daemon", 1)
        for number in range(3):
            assert await world.submit_once(job, number, **large) == 200
        while await world.cancel(job, 1) is None:
            await curio.sleep(0.2)
        for number in range(3):
            assert await world.submit_once(job, number, **large) == 200
            unknown = world.job("daemon", 1)
            assert await world.submit_once(unknown, number, **large) == 400
            assert await world.status(unknown, number) is None

    World().play(monkeypatch, scenario)


def test_cancellation_is_not_confirmed_while_a_task_may_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The leader crashes while machines that receive no stop command fetch the images.

    The cancellation is confirmed once the next leader knows that no task can start.
    """

    async def scenario(world: World) -> None:
        await curio.sleep(4)
        job = await world.run_job("array", 2, run_s=90.0, image_gb=12.0)
        await world.wait_until(lambda: any(w.tasks for w in world.fleet.workers.values()))
        leader = leader_of(world)
        machines = [w.name for w in world.fleet.workers.values() if w.tasks]
        for name in machines:
            for number in range(3):
                world.network.cut(name, f"c{number}", SILENT)
        world.crash(leader)
        other = (leader + 1) % 3
        assert await world.cancel(job, other) is None
        assert world.state.keys[f"end/{job}"][0]["status"] == "cancelled"
        starts, confirmed = world.rules.starts.total(), None
        for _ in range(60):
            confirmed = confirmed or await world.cancel(job, other)
            await curio.sleep(1)
        assert confirmed == "cancelled"
        assert starts == 0 and not world.tasks_on_machines(job)

    World().play(monkeypatch, scenario)
