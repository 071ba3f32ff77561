"""Overload, partitions and frequent changes of the leader (docs/fault-interactions.md)."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from micadeal.clock import monotonic
from micadeal.http.message import Request
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import FOLLOWERS_RENEW_AFTER_S, LEASE_S
from tests.fakes.network import SILENT
from tests.fakes.scenario_steps import fail_over
from tests.fakes.world import World, leader_of

#: Fields of a job without accelerators: its team's limit does not apply to it.
SMALL_JOB: dict[str, Any] = {"accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0}
#: Maximum wait of a job that could run, once all faults are over.
MAX_WAIT_S = 90


# -- load ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("changes_per_s", [25.0, 80.0])
def test_small_jobs_at_a_high_rate_are_served_or_cancelled_in_time(
    monkeypatch: pytest.MonkeyPatch, changes_per_s: float
) -> None:
    """Four jobs of one task are submitted each second, and a quarter of them is cancelled.

    Whether the state service has a low or a high write rate, answers come in time, no queue grows
    and all jobs are served.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(3)
        jobs: list[str] = []
        slowest_s = 0.0

        async def run_user(number: int, job: str) -> None:
            nonlocal slowest_s
            await world.submit(job)
            if number % 4 == 3:
                await curio.sleep(number % 7 * 1.5)
                started_at = monotonic().total_seconds()
                await world.cancel_until_confirmed(job, number)
                slowest_s = max(slowest_s, monotonic().total_seconds() - started_at)

        users = []
        for number in range(160):
            fields = {**SMALL_JOB, "crew": ("red", "blue")[number % 2], "image_gb": 0.5}
            job = world.job("array", 1, run_s=4.0 + number % 5, **fields)
            jobs.append(job)
            users.append(await curio.spawn(run_user, number, job))
            await curio.sleep(0.25)
        for task in users:
            await task.join()
        max_mailbox = 0
        started_at = monotonic().total_seconds()
        for number, job in enumerate(jobs):
            while (status := await world.status(job, number % 3)) not in ("done", "cancelled"):
                leader_actor = world.nodes[leader_of(world)]._leader.actor
                assert leader_actor is not None
                max_mailbox = max(max_mailbox, leader_actor._mailbox.qsize())
                assert monotonic().total_seconds() - started_at < MAX_WAIT_S, (job, status)
                await curio.sleep(1)
        cancelled = sum(world.answers.latest[job] == "cancelled" for job in jobs)
        assert cancelled > 20 and len(world.answers.cancel_confirmed_at) == cancelled
        assert slowest_s < 8 and max_mailbox < 200
        assert world.state.rate_limited_requests < 20 and world.state.changes < 5 * len(jobs)

    World(changes_per_s=changes_per_s, capacity=20).play(monkeypatch, scenario)


def test_a_burst_of_cancellations_of_jobs_that_fetch_images_is_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Few of a hundred concurrent cancellations wait at the leader: pings need its connections.

    All are confirmed soon, and no task starts after that.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(3)
        jobs = []
        for number in range(100):
            image = {"build": f"img-{number % 20}", "image_gb": 9.0}
            jobs.append(
                await world.run_job("array", 1, run_s=60.0, crew="blue", **SMALL_JOB, **image)
            )
        await world.wait_until(lambda: sum(len(w.tasks) for w in world.fleet.workers.values()) > 60)
        # A command's effect is visible only in the machine's next heartbeat.
        world.network.sends_nothing |= set(world.fleet.workers)
        leader = leader_of(world)
        started_at = monotonic().total_seconds()
        cancellations = [
            await curio.spawn(world.cancel_until_confirmed, job, n) for n, job in enumerate(jobs)
        ]
        max_waiting = 0
        for _ in range(200):
            await curio.sleep(0.01)
            max_waiting = max(max_waiting, world.nodes[leader]._cancellations.waiting_for_starts)
        world.network.sends_nothing.clear()
        assert {await cancellation.join() for cancellation in cancellations} == {"cancelled"}
        assert 0 < max_waiting <= 30 and leader_of(world) == leader
        assert monotonic().total_seconds() - started_at < 30

    World(capacity=20).play(monkeypatch, scenario)


# -- partitions and frequent changes of the leader -------------------------------------------------


def test_machines_that_reach_no_controller_are_stopped_by_direct_command_and_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Direct commands reach the machines, so cancelled tasks end immediately.

    The other tasks end when their leases expire, and are started once elsewhere.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        cancelled_job = await world.run_job("daemon", 4, crew="blue")
        array = await world.run_job("array", 2, run_s=70.0, crew="red")
        await world.wait_until(
            lambda: world.running(service) == 3 and world.running(cancelled_job) == 4
        )
        await world.wait_until(lambda: world.running(array) == 2)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        leader = leader_of(world)
        unheard_machines = {
            w.name
            for w, _ in (*world.tasks_on_machines(cancelled_job), *world.tasks_on_machines(array))
        }
        world.network.sends_nothing |= unheard_machines
        await curio.sleep(3)
        assert await world.cancel_until_confirmed(cancelled_job, leader + 1) == "cancelled"
        await world.wait_until(lambda: not world.tasks_on_machines(cancelled_job), limit=4)
        world.crash(leader)
        await curio.sleep(LEASE_S + 12)
        await world.start(leader)
        await world.wait_until(lambda: world.running(service) == 3)
        await world.wait_until_done(array)
        assert {world.rules.starts[f"{array}/{index}"] for index in range(2)} == {2}
        world.network.sends_nothing.clear()
        later_job = await world.run_job("array", 4, run_s=3.0, crew="blue")
        await world.wait_until_done(later_job, MAX_WAIT_S)

    World(capacity=20).play(monkeypatch, scenario)


@pytest.mark.parametrize("outage", [False, True])
def test_ten_failovers_in_two_minutes_lose_no_job(
    monkeypatch: pytest.MonkeyPatch, outage: bool
) -> None:
    """``outage``: some of the failovers happen in outages of the state service."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        jobs: list[str] = []
        cancelled_jobs: list[str] = []
        terms = {world.term()}
        number = leader_of(world)
        for turn in range(10):
            if not world.state.outage:
                jobs.append(await world.run_job("array", 2, run_s=14.0, crew="blue", image_gb=1.0))
                cancelled_jobs.append(await world.run_job("daemon", 1, crew="red", **SMALL_JOB))
            if outage and turn % 3 == 1:
                world.state.outage = True
            world.crash(number)
            await curio.sleep(0.5)
            await world.start(number)
            if len(cancelled_jobs) > 2:
                await curio.spawn(
                    world.cancel_until_confirmed, cancelled_jobs.pop(0), number + 1, daemon=True
                )
            await curio.sleep(4)
            world.state.outage = False
            await world.wait_until(lambda: world.term() not in {0, *terms}, limit=10)
            terms.add(world.term())
            number = leader_of(world)
            await curio.sleep(5)
        assert len(terms) == 11
        for job in jobs:
            await world.wait_until_done(job)
        await world.wait_until(lambda: world.running(service) == 3)

    World(capacity=20).play(monkeypatch, scenario)


def test_jobs_survive_a_zone_partition_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A zone with workers and a controller is cut off, while its hosts reach one another.

    Tasks are started at most once more, whether they are bound to the zone or not.  Jobs cancelled
    outside end in time, and all jobs are served once the partition is over.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        zone_bound = await world.run_job("array", 4, run_s=50.0, depot="north", crew="blue")
        cancelled_job = await world.run_job("daemon", 3, scatter=True, crew="red")
        await world.wait_until(
            lambda: world.running(service) == 3 and world.running(cancelled_job) == 3
        )
        await world.wait_until(lambda: world.running(zone_bound) == 4)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        inside = ["c0", *(w.name for w in world.fleet.workers.values() if w.zone == "north")]
        outside = ["c1", "c2", "state", "cloud"]
        outside += [w.name for w in world.fleet.workers.values() if w.zone != "north"]
        for inside_host in inside:
            for outside_host in outside:
                world.network.cut(inside_host, outside_host, SILENT)
        await curio.sleep(1)
        assert await world.cancel_until_confirmed(cancelled_job, 1) == "cancelled"
        await curio.sleep(LEASE_S * 2)
        later_job = await world.run_job("array", 2, run_s=5.0, depot="north", crew="blue")
        for inside_host in inside:
            for outside_host in outside:
                await world.network.heal(inside_host, outside_host)
        for job in (zone_bound, later_job):
            await world.wait_until_done(job, MAX_WAIT_S + 50)
        await world.wait_until(lambda: world.running(service) == 3)
        assert max(world.rules.starts[f"{zone_bound}/{index}"] for index in range(4)) <= 2

    World(capacity=20).play(monkeypatch, scenario)


@pytest.mark.parametrize("tasks_seen", [True, False])
def test_cancellations_survive_all_controllers_being_down_for_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch, tasks_seen: bool
) -> None:
    """All tasks end when their leases expire, and those not cancelled are started once more.

    ``tasks_seen``: the controllers have seen the cancelled job's tasks run.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 3, run_s=30.0, depot="south", crew="blue")
        await world.wait_until(lambda: world.running(service) == 3 and world.running(array) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        cancelled_job = await world.run_job("daemon", 2, crew="red", image_gb=4.0)
        if tasks_seen:
            await world.wait_until(lambda: world.running(cancelled_job) == 2)
            await curio.sleep(2)
        status = await world.cancel(cancelled_job, 2)
        for number in range(3):
            world.crash(number)
        await curio.sleep(LEASE_S + 8)
        assert not world.tasks_on_machines()
        for number in range(3):
            await world.start(number)
        assert (
            status == "cancelled"
            or await world.cancel_until_confirmed(cancelled_job, 0) == "cancelled"
        )
        await world.wait_until_done(array, MAX_WAIT_S)
        await world.wait_until(lambda: world.running(service) == 3, limit=MAX_WAIT_S)
        assert not world.tasks_on_machines(cancelled_job)

    World(capacity=20).play(monkeypatch, scenario)


def test_overload_over_slow_links_with_cancellations_and_a_failover_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Jobs of all priorities, a slow state service, slow links between controllers, a failover.

    Quotas hold, no job is forgotten, and all are served once the faults are over.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(3)
        delays = [0.0, 0.1, 0.4, 0.9, 0.2, 1.6]
        answers = 0

        def delay_answer(source: str, address: str, request: Request) -> float:
            nonlocal answers
            answers += 1
            if address == state_fake.ADDRESS or address.endswith(":8081"):
                return delays[answers % len(delays)]
            return 0.0

        world.network.answer_delay = delay_answer
        jobs: list[str] = []
        cancelled_jobs: list[str] = []
        for number in range(18):
            crew, rank = ("red", "blue")[number % 2], ("low", "standard", "high")[number % 3]
            job = world.job("array", 2, run_s=12.0, crew=crew, rank=rank, image_gb=1.0)
            await world.submit(job)
            (cancelled_jobs if number % 5 == 4 else jobs).append(job)
            for controller in range(3):
                await curio.spawn(world.status, job, controller, daemon=True)
            if number == 9:
                await curio.spawn(fail_over, world, "ended", daemon=True)
            if number % 5 == 4:
                await curio.spawn(world.cancel_until_confirmed, job, number, daemon=True)
            await curio.sleep(1)
        await curio.sleep(8)
        world.network.answer_delay = None
        for job in jobs:
            await world.wait_until_done(job, 200)
        assert all(world.answers.latest[job] in ("cancelled", "done") for job in cancelled_jobs)

    World(capacity=3).play(monkeypatch, scenario)
