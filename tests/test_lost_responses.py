"""Only the answer of a request to the state service is lost; what it wrote is there at once.

The writer does not know that, and others read it (docs/fault-interactions.md).
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256
from typing import Any

import curio
import pytest

from micadeal.http.message import Request
from micadeal.wire.codec import decode
from tests.fakes import state as state_fake
from tests.fakes.world import CANCEL_S, COMING, SETTLED, World, leader_of


def writes(request: Request, kind: str) -> bool:
    """Whether a request changes a key of a kind, or for ``permit`` a lease."""
    if kind == "permit":
        return request.path.startswith("/leases") and request.method != "GET"
    if request.path != "/txn":
        return False
    changes = decode(dict, request.body)["then"]
    return any(c.get("put", c.get("drop", "")).startswith(kind) for c in changes)


def lose_half(
    world: World, kind: str, then: Callable[[str], None] = lambda writer: None
) -> list[str]:
    """Of the answers to what writes a key of the kind, every other one; who wrote them."""
    lost: list[str] = []
    turn = 0

    def answer_lost(source: str, address: str, request: Request) -> bool:
        nonlocal turn
        if address != state_fake.ADDRESS or not writes(request, kind):
            return False
        turn += 1
        if turn % 2:
            lost.append(source)
            then(source)
            return True
        return False

    world.network.answer_lost = answer_lost
    return lost


KINDS = [
    "job/", "part/", "end/", "placed/", "finished/", "images/", "leaving/", "seat/member/",
    "seat/held", "seat/level", "leader", "permit",
]  # fmt: skip


@pytest.mark.parametrize("ends", [False, True])
@pytest.mark.parametrize("kind", KINDS)
def test_answers_to_writes_of_each_kind_are_lost(
    monkeypatch: pytest.MonkeyPatch, kind: str, ends: bool
) -> None:
    """``ends``: and the writer, once in a while, before it has read back what became of it.  All
    that was accepted is served, nothing runs twice, and nobody is told anything that others take
    back."""

    async def story(world: World) -> None:
        to_end: list[int] = []
        lost: list[str] = []
        if kind == "seat/level":
            # It is raised once all have shown that they know it.
            lost = lose_half(world, kind, lambda writer: to_end.append(int(writer[1:])))
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        cancelled_by_dependency = await world.run_job("daemon", 4, crew="blue")
        await world.until(
            lambda: world.running(stays) == 3 and world.running(cancelled_by_dependency) == 4
        )
        await curio.sleep(SETTLED)
        if kind != "seat/level":
            lost = lose_half(world, kind, lambda writer: to_end.append(int(writer[1:])))
        if kind == "part/":
            world.state.txn_ops, world.state.value_bytes = 5, 2048
        jobs: list[str] = []
        for turn in range(4):
            # A long list that hardly compresses is written in parts.
            names = [sha256(str(n).encode()).hexdigest() for n in range(90)]
            fields: dict[str, Any] = {"rigs": ["box", *names]} if kind == "part/" else {}
            run_s = 3.0 + 5 * turn
            jobs.append(await world.run_job("array", 3, run_s=run_s, image_gb=0.5, **fields))
            leader = leader_of(world) if world.leader() is not None else turn % 3
            # A change of hands each time, by the hand of the story or right after a lost answer.
            number = to_end[0] if ends and to_end else leader
            to_end.clear()
            if ends or turn == 2:
                world.crash(number)
                await curio.sleep(0.7)
                await world.start(number)
            if kind == "leaving/" and turn == 1:
                # Out of the next leader's sight, many at once: they are returned.
                for worker in world.fleet.workers.values():
                    for node in range(3):
                        world.network.cut(worker.name, f"c{node}")
                leader = leader_of(world)
                world.crash(leader)
                await curio.sleep(25)
                await world.start(leader)
            await curio.sleep(5)
        assert await world.until_told(cancelled_by_dependency, limit=40) == "cancelled"
        await world.until(lambda: not world.held(cancelled_by_dependency), limit=CANCEL_S)
        for job in jobs:
            await world.until_done(job)
        assert lost, "no answer of the kind was lost"
        world.network.answer_lost = None
        await curio.sleep(12)
        for number in range(3):
            assert await world.status(cancelled_by_dependency, number) == "cancelled"
            assert {await world.status(job, number) for job in jobs} == {"done"}
        await world.until(lambda: world.running(stays) == 3)

    World(coming=COMING if kind == "part/" else "").play(monkeypatch, story)


def test_who_takes_the_seat_without_an_answer_leads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards work: else each lost answer costs an election, and leases may run out meanwhile."""

    async def story(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.until(lambda: world.running(stays) == 3)
        await curio.sleep(SETTLED)
        lost: list[str] = []

        def answer_lost(source: str, address: str, request: Request) -> bool:
            lost.extend([source] * (taken := writes(request, "seat/held")))
            return taken

        world.network.answer_lost = answer_lost
        for _ in range(3):
            gone = leader_of(world)
            term = world.term()
            world.crash(gone)
            await world.until(lambda term=term: world.term() not in (0, term), limit=5)  # type: ignore[misc]
            job = await world.run_job("array", 1, run_s=2.0, image_gb=0.1, crew="blue")
            await world.until_done(job, 12)
            await world.start(gone)
            await curio.sleep(2)
        assert len(lost) >= 3
        assert {world.starts[f"{stays}/{index}"] for index in range(3)} == {1}

    World().play(monkeypatch, story)


def test_a_repeat_of_settings_whose_answer_was_lost_is_no_conflict_with_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        await world.until(lambda: world.leader() is not None)
        lost = lose_half(world, "settings")
        assert (await world.call(0, "POST", "/settings", {"script": "# mine"}))[0] == 503
        assert (await world.call(1, "GET", "/settings"))[1]["script"] == "# mine"
        assert (await world.call(0, "POST", "/settings", {"script": "# mine"}))[0] == 200
        assert lost == ["c0"]

    World().play(monkeypatch, story)


def test_a_cancellation_whose_answer_is_lost_is_told_by_others_and_taken_back_by_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The writer knows nothing for two seconds, and everybody asks at once."""

    async def story(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.until(lambda: world.running(job) == 2)
        await curio.sleep(2)
        for number in range(3):
            job = await world.run_job("daemon", 1, crew="blue", image_gb=0.1)
            await world.until(lambda job=job: world.running(job) == 1)  # type: ignore[misc]
            await curio.sleep(2)
            lost = lose_half(world, "end/")
            cancelling = await curio.spawn(world.cancel, job, number)
            await curio.sleep(0.02)
            for _ in range(20):
                await world.look(job)
            assert lost == [f"c{number}"]
            await cancelling.join()
            assert await world.cancel(job, number) == "cancelled"
            await world.look(job)
            world.network.answer_lost = None

    World().play(monkeypatch, story)
