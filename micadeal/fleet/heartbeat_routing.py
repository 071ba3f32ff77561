"""Which controller a worker's report goes to: here, redirected, or relayed."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import seconds

#: A worker that comes back within this time after having been sent to the leader can't reach it.
RETURN_TIME = seconds(12)
#: A relayed worker stays relayed if it reports at least this often.
RELAY_TIME = seconds(15)
#: One that came from the leader, and was relayed for that, is not again within this time.
RESCUE_TIME = seconds(20)
REMEMBERED = 2000


class HeartbeatRoute(Enum):
    HERE = "here"
    REDIRECT = "redirect"
    RELAY = "relay"
    NOWHERE = "nowhere"


@dataclass(slots=True)
class _Seen:
    redirected: timedelta | None = None
    leader: str | None = None
    relayed: timedelta | None = None
    rescued: timedelta | None = None


class HeartbeatRouter:
    """Remembers which workers were redirected and which could not reach the leader."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, _Seen] = OrderedDict()

    def way(
        self, machine: str, leading: bool, leader: str | None, now: timedelta, knows: bool = False
    ) -> HeartbeatRoute:
        """``knows``: the worker has shown the present leader's token."""
        if leading:
            return HeartbeatRoute.HERE
        if leader is None:
            return HeartbeatRoute.NOWHERE
        seen = self._seen.setdefault(machine, _Seen())
        self._seen.move_to_end(machine)
        while len(self._seen) > REMEMBERED:
            self._seen.popitem(last=False)
        if seen.leader != leader:
            seen.leader, seen.redirected, seen.relayed, seen.rescued = leader, None, None, None
        if seen.relayed is not None and now - seen.relayed < RELAY_TIME:
            return HeartbeatRoute.RELAY
        if seen.redirected is not None and now - seen.redirected < RETURN_TIME:
            return HeartbeatRoute.RELAY
        if knows and (seen.rescued is None or now - seen.rescued > RESCUE_TIME):
            # It most likely came here since the leader did not answer it for 4 s.  To be sent back
            # at once could cost it as long again, which with the time between two reports is
            # more than a lease.
            seen.rescued, seen.redirected = now, None
            return HeartbeatRoute.RELAY
        seen.redirected = now
        return HeartbeatRoute.REDIRECT

    def relayed(self, machine: str, now: timedelta) -> None:
        seen = self._seen.get(machine)
        if seen is not None and seen.redirected is not None:
            seen.relayed = now

    def relay_failed(self, machine: str) -> None:
        seen = self._seen.get(machine)
        if seen is not None:
            seen.relayed = seen.redirected = None
