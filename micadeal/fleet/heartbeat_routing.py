"""Chooses who answers a worker's heartbeat: this controller, or the leader by redirect or relay."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import seconds

#: A worker that returns within this time after a redirect is assumed not to reach the leader.
REDIRECT_RETURN_WINDOW = seconds(12)
#: A worker is relayed again if its last relayed heartbeat is at most this old.
RELAY_KEEP_WINDOW = seconds(15)
#: A worker that left the leader is relayed for this reason at most once in this time.
FALLBACK_INTERVAL = seconds(20)
#: Most workers remembered; beyond it the one with the oldest heartbeat is dropped.
MAX_WORKERS = 2000


class HeartbeatRoute(Enum):
    """How a controller handles a heartbeat."""

    #: This controller leads and answers itself.
    LOCAL = "here"
    #: The worker is sent to the leader.
    REDIRECT = "redirect"
    #: The heartbeat is forwarded to the leader, and the leader's response to the worker.
    RELAY = "relay"
    #: No leader is known.
    UNAVAILABLE = "nowhere"


@dataclass(slots=True)
class _WorkerRoute:
    """How one worker's recent heartbeats were handled under the present leader."""

    leader: str | None = None
    redirected: timedelta | None = None
    relayed: timedelta | None = None
    #: When a heartbeat was last relayed because the worker had left the leader.
    fell_back: timedelta | None = None


class HeartbeatRouter:
    """Remembers which workers were redirected or relayed."""

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _WorkerRoute] = OrderedDict()

    def route(
        self,
        machine: str,
        leading: bool,
        leader: str | None,
        now: timedelta,
        has_leader_token: bool = False,
    ) -> HeartbeatRoute:
        """Choose the route of a heartbeat.

        ``leading``: this controller leads.  ``leader``: name of the leader, None if unknown.
        ``has_leader_token``: the heartbeat carries the present leader's token.
        """
        if leading:
            return HeartbeatRoute.LOCAL
        if leader is None:
            return HeartbeatRoute.UNAVAILABLE
        route = self._route_of(machine, leader)
        if route.relayed is not None and now - route.relayed < RELAY_KEEP_WINDOW:
            return HeartbeatRoute.RELAY
        if route.redirected is not None and now - route.redirected < REDIRECT_RETURN_WINDOW:
            return HeartbeatRoute.RELAY
        if has_leader_token and (
            route.fell_back is None or now - route.fell_back > FALLBACK_INTERVAL
        ):
            # The worker most likely changed controllers because the leader did not answer for 4 s.
            # A redirect could cost it another 4 s.  These 8 s and a heartbeat interval together are
            # longer than a lease.
            route.fell_back, route.redirected = now, None
            return HeartbeatRoute.RELAY
        route.redirected = now
        return HeartbeatRoute.REDIRECT

    def record_relay(self, machine: str, now: timedelta) -> None:
        """Record that the leader answered a relayed heartbeat."""
        route = self._routes.get(machine)
        if route is not None and route.redirected is not None:
            route.relayed = now

    def record_relay_failure(self, machine: str) -> None:
        """Record that a heartbeat could not be relayed, so that the next one is redirected."""
        route = self._routes.get(machine)
        if route is not None:
            route.relayed = route.redirected = None

    def _route_of(self, machine: str, leader: str) -> _WorkerRoute:
        """Return a worker's entry, cleared if the leader has changed since."""
        route = self._routes.setdefault(machine, _WorkerRoute())
        self._routes.move_to_end(machine)
        while len(self._routes) > MAX_WORKERS:
            self._routes.popitem(last=False)
        if route.leader != leader:
            route.leader = leader
            route.redirected = route.relayed = route.fell_back = None
        return route
