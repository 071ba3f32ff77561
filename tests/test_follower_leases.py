"""Followers renew workers' leases while no controller can lead."""

from __future__ import annotations

import curio
import pytest

from tests.fakes.deployment_settings import CANCEL_S, FOLLOWERS_RENEW_AFTER_S, LEASE_S
from tests.fakes.world import World, leader_of


async def _start_service(world: World, tasks: int = 3) -> str:
    """Start a service spread over zones, and wait until followers may renew its leases."""
    service = await world.run_job("daemon", tasks, scatter=True, rank="production")
    await world.wait_until(lambda: world.running(service) == tasks)
    await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
    return service


def _followers(leader: int) -> list[int]:
    return [(leader + 1) % 3, (leader + 2) % 3]


def _all_started_once(world: World, service: str) -> bool:
    tasks = [task for task in world.rules.starts if task.startswith(f"{service}/")]
    return bool(tasks) and all(world.rules.starts[task] == 1 for task in tasks)


@pytest.mark.parametrize("restarts", [True, False])
def test_no_task_is_lost_if_leader_crashes_in_long_outage(
    monkeypatch: pytest.MonkeyPatch, restarts: bool
) -> None:
    async def scenario(world: World) -> None:
        service = await _start_service(world)
        leader = leader_of(world)
        world.state.outage = True
        await curio.sleep(10)
        world.crash(leader)
        await curio.sleep(6)
        if restarts:
            await world.start(leader)
        await curio.sleep(60)
        assert world.running(service) == 3
        world.state.outage = False
        await world.wait_until_done(await world.run_job("array", 1, run_s=5.0))
        assert _all_started_once(world, service)

    World().play(monkeypatch, scenario)


def test_tasks_survive_until_last_controller_with_token_crashes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No task is lost while a controller that knows the token is up.

    After the last of these has crashed, the tasks end when their leases expire; none is started
    twice.
    """

    async def scenario(world: World) -> None:
        service = await _start_service(world)
        leader = leader_of(world)
        followers = _followers(leader)
        world.state.outage = True
        await curio.sleep(5)
        world.crash(leader)
        await curio.sleep(6)
        await world.start(leader)
        await curio.sleep(10)
        world.crash(followers[0])
        await curio.sleep(6)
        await world.start(followers[0])
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 3
        world.crash(followers[1])
        await curio.sleep(6)
        await world.start(followers[1])
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 0
        world.state.outage = False
        await world.wait_until(lambda: world.running(service) == 3)

    World().play(monkeypatch, scenario)


def test_tasks_of_partitioned_zone_are_restarted_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_twice``: a controller that reaches no other one does not renew leases.

    The zone's controller reaches neither its peers nor the state service.  The tasks are started
    elsewhere after their leases have expired.
    """

    async def scenario(world: World) -> None:
        service = await _start_service(world)
        leader = leader_of(world)
        inside, outside = _followers(leader)
        worker = world.tasks_on_machines(service)[0][0]
        for number in (leader, outside):
            world.network.cut(f"c{inside}", f"c{number}")
            world.network.cut(worker.name, f"c{number}")
        world.network.cut(f"c{inside}", "state")
        await curio.sleep(1)
        restarted_after_s = await world.wait_until(
            lambda: sum(other is not worker for other, _ in world.tasks_on_machines(service)) == 3,
            limit=LEASE_S + 14,
        )
        assert restarted_after_s > LEASE_S - 4

    World(boot_s=2.0).play(monkeypatch, scenario)


@pytest.mark.parametrize("reaches_state", [True, False])
def test_leader_does_not_restart_tasks_whose_leases_followers_renew(
    monkeypatch: pytest.MonkeyPatch, reaches_state: bool
) -> None:
    """Guards ``ran_twice``: one worker reaches only the two followers, which renew its lease.

    The other workers reach the leader.  In one case the leader reaches the state service
    throughout.
    """

    async def scenario(world: World) -> None:
        service = await _start_service(world)
        leader = leader_of(world)
        followers = _followers(leader)
        for follower in followers:
            world.network.cut(f"c{follower}", f"c{leader}")
            world.network.cut(f"c{follower}", "state")
        if not reaches_state:
            world.state.outage = True
        worker = world.tasks_on_machines(service)[0][0]
        world.network.cut(worker.name, f"c{leader}")
        await curio.sleep(60)
        world.state.outage = False
        await curio.sleep(40)
        for follower in followers:
            await world.network.heal(f"c{follower}", f"c{leader}")
            await world.network.heal(f"c{follower}", "state")
        await world.network.heal(worker.name, f"c{leader}")
        await world.wait_until(lambda: world.running(service) == 3)

    World().play(monkeypatch, scenario)


def test_followers_enforce_cancellation_from_before_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``, which ``World`` checks.

    The leader confirms a cancellation without reaching the machines, then crashes.  Only one
    follower has received its cancellation notice.
    """

    async def scenario(world: World) -> None:
        service = await _start_service(world)
        cancelled_job = await world.run_job("daemon", 2, crew="blue")
        await world.wait_until(lambda: world.running(cancelled_job) == 2)
        leader = leader_of(world)
        for worker, _ in world.tasks_on_machines(cancelled_job):
            world.network.cut(worker.name, f"c{leader}")
        # The leader's cancellation notice reaches only one of the followers.
        world.network.cut(f"c{leader}", f"c{(leader + 2) % 3}")
        assert await world.cancel(cancelled_job, leader) == "cancelled"
        world.crash(leader)
        world.state.outage = True
        await curio.sleep(CANCEL_S + 20)
        assert not world.tasks_on_machines(cancelled_job)
        assert world.running(service) == 3
        world.state.outage = False
        await curio.sleep(10)

    World().play(monkeypatch, scenario)


def test_cancellation_unknown_to_peers_is_not_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The cancellation is recorded, and the job's tasks are stopped immediately.

    A leader confirms it to the user when no task is left, a follower when its peers can learn of
    it.
    """

    async def scenario(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.wait_until(lambda: world.running(job) == 2)
        leader = leader_of(world)
        for follower in _followers(leader):
            world.network.cut(f"c{leader}", f"c{follower}")
        worker, _ = world.tasks_on_machines(job)[0]
        world.network.cut(worker.name, f"c{leader}")
        assert await world.cancel(job, leader) is None
        await world.network.heal(worker.name, f"c{leader}")
        await world.wait_until(lambda: not world.tasks_on_machines(job), limit=6)
        await curio.sleep(3)
        assert await world.cancel(job, leader) == "cancelled"
        follower = (leader + 1) % 3
        world.network.cut(f"c{follower}", f"c{(leader + 2) % 3}")
        assert await world.status(job, follower) is None
        await world.network.heal(f"c{follower}", f"c{(leader + 2) % 3}")
        assert await world.status(job, follower) == "cancelled"

    World().play(monkeypatch, scenario)


def test_outage_ends_during_partition_between_controllers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Transactions and heartbeats from before the outage arrive when the partition ends."""

    async def scenario(world: World) -> None:
        service = await _start_service(world)
        array = await world.run_job("array", 3, run_s=50.0)
        await world.wait_until(lambda: world.running(array) == 3)
        leader = leader_of(world)
        other = (leader + 1) % 3
        world.network.cut(f"c{leader}", "state", "hold")
        world.network.cut(f"c{other}", f"c{leader}", "hold")
        for worker, _ in world.tasks_on_machines(service)[:2]:
            world.network.cut(worker.name, f"c{leader}", "hold")
        world.state.outage = True
        await curio.sleep(30)
        world.state.outage = False
        await curio.sleep(25)
        await world.network.heal(f"c{leader}", "state")
        for worker in list(world.fleet.workers.values()):
            await world.network.heal(worker.name, f"c{leader}")
        await curio.sleep(5)
        await world.network.heal(f"c{other}", f"c{leader}")
        await world.wait_until_done(array)
        await world.wait_until(lambda: world.running(service) == 3)

    World().play(monkeypatch, scenario)


def test_machine_stalls_during_handover_from_follower_to_new_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine resumes within its lease under a new leader, after spot machines were reclaimed."""

    async def scenario(world: World) -> None:
        service = await _start_service(world)
        spot = await world.run_job("array", 2, run_s=300.0, loaners=True, crew="blue")
        await world.wait_until(lambda: world.running(spot) == 2)
        leader = leader_of(world)
        world.state.outage = True
        await curio.sleep(2)
        world.crash(leader)
        await curio.sleep(20)
        stalled_worker = world.tasks_on_machines(service)[0][0]
        stalled_worker.stalled = True
        await curio.sleep(3)
        for name in {w.name for w, _ in world.tasks_on_machines(spot) if w.spot}:
            world.cloud.remove_machine(name)
        await curio.sleep(2)
        world.state.outage = False
        await world.wait_until(lambda: world.leader() not in (None, leader), limit=10)
        await curio.sleep(2)
        stalled_worker.stalled = False
        await world.wait_until(lambda: world.running(spot) == 2)
        assert _all_started_once(world, service)

    World().play(monkeypatch, scenario)


def test_no_follower_renews_leases_beside_earlier_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``: the earlier version confirms cancellations alone.

    Once it has been replaced and those cancellations are too old to matter, followers may renew
    leases.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        earlier = (leader_of(world) + 1) % 3
        world.crash(earlier)
        await world.start(earlier, before_dependencies=True)
        service = await _start_service(world)
        world.state.outage = True
        await curio.sleep(3)
        world.crash(leader_of(world))
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 0
        world.state.outage = False
        for number in range(3):
            world.crash(number)
            await curio.sleep(3)
            await world.start(number)
        await world.wait_until(lambda: world.running(service) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        world.state.outage = True
        await curio.sleep(3)
        world.crash(leader_of(world))
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 3
        world.state.outage = False

    World().play(monkeypatch, scenario)
