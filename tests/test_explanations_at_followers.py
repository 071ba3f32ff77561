"""Answers to operators' requests at every controller, leader or follower."""

from __future__ import annotations

import curio
import pytest

from tests.fakes.world import World


@pytest.mark.parametrize("distance_from_leader", [0, 1, 2])
def test_why_of_an_unknown_job_is_404_at_every_controller(
    monkeypatch: pytest.MonkeyPatch, distance_from_leader: int
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        leader = world.leader()
        assert leader is not None
        controller = (leader + distance_from_leader) % 3
        status, _ = await world.call(controller, "GET", "/why/req-999999")
        assert status == 404

    World().play(monkeypatch, scenario)
