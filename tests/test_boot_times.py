"""Machines that boot late or never, or all boot slowly: no fixed limit decides which are late."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import seconds
from micadeal.fleet.boot_times import BootTimes
from micadeal.fleet.machines import Machine
from tests.fakes.world import World

TYPE_BOOT_TIME = seconds(30)


def _booting(name: str, rented: float) -> Machine:
    return Machine(name, "", "box", "north", True, seconds(rented), seconds(rented))


def test_booting_machine_is_late_once_others_have_overtaken_it() -> None:
    boot_times = BootTimes()
    machine = _booting("m", 100)
    assert not boot_times.is_late(machine, TYPE_BOOT_TIME, seconds(160))
    for number in range(3):
        boot_times.record_boot(_booting(f"n{number}", 101 + number), seconds(132))
    assert not boot_times.is_late(machine, TYPE_BOOT_TIME, seconds(140))
    assert boot_times.is_late(machine, TYPE_BOOT_TIME, seconds(160))
    assert not boot_times.has_timed_out(machine, TYPE_BOOT_TIME, seconds(160))
    assert boot_times.has_timed_out(machine, TYPE_BOOT_TIME, seconds(191))


def test_no_machine_is_late_while_all_boots_are_slow() -> None:
    """Guards against renting many replacements that boot as slowly as the machines they replace."""
    boot_times = BootTimes()
    for number in range(5):
        boot_times.record_boot(_booting(f"before{number}", 10), seconds(40))
    slow = _booting("m", 100)
    assert not boot_times.is_late(slow, TYPE_BOOT_TIME, seconds(230))
    assert not boot_times.has_timed_out(slow, TYPE_BOOT_TIME, seconds(230))
    assert boot_times.has_timed_out(slow, TYPE_BOOT_TIME, seconds(345))


def test_work_waiting_for_a_machine_that_never_boots_is_placed_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        world.cloud.never_boot = {2}
        job = await world.run_job("array", 8, run_s=60.0, accelerators=2.0)
        # If the machine were given up only after three boot times, this would take 10 s longer.
        await world.wait_until(lambda: world.running(job) == 4, limit=36)
        await world.wait_until_done(job)
        await world.wait_until(lambda: "i-000002" in world.cloud.releases, limit=60)

    world = World(boot_s=10.0).play(monkeypatch, scenario)
    assert world.cloud.rentals <= 6


def test_no_machine_is_returned_while_all_boots_are_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        job = world.job("array", 8, run_s=5.0)
        world.cloud.boot_time_factor = 5.0
        await world.submit(job)
        await curio.sleep(45)
        assert not world.cloud.releases
        world.cloud.boot_time_factor = 1.0
        await world.wait_until_done(job)

    world = World(boot_s=10.0).play(monkeypatch, scenario)
    assert world.cloud.rentals <= 5
