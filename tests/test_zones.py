"""What a leader knows of its zones: the decisions, and whole deployments with a zone cut off."""

from __future__ import annotations

import logging

import curio
import pytest

from micadeal.clock import seconds
from micadeal.rollout.membership import Presence
from micadeal.zones.zone_health import (
    PROBATION,
    Cause,
    Zone,
    ZoneSignals,
    ZoneState,
    cause_of,
    observe,
)
from tests.fakes.world import ZONES, World

HERE, GONE, ELSEWHERE = Presence.PRESENT, Presence.SILENT, Presence.SEEN_BY_OTHERS


def follow(zone: Zone, *steps: tuple[float, ZoneSignals]) -> Zone:
    for at, signals in steps:
        zone = observe(zone, signals, False, seconds(at))
    return zone


@pytest.mark.parametrize(
    ("signals", "others_unreachable", "cause"),
    [
        (ZoneSignals(20, 20, GONE), False, Cause.ZONE_UNREACHABLE),
        (ZoneSignals(20, 20, ELSEWHERE), False, Cause.LEADER_CUT_OFF_FROM_ZONE),
        (ZoneSignals(20, 20, HERE), False, Cause.MACHINES_DOWN),
        (ZoneSignals(20, 0, GONE), False, Cause.CONTROLLER_DOWN),
        (ZoneSignals(20, 20, GONE), True, Cause.OWN_ZONE_CUT_OFF),
        (ZoneSignals(20, 3, HERE), False, Cause.NONE),
        (ZoneSignals(2, 2, HERE), False, Cause.NONE),
    ],
)
def test_the_signs_tell_one_trouble_from_another(
    signals: ZoneSignals, others_unreachable: bool, cause: Cause
) -> None:
    assert cause_of(signals, others_unreachable) is cause


def test_a_zone_is_judged_after_a_doubt_and_watched_when_it_is_back() -> None:
    cut, back = ZoneSignals(20, 19, GONE), ZoneSignals(20, 1, HERE)
    zone = follow(Zone("a"), (0, back), (10, cut))
    assert zone.state is ZoneState.SUSPECTED
    assert follow(zone, (11, cut)).state is ZoneState.SUSPECTED
    assert (
        follow(zone, (11, ZoneSignals(20, 2, HERE))).state is ZoneState.HEALTHY
    )  # reports were late
    # In between it neither goes nor comes back: no flicker near a bound.
    assert follow(zone, (13, ZoneSignals(20, 12, GONE))).state is ZoneState.SUSPECTED
    zone = follow(zone, (12.5, cut))
    assert zone.state is ZoneState.PARTITIONED and zone.failures == 1
    assert follow(zone, (14, ZoneSignals(20, 9, GONE))).state is ZoneState.PARTITIONED
    assert follow(zone, (30, ZoneSignals(20, 20, GONE, ended=20))).state is ZoneState.FAILED
    zone = follow(zone, (40, back))
    assert zone.state is ZoneState.RECOVERING
    assert follow(zone, (41, back)).state is ZoneState.RECOVERING
    assert follow(zone, (51, back)).state is ZoneState.HEALTHY


def test_trust_in_a_zone_that_flaps_comes_back_more_slowly_each_time() -> None:
    cut, back = ZoneSignals(20, 20, GONE), ZoneSignals(20, 0, HERE)
    zone, now, probations = Zone("a"), 0.0, []
    for _ in range(6):
        zone = follow(zone, (now, cut), (now + 3, cut), (now + 10, back))
        assert zone.state is ZoneState.RECOVERING
        probations.append(zone.probation)
        now += 20
    assert probations[0] == PROBATION and probations[1] == PROBATION * 2
    assert probations == sorted(probations) and probations[-1] == seconds(120)
    open_again = follow(zone, (now + 200, back), (now + 600, back))
    assert open_again.state is ZoneState.HEALTHY and open_again.failures == 0


def cut_pairs(world: World, zone: str) -> list[tuple[str, str]]:
    """Everything in a zone from everything outside of it."""
    inside = {f"c{ZONES.index(zone)}"}
    inside |= {w.name for w in world.fleet.workers.values() if w.zone == zone}
    outside = {"state", "cloud", *(f"c{n}" for n in range(3))}
    outside |= set(world.fleet.workers)
    return [(one, other) for one in sorted(inside) for other in sorted(outside - inside)]


def logged_states(caplog: pytest.LogCaptureFixture, zone: str) -> list[str]:
    start = f"zone state changed: zone={zone} state="
    messages = [record.getMessage() for record in caplog.records]
    return [
        message.removeprefix(start).split(" unreachable=")[0]
        for message in messages
        if message.startswith(start)
    ]


@pytest.mark.parametrize("where", ["outside", "inside"])
def test_a_cut_zone_is_noticed_within_seconds_and_is_open_again_in_the_end(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, where: str
) -> None:
    """The leader is outside, or inside, and the next one never heard of the zone's machines."""
    caplog.set_level(logging.INFO, "micadeal.zones")

    async def story(world: World) -> None:
        job = await world.run_job("daemon", 24, run_s=0.0, crew="blue", scatter=True)
        await world.until(lambda: world.running(job) == 24)
        leader = world.leader()
        assert leader is not None
        number = leader if where == "inside" else (leader + 1) % 3
        zone = ZONES[number]
        cuts = cut_pairs(world, zone)
        assert sum(w.zone == zone for w in world.fleet.workers.values()) >= 3
        for one, other in cuts:
            world.network.cut(one, other)
        await world.until(lambda: "cut off" in logged_states(caplog, zone), limit=15)
        if where == "outside":
            found = await world.call(leader, "GET", "/overview")
            assert any(f"zone {zone} is cut off" in note for note in found[1]["notes"])
        for one, other in cuts:
            await world.network.heal(one, other)
        await curio.sleep(90)
        assert not [
            state for state in logged_states(caplog, ZONES[(number + 1) % 3]) if state != "open"
        ]
        found = await world.call(world.leader() or 0, "GET", "/overview")
        assert not [note for note in found[1]["notes"] if note.startswith("zone ")]

    world = World(teams=MANY)
    world.limits = {"blue": 80.0, "red": 8.0}
    world.play(monkeypatch, story)


MANY = """
[[cluster.teams]]
name = "blue"
gpus = 40.0
gpus_max = 80.0
[[cluster.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
"""
