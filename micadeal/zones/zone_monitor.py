"""All zones of a deployment, as one leader knows them; what it says of them."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.machines import Machine
from micadeal.rollout.membership import Presence
from micadeal.zones.zone_health import Zone, ZoneSignals, ZoneState, observe

log = logging.getLogger(__name__)

LOOK_EVERY = seconds(0.5)

#: We are that late to look: we stood still, and what was silent meanwhile says nothing.
ABSENCE = seconds(2)


class ZoneMonitor:
    """Owns the leader's knowledge of zones for one term; no I/O."""

    def __init__(self, names: Iterable[str], own: str, began: timedelta) -> None:
        """``own``: the leader's zone; ``began``: when the term did."""
        self._zone_monitor = {name: Zone(name, since=began) for name in names}
        self._own = own
        self._began = began
        self._due = began

    def due(self, now: timedelta) -> bool:
        return now >= self._due

    def look(
        self,
        machines: Iterable[Machine],
        controllers: Mapping[str, Presence],
        silence: timedelta,
        now: timedelta,
    ) -> None:
        """``controllers``: by zone, that of the best seen one in it, without the leader;
        ``silence``: a machine that has not been heard of for longer is silent."""
        if now - self._due > ABSENCE:
            # Guards against zones that are judged by our own standing still.
            self._began = now
        self._due = now + LOOK_EVERY
        signals = self._signals(machines, controllers, silence, now)
        outside = [s for name, s in signals.items() if name != self._own]
        heard = any(s.machines > s.silent for s in outside)
        present = any(seen is Presence.PRESENT for seen in controllers.values())
        # A young fleet, or one in a single zone, is no sign of anything.
        others_silent = any(s.machines for s in outside) and not heard and not present
        for name, zone in self._zone_monitor.items():
            after = observe(zone, signals[name], others_silent, now)
            self._zone_monitor[name] = after
            if after.state is not zone.state:
                log.info("zone %s %s", name, _told(after))

    def _signals(
        self,
        machines: Iterable[Machine],
        controllers: Mapping[str, Presence],
        silence: timedelta,
        now: timedelta,
    ) -> dict[str, ZoneSignals]:
        counts = {name: [0, 0, 0] for name in self._zone_monitor}
        for machine in machines:
            count = counts.get(machine.zone)
            if count is None or machine.release_requested is not None:
                continue
            if not machine.up and not machine.attempts:
                continue
            last = max(machine.heard or self._began, self._began)
            count[0] += 1
            count[1] += now - last > silence
            count[2] += machine.lost
        return {
            name: ZoneSignals(known, silent, controllers.get(name), name == self._own, ended)
            for name, (known, silent, ended) in counts.items()
        }

    def notes(self, now: timedelta) -> list[str]:
        """For the overview: zones that are not open, and why."""
        return [
            f"zone {zone.name} {_told(zone)}, for {(now - zone.since).total_seconds():.0f} s"
            for zone in self._zone_monitor.values()
            if zone.state is not ZoneState.OPEN
        ]


def _told(zone: Zone) -> str:
    signals = zone.signals
    text = f"is {zone.state.value}: {signals.silent} of {signals.machines} machines are silent"
    return f"{text}; {zone.cause.value}" if zone.cause.value else text
