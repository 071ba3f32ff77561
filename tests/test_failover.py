"""Failover together with cancellations, quotas, machines that just booted and late heartbeats.

Also overload, partitions, and leaders that change all the time (docs/fault-interactions.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import curio
import pytest

from micadeal.clock import monotonic, seconds
from micadeal.http.message import HttpError, Request
from micadeal.wire.codec import decode
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import CANCEL_S, FOLLOWERS_RENEW_AFTER_S, LEASE_S
from tests.fakes.network import REFUSE, SILENT
from tests.fakes.world import World, leader_of

#: Takes no accelerator, so no limit of its team.
SMALL: dict[str, Any] = {"accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0}
#: Once all faults are over no job that could run waits this long.
MAX_WAIT_S = 90


async def fail_over(world: World, how: str) -> None:
    """Make another controller the leader, in one of the ways that the tests name."""
    leader = leader_of(world)
    if how == "handed over":
        await world.nodes[leader].retire()
        world.crash(leader)
        await curio.sleep(1)
        await world.start(leader)
    elif how == "refused":
        world.network.cut(f"c{leader}", "state", REFUSE)
        await curio.sleep(8)
        await world.network.heal(f"c{leader}", "state")
    else:
        world.crash(leader)
        await curio.sleep(0.3 if how == "back within a second" else 5.0)
        await world.start(leader)


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("how", ["handed over", "ended", "refused", "back within a second"])
def test_cancellations_throughout_a_failover_are_confirmed_and_start_no_task(
    monkeypatch: pytest.MonkeyPatch, how: str, hangs: bool
) -> None:
    """One cancellation every 0.1 s, sent to the old leader, the new one and the third controller.

    Some jobs run, some fetch their image, some were just placed, and machines of some hang.  No
    task starts after its user was told, which the world checks, and all are gone in time.
    """

    async def scenario(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(stays) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        old = leader_of(world)
        jobs: list[str] = []
        for number in range(40):
            image = {"build": f"img-{number % 10}", "image_gb": [0.1, 2.0, 6.0][number % 3]}
            jobs.append(await world.run_job("daemon", 2, crew="blue", **SMALL, **image))
        await curio.sleep(2)
        changing = await curio.spawn(fail_over, world, how)
        if hangs:
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
        await changing.join()
        await world.wait_until(
            lambda: not any(world.tasks_on_machines(job) for job in jobs), limit=CANCEL_S
        )
        await world.wait_until(lambda: world.running(stays) == 3)
        if how in ("handed over", "refused"):
            assert leader_of(world) != old

    World().play(monkeypatch, scenario)


# -- limits ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["out of reach", "hang"])
def test_failover_with_all_teams_at_their_quota_keeps_quotas_and_frees_capacity(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """A task that may still be on a machine counts for its team, whatever the next leader has seen.

    Once it is certainly gone, waiting jobs get its capacity.
    """

    async def scenario(world: World) -> None:
        cancelled_jobs = [
            await world.run_job("daemon", 4, crew="red"),
            await world.run_job("gang", 4, run_s=500.0, crew="blue", bookmark_s=5.0, stow_s=1.0),
            await world.run_job("daemon", 4, crew="blue"),
        ]
        stays = [
            await world.run_job("daemon", 4, crew="red"),
            await world.run_job("daemon", 4, crew="blue"),
        ]
        await world.wait_until(
            lambda: all(world.running(job) == 4 for job in cancelled_jobs + stays)
        )
        waits = [await world.run_job("array", 4, run_s=10.0, crew=c) for c in ("red", "blue")]
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        assert not any(world.tasks_on_machines(job) for job in waits)
        leader = leader_of(world)
        machines = {w.name: w for job in cancelled_jobs for w, _ in world.tasks_on_machines(job)}
        for name in list(machines)[: len(machines) * 2 // 3]:
            if how == "hang":
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
        for job in waits:
            await world.wait_until_done(job, MAX_WAIT_S)
        await world.wait_until(lambda: all(world.running(job) == 4 for job in stays))

    World().play(monkeypatch, scenario)


def test_cancelled_tasks_on_unreachable_machines_count_for_the_quota_until_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machines are silent for longer than a lease as the leader changes.

    Nothing is started in place of their tasks before their leases have certainly expired.
    """

    async def scenario(world: World) -> None:
        cancelled_job = await world.run_job("daemon", 8, crew="red")
        await world.wait_until(lambda: world.running(cancelled_job) == 8)
        waits = await world.run_job("array", 8, run_s=6.0, crew="red")
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        leader = leader_of(world)
        for worker, _ in world.tasks_on_machines(cancelled_job):
            for number in range(3):
                world.network.cut(worker.name, f"c{number}", SILENT)
        await curio.sleep(1)
        world.crash(leader)
        assert await world.cancel_until_confirmed(cancelled_job, leader + 1) == "cancelled"
        await curio.sleep(LEASE_S / 2)
        # Their tasks go on as long as their leases last.
        assert len(world.tasks_on_machines(cancelled_job)) == 8 and not world.tasks_on_machines(
            waits
        )
        await world.wait_until_done(waits, MAX_WAIT_S)

    World(capacity=20).play(monkeypatch, scenario)


# -- machines that just booted ---------------------------------------------------------------------


@pytest.mark.parametrize("late", [False, True])
def test_every_start_is_recorded_first_while_leaders_crash_repeatedly(
    monkeypatch: pytest.MonkeyPatch, late: bool
) -> None:
    """A task is named by a record before its start is commanded, so nothing runs twice.

    ``late``: records of placements are applied late, after newer ones.
    """

    async def scenario(world: World) -> None:
        unnamed: list[str] = []
        watch = world.fleet.watch

        def named(what: str, worker: Any, held: Any) -> None:
            if what == "start":
                key = [held.job_id, int(held.task.rpartition("/")[2]), held.attempt]
                records = [v[0] for k, v in world.state.keys.items() if k.startswith("placed/")]
                if key not in _placed(records, worker.name):
                    unnamed.append(held.task)
            watch(what, worker, held)

        world.fleet.watch = named
        await world.wait_until(lambda: world.leader() is not None)
        if late:
            count = 0

            def after(source: str, address: str, request: Request) -> float | None:
                nonlocal count
                if request.path != "/txn" or b"placed/" not in request.body:
                    return None
                count += 1
                return 2.0 + count % 5 if count % 2 else None

            world.network.delivery_delay = after
        jobs = []
        for turn in range(5):
            jobs.append(await world.run_job("array", 3, run_s=9.0, crew="blue", image_gb=0.2))
            jobs.append(await world.run_job("gang", 2, run_s=9.0, crew="red", image_gb=0.2))
            known = set(world.fleet.workers)
            for _ in range(20):
                # The leader crashes also if no machine was rented for the new jobs.
                if set(world.fleet.workers) - known:
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
        assert unnamed == []

    World(boot_s=1.0, capacity=20).play(monkeypatch, scenario)


def _placed(records: Iterable[Any], machine: str) -> Iterable[Any]:
    for record in records:
        for entry in record["machines"]:
            name, *_, tasks = entry
            if name == machine:
                yield from tasks


# -- late heartbeats -------------------------------------------------------------------------------


@pytest.mark.parametrize("after", [0.0, 0.3, 1.5])
def test_delayed_copies_of_heartbeats_have_no_effect_on_a_new_leader(
    monkeypatch: pytest.MonkeyPatch, after: float
) -> None:
    """Copies of earlier attempts, incarnations and tokens, and of machines that are gone.

    They arrive before the machines' own heartbeats.  They free no capacity, renew no lease, start
    nothing and end no later attempt.
    """

    async def scenario(world: World) -> None:
        kept: list[Request] = []

        def keep(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
            if request.path == "/checkin":
                kept.append(request)
            return ()

        world.network.duplicates = keep
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=60.0, bookmark_s=5.0, stow_s=1.0, crew="blue")
        await world.wait_until(lambda: world.running(stays) == 3 and world.running(gang) == 2)
        short = await world.run_job("array", 4, run_s=8.0, crew="red")
        await world.wait_until(lambda: world.running(short) >= 1)
        # An attempt of the gang ends and another begins; a machine goes, another is restarted.
        world.tasks_on_machines(gang)[0][0].stalled = True
        await curio.sleep(LEASE_S + 5)
        for worker in world.fleet.workers.values():
            worker.stalled = False
        await world.wait_until(lambda: world.running(gang) == 2 and world.running(stays) == 3)
        await world.wait_until_done(short)
        begun = dict(world.rules.starts)
        old = leader_of(world)
        world.network.duplicates = None
        for name in {w.name for w, _ in world.tasks_on_machines(stays)}:
            # No controller receives anything of them for a while.
            for number in range(3):
                world.network.cut(name, f"c{number}", SILENT)
        world.crash(old)
        await world.wait_until(lambda: world.leader() not in (None, old), limit=10)
        await curio.sleep(after)
        tokens = {decode(dict, request.body)["baton"] for request in kept}
        assert len(kept) > 40 and len(tokens) > 1

        async def deliver(number: int) -> None:
            for request in (*kept[::-3], *kept[::5]):
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
        assert world.running(stays) == 3
        await world.wait_until_done(gang)
        assert await world.status(short, leader_of(world)) == "done"
        assert {t: n for t, n in world.rules.starts.items() if t.startswith(stays)} == {
            t: n for t, n in begun.items() if t.startswith(stays)
        }
        late = await world.run_job("array", 6, run_s=3.0, crew="red")
        await world.wait_until_done(late, MAX_WAIT_S)

    World().play(monkeypatch, scenario)


# -- load ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("changes", [25.0, 80.0])
def test_small_jobs_at_a_high_rate_are_served_or_cancelled_in_time(
    monkeypatch: pytest.MonkeyPatch, changes: float
) -> None:
    """Four jobs of one task a second, a quarter of them cancelled.

    With a low and a high write rate of the state service: answers come in time, no queue grows and
    all jobs are served.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(3)
        jobs: list[str] = []
        slowest = 0.0

        async def user(number: int, job: str) -> None:
            nonlocal slowest
            await world.submit(job)
            if number % 4 == 3:
                await curio.sleep(number % 7 * 1.5)
                began = monotonic().total_seconds()
                await world.cancel_until_confirmed(job, number)
                slowest = max(slowest, monotonic().total_seconds() - began)

        users = []
        for number in range(160):
            fields = {**SMALL, "crew": ("red", "blue")[number % 2], "image_gb": 0.5}
            job = world.job("array", 1, run_s=4.0 + number % 5, **fields)
            jobs.append(job)
            users.append(await curio.spawn(user, number, job))
            await curio.sleep(0.25)
        for task in users:
            await task.join()
        most = 0
        began = monotonic().total_seconds()
        for number, job in enumerate(jobs):
            while (said := await world.status(job, number % 3)) not in ("done", "cancelled"):
                leader_actor = world.nodes[leader_of(world)]._leader.actor
                assert leader_actor is not None
                most = max(most, leader_actor._mailbox.qsize())
                assert monotonic().total_seconds() - began < MAX_WAIT_S, (job, said)
                await curio.sleep(1)
        cancelled = sum(world.answers.latest[job] == "cancelled" for job in jobs)
        assert cancelled > 20 and len(world.answers.cancel_confirmed_at) == cancelled
        assert slowest < 8 and most < 200
        assert world.state.too_many < 20 and world.state.changes < 5 * len(jobs)

    World(changes_per_s=changes, capacity=20).play(monkeypatch, scenario)


def test_a_burst_of_cancellations_of_jobs_that_fetch_images_is_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A hundred cancellations at once: few wait at the leader, whose connections pings need too.

    All are confirmed soon, and nothing starts after that.
    """

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(3)
        jobs = []
        for number in range(100):
            image = {"build": f"img-{number % 20}", "image_gb": 9.0}
            jobs.append(await world.run_job("array", 1, run_s=60.0, crew="blue", **SMALL, **image))
        await world.wait_until(lambda: sum(len(w.tasks) for w in world.fleet.workers.values()) > 60)
        # The effect of a command shows in the next heartbeat only.
        world.network.sends_nothing |= set(world.fleet.workers)
        leader = leader_of(world)
        began = monotonic().total_seconds()
        cancellations = [
            await curio.spawn(world.cancel_until_confirmed, job, n) for n, job in enumerate(jobs)
        ]
        most = 0
        for _ in range(200):
            await curio.sleep(0.01)
            most = max(most, world.nodes[leader]._cancellations.waiting_for_starts)
        world.network.sends_nothing.clear()
        assert {await cancellation.join() for cancellation in cancellations} == {"cancelled"}
        assert 0 < most <= 30 and leader_of(world) == leader
        assert monotonic().total_seconds() - began < 30

    World(capacity=20).play(monkeypatch, scenario)


# -- partitions, and leaders that change all the time ----------------------------------------------


def test_machines_that_reach_no_controller_are_stopped_by_direct_command_and_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Direct commands reach them: cancelled tasks are gone at once.

    The others end with their leases and are started once elsewhere.
    """

    async def scenario(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        cancelled_job = await world.run_job("daemon", 4, crew="blue")
        array = await world.run_job("array", 2, run_s=70.0, crew="red")
        await world.wait_until(
            lambda: world.running(stays) == 3 and world.running(cancelled_job) == 4
        )
        await world.wait_until(lambda: world.running(array) == 2)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        leader = leader_of(world)
        silenced = {
            w.name
            for w, _ in (*world.tasks_on_machines(cancelled_job), *world.tasks_on_machines(array))
        }
        world.network.sends_nothing |= silenced
        await curio.sleep(3)
        assert await world.cancel_until_confirmed(cancelled_job, leader + 1) == "cancelled"
        await world.wait_until(lambda: not world.tasks_on_machines(cancelled_job), limit=4)
        world.crash(leader)
        await curio.sleep(LEASE_S + 12)
        await world.start(leader)
        await world.wait_until(lambda: world.running(stays) == 3)
        await world.wait_until_done(array)
        assert {world.rules.starts[f"{array}/{index}"] for index in range(2)} == {2}
        world.network.sends_nothing.clear()
        late = await world.run_job("array", 4, run_s=3.0, crew="blue")
        await world.wait_until_done(late, MAX_WAIT_S)

    World(capacity=20).play(monkeypatch, scenario)


@pytest.mark.parametrize("outage", [False, True])
def test_ten_failovers_in_two_minutes_lose_no_job(
    monkeypatch: pytest.MonkeyPatch, outage: bool
) -> None:
    """``outage``: some of the failovers happen in outages of the state service."""

    async def scenario(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.wait_until(lambda: world.running(stays) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        jobs: list[str] = []
        cancelled_jobs: list[str] = []
        terms = {world.term()}
        number = leader_of(world)
        for turn in range(10):
            if not world.state.outage:
                jobs.append(await world.run_job("array", 2, run_s=14.0, crew="blue", image_gb=1.0))
                cancelled_jobs.append(await world.run_job("daemon", 1, crew="red", **SMALL))
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
        await world.wait_until(lambda: world.running(stays) == 3)

    World(capacity=20).play(monkeypatch, scenario)


def test_a_zone_partitioned_for_longer_than_a_lease_goes_on_inside(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A zone with workers and a controller is cut off and goes on inside.

    Bound to the zone or not, tasks are started once more at most; jobs cancelled outside are gone
    in time, and all jobs are served when the zone is back.
    """

    async def scenario(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        bound = await world.run_job("array", 4, run_s=50.0, depot="north", crew="blue")
        cancelled_job = await world.run_job("daemon", 3, scatter=True, crew="red")
        await world.wait_until(
            lambda: world.running(stays) == 3 and world.running(cancelled_job) == 3
        )
        await world.wait_until(lambda: world.running(bound) == 4)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        inside = ["c0", *(w.name for w in world.fleet.workers.values() if w.zone == "north")]
        outside = ["c1", "c2", "state", "cloud"]
        outside += [w.name for w in world.fleet.workers.values() if w.zone != "north"]
        for one in inside:
            for other in outside:
                world.network.cut(one, other, SILENT)
        await curio.sleep(1)
        assert await world.cancel_until_confirmed(cancelled_job, 1) == "cancelled"
        await curio.sleep(LEASE_S * 2)
        late = await world.run_job("array", 2, run_s=5.0, depot="north", crew="blue")
        for one in inside:
            for other in outside:
                await world.network.heal(one, other)
        for job in (bound, late):
            await world.wait_until_done(job, MAX_WAIT_S + 50)
        await world.wait_until(lambda: world.running(stays) == 3)
        assert max(world.rules.starts[f"{bound}/{index}"] for index in range(4)) <= 2

    World(capacity=20).play(monkeypatch, scenario)


@pytest.mark.parametrize("seen", [True, False])
def test_cancellations_outlast_all_controllers_being_down_for_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch, seen: bool
) -> None:
    """All tasks end with their leases, and all that are not cancelled are started once more.

    ``seen``: the controllers have seen the cancelled job's tasks run.
    """

    async def scenario(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 3, run_s=30.0, depot="south", crew="blue")
        await world.wait_until(lambda: world.running(stays) == 3 and world.running(array) == 3)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        cancelled_job = await world.run_job("daemon", 2, crew="red", image_gb=4.0)
        if seen:
            await world.wait_until(lambda: world.running(cancelled_job) == 2)
            await curio.sleep(2)
        said = await world.cancel(cancelled_job, 2)
        for number in range(3):
            world.crash(number)
        await curio.sleep(LEASE_S + 8)
        assert not world.tasks_on_machines()
        for number in range(3):
            await world.start(number)
        assert (
            said == "cancelled"
            or await world.cancel_until_confirmed(cancelled_job, 0) == "cancelled"
        )
        await world.wait_until_done(array, MAX_WAIT_S)
        await world.wait_until(lambda: world.running(stays) == 3, limit=MAX_WAIT_S)
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
        turn = 0

        def slow(source: str, address: str, request: Request) -> float:
            nonlocal turn
            turn += 1
            if address == state_fake.ADDRESS or address.endswith(":8081"):
                return delays[turn % len(delays)]
            return 0.0

        world.network.answer_delay = slow
        jobs: list[str] = []
        cancelled_jobs: list[str] = []
        for number in range(18):
            crew, rank = ("red", "blue")[number % 2], ("low", "standard", "high")[number % 3]
            job = world.job("array", 2, run_s=12.0, crew=crew, rank=rank, image_gb=1.0)
            await world.submit(job)
            (cancelled_jobs if number % 5 == 4 else jobs).append(job)
            for other in range(3):
                await curio.spawn(world.status, job, other, daemon=True)
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
