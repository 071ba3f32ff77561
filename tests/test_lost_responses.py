"""The state service applies a write immediately, but its answer is lost.

The writer does not know the outcome, while others read what it wrote (docs/fault-interactions.md).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
import pytest

from micadeal.http.message import Request
from micadeal.wire.codec import decode
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import (
    ANNOUNCED_STATE_LIMITS,
    CANCEL_S,
    FOLLOWERS_RENEW_AFTER_S,
)
from tests.fakes.submissions import STORED_IN_PARTS
from tests.fakes.world import World, leader_of

#: Prefixes of keys, and ``permit`` for requests on leases.
KINDS = [
    "job/", "part/", "end/", "placed/", "finished/", "images/", "leaving/", "seat/member/",
    "seat/held", "seat/level", "leader", "permit",
]  # fmt: skip


def writes(request: Request, kind: str) -> bool:
    """Return whether a request changes a key of a kind; for ``permit``, a lease."""
    if kind == "permit":
        return request.path.startswith("/leases") and request.method != "GET"
    if request.path != "/txn":
        return False
    changes = decode(dict, request.body)["then"]
    return any(change.get("put", change.get("drop", "")).startswith(kind) for change in changes)


def lose_every_other_answer(
    world: World, kind: str, on_loss: Callable[[str], None] = lambda writer: None
) -> list[str]:
    """Lose every other answer to writes of a kind; return the list to which writers are added."""
    lost: list[str] = []
    writes_seen = 0

    def answer_lost(source: str, address: str, request: Request) -> bool:
        nonlocal writes_seen
        if address != state_fake.ADDRESS or not writes(request, kind):
            return False
        writes_seen += 1
        if writes_seen % 2:
            lost.append(source)
            on_loss(source)
            return True
        return False

    world.network.answer_lost = answer_lost
    return lost


async def run_job_stored_in_parts(world: World, kind: str, run_s: float) -> str:
    """Submit a short job; for ``part/``, one whose description is stored in parts."""
    fields: dict[str, Any] = STORED_IN_PARTS if kind == "part/" else {}
    return await world.run_job("array", 3, run_s=run_s, image_gb=0.5, **fields)


async def restart(world: World, controller: int, after_s: float) -> None:
    world.crash(controller)
    await curio.sleep(after_s)
    await world.start(controller)


async def fail_over_while_all_workers_are_cut_off(world: World) -> None:
    """Make all machines unreachable during a failover, so that the next leader returns them."""
    for worker in world.fleet.workers.values():
        for controller in range(3):
            world.network.cut(worker.name, f"c{controller}")
    await restart(world, leader_of(world), after_s=25)


async def run_jobs_through_failovers(
    world: World, kind: str, crash_writer: bool, writers: list[int]
) -> list[str]:
    """Run four jobs with failovers; ``writers`` collects the controllers whose answers are lost."""
    jobs: list[str] = []
    for turn in range(4):
        jobs.append(await run_job_stored_in_parts(world, kind, run_s=3.0 + 5 * turn))
        leader = leader_of(world) if world.leader() is not None else turn % 3
        # The leader crashes, or the writer right after an answer to it was lost.
        controller = writers[0] if crash_writer and writers else leader
        writers.clear()
        if crash_writer or turn == 2:
            await restart(world, controller, after_s=0.7)
        if kind == "leaving/" and turn == 1:
            await fail_over_while_all_workers_are_cut_off(world)
        await curio.sleep(5)
    return jobs


@pytest.mark.parametrize("crash_writer", [False, True])
@pytest.mark.parametrize("kind", KINDS)
def test_jobs_are_served_while_answers_to_writes_of_each_kind_are_lost(
    monkeypatch: pytest.MonkeyPatch, kind: str, crash_writer: bool
) -> None:
    """All accepted jobs are served, no task runs twice, and no controller revokes an answer.

    ``crash_writer``: sometimes the writer crashes before it has read back the outcome of its write.
    """

    async def scenario(world: World) -> None:
        writers: list[int] = []
        lost: list[str] = []

        def on_loss(writer: str) -> None:
            writers.append(int(writer[1:]))

        if kind == "seat/level":
            # The level is raised once all controllers have shown that they know it.
            lost = lose_every_other_answer(world, kind, on_loss)
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        cancelled = await world.run_job("daemon", 4, crew="blue")
        await world.wait_until(
            lambda: world.running(service) == 3 and world.running(cancelled) == 4
        )
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        if kind != "seat/level":
            lost = lose_every_other_answer(world, kind, on_loss)
        if kind == "part/":
            world.state.txn_ops, world.state.value_bytes = 5, 2048
        jobs = await run_jobs_through_failovers(world, kind, crash_writer, writers)
        assert await world.cancel_until_confirmed(cancelled, limit=40) == "cancelled"
        await world.wait_until(lambda: not world.tasks_on_machines(cancelled), limit=CANCEL_S)
        for job in jobs:
            await world.wait_until_done(job)
        assert lost, "no answer of the kind was lost"
        world.network.answer_lost = None
        await curio.sleep(12)
        for controller in range(3):
            assert await world.status(cancelled, controller) == "cancelled"
            assert {await world.status(job, controller) for job in jobs} == {"done"}
        await world.wait_until(lambda: world.running(service) == 3)

    World(announced_limits=ANNOUNCED_STATE_LIMITS if kind == "part/" else "").play(
        monkeypatch, scenario
    )


def test_controller_that_takes_the_leader_lock_without_an_answer_leads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards running tasks: otherwise each lost answer costs an election and leases may expire."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        lost: list[str] = []

        def answer_lost(source: str, address: str, request: Request) -> bool:
            takes_lock = writes(request, "seat/held")
            lost.extend([source] * takes_lock)
            return takes_lock

        world.network.answer_lost = answer_lost
        for _ in range(3):
            crashed = leader_of(world)
            term = world.term()
            world.crash(crashed)
            await world.wait_until(lambda term=term: world.term() not in (0, term), limit=5)  # type: ignore[misc]
            job = await world.run_job("array", 1, run_s=2.0, image_gb=0.1, crew="blue")
            await world.wait_until_done(job, 12)
            await world.start(crashed)
            await curio.sleep(2)
        assert len(lost) >= 3
        assert {world.rules.starts[f"{service}/{index}"] for index in range(3)} == {1}

    World().play(monkeypatch, scenario)


def test_repeated_settings_whose_answer_was_lost_do_not_conflict_with_themselves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        lost = lose_every_other_answer(world, "settings")
        assert (await world.call(0, "POST", "/settings", {"script": "# mine"}))[0] == 503
        assert (await world.call(1, "GET", "/settings"))[1]["script"] == "# mine"
        assert (await world.call(0, "POST", "/settings", {"script": "# mine"}))[0] == 200
        assert lost == ["c0"]

    World().play(monkeypatch, scenario)


def test_cancellation_whose_answer_was_lost_is_answered_by_others_and_never_revoked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The writer does not know the outcome for two seconds, while all controllers are queried."""

    async def scenario(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.wait_until(lambda: world.running(job) == 2)
        await curio.sleep(2)
        for controller in range(3):
            job = await world.run_job("daemon", 1, crew="blue", image_gb=0.1)
            await world.wait_until(lambda job=job: world.running(job) == 1)  # type: ignore[misc]
            await curio.sleep(2)
            lost = lose_every_other_answer(world, "end/")
            cancelling = await curio.spawn(world.cancel, job, controller)
            await curio.sleep(0.02)
            for _ in range(20):
                await world.query_all_controllers(job)
            assert lost == [f"c{controller}"]
            await cancelling.join()
            assert await world.cancel(job, controller) == "cancelled"
            await world.query_all_controllers(job)
            world.network.answer_lost = None

    World().play(monkeypatch, scenario)
