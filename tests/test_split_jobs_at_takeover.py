"""Jobs whose description is stored in several parts, while the leader changes."""

from __future__ import annotations

import hashlib
from typing import Any

import curio
import pytest

from micadeal.http.message import Answer, Request
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS
from tests.fakes.fault_histories import History
from tests.fakes.world import World, leader_of

#: Names that hardly compress; together they exceed the size limit of one stored value.
MANY_MACHINE_TYPES = [hashlib.sha256(bytes([number])).hexdigest() for number in range(80)]


def test_split_job_accepted_between_two_reads_of_a_new_leader_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the loss of a job accepted between a new leader's reads of jobs and parts.

    The leader deleted all parts whose job it had not read, although it had read the jobs before the
    parts.  The job stayed pending permanently, and "unreadable record: key=job/... reason=Input
    data was truncated" was logged.
    """
    fields: dict[str, Any] = {"rigs": ["box", *MANY_MACHINE_TYPES]}

    async def scenario(world: World) -> None:
        world.state.value_bytes = 2048
        job = world.job("array", 1, run_s=5.0, image_gb=0.1, **fields)
        await curio.sleep(5)
        old = leader_of(world)
        stored: list[str] = []

        async def accept_before_parts_are_read(request: Request) -> Answer:
            if request.path == "/keys" and "starts=part/" in request.query and not stored:
                while await world.submit_once(job, (old + 1) % 3) != 201:
                    await curio.sleep(0.1)
                stored.extend(key for key in world.state.keys if key.startswith(f"part/{job}/"))
            return await world.state.handle(request)

        world.network.serve(state_fake.HOST, state_fake.ADDRESS, accept_before_parts_are_read)
        world.crash(old)
        await world.wait_until(lambda: bool(stored))
        await curio.sleep(1)
        world.crash(leader_of(world))
        await world.start(old)
        await world.wait_until_done(job)

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


def hide_parts(world: World, job: str) -> dict[str, Any]:
    """Remove the parts of a job's description; return the removed items of ``world.state.keys``."""
    keys = [key for key in world.state.keys if key.startswith(f"part/{job}/")]
    assert keys
    return {key: world.state.keys.pop(key) for key in keys}


async def change_leader(world: World) -> None:
    """Crash the leader, and start it again once another controller leads."""
    old = leader_of(world)
    world.crash(old)
    await world.wait_until(lambda: world.leader() not in (None, old))
    await curio.sleep(2)
    await world.start(old)


def test_jobs_accepted_between_the_pages_of_a_listing_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the loss of jobs accepted while a listing with several pages is read.

    Two jobs are accepted between two pages: one whose key lies in the pages already read, so that
    it is not listed, and one whose key lies after them.
    """
    monkeypatch.setattr("micadeal.state.service.PAGE_SIZE", 2)
    fields: dict[str, Any] = {"rigs": ["box", *MANY_MACHINE_TYPES], "crew": "blue"}

    async def scenario(world: World) -> None:
        world.state.value_bytes = 2048
        lowest_job = world.job("array", 1, run_s=5.0, image_gb=0.1, **fields)
        listed = [
            await world.run_job("array", 1, run_s=400.0, image_gb=0.1, accelerators=0.0, **fields)
            for _ in range(3)
        ]
        highest_job = world.job("array", 1, run_s=5.0, image_gb=0.1, **fields)
        old = leader_of(world)
        accepted: list[str] = []

        async def accept_between_pages(request: Request) -> Answer:
            is_second_page = request.path == "/keys" and "starts=job/&most=2&after" in request.query
            if is_second_page and not accepted:
                for job in (lowest_job, highest_job):
                    while await world.submit_once(job, (old + 1) % 3) != 201:
                        await curio.sleep(0.1)
                    accepted.append(job)
            return await world.state.handle(request)

        world.network.serve(state_fake.HOST, state_fake.ADDRESS, accept_between_pages)
        world.crash(old)
        await world.wait_until(lambda: len(accepted) == 2)
        await curio.sleep(1)
        world.crash(leader_of(world))
        await world.start(old)
        for job in accepted:
            await world.wait_until_done(job)
        assert all(f"part/{job}/1" in world.state.keys for job in listed)

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


def test_records_of_a_job_that_a_leader_cannot_read_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the loss of a live job whose record can't be read when a term begins.

    Another version may have written the record, for example.  The job's parts and finished tasks
    stay stored, the overview names it, and it continues in the same term once it can be read.
    """
    fields: dict[str, Any] = {"rigs": ["box", *MANY_MACHINE_TYPES]}

    async def scenario(world: World) -> None:
        world.state.value_bytes = 2048
        job = await world.run_job("array", 10, run_s=12.0, image_gb=0.1, **fields)
        await world.wait_until(lambda: len(world.rules.finished_tasks) >= 8)
        await curio.sleep(2)
        key = f"job/{job}"
        other_keys_of_job = {key for key in world.state.keys if job in key} - {key}
        assert {key.split("/")[0] for key in other_keys_of_job} >= {"part", "finished"}
        readable = world.state.keys[key]
        world.state.keys[key] = ({"parts": "other"}, readable[1], None)
        await change_leader(world)
        await curio.sleep(20)
        assert other_keys_of_job <= world.state.keys.keys()
        _, overview = await world.call(leader_of(world), "GET", "/overview")
        assert [note for note in overview["notes"] if "unreadable" in note and key in note]
        world.state.keys[key] = readable
        await world.wait_until_done(job)
        assert max(world.rules.starts.values()) <= 2

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


def test_job_whose_parts_are_lost_can_be_cancelled_at_each_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job without a description that stays pending permanently.

    Its user can cancel it at each controller, and no record of it remains.
    """
    fields: dict[str, Any] = {"rigs": ["box", *MANY_MACHINE_TYPES]}

    async def scenario(world: World) -> None:
        world.state.value_bytes = 2048
        jobs = [await world.run_job("daemon", 2, crew="blue", **fields) for _ in range(3)]
        await curio.sleep(5)
        for job in jobs:
            hide_parts(world, job)
        await change_leader(world)
        await curio.sleep(5)
        for number, job in enumerate(jobs):
            assert await world.status(job, number) == "pending"
            assert await world.cancel_until_confirmed(job, number) == "cancelled"
        for number, job in enumerate(jobs):
            assert await world.status(job, (number + 1) % 3) == "cancelled"
        await curio.sleep(15)
        _, overview = await world.call(leader_of(world), "GET", "/overview")
        assert not [note for note in overview["notes"] if "unreadable" in note]
        assert not [key for key in world.state.keys if key.startswith(("job/", "part/"))]

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


def test_parts_of_a_job_that_is_over_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Parts that certainly belong to a job that is over are removed from the state service."""
    fields: dict[str, Any] = {"rigs": ["box", *MANY_MACHINE_TYPES]}

    async def scenario(world: World) -> None:
        world.state.value_bytes = 2048
        job = await world.run_job("array", 1, run_s=400.0, **fields)
        parts = hide_parts(world, job)
        await world.cancel_until_confirmed(job)
        await curio.sleep(5)
        world.state.keys.update(parts)
        await change_leader(world)
        await curio.sleep(5)
        assert not [key for key in world.state.keys if key.startswith("part/")]

    World(announced_limits=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)


@pytest.mark.parametrize("seed", range(4))
def test_split_jobs_run_through_random_changes_of_the_leader(seed: int) -> None:
    """Guards against the loss of parts in any order of events.

    All jobs are split, and leaders crash and hand over at times drawn from the seed.
    """
    history = History(seed, ["leader crash", "hand over"], split_jobs=True)
    assert history.play() == []
    assert history.world.state.oversized_transactions > 0
