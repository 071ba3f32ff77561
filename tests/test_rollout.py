"""Rolling upgrades of controllers that change the stored state, in whole deployments."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from micadeal.http.message import Answer, Request
from micadeal.rollout.feature_level import Build
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS
from tests.fakes.network import HOLD
from tests.fakes.world import World, leader_of

BEFORE_PIPELINES: dict[str, Any] = {"before_dependencies": True}
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
    raise AssertionError("the settings were never accepted")


@pytest.mark.parametrize(
    "version", [BEFORE_PIPELINES, BEFORE_LEVELS], ids=["before pipelines", "before levels"]
)
def test_rolling_upgrade_raises_level_once_all_controllers_know_it(
    monkeypatch: pytest.MonkeyPatch, version: dict[str, Any]
) -> None:
    """Under load, with a leader crash before each replacement; no task is lost or started twice."""

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
        level = (await overview(world))["level"]
        assert level["level"] == level["writes"] == 1
        for job in jobs:
            await world.wait_until_done(job)
        await world.wait_until(lambda: world.state.keys["seat/level"][0]["oldest"] == 1)
        assert world.running(service) == 2

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_rolling_upgrade_with_300_workers_and_leader_crashes_loses_no_task(
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
        # Cut the leader off from one follower, which only the other follower still reaches.
        leader = leader_of(world)
        for other in range(3):
            if other != leader:
                world.network.cut(f"c{leader}", f"c{other}")
                partitioned = other
                break
        await curio.sleep(4)
        await set_highest_level(world, None)
        await curio.sleep(6)
        assert f"c{partitioned} is seen by others only" in await pending_reasons(world)
        await world.network.heal(f"c{leader}", f"c{partitioned}")
        await world.wait_until(lambda: world.level() == 1, limit=8)

    World().play(monkeypatch, scenario)


def test_earlier_version_cannot_lead_after_raise(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards stored state: a version without levels must not lead after the level was raised."""

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 3, run_s=60.0)
        await world.wait_until(lambda: world.level() == 1, limit=10)
        await replace_controller(world, 0, 1.0, **BEFORE_PIPELINES)
        await replace_controller(world, 1, 1.0, **BEFORE_LEVELS)
        await world.wait_until(lambda: world.leader() == 2, limit=10)
        await curio.sleep(5)
        # As followers, earlier versions serve users: the records that this needs kept their layout.
        for number in range(2):
            other = world.job("daemon", 1, run_s=0.0, crew="blue")
            status, _ = await world.call(number, "POST", "/work", world.fleet.jobs[other].spec)
            assert status == 201
            world.rules.accept(other)
            await world.wait_until(lambda job=other: world.running(job) == 1, limit=60)  # type: ignore[misc]
            assert await world.status(other, 1 - number) in ("pending", "running")
            assert await world.cancel(other, number) == "cancelled"
            await world.wait_until(lambda job=other: not world.tasks_on_machines(job), limit=30)  # type: ignore[misc]
        world.crash(2)
        token = world.state.keys["leader"][1]
        await curio.sleep(20)
        # No controller may lead now: both versions take an existing key ``leader`` for a held lock.
        assert world.leader() is None and world.state.keys["leader"][1] == token
        await world.start(2)
        await world.wait_until(lambda: world.leader() == 2, limit=10)
        await world.wait_until_done(job)
        assert "knows of no levels" not in await pending_reasons(world)  # no raise is pending
        members = {m["name"]: m["build"] for m in (await overview(world))["level"]["members"]}
        assert members["c0"] == members["c1"] == "before levels"

    World().play(monkeypatch, scenario)


def test_records_do_not_make_earlier_version_poll_in_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the state service's rate limit.

    An earlier version watches all keys with prefix ``leader``, and repeats the request immediately
    while any of them is newer than the leader's record.
    """

    async def scenario(world: World) -> None:
        handle = world.state.handle
        watches = 0

        async def count_watches(request: Request) -> Answer:
            nonlocal watches
            watches += request.path == "/changes" and "starts=leader&" in request.query
            return await handle(request)

        world.network.serve("state", "10.2.0.1:2379", count_watches)
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
    """From N to N+2 in one raise, back to N with a leader crash in between, and up again."""

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
        # Earlier versions may be started only after the lowering; then they can read all records.
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
    """The transaction is applied late, or its response is lost; the leader reads the outcome."""

    async def scenario(world: World) -> None:
        handle = world.state.handle
        lost_requests: list[int] = []

        async def lose_first_raise(request: Request) -> Answer:
            writes_level = request.path == "/txn" and b"seat/level" in request.body
            if writes_level and b"members" in request.body and not lost_requests:
                lost_requests.append(1)
                if lost == "after":
                    await handle(request)
                await curio.sleep(8)
                if lost == "before":
                    # Delivered late: its conditions still hold, or it changes nothing.
                    await handle(request)
                raise AssertionError("the request for this response has timed out")
            return await handle(request)

        world.network.serve("state", "10.2.0.1:2379", lose_first_raise)
        job = await world.run_job("array", 3, run_s=30.0)
        await world.wait_until(lambda: world.level() == 1, limit=20)
        token = world.state.keys["leader"][0]["term"]
        await curio.sleep(10)
        assert lost_requests and world.state.keys["leader"][0]["term"] == token
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
    """The next leader raises the level once it sees the old one, whose late writes do no harm."""

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
        # If the old leader were lost permanently, operators would remove it from the settings.
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
    """A follower partitioned only from its peers accepts users' requests at the old level."""

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
        world.rules.accept(other)
        assert await world.cancel(job, follower) is None  # not confirmed: too few peers know it
        await world.wait_until_done(other)
        await world.wait_until(lambda: not world.tasks_on_machines(job), limit=30)

    World().play(monkeypatch, scenario)


def test_level_is_raised_after_lost_controller_leaves_settings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The level neither waits permanently nor rises without every configured controller."""

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
        intact = world.state.keys["seat/level"]
        world.state.keys["seat/level"] = ({"level": -3}, world.state.revision + 1, None)
        world.state.revision += 1
        leader = leader_of(world)
        await replace_controller(world, leader, 1.0)
        await curio.sleep(10)
        assert "seat/held" not in world.state.keys
        refusals = [r for r in caplog.records if "seat/level can't be read" in r.message]
        assert 1 <= len(refusals) <= 3  # once each
        world.state.revision += 1
        world.state.keys["seat/level"] = (intact[0], world.state.revision, None)
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_unreadable_level_record_is_not_overwritten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards stored records: a later version may have written the unreadable one."""

    async def scenario(world: World) -> None:
        await set_highest_level(world, 0)
        await curio.sleep(5)
        world.state.revision += 1
        damaged = ({"level": "many"}, world.state.revision, None)
        world.state.keys["seat/level"] = damaged
        await set_highest_level(world, None)
        await curio.sleep(10)
        assert world.state.keys["seat/level"] == damaged
        reply = await overview(world)
        assert "seat/level can't be read" in "; ".join(reply["level"]["waits"])

    world = World()
    monkeypatch.setattr(world, "level", lambda: 0)
    world.play(monkeypatch, scenario)


def test_rolling_upgrade_survives_state_outage_and_lower_limits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(world: World) -> None:
        for number in range(3):
            await replace_controller(world, number, 0.1, **BEFORE_LEVELS)
        large_job = await world.run_job("array", 6_000, **SMALL_TASK, crew="blue", vcpus=4.0)
        await world.wait_until(
            lambda: any(k.startswith(f"done/{large_job}") for k in world.state.keys)
        )
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

    world = World(announced_limits=ANNOUNCED_STATE_LIMITS, capacity=2).play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_retiring_leader_hands_over_within_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two leaders shut down in turn: under a second without a leader, and no task is lost."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, rank="production")
        job = await world.run_job("array", 8, run_s=30.0, crew="blue")
        await world.wait_until(lambda: world.running(service) == 3 and world.running(job) >= 2)
        gaps: list[float] = []
        for _ in range(2):
            leader = leader_of(world)
            await curio.spawn(world.nodes[leader].shut_down, daemon=True)
            await world.wait_until(lambda retired=leader: world.leader() != retired, limit=10)  # type: ignore[misc]
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
