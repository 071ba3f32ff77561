"""Lease renewal by followers: invalid messages, lost cancellations, the model of its rules."""

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
from tests.fakes.world import World, leader_of

# -- invalid input ---------------------------------------------------------------------------


def _follower_leases() -> FollowerLeases:
    return FollowerLeases(["c1", "c2"], RenewalTiming(seconds(15), seconds(34), 3), seconds(0))


def test_ping_of_past_term_is_refused_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    follower_leases = _follower_leases()
    follower_leases.promise(peers.Ping("c1", leading_token=9), False, False, seconds(100))
    for second in range(101, 110):
        follower_leases.promise(peers.Ping("c2", leading_token=4), False, False, seconds(second))
    assert [r.message for r in caplog.records] == [
        "ping of a past term refused: controller=c2 token=4"
    ]
    # The pings of the past term start no renewal promise, so the controller may vote.
    ping = peers.Ping("c1", wants_consent=9, wants_cancellations=True)
    assert follower_leases.promise(ping, False, False, seconds(110)).consent == 9
    for past_token in (4, -1):
        ping = peers.Ping("c1", wants_consent=past_token, wants_cancellations=True)
        assert follower_leases.promise(ping, False, False, seconds(110)).consent == 0


def test_invalid_ping_answer_is_ignored() -> None:
    follower_leases = _follower_leases()
    for age, bound in ((float("nan"), 0.0), (0.0, float("inf")), (1e300, 0.0)):
        with pytest.raises(MessageFormatError):
            follower_leases.on_ping_answer(
                "c1", peers.RenewalPromise(age, True, 0, 1, bound), seconds(1), seconds(1), 5
            )
    assert all(view.asked_at is None for view in follower_leases.views())
    cancellations = {"../../etc": 0.0, "req-1": 5000.0}
    new_cancellations = follower_leases.on_ping_answer(
        "c1",
        peers.RenewalPromise(1e6, True, cancellations=cancellations),
        seconds(1),
        seconds(1),
        0,
    )
    assert new_cancellations == ["req-1"]


def test_cancellation_is_kept_if_leader_mailbox_is_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``: a cancellation that the leader's mailbox refuses is sent again.

    It is on the controller's list, so no peer reports it again.  Unless it is resent, the leader
    continues to answer workers as if it knew every cancellation.
    """

    async def scenario(world: World) -> None:
        await curio.sleep(3)
        node = world.nodes[leader_of(world)]
        leader_actor = node._leader.actor
        assert leader_actor is not None
        received: list[Any] = []

        async def reject(message: Any) -> None:
            raise MailboxFullError

        async def accept(message: Any) -> None:
            received.append(message)

        monkeypatch.setattr(leader_actor, "tell", reject)
        assert not await node._cancellations.tell_leader(["req-1"])
        assert not await node._cancellations.tell_leader([])
        monkeypatch.setattr(leader_actor, "tell", accept)
        assert await node._cancellations.tell_leader(["req-2"])
        assert received == [JobCancelled("req-1"), JobCancelled("req-2")]

    World().play(monkeypatch, scenario)


def test_no_vote_after_list_of_cancellations_overflowed() -> None:
    """Guards ``ran_cancelled``: tasks of a job dropped from the list could keep their leases."""
    follower_leases = _follower_leases()
    now = seconds(1000)
    ping = peers.Ping("c1", wants_consent=3, wants_cancellations=True)
    for number in range(MAX_CANCELLATIONS):
        assert follower_leases.add_cancellation(f"req-{number}", now)
    assert follower_leases.promise(ping, False, False, now).consent == 3
    follower_leases.add_cancellation("req-999999", now)
    assert follower_leases.promise(ping, False, False, now).consent == 0
    assert follower_leases.promise(ping, False, False, now + seconds(36)).consent == 3


@pytest.mark.parametrize(
    "body", [b"\xc1", b"", encode([1, 2]), encode({"controller": 5}), b"x" * 999]
)
def test_malformed_peer_messages_are_refused(monkeypatch: pytest.MonkeyPatch, body: bytes) -> None:
    async def scenario(world: World) -> None:
        await curio.sleep(3)
        for path in ("/ping", "/notice", "/relay"):
            request = Request("POST", path, "", body)
            status, _ = await world.network.request("x", "10.0.0.1:8081", request, seconds(1))
            assert status == 400
        await world.wait_until_done(await world.run_job("array", 1, run_s=2.0))

    World().play(monkeypatch, scenario)


# -- the model -------------------------------------------------------------------------------


def test_model_has_no_execution_that_breaks_a_rule() -> None:
    for reading in (False, True):
        result = explore(reading=reading)
        assert (result.rule, result.complete) == ("", True)
        assert result.states > 20_000


@pytest.mark.parametrize("name", [name for name, guard in GUARDS.items() if not guard.large])
def test_model_without_each_guard_breaks_a_rule(name: str) -> None:
    guard = GUARDS[name]
    assert explore(guard.crashes, guard.delayed, guard.false_inputs, 100_000, guard.reading).rule
