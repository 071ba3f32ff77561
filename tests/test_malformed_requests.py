"""Answers of every controller to malformed, unschedulable and repeated submissions."""

from __future__ import annotations

import math
from typing import Any

import curio
import pytest

from tests.fakes.world import World, leader_of

#: Fields that may be null; these may be omitted as well.
OPTIONAL = {"rigs", "depot", "due_s"}
#: Values of a wrong type or out of range, by field.
INVALID_VALUES: dict[str, list[Any]] = {
    "name_id": [None, 7, "", "req-", "req-12x", "job-000001", "req-" + "1" * 40],
    "lane": [None, 7, "", "x" * 300],
    "crew": [None, 7, "", ["red"]],
    "shape": [None, 1, "cluster", "ARRAY"],
    "rank": [None, 1, "normal", "urgent"],
    "legs": [None, 0, -1, 100_001, "2", 1.5, True],
    "vcpus": [None, -1.0, math.nan, math.inf, "2"],
    "accelerators": [None, -1.0, math.nan, "1"],
    "ram_gb": [None, -0.5, math.inf, "8"],
    "build": [None, 7, ""],
    "image_gb": [None, -1.0, math.nan, "2"],
    "rigs": ["box", [7], [""], {"box": 1}],
    "depot": [7, "", ["north"]],
    "one_zone": [None, 1, "yes"],
    "scatter": [None, 0, "no"],
    "loaners": [None, 1, "true"],
    "expect_s": [None, -1.0, math.inf, "20"],
    "bookmark_s": [None, -1.0, math.nan],
    "stow_s": [None, -1.0, math.nan],
    "due_s": [-1.0, math.nan, "soon"],
    "waits_on": ["req-000001", [7], ["job-1"]],
}
#: Jobs that fit no allowed machine type in their zone, exceed the limits of their team, or name an
#: unknown team or job.
UNSCHEDULABLE: list[dict[str, Any]] = [
    {"crew": "green"},
    {"vcpus": 8.5},
    {"accelerators": 3.0},
    {"ram_gb": 65.0},
    {"rigs": []},
    {"rigs": ["cart"]},
    {"rigs": ["cart", "van"], "depot": "north"},
    {"depot": "east"},
    {"rigs": ["box"], "depot": "east"},
    {"shape": "gang", "legs": 9},
    {"shape": "daemon", "legs": 9},
    {"shape": "gang", "legs": 5, "accelerators": 2.0},
    {"waits_on": ["req-999999"]},
]


async def assert_rejected_by_all(world: World, status: int, **fields: Any) -> None:
    """Submit a job to each controller; assert that all answer ``status`` and none stores it."""
    job = world.job()
    for number in range(3):
        assert await world.submit_once(job, number, **fields) == status, fields
    if "name_id" not in fields:
        assert await world.status(job, 0) is None
        assert f"job/{job}" not in world.state.keys and f"end/{job}" not in world.state.keys


def test_missing_field_gets_400_unless_optional(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        for field in list(world.fleet.jobs[world.job()].spec):
            job = world.job()
            spec = {k: v for k, v in world.fleet.jobs[job].spec.items() if k != field}
            for number in range(3):
                status, _ = await world.call(number, "POST", "/work", spec)
                expected = {201, 200} if field in OPTIONAL else {400}
                assert status in expected, field
            is_stored = f"job/{job}" in world.state.keys
            assert is_stored == (field in OPTIONAL), field

    World().play(monkeypatch, scenario)


def test_invalid_field_value_gets_400(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        assert set(INVALID_VALUES) >= set(world.fleet.jobs[world.job()].spec)
        for field, values in INVALID_VALUES.items():
            for value in values:
                await assert_rejected_by_all(world, 400, **{field: value})

    World().play(monkeypatch, scenario)


def test_unschedulable_job_gets_422_from_all_controllers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        for fields in UNSCHEDULABLE:
            await assert_rejected_by_all(world, 422, **fields)

    World().play(monkeypatch, scenario)


def test_repeated_submission_with_changed_fields_gets_200_in_every_job_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cover running, done and cancelled jobs, before and after a crash of the leader.

    Cancelling a job that is done is answered "done".
    """

    async def scenario(world: World) -> None:
        changed_fields = [
            *UNSCHEDULABLE,
            *({f: v[-1]} for f, v in INVALID_VALUES.items() if f != "name_id"),
            {},
        ]
        jobs = {
            "done": await world.run_job("array", 1, run_s=4.0),
            "running": await world.run_job("daemon", 2),
            "cancelled": await world.run_job("daemon", 2, crew="blue"),
        }
        await world.wait_until(lambda: world.running(jobs["cancelled"]) == 2)
        while await world.cancel(jobs["cancelled"], 1) is None:
            await curio.sleep(0.5)
        await world.wait_until_done(jobs["done"])
        for crash_leader in (False, True):
            if crash_leader:
                world.crash(leader_of(world))
            for job_state, job in jobs.items():
                for index, fields in enumerate(changed_fields):
                    number = index % 3
                    if world.is_up(number):
                        assert await world.submit_once(job, number, **fields) == 200, (
                            job_state,
                            fields,
                        )
            for number in range(3):
                if world.is_up(number):
                    assert await world.cancel(jobs["done"], number) == "done"
                    assert await world.cancel(jobs["cancelled"], number) == "cancelled"
        await curio.sleep(5)
        await world.wait_until(lambda: world.running(jobs["running"]) == 2)

    World().play(monkeypatch, scenario)
