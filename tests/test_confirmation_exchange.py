"""A controller confirms cancellations that a peer can't confirm alone.

Guards ``forgotten``: a controller that could not inform a majority of a cancellation left every
request about the job unanswered for 90 s.  Guards ``ran_cancelled``, which a confirmation given too
early would break.
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
from tests.test_unanswered_jobs import SMALL_JOB, poll_for, slow_state_service

#: How long a fault lasts, in seconds.
FAULT_S = 100.0


def cut_off_from_peers(world: World, number: int) -> None:
    """Cut a controller off from its peers; state service, users and workers still reach it."""
    for other in set(range(CONTROLLERS)) - {number}:
        world.network.cut(f"c{number}", f"c{other}", SILENT)


async def start_services(world: World, **fields: Any) -> list[str]:
    """Start two services and wait until followers may renew leases; return their job ids."""
    jobs = [
        await world.run_job("daemon", 2, crew="blue", **{**SMALL_JOB, **fields}) for _ in range(2)
    ]
    await world.wait_until(lambda: all(world.running(job) == 2 for job in jobs))
    await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
    return jobs


async def poll_status(world: World, jobs: list[str], number: int, duration_s: float) -> None:
    """Request the status of all jobs from one controller repeatedly."""

    async def poll() -> None:
        for job in jobs:
            await curio.spawn(world.status, job, number, daemon=True)

    await poll_for(world, duration_s, poll)


# -- controllers that can't inform a majority ---------------------------------------------------


async def partitioned_follower(world: World, _jobs: list[str]) -> int:
    follower = (leader_of(world) + 1) % CONTROLLERS
    cut_off_from_peers(world, follower)
    return follower


async def partitioned_follower_with_a_slow_state_service(world: World, jobs: list[str]) -> int:
    follower = await partitioned_follower(world, jobs)
    slow_state_service(world, follower)
    return follower


async def follower_that_loses_its_notices(world: World, _jobs: list[str]) -> int:
    """Lose a follower's notices, but not its pings: its peers consider it reachable."""
    follower = (leader_of(world) + 1) % CONTROLLERS

    def delay_notices(source: str, _address: str, request: Request) -> float | None:
        return 1000.0 if source == f"c{follower}" and request.path == "/notice" else None

    world.network.delivery_delay = delay_notices
    return follower


async def partitioned_leader_with_a_stalled_machine(world: World, jobs: list[str]) -> int:
    """Cut off the leader, which without renewal promises can't treat the lease as expired."""
    leader = leader_of(world)
    cut_off_from_peers(world, leader)
    for worker in world.fleet.workers.values():
        if any(attempt.job_id == jobs[0] for attempt in worker.tasks.values()):
            worker.stalled = True
    return leader


async def partitioned_controllers(world: World, _jobs: list[str]) -> int:
    for number in range(CONTROLLERS):
        cut_off_from_peers(world, number)
    return (leader_of(world) + 1) % CONTROLLERS


async def restarted_partitioned_follower(world: World, jobs: list[str]) -> int:
    """Restart a partitioned follower after another controller recorded the cancellation."""
    leader = leader_of(world)
    assert await world.cancel_until_confirmed(jobs[0], leader) == "cancelled"
    follower = await partitioned_follower(world, jobs)
    world.crash(follower)
    await curio.sleep(0.5)
    await world.start(follower)
    return follower


@pytest.mark.parametrize(
    "inject_fault",
    [
        partitioned_follower,
        partitioned_follower_with_a_slow_state_service,
        follower_that_loses_its_notices,
        partitioned_leader_with_a_stalled_machine,
        partitioned_controllers,
        restarted_partitioned_follower,
    ],
)
def test_requests_about_a_cancelled_job_are_answered_without_informing_a_majority(
    monkeypatch: pytest.MonkeyPatch, inject_fault: Callable[[World, list[str]], Awaitable[int]]
) -> None:
    """Guards ``forgotten``: each request got 503 until the fault was over."""

    async def scenario(world: World) -> None:
        jobs = await start_services(world)
        number = await inject_fault(world, jobs)
        await world.cancel(jobs[0], number)
        await poll_status(world, jobs, number, FAULT_S)
        assert world.answers.latest[jobs[0]] == "cancelled"

    World().play(monkeypatch, scenario)


def test_dependent_and_resubmitted_jobs_are_answered_by_a_partitioned_follower(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``forgotten`` and ``orphaned`` for jobs that depend on a cancelled job."""

    async def scenario(world: World) -> None:
        first, other = await start_services(world)
        chain = [await world.run_job("array", 1, run_s=400.0, crew="blue", **SMALL_JOB)]
        chain.append(await world.run_job("array", 1, crew="blue", waits_on=chain, **SMALL_JOB))
        follower = await partitioned_follower(world, [first])
        await world.cancel(chain[0], follower)
        await poll_status(world, [*chain, other], follower, 40)
        assert [world.answers.latest[job] for job in chain] == ["cancelled", "cancelled"]
        assert [await world.submit_once(job, follower) for job in chain] == [200, 200]

    World().play(monkeypatch, scenario)


def test_no_confirmation_is_requested_while_a_majority_is_reachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Neither a cancellation nor the restart of a controller records a request for confirmation."""

    async def scenario(world: World) -> None:
        jobs = await start_services(world)
        requests: list[str] = []

        def record_request(_source: str, address: str, request: Request) -> None:
            if address == state_fake.ADDRESS and b"seat/unconfirmed" in request.body:
                requests.append(request.path)

        world.network.on_sent = record_request
        follower = (leader_of(world) + 1) % CONTROLLERS
        assert await world.cancel_until_confirmed(jobs[0], follower) == "cancelled"
        world.crash(follower)
        assert await world.cancel_until_confirmed(jobs[1], leader_of(world)) == "cancelled"
        await curio.sleep(1)
        await world.start(follower)
        await poll_status(world, jobs, follower, 20)
        assert requests == []
        assert "confirmed" not in world.state.keys[f"end/{jobs[0]}"][0]

    World().play(monkeypatch, scenario)


# -- proof that a cancellation may be confirmed --------------------------------------------------


async def _confirm_without_proof(_job_id: str) -> JobAnswer:
    return JobAnswer(_job_id, Status.CANCELLED)


@pytest.mark.parametrize("with_proof", [True, False])
def test_confirmation_for_a_peer_needs_the_same_proof_as_one_for_a_user(
    monkeypatch: pytest.MonkeyPatch, with_proof: bool
) -> None:
    """Guards ``ran_cancelled`` where the leader learns of a cancellation too late.

    The state service refuses the leader, and the follower that records the cancellation is cut off
    from its peers.  Then the state service is down for longer than ``cancel_s``.  Without the proof
    the leader continues to renew leases, and the rule is broken.
    """
    module = "micadeal.controller.api.confirmation_exchange"
    monkeypatch.setattr(f"{module}.MIN_WAIT", ZERO)
    monkeypatch.setattr(f"{module}.WRITE_INTERVAL", seconds(0.1))
    monkeypatch.setattr(f"{module}.CONFIRM_INTERVAL", seconds(0.1))
    if not with_proof:

        def init_without_proof(self: ConfirmationPublisher, *arguments: Any) -> None:
            original_init(self, *arguments)
            self._look_up = _confirm_without_proof

        original_init = ConfirmationPublisher.__init__
        monkeypatch.setattr(ConfirmationPublisher, "__init__", init_without_proof)

    async def scenario(world: World) -> None:
        jobs = await start_services(world)
        leader = leader_of(world)
        follower = (leader + 1) % CONTROLLERS
        cut_off_from_peers(world, follower)
        await curio.sleep(3)
        world.network.cut(f"c{leader}", state_fake.HOST, REFUSE)

        def loses_watch_of_leader(source: str, _address: str, request: Request) -> bool:
            return source == f"c{leader}" and request.path == "/changes"

        world.network.answer_lost = loses_watch_of_leader
        await world.cancel(jobs[0], follower)
        await curio.spawn(poll_status, world, jobs, follower, CANCEL_S, daemon=True)
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
