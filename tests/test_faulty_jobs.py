"""Stories of jobs that were submitted with a mistake, and fail on every machine until cancelled."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import Job
from micadeal.scheduling.machine_inventory import MachineInventory
from micadeal.scheduling.machine_monitor import MachineMonitor
from tests.fakes.random_clusters import Picture
from tests.fakes.submissions import spec
from tests.fakes.world import World


def test_jobs_with_a_mistake_cost_no_machine_and_few_tries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        good = [await world.run_job("array", 2, run_s=50.0, crew="blue") for _ in range(3)]
        bad = [
            await world.run_job("array", 6, fails=True),
            await world.run_job("gang", 3, fails=True, crew="blue"),
            await world.run_job("daemon", 3, fails=True, rank="production"),
            await world.run_job("array", 4, fails=True, crew="blue"),
        ]
        await curio.sleep(90)
        tries = sum(world.starts[task] for task in world.starts if task.split("/")[0] in bad)
        assert tries < 60
        leader = world.leader()
        assert leader is not None
        notes = (await world.call(leader, "GET", "/overview"))[1]["notes"]
        assert not any("failed tasks of several jobs" in note for note in notes)
        why = (await world.call(leader, "GET", f"/why/{bad[0]}"))[1]
        assert any("most likely by its own mistake" in line["reason"] for line in why["reasons"])
        for job in good:
            await world.until_done(job)
        for job in bad:
            assert await world.cancel(job, 1) == "cancelled"
        await world.until(lambda: not world.cloud.machines, limit=120)

    World().play(monkeypatch, story)


def test_a_service_that_failed_on_faulty_machines_is_whole_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards replicas: with errors on two machines one task was tried at a time, and a service is
    never done, so what was lost later was not replaced as long as another replica ran."""

    async def story(world: World) -> None:
        world.fleet.faulty |= {"i-000001", "i-000002"}
        service = await world.run_job("daemon", 4, rank="production", scatter=True)
        await world.until(lambda: world.running(service) == 4, limit=200)
        await curio.sleep(40)
        lost = next(worker.name for worker, _ in world.held(service))
        world.cloud.take(lost)
        await world.until(lambda: world.running(service) == 4, limit=45)

    World().play(monkeypatch, story)


def test_errors_point_to_a_machine_only_as_far_as_its_jobs_run_elsewhere() -> None:
    cluster = Picture(machines=4, jobs=0).cluster
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
    jobs[1].add(_running(jobs[1], other))
    assert monitor.is_faulty(machine, now)
    jobs[1].errors[other.name] += 1
    assert not monitor.is_faulty(machine, now)


def _running(job: Job, machine: Machine) -> Attempt:
    attempt = Attempt(job.id, 0, 1, machine.name, seconds(480))
    attempt.running_since = seconds(490)
    return attempt
