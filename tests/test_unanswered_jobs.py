"""Jobs that are recorded but about which no request is answered (``forgotten``).

No record of an accepted job was lost.  At production size and under faults, controllers answered
every request about some jobs with 503 for longer than 90 s, and requests about others normally.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from micadeal.http.message import Request
from tests.fakes import state as state_fake
from tests.fakes.network import SILENT
from tests.fakes.world import World, leader_of

#: How long a crashed controller stays down, and the interval between crashes, in seconds.
DOWN_S, CRASH_INTERVAL_S = 5.0, 10.0
#: Interval between the requests of users, in seconds.
POLL_S = 5.0
SMALL_JOB: dict[str, Any] = {"image_gb": 0.1, "accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0}


async def poll_for(world: World, duration_s: float, poll: Callable[[], Awaitable[None]]) -> None:
    """Call ``poll`` every ``POLL_S`` for some time."""
    for _ in range(int(duration_s / POLL_S)):
        await poll()
        await curio.sleep(POLL_S)


async def run_chain(world: World, length: int) -> list[str]:
    """Submit jobs that each depend on the one before; the first runs for a long time."""
    chain = [await world.run_job("array", 1, run_s=400.0, crew="blue", **SMALL_JOB)]
    while len(chain) < length:
        chain.append(
            await world.run_job("array", 1, crew="blue", waits_on=[chain[-1]], **SMALL_JOB)
        )
    return chain


async def cut_off_follower_from_leader(world: World) -> int:
    """Cut a follower off from the leader; return its number.

    Users and all other hosts still reach it.  Returns once the leader's last message to it has
    become too old to be used.
    """
    leader = leader_of(world)
    follower = (leader + 1) % 3
    world.network.cut(f"c{follower}", f"c{leader}", SILENT)
    await curio.sleep(40)
    return follower


def slow_state_service(world: World, number: int) -> None:
    """Delay the state service's answers to one controller, except to watches."""

    def delay_answer(source: str, address: str, request: Request) -> float:
        to_controller = source == f"c{number}" and address == state_fake.ADDRESS
        return 0.3 if to_controller and request.path != "/changes" else 0.0

    world.network.answer_delay = delay_answer


def test_job_behind_a_long_chain_is_answered_by_a_controller_without_its_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 503, or no answer in time, about the last job of a long dependency chain.

    A follower is cut off from the leader, and the state service answers it 0.3 s late.  Without the
    leader's confirmation that cancellations have reached all dependent jobs, the follower reads the
    records of all ancestors, level by level.  The follower kept no ancestors between requests and
    read them again each time.  For independent jobs it only compared the version read before.
    None of 19 requests in 95 s was answered.
    """

    async def scenario(world: World) -> None:
        chain = await run_chain(world, 12)
        independent_job = await world.run_job("array", 1, run_s=400.0, crew="blue", **SMALL_JOB)
        follower = await cut_off_follower_from_leader(world)
        slow_state_service(world, follower)

        async def poll() -> None:
            for job in (chain[-1], independent_job):
                await curio.spawn(world.status, job, follower, daemon=True)

        await poll_for(world, 100, poll)

    World().play(monkeypatch, scenario)


def test_each_request_reads_only_ancestors_that_earlier_ones_did_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One request can't read all ancestors; later ones only compare records already read."""
    monkeypatch.setattr("micadeal.controller.api.dependencies.MAX_ANCESTOR_READS", 4)

    async def scenario(world: World) -> None:
        chain = await run_chain(world, 12)
        follower = await cut_off_follower_from_leader(world)
        reads: list[str] = []

        def record_read(source: str, address: str, request: Request) -> None:
            if source == f"c{follower}" and request.path.startswith("/keys/job/"):
                reads.append(request.path)

        world.network.on_sent = record_read
        answers = [await world.status(chain[-1], follower) for _ in range(4)]
        assert answers == [None, None, "pending", "pending"]
        # The job's own record each time, and that of each ancestor once.
        assert len(reads) == 4 + 11

    World().play(monkeypatch, scenario)


def test_cancellation_of_an_ancestor_read_before_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards ``orphaned``: a record read before counts only while its version is unchanged."""

    async def scenario(world: World) -> None:
        chain = await run_chain(world, 8)
        follower = await cut_off_follower_from_leader(world)
        assert await world.status(chain[-1], follower) == "pending"
        await world.cancel_until_confirmed(chain[3], leader_of(world))

        async def poll() -> None:
            await world.status(chain[-1], follower)

        await poll_for(world, 60, poll)
        assert world.answers.latest[chain[-1]] == "cancelled"

    World().play(monkeypatch, scenario)


def test_cancelled_job_is_answered_while_controllers_restart_in_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 503 for each request about a cancelled job while controllers restart in turn.

    The job's task may still start on an unreachable machine, and one controller is restarted every
    ten seconds.  No leader leads for long enough to know that the machine's lease has expired, so
    each controller waits until it has known of the cancellation for ``cancel_s``.  Controllers did
    not tell each other since when enough of them had known of it, and each restarted process
    counted from zero.  Requests failed until the restarts ended, for 125 s and more, with
    "cancellation not confirmed: reason=a task may still start".
    """

    async def scenario(world: World) -> None:
        other_job = await world.run_job("daemon", 1, crew="blue", **SMALL_JOB)
        await world.wait_until(lambda: world.running(other_job) == 1)
        await curio.sleep(40)
        job = await world.run_job("array", 1, run_s=90.0, build="img-9", image_gb=400.0)
        await world.wait_until(
            lambda: any(
                attempt.job_id == job
                for worker in world.fleet.workers.values()
                for attempt in worker.tasks.values()
            )
        )
        for worker in world.fleet.workers.values():
            if any(attempt.job_id == job for attempt in worker.tasks.values()):
                for number in range(3):
                    world.network.cut(worker.name, f"c{number}", SILENT)

        async def restart_in_turn() -> None:
            number = leader_of(world)
            while True:
                number = (number + 1) % 3
                world.crash(number)
                await curio.sleep(DOWN_S)
                await world.start(number)
                await curio.sleep(CRASH_INTERVAL_S - DOWN_S)

        follower = (leader_of(world) + 1) % 3
        while f"end/{job}" not in world.state.keys:
            assert await world.cancel(job, follower) is None
        restarting = await curio.spawn(restart_in_turn, daemon=True)
        polls = 0

        async def poll() -> None:
            nonlocal polls
            for queried_job in (job, other_job):
                number = next(n for n in range(polls, polls + 3) if world.is_up(n % 3)) % 3
                await curio.spawn(world.status, queried_job, number, daemon=True)
            polls += 1

        await poll_for(world, 120, poll)
        await restarting.cancel()

    World().play(monkeypatch, scenario)


def test_cancelled_job_is_answered_by_a_controller_without_its_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 503 for each request about a cancelled job at a partitioned follower.

    The follower reaches neither peer, so it can't inform a majority of the cancellation, and the
    peers could not tell it that they know.  A user whose connection stays open asks no other
    controller.  The state service and users reach the follower, and it answers about other jobs.
    """

    async def scenario(world: World) -> None:
        jobs = [await world.run_job("daemon", 1, crew="blue", **SMALL_JOB) for _ in range(2)]
        await world.wait_until(lambda: all(world.running(job) for job in jobs))
        await curio.sleep(40)
        follower = (leader_of(world) + 1) % 3
        for other in {0, 1, 2} - {follower}:
            world.network.cut(f"c{follower}", f"c{other}", SILENT)
        assert await world.cancel(jobs[0], follower) is None

        async def poll() -> None:
            for job in jobs:
                await curio.spawn(world.status, job, follower, daemon=True)

        await poll_for(world, 100, poll)

    World().play(monkeypatch, scenario)
