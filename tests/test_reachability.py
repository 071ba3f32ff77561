"""Stories of machines that report and don't hear, of late copies, of workers that begin anew."""

from __future__ import annotations

import random
from collections.abc import Iterable

import curio
import pytest

from bench.model_reachability import GUARDS, explore, small_margin, without
from micadeal.clock import monotonic, seconds
from micadeal.fleet.reachability import MAX_EXCUSED_FAILURES, UNREACHABLE_AFTER, Reachability
from micadeal.http.message import Request
from micadeal.wire.codec import decode
from tests.fakes.workers import FakeWorker
from tests.fakes.world import LEASE_S, World, leader_of

#: A lease, the time after it in which a silent machine is returned, and a start elsewhere.
MOVED_IN = LEASE_S + 10


def _workers_of(world: World, job: str) -> list[FakeWorker]:
    return [worker for worker, _ in world.held(job)]


# -- machines that are heard and hear nothing ----------------------------------------------


@pytest.mark.parametrize("trouble", ["alone", "crash", "outage"])
def test_the_work_of_a_deaf_machine_moves_and_it_swallows_no_more(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    async def story(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.until(lambda: world.running(service) == 3)
        receives_nothing = _workers_of(world, service)[0]
        world.network.receives_nothing.add(receives_nothing.name)
        leader = leader_of(world)
        if trouble == "crash":
            world.crash(leader)
        world.state.outage = trouble == "outage"
        more = [world.job("array", 2, run_s=5.0, crew="blue") for _ in range(3)]
        if trouble == "outage":
            await curio.sleep(6)
            world.state.outage = False
        for job in more:
            await world.submit(job)
        await world.until(lambda: world.running(service) < 3, limit=LEASE_S + 8)
        took = await world.until(lambda: world.running(service) == 3, limit=MOVED_IN)
        assert took < MOVED_IN
        for job in more:
            await world.until_done(job)
        assert receives_nothing not in _workers_of(world, service)
        await world.until(lambda: receives_nothing.name in world.cloud.releases, limit=60)

    world = World().play(monkeypatch, story)
    assert max(world.starts.values()) <= 2


def test_a_machine_that_hears_again_is_trusted_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        first = await world.run_job("array", 2, run_s=30.0)
        await world.until(lambda: world.running(first) == 2)
        machine = _workers_of(world, first)[0]
        world.network.receives_nothing.add(machine.name)
        second = await world.run_job("array", 1, run_s=5.0, crew="blue")
        await curio.sleep(9)
        world.network.receives_nothing.clear()
        await world.until_done(second)
        await world.until_done(first)
        assert machine.incarnation == 1

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_a_cancellation_holds_on_a_zone_that_does_not_hear_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``: no answer that was merely sent counts as a halt, nor as a lease."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=200.0, one_zone=True, crew="blue")
        await world.until(lambda: world.running(service) == 4 and world.running(gang) == 2)
        zone = _workers_of(world, gang)[0].zone
        world.network.receives_nothing |= {
            w.name for w in world.fleet.workers.values() if w.zone == zone
        }
        assert await world.cancel(gang, 1) == "cancelled"
        await curio.sleep(3)
        world.crash(leader_of(world))
        await world.until(lambda: not world.held(gang), limit=30)
        await curio.sleep(LEASE_S)
        await world.until(lambda: world.running(service) == 4, limit=60)
        assert not world.network.receives_nothing & {w.name for w in _workers_of(world, service)}

    World().play(monkeypatch, story)


def test_a_leader_that_nobody_hears_returns_no_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its own answers are lost on the way, not those for one machine."""

    async def story(world: World) -> None:
        array = await world.run_job("array", 6, run_s=60.0)
        await world.until(lambda: world.running(array) == 6)
        names = set(world.fleet.workers)
        world.network.receives_nothing |= names
        await curio.sleep(25)
        assert not names & set(world.cloud.releases)
        world.network.receives_nothing.clear()
        await world.until_done(array)

    World().play(monkeypatch, story)


# -- late copies of reports ----------------------------------------------------------------


def _copies(world: World, seed: int, delays: tuple[float, float]) -> None:
    """From now on half of all reports come again later, at any controller."""
    rng = random.Random(seed)
    places = list(world.fleet.controllers.values())

    def copy(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and rng.random() < 0.5:
            yield rng.uniform(*delays), rng.choice(places)

    world.network.copies = copy


@pytest.mark.parametrize("delays", [(0.5, 6.0), (5.0, 16.0), (15.0, 45.0)])
def test_late_copies_of_reports_change_nothing(
    monkeypatch: pytest.MonkeyPatch, delays: tuple[float, float]
) -> None:
    """A machine dies, one is taken, a leader crashes: what came before comes again after."""

    async def story(world: World) -> None:
        _copies(world, 7, delays)
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        array = await world.run_job("array", 4, run_s=40.0, crew="blue", loaners=True)
        await world.until(lambda: world.running(service) == 4 and world.running(array) == 4)
        await curio.sleep(8)
        dead = _workers_of(world, service)[0]
        world.cloud.take(dead.name)
        await world.until(lambda: world.running(service) == 4, limit=MOVED_IN)
        world.cloud.take(_workers_of(world, array)[0].name)
        world.crash(leader_of(world))
        await world.until(lambda: world.running(service) == 4, limit=MOVED_IN)
        late = await world.run_job("array", 2, run_s=5.0)
        await world.until_done(late)
        await world.until_done(array)

    World().play(monkeypatch, story)


def test_a_copy_of_a_machine_that_is_gone_makes_none_for_the_next_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next leader does not know what its predecessor saw go."""

    async def story(world: World) -> None:
        first = await world.run_job("array", 2, run_s=15.0)
        await world.until(lambda: world.running(first) == 2)
        gone = _workers_of(world, first)[0]
        kept: list[Request] = []

        def keep(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
            if source == gone.name and request.path == "/checkin":
                kept.append(request)
            return ()

        world.network.copies = keep
        await world.until_done(first)
        shown = [
            r for r in kept if any(t["status"] == "running" for t in decode(dict, r.body)["legs"])
        ]
        await world.until(lambda: gone.name in world.cloud.releases)
        old = leader_of(world)
        world.crash(old)
        await world.until(lambda: world.leader() not in (None, old), limit=10)
        await curio.sleep(1)
        leader = f"10.0.0.{leader_of(world) + 1}:8080"
        for number in range(5):
            await world.network.request("late", leader, shown[-1 - number % 2], seconds(4))
            await curio.sleep(2)
        found = (await world.call(leader_of(world), "GET", "/overview"))[1]
        assert sum(line["up"] + line["booting"] for line in found["machines"]) == len(
            world.cloud.machines
        )
        await world.until_done(await world.run_job("array", 2, run_s=5.0))

    World().play(monkeypatch, story)


# -- workers that begin anew ---------------------------------------------------------------


@pytest.mark.parametrize("copied", [False, True])
def test_what_ran_on_a_machine_that_began_anew_runs_elsewhere_at_once(
    monkeypatch: pytest.MonkeyPatch, copied: bool
) -> None:
    """Guards against tasks that seem to run until the new process has sent as many reports as the
    old one, and against copies of the old one's, which would show them again."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.until(lambda: world.running(service) == 3)
        await curio.sleep(60)
        if copied:
            _copies(world, 3, (0.5, 30.0))
            await curio.sleep(10)
        machine = _workers_of(world, service)[0]
        machine.begin_anew()
        await world.until(lambda: machine.name in world.cloud.releases, limit=6)
        # Another machine boots, and fetches the image.
        await world.until(lambda: world.running(service) == 3, limit=20)

    world = World().play(monkeypatch, story)
    assert max(world.starts.values()) == 2


def test_a_machine_begins_anew_while_the_next_leader_is_elected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 2, run_s=30.0, crew="blue")
        await world.until(lambda: world.running(service) == 3 and world.running(array) == 2)
        leader = leader_of(world)
        world.crash(leader)
        await curio.sleep(0.3)
        await world.start(leader)
        for worker in list(world.fleet.workers.values())[::2]:
            worker.begin_anew()
        await curio.sleep(1.5)
        world.crash((leader + 1) % 3)
        await curio.sleep(0.2)
        await world.start((leader + 1) % 3)
        await world.until(lambda: world.running(service) == 3, limit=30)
        await world.until_done(array)

    World().play(monkeypatch, story)


# -- controllers ---------------------------------------------------------------------------


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("mode", ["silent", "hold"])
def test_a_controller_that_reaches_only_its_workers_holds_nobody_up(
    monkeypatch: pytest.MonkeyPatch, leads: bool, mode: str
) -> None:
    """As leader it gives way to the next one, as follower it says that it can't serve."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        gang = await world.run_job("gang", 2, run_s=300.0, crew="blue")
        await world.until(lambda: world.running(service) == 4 and world.running(gang) == 2)
        # All know that it runs: else none can be sure, without its leader, that nothing starts.
        await curio.sleep(2)
        leader = leader_of(world)
        alone = leader if leads else (leader + 1) % 3
        rest = [n for n in range(3) if n != alone]
        for other in ("state", *(f"c{n}" for n in rest)):
            world.network.cut(f"c{alone}", other, mode)
        await curio.sleep(1)
        assert await world.cancel(gang, rest[0]) == "cancelled"
        if not leads:
            world.crash(leader)
        await curio.sleep(8)
        assert (await world.call(alone, "GET", "/ready"))[0] == 503
        assert world.running(service) == 4
        late = await world.run_job("array", 1, run_s=4.0, crew="blue")
        if not leads:
            await world.start(leader)
        began = monotonic()
        while await world.status(late, rest[1]) != "done":
            assert monotonic() - began < seconds(90)
            await curio.sleep(1)
        for other in ("state", *(f"c{n}" for n in rest)):
            await world.network.heal(f"c{alone}", other)
        await curio.sleep(20)
        assert world.running(service) == 4 and not world.held(gang)

    world = World().play(monkeypatch, story)
    assert all(count == 1 for task, count in world.starts.items() if not task.endswith("gang"))


def test_a_controller_is_back_within_a_fraction_of_a_second_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        array = await world.run_job("array", 4, run_s=40.0, crew="blue")
        await world.until(lambda: world.running(service) == 3)
        cancelled_by_dependency = await world.run_job("array", 2, run_s=200.0, crew="blue")
        await curio.sleep(2)
        for number in (0, 1, 2, 2, 0, 1, 1):
            world.crash(number)
            await curio.sleep(0.2)
            await world.start(number)
            await curio.sleep(0.4)
        assert await world.cancel(cancelled_by_dependency, 1) in ("cancelled", None)
        leader = world.leader()
        if leader is not None:
            world.crash(leader)
            await curio.sleep(0.1)
            await world.start(leader)
        await world.until_done(array)
        assert world.running(service) == 3

    World().play(monkeypatch, story)


# -- what messages prove -------------------------------------------------------------------


def test_only_an_answer_put_after_the_newest_message_proves_that_a_worker_began_anew() -> None:
    reachability = Reachability()
    reachability.take(7, seconds(10))
    assert not reachability.proves_restart(None)
    assert not reachability.proves_restart(seconds(9))
    assert not reachability.proves_restart(seconds(10))
    assert reachability.proves_restart(seconds(11))


def test_a_machine_is_deaf_by_what_it_shows_and_hears_again_by_an_answer() -> None:
    reachability = Reachability()
    reachability.response_had_no_effect(seconds(1))
    assert not reachability.receives_nothing
    reachability.probe_unanswered(seconds(0))
    assert not reachability.receives_nothing
    reachability.probe_unanswered(seconds(2))
    assert reachability.receives_nothing and reachability.receives_nothing_for(
        seconds(5)
    ) == seconds(4)
    reachability.probe_answered(seconds(6))
    assert not reachability.receives_nothing and reachability.missed < UNREACHABLE_AFTER
    for _ in range(MAX_EXCUSED_FAILURES):
        reachability.response_had_no_effect(seconds(7))
    reachability.probe_answered(seconds(8))
    assert reachability.receives_nothing
    reachability.response_took_effect()
    assert not reachability.receives_nothing


def test_no_course_of_a_small_world_breaks_the_rule_and_each_guard_is_needed() -> None:
    with small_margin():
        _, course = explore(6)
        assert course is None
        for guard in GUARDS:
            with without(guard):
                _, course = explore(7)
                assert course is not None, guard


# -- nonsense ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "nonsense",
    [
        {"host": ""},
        {"shift": -1},
        {"tick": -5},
        {"baton": "x"},
        {"recall_s": float("nan")},
        {"recall_s": float("inf")},
        {"legs": [{"leg": "req-000001/0", "try": -1, "status": "running"}]},
        {"legs": 7},
        {"shift": None},
    ],
)
def test_a_report_that_is_none_is_refused_and_costs_nothing(
    monkeypatch: pytest.MonkeyPatch, nonsense: dict[str, object]
) -> None:
    async def story(world: World) -> None:
        job = await world.run_job("array", 1, run_s=20.0)
        await world.until(lambda: world.running(job) == 1)
        worker = _workers_of(world, job)[0]
        heartbeat = worker._on_heartbeat() | nonsense
        for number in range(3):
            assert (await world.call(number, "POST", "/checkin", heartbeat))[0] == 400
        await world.until_done(job)

    World().play(monkeypatch, story)


def test_states_and_tasks_that_nobody_knows_do_no_harm(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        job = await world.run_job("array", 1, run_s=20.0)
        await world.until(lambda: world.running(job) == 1)
        worker = _workers_of(world, job)[0]
        odd = [
            {"leg": "no task", "try": 1, "status": "running"},
            {"leg": "req-999999/0", "try": 1, "status": "dreaming"},
        ]
        heartbeat = worker._on_heartbeat()
        heartbeat["legs"] = heartbeat["legs"] + odd
        assert (await world.call(leader_of(world), "POST", "/checkin", heartbeat))[0] == 200
        await world.until_done(job)

    World().play(monkeypatch, story)
