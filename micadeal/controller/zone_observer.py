"""Passes the state of machines and the presence of peers to the leader's zone monitor."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from micadeal.controller.feature_levels import FeatureLevels
from micadeal.fleet.machines import Machine
from micadeal.operator.platform import Platform
from micadeal.rollout.membership import Presence, presence
from micadeal.zones.zone_monitor import ZoneMonitor

#: A machine counts as silent for the zone monitor after this many heartbeat intervals.  That is
#: earlier than it stops receiving new work (scheduling/capacity.py), since one silent machine alone
#: does not change the state of a zone.
MAX_MISSED_HEARTBEATS = 2
#: Best first.
PRESENCE_ORDER = list(Presence)


class ZoneObserver:
    """Observes the zones of one term."""

    def __init__(self, platform: Platform, feature_levels: FeatureLevels, now: timedelta) -> None:
        self._peers = platform.peers
        self._max_silence = platform.workers.heartbeat_interval * MAX_MISSED_HEARTBEATS
        self._feature_levels = feature_levels
        self._monitor = ZoneMonitor(platform.zones, platform.zone, now)

    def observe_if_due(self, machines: Iterable[Machine], now: timedelta) -> None:
        """Pass the current state to the zone monitor if an observation is due."""
        if self._monitor.due(now):
            self._monitor.observe(
                machines, self._best_presence_by_zone(now), self._max_silence, now
            )

    def notes(self, now: timedelta) -> list[str]:
        """Return a line for the overview for each zone that is not healthy."""
        return self._monitor.notes(now)

    def _best_presence_by_zone(self, now: timedelta) -> dict[str, Presence]:
        observations = self._feature_levels.observations
        best: dict[str, Presence] = {}
        for peer in self._peers:
            peer_presence = presence(peer.name, observations, now)
            best[peer.zone] = min(
                peer_presence, best.get(peer.zone, peer_presence), key=PRESENCE_ORDER.index
            )
        return best
