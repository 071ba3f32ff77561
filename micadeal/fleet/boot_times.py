"""When a booting machine is late, and when it is given up, judged by what other boots took.  Pure.

A fixed time limit is wrong either way: some machines take several times as long as their type's
boot time, some never come up, and at times all of them are slow, or up within a second or two
(PROTOCOL, "GET /catalog").  What tells these cases apart are similar machines that were rented
together with it or later and are up already: they have *overtaken* it.  Where no machine has, all
boots are slow, and renting more would only add slow ones.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median
from typing import NamedTuple

from micadeal.clock import ZERO, seconds
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import Machine

#: Boots remembered for each offer.
MAX_REMEMBERED_BOOTS = 64
#: Machines rented longer ago than this say nothing about boots of today.
MAX_BOOT_AGE = seconds(300)
#: A machine rented no longer than this before another counts as rented together with it.
SAME_RENTAL_WINDOW = seconds(3)
#: So many machines must have overtaken one that is late.
MIN_OVERTAKERS = 3
#: A machine is late at this multiple of the overtakers' median boot time...
LATE_FACTOR = 1.6
#: ... which counts for at least this share of its type's boot time.
MIN_BOOT_TIME_SHARE = 1 / 2
#: Multiples of the type's boot time after which an overtaken machine is given up, and any other.
GIVE_UP_FACTOR_OVERTAKEN = 3.0
GIVE_UP_FACTOR = 8.0


class Boot(NamedTuple):
    """A boot that was observed from its beginning."""

    rented: timedelta
    #: Time from the rental to the first message.
    duration: timedelta


@dataclass(slots=True)
class BootTimes:
    """The boots lately observed for each offer."""

    _boots: dict[InstanceOffer, deque[Boot]] = field(default_factory=dict)

    def record_boot(self, machine: Machine, now: timedelta) -> None:
        """Remember that a machine whose rental time is known has come up."""
        offer = InstanceOffer(machine.machine_type, machine.zone, machine.spot)
        boots = self._boots.setdefault(offer, deque(maxlen=MAX_REMEMBERED_BOOTS))
        boots.append(Boot(machine.rented, max(now - machine.rented, ZERO)))

    def late(self, machine: Machine, usual: timedelta, now: timedelta) -> bool:
        """Tell whether a booting machine is late, so that others are rented in its place.

        ``usual``: the boot time of its type.
        """
        durations = self._overtakers(machine, now)
        if len(durations) < MIN_OVERTAKERS:
            return False
        typical = seconds(median(duration.total_seconds() for duration in durations))
        limit = max(min(typical, usual), usual * MIN_BOOT_TIME_SHARE) * LATE_FACTOR
        return machine.age(now) > limit

    def given_up(self, machine: Machine, usual: timedelta, now: timedelta) -> bool:
        """Tell whether a booting machine is to be returned.

        ``usual``: the boot time of its type.
        """
        overtaken = len(self._overtakers(machine, now)) >= MIN_OVERTAKERS
        factor = GIVE_UP_FACTOR_OVERTAKEN if overtaken else GIVE_UP_FACTOR
        return machine.age(now) > usual * factor

    def _overtakers(self, machine: Machine, now: timedelta) -> list[timedelta]:
        """Boot times of similar machines rented together with it or later that are up.

        Those of its own offer, or if they are too few, those of its type.
        """
        offer = InstanceOffer(machine.machine_type, machine.zone, machine.spot)
        durations = _durations_since(self._boots.get(offer, ()), machine, now)
        if len(durations) >= MIN_OVERTAKERS:
            return durations
        return [
            duration
            for offer, boots in self._boots.items()
            if offer.machine_type == machine.machine_type
            for duration in _durations_since(boots, machine, now)
        ]


def _durations_since(boots: Iterable[Boot], machine: Machine, now: timedelta) -> list[timedelta]:
    earliest = max(machine.rented - SAME_RENTAL_WINDOW, now - MAX_BOOT_AGE)
    return [boot.duration for boot in boots if boot.rented >= earliest]
