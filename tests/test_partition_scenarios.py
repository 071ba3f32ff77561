"""Network partitions and failovers in whole deployments, in memory."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import monotonic
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import LEASE_S
from tests.fakes.scenario_steps import (
    assert_each_task_started_once,
    heal_to_controllers,
    new_leader,
    partition_from_controllers,
)
from tests.fakes.world import World, leader_of


def test_running_work_survives_a_state_service_outage_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The leader continues to renew its workers' leases, since no other controller can lead."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 2, rank="production")
        await world.wait_until(lambda: world.running(service) == 2)
        world.state.outage = True
        await curio.sleep(40)
        assert world.running(service) == 2
        world.state.outage = False
        array = await world.run_job("array", 1, run_s=5.0)
        await world.wait_until_done(array)
        assert world.running(service) == 2

    assert_each_task_started_once(World().play(monkeypatch, scenario))


@pytest.mark.parametrize("mode", ["silent", "hold"])
def test_a_leader_partitioned_from_the_state_service_is_replaced(
    monkeypatch: pytest.MonkeyPatch, mode: str
) -> None:
    """Guards stored records: the old leader's delayed writes arrive after its successor's.

    They must change nothing.  A job cancelled through another controller meanwhile ends in time,
    although the old leader still answers workers.
    """

    async def scenario(world: World) -> None:
        array = await world.run_job("array", 3, run_s=25.0)
        service = await world.run_job("daemon", 1, crew="blue", rank="production")
        await world.wait_until(lambda: world.running(array) == 3 and world.running(service) == 1)
        leader = leader_of(world)
        world.network.cut(f"c{leader}", "state", mode)
        later_job = world.job("array", 2, run_s=10.0)
        await curio.sleep(1)
        assert await world.cancel(service, (leader + 1) % 3) == "cancelled"
        await world.submit(later_job)
        await new_leader(world, leader)
        await curio.sleep(40)
        await world.network.heal(f"c{leader}", "state")
        await world.wait_until_done(array)
        await world.wait_until_done(later_job)
        assert await world.status(service) == "cancelled"

    assert_each_task_started_once(World().play(monkeypatch, scenario))


def test_workers_partitioned_from_the_leader_are_relayed_by_another_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 3)
        leader = leader_of(world)
        workers = [w for w, _ in world.tasks_on_machines(service)]
        for worker in workers[:2]:
            world.network.cut(worker.name, f"c{leader}")
        await curio.sleep(45)
        assert world.running(service) == 3
        assert all(worker.incarnation == 1 for worker in workers)

    assert_each_task_started_once(World().play(monkeypatch, scenario))


def test_tasks_on_machines_returned_before_a_failover_restart_without_a_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting for a second lease expiry.

    The records name tasks on machines that were returned.  The next leader could not tell these
    machines from unreachable ones.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 4, rank="production", accelerators=2.0)
        await world.wait_until(lambda: world.running(service) == 4)
        await curio.sleep(5)
        for worker in world.fleet.workers.values():
            partition_from_controllers(world, worker.name)
        unreachable = set(world.fleet.workers)
        first_leader = leader_of(world)
        world.crash(first_leader)
        await world.wait_until(lambda: unreachable <= set(world.cloud.releases), limit=30)
        await curio.sleep(1)
        second_leader = leader_of(world)
        assert not world.running(service)
        world.crash(second_leader)
        assert await world.wait_until(lambda: world.running(service) == 4, limit=30) < 12
        await curio.sleep(60)
        assert not [key for key in world.state.keys if key.startswith("leaving/")]

    World(boot_s=2.0).play(monkeypatch, scenario)


def test_a_new_leader_keeps_machines_partitioned_before_its_election(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against returning machines as never booted although the cloud lists them as running.

    The machines are reachable again within a minute, and have images cached.
    """

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 4, run_s=70.0, accelerators=2.0)
        await world.wait_until(lambda: world.running(job) == 4)
        await curio.sleep(10)
        unreachable = sorted({worker.name for worker, _ in world.tasks_on_machines(job)})
        for name in unreachable:
            partition_from_controllers(world, name)
        # Their leases have expired, their tasks were restarted elsewhere, and no record names them.
        await curio.sleep(LEASE_S + 14)
        leader = leader_of(world)
        world.crash(leader)
        await curio.sleep(25)
        for name in unreachable:
            await heal_to_controllers(world, name)
        assert not set(unreachable) & set(world.cloud.releases)
        await world.wait_until_done(job)

    World(boot_s=4.0).play(monkeypatch, scenario)


def test_a_worker_reporting_during_an_election_is_answered_by_the_new_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against seconds without capacity after the leader crashed.

    A worker that is refused during the election tries a controller that it can't reach, and waits
    there for its timeout.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 4, rank="production", accelerators=2.0)
        await world.wait_until(lambda: world.running(service) == 4)
        first_leader = leader_of(world)
        partitioned = (first_leader + 2) % 3
        for worker in world.fleet.workers.values():
            world.network.cut(worker.name, f"c{partitioned}")
        world.network.cut(f"c{partitioned}", state_fake.HOST)
        await curio.sleep(10)
        world.crash(first_leader)
        await world.wait_until(lambda: world.leader() not in (None, first_leader))
        elected_at = monotonic().total_seconds()
        workers = {worker for worker, _ in world.tasks_on_machines(service)}
        await world.wait_until(
            lambda: all(worker.lease_renewed_at > elected_at - 3 for worker in workers)
        )
        assert monotonic().total_seconds() - elected_at < 3

    World().play(monkeypatch, scenario)


def test_leases_are_renewed_over_other_controllers_when_the_leader_loses_its_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against redirects that take longer than a lease.

    A worker that left an unresponsive leader and is redirected to it waits for two timeouts of 4 s.
    """

    async def scenario(world: World) -> None:
        # The longest interval that the protocol allows if heartbeats are due every three seconds.
        world.fleet.report_s = 3.75
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 4)
        await curio.sleep(10)
        leader = leader_of(world)
        workers = list(world.fleet.workers.values())
        for worker in workers:
            world.network.cut(worker.name, f"c{leader}")
        await curio.sleep(50)
        for worker in workers:
            await world.network.heal(worker.name, f"c{leader}")
        await curio.sleep(30)
        assert all(worker.incarnation == 1 for worker in workers)

    assert_each_task_started_once(World().play(monkeypatch, scenario))


@pytest.mark.parametrize("fault", ["cut", "hang"])
def test_tasks_of_an_unreachable_machine_restart_after_its_lease_expires(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """Guards ``ran_twice``: no task restarts before the worker has certainly ended it."""

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=60.0)
        await world.wait_until(lambda: world.running(job) == 1)
        worker, _ = world.tasks_on_machines(job)[0]
        if fault == "hang":
            worker.stalled = True
        else:
            partition_from_controllers(world, worker.name, "hold")
        await world.wait_until(lambda: world.rules.starts[f"{job}/0"] == 2, limit=60)
        worker.stalled = False
        await heal_to_controllers(world, worker.name)
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_a_delayed_heartbeat_does_not_make_a_new_leader_restart_a_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_twice``: a heartbeat sent before a task's start reaches the next leader late.

    The heartbeat does not show the task, but it proves nothing, since it was sent before its worker
    received the new token.
    """

    async def scenario(world: World) -> None:
        for _ in range(2):
            await world.cloud.add("north", spot=False, boot_s=0.5)
        await curio.sleep(8)
        leader = leader_of(world)
        old_heartbeats = {
            name: worker._next_heartbeat() for name, worker in world.fleet.workers.items()
        }
        job = await world.run_job("array", 1, run_s=60.0, accelerators=2.0)
        await world.wait_until(lambda: world.running(job) == 1)
        worker, _ = world.tasks_on_machines(job)[0]
        # The next leader can't probe the worker: it receives only the old heartbeat.
        others = [(leader + 1) % 3, (leader + 2) % 3]
        for other in others:
            world.network.cut(worker.name, f"c{other}")
        world.crash(leader)
        successor = await new_leader(world, leader)
        status, _ = await world.call(successor, "POST", "/checkin", old_heartbeats[worker.name])
        assert status == 200
        await curio.sleep(8)
        assert world.rules.starts[f"{job}/0"] == 1
        for other in others:
            await world.network.heal(worker.name, f"c{other}")
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_a_cancelled_job_ends_on_unreachable_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``, which ``World`` checks throughout."""

    async def scenario(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.wait_until(lambda: world.running(job) == 2)
        leader = leader_of(world)
        for worker, _ in world.tasks_on_machines(job):
            world.network.cut(worker.name, f"c{leader}")
        assert await world.cancel(job, (leader + 1) % 3) == "cancelled"
        world.crash(leader)
        await curio.sleep(45)
        assert not world.tasks_on_machines(job)

    World().play(monkeypatch, scenario)


def test_a_one_zone_gang_moves_to_another_zone_only_after_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``wrong_place``, which ``World`` checks throughout.

    A task on an unreachable machine keeps the gang in that machine's zone until the lease expires.
    """

    async def scenario(world: World) -> None:
        world.cloud.capacity.update({("south", False): 0, ("west", False): 0})
        gang = await world.run_job("gang", 2, run_s=60.0, one_zone=True, accelerators=2.0)
        await world.wait_until(lambda: world.running(gang) == 2)
        worker, _ = world.tasks_on_machines(gang)[0]
        world.cloud.capacity.update({("north", False): 0, ("south", False): 4})
        partition_from_controllers(world, worker.name)
        world.cloud.remove_machine(world.tasks_on_machines(gang)[1][0].name)
        await world.wait_until_done(gang)
        # The unreachable machine has been returned meanwhile.
        assert {w.zone for w in world.fleet.workers.values()} == {"south"}

    world = World().play(monkeypatch, scenario)
    assert set(world.rules.starts.values()) == {2}


def test_a_delayed_write_of_a_former_leader_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards stored records: tasks end while the leader's writes are delayed.

    The writes arrive long after the job is done.
    """

    async def scenario(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        for _ in range(2):
            await world.cloud.add("north", spot=False, boot_s=0.5)
        job = await world.run_job("array", 3, run_s=12.0, image_gb=0.1, accelerators=2.0)
        await world.wait_until(lambda: world.running(job) == 2)
        leader = leader_of(world)
        await curio.sleep(11.2)
        assert not world.rules.finished_tasks
        world.network.cut(f"c{leader}", "state", "hold")
        await world.wait_until(lambda: len(world.rules.finished_tasks) == 2, limit=2)
        await new_leader(world, leader)
        await world.wait_until_done(job)
        await curio.sleep(20)
        await world.network.heal(f"c{leader}", "state")
        await curio.sleep(8)
        remaining = [key for key in world.state.keys if key.startswith(("done/", "machine/"))]
        assert remaining == []

    World().play(monkeypatch, scenario)


def test_a_refused_first_direct_command_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a worker that keeps reporting to a former leader.

    The worker refuses the first command, since the machine's record names an earlier incarnation.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 1, rank="production", image_gb=0.1)
        await world.wait_until(lambda: world.running(service) == 1)
        worker, _ = world.tasks_on_machines(service)[0]
        leader = leader_of(world)
        for key, (value, revision, lease) in world.state.keys.items():
            if key.startswith("machine/"):
                world.state.keys[key] = ({**value, "session": 0}, revision, lease)
        world.network.cut(f"c{leader}", "state")
        await new_leader(world, leader)
        leader_item = world.state.keys["leader"]
        await world.wait_until(lambda: worker.token == leader_item[1], limit=6)
        assert world.running(service) == 1

    World().play(monkeypatch, scenario)
