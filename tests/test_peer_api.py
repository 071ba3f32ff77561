"""Answers of a controller to its peers while the actor of its leader is overloaded."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from micadeal.actor import MailboxFullError
from micadeal.http.message import Request
from tests.fakes.world import World


@pytest.mark.parametrize(
    ("failure", "text"), [(MailboxFullError(), "Overloaded"), (TimeoutError(), "TimeoutError")]
)
def test_overloaded_leader_answers_503_with_the_same_text_in_all_versions(
    monkeypatch: pytest.MonkeyPatch, failure: Exception, text: str
) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        leader = world.leader()
        assert leader is not None
        actor = world.nodes[leader]._leader.actor

        async def fail(*_: Any) -> None:
            raise failure

        monkeypatch.setattr(actor, "ask", fail)
        _, handler = world.network._servers[f"10.0.0.{leader + 1}:8081"]
        reply = await handler(Request("POST", "/overview", "", b""))
        assert reply.status == 503
        assert msgspec.msgpack.decode(reply.body) == {"error": text}

    World().play(monkeypatch, scenario)
