"""The health of all zones of a deployment, as one leader observes it."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.machines import Machine
from micadeal.rollout.membership import Presence
from micadeal.zones.zone_health import Zone, ZoneSignals, ZoneState, observe

log = logging.getLogger(__name__)

CHECK_INTERVAL = seconds(0.5)

#: A check that is late by more means that this process was stalled: it proves nothing that no
#: heartbeat was received meanwhile.
MAX_CHECK_DELAY = seconds(2)


@dataclass(slots=True)
class _MachineCounts:
    """The machines of one zone by what is known of them; see ``ZoneSignals``."""

    machines: int = 0
    unreachable: int = 0
    ended: int = 0


class ZoneMonitor:
    """Owns the leader's knowledge of zones for one term; no I/O."""

    def __init__(self, names: Iterable[str], own: str, began: timedelta) -> None:
        """Start with all zones healthy.

        ``own`` is the leader's zone, ``began`` the start of its term.
        """
        self._zones = {name: Zone(name, since=began) for name in names}
        self._own = own
        #: Machines count as heard of then, though nothing was received before.
        self._observing_since = began
        self._due = began

    def due(self, now: timedelta) -> bool:
        """Return whether it is time for the next check."""
        return now >= self._due

    def observe(
        self,
        machines: Iterable[Machine],
        controllers: Mapping[str, Presence],
        silence: timedelta,
        now: timedelta,
    ) -> None:
        """Check all zones.

        ``controllers`` has, by zone, the presence of the best reachable controller in it, without
        the leader.  A machine that was not heard of for longer than ``silence`` is unreachable.
        """
        if now - self._due > MAX_CHECK_DELAY:
            # Guards against zones that are suspected because we were stalled ourselves.
            self._observing_since = now
        self._due = now + CHECK_INTERVAL
        signals = self._signals(machines, controllers, silence, now)
        others_unreachable = self._others_unreachable(signals, controllers)
        for name, zone in self._zones.items():
            observed = observe(zone, signals[name], others_unreachable, now)
            self._zones[name] = observed
            if observed.state is not zone.state:
                log.info(
                    "zone state changed: zone=%s state=%s unreachable=%d machines=%d reason=%s",
                    name,
                    observed.state.value,
                    observed.signals.unreachable,
                    observed.signals.machines,
                    observed.cause.value or "-",
                )

    def _others_unreachable(
        self, signals: Mapping[str, ZoneSignals], controllers: Mapping[str, Presence]
    ) -> bool:
        """Return whether nothing outside our own zone can be reached.

        If there are no machines outside, as in a small fleet, that proves nothing.
        """
        outside = [zone_signals for name, zone_signals in signals.items() if name != self._own]
        has_machines = any(zone_signals.machines for zone_signals in outside)
        any_machine = any(
            zone_signals.machines > zone_signals.unreachable for zone_signals in outside
        )
        any_controller = any(presence is Presence.PRESENT for presence in controllers.values())
        return has_machines and not any_machine and not any_controller

    def _signals(
        self,
        machines: Iterable[Machine],
        controllers: Mapping[str, Presence],
        silence: timedelta,
        now: timedelta,
    ) -> dict[str, ZoneSignals]:
        counts = {name: _MachineCounts() for name in self._zones}
        for machine in machines:
            count = counts.get(machine.zone)
            if count is None or machine.release_requested is not None:
                continue
            if not machine.up and not machine.attempts:
                continue
            heard_at = max(machine.heard or self._observing_since, self._observing_since)
            count.machines += 1
            count.unreachable += now - heard_at > silence
            count.ended += machine.lease_expired
        return {
            name: ZoneSignals(
                count.machines,
                count.unreachable,
                controllers.get(name),
                own=name == self._own,
                ended=count.ended,
            )
            for name, count in counts.items()
        }

    def notes(self, now: timedelta) -> list[str]:
        """Return a line for the overview for each zone that is not healthy."""
        return [
            f"zone {zone.name} {_describe(zone)}, for {(now - zone.since).total_seconds():.0f} s"
            for zone in self._zones.values()
            if zone.state is not ZoneState.HEALTHY
        ]


def _describe(zone: Zone) -> str:
    signals = zone.signals
    text = f"is {zone.state.value}: {signals.unreachable} of {signals.machines} machines are silent"
    return f"{text}; {zone.cause.value}" if zone.cause.value else text
