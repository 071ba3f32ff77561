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

#: A check that is later than this means that this process was stalled.  Missing heartbeats prove
#: nothing then.
MAX_CHECK_DELAY = seconds(2)


@dataclass(slots=True)
class _MachineCounts:
    """Numbers of machines in one zone; ``ZoneSignals`` explains them."""

    machines: int = 0
    unreachable: int = 0
    ended: int = 0


class ZoneMonitor:
    """Tracks the state of all zones for one term of a leader; no I/O."""

    def __init__(self, names: Iterable[str], own_zone: str, term_started_at: timedelta) -> None:
        """Start with all zones healthy.

        ``own_zone`` is the leader's zone.
        """
        self._zones = {name: Zone(name, since=term_started_at) for name in names}
        self._own_zone = own_zone
        #: Start of the observation.  Each machine counts as reachable at this instant.
        self._observing_since = term_started_at
        self._next_check_at = term_started_at

    def due(self, now: timedelta) -> bool:
        """Return whether it is time for the next check."""
        return now >= self._next_check_at

    def observe(
        self,
        machines: Iterable[Machine],
        controllers: Mapping[str, Presence],
        heartbeat_timeout: timedelta,
        now: timedelta,
    ) -> None:
        """Check all zones.

        ``controllers`` maps a zone to the presence of the best reachable controller in it other
        than the leader.  A machine without a heartbeat for longer than ``heartbeat_timeout`` is
        unreachable.
        """
        if now - self._next_check_at > MAX_CHECK_DELAY:
            # Guards against zones that are suspected only because this process was stalled.
            self._observing_since = now
        self._next_check_at = now + CHECK_INTERVAL
        signals = self._signals(machines, controllers, heartbeat_timeout, now)
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
        """Return whether the leader reaches nothing outside its own zone.

        False if there are no machines outside it, as in a small fleet: that proves nothing.
        """
        outside = [zone_signals for name, zone_signals in signals.items() if name != self._own_zone]
        has_machines = any(zone_signals.machines for zone_signals in outside)
        reaches_machine = any(
            zone_signals.machines > zone_signals.unreachable for zone_signals in outside
        )
        reaches_controller = any(presence is Presence.PRESENT for presence in controllers.values())
        return has_machines and not reaches_machine and not reaches_controller

    def _signals(
        self,
        machines: Iterable[Machine],
        controllers: Mapping[str, Presence],
        heartbeat_timeout: timedelta,
        now: timedelta,
    ) -> dict[str, ZoneSignals]:
        counts = {name: _MachineCounts() for name in self._zones}
        for machine in machines:
            count = counts.get(machine.zone)
            if count is None or machine.release_requested is not None:
                continue
            if not machine.up and not machine.attempts:
                continue
            last_heartbeat_at = max(
                machine.last_heartbeat_at or self._observing_since, self._observing_since
            )
            count.machines += 1
            count.unreachable += now - last_heartbeat_at > heartbeat_timeout
            count.ended += machine.lease_expired
        return {
            name: ZoneSignals(
                count.machines,
                count.unreachable,
                controllers.get(name),
                own=name == self._own_zone,
                ended=count.ended,
            )
            for name, count in counts.items()
        }

    def notes(self, now: timedelta) -> list[str]:
        """Return one line for the overview for each zone that is not healthy."""
        return [
            f"zone {zone.name} {_describe(zone)}, for {(now - zone.since).total_seconds():.0f} s"
            for zone in self._zones.values()
            if zone.state is not ZoneState.HEALTHY
        ]


def _describe(zone: Zone) -> str:
    signals = zone.signals
    text = f"is {zone.state.value}: {signals.unreachable} of {signals.machines} machines are silent"
    return f"{text}; {zone.cause.value}" if zone.cause.value else text
