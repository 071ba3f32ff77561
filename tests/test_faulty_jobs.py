"""Jobs that fail on every machine because of their own errors, as opposed to faulty machines."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.scheduling.machine_inventory import MachineInventory
from micadeal.scheduling.machine_monitor import MachineMonitor
from tests.fakes.random_clusters import RandomDeployment
from tests.fakes.submissions import spec
from tests.fakes.world import World, leader_of


def test_jobs_that_always_fail_drain_no_machine_and_are_retried_rarely(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        good = [await world.run_job("array", 2, run_s=50.0, crew="blue") for _ in range(3)]
        bad = [
            await world.run_job("array", 6, fails=True),
            await world.run_job("gang", 3, fails=True, crew="blue"),
            await world.run_job("daemon", 3, fails=True, rank="production"),
            await world.run_job("array", 4, fails=True, crew="blue"),
        ]
        await curio.sleep(90)
        starts = sum(
            world.rules.starts[task] for task in world.rules.starts if task.split("/")[0] in bad
        )
        assert starts < 60
        leader = leader_of(world)
        notes = (await world.call(leader, "GET", "/overview"))[1]["notes"]
        assert not any("failed tasks of several jobs" in note for note in notes)
        why = (await world.call(leader, "GET", f"/why/{bad[0]}"))[1]
        assert any("most likely by its own mistake" in line["reason"] for line in why["reasons"])
        for job in good:
            await world.wait_until_done(job)
        for job in bad:
            assert await world.cancel(job, 1) == "cancelled"
        await world.wait_until(lambda: not world.cloud.machines, limit=120)

    World().play(monkeypatch, scenario)


def test_a_service_regains_all_replicas_after_failures_on_faulty_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the number of replicas of a service after errors on two machines.

    After such errors, only one task of a job was tried at a time.  A service is never done, so a
    replica lost later was not replaced while another one ran.
    """

    async def scenario(world: World) -> None:
        world.fleet.faulty |= {"i-000001", "i-000002"}
        service = await world.run_job("daemon", 4, rank="production", scatter=True)
        await world.wait_until(lambda: world.running(service) == 4, limit=200)
        await curio.sleep(40)
        lost = next(worker.name for worker, _ in world.tasks_on_machines(service))
        world.cloud.remove_machine(lost)
        await world.wait_until(lambda: world.running(service) == 4, limit=45)

    World().play(monkeypatch, scenario)


def test_errors_mark_a_machine_faulty_only_if_its_jobs_run_elsewhere() -> None:
    cluster = RandomDeployment(machines=4, jobs=0).cluster
    inventory = MachineInventory(cluster, InstanceOffers())
    monitor = MachineMonitor(cluster, inventory, seconds(0))
    machine, other = list(cluster.machines.values())[:2]
    jobs = [Job(spec(job_id=f"req-{n}"), seconds(0), 1) for n in range(3)]
    for job in jobs:
        cluster.add_job(job)
        job.errors[machine.name] += 1
        machine.errors.add(job.id)
    now = seconds(500)
    assert monitor.is_faulty(machine, now)
    jobs[0].errors[other.name] += 1
    assert not monitor.is_faulty(machine, now)
    jobs[1].add(_running_attempt(jobs[1], other))
    assert monitor.is_faulty(machine, now)
    jobs[1].errors[other.name] += 1
    assert not monitor.is_faulty(machine, now)


def _running_attempt(job: Job, machine: Machine) -> Attempt:
    attempt = Attempt(job.id, 0, 1, machine.name, seconds(480))
    attempt.running_since = seconds(490)
    return attempt
