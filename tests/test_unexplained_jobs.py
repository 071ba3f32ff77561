"""Answers to ``GET /why/{id}`` if there is nothing to explain, or if the job's state is not known.

Guards against wrong answers about a job that the leader can't explain.  For an unknown job, the
leader answered 404, but followers answered 503.  The leader had answered their ``POST /why`` with
200 and an empty body, which they could not decode:

    question to the leader failed: controller=c0 path=/why reason=c0: Input data was truncated

A leader that had not read its records yet, or whose watch lagged behind, had nothing to explain
either.  Users then received 404 for a job that they had submitted.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.http.message import Answer, Request
from micadeal.wire.codec import decode, encode
from micadeal.wire.peers import CancellationNotice, WhyAnswer
from tests.fakes.network import Handler
from tests.fakes.world import CONTROLLERS, World, leader_of

UNKNOWN = "/why/req-999999"
ALL = range(CONTROLLERS)


def _peer_address(number: int) -> str:
    return f"10.0.0.{number + 1}:8081"


def _replace_peer_handler(
    world: World, number: int, replacement: Callable[[Handler, Request], Awaitable[Answer]]
) -> None:
    """Let ``replacement`` answer requests of a controller's peers; it receives the old handler."""
    host, handler = world.network._servers[_peer_address(number)]

    async def replaced(request: Request) -> Answer:
        return await replacement(handler, request)

    world.network.serve(host, _peer_address(number), replaced)


async def _answers_with_an_empty_body(handler: Handler, request: Request) -> Answer:
    """Answer as earlier versions do: with an empty body if there is nothing to explain."""
    reply = await handler(request)
    is_nil = request.path == "/why" and reply.status == 200 and reply.body == encode(None)
    return Answer(200) if is_nil else reply


async def _ask_leader_as_peer(world: World, job_id: str) -> Answer:
    _, handler = world.network._servers[_peer_address(leader_of(world))]
    return await handler(Request("POST", "/why", "", encode(CancellationNotice(job_id))))


def _delay_watch_of_jobs(world: World) -> None:
    """Delay the leader's watch of jobs by four seconds."""
    world.network.answer_delay = lambda _source, _address, request: (
        4.0 if request.path == "/changes" and "starts=job/" in request.query else 0.0
    )


async def _ask_each(world: World, path: str) -> list[int]:
    return [(await world.call(number, "GET", path))[0] for number in ALL]


@pytest.mark.parametrize("job_id", ["", "req-", "req-1x", "nonsense", "req-1%20", "req-1%2F2"])
def test_malformed_id_is_400_at_every_controller(
    monkeypatch: pytest.MonkeyPatch, job_id: str
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        assert await _ask_each(world, f"/why/{job_id}") == [400] * CONTROLLERS

    World().play(monkeypatch, scenario)


def test_ended_job_is_404_at_every_controller(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        done = await world.run_job(legs=1, run_s=1.0)
        await world.wait_until_done(done)
        cancelled = await world.run_job(legs=1, run_s=100.0)
        await world.cancel_until_confirmed(cancelled)
        for job in (done, cancelled):
            assert await _ask_each(world, f"/why/{job}") == [404] * CONTROLLERS

    World().play(monkeypatch, scenario)


def test_leader_answers_nil_for_an_unknown_job_which_earlier_versions_decode(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A follower of an earlier version can answer 404, the right status."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        reply = await _ask_leader_as_peer(world, "req-999999")
        assert (reply.status, reply.body) == (200, b"\xc0")
        earlier_type: Any = WhyAnswer | None
        assert decode(earlier_type, reply.body) is None

    World().play(monkeypatch, scenario)


def test_empty_body_of_an_earlier_leader_is_503_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        leader = leader_of(world)
        _replace_peer_handler(world, leader, _answers_with_an_empty_body)
        job = await world.run_job(legs=40, run_s=100.0)
        await curio.sleep(1)
        for number in ALL:
            expected = 404 if number == leader else 503
            assert (await world.call(number, "GET", UNKNOWN))[0] == expected
            assert (await world.call(number, "GET", f"/why/{job}"))[0] == 200
        assert f"question to the leader failed: controller=c{leader} path=/why reason=" in (
            caplog.text
        )

    with caplog.at_level(logging.WARNING):
        World().play(monkeypatch, scenario)


def test_accepted_job_is_never_404_before_the_leader_has_read_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ask about a job right after its submission, while the leader's watch lags by seconds."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        _delay_watch_of_jobs(world)
        job = await world.run_job(legs=40, run_s=100.0)
        assert await _ask_each(world, f"/why/{job}") == [503] * CONTROLLERS
        world.network.answer_delay = None
        await curio.sleep(10)
        assert await _ask_each(world, f"/why/{job}") == [200] * CONTROLLERS

    World().play(monkeypatch, scenario)


def test_leader_answers_503_to_followers_of_all_versions_about_a_job_it_has_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An earlier follower turns nil into 404, so a leader whose watch lags must not answer nil."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        _delay_watch_of_jobs(world)
        job = await world.run_job(legs=40, run_s=100.0)
        assert (await _ask_leader_as_peer(world, job)).status == 503
        world.state.outage = True
        assert (await _ask_leader_as_peer(world, job)).status == 503

    World().play(monkeypatch, scenario)


def test_accepted_job_is_never_404_and_unknown_one_never_200_while_leaders_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ask continuously during a crash, an election, and initial reads that take two seconds."""
    statuses: dict[str, set[int]] = {"accepted": set(), "unknown": set()}

    async def scenario(world: World) -> None:
        job = await world.run_job(legs=40, run_s=300.0)
        await curio.sleep(3)
        former, term = leader_of(world), world.term()
        world.network.answer_delay = lambda _source, _address, request: (
            1.9 if request.path == "/keys" and "starts=placed/" in request.query else 0.0
        )
        world.crash(former)
        others = [number for number in ALL if number != former]
        for _ in range(60):
            for number in others:
                statuses["accepted"].add((await world.call(number, "GET", f"/why/{job}"))[0])
                statuses["unknown"].add((await world.call(number, "GET", UNKNOWN))[0])
            await curio.sleep(0.1)
        assert world.term() != term
        assert await _ask_each(world, f"/why/{job}") != [404] * CONTROLLERS

    World().play(monkeypatch, scenario)
    assert statuses["accepted"] == {200, 503}
    assert statuses["unknown"] == {404, 503}


def test_no_controller_answers_404_for_an_unknown_job_during_a_state_service_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The state service refuses all controllers, so none can know whether the job exists."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        world.state.outage = True
        assert await _ask_each(world, UNKNOWN) == [503] * CONTROLLERS

    World().play(monkeypatch, scenario)


@pytest.mark.parametrize("failure", ["mailbox full", "no answer in time"])
def test_overloaded_leader_is_503_at_every_controller(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, failure: str
) -> None:
    """A follower waits longer than the leader's actor may take, so it receives the reason."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        leader = leader_of(world)
        actor = world.nodes[leader]._leader.actor
        if failure == "mailbox full":
            monkeypatch.setattr(actor, "_capacity", 0)
        else:

            async def never(*_: Any) -> None:
                await curio.sleep(100)

            monkeypatch.setattr(actor, "receive", never)
        assert await _ask_each(world, UNKNOWN) == [503] * CONTROLLERS
        _, handler = world.network._servers[f"10.0.0.{leader + 1}:8080"]
        reply = await handler(Request("GET", UNKNOWN))
        assert reply.retry_after == RETRY_AFTER
        assert f"controller=c{leader} path=/why reason=c{leader}: status 503" in caplog.text

    with caplog.at_level(logging.WARNING):
        World().play(monkeypatch, scenario)
