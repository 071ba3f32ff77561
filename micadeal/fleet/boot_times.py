"""When a machine that boots is late, and when it is given up: by what others took.  Pure.

A fixed time is wrong either way: some machines take several times as long as their type's boot
time, some never come up, and at times all of them are slow, or up within a second or two
(PROTOCOL, "GET /catalog").  What tells one from the other are machines of its like that were rented
with it, or later, and are up: they have *overtaken* it.  Where none has, all are slow, and to rent
more would only add to them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median

from micadeal.clock import ZERO, seconds
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import Machine

#: Boots remembered of an offer, and for how long they tell something.
REMEMBERED = 64
MEMORY = seconds(300)
#: Rented no longer than this before another counts as rented with it.
TOGETHER = seconds(3)
#: So many that overtook a machine make it late...
OVERTAKERS = 3
#: ... at so many times their median, or its type's boot time if that is less.
LATE = 1.6
#: One that is late is given up after so many boot times of its type, others after so many.
GIVEN_UP = 3.0
PATIENCE = 8.0


@dataclass(slots=True)
class BootTimes:
    """What was seen of each offer: (rented, time to the first message)."""

    _seen: dict[InstanceOffer, deque[tuple[timedelta, timedelta]]] = field(default_factory=dict)

    def up(self, machine: Machine, now: timedelta) -> None:
        """A machine has come up of which we know when it was rented."""
        offer = InstanceOffer(machine.machine_type, machine.zone, machine.spot)
        seen = self._seen.setdefault(offer, deque(maxlen=REMEMBERED))
        seen.append((machine.rented, max(now - machine.rented, ZERO)))

    def late(self, machine: Machine, usual: timedelta, now: timedelta) -> bool:
        """Whether it is better not to count on it: others were rented in its place.  ``usual``:
        the boot time of its type."""
        times = self._overtakers(machine, now)
        if len(times) < OVERTAKERS:
            return False
        seen = seconds(median(time.total_seconds() for time in times))
        return machine.age(now) > max(min(seen, usual), usual / 2) * LATE

    def given_up(self, machine: Machine, usual: timedelta, now: timedelta) -> bool:
        times = PATIENCE if len(self._overtakers(machine, now)) < OVERTAKERS else GIVEN_UP
        return machine.age(now) > usual * times

    def _overtakers(self, machine: Machine, now: timedelta) -> list[timedelta]:
        """Boot times of those rented with it or later that are up: of its own offer, or if there
        are too few, of all of its type."""
        own = InstanceOffer(machine.machine_type, machine.zone, machine.spot)
        times = self._since(self._seen.get(own, ()), machine, now)
        if len(times) >= OVERTAKERS:
            return times
        return [
            time
            for offer, seen in self._seen.items()
            if offer.machine_type == machine.machine_type
            for time in self._since(seen, machine, now)
        ]

    @staticmethod
    def _since(
        seen: Iterable[tuple[timedelta, timedelta]], machine: Machine, now: timedelta
    ) -> list[timedelta]:
        first = max(machine.rented - TOGETHER, now - MEMORY)
        return [time for rented, time in seen if rented >= first]
