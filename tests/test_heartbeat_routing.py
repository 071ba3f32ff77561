"""Routing of workers' heartbeats by followers: redirect or relay to the leader."""

from __future__ import annotations

from micadeal.clock import seconds
from micadeal.fleet.heartbeat_routing import HeartbeatRoute, HeartbeatRouter


def test_worker_that_returns_after_a_redirect_is_relayed() -> None:
    router = HeartbeatRouter()
    assert (
        router.route("m", leading=False, leader=None, now=seconds(1)) is HeartbeatRoute.UNAVAILABLE
    )
    assert router.route("m", leading=False, leader="a", now=seconds(2)) is HeartbeatRoute.REDIRECT
    assert router.route("m", leading=False, leader="a", now=seconds(8)) is HeartbeatRoute.RELAY
    router.record_relay("m", seconds(8))
    assert router.route("m", leading=False, leader="a", now=seconds(20)) is HeartbeatRoute.RELAY
    assert router.route("m", leading=False, leader="b", now=seconds(21)) is HeartbeatRoute.REDIRECT


def test_worker_that_left_the_leader_is_relayed_then_redirected_once() -> None:
    router = HeartbeatRouter()
    routes = [
        router.route("n", False, "a", seconds(at), has_leader_token=True) for at in (1, 4, 10, 13)
    ]
    assert routes == [
        HeartbeatRoute.RELAY,
        HeartbeatRoute.REDIRECT,
        HeartbeatRoute.RELAY,
        HeartbeatRoute.RELAY,
    ]
