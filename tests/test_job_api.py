"""Answers of the users' API to valid, invalid, repeated and racing requests."""

from __future__ import annotations

import math
from typing import Any

import curio
import pytest

from micadeal.clock import seconds
from micadeal.http.message import Request
from tests.fakes.world import World


def test_malformed_submissions_get_400_and_unschedulable_ones_422(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)

        async def status_of_submission(**fields: Any) -> int:
            spec = world.fleet.jobs[world.job()].spec
            return (await world.call(0, "POST", "/work", {**spec, **fields}))[0]

        malformed: tuple[dict[str, Any], ...] = (
            {"legs": 0}, {"legs": 100_001}, {"legs": "3"}, {"vcpus": math.nan},
            {"vcpus": -1.0}, {"ram_gb": math.inf}, {"name_id": "job-1"}, {"name_id": 7},
            {"rank": "urgent"}, {"shape": None}, {"rigs": "box"}, {"loaners": 1},
            {"accelerators": 0.0, "vcpus": 0.0}, {"crew": ""},
        )  # fmt: skip
        for fields in malformed:
            assert await status_of_submission(**fields) == 400, fields
        impossible: tuple[dict[str, Any], ...] = (
            {"crew": "green"}, {"vcpus": 9.0}, {"rigs": ["cart"]}, {"depot": "east"},
            {"shape": "gang", "legs": 9}, {"shape": "daemon", "legs": 9},
        )  # fmt: skip
        for fields in impossible:
            assert await status_of_submission(**fields) == 422, fields
        assert await status_of_submission(shape="array", legs=9) == 201
        assert await status_of_submission(something_new=1, due_s=None) == 201
        request = Request("POST", "/work", "", b"\xc1 not a message")
        status, _ = await world.network.request("u", "10.0.0.1:8080", request, seconds(5))
        assert status == 400
        assert (await world.call(0, "GET", "/nothing"))[0] == 404
        assert (await world.call(0, "POST", "/ready"))[0] == 405
        assert (await world.call(0, "GET", "/work/req-999999"))[0] == 404

    World().play(monkeypatch, scenario)


def test_repeated_submission_of_a_known_job_gets_200_whatever_its_fields(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``forgotten``, also after the job has ended and with fields that would be refused."""

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=5.0)
        spec = world.fleet.jobs[job].spec
        for number in range(3):
            assert (await world.call(number, "POST", "/work", spec))[0] == 200
            assert (await world.call(number, "POST", "/work", {**spec, "legs": -1}))[0] == 200
            assert (await world.call(number, "POST", "/work", {**spec, "crew": "x"}))[0] == 200
        await world.wait_until_done(job)
        status, reply = await world.call(2, "POST", "/work", spec)
        assert (status, reply["status"]) == (200, "done")

    World().play(monkeypatch, scenario)


def test_no_job_is_accepted_or_denied_without_the_state_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``forgotten`` and ``went_back``: without a read, 503 is the only answer."""

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=5.0)
        await world.wait_until_done(job)
        waiting = await world.run_job("daemon", 1)
        world.state.outage = True
        new_job = world.fleet.jobs[world.job()].spec
        for number in range(3):
            status, _ = await world.call(number, "POST", "/work", new_job)
            assert status in (0, 503)
            assert (await world.call(number, "GET", f"/work/{waiting}"))[0] == 503
            assert (await world.call(number, "POST", f"/work/{waiting}/abort"))[0] == 503
            assert (await world.call(number, "GET", "/ready"))[0] == 200
        world.state.outage = False
        await curio.sleep(2)
        assert await world.status(waiting, 1) in ("pending", "running")

    World().play(monkeypatch, scenario)


def test_only_one_of_done_and_cancelled_is_answered_when_they_race(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``went_back`` and ``not_done``, which ``World`` checks on every answer."""

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        for tenths in range(0, 30, 3):
            job = await world.run_job("array", 1, run_s=3.0, image_gb=0.1)
            await world.wait_until(lambda job=job: world.running(job) == 1)  # type: ignore[misc]
            await curio.sleep(2.0 + tenths / 10)
            final = await world.cancel(job, 1)
            assert final in ("cancelled", "done")
            for number in range(3):
                assert await world.status(job, number) == final

    World().play(monkeypatch, scenario)


def test_a_controller_that_alone_cannot_reach_the_state_service_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(5)
        world.network.cut("c1", "state")
        await curio.sleep(12)
        assert (await world.call(1, "GET", "/ready"))[0] == 503
        assert (await world.call(0, "GET", "/ready"))[0] == 200

    World().play(monkeypatch, scenario)


def test_why_and_overview_name_reasons_and_team_shares(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        job = await world.run_job("array", 9)
        await curio.sleep(10)
        for number in range(3):
            status, why = await world.call(number, "GET", f"/why/{job}")
            assert status == 200 and why["waiting"] == 9
            assert any("refused" in line["reason"] for line in why["reasons"])
            status, overview = await world.call(number, "GET", "/overview")
            assert status == 200
            red = next(team for team in overview["teams"] if team["name"] == "red")
            assert (red["guarantee"], red["limit"], red["demand"]) == (4, 8, 8)
            assert overview["jobs"] == {"waiting": 1}

    World().play(monkeypatch, scenario)


def test_settings_apply_immediately_and_invalid_ones_leave_the_old_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        values = {"teams": {"red": {"running_jobs": 1}}}
        sent = {"script": "teams = ...", "values": values}
        assert (await world.call(1, "POST", "/settings", sent))[0] == 200
        bad = {"script": "x", "values": {"teams": {"red": {"weight": -1}}}}
        assert (await world.call(1, "POST", "/settings", bad))[0] == 400
        first = await world.run_job("array", 1, run_s=20.0)
        second = await world.run_job("array", 1, run_s=5.0)
        await world.wait_until(lambda: world.running(first) == 1)
        assert not world.rules.starts[f"{second}/0"]
        _, why = await world.call(2, "GET", f"/why/{second}")
        assert "limit of running jobs" in why["reasons"][0]["reason"]
        await world.wait_until_done(second)

    World().play(monkeypatch, scenario)


def test_cancellation_after_the_end_is_answered_done(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``went_back``: the job ends between the read and the write of its cancellation.

    Another user is answered "done" in the meantime.
    """

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=6.0, image_gb=0.1)
        await world.wait_until(lambda: world.running(job) == 1)
        await curio.sleep(5.0)
        world.state.cancel_delay = 1.8
        cancelling = await curio.spawn(world.cancel, job, 1)
        await world.wait_until_done(job)
        assert await cancelling.join() in ("done", None)
        world.state.cancel_delay = 0.0
        assert await world.cancel(job, 2) == "done"
        assert await world.status(job, 1) == "done"

    World().play(monkeypatch, scenario)


def test_controllers_stay_ready_in_a_shared_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards submissions after an outage of the state service.

    Controllers lose contact some seconds apart.  The first one must stay ready, since the load
    balancer would exclude it for longer than the outage lasts.
    """

    async def scenario(world: World) -> None:
        for tenths in range(0, 20, 3):
            await curio.sleep(6 + tenths / 10)
            world.state.outage = True
            for _ in range(40):
                for number in range(3):
                    assert (await world.call(number, "GET", "/ready"))[0] == 200
                await curio.sleep(0.25)
            world.state.outage = False

    World().play(monkeypatch, scenario)


def test_status_polls_share_requests_to_the_state_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the leader's writes to the state service against status polls.

    Polls of hundreds of jobs used up the request limit, so placements and ends were written minutes
    late.  A job that ends in the meantime is answered with its new status.
    """

    async def scenario(world: World) -> None:
        jobs = [await world.run_job("array", 1, run_s=400.0) for _ in range(60)]
        short = await world.run_job("array", 1, run_s=20.0, crew="blue")
        for job in jobs:
            await world.status(job, 1)
        before = world.state.requests

        async def poll(job: str) -> None:
            assert await world.status(job, 1) in ("pending", "running")

        for _ in range(5):
            async with curio.TaskGroup() as group:
                for job in jobs:
                    await group.spawn(poll, job)
            await curio.sleep(1)
        assert world.state.requests - before < 5 * 20
        assert await world.cancel(jobs[7], 0) == "cancelled"
        assert await world.status(jobs[7], 1) == "cancelled"
        await world.wait_until_done(short)
        world.state.outage = True
        assert await world.status(jobs[3], 1) is None
        world.state.outage = False
        await curio.sleep(2)
        assert await world.status(jobs[3], 1) in ("pending", "running")

    World().play(monkeypatch, scenario)


def test_damaged_settings_are_reported_as_unreadable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a 500 without an error text, and a traceback in the log.

    The stored record was decoded without handling of damaged values.
    """

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        world.state.keys["settings"] = ({"script": 7}, world.state.revision, None)
        for number in range(3):
            status, reply = await world.call(number, "GET", "/settings")
            assert status == 500 and "unreadable" in reply["error"]
            status, _ = await world.call(number, "POST", "/settings", {"script": "", "values": {}})
            assert status == 200
            world.state.keys["settings"] = ({"script": 7}, world.state.revision, None)

    World().play(monkeypatch, scenario)
