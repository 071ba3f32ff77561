"""Cancellations that a controller can't confirm alone are confirmed for it by another one.

Guards against cancelled jobs about which no question is answered for 90 s (``forgotten``), each
time at a controller that can tell no majority, and ``ran_cancelled`` by what is answered instead.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from micadeal.clock import ZERO, seconds
from micadeal.controller.api.confirmation_exchange import ConfirmationPublisher
from micadeal.http.message import Request
from micadeal.wire.users import JobAnswer, Status
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import CANCEL_S, FOLLOWERS_RENEW_AFTER_S
from tests.fakes.network import REFUSE, SILENT
from tests.fakes.world import CONTROLLERS, World, leader_of
from tests.test_unanswered_jobs import SMALL, ask_for, slow_state_service

#: How long the trouble lasts, in seconds.
TROUBLE_S = 100.0


def separate(world: World, number: int) -> None:
    """Cut a controller off from all others; the state service, users and workers reach it."""
    for other in set(range(CONTROLLERS)) - {number}:
        world.network.cut(f"c{number}", f"c{other}", SILENT)


async def start_services(world: World, **fields: Any) -> list[str]:
    """Run two services, and wait until the controllers have all rights; return their ids."""
    jobs = [await world.run_job("daemon", 2, crew="blue", **{**SMALL, **fields}) for _ in range(2)]
    await world.wait_until(lambda: all(world.running(job) == 2 for job in jobs))
    await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
    return jobs


async def ask_about(world: World, jobs: list[str], number: int, duration_s: float) -> None:
    """Ask one controller about all jobs again and again."""

    async def poll() -> None:
        for job in jobs:
            await curio.spawn(world.status, job, number, daemon=True)

    await ask_for(world, duration_s, poll)


# -- who can't tell a majority, and why ----------------------------------------------------------


async def follower_apart(world: World, _jobs: list[str]) -> int:
    follower = (leader_of(world) + 1) % CONTROLLERS
    separate(world, follower)
    return follower


async def follower_apart_with_a_slow_state_service(world: World, jobs: list[str]) -> int:
    follower = await follower_apart(world, jobs)
    slow_state_service(world, follower)
    return follower


async def follower_whose_notices_are_lost(world: World, _jobs: list[str]) -> int:
    """Pings are answered in both directions, so that all take it for reachable."""
    follower = (leader_of(world) + 1) % CONTROLLERS

    def lost(source: str, _address: str, request: Request) -> float | None:
        return 1000.0 if source == f"c{follower}" and request.path == "/notice" else None

    world.network.delivery_delay = lost
    return follower


async def leader_apart_with_a_hung_machine(world: World, jobs: list[str]) -> int:
    """Without promises of a majority the leader never takes the machine's lease for expired."""
    leader = leader_of(world)
    separate(world, leader)
    for worker in world.fleet.workers.values():
        if any(attempt.job_id == jobs[0] for attempt in worker.tasks.values()):
            worker.stalled = True
    return leader


async def each_controller_apart(world: World, _jobs: list[str]) -> int:
    for number in range(CONTROLLERS):
        separate(world, number)
    return (leader_of(world) + 1) % CONTROLLERS


async def restarted_follower_apart(world: World, jobs: list[str]) -> int:
    """Another controller has recorded the end, and the follower's process is a new one."""
    leader = leader_of(world)
    assert await world.cancel_until_confirmed(jobs[0], leader) == "cancelled"
    follower = await follower_apart(world, jobs)
    world.crash(follower)
    await curio.sleep(0.5)
    await world.start(follower)
    return follower


@pytest.mark.parametrize(
    "trouble",
    [
        follower_apart,
        follower_apart_with_a_slow_state_service,
        follower_whose_notices_are_lost,
        leader_apart_with_a_hung_machine,
        each_controller_apart,
        restarted_follower_apart,
    ],
)
def test_cancelled_job_is_answered_by_a_controller_that_can_tell_no_majority(
    monkeypatch: pytest.MonkeyPatch, trouble: Callable[[World, list[str]], Awaitable[int]]
) -> None:
    """Guards ``forgotten``: each question got 503 for as long as the trouble lasted."""

    async def scenario(world: World) -> None:
        jobs = await start_services(world)
        number = await trouble(world, jobs)
        await world.cancel(jobs[0], number)
        await ask_about(world, jobs, number, TROUBLE_S)
        assert world.answers.latest[jobs[0]] == "cancelled"

    World().play(monkeypatch, scenario)


def test_dependent_and_repeated_jobs_are_answered_by_a_controller_without_its_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``forgotten`` and ``orphaned`` for what rests on a cancellation."""

    async def scenario(world: World) -> None:
        first, other = await start_services(world)
        chain = [await world.run_job("array", 1, run_s=400.0, crew="blue", **SMALL)]
        chain.append(await world.run_job("array", 1, crew="blue", waits_on=chain, **SMALL))
        follower = await follower_apart(world, [first])
        await world.cancel(chain[0], follower)
        await ask_about(world, [*chain, other], follower, 40)
        assert [world.answers.latest[job] for job in chain] == ["cancelled", "cancelled"]
        assert [await world.submit_once(job, follower) for job in chain] == [200, 200]

    World().play(monkeypatch, scenario)


def test_ordinary_days_record_no_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Neither cancellations nor the restart of a controller cost the state service a request."""

    async def scenario(world: World) -> None:
        jobs = await start_services(world)
        sent: list[str] = []

        def note(_source: str, address: str, request: Request) -> None:
            if address == state_fake.ADDRESS and b"seat/unconfirmed" in request.body:
                sent.append(request.path)

        world.network.on_sent = note
        follower = (leader_of(world) + 1) % CONTROLLERS
        assert await world.cancel_until_confirmed(jobs[0], follower) == "cancelled"
        world.crash(follower)
        assert await world.cancel_until_confirmed(jobs[1], leader_of(world)) == "cancelled"
        await curio.sleep(1)
        await world.start(follower)
        await ask_about(world, jobs, follower, 20)
        assert sent == []
        assert "confirmed" not in world.state.keys[f"end/{jobs[0]}"][0]

    World().play(monkeypatch, scenario)


# -- the proof ----------------------------------------------------------------------------------


async def _confirm_without_proof(_job_id: str) -> JobAnswer:
    return JobAnswer(_job_id, Status.CANCELLED)


@pytest.mark.parametrize("with_proof", [True, False])
def test_confirmation_for_a_peer_waits_for_what_a_user_would_wait_for(
    monkeypatch: pytest.MonkeyPatch, with_proof: bool
) -> None:
    """Guards ``ran_cancelled`` in the gap: the leader is refused by the state service, the follower
    that records the cancellation is cut off, then nobody reaches the state service for longer than
    ``cancel_s``.  Without the proof the leader goes on renewing leases, and the rule is broken."""
    module = "micadeal.controller.api.confirmation_exchange"
    monkeypatch.setattr(f"{module}.MIN_WAIT", ZERO)
    monkeypatch.setattr(f"{module}.WRITE_INTERVAL", seconds(0.1))
    monkeypatch.setattr(f"{module}.CONFIRM_INTERVAL", seconds(0.1))
    if not with_proof:

        def publisher(self: ConfirmationPublisher, *arguments: Any) -> None:
            prepare(self, *arguments)
            self._look_up = _confirm_without_proof

        prepare = ConfirmationPublisher.__init__
        monkeypatch.setattr(ConfirmationPublisher, "__init__", publisher)

    async def scenario(world: World) -> None:
        jobs = await start_services(world)
        leader = leader_of(world)
        follower = (leader + 1) % CONTROLLERS
        separate(world, follower)
        await curio.sleep(3)
        world.network.cut(f"c{leader}", state_fake.HOST, REFUSE)

        def leader_hears_no_change(source: str, _address: str, request: Request) -> bool:
            return source == f"c{leader}" and request.path == "/changes"

        world.network.answer_lost = leader_hears_no_change
        await world.cancel(jobs[0], follower)
        await curio.spawn(ask_about, world, jobs, follower, CANCEL_S, daemon=True)
        await curio.sleep(1.5)
        assert await world.status(jobs[0], follower) == "cancelled"
        world.state.outage = True
        await curio.sleep(CANCEL_S + 20)
        world.state.outage = False

    if with_proof:
        World().play(monkeypatch, scenario)
        return
    with pytest.raises(AssertionError, match=r"(ran|started)_cancelled"):
        World().play(monkeypatch, scenario)
