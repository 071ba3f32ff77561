"""Failover combined with cancellations, quotas, newly booted machines and late heartbeats.

Overload and partitions: ``tests/test_failover_under_load.py`` (docs/fault-interactions.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import curio
import pytest

from micadeal.clock import seconds
from micadeal.http.message import HttpError, Request
from micadeal.wire.codec import decode
from tests.fakes.deployment_settings import CANCEL_S, FOLLOWERS_RENEW_AFTER_S, LEASE_S
from tests.fakes.network import SILENT
from tests.fakes.scenario_steps import fail_over
from tests.fakes.world import World, leader_of

#: Fields of a job without accelerators: its team's limit does not apply to it.
SMALL_JOB: dict[str, Any] = {"accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0}
#: Maximum wait of a job that could run, once all faults are over.
MAX_WAIT_S = 90


@pytest.mark.parametrize("machines_stall", [False, True])
@pytest.mark.parametrize("how", ["handed over", "ended", "refused", "back within a second"])
def test_cancellations_throughout_a_failover_are_confirmed_and_start_no_task(
    monkeypatch: pytest.MonkeyPatch, how: str, machines_stall: bool
) -> None:
    """One cancellation every 0.1 s, sent to the old leader, the new one and the third controller.

    Some jobs are running, some are fetching their image, some were just placed, and some of the
    machines are stalled.  No task starts after its cancellation was confirmed (checked by
    ``World``), and all tasks end in time.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(service) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        old = leader_of(world)
        jobs: list[str] = []
        for number in range(40):
            image = {"build": f"img-{number % 10}", "image_gb": [0.1, 2.0, 6.0][number % 3]}
            jobs.append(await world.run_job("daemon", 2, crew="blue", **SMALL_JOB, **image))
        await curio.sleep(2)
        failover = await curio.spawn(fail_over, world, how)
        if machines_stall:
            for worker in list(world.fleet.workers.values())[::2]:
                worker.stalled = True
        cancellations, terms = [], set()
        for number, job in enumerate(jobs):
            cancellations.append(await curio.spawn(world.cancel_until_confirmed, job, number))
            terms.add(world.term())
            await curio.sleep(0.1)
        assert len(terms) > 1
        await curio.sleep(5)
        for worker in world.fleet.workers.values():
            worker.stalled = False
        assert {await cancellation.join() for cancellation in cancellations} == {"cancelled"}
        await failover.join()
        await world.wait_until(
            lambda: not any(world.tasks_on_machines(job) for job in jobs), limit=CANCEL_S
        )
        await world.wait_until(lambda: world.running(service) == 3)
        if how in ("handed over", "refused"):
            assert leader_of(world) != old

    World().play(monkeypatch, scenario)


# -- limits ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["out of reach", "hang"])
def test_failover_with_all_teams_at_their_quota_keeps_quotas_and_frees_capacity(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """A task that may still run counts for its team, even if the next leader has not seen it.

    Once it has certainly ended, waiting jobs get its capacity.
    """

    async def scenario(world: World) -> None:
        cancelled_jobs = [
            await world.run_job("daemon", 4, crew="red"),
            await world.run_job("gang", 4, run_s=500.0, crew="blue", bookmark_s=5.0, stow_s=1.0),
            await world.run_job("daemon", 4, crew="blue"),
        ]
        services = [
            await world.run_job("daemon", 4, crew="red"),
            await world.run_job("daemon", 4, crew="blue"),
        ]
        await world.wait_until(
            lambda: all(world.running(job) == 4 for job in cancelled_jobs + services)
        )
        waiting_jobs = [
            await world.run_job("array", 4, run_s=10.0, crew=c) for c in ("red", "blue")
        ]
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        assert not any(world.tasks_on_machines(job) for job in waiting_jobs)
        leader = leader_of(world)
        machines = {w.name: w for job in cancelled_jobs for w, _ in world.tasks_on_machines(job)}
        for name in list(machines)[: len(machines) * 2 // 3]:
            if fault == "hang":
                machines[name].stalled = True
            else:
                for number in range(3):
                    world.network.cut(name, f"c{number}", SILENT)
        world.crash(leader)
        cancellations = [
            await curio.spawn(world.cancel_until_confirmed, job, leader + 1 + n)
            for n, job in enumerate(cancelled_jobs)
        ]
        await curio.sleep(9)
        assert world.leader() not in (None, leader)
        # Another failover, with the same machines still unreachable.
        await fail_over(world, "back within a second")
        await curio.sleep(6)
        for worker in machines.values():
            worker.stalled = False
        await world.network.heal_all()
        await world.start(leader)
        assert {await cancellation.join() for cancellation in cancellations} == {"cancelled"}
        await world.wait_until(
            lambda: not any(world.tasks_on_machines(job) for job in cancelled_jobs), limit=CANCEL_S
        )
        for job in waiting_jobs:
            await world.wait_until_done(job, MAX_WAIT_S)
        await world.wait_until(lambda: all(world.running(job) == 4 for job in services))

    World().play(monkeypatch, scenario)


def test_cancelled_tasks_on_unreachable_machines_count_for_the_quota_until_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machines are unreachable for longer than a lease while the leader changes.

    No task is started in place of theirs before their leases have certainly expired.
    """

    async def scenario(world: World) -> None:
        cancelled_job = await world.run_job("daemon", 8, crew="red")
        await world.wait_until(lambda: world.running(cancelled_job) == 8)
        waiting_job = await world.run_job("array", 8, run_s=6.0, crew="red")
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        leader = leader_of(world)
        for worker, _ in world.tasks_on_machines(cancelled_job):
            for number in range(3):
                world.network.cut(worker.name, f"c{number}", SILENT)
        await curio.sleep(1)
        world.crash(leader)
        assert await world.cancel_until_confirmed(cancelled_job, leader + 1) == "cancelled"
        await curio.sleep(LEASE_S / 2)
        # Their tasks run until their leases expire.
        assert len(world.tasks_on_machines(cancelled_job)) == 8 and not world.tasks_on_machines(
            waiting_job
        )
        await world.wait_until_done(waiting_job, MAX_WAIT_S)

    World(capacity=20).play(monkeypatch, scenario)


# -- newly booted machines -------------------------------------------------------------------------


@pytest.mark.parametrize("delayed_writes", [False, True])
def test_every_start_is_recorded_first_while_leaders_crash_repeatedly(
    monkeypatch: pytest.MonkeyPatch, delayed_writes: bool
) -> None:
    """A record names each task before its start is commanded, so no task runs twice.

    ``delayed_writes``: some records of placements are written late, after newer ones.
    """

    async def scenario(world: World) -> None:
        unrecorded_starts: list[str] = []
        on_task_event = world.fleet.on_task_event

        def check_recorded(event: str, worker: Any, attempt: Any) -> None:
            if event == "start":
                key = [attempt.job_id, int(attempt.task.rpartition("/")[2]), attempt.attempt]
                records = [v[0] for k, v in world.state.keys.items() if k.startswith("placed/")]
                if key not in _recorded_attempts(records, worker.name):
                    unrecorded_starts.append(attempt.task)
            on_task_event(event, worker, attempt)

        world.fleet.on_task_event = check_recorded
        await world.wait_until(lambda: world.leader() is not None)
        if delayed_writes:
            count = 0

            def delay_placements(source: str, address: str, request: Request) -> float | None:
                nonlocal count
                if request.path != "/txn" or b"placed/" not in request.body:
                    return None
                count += 1
                return 2.0 + count % 5 if count % 2 else None

            world.network.delivery_delay = delay_placements
        jobs = []
        for turn in range(5):
            jobs.append(await world.run_job("array", 3, run_s=9.0, crew="blue", image_gb=0.2))
            jobs.append(await world.run_job("gang", 2, run_s=9.0, crew="red", image_gb=0.2))
            machines_before = set(world.fleet.workers)
            for _ in range(20):
                # The leader crashes also if no machine was rented for the new jobs.
                if set(world.fleet.workers) - machines_before:
                    break
                await curio.sleep(0.25)
            await curio.sleep(0.25 * turn)
            leader = leader_of(world) if world.leader() is not None else turn % 3
            world.crash(leader)
            await curio.sleep(1)
            await world.start(leader)
            await world.wait_until(lambda: world.leader() is not None, limit=20)
        for job in jobs:
            await world.wait_until_done(job)
        assert world.rules.starts.total() >= 25
        assert unrecorded_starts == []

    World(boot_s=1.0, capacity=20).play(monkeypatch, scenario)


def _recorded_attempts(records: Iterable[Any], machine: str) -> Iterable[Any]:
    for record in records:
        for entry in record["machines"]:
            name, *_, tasks = entry
            if name == machine:
                yield from tasks


# -- late heartbeats -------------------------------------------------------------------------------


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 1.5])
def test_delayed_copies_of_heartbeats_have_no_effect_on_a_new_leader(
    monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> None:
    """The copies show earlier attempts, incarnations and tokens, and machines that were removed.

    They arrive before the machines' own heartbeats.  They free no capacity, renew no lease, start
    no task and end no later attempt.
    """

    async def scenario(world: World) -> None:
        copies: list[Request] = []

        def record_heartbeat(
            source: str, address: str, request: Request
        ) -> Iterable[tuple[float, str]]:
            if request.path == "/checkin":
                copies.append(request)
            return ()

        world.network.duplicates = record_heartbeat
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=60.0, bookmark_s=5.0, stow_s=1.0, crew="blue")
        await world.wait_until(lambda: world.running(service) == 3 and world.running(gang) == 2)
        short = await world.run_job("array", 4, run_s=8.0, crew="red")
        await world.wait_until(lambda: world.running(short) >= 1)
        # An attempt of the gang ends and the next begins; one machine is removed, another restarts.
        world.tasks_on_machines(gang)[0][0].stalled = True
        await curio.sleep(LEASE_S + 5)
        for worker in world.fleet.workers.values():
            worker.stalled = False
        await world.wait_until(lambda: world.running(gang) == 2 and world.running(service) == 3)
        await world.wait_until_done(short)
        starts_before = dict(world.rules.starts)
        old = leader_of(world)
        world.network.duplicates = None
        for name in {w.name for w, _ in world.tasks_on_machines(service)}:
            # For a while no controller receives anything from them.
            for number in range(3):
                world.network.cut(name, f"c{number}", SILENT)
        world.crash(old)
        await world.wait_until(lambda: world.leader() not in (None, old), limit=10)
        await curio.sleep(delay_s)
        tokens = {decode(dict, request.body)["baton"] for request in copies}
        assert len(copies) > 40 and len(tokens) > 1

        async def deliver(number: int) -> None:
            for request in (*copies[::-3], *copies[::5]):
                try:
                    address = f"10.0.0.{number + 1}:8080"
                    await world.network.request("copy", address, request, seconds(4))
                except HttpError:
                    return

        for number in range(3):
            await curio.spawn(deliver, number, daemon=True)
        await curio.sleep(4)
        await world.network.heal_all()
        await curio.sleep(20)
        assert world.running(service) == 3
        await world.wait_until_done(gang)
        assert await world.status(short, leader_of(world)) == "done"
        assert {t: n for t, n in world.rules.starts.items() if t.startswith(service)} == {
            t: n for t, n in starts_before.items() if t.startswith(service)
        }
        later_job = await world.run_job("array", 6, run_s=3.0, crew="red")
        await world.wait_until_done(later_job, MAX_WAIT_S)

    World().play(monkeypatch, scenario)
