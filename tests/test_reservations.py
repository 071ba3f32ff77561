"""Large jobs start in time although capacity is short and small jobs keep arriving."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import curio
import pytest

from micadeal.clock import seconds
from micadeal.scheduling.cycle_data import TeamResource
from micadeal.scheduling.reservations import GangReservations, ReservationInputs
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import RandomDeployment
from tests.fakes.world import World, leader_of

#: Limit of the time to start, in seconds; operators check it at the end of each day.
START_LIMIT_S = 240.0

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


#: Size of gang tasks that leave no room for other tasks on their machines.
WHOLE_MACHINES: dict[str, Any] = {"accelerators": 2.0, "vcpus": 6.0, "one_zone": True}


async def _submit_small_jobs(world: World, teams: list[str], interval_s: float) -> None:
    """Keep submitting tasks of half a machine, more than there is capacity for."""
    number = 0
    while True:
        number += 1
        team = teams[number % len(teams)]
        await world.run_job("array", 2, run_s=25.0 + number % 4 * 10, crew=team)
        await curio.sleep(interval_s)


async def _saturate(world: World, teams: list[str], interval_s: float) -> None:
    """Submit small jobs in the background, and wait until they fill the cluster."""
    await curio.spawn(_submit_small_jobs, world, teams, interval_s, daemon=True)
    await curio.sleep(60)


def _world() -> World:
    world = World(teams=TEAMS, capacity=3)
    world.rules.team_limits = {"red": 18.0, "blue": 18.0}
    return world


@pytest.mark.parametrize("tasks", [2, 3])
@pytest.mark.parametrize("fault", ["none", "leader"])
def test_a_gang_of_whole_machines_starts_among_small_jobs(
    monkeypatch: pytest.MonkeyPatch, tasks: int, fault: str
) -> None:
    async def scenario(world: World) -> None:
        await _saturate(world, ["red", "blue", "grey"], 2.5)
        large = await world.run_job("gang", tasks, run_s=30.0, crew="red", **WHOLE_MACHINES)
        if fault == "leader":
            await curio.sleep(80)
            leader = leader_of(world)
            world.crash(leader)
            await curio.sleep(5)
            await world.start(leader)
            await world.wait_until(lambda: world.running(large) == tasks, limit=START_LIMIT_S - 85)
        else:
            await world.wait_until(lambda: world.running(large) == tasks, limit=START_LIMIT_S)
        await world.wait_until_done(large)

    _world().play(monkeypatch, scenario)


def test_a_one_zone_gang_waits_for_the_only_zone_that_can_hold_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Services run in two of the zones: only the third has three whole machines left."""

    async def scenario(world: World) -> None:
        for zone in ("north", "south"):
            await world.run_job("daemon", 1, rank="production", crew="blue", depot=zone)
        await _saturate(world, ["red", "blue", "grey"], 2.5)
        large = await world.run_job("gang", 3, run_s=30.0, crew="red", **WHOLE_MACHINES)
        await world.wait_until(lambda: world.running(large) == 3, limit=START_LIMIT_S)
        assert {worker.zone for worker, _ in world.tasks_on_machines(large)} == {"west"}

    _world().play(monkeypatch, scenario)


def test_a_team_without_guarantee_is_served_beside_saturating_teams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A large array and single jobs behind it start in time; guarantees of others are kept."""

    async def scenario(world: World) -> None:
        await _saturate(world, ["red", "blue"], 1.5)
        large = await world.run_job("array", 300, run_s=10.0, crew="grey", rank="low")
        single = [await world.run_job("array", 1, run_s=5.0, crew="grey", rank="low") for _ in "ab"]
        started: set[str] = set()

        def all_started() -> bool:
            started.update(job for job in (large, *single) if world.running(job))
            return len(started) == 3

        await world.wait_until(all_started, limit=START_LIMIT_S)
        # Between the end of a task and the next start a team may briefly use one less.
        samples = [await _sample_usage(world) for _ in range(20)]
        assert sum(used["red"] >= 6 and used["blue"] >= 6 for used in samples) >= 15

    _world().play(monkeypatch, scenario)


async def _sample_usage(world: World) -> dict[str, float]:
    """Return the accelerators that each team uses, half a second from now."""
    await curio.sleep(0.5)
    leader = leader_of(world)
    teams = (await world.call(leader, "GET", "/overview"))[1]["teams"]
    return {line["name"]: line["used"] for line in teams if line["resource"] == "gpus"}


def test_low_priority_work_is_preempted_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards guarantees: low-priority work of a team without a guarantee filled every machine."""

    async def scenario(world: World) -> None:
        low = await world.run_job("array", 60, run_s=60.0, crew="grey", rank="low")
        await world.wait_until(lambda: world.running(low) == 18, limit=60)
        standard = await world.run_job("array", 6, run_s=60.0, crew="red")
        await world.wait_until(lambda: world.running(standard) == 6, limit=10)
        large = await world.run_job("gang", 3, run_s=30.0, crew="blue", **WHOLE_MACHINES)
        await world.wait_until(lambda: world.running(large) == 3, limit=30)
        await world.wait_until_done(low, limit=500)

    _world().play(monkeypatch, scenario)


def test_two_gangs_with_concurrent_reservations_both_start(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        await _saturate(world, ["red", "blue", "grey"], 2.5)
        jobs = [
            await world.run_job("gang", 3, run_s=30.0, crew=crew, **WHOLE_MACHINES)
            for crew in ("red", "blue")
        ]
        started: set[str] = set()

        def all_started() -> bool:
            started.update(job for job in jobs if world.running(job) == 3)
            return len(started) == 2

        await world.wait_until(all_started, limit=START_LIMIT_S)

    _world().play(monkeypatch, scenario)


def test_a_reservation_is_kept_although_it_satisfies_the_team() -> None:
    """Guards against reservations that were made and dropped every second.

    With its machines reserved the team had its share, and so lost the reservation again.
    """
    deployment = RandomDeployment(12, 0)
    cluster, now = deployment.cluster, deployment.now
    for _ in range(12):
        deployment.submit(
            shape=Shape.ARRAY, priority=Priority.STANDARD, tasks=2, gpus=1.0, cpus=6.0,
            memory_gb=20.0, team=deployment.teams[1], spot_allowed=True, one_zone=False,
            spread=False, zone=None, machine_types=None,
        )  # fmt: skip
    deployment.scheduler.run_cycle(now)
    gang = deployment.submit(
        shape=Shape.GANG, priority=Priority.STANDARD, tasks=2, gpus=2.0, cpus=14.0, one_zone=True,
        team=deployment.teams[0], spot_allowed=True, spread=False, zone=None, machine_types=None,
    )  # fmt: skip
    now += seconds(60)
    for machine in cluster.machines.values():
        machine.last_heartbeat_at = now
    no_teams: frozenset[TeamResource] = frozenset()
    inputs = ReservationInputs(
        cluster, deployment.scheduler.instance_offers, deployment.scheduler.policy,
        satisfied=no_teams, below_guarantee=no_teams, spot_scarce=True, now=now,
    )  # fmt: skip
    reservations = GangReservations()
    reservations.refresh(inputs)
    first = reservations.by_job[gang.id]
    satisfied = frozenset({(gang.spec.team, gang.resource)})
    reservations.refresh(replace(inputs, satisfied=satisfied, now=now + seconds(1.5)))
    assert reservations.by_job[gang.id] == first
