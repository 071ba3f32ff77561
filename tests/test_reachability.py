"""One-way partitions, late copies of heartbeats, restarted workers."""

from __future__ import annotations

import random
from collections.abc import Iterable

import curio
import pytest

from micadeal.clock import monotonic, seconds
from micadeal.http.message import Request
from micadeal.wire.codec import decode
from tests.fakes.deployment_settings import LEASE_S
from tests.fakes.workers import FakeWorker
from tests.fakes.world import World, leader_of

#: A lease, the time after it until a silent machine is returned, and a start elsewhere, in seconds.
MOVE_LIMIT_S = LEASE_S + 10


def workers_running(world: World, job: str) -> list[FakeWorker]:
    return [worker for worker, _ in world.tasks_on_machines(job)]


# -- one-way partitions --------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["alone", "crash", "outage"])
def test_tasks_of_an_unreachable_machine_move_and_it_gets_no_new_ones(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 3)
        unreachable = workers_running(world, service)[0]
        world.network.receives_nothing.add(unreachable.name)
        leader = leader_of(world)
        if fault == "crash":
            world.crash(leader)
        world.state.outage = fault == "outage"
        later_jobs = [world.job("array", 2, run_s=5.0, crew="blue") for _ in range(3)]
        if fault == "outage":
            await curio.sleep(6)
            world.state.outage = False
        for job in later_jobs:
            await world.submit(job)
        await world.wait_until(lambda: world.running(service) < 3, limit=LEASE_S + 8)
        moved_after_s = await world.wait_until(
            lambda: world.running(service) == 3, limit=MOVE_LIMIT_S
        )
        assert moved_after_s < MOVE_LIMIT_S
        for job in later_jobs:
            await world.wait_until_done(job)
        assert unreachable not in workers_running(world, service)
        await world.wait_until(lambda: unreachable.name in world.cloud.releases, limit=60)

    world = World().play(monkeypatch, scenario)
    assert max(world.rules.starts.values()) <= 2


def test_machine_that_becomes_reachable_again_is_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        first = await world.run_job("array", 2, run_s=30.0)
        await world.wait_until(lambda: world.running(first) == 2)
        machine = workers_running(world, first)[0]
        world.network.receives_nothing.add(machine.name)
        second = await world.run_job("array", 1, run_s=5.0, crew="blue")
        await curio.sleep(9)
        world.network.receives_nothing.clear()
        await world.wait_until_done(second)
        await world.wait_until_done(first)
        assert machine.incarnation == 1

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_cancelled_gang_ends_in_a_zone_that_receives_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``: a response that was only sent proves no stop and no lease."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=200.0, one_zone=True, crew="blue")
        await world.wait_until(lambda: world.running(service) == 4 and world.running(gang) == 2)
        zone = workers_running(world, gang)[0].zone
        world.network.receives_nothing |= {
            worker.name for worker in world.fleet.workers.values() if worker.zone == zone
        }
        assert await world.cancel(gang, 1) == "cancelled"
        await curio.sleep(3)
        world.crash(leader_of(world))
        await world.wait_until(lambda: not world.tasks_on_machines(gang), limit=30)
        await curio.sleep(LEASE_S)
        await world.wait_until(lambda: world.running(service) == 4, limit=60)
        assert not world.network.receives_nothing & {
            worker.name for worker in workers_running(world, service)
        }

    World().play(monkeypatch, scenario)


def test_leader_whose_responses_reach_no_worker_returns_no_machine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All responses of the leader are lost, rather than those to single machines."""

    async def scenario(world: World) -> None:
        array = await world.run_job("array", 6, run_s=60.0)
        await world.wait_until(lambda: world.running(array) == 6)
        names = set(world.fleet.workers)
        world.network.receives_nothing |= names
        await curio.sleep(25)
        assert not names & set(world.cloud.releases)
        world.network.receives_nothing.clear()
        await world.wait_until_done(array)

    World().play(monkeypatch, scenario)


# -- late copies of heartbeats -------------------------------------------------------------


def _copy_heartbeats(world: World, seed: int, delays: tuple[float, float]) -> None:
    """Deliver half of all heartbeats again later, to a random controller."""
    rng = random.Random(seed)
    controllers = list(world.fleet.controllers.values())

    def copy(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and rng.random() < 0.5:
            yield rng.uniform(*delays), rng.choice(controllers)

    world.network.duplicates = copy


@pytest.mark.parametrize("delays", [(0.5, 6.0), (5.0, 16.0), (15.0, 45.0)])
def test_late_copies_of_heartbeats_have_no_effect(
    monkeypatch: pytest.MonkeyPatch, delays: tuple[float, float]
) -> None:
    """Heartbeats arrive again after the loss of a machine, a reclaim or a crash of the leader."""

    async def scenario(world: World) -> None:
        _copy_heartbeats(world, 7, delays)
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        array = await world.run_job("array", 4, run_s=40.0, crew="blue", loaners=True)
        await world.wait_until(lambda: world.running(service) == 4 and world.running(array) == 4)
        await curio.sleep(8)
        ended_machine = workers_running(world, service)[0]
        world.cloud.remove_machine(ended_machine.name)
        await world.wait_until(lambda: world.running(service) == 4, limit=MOVE_LIMIT_S)
        world.cloud.remove_machine(workers_running(world, array)[0].name)
        world.crash(leader_of(world))
        await world.wait_until(lambda: world.running(service) == 4, limit=MOVE_LIMIT_S)
        later_job = await world.run_job("array", 2, run_s=5.0)
        await world.wait_until_done(later_job)
        await world.wait_until_done(array)

    World().play(monkeypatch, scenario)


def test_copied_heartbeat_of_a_removed_machine_adds_none_at_the_next_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new leader does not know which machines its predecessor removed."""

    async def scenario(world: World) -> None:
        first = await world.run_job("array", 2, run_s=15.0)
        await world.wait_until(lambda: world.running(first) == 2)
        removed_machine = workers_running(world, first)[0]
        heartbeats: list[Request] = []

        def record_heartbeat(
            source: str, address: str, request: Request
        ) -> Iterable[tuple[float, str]]:
            if source == removed_machine.name and request.path == "/checkin":
                heartbeats.append(request)
            return ()

        world.network.duplicates = record_heartbeat
        await world.wait_until_done(first)
        with_running_task = [
            request
            for request in heartbeats
            if any(task["status"] == "running" for task in decode(dict, request.body)["legs"])
        ]
        await world.wait_until(lambda: removed_machine.name in world.cloud.releases)
        old = leader_of(world)
        world.crash(old)
        await world.wait_until(lambda: world.leader() not in (None, old), limit=10)
        await curio.sleep(1)
        leader = f"10.0.0.{leader_of(world) + 1}:8080"
        for number in range(5):
            await world.network.request(
                "late", leader, with_running_task[-1 - number % 2], seconds(4)
            )
            await curio.sleep(2)
        overview = (await world.call(leader_of(world), "GET", "/overview"))[1]
        assert sum(line["up"] + line["booting"] for line in overview["machines"]) == len(
            world.cloud.machines
        )
        await world.wait_until_done(await world.run_job("array", 2, run_s=5.0))

    World().play(monkeypatch, scenario)


# -- restarted workers ---------------------------------------------------------------------


@pytest.mark.parametrize("copied", [False, True])
def test_tasks_of_a_restarted_worker_run_elsewhere_immediately(
    monkeypatch: pytest.MonkeyPatch, copied: bool
) -> None:
    """Guards against tasks that count as running although their worker process is gone.

    If the restart is not detected, they count as running until the new process has sent as many
    heartbeats as the old one, or while late copies of the old one's heartbeats arrive.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 3)
        await curio.sleep(60)
        if copied:
            _copy_heartbeats(world, 3, (0.5, 30.0))
            await curio.sleep(10)
        machine = workers_running(world, service)[0]
        machine.restart()
        await world.wait_until(lambda: machine.name in world.cloud.releases, limit=6)
        # Another machine boots and fetches the image.
        await world.wait_until(lambda: world.running(service) == 3, limit=20)

    world = World().play(monkeypatch, scenario)
    assert max(world.rules.starts.values()) == 2


def test_workers_restart_while_the_next_leader_is_elected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 2, run_s=30.0, crew="blue")
        await world.wait_until(lambda: world.running(service) == 3 and world.running(array) == 2)
        leader = leader_of(world)
        world.crash(leader)
        await curio.sleep(0.3)
        await world.start(leader)
        for worker in list(world.fleet.workers.values())[::2]:
            worker.restart()
        await curio.sleep(1.5)
        world.crash((leader + 1) % 3)
        await curio.sleep(0.2)
        await world.start((leader + 1) % 3)
        await world.wait_until(lambda: world.running(service) == 3, limit=30)
        await world.wait_until_done(array)

    World().play(monkeypatch, scenario)


# -- controllers ---------------------------------------------------------------------------


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("mode", ["silent", "hold"])
def test_controller_that_reaches_only_its_workers_delays_no_other(
    monkeypatch: pytest.MonkeyPatch, leads: bool, mode: str
) -> None:
    """An isolated leader is replaced; an isolated follower reports that it can't serve."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=300.0, crew="blue")
        await world.wait_until(lambda: world.running(service) == 4 and world.running(gang) == 2)
        # All controllers know that the gang runs; otherwise none could rule out a later start
        # without the leader.
        await curio.sleep(2)
        leader = leader_of(world)
        isolated = leader if leads else (leader + 1) % 3
        others = [n for n in range(3) if n != isolated]
        for other in ("state", *(f"c{n}" for n in others)):
            world.network.cut(f"c{isolated}", other, mode)
        await curio.sleep(1)
        assert await world.cancel(gang, others[0]) == "cancelled"
        if not leads:
            world.crash(leader)
        await curio.sleep(8)
        assert (await world.call(isolated, "GET", "/ready"))[0] == 503
        assert world.running(service) == 4
        later_job = await world.run_job("array", 1, run_s=4.0, crew="blue")
        if not leads:
            await world.start(leader)
        started_at = monotonic()
        while await world.status(later_job, others[1]) != "done":
            assert monotonic() - started_at < seconds(90)
            await curio.sleep(1)
        for other in ("state", *(f"c{n}" for n in others)):
            await world.network.heal(f"c{isolated}", other)
        await curio.sleep(20)
        assert world.running(service) == 4 and not world.tasks_on_machines(gang)

    world = World().play(monkeypatch, scenario)
    assert all(
        count == 1 for task, count in world.rules.starts.items() if not task.endswith("gang")
    )


def test_controllers_restart_quickly_many_times_in_a_row(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 4, run_s=40.0, crew="blue")
        await world.wait_until(lambda: world.running(service) == 3)
        cancelled = await world.run_job("array", 2, run_s=200.0, crew="blue")
        await curio.sleep(2)
        for number in (0, 1, 2, 2, 0, 1, 1):
            world.crash(number)
            await curio.sleep(0.2)
            await world.start(number)
            await curio.sleep(0.4)
        assert await world.cancel(cancelled, 1) in ("cancelled", None)
        leader = world.leader()
        if leader is not None:
            world.crash(leader)
            await curio.sleep(0.1)
            await world.start(leader)
        await world.wait_until_done(array)
        assert world.running(service) == 3

    World().play(monkeypatch, scenario)
