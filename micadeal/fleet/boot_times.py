"""Decides whether a booting machine is late or has timed out, judged by other boots.  No I/O.

A fixed time limit is wrong in both directions.  Some machines take several times their type's boot
time, and some never boot.  At times all machines boot slowly, or within a second or two (PROTOCOL,
"GET /catalog").  Similar machines distinguish these cases.  A machine has *overtaken* the booting
one if it was rented at the same time or later and is already up.  If none has, all boots are slow,
and renting more machines would only add slow ones.
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
#: Boots of machines rented longer ago than this are ignored: they don't predict current boots.
MAX_BOOT_AGE = seconds(300)
#: A machine rented at most this long before another counts as rented together with it.
SAME_RENTAL_WINDOW = seconds(3)
#: A machine is late only if at least this many others have overtaken it.
MIN_OVERTAKERS = 3
#: A machine is late at this multiple of the overtakers' median boot time.  The median counts as at
#: most the type's boot time.
LATE_FACTOR = 1.6
#: Lower bound of that median, as a share of the type's boot time.
MIN_BOOT_TIME_SHARE = 1 / 2
#: Boot timeout of a machine that was overtaken, as a multiple of its type's boot time.
OVERTAKEN_TIMEOUT_FACTOR = 3.0
#: Boot timeout of any other machine, as a multiple of its type's boot time.
TIMEOUT_FACTOR = 8.0


class Boot(NamedTuple):
    """A completed boot whose rental time is known."""

    rented: timedelta
    #: Time from the rental to the worker's first message.
    duration: timedelta


@dataclass(slots=True)
class BootTimes:
    """Recent boots of each offer."""

    _boots: dict[InstanceOffer, deque[Boot]] = field(default_factory=dict)

    def record_boot(self, machine: Machine, now: timedelta) -> None:
        """Record the completed boot of a machine whose rental time is known."""
        offer = InstanceOffer(machine.machine_type, machine.zone, machine.spot)
        boots = self._boots.setdefault(offer, deque(maxlen=MAX_REMEMBERED_BOOTS))
        boots.append(Boot(machine.rented_at, max(now - machine.rented_at, ZERO)))

    def is_late(self, machine: Machine, type_boot_time: timedelta, now: timedelta) -> bool:
        """Tell whether a booting machine is late, so that another may be rented in its place."""
        durations = self._overtakers(machine, now)
        if len(durations) < MIN_OVERTAKERS:
            return False
        typical = seconds(median(duration.total_seconds() for duration in durations))
        limit = (
            max(min(typical, type_boot_time), type_boot_time * MIN_BOOT_TIME_SHARE) * LATE_FACTOR
        )
        return machine.age(now) > limit

    def has_timed_out(self, machine: Machine, type_boot_time: timedelta, now: timedelta) -> bool:
        """Tell whether a booting machine has exceeded its boot timeout and is to be returned."""
        overtaken = len(self._overtakers(machine, now)) >= MIN_OVERTAKERS
        factor = OVERTAKEN_TIMEOUT_FACTOR if overtaken else TIMEOUT_FACTOR
        return machine.age(now) > type_boot_time * factor

    def _overtakers(self, machine: Machine, now: timedelta) -> list[timedelta]:
        """Return the boot times of the machines that have overtaken ``machine``.

        They are of the same offer, or of any offer of the same type if those are too few.
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
    earliest = max(machine.rented_at - SAME_RENTAL_WINDOW, now - MAX_BOOT_AGE)
    return [boot.duration for boot in boots if boot.rented >= earliest]
