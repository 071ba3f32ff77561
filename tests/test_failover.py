"""What meets a change of leaders: cancellations, limits, machines that were just up, old reports.

Also machines that reach nobody, floods of small jobs, leaders that change all the time
(docs/fault-interactions.md).
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
from tests.fakes.network import REFUSE, SILENT
from tests.fakes.world import CANCEL_S, LEASE_S, SETTLED, World, leader_of

#: Takes no accelerator, so no limit of its team.
SMALL: dict[str, Any] = {"accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0}
#: Once all troubles are over no job waits for so long that could run.
NEGLECTED_S = 90


async def change_hands(world: World, how: str) -> None:
    """The leader's work goes to another."""
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
def test_jobs_are_cancelled_in_every_tenth_of_a_second_of_a_change_of_hands(
    monkeypatch: pytest.MonkeyPatch, how: str, hangs: bool
) -> None:
    """By the outgoing, the incoming and the third controller; some run, some fetch their image,
    some were placed a moment ago, and machines of some hang.  No task starts after its user was
    told, which the world watches, and all are gone in time."""

    async def story(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.until(lambda: world.running(stays) == 3)
        await curio.sleep(SETTLED)
        old = leader_of(world)
        jobs: list[str] = []
        for number in range(40):
            image = {"build": f"img-{number % 10}", "image_gb": [0.1, 2.0, 6.0][number % 3]}
            jobs.append(await world.run_job("daemon", 2, crew="blue", **SMALL, **image))
        await curio.sleep(2)
        changing = await curio.spawn(change_hands, world, how)
        if hangs:
            for worker in list(world.fleet.workers.values())[::2]:
                worker.hanging = True
        tellers, terms = [], set()
        for number, job in enumerate(jobs):
            tellers.append(await curio.spawn(world.until_told, job, number))
            terms.add(world.term())
            await curio.sleep(0.1)
        assert len(terms) > 1
        await curio.sleep(5)
        for worker in world.fleet.workers.values():
            worker.hanging = False
        assert {await teller.join() for teller in tellers} == {"cancelled"}
        await changing.join()
        await world.until(lambda: not any(world.held(job) for job in jobs), limit=CANCEL_S)
        await world.until(lambda: world.running(stays) == 3)
        if how in ("handed over", "refused"):
            assert leader_of(world) != old

    World().play(monkeypatch, story)


# -- limits --------------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["out of reach", "hang"])
def test_every_team_is_at_its_limit_as_jobs_are_cancelled_and_the_leader_ends(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """What may still be on a machine counts for its team, whatever the next leader has seen of it;
    once it is certain that it is gone, what waits gets its room."""

    async def story(world: World) -> None:
        cancelled = [
            await world.run_job("daemon", 4, crew="red"),
            await world.run_job("gang", 4, run_s=500.0, crew="blue", bookmark_s=5.0, stow_s=1.0),
            await world.run_job("daemon", 4, crew="blue"),
        ]
        stays = [
            await world.run_job("daemon", 4, crew="red"),
            await world.run_job("daemon", 4, crew="blue"),
        ]
        await world.until(lambda: all(world.running(job) == 4 for job in cancelled + stays))
        waits = [await world.run_job("array", 4, run_s=10.0, crew=c) for c in ("red", "blue")]
        await curio.sleep(SETTLED)
        assert not any(world.held(job) for job in waits)
        leader = leader_of(world)
        machines = {w.name: w for job in cancelled for w, _ in world.held(job)}
        for name in list(machines)[: len(machines) * 2 // 3]:
            if how == "hang":
                machines[name].hanging = True
            else:
                for number in range(3):
                    world.network.cut(name, f"c{number}", SILENT)
        world.crash(leader)
        tellers = [
            await curio.spawn(world.until_told, job, leader + 1 + n)
            for n, job in enumerate(cancelled)
        ]
        await curio.sleep(9)
        assert world.leader() not in (None, leader)
        # Another change, with the same machines still out of touch.
        await change_hands(world, "back within a second")
        await curio.sleep(6)
        for worker in machines.values():
            worker.hanging = False
        await world.network.heal_all()
        await world.start(leader)
        assert {await teller.join() for teller in tellers} == {"cancelled"}
        await world.until(lambda: not any(world.held(job) for job in cancelled), limit=CANCEL_S)
        for job in waits:
            await world.until_done(job, NEGLECTED_S)
        await world.until(lambda: all(world.running(job) == 4 for job in stays))

    World().play(monkeypatch, story)


def test_a_cancellation_meets_a_team_at_its_limit_whose_machines_cant_be_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They are silent for longer than a lease as the leader changes: nothing is started in their
    place before that is certain, and then it is."""

    async def story(world: World) -> None:
        cancelled = await world.run_job("daemon", 8, crew="red")
        await world.until(lambda: world.running(cancelled) == 8)
        waits = await world.run_job("array", 8, run_s=6.0, crew="red")
        await curio.sleep(SETTLED)
        leader = leader_of(world)
        for worker, _ in world.held(cancelled):
            for number in range(3):
                world.network.cut(worker.name, f"c{number}", SILENT)
        await curio.sleep(1)
        world.crash(leader)
        assert await world.until_told(cancelled, leader + 1) == "cancelled"
        await curio.sleep(LEASE_S / 2)
        # Their tasks go on, by leases of their own.
        assert len(world.held(cancelled)) == 8 and not world.held(waits)
        await world.until_done(waits, NEGLECTED_S)

    World(capacity=20).play(monkeypatch, story)


# -- machines that were just up ------------------------------------------------------------------


@pytest.mark.parametrize("late", [False, True])
def test_machines_up_at_once_get_work_and_the_leader_ends_again_and_again(
    monkeypatch: pytest.MonkeyPatch, late: bool
) -> None:
    """``late``: the records of what was placed come late, after newer ones.  Whatever starts is
    named by a record before it is ordered, whoever leads, so nothing runs twice."""

    async def story(world: World) -> None:
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
        await world.until(lambda: world.leader() is not None)
        if late:
            count = 0

            def after(source: str, address: str, request: Request) -> float | None:
                nonlocal count
                if request.path != "/txn" or b"placed/" not in request.body:
                    return None
                count += 1
                return 2.0 + count % 5 if count % 2 else None

            world.network.late = after
        jobs = []
        for turn in range(5):
            jobs.append(await world.run_job("array", 3, run_s=9.0, crew="blue", image_gb=0.2))
            jobs.append(await world.run_job("gang", 2, run_s=9.0, crew="red", image_gb=0.2))
            known = set(world.fleet.workers)
            for _ in range(20):
                # Where it does with machines that it has, it ends all the same.
                if set(world.fleet.workers) - known:
                    break
                await curio.sleep(0.25)
            await curio.sleep(0.25 * turn)
            leader = leader_of(world) if world.leader() is not None else turn % 3
            world.crash(leader)
            await curio.sleep(1)
            await world.start(leader)
            await world.until(lambda: world.leader() is not None, limit=20)
        for job in jobs:
            await world.until_done(job)
        assert world.starts.total() >= 25
        assert unnamed == []

    World(boot_s=1.0, capacity=20).play(monkeypatch, story)


def _placed(records: Iterable[Any], machine: str) -> Iterable[Any]:
    for record in records:
        for entry in record["machines"]:
            name, *_, tasks = entry
            if name == machine:
                yield from tasks


# -- old reports ---------------------------------------------------------------------------------


@pytest.mark.parametrize("after", [0.0, 0.3, 1.5])
def test_copies_of_old_reports_reach_all_controllers_as_a_new_leader_begins(
    monkeypatch: pytest.MonkeyPatch, after: float
) -> None:
    """Of earlier attempts, sessions and tokens, of machines that are gone, and before the machines
    themselves are heard of: they free, renew, wake and start nothing, and end no later attempt."""

    async def story(world: World) -> None:
        kept: list[Request] = []

        def keep(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
            if request.path == "/checkin":
                kept.append(request)
            return ()

        world.network.copies = keep
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=60.0, bookmark_s=5.0, stow_s=1.0, crew="blue")
        await world.until(lambda: world.running(stays) == 3 and world.running(gang) == 2)
        short = await world.run_job("array", 4, run_s=8.0, crew="red")
        await world.until(lambda: world.running(short) >= 1)
        # An attempt of the gang ends and another begins, a machine goes and another session.
        world.held(gang)[0][0].hanging = True
        await curio.sleep(LEASE_S + 5)
        for worker in world.fleet.workers.values():
            worker.hanging = False
        await world.until(lambda: world.running(gang) == 2 and world.running(stays) == 3)
        await world.until_done(short)
        begun = dict(world.starts)
        old = leader_of(world)
        world.network.copies = None
        for name in {w.name for w, _ in world.held(stays)}:
            # Not heard of for a while by anybody.
            for number in range(3):
                world.network.cut(name, f"c{number}", SILENT)
        world.crash(old)
        await world.until(lambda: world.leader() not in (None, old), limit=10)
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
        await world.until_done(gang)
        assert await world.status(short, leader_of(world)) == "done"
        assert {t: n for t, n in world.starts.items() if t.startswith(stays)} == {
            t: n for t, n in begun.items() if t.startswith(stays)
        }
        late = await world.run_job("array", 6, run_s=3.0, crew="red")
        await world.until_done(late, NEGLECTED_S)

    World().play(monkeypatch, story)


# -- floods --------------------------------------------------------------------------------------


@pytest.mark.parametrize("changes", [25.0, 80.0])
def test_jobs_of_one_task_come_four_a_second_and_a_quarter_is_cancelled(
    monkeypatch: pytest.MonkeyPatch, changes: float
) -> None:
    """At few and at many changes a second: answers in time, nothing piles up, all are served."""

    async def story(world: World) -> None:
        await world.until(lambda: world.leader() is not None)
        await curio.sleep(3)
        jobs: list[str] = []
        slowest = 0.0

        async def user(number: int, job: str) -> None:
            nonlocal slowest
            await world.submit(job)
            if number % 4 == 3:
                await curio.sleep(number % 7 * 1.5)
                began = monotonic().total_seconds()
                await world.until_told(job, number)
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
                assert monotonic().total_seconds() - began < NEGLECTED_S, (job, said)
                await curio.sleep(1)
        cancelled = sum(world.told.final[job] == "cancelled" for job in jobs)
        assert cancelled > 20 and len(world.told.cancelled_at) == cancelled
        assert slowest < 8 and most < 200
        assert world.state.too_many < 20 and world.state.changes < 5 * len(jobs)

    World(changes_per_s=changes, capacity=20).play(monkeypatch, story)


def test_a_hundred_jobs_that_fetch_their_images_are_cancelled_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Few of the cancellations wait at the leader, whose connections the pings of the others need;
    all are told soon, and nothing starts after that."""

    async def story(world: World) -> None:
        await world.until(lambda: world.leader() is not None)
        await curio.sleep(3)
        jobs = []
        for number in range(100):
            image = {"build": f"img-{number % 20}", "image_gb": 9.0}
            jobs.append(await world.run_job("array", 1, run_s=60.0, crew="blue", **SMALL, **image))
        await world.until(lambda: sum(len(w.tasks) for w in world.fleet.workers.values()) > 60)
        # What is ordered is shown with the next report only.
        world.network.mute |= set(world.fleet.workers)
        leader = leader_of(world)
        began = monotonic().total_seconds()
        tellers = [await curio.spawn(world.until_told, job, n) for n, job in enumerate(jobs)]
        most = 0
        for _ in range(200):
            await curio.sleep(0.01)
            most = max(most, world.nodes[leader]._cancellations.waiting_for_starts)
        world.network.mute.clear()
        assert {await teller.join() for teller in tellers} == {"cancelled"}
        assert 0 < most <= 30 and leader_of(world) == leader
        assert monotonic().total_seconds() - began < 30

    World(capacity=20).play(monkeypatch, story)


# -- machines that reach nobody, leaders that change all the time ---------------------------------


def test_machines_that_reach_no_controller_are_stopped_by_command_and_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Direct commands reach them: what is cancelled is gone at once, what is not ends with its
    lease and begins once elsewhere."""

    async def story(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        cancelled = await world.run_job("daemon", 4, crew="blue")
        array = await world.run_job("array", 2, run_s=70.0, crew="red")
        await world.until(lambda: world.running(stays) == 3 and world.running(cancelled) == 4)
        await world.until(lambda: world.running(array) == 2)
        await curio.sleep(SETTLED)
        leader = leader_of(world)
        mute = {w.name for w, _ in (*world.held(cancelled), *world.held(array))}
        world.network.mute |= mute
        await curio.sleep(3)
        assert await world.until_told(cancelled, leader + 1) == "cancelled"
        await world.until(lambda: not world.held(cancelled), limit=4)
        world.crash(leader)
        await curio.sleep(LEASE_S + 12)
        await world.start(leader)
        await world.until(lambda: world.running(stays) == 3)
        await world.until_done(array)
        assert {world.starts[f"{array}/{index}"] for index in range(2)} == {2}
        world.network.mute.clear()
        late = await world.run_job("array", 4, run_s=3.0, crew="blue")
        await world.until_done(late, NEGLECTED_S)

    World(capacity=20).play(monkeypatch, story)


@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(
    monkeypatch: pytest.MonkeyPatch, outage: bool
) -> None:
    """Some of the changes fall into outages of the state service; users submit, ask and cancel."""

    async def story(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.until(lambda: world.running(stays) == 3)
        await curio.sleep(SETTLED)
        jobs: list[str] = []
        cancelled: list[str] = []
        terms = {world.term()}
        number = leader_of(world)
        for turn in range(10):
            if not world.state.outage:
                jobs.append(await world.run_job("array", 2, run_s=14.0, crew="blue", image_gb=1.0))
                cancelled.append(await world.run_job("daemon", 1, crew="red", **SMALL))
            if outage and turn % 3 == 1:
                world.state.outage = True
            world.crash(number)
            await curio.sleep(0.5)
            await world.start(number)
            if len(cancelled) > 2:
                await curio.spawn(world.until_told, cancelled.pop(0), number + 1, daemon=True)
            await curio.sleep(4)
            world.state.outage = False
            await world.until(lambda: world.term() not in {0, *terms}, limit=10)
            terms.add(world.term())
            number = leader_of(world)
            await curio.sleep(5)
        assert len(terms) == 11
        for job in jobs:
            await world.until_done(job)
        await world.until(lambda: world.running(stays) == 3)

    World(capacity=20).play(monkeypatch, story)


def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It goes on inside; bound to it or not, jobs are begun once more at most, what is cancelled
    outside is gone in time, and all are served when it is back."""

    async def story(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        bound = await world.run_job("array", 4, run_s=50.0, depot="north", crew="blue")
        cancelled = await world.run_job("daemon", 3, scatter=True, crew="red")
        await world.until(lambda: world.running(stays) == 3 and world.running(cancelled) == 3)
        await world.until(lambda: world.running(bound) == 4)
        await curio.sleep(SETTLED)
        inside = ["c0", *(w.name for w in world.fleet.workers.values() if w.zone == "north")]
        outside = ["c1", "c2", "state", "cloud"]
        outside += [w.name for w in world.fleet.workers.values() if w.zone != "north"]
        for one in inside:
            for other in outside:
                world.network.cut(one, other, SILENT)
        await curio.sleep(1)
        assert await world.until_told(cancelled, 1) == "cancelled"
        await curio.sleep(LEASE_S * 2)
        late = await world.run_job("array", 2, run_s=5.0, depot="north", crew="blue")
        for one in inside:
            for other in outside:
                await world.network.heal(one, other)
        for job in (bound, late):
            await world.until_done(job, NEGLECTED_S + 50)
        await world.until(lambda: world.running(stays) == 3)
        assert max(world.starts[f"{bound}/{index}"] for index in range(4)) <= 2

    World(capacity=20).play(monkeypatch, story)


@pytest.mark.parametrize("seen", [True, False])
def test_all_controllers_are_away_for_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch, seen: bool
) -> None:
    """All tasks end with their leases; a cancellation told right before counts all the same, also
    of tasks that nobody saw start.  Everything else begins once more."""

    async def story(world: World) -> None:
        stays = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 3, run_s=30.0, depot="south", crew="blue")
        await world.until(lambda: world.running(stays) == 3 and world.running(array) == 3)
        await curio.sleep(SETTLED)
        cancelled = await world.run_job("daemon", 2, crew="red", image_gb=4.0)
        if seen:
            await world.until(lambda: world.running(cancelled) == 2)
            await curio.sleep(2)
        said = await world.cancel(cancelled, 2)
        for number in range(3):
            world.crash(number)
        await curio.sleep(LEASE_S + 8)
        assert not world.held()
        for number in range(3):
            await world.start(number)
        assert said == "cancelled" or await world.until_told(cancelled, 0) == "cancelled"
        await world.until_done(array, NEGLECTED_S)
        await world.until(lambda: world.running(stays) == 3, limit=NEGLECTED_S)
        assert not world.held(cancelled)

    World(capacity=20).play(monkeypatch, story)


def test_more_work_than_room_over_slow_links_while_users_cancel_and_ask(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Urgent and not, a slow state service and slow links between controllers, and the leader
    ends: limits hold, all are known, and all are served once it is over."""

    async def story(world: World) -> None:
        await world.until(lambda: world.leader() is not None)
        await curio.sleep(3)
        delays = [0.0, 0.1, 0.4, 0.9, 0.2, 1.6]
        turn = 0

        def slow(source: str, address: str, request: Request) -> float:
            nonlocal turn
            turn += 1
            if address == state_fake.ADDRESS or address.endswith(":8081"):
                return delays[turn % len(delays)]
            return 0.0

        world.network.slow = slow
        jobs: list[str] = []
        cancelled: list[str] = []
        for number in range(18):
            crew, rank = ("red", "blue")[number % 2], ("low", "standard", "high")[number % 3]
            job = world.job("array", 2, run_s=12.0, crew=crew, rank=rank, image_gb=1.0)
            await world.submit(job)
            (cancelled if number % 5 == 4 else jobs).append(job)
            for other in range(3):
                await curio.spawn(world.status, job, other, daemon=True)
            if number == 9:
                await curio.spawn(change_hands, world, "ended", daemon=True)
            if number % 5 == 4:
                await curio.spawn(world.until_told, job, number, daemon=True)
            await curio.sleep(1)
        await curio.sleep(8)
        world.network.slow = None
        for job in jobs:
            await world.until_done(job, 200)
        assert all(world.told.final[job] in ("cancelled", "done") for job in cancelled)

    World(capacity=3).play(monkeypatch, story)
