"""Which controller answers a worker's heartbeat: this one, or the leader by redirect or relay."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import seconds

#: A worker that comes back within this time after a redirect can't reach the leader.
REDIRECT_RETURN_WINDOW = seconds(12)
#: A relayed worker stays relayed if its heartbeats are no further apart than this.
RELAY_KEEP_WINDOW = seconds(15)
#: A worker that left the leader is relayed for that reason once in this time.
FALLBACK_INTERVAL = seconds(20)
#: Workers remembered; the one least lately heard from is forgotten.
MAX_WORKERS = 2000


class HeartbeatRoute(Enum):
    """What a controller does with a heartbeat."""

    #: This controller leads: it answers.
    LOCAL = "here"
    #: The worker is told the leader's name and goes there.
    REDIRECT = "redirect"
    #: The heartbeat is passed to the leader, and the leader's response back.
    RELAY = "relay"
    #: No leader is known.
    UNAVAILABLE = "nowhere"


@dataclass(slots=True)
class _WorkerRoute:
    """What was done lately with one worker's heartbeats, under the present leader."""

    leader: str | None = None
    redirected: timedelta | None = None
    relayed: timedelta | None = None
    #: When it was relayed because it had left the leader.
    fell_back: timedelta | None = None


class HeartbeatRouter:
    """Remembers which workers were redirected, and which could not reach the leader."""

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _WorkerRoute] = OrderedDict()

    def route(
        self, machine: str, leading: bool, leader: str | None, now: timedelta, knows: bool = False
    ) -> HeartbeatRoute:
        """Choose the route of a heartbeat.

        ``leading``: this controller leads.  ``leader``: name of the leader, if it is known.
        ``knows``: the worker has shown the present leader's token.
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
        if knows and (route.fell_back is None or now - route.fell_back > FALLBACK_INTERVAL):
            # Most likely it came here because the leader did not answer it for 4 s.  Sending it
            # back at once could cost as long again, which together with the time between two
            # heartbeats is more than a lease.
            route.fell_back, route.redirected = now, None
            return HeartbeatRoute.RELAY
        route.redirected = now
        return HeartbeatRoute.REDIRECT

    def relayed(self, machine: str, now: timedelta) -> None:
        """Record that the leader has answered a relayed heartbeat."""
        route = self._routes.get(machine)
        if route is not None and route.redirected is not None:
            route.relayed = now

    def relay_failed(self, machine: str) -> None:
        """Record that a heartbeat could not be relayed: the worker is redirected next time."""
        route = self._routes.get(machine)
        if route is not None:
            route.relayed = route.redirected = None

    def _route_of(self, machine: str, leader: str) -> _WorkerRoute:
        """Return what is remembered of a worker; nothing of it outlasts a change of leader."""
        route = self._routes.setdefault(machine, _WorkerRoute())
        self._routes.move_to_end(machine)
        while len(self._routes) > MAX_WORKERS:
            self._routes.popitem(last=False)
        if route.leader != leader:
            route.leader = leader
            route.redirected = route.relayed = route.fell_back = None
        return route
