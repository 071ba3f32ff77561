"""Two troubles meet: stories with several machines, a rule watched in each (docs/meetings.md)."""

from __future__ import annotations

import curio
import pytest

from micadeal.http.message import Request
from tests.fakes import state as state_fake
from tests.fakes.histories import PAIRS, History
from tests.fakes.network import REFUSE
from tests.fakes.world import CANCEL_S, World

#: Until every controller has heard the others speak for so long that it may stand in.
SETTLED = CANCEL_S + 4


def leader_of(world: World) -> int:
    leader = world.leader()
    assert leader is not None
    return leader


async def two_jobs(world: World) -> tuple[str, str]:
    """A settled deployment with a job that is to stay and one that is to be cancelled."""
    stays = await world.run_job("daemon", 3, scatter=True, rank="production")
    doomed = await world.run_job("daemon", 4, crew="blue")
    await world.until(lambda: world.running(stays) == 3 and world.running(doomed) == 4)
    await curio.sleep(SETTLED)
    return stays, doomed


@pytest.mark.parametrize("seed", range(40))
def test_whatever_troubles_meet_no_rule_is_broken_and_all_that_was_accepted_is_served(
    seed: int,
) -> None:
    """Some of what ``python -m bench.meetings`` plays: gaps, and pairs of other troubles."""
    kinds = [("gap",), ("gap at an election",), PAIRS[seed * 37 % len(PAIRS)], ()][seed % 4]
    assert History(seed, kinds).play() == []


# -- the gap: the leader alone is refused, "cancelled" is told, then nobody has the state service --


@pytest.mark.parametrize("late_by", [1.5, 60.0])
def test_a_leader_that_still_waits_for_its_first_reads_learns_of_a_cancellation(
    monkeypatch: pytest.MonkeyPatch, late_by: float
) -> None:
    """Guards ``ran_cancelled``: the notice reaches a leader that has no picture yet.  The records
    that were read before the job was over come late, or not at all as long as it lasts."""

    async def story(world: World) -> None:
        stays, doomed = await two_jobs(world)
        gone = leader_of(world)

        def slow(source: str, address: str, request: Request) -> float:
            reads_jobs = request.path == "/keys" and "starts=job/" in request.query
            return late_by if reads_jobs and address == state_fake.ADDRESS else 0.0

        world.network.slow = slow
        world.crash(gone)
        await world.until(lambda: world.leader() not in (None, gone))
        leader = leader_of(world)
        await curio.sleep(0.1)
        assert await world.cancel(doomed, 3 - gone - leader) == "cancelled"
        await curio.sleep(1.3)
        world.network.cut(f"c{leader}", "state", REFUSE)
        await curio.sleep(0.3)
        world.state.outage = True
        await curio.sleep(CANCEL_S + 8)
        assert not world.held(doomed)
        assert world.running(stays) == 3

    World().play(monkeypatch, story)


@pytest.mark.parametrize("peers", [True, False])
def test_a_refused_leader_ends_its_term_when_a_later_one_speaks(
    monkeypatch: pytest.MonkeyPatch, peers: bool
) -> None:
    """Two that answer workers: the one that can't read that it was replaced learns so from the
    later one, and sends workers on.  Cut off from it as well, it ends in time for what is cancelled
    through the later one, though workers of one zone reach nobody else."""

    async def story(world: World) -> None:
        stays, doomed = await two_jobs(world)
        old = leader_of(world)
        world.network.cut(f"c{old}", "state", REFUSE)
        if not peers:
            for other in range(3):
                if other != old:
                    world.network.cut(f"c{old}", f"c{other}")
        apart = world.held(doomed)[0][0]
        for other in range(3):
            if other != old:
                world.network.cut(apart.name, f"c{other}")
        await world.until(lambda: world.leader() not in (None, old))
        leader = leader_of(world)
        assert await world.cancel(doomed, leader) == "cancelled"
        if peers:
            await world.until(lambda: world.nodes[old]._leader == f"c{leader}", limit=4)
        await curio.sleep(CANCEL_S)
        assert not world.held(doomed)
        if peers:
            # Over the mesh.
            assert apart.token == world.state.keys["seat/held"][1]
        await world.until(lambda: world.running(stays) == 3)

    World().play(monkeypatch, story)


def test_settings_that_were_never_answered_undo_no_newer_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        await world.until(lambda: world.leader() is not None)
        world.network.late = lambda source, address, request: (
            6.0 if request.path == "/txn" and b"older" in request.body else None
        )
        assert (await world.call(0, "POST", "/settings", {"script": "# older"}))[0] == 503
        assert (await world.call(1, "POST", "/settings", {"script": "# newer"}))[0] == 200
        await curio.sleep(10)
        status, found = await world.call(2, "GET", "/settings")
        assert (status, found["script"]) == (200, "# newer")

    World().play(monkeypatch, story)
