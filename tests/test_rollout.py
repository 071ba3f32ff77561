"""Rolling updates of controllers that change the stored state: whole deployments and decisions."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from bench.model_rollout import GUARDS, broken_without, explore, start
from micadeal.clock import ZERO, seconds
from micadeal.controller.feature_level_updater import FeatureLevelUpdater
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.messages import FeatureLevelChanged, MigrationStatus
from micadeal.http.message import Answer, Request
from micadeal.leadership.term import Term
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout.feature_level import Build
from micadeal.rollout.membership import (
    ELECTION_DELAY,
    PeerObservation,
    Presence,
    Process,
    election_delay,
    presence,
)
from micadeal.rollout.migration import MIN_PRESENCE, MigrationBacklog, plan
from micadeal.wire.state import Item, LeaderRecord, LevelRecord
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS
from tests.fakes.kernel import run_stepped
from tests.fakes.network import HOLD
from tests.fakes.world import World, leader_of

BEFORE_PIPELINES: dict[str, Any] = {"earlier": True}
BEFORE_LEVELS: dict[str, Any] = {"before_levels": True}
NEXT_BUILD: dict[str, Any] = {"build": Build("next", 0, 2)}
SMALL_TASK: dict[str, Any] = {"image_gb": 0.1, "accelerators": 0.0, "run_s": 5.0}


async def replace_controller(world: World, number: int, pause: float = 5.0, **version: Any) -> None:
    world.crash(number)
    await curio.sleep(pause)
    await world.start(number, **version)


async def overview(world: World) -> dict[str, Any]:
    leader = leader_of(world)
    status, reply = await world.call(leader, "GET", "/overview")
    return dict(reply) if status == 200 else {}


async def pending_reasons(world: World) -> str:
    return "; ".join((await overview(world)).get("level", {}).get("waits", []))


async def set_highest_level(world: World, level: int | None) -> None:
    body: dict[str, Any] = {"script": "", "values": {}, "highest_level": level}
    for number in range(60):
        status, _ = await world.call(number % 3, "POST", "/settings", body)
        if status == 200:
            return
        await curio.sleep(0.5)
    raise AssertionError("the settings were never taken")


@pytest.mark.parametrize(
    "version", [BEFORE_PIPELINES, BEFORE_LEVELS], ids=["before pipelines", "before levels"]
)
def test_rolling_update_raises_level_once_all_controllers_know_it(
    monkeypatch: pytest.MonkeyPatch, version: dict[str, Any]
) -> None:
    """Under load, with a leader crash between updates; no task is started twice or lost."""

    async def scenario(world: World) -> None:
        for number in range(3):
            await replace_controller(world, number, 0.1, **version)
        service = await world.run_job("daemon", 2, rank="production", crew="blue")
        jobs = [await world.run_job("array", 4, run_s=40.0, loaners=True)]
        await world.wait_until(lambda: world.running(service) == 2)
        versions = dict.fromkeys(range(3), version)
        for number in range(3):
            assert world.level() == 0
            leader = leader_of(world)
            await replace_controller(world, leader, **versions[leader])
            versions[number] = {}
            await replace_controller(world, number)
            jobs.append(await world.run_job("array", 2, run_s=3.0))
        assert await world.wait_until(lambda: world.level() == 1, limit=8) < 5
        found = (await overview(world))["level"]
        assert found["level"] == found["writes"] == 1
        for job in jobs:
            await world.wait_until_done(job)
        await world.wait_until(lambda: world.state.keys["seat/level"][0]["oldest"] == 1)
        assert world.running(service) == 2

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_rolling_update_with_300_workers_and_leader_crashes_loses_no_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        world.rules.team_limits = {"red": 600.0, "blue": 600.0}
        for number in range(3):
            await replace_controller(world, number, 0.1, **BEFORE_LEVELS)
        services = [
            await world.run_job("daemon", 30, run_s=0.0, accelerators=2.0) for _ in range(10)
        ]
        await world.wait_until(lambda: sum(world.running(s) for s in services) >= 280, limit=200)
        versions = dict.fromkeys(range(3), BEFORE_LEVELS)
        for number in range(3):
            leader = leader_of(world)
            await replace_controller(world, leader, **versions[leader])
            versions[number] = {}
            await replace_controller(world, number)
        await world.wait_until(lambda: world.level() == 1, limit=8)
        await curio.sleep(20)
        assert sum(world.running(s) for s in services) == 300

    teams = "".join(
        f'[[cluster.teams]]\nname = "{name}"\ngpus = 300.0\ngpus_max = 600.0\n'
        for name in ("red", "blue")
    )
    world = World(teams=teams, capacity=400).play(monkeypatch, scenario)
    assert len(world.fleet.workers) >= 300
    assert all(count == 1 for count in world.rules.starts.values())


def test_overview_names_what_level_waits_for(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        await replace_controller(world, 2, 0.1, **BEFORE_LEVELS)
        await curio.sleep(8)
        assert "c2 is of a version that knows of no levels" in await pending_reasons(world)
        world.crash(2)
        await curio.sleep(8)
        assert "c2 is silent" in await pending_reasons(world)
        assert world.level() == 0
        await set_highest_level(world, 0)
        await world.start(2)
        await curio.sleep(8)
        assert world.level() == 0 and "the settings hold the level at 0" in await pending_reasons(
            world
        )
        # The leader and the third are partitioned: only the other controller reaches the third.
        leader = leader_of(world)
        for other in range(3):
            if other != leader:
                world.network.cut(f"c{leader}", f"c{other}")
                cut = other
                break
        await curio.sleep(4)
        await set_highest_level(world, None)
        await curio.sleep(6)
        assert f"c{cut} is seen by others only" in await pending_reasons(world)
        await world.network.heal(f"c{leader}", f"c{cut}")
        await world.wait_until(lambda: world.level() == 1, limit=8)

    World().play(monkeypatch, scenario)


def test_earlier_version_cannot_lead_after_raise(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the stored state: a version without levels must not lead with it."""

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 3, run_s=60.0)
        await world.wait_until(lambda: world.level() == 1, limit=10)
        await replace_controller(world, 0, 1.0, **BEFORE_PIPELINES)
        await replace_controller(world, 1, 1.0, **BEFORE_LEVELS)
        await world.wait_until(lambda: world.leader() == 2, limit=10)
        await curio.sleep(5)
        # As followers they serve users by layouts that have not changed.
        for number in range(2):
            other = world.job("daemon", 1, run_s=0.0, crew="blue")
            status, _ = await world.call(number, "POST", "/work", world.fleet.jobs[other].spec)
            assert status == 201
            world.answers.accepted.add(other)
            await world.wait_until(lambda job=other: world.running(job) == 1, limit=60)  # type: ignore[misc]
            assert await world.status(other, 1 - number) in ("pending", "running")
            assert await world.cancel(other, number) == "cancelled"
            await world.wait_until(lambda job=other: not world.tasks_on_machines(job), limit=30)  # type: ignore[misc]
        world.crash(2)
        token = world.state.keys["leader"][1]
        await curio.sleep(20)
        # No controller may lead now: for both versions, an existing key ``leader`` is a taken lock.
        assert world.leader() is None and world.state.keys["leader"][1] == token
        await world.start(2)
        await world.wait_until(lambda: world.leader() == 2, limit=10)
        await world.wait_until_done(job)
        assert "knows of no levels" not in await pending_reasons(world)  # nothing is to be raised
        members = {m["name"]: m["build"] for m in (await overview(world))["level"]["members"]}
        assert members["c0"] == members["c1"] == "before levels"

    World().play(monkeypatch, scenario)


def test_records_do_not_make_earlier_version_poll_in_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the state service's rate: an earlier version watches all keys with prefix ``leader``,
    and repeats the request at once as long as any of them is newer than the leader's record."""

    async def scenario(world: World) -> None:
        handle = world.state.handle
        watches = 0

        async def counted(request: Request) -> Answer:
            nonlocal watches
            watches += request.path == "/changes" and "starts=leader&" in request.query
            return await handle(request)

        world.network.serve("state", "10.2.0.1:2379", counted)
        await replace_controller(world, 2, 0.1, **BEFORE_LEVELS)
        await curio.sleep(4)
        leader = leader_of(world)
        if leader == 2:
            await replace_controller(world, 2, 5.0, **BEFORE_LEVELS)
        await replace_controller(world, 1 - (world.leader() or 0), 1.0)
        watches = 0
        await curio.sleep(20)
        assert watches < 40

    World().play(monkeypatch, scenario)


def test_process_that_does_not_know_level_refuses_users_with_reason(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        for number in range(3):
            await replace_controller(world, number, 0.1, **NEXT_BUILD)
        job = await world.run_job("array", 2, run_s=30.0)
        await world.wait_until(lambda: world.level() == 2, limit=15)
        leader = leader_of(world)
        other = (leader + 1) % 3
        await replace_controller(world, other, 1.0)
        await curio.sleep(3)
        status, reply = await world.call(other, "GET", "/ready")
        assert status == 503 and "level 2 is in force" in reply["error"]
        status, _ = await world.call(other, "GET", f"/work/{job}")
        assert status == 503
        status, reply = await world.call(other, "GET", "/overview")
        lines = {m["name"]: m["presence"] for m in reply["level"]["members"]}
        assert status == 200 and "serves nobody" in lines[f"c{other}"]
        world.crash(leader)
        await world.wait_until(lambda: world.leader() not in (None, leader), limit=10)
        assert world.leader() != other
        await world.start(leader, **NEXT_BUILD)
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_level_rises_by_two_and_is_lowered_and_raised_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """From N to N+2 in one raise; back to N, with a leader crash in between; and raised again."""

    async def scenario(world: World) -> None:
        for number in range(3):
            await replace_controller(world, number, 0.1, **NEXT_BUILD)
        job = await world.run_job("array", 6_000, **SMALL_TASK, crew="blue", vcpus=4.0)
        await world.wait_until(lambda: world.level() == 2, limit=15)
        await world.wait_until(
            lambda: any(k.startswith(f"finished/{job}") for k in world.state.keys)
        )
        await set_highest_level(world, 0)
        await world.wait_until(lambda: world.state.keys["seat/level"][0]["writes"] == 0, limit=10)
        leader = leader_of(world)
        await replace_controller(world, leader, **NEXT_BUILD)
        await world.wait_until(lambda: world.level() == 0, limit=60)
        assert not any(k.startswith("finished/") for k in world.state.keys)
        assert "seat/held" not in world.state.keys
        # Now, and only now, an earlier version may be started, and leads with what it finds.
        for number in range(3):
            await replace_controller(world, number, 1.0, **BEFORE_LEVELS)
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        done = len(world.rules.finished_tasks)
        await world.wait_until(lambda: len(world.rules.finished_tasks) > done + 5)
        for number in range(3):
            await replace_controller(world, number, 1.0)
        await set_highest_level(world, None)
        await world.wait_until(lambda: world.level() == 1, limit=15)
        await world.wait_until(lambda: world.state.keys["seat/level"][0]["oldest"] == 1, limit=60)
        assert not any(k.startswith("done/") for k in world.state.keys)

    world = World(capacity=4).play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())
    assert len(world.rules.finished_tasks) > 20


@pytest.mark.parametrize("lost", ["before", "after"])
def test_raise_with_unknown_outcome_keeps_term(monkeypatch: pytest.MonkeyPatch, lost: str) -> None:
    """The transaction is applied late, or without a response: the leader reads what is stored."""

    async def scenario(world: World) -> None:
        handle = world.state.handle
        swallowed: list[int] = []

        async def once(request: Request) -> Answer:
            raising = request.path == "/txn" and b"seat/level" in request.body
            if raising and b"members" in request.body and not swallowed:
                swallowed.append(1)
                if lost == "after":
                    await handle(request)
                await curio.sleep(8)
                if lost == "before":
                    # Delivered late: the conditions still hold, or it changes nothing.
                    await handle(request)
                raise AssertionError("the request for this response has timed out")
            return await handle(request)

        world.network.serve("state", "10.2.0.1:2379", once)
        job = await world.run_job("array", 3, run_s=30.0)
        await world.wait_until(lambda: world.level() == 1, limit=20)
        token = world.state.keys["leader"][0]["term"]
        await curio.sleep(10)
        assert swallowed and world.state.keys["leader"][0]["term"] == token
        await world.wait_until_done(job)

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_level_is_raised_despite_leader_crashes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 3, run_s=60.0)
        for moment in ("before", "after"):
            if moment == "after":
                await world.wait_until(lambda: world.level() == 1, limit=20)
            leader = leader_of(world)
            await replace_controller(world, leader, 4.0)
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        assert world.level() == 1
        await world.wait_until_done(job)

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_partitioned_leader_delays_raise_and_does_not_undo_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It leads at the old level, its successor raises; its earlier requests are delivered after."""

    async def scenario(world: World) -> None:
        await set_highest_level(world, 0)
        job = await world.run_job("array", 6, run_s=40.0, crew="blue")
        await world.wait_until(lambda: world.running(job) >= 2)
        old = leader_of(world)
        others = [n for n in range(3) if n != old]
        for host in ("state", "cloud", *(f"c{n}" for n in others)):
            world.network.cut(f"c{old}", host, HOLD)
        await world.wait_until(lambda: world.leader() not in (None, old), limit=10)
        await set_highest_level(world, None)
        await curio.sleep(6)
        assert world.level() == 0 and f"c{old} is silent" in await pending_reasons(world)
        # If it were lost for good, the operator would remove it from the settings.
        for host in ("state", "cloud", *(f"c{n}" for n in others)):
            await world.network.heal(f"c{old}", host)
        await world.wait_until(lambda: world.level() == 1, limit=10)
        assert world.leader() != old
        await world.wait_until_done(job)

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_partitioned_follower_serves_users_after_raise(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Partitioned from the peers alone, it takes submissions and cancellations at the old level."""

    async def scenario(world: World) -> None:
        await set_highest_level(world, 0)
        job = await world.run_job("daemon", 2, run_s=0.0)
        await world.wait_until(lambda: world.running(job) == 2)
        leader = leader_of(world)
        follower = (leader + 1) % 3
        await set_highest_level(world, None)
        await world.wait_until(lambda: world.level() == 1, limit=10)
        for number in range(3):
            if number != follower:
                world.network.cut(f"c{follower}", f"c{number}")
        other = world.job("array", 2, run_s=5.0)
        status, _ = await world.call(follower, "POST", "/work", world.fleet.jobs[other].spec)
        assert status == 201
        world.answers.accepted.add(other)
        assert await world.cancel(job, follower) is None  # too few peers can learn of it
        await world.wait_until_done(other)
        await world.wait_until(lambda: not world.tasks_on_machines(job), limit=30)

    World().play(monkeypatch, scenario)


def test_level_is_raised_after_lost_controller_leaves_settings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The level does not wait for ever, nor rise without the agreement of every controller."""

    async def scenario(world: World) -> None:
        for number in range(3):
            await replace_controller(world, number, 0.1, **BEFORE_LEVELS)
        job = await world.run_job("array", 3, run_s=60.0)
        world.crash(2)
        for number in range(2):
            await replace_controller(world, number)
        await curio.sleep(30)
        assert world.level() == 0 and "c2 is never seen" in await pending_reasons(world)
        for number in range(2):
            await replace_controller(world, number, removed=2)
        await world.wait_until(lambda: world.level() == 1, limit=12)
        await world.wait_until_done(job)

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_damaged_records_are_named_and_block_leadership(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 2, run_s=60.0)
        world.state.keys["seat/member/c1"] = ({"what": 7}, world.state.revision, None)
        world.state.keys["seat/member/stranger"] = ({"what": 7}, world.state.revision, None)
        await curio.sleep(8)
        assert world.level() == 0 and "seat/member/c1 can't be read" in await pending_reasons(world)
        await replace_controller(world, 1, 1.0)
        await world.wait_until(lambda: world.level() == 1, limit=12)
        good = world.state.keys["seat/level"]
        world.state.keys["seat/level"] = ({"level": -3}, world.state.revision + 1, None)
        world.state.revision += 1
        leader = leader_of(world)
        await replace_controller(world, leader, 1.0)
        await curio.sleep(10)
        assert "seat/held" not in world.state.keys
        refused = [r for r in caplog.records if "seat/level can't be read" in r.message]
        assert 1 <= len(refused) <= 3  # once each
        world.state.revision += 1
        world.state.keys["seat/level"] = (good[0], world.state.revision, None)
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_unreadable_level_record_is_not_overwritten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards what is stored: the record may come from a later version."""

    async def scenario(world: World) -> None:
        await set_highest_level(world, 0)
        await curio.sleep(5)
        world.state.revision += 1
        damaged = ({"level": "many"}, world.state.revision, None)
        world.state.keys["seat/level"] = damaged
        await set_highest_level(world, None)
        await curio.sleep(10)
        assert world.state.keys["seat/level"] == damaged
        leader = await overview(world)
        assert "seat/level can't be read" in "; ".join(leader["level"]["waits"])

    world = World()
    monkeypatch.setattr(world, "level", lambda: 0)
    world.play(monkeypatch, scenario)


def test_rolling_update_survives_state_outage_and_lower_limits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        for number in range(3):
            await replace_controller(world, number, 0.1, **BEFORE_LEVELS)
        big = await world.run_job("array", 6_000, **SMALL_TASK, crew="blue", vcpus=4.0)
        await world.wait_until(lambda: any(k.startswith(f"done/{big}") for k in world.state.keys))
        for number in range(3):
            if number == 2:
                world.state.outage = True
                await replace_controller(world, number, 10.0)
                world.state.outage = False
                world.state.txn_ops, world.state.value_bytes = 5, 2048
            else:
                await replace_controller(world, number)
        await world.wait_until(lambda: world.level() == 1, limit=15)
        world.state.outage = True
        await curio.sleep(6)
        world.state.outage = False
        await world.wait_until(lambda: world.state.keys["seat/level"][0]["oldest"] == 1, limit=60)
        assert not any(k.startswith("done/") for k in world.state.keys)

    world = World(announced=ANNOUNCED_STATE_LIMITS, capacity=2).play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_retiring_leader_hands_over_within_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two leaders in turn, as in a rolling update: less than a second without a leader, no loss."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, rank="production")
        job = await world.run_job("array", 8, run_s=30.0, crew="blue")
        await world.wait_until(lambda: world.running(service) == 3 and world.running(job) >= 2)
        gaps: list[float] = []
        for _ in range(2):
            leader = leader_of(world)
            await curio.spawn(world.nodes[leader].retire, daemon=True)
            await world.wait_until(lambda led=leader: world.leader() != led, limit=10)  # type: ignore[misc]
            gaps.append(await world.wait_until(lambda: world.leader() is not None, limit=10))
            world.crash(leader)
            await curio.sleep(5)
            await world.start(leader)
            await curio.sleep(10)
        assert max(gaps) < 1
        assert world.running(service) == 3
        await world.wait_until_done(job)

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


# -- decisions ---------------------------------------------------------------------------------

OWN_PROCESS = Process("own", Build("b", 0, 2))
NOW = seconds(1000)


def observed(
    process: Process | None, since: float, heard: float = 0.5, **fields: Any
) -> PeerObservation:
    return PeerObservation(process, NOW - seconds(since), NOW - seconds(heard), **fields)


def test_presence_is_dated_by_pings_and_distinguishes_partition_from_crash() -> None:
    one, two = Process("1", Build("b")), Process("2", Build("b"))
    observation = PeerObservation().with_answer(
        one, seconds(10), seconds(10.1), seconds(5), ZERO, ["z"]
    )
    assert observation.first_asked_at == seconds(10) and observation.started_at == seconds(5.1)
    # An answer to an earlier ping is ignored.
    assert observation.with_answer(two, seconds(9), seconds(12)) is observation
    assert observation.with_answer(one, seconds(12), seconds(12.1)).present_for(
        seconds(12.5)
    ) == seconds(2)
    again = observation.with_answer(two, seconds(13), seconds(13.1))
    assert again.restarts == 1 and again.present_for(seconds(13.2)) == ZERO
    observations = {
        "x": observation,
        "y": observation.with_answer(one, seconds(19), seconds(19)),
        "z": PeerObservation(),
    }
    found = {name: presence(name, observations, seconds(20)) for name in observations}
    assert found == {"x": Presence.SILENT, "y": Presence.PRESENT, "z": Presence.UNSEEN}
    reaching = observations["y"].with_answer(one, seconds(20), seconds(20), reaches=["x"])
    assert presence("x", {**observations, "y": reaching}, seconds(20)) is Presence.SEEN_BY_OTHERS


def test_free_lock_is_left_to_replaced_processes() -> None:
    old, fresh = NOW - seconds(500), NOW - seconds(30)

    def wait(own_started_at: Any, **fields: Any) -> Any:
        values = {"started_at": fresh, "state_age": ZERO, **fields}
        observation = observed(Process("2", fields.pop("build", Build("b", 0, 2))), 20, **values)
        return election_delay(OWN_PROCESS, own_started_at, [observation], seconds(3), NOW)

    assert wait(old) == ELECTION_DELAY
    assert wait(fresh) == ZERO
    assert wait(old, state_age=seconds(9)) == ZERO  # it could not be elected
    assert election_delay(OWN_PROCESS, old, [PeerObservation()], seconds(3), NOW) == ZERO


def test_plan_raises_level_if_all_know_it_and_lowers_in_steps() -> None:
    peer = Process("p", Build("b", 0, 2))
    late = MIN_PRESENCE.total_seconds() + 1

    def step(
        record: LevelRecord,
        ceiling: int | None = None,
        migration_backlog: Any = MigrationBacklog(),
        **by: Any,
    ) -> Any:
        observations = {"x": observed(peer, late), "y": observed(peer, late), **by}
        return plan(record, OWN_PROCESS, observations, ceiling, migration_backlog, NOW)

    assert step(LevelRecord()).move.level == 2
    assert step(LevelRecord(), 1).move.level == 1
    mixed = step(LevelRecord(), y=observed(Process("q", Build("a", 0, 1)), late))
    assert mixed.move.level == 1 and mixed.move.oldest == 0
    for observation in (
        observed(peer, 1),
        observed(peer, late, heard=9),
        observed(None, late),
        PeerObservation(),
    ):
        assert step(LevelRecord(), y=observation).move is None
    there = LevelRecord(2, 2, 0)
    assert step(there, migration_backlog=MigrationBacklog(older=3)).move is None
    assert step(there).move.oldest == 2
    # A later build leads: the migration at the level in force does not wait for the others.
    after = plan(
        LevelRecord(1, 1, 0), OWN_PROCESS, {"x": PeerObservation()}, None, MigrationBacklog(), NOW
    )
    assert after.move == LevelRecord(1, 1, 1) and "never seen" in after.waits[0]
    lowering = step(LevelRecord(2, 2, 2), 1).move
    assert (lowering.level, lowering.writes, lowering.oldest) == (2, 1, 1)
    assert step(lowering, 1, MigrationBacklog(newer=2)).move is None
    assert "can't be written back" in step(lowering, 1, MigrationBacklog(newer=2, stuck=1)).waits[0]
    assert step(lowering, 1).move.level == 1
    # Half way down and up again.
    assert step(lowering).move.writes == 2
    new = Process("n", Build("n", 1, 2))
    assert "writes no level below 1" in step(there, 0, y=observed(new, late)).waits[0]


def test_level_change_is_dropped_if_level_changed_since_plan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards what is stored: a change of our own with unknown outcome may be applied late."""
    level = LevelRecord(1, 1, 0)
    feature_levels = FeatureLevels("c0", [], NOW)
    feature_levels.on_leader_lock_read(
        leader_locks.LeaderLock(4, LeaderRecord("c0", 1), level=level, versions={"leader": 4})
    )
    moved = leader_locks.LeaderLock(
        9, LeaderRecord("c0", 1, 4), level=LevelRecord(1, 0, 0), versions={"leader": 9}
    )
    committed: list[Any] = []
    told: list[Any] = []

    class State:
        async def commit(self, *changes: Any) -> int:
            committed.append(changes)
            return 10

    async def main() -> None:
        async def ask(*_: Any) -> MigrationStatus:
            return MigrationStatus(MigrationBacklog(), None)

        async def tell(message: Any) -> None:
            told.append(message)

        async def read_moved(_: Any) -> leader_locks.LeaderLock:
            return moved

        monkeypatch.setattr(
            "micadeal.controller.feature_level_updater.read_leader_lock", read_moved
        )
        state: Any = State()
        term = Term(4, 1, NOW, NOW, 4)
        await FeatureLevelUpdater(feature_levels, state, term, ask, tell)._step()

    run_stepped(main, monkeypatch)
    assert told == [FeatureLevelChanged(moved.level, 9)]
    assert committed == []


def test_leader_lock_names_damaged_records() -> None:
    process = Process("p1", Build("b", 0, 1))
    conditions, changes = leader_locks.registration(leader_locks.read([], 0), "c0", process, 5.0)
    assert conditions[0].version == 0
    member = Item("seat/member/c0", msgspec.to_builtins(changes[0].value), 3)  # type: ignore[union-attr]
    leader_lock = leader_locks.read([member], 3)
    assert leader_locks.registered(leader_lock, "c0", process) and not leader_lock.taken
    assert leader_locks.refusal(leader_lock, "c0", process) is None
    assert "another process" in str(
        leader_locks.refusal(leader_lock, "c0", Process("p2", process.build))
    )
    for value in ({"level": 2, "writes": 2, "oldest": 3}, {"level": "x"}, 7, None):
        damaged = leader_locks.read([member, Item("seat/level", value, 4)], 4)
        assert damaged.damaged == ("seat/level",)
        assert "can't be read" in str(leader_locks.refusal(damaged, "c0", process))
    later = leader_locks.read(
        [member, Item("seat/level", {"level": 2, "writes": 2, "oldest": 2}, 4)], 4
    )
    assert "level 2 is in force" in str(leader_locks.refusal(later, "c0", process))
    skipped = Process("p1", Build("n", 1, 2))
    assert "are still stored" in str(skipped.build.refusal(LevelRecord(1, 1, 0)))


@pytest.mark.parametrize(
    "world",
    [
        {"ends": 1, "leases": 0, "writes": 1},
        {"ends": 1, "leases": 0, "writes": 0, "third": 2},
        {"ends": 0, "leases": 0, "writes": 1, "turns": 1, "third": 2},
    ],
    ids=str,
)
def test_model_has_no_execution_that_breaks_a_rule(world: dict[str, int]) -> None:
    states, broken = explore(start(**world))
    assert broken is None
    assert states > 30


@pytest.mark.parametrize("guard", GUARDS)
def test_model_without_each_guard_breaks_a_rule(guard: str) -> None:
    assert broken_without(guard) is not None
