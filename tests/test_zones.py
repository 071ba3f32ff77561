"""Zone health: the decisions, and whole deployments with a partitioned zone."""

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
    likely_cause,
    observe,
)
from tests.fakes.deployment_settings import ZONES
from tests.fakes.world import World

PRESENT, UNREACHABLE, SEEN_BY_OTHERS = (
    Presence.PRESENT,
    Presence.UNREACHABLE,
    Presence.SEEN_BY_OTHERS,
)


def observe_steps(zone: Zone, *steps: tuple[float, ZoneSignals]) -> Zone:
    for at, signals in steps:
        zone = observe(zone, signals, False, seconds(at))
    return zone


@pytest.mark.parametrize(
    ("signals", "others_unreachable", "cause"),
    [
        (ZoneSignals(20, 20, UNREACHABLE), False, Cause.ZONE_UNREACHABLE),
        (ZoneSignals(20, 20, SEEN_BY_OTHERS), False, Cause.LEADER_CUT_OFF_FROM_ZONE),
        (ZoneSignals(20, 20, PRESENT), False, Cause.MACHINES_DOWN),
        (ZoneSignals(20, 0, UNREACHABLE), False, Cause.CONTROLLER_DOWN),
        (ZoneSignals(20, 20, UNREACHABLE), True, Cause.OWN_ZONE_CUT_OFF),
        (ZoneSignals(20, 3, PRESENT), False, Cause.NONE),
        (ZoneSignals(2, 2, PRESENT), False, Cause.NONE),
    ],
)
def test_cause_follows_from_signals(
    signals: ZoneSignals, others_unreachable: bool, cause: Cause
) -> None:
    assert likely_cause(signals, others_unreachable) is cause


def test_zone_is_partitioned_after_suspicion_and_recovers_on_probation() -> None:
    partitioned, healthy = ZoneSignals(20, 19, UNREACHABLE), ZoneSignals(20, 1, PRESENT)
    zone = observe_steps(Zone("a"), (0, healthy), (10, partitioned))
    assert zone.state is ZoneState.SUSPECTED
    assert observe_steps(zone, (11, partitioned)).state is ZoneState.SUSPECTED
    assert (
        observe_steps(zone, (11, ZoneSignals(20, 2, PRESENT))).state is ZoneState.HEALTHY
    )  # heartbeats were late
    # Between the limits the state does not change, so it does not flap.
    assert observe_steps(zone, (13, ZoneSignals(20, 12, UNREACHABLE))).state is ZoneState.SUSPECTED
    zone = observe_steps(zone, (12.5, partitioned))
    assert zone.state is ZoneState.PARTITIONED and zone.failures == 1
    assert observe_steps(zone, (14, ZoneSignals(20, 9, UNREACHABLE))).state is ZoneState.PARTITIONED
    assert (
        observe_steps(zone, (30, ZoneSignals(20, 20, UNREACHABLE, ended=20))).state
        is ZoneState.FAILED
    )
    zone = observe_steps(zone, (40, healthy))
    assert zone.state is ZoneState.RECOVERING
    assert observe_steps(zone, (41, healthy)).state is ZoneState.RECOVERING
    assert observe_steps(zone, (51, healthy)).state is ZoneState.HEALTHY


def test_probation_doubles_for_flapping_zone() -> None:
    partitioned, healthy = ZoneSignals(20, 20, UNREACHABLE), ZoneSignals(20, 0, PRESENT)
    zone, now, probations = Zone("a"), 0.0, []
    for _ in range(6):
        zone = observe_steps(zone, (now, partitioned), (now + 3, partitioned), (now + 10, healthy))
        assert zone.state is ZoneState.RECOVERING
        probations.append(zone.probation)
        now += 20
    assert probations[0] == PROBATION and probations[1] == PROBATION * 2
    assert probations == sorted(probations) and probations[-1] == seconds(120)
    recovered = observe_steps(zone, (now + 200, healthy), (now + 600, healthy))
    assert recovered.state is ZoneState.HEALTHY and recovered.failures == 0


def cut_pairs(world: World, zone: str) -> list[tuple[str, str]]:
    """Return the pairs of one host inside the zone and one outside."""
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
def test_partitioned_zone_is_detected_and_recovers(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, where: str
) -> None:
    """The leader is outside the zone, or inside: then its successor never reached the machines."""
    caplog.set_level(logging.INFO, "micadeal.zones")

    async def scenario(world: World) -> None:
        job = await world.run_job("daemon", 24, run_s=0.0, crew="blue", scatter=True)
        await world.wait_until(lambda: world.running(job) == 24)
        leader = world.leader()
        assert leader is not None
        number = leader if where == "inside" else (leader + 1) % 3
        zone = ZONES[number]
        cuts = cut_pairs(world, zone)
        assert sum(w.zone == zone for w in world.fleet.workers.values()) >= 3
        for one, other in cuts:
            world.network.cut(one, other)
        await world.wait_until(lambda: "cut off" in logged_states(caplog, zone), limit=15)
        if where == "outside":
            overview = await world.call(leader, "GET", "/overview")
            assert any(f"zone {zone} is cut off" in note for note in overview[1]["notes"])
        for one, other in cuts:
            await world.network.heal(one, other)
        await curio.sleep(90)
        assert not [
            state for state in logged_states(caplog, ZONES[(number + 1) % 3]) if state != "open"
        ]
        overview = await world.call(world.leader() or 0, "GET", "/overview")
        assert not [note for note in overview[1]["notes"] if note.startswith("zone ")]

    world = World(teams=LARGE_TEAMS)
    world.rules.team_limits = {"blue": 80.0, "red": 8.0}
    world.play(monkeypatch, scenario)


LARGE_TEAMS = """
[[cluster.teams]]
name = "blue"
gpus = 40.0
gpus_max = 80.0
[[cluster.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
"""
