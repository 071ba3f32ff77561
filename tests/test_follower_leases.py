"""Stories of followers that keep workers' leases alive while nobody can lead."""

from __future__ import annotations

import logging
from typing import Any

import curio
import pytest

from bench.model_follower_leases import GUARDS, explore
from micadeal.actor import MailboxFullError
from micadeal.clock import seconds
from micadeal.controller.follower_leases import MAX_CANCELLATIONS, FollowerLeases
from micadeal.controller.messages import JobCancelled
from micadeal.http.message import Request
from micadeal.leadership.follower_leases import RenewalTiming
from micadeal.wire import peers
from micadeal.wire.codec import MessageFormatError, encode
from tests.fakes.world import CANCEL_S, LEASE_S, SETTLED, World, leader_of


async def _services(world: World, tasks: int = 3) -> str:
    """A settled deployment with a service of some tasks, spread over zones."""
    service = await world.run_job("daemon", tasks, scatter=True, rank="production")
    await world.until(lambda: world.running(service) == tasks)
    await curio.sleep(SETTLED)
    return service


def _all_once(world: World, service: str) -> bool:
    tasks = [task for task in world.starts if task.startswith(f"{service}/")]
    return bool(tasks) and all(world.starts[task] == 1 for task in tasks)


@pytest.mark.parametrize("back", [True, False])
def test_a_long_outage_with_the_leaders_crash_costs_no_task(
    monkeypatch: pytest.MonkeyPatch, back: bool
) -> None:
    async def story(world: World) -> None:
        service = await _services(world)
        leader = leader_of(world)
        world.state.outage = True
        await curio.sleep(10)
        world.crash(leader)
        await curio.sleep(6)
        if back:
            await world.start(leader)
        await curio.sleep(60)
        assert world.running(service) == 3
        world.state.outage = False
        await world.until_done(await world.run_job("array", 1, run_s=5.0))
        assert _all_once(world, service)

    World().play(monkeypatch, story)


def test_each_controller_crashes_once_in_one_outage(monkeypatch: pytest.MonkeyPatch) -> None:
    """The one that was told the token goes last: until then nothing is lost.  After it nobody knows
    the token, and the tasks end with their leases: once, and nothing is begun twice."""

    async def story(world: World) -> None:
        service = await _services(world)
        leader = leader_of(world)
        others = [(leader + 1) % 3, (leader + 2) % 3]
        world.state.outage = True
        await curio.sleep(5)
        world.crash(leader)
        await curio.sleep(6)
        await world.start(leader)
        await curio.sleep(10)
        world.crash(others[0])
        await curio.sleep(6)
        await world.start(others[0])
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 3
        world.crash(others[1])
        await curio.sleep(6)
        await world.start(others[1])
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 0
        world.state.outage = False
        await world.until(lambda: world.running(service) == 3)

    World().play(monkeypatch, story)


def test_a_zone_that_is_cut_off_with_its_controller_is_given_up_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_twice``: the controller in there sees no leader, no state service and no peer,
    and does not stand in alone; what ran there is started elsewhere once its lease is over."""

    async def story(world: World) -> None:
        service = await _services(world)
        leader = leader_of(world)
        inside, other = (leader + 1) % 3, (leader + 2) % 3
        apart = world.held(service)[0][0]
        for number in (leader, other):
            world.network.cut(f"c{inside}", f"c{number}")
            world.network.cut(apart.name, f"c{number}")
        world.network.cut(f"c{inside}", "state")
        at_most = LEASE_S + 14
        await curio.sleep(1)
        moved = await world.until(
            lambda: sum(w is not apart for w, _ in world.held(service)) == 3, limit=at_most
        )
        assert moved > LEASE_S - 4

    World(boot_s=2.0).play(monkeypatch, story)


@pytest.mark.parametrize("sees_state", [True, False])
def test_a_leader_that_only_its_peers_have_lost_does_not_start_what_they_keep_alive(
    monkeypatch: pytest.MonkeyPatch, sees_state: bool
) -> None:
    """Guards ``ran_twice``: some workers reach the leader, some the two that stand in for it; what
    is silent to the leader is not silent.  It may be in touch with the state service all along."""

    async def story(world: World) -> None:
        service = await _services(world)
        leader = leader_of(world)
        others = [(leader + 1) % 3, (leader + 2) % 3]
        for other in others:
            world.network.cut(f"c{other}", f"c{leader}")
            world.network.cut(f"c{other}", "state")
        if not sees_state:
            world.state.outage = True
        apart = world.held(service)[0][0]
        world.network.cut(apart.name, f"c{leader}")
        await curio.sleep(60)
        world.state.outage = False
        await curio.sleep(40)
        for other in others:
            await world.network.heal(f"c{other}", f"c{leader}")
            await world.network.heal(f"c{other}", "state")
        await world.network.heal(apart.name, f"c{leader}")
        await world.until(lambda: world.running(service) == 3)

    World().play(monkeypatch, story)


def test_what_was_cancelled_before_the_outage_is_gone_in_time_whoever_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled`` (watched by the world): the leader, which told it, is gone a moment
    later, and the machines were out of its reach.  One of those left was told the cancellation."""

    async def story(world: World) -> None:
        service = await _services(world)
        cancelled_by_dependency = await world.run_job("daemon", 2, crew="blue")
        await world.until(lambda: world.running(cancelled_by_dependency) == 2)
        leader = leader_of(world)
        for worker, _ in world.held(cancelled_by_dependency):
            world.network.cut(worker.name, f"c{leader}")
        # Its notice reaches one of the followers only.
        world.network.cut(f"c{leader}", f"c{(leader + 2) % 3}")
        assert await world.cancel(cancelled_by_dependency, leader) == "cancelled"
        world.crash(leader)
        world.state.outage = True
        await curio.sleep(CANCEL_S + 20)
        assert not world.held(cancelled_by_dependency)
        assert world.running(service) == 3
        world.state.outage = False
        await curio.sleep(10)

    World().play(monkeypatch, story)


def test_a_cancellation_that_nobody_else_has_heard_of_is_not_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is recorded and its tasks are stopped at once; a leader tells its user when nothing is
    left, one that does not lead when the others can hear of it."""

    async def story(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.until(lambda: world.running(job) == 2)
        leader = leader_of(world)
        for other in ((leader + 1) % 3, (leader + 2) % 3):
            world.network.cut(f"c{leader}", f"c{other}")
        worker, _ = world.held(job)[0]
        world.network.cut(worker.name, f"c{leader}")
        assert await world.cancel(job, leader) is None
        await world.network.heal(worker.name, f"c{leader}")
        await world.until(lambda: not world.held(job), limit=6)
        await curio.sleep(3)
        assert await world.cancel(job, leader) == "cancelled"
        follower = (leader + 1) % 3
        world.network.cut(f"c{follower}", f"c{(leader + 2) % 3}")
        assert await world.status(job, follower) is None
        await world.network.heal(f"c{follower}", f"c{(leader + 2) % 3}")
        assert await world.status(job, follower) == "cancelled"

    World().play(monkeypatch, story)


def test_the_outage_ends_while_two_zones_cannot_see_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What was sent before, transactions and reports, arrives when the packets are let go."""

    async def story(world: World) -> None:
        service = await _services(world)
        array = await world.run_job("array", 3, run_s=50.0)
        await world.until(lambda: world.running(array) == 3)
        leader = leader_of(world)
        other = (leader + 1) % 3
        world.network.cut(f"c{leader}", "state", "hold")
        world.network.cut(f"c{other}", f"c{leader}", "hold")
        for worker, _ in world.held(service)[:2]:
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
        await world.until_done(array)
        await world.until(lambda: world.running(service) == 3)

    World().play(monkeypatch, story)


def test_a_machine_hangs_over_the_change_from_one_that_stands_in_to_a_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It goes on within its lease just when a new leader takes over; spot machines go meanwhile."""

    async def story(world: World) -> None:
        service = await _services(world)
        spot = await world.run_job("array", 2, run_s=300.0, loaners=True, crew="blue")
        await world.until(lambda: world.running(spot) == 2)
        leader = leader_of(world)
        world.state.outage = True
        await curio.sleep(2)
        world.crash(leader)
        await curio.sleep(20)
        hung = world.held(service)[0][0]
        hung.hanging = True
        await curio.sleep(3)
        for name in {w.name for w, _ in world.held(spot) if w.spot}:
            world.cloud.take(name)
        await curio.sleep(2)
        world.state.outage = False
        await world.until(lambda: world.leader() not in (None, leader), limit=10)
        await curio.sleep(2)
        hung.hanging = False
        await world.until(lambda: world.running(spot) == 2)
        assert _all_once(world, service)

    World().play(monkeypatch, story)


def test_beside_a_controller_of_an_earlier_version_nobody_stands_in(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``: the earlier version tells "cancelled" by itself.  It is replaced,
    and once what it told is of no concern any more the others may stand in."""

    async def story(world: World) -> None:
        await world.until(lambda: world.leader() is not None, limit=10)
        earlier = (leader_of(world) + 1) % 3
        world.crash(earlier)
        await world.start(earlier, earlier=True)
        service = await _services(world)
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
        await world.until(lambda: world.running(service) == 3)
        await curio.sleep(SETTLED)
        world.state.outage = True
        await curio.sleep(3)
        world.crash(leader_of(world))
        await curio.sleep(LEASE_S * 2)
        assert world.running(service) == 3
        world.state.outage = False

    World().play(monkeypatch, story)


# -- bad input -------------------------------------------------------------------------------


def _follower_leases() -> FollowerLeases:
    return FollowerLeases(["c1", "c2"], RenewalTiming(seconds(15), seconds(34), 3), seconds(0))


def test_a_term_that_goes_backwards_is_refused_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    follower_leases = _follower_leases()
    follower_leases.word(peers.Ping("c1", leading_token=9), False, False, seconds(100))
    for second in range(101, 110):
        follower_leases.word(peers.Ping("c2", leading_token=4), False, False, seconds(second))
    assert [r.message for r in caplog.records] == [
        "ping of a past term refused: controller=c2 token=4"
    ]
    # It has not kept us quiet: nobody but the leader of the present term can.
    asks = peers.Ping("c1", wants_consent=9, wants_cancellations=True)
    assert follower_leases.word(asks, False, False, seconds(110)).consent == 9
    for unknown in (4, -1):
        asks = peers.Ping("c1", wants_consent=unknown, wants_cancellations=True)
        assert follower_leases.word(asks, False, False, seconds(110)).consent == 0


def test_nonsense_in_a_word_counts_for_nothing() -> None:
    follower_leases = _follower_leases()
    for age, bound in ((float("nan"), 0.0), (0.0, float("inf")), (1e300, 0.0)):
        with pytest.raises(MessageFormatError):
            follower_leases.on_ping_answer(
                "c1", peers.RenewalPromise(age, True, 0, 1, bound), seconds(1), seconds(1), 5
            )
    assert all(view.asked_at is None for view in follower_leases.views())
    told = {"../../etc": 0.0, "req-1": 5000.0}
    news = follower_leases.on_ping_answer(
        "c1", peers.RenewalPromise(1e6, True, cancellations=told), seconds(1), seconds(1), 0
    )
    assert news == ["req-1"]


def test_a_cancellation_that_finds_the_leader_busy_is_not_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``: it is on the leader's list, so nobody would tell of it again, and
    the leader would go on answering as if it knew of all."""

    async def story(world: World) -> None:
        await curio.sleep(3)
        node = world.nodes[leader_of(world)]
        leader_actor = node._leader_actor
        assert leader_actor is not None
        heard: list[Any] = []

        async def full(message: Any) -> None:
            raise MailboxFullError

        async def free(message: Any) -> None:
            heard.append(message)

        monkeypatch.setattr(leader_actor, "tell", full)
        assert not await node._pass_on(["req-1"])
        assert not await node._pass_on([])
        monkeypatch.setattr(leader_actor, "tell", free)
        assert await node._pass_on(["req-2"])
        assert heard == [JobCancelled("req-1"), JobCancelled("req-2")]

    World().play(monkeypatch, story)


def test_a_list_that_overflows_is_no_ground_to_stand_in() -> None:
    """Guards ``ran_cancelled``: what fell off the list could be kept alive."""
    follower_leases = _follower_leases()
    at = seconds(1000)
    asks = peers.Ping("c1", wants_consent=3, wants_cancellations=True)
    for number in range(MAX_CANCELLATIONS):
        assert follower_leases.note(f"req-{number}", at)
    assert follower_leases.word(asks, False, False, at).consent == 3
    follower_leases.note("req-999999", at)
    assert follower_leases.word(asks, False, False, at).consent == 0
    assert follower_leases.word(asks, False, False, at + seconds(36)).consent == 3


@pytest.mark.parametrize(
    "body", [b"\xc1", b"", encode([1, 2]), encode({"controller": 5}), b"x" * 999]
)
def test_what_is_no_message_of_a_controller_is_refused(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async def story(world: World) -> None:
        await curio.sleep(3)
        for path in ("/ping", "/notice", "/relay"):
            request = Request("POST", path, "", body)
            status, _ = await world.network.request("x", "10.0.0.1:8081", request, seconds(1))
            assert status == 400
        await world.until_done(await world.run_job("array", 1, run_s=2.0))

    World().play(monkeypatch, story)


# -- the model -------------------------------------------------------------------------------


def test_no_course_of_the_small_world_breaks_a_rule() -> None:
    for reading in (False, True):
        found = explore(reading=reading)
        assert (found.rule, found.complete) == ("", True)
        assert found.states > 20_000


@pytest.mark.parametrize("name", [name for name, guard in GUARDS.items() if not guard.large])
def test_each_guard_holds_something(name: str) -> None:
    guard = GUARDS[name]
    assert explore(guard.crashes, guard.delayed, guard.lies, 100_000, guard.reading).rule
