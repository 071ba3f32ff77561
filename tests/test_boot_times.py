"""Machines that come up late or never, or all of them slowly: evidence decides, no fixed time."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import seconds
from micadeal.fleet.boot_times import BootTimes
from micadeal.fleet.machines import Machine
from tests.fakes.world import World

USUAL = seconds(30)


def _machine(name: str, rented: float) -> Machine:
    return Machine(name, "", "box", "north", True, seconds(rented), seconds(rented))


def test_a_machine_is_late_once_others_have_overtaken_it() -> None:
    boot_times = BootTimes()
    never = _machine("m", 100)
    assert not boot_times.late(never, USUAL, seconds(160))
    for number in range(3):
        boot_times.record_boot(_machine(f"n{number}", 101 + number), seconds(132))
    assert not boot_times.late(never, USUAL, seconds(140))
    assert boot_times.late(never, USUAL, seconds(160))
    assert not boot_times.given_up(never, USUAL, seconds(160))
    assert boot_times.given_up(never, USUAL, seconds(191))


def test_where_all_boots_are_slow_none_is_late() -> None:
    """Guards against a storm of rentals: each would be as slow as what it was to replace."""
    boot_times = BootTimes()
    for number in range(5):
        boot_times.record_boot(_machine(f"before{number}", 10), seconds(40))
    slow = _machine("m", 100)
    assert not boot_times.late(slow, USUAL, seconds(230))
    assert not boot_times.given_up(slow, USUAL, seconds(230))
    assert boot_times.given_up(slow, USUAL, seconds(345))


def test_work_that_waits_on_a_machine_that_never_boots_gets_room_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        world.cloud.never_boot = {2}
        job = await world.run_job("array", 8, run_s=60.0, accelerators=2.0)
        # Given up after three boot times only, it would be replaced ten seconds later.
        await world.until(lambda: world.running(job) == 4, limit=36)
        await world.until_done(job)
        await world.until(lambda: "i-000002" in world.cloud.releases, limit=60)

    world = World(boot_s=10.0).play(monkeypatch, story)
    assert world.cloud.rentals <= 6


def test_no_machine_is_given_up_while_all_are_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        job = world.job("array", 8, run_s=5.0)
        world.cloud.slow = 5.0
        await world.submit(job)
        await curio.sleep(45)
        assert not world.cloud.releases
        world.cloud.slow = 1.0
        await world.until_done(job)

    world = World(boot_s=10.0).play(monkeypatch, story)
    assert world.cloud.rentals <= 5
