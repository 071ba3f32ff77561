"""A job whose description is stored in several parts is accepted while a new leader reads."""

from __future__ import annotations

import hashlib
from typing import Any

import curio
import pytest

from micadeal.http.message import Answer, Request
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS
from tests.fakes.world import World, leader_of

#: Names that hardly compress: more than one value holds.
MANY_NAMES = [hashlib.sha256(bytes([number])).hexdigest() for number in range(80)]


def test_split_job_accepted_between_two_reads_of_a_new_leader_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The job is accepted after the leader's read of jobs and before its read of parts.

    What is seen: the job stays pending for ever, "unreadable record: key=job/... reason=Input data
    was truncated" is logged, and the parts of its description are gone.
    How it comes about: the new leader deletes all parts whose job it has not read.
    Cause: action on stale knowledge; the jobs were read before the parts.  Not mended yet.
    """
    fields: dict[str, Any] = {"rigs": ["box", *MANY_NAMES]}

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

    World(announced=ANNOUNCED_STATE_LIMITS).play(monkeypatch, scenario)
