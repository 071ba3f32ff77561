"""Scenarios on a deployment in memory: three controllers, workers, cloud and state service."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import monotonic
from tests.fakes.scenario_steps import assert_each_task_started_once, new_leader
from tests.fakes.world import World, leader_of


def test_an_array_a_gang_and_a_service_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        array = await world.run_job("array", 4, loaners=True)
        gang = await world.run_job("gang", 3, one_zone=True, crew="blue")
        service = await world.run_job("daemon", 2, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 2)
        await world.wait_until_done(array)
        await world.wait_until_done(gang)
        assert await world.status(service, 1) == "running"
        assert await world.cancel(service, 2) == "cancelled"
        await world.wait_until(lambda: not world.tasks_on_machines(service), limit=10)
        assert await world.status(service, 0) == "cancelled"
        await world.wait_until(lambda: not world.cloud.machines, limit=200)

    assert_each_task_started_once(World().play(monkeypatch, scenario))


def test_a_crashed_leader_is_replaced_and_nothing_runs_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        jobs = [await world.run_job("array", 3, run_s=30.0) for _ in range(2)]
        await world.wait_until(lambda: sum(map(world.running, jobs)) >= 4)
        leader = leader_of(world)
        world.crash(leader)
        later_job = await world.run_job("array", 1, crew="blue", run_s=5.0)
        await new_leader(world, leader)
        await curio.sleep(5)
        await world.start(leader)
        for job in [*jobs, later_job]:
            await world.wait_until_done(job)

    assert_each_task_started_once(World().play(monkeypatch, scenario))


def test_running_work_survives_a_crash_of_all_controllers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 4, run_s=40.0)
        service = await world.run_job("daemon", 1, rank="production", crew="blue")
        await world.wait_until(lambda: world.running(job) == 4 and world.running(service) == 1)
        for number in range(3):
            world.crash(number)
        await curio.sleep(6)
        for number in range(3):
            await world.start(number)
        await curio.sleep(4)
        assert world.running(service) == 1
        await world.wait_until_done(job)

    assert_each_task_started_once(World().play(monkeypatch, scenario))


def test_a_cancellation_wins_over_a_start_in_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        warm_up = await world.run_job("daemon", 1, run_s=1.0)
        await world.wait_until(lambda: world.running(warm_up) == 1)
        for wait in (0.0, 0.02, 0.1, 0.5, 1.0, 2.0):
            job = await world.run_job("array", 1, run_s=90.0)
            await curio.sleep(wait)
            assert await world.cancel(job, 1) == "cancelled"
            await curio.sleep(6)
            assert not world.tasks_on_machines(job)

    World().play(monkeypatch, scenario)


def test_a_team_never_exceeds_its_quota(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards ``quota`` during a failover and a cancellation; ``World`` checks it continuously."""

    async def scenario(world: World) -> None:
        jobs = [await world.run_job("array", 6, run_s=20.0) for _ in range(4)]
        await world.wait_until(lambda: sum(map(world.running, jobs)) == 8)
        leader = leader_of(world)
        assert await world.cancel(jobs[0], leader) == "cancelled"
        world.crash(leader)
        await curio.sleep(5)
        await world.start(leader)
        for job in jobs[1:]:
            await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_a_gang_that_loses_a_machine_restarts_as_a_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        gang = await world.run_job("gang", 3, run_s=40.0, one_zone=True, accelerators=2.0)
        await world.wait_until(lambda: world.running(gang) == 3)
        world.cloud.remove_machine(world.tasks_on_machines(gang)[0][0].name)
        await world.wait_until(
            lambda: world.running(gang) == 3 and len(world.rules.starts) == 3, limit=90
        )
        await world.wait_until_done(gang)

    world = World().play(monkeypatch, scenario)
    assert set(world.rules.starts.values()) == {2}


def test_a_spot_reclaim_notice_makes_tasks_checkpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=60.0, loaners=True, bookmark_s=30.0, stow_s=2.0)
        await world.wait_until(lambda: world.running(job) == 1)
        worker, _ = world.tasks_on_machines(job)[0]
        assert worker.spot
        await curio.sleep(20)
        worker.reclaim_expected_at = monotonic().total_seconds() + 15
        await curio.sleep(15)
        world.cloud.remove_machine(worker.name)
        await world.wait_until_done(job)
        assert world.fleet.jobs[job].progress > 15

    World().play(monkeypatch, scenario)


def test_a_job_that_fails_everywhere_backs_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a weakness that the design names.

    A job that fails on every machine stays permanently below its fair share.
    """

    async def scenario(world: World) -> None:
        failing = await world.run_job("array", 8, fails=True, accelerators=2.0)
        healthy = [await world.run_job("array", 4, crew="blue", run_s=15.0) for _ in range(3)]
        for job in healthy:
            await world.wait_until_done(job)
        await curio.sleep(60)
        assert await world.status(failing) in ("pending", "running")
        assert await world.cancel(failing) == "cancelled"

    world = World().play(monkeypatch, scenario)
    starts = sum(
        count for task, count in world.rules.starts.items() if task.startswith("req-000001/")
    )
    assert 3 <= starts <= 16


def test_a_faulty_machine_is_drained_and_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 1, accelerators=1.0)
        await world.wait_until(lambda: world.running(service) == 1)
        worker, _ = world.tasks_on_machines(service)[0]
        world.fleet.faulty.add(worker.name)
        jobs = [await world.run_job("array", 1, crew="blue", run_s=10.0) for _ in range(3)]
        for job in jobs:
            await world.wait_until_done(job)
        assert await world.cancel(service) == "cancelled"
        await world.wait_until(lambda: worker.name in world.cloud.releases, limit=30)

    World().play(monkeypatch, scenario)


def test_a_machine_that_never_boots_is_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        world.cloud.never_boot = {1}
        job = await world.run_job("array", 1, run_s=10.0)
        await world.wait_until_done(job)
        assert "i-000001" in world.cloud.releases

    World().play(monkeypatch, scenario)


def test_refused_rentals_are_retried_in_other_zones(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        world.cloud.capacity.update({("north", True): 0, ("south", True): 0, ("west", True): 0})
        world.cloud.capacity.update({("north", False): 0, ("south", False): 1})
        job = await world.run_job("array", 6, run_s=10.0, loaners=True)
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_an_idle_machine_that_no_controller_rented_is_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(5)
        name = await world.cloud.add("north", spot=False, boot_s=1.0)
        await world.wait_until(lambda: name in world.cloud.releases, limit=120)

    World().play(monkeypatch, scenario)


def test_production_preempts_batch_work_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        for _ in range(3):
            await world.cloud.add("north", spot=False, boot_s=0.5)
        batch = await world.run_job("array", 6, run_s=300.0, bookmark_s=5.0, stow_s=1.0)
        await world.wait_until(lambda: world.running(batch) == 6)
        service = await world.run_job("daemon", 1, rank="production", crew="blue")
        assert await world.wait_until(lambda: world.running(service) == 1, limit=20) < 12

    World().play(monkeypatch, scenario)


def test_a_starved_team_preempts_up_to_its_guarantee(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        for _ in range(4):
            await world.cloud.add("north", spot=False, boot_s=0.5)
        over_guarantee = await world.run_job("array", 8, run_s=400.0, crew="blue")
        await world.wait_until(lambda: world.running(over_guarantee) == 8)
        starved = await world.run_job("array", 8, run_s=400.0)
        await curio.sleep(10)
        assert world.running(starved) == 0
        await world.wait_until(lambda: world.running(starved) == 4, limit=40)
        await curio.sleep(40)
        assert (world.running(starved), world.running(over_guarantee)) == (4, 4)

    World().play(monkeypatch, scenario)


def test_spot_reclaims_during_a_crash_of_all_controllers_lose_no_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        jobs = [await world.run_job("array", 4, run_s=25.0, loaners=True) for _ in range(2)]
        await world.wait_until(lambda: sum(map(world.running, jobs)) >= 6)
        for number in range(3):
            world.crash(number)
        for name in [m.name for m in world.cloud.machines.values() if m.spot][:2]:
            world.cloud.remove_machine(name)
        await curio.sleep(5)
        for number in range(3):
            await world.start(number)
        for job in jobs:
            await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_a_rolling_restart_of_the_controllers_loses_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 2, scatter=True, rank="production")
        jobs = [await world.run_job("array", 3, run_s=25.0, loaners=True) for _ in range(2)]
        await world.wait_until(lambda: world.running(service) == 2)
        for number in range(3):
            world.crash(number)
            jobs.append(await world.run_job("array", 1, run_s=5.0))
            await curio.sleep(5)
            await world.start(number)
            await curio.sleep(5)
        for job in jobs:
            await world.wait_until_done(job)
        assert world.running(service) == 2

    assert_each_task_started_once(World().play(monkeypatch, scenario))


@pytest.mark.parametrize(("notice", "limit"), [(4.0, 10), (None, 14)])
def test_tasks_of_a_reclaimed_machine_restart_before_its_lease_expires(
    monkeypatch: pytest.MonkeyPatch, notice: float | None, limit: float
) -> None:
    """Guards against waiting for the lease of 14 s although the machine is certainly gone.

    The machine had a reclaim notice, or the cloud no longer lists it.  The cloud's confirmation
    makes it certain.
    """

    async def scenario(world: World) -> None:
        # By its owner's estimate the task ends before the machine is reclaimed, so it is not moved.
        job = await world.run_job("array", 1, run_s=60.0, expect_s=1.0, loaners=True, image_gb=0.5)
        await world.wait_until(lambda: world.running(job) == 1)
        await curio.sleep(15)
        worker, _ = world.tasks_on_machines(job)[0]
        if notice is not None:
            worker.reclaim_expected_at = monotonic().total_seconds() + notice
            await curio.sleep(notice)
        world.cloud.remove_machine(worker.name)
        assert await world.wait_until(lambda: world.running(job) == 1, limit=60) < limit
        await world.wait_until_done(job)

    World(boot_s=2.0).play(monkeypatch, scenario)


def test_tasks_that_can_neither_checkpoint_nor_end_leave_a_reclaimed_machine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        long = await world.run_job("array", 1, run_s=90.0, loaners=True, expect_s=90.0)
        short = await world.run_job("array", 1, run_s=20.0, loaners=True, expect_s=20.0)
        await world.wait_until(lambda: world.running(long) == 1 and world.running(short) == 1)
        worker, _ = world.tasks_on_machines(long)[0]
        assert world.tasks_on_machines(short)[0][0] is worker
        await curio.sleep(5)
        worker.reclaim_expected_at = monotonic().total_seconds() + 25
        await curio.sleep(8)
        # The long task restarts on another machine.  The short one goes on and ends in time.
        assert all(w is not worker for w, _ in world.tasks_on_machines(long))
        assert world.running(short) == 1
        await world.wait_until(lambda: world.running(long) == 1, limit=12)
        await world.wait_until_done(short)
        world.cloud.remove_machine(worker.name)
        await world.wait_until_done(long)

    world = World(boot_s=4.0).play(monkeypatch, scenario)
    assert sorted(world.rules.starts.values()) == [1, 2]
