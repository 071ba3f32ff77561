"""Stories of a class's largest jobs: they begin in time though capacity is short and small work
keeps coming."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import curio
import pytest

from micadeal.clock import seconds
from micadeal.scheduling.cycle_data import TeamResource
from micadeal.scheduling.reservations import GangReservations, ReservationInputs
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import Picture
from tests.fakes.world import World

#: Operators check it at the end of each day.
BEGIN_IN = 240.0

TEAMS = """
[[cluster.teams]]
name = "red"
gpus = 6.0
gpus_max = 18.0
[[cluster.teams]]
name = "blue"
gpus = 6.0
gpus_max = 18.0
[[cluster.teams]]
name = "grey"
"""


async def _small_work(world: World, crews: list[str], every: float) -> None:
    """Work that takes half a machine keeps coming, more than there is room for."""
    number = 0
    while True:
        number += 1
        crew = crews[number % len(crews)]
        await world.run_job("array", 2, run_s=25.0 + number % 4 * 10, crew=crew)
        await curio.sleep(every)


def _world() -> World:
    world = World(teams=TEAMS, capacity=3)
    world.limits = {"red": 18.0, "blue": 18.0}
    return world


@pytest.mark.parametrize("legs", [2, 3])
@pytest.mark.parametrize("trouble", ["none", "leader"])
def test_a_gang_of_whole_machines_begins_among_small_work(
    monkeypatch: pytest.MonkeyPatch, legs: int, trouble: str
) -> None:
    async def story(world: World) -> None:
        await curio.spawn(_small_work, world, ["red", "blue", "grey"], 2.5, daemon=True)
        await curio.sleep(60)
        gang: dict[str, Any] = {"accelerators": 2.0, "vcpus": 6.0, "one_zone": True}
        large = await world.run_job("gang", legs, run_s=30.0, crew="red", **gang)
        if trouble == "leader":
            await curio.sleep(80)
            leader = world.leader()
            assert leader is not None
            world.crash(leader)
            await curio.sleep(5)
            await world.start(leader)
            await world.until(lambda: world.running(large) == legs, limit=BEGIN_IN - 85)
        else:
            await world.until(lambda: world.running(large) == legs, limit=BEGIN_IN)
        await world.until_done(large)

    _world().play(monkeypatch, story)


def test_a_gang_that_two_zones_half_fit_waits_for_one_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A service keeps a machine of each zone: three whole ones are left in none but the third."""

    async def story(world: World) -> None:
        for zone in ("north", "south"):
            await world.run_job("daemon", 1, rank="production", crew="blue", depot=zone)
        await curio.spawn(_small_work, world, ["red", "blue", "grey"], 2.5, daemon=True)
        await curio.sleep(60)
        gang: dict[str, Any] = {"accelerators": 2.0, "vcpus": 6.0, "one_zone": True}
        large = await world.run_job("gang", 3, run_s=30.0, crew="red", **gang)
        await world.until(lambda: world.running(large) == 3, limit=BEGIN_IN)
        assert {worker.zone for worker, _ in world.held(large)} == {"west"}

    _world().play(monkeypatch, story)


def test_a_guest_without_guarantee_is_served_among_teams_that_want_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One large array of a guest and single jobs behind it begin in time; guarantees are kept."""

    async def story(world: World) -> None:
        await curio.spawn(_small_work, world, ["red", "blue"], 1.5, daemon=True)
        await curio.sleep(60)
        guest = await world.run_job("array", 300, run_s=10.0, crew="grey", rank="low")
        single = [await world.run_job("array", 1, run_s=5.0, crew="grey", rank="low") for _ in "ab"]
        begun: set[str] = set()

        def all_begun() -> bool:
            begun.update(job for job in (guest, *single) if world.running(job))
            return len(begun) == 3

        await world.until(all_begun, limit=BEGIN_IN)
        # Between the end of a task and the next start a team may have one less for a moment.
        kept = [await _used(world) for _ in range(20)]
        assert sum(used["red"] >= 6 and used["blue"] >= 6 for used in kept) >= 15

    _world().play(monkeypatch, story)


async def _used(world: World) -> dict[str, float]:
    await curio.sleep(0.5)
    leader = world.leader()
    assert leader is not None
    teams = (await world.call(leader, "GET", "/overview"))[1]["teams"]
    return {line["name"]: line["used"] for line in teams if line["resource"] == "gpus"}


def test_low_work_gives_way_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the guaranteed: low work of a guest filled every machine of a full cloud."""

    async def story(world: World) -> None:
        low = await world.run_job("array", 60, run_s=60.0, crew="grey", rank="low")
        await world.until(lambda: world.running(low) == 18, limit=60)
        standard = await world.run_job("array", 6, run_s=60.0, crew="red")
        await world.until(lambda: world.running(standard) == 6, limit=10)
        gang: dict[str, Any] = {"accelerators": 2.0, "vcpus": 6.0, "one_zone": True}
        large = await world.run_job("gang", 3, run_s=30.0, crew="blue", **gang)
        await world.until(lambda: world.running(large) == 3, limit=30)
        await world.until_done(low, limit=500)

    _world().play(monkeypatch, story)


def test_two_largest_gangs_that_gather_at_once_both_begin(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        await curio.spawn(_small_work, world, ["red", "blue", "grey"], 2.5, daemon=True)
        await curio.sleep(60)
        gang: dict[str, Any] = {"accelerators": 2.0, "vcpus": 6.0, "one_zone": True}
        jobs = [
            await world.run_job("gang", 3, run_s=30.0, crew=crew, **gang)
            for crew in ("red", "blue")
        ]
        begun: set[str] = set()

        def all_begun() -> bool:
            begun.update(job for job in jobs if world.running(job) == 3)
            return len(begun) == 2

        await world.until(all_begun, limit=BEGIN_IN)

    _world().play(monkeypatch, story)


def test_what_is_gathered_is_not_given_up_since_it_counts_as_used() -> None:
    """Guards against sets that were made and dropped every second: with its machines kept, the team
    had its share, and so no room was gathered for it any more."""
    picture = Picture(12, 0)
    cluster, now = picture.cluster, picture.now
    for _ in range(12):
        picture.submit(
            shape=Shape.ARRAY, priority=Priority.STANDARD, tasks=2, gpus=1.0, cpus=6.0,
            memory_gb=20.0, team=picture.teams[1], spot_allowed=True, one_zone=False,
            spread=False, zone=None, machine_types=None,
        )  # fmt: skip
    picture.scheduler.run_cycle(now)
    gang = picture.submit(
        shape=Shape.GANG, priority=Priority.STANDARD, tasks=2, gpus=2.0, cpus=14.0, one_zone=True,
        team=picture.teams[0], spot_allowed=True, spread=False, zone=None, machine_types=None,
    )  # fmt: skip
    now += seconds(60)
    for machine in cluster.machines.values():
        machine.heard = now
    nobody: frozenset[TeamResource] = frozenset()
    inputs = ReservationInputs(
        cluster, picture.scheduler.instance_offers, picture.scheduler.policy,
        satisfied=nobody, below_guarantee=nobody, spot_scarce=True, now=now,
    )  # fmt: skip
    reservations = GangReservations()
    reservations.refresh(inputs)
    first = reservations.by_job[gang.id]
    satisfied = frozenset({(gang.spec.team, gang.resource)})
    reservations.refresh(replace(inputs, satisfied=satisfied, now=now + seconds(1.5)))
    assert reservations.by_job[gang.id] == first
