"""The state of each zone, derived from what a leader can observe of it.

No single signal distinguishes a partitioned zone from a zone in which many machines have failed.
Missing heartbeats of the workers raise a suspicion.  The presence of the zone's controller then
distinguishes the two cases.  Only the cloud's confirmation that machines have ended, or time, makes
a failure certain.  Instants are monotonic time of the leader.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

from micadeal.clock import ZERO, seconds
from micadeal.rollout.membership import Presence

#: No conclusion is drawn from fewer machines: one or two may fail independently of their zone.
MIN_MACHINES = 3
#: Shares of unreachable machines: above the first a zone is suspected; from the second on the
#: suspicion is decided; below the third the zone recovers.  The gaps between them prevent flapping
#: when the share is near one of them.
SUSPECT_SHARE = 0.5
DECIDE_SHARE = 0.8
RECOVER_SHARE = 0.2
#: Shortest time until a suspicion is decided: the heartbeats of half a zone may be late together.
MIN_SUSPICION = seconds(2)
#: How long a recovering zone is observed before it counts as healthy.  The time doubles with each
#: further failure within ``FLAP_WINDOW``, up to ``MAX_PROBATION``.
PROBATION = seconds(10)
MAX_PROBATION = seconds(120)
FLAP_WINDOW = seconds(300)
#: Limits the exponent of the probation; ``MAX_PROBATION`` is reached long before.
MAX_DOUBLINGS = 10


class ZoneState(Enum):
    """The states of a zone; the values are shown to operators."""

    HEALTHY = "open"
    SUSPECTED = "in doubt"
    PARTITIONED = "cut off"
    FAILED = "lost"
    RECOVERING = "coming back"


class Cause(Enum):
    """The most likely cause of the signals; the values are shown to operators."""

    NONE = ""
    ZONE_UNREACHABLE = "its machines and its controller are silent to all"
    LEADER_CUT_OFF_FROM_ZONE = "this leader can't reach it, another controller can"
    MACHINES_DOWN = "its machines are silent, its controller is not"
    CONTROLLER_DOWN = "only its controller is silent"
    OWN_ZONE_CUT_OFF = "this leader's own zone may be cut off: it hears nothing from outside"


#: Causes for which the machines of a zone may still be running.
PARTITION_CAUSES = frozenset(
    {Cause.ZONE_UNREACHABLE, Cause.LEADER_CUT_OFF_FROM_ZONE, Cause.OWN_ZONE_CUT_OFF}
)


@dataclass(frozen=True, slots=True)
class ZoneSignals:
    """The leader's observations of one zone at one instant."""

    #: Machines that sent a heartbeat, or are recorded with tasks, and are not returned.
    machines: int
    #: Of ``machines``, those without a recent heartbeat.
    unreachable: int
    #: Presence of the zone's controller; None: there is none, or it is the leader.
    controller: Presence | None
    #: Whether it is the leader's own zone.
    own: bool = False
    #: Of ``machines``, those whose leases the leader has treated as expired.
    ended: int = 0

    @property
    def unreachable_share(self) -> float:
        """The share of machines that are unreachable, from 0 to 1."""
        return self.unreachable / self.machines if self.machines else 0.0


@dataclass(frozen=True, slots=True)
class Zone:
    """The state of one zone, and its previous failures."""

    name: str
    state: ZoneState = ZoneState.HEALTHY
    cause: Cause = Cause.NONE
    #: When the state began.
    since: timedelta = ZERO
    signals: ZoneSignals = ZoneSignals(0, 0, None)
    #: How often it was partitioned or failed, and when it last was.
    failures: int = 0
    failed_at: timedelta | None = None

    @property
    def probation(self) -> timedelta:
        """How long the zone stays in ``RECOVERING`` before it counts as healthy."""
        doublings = min(max(self.failures - 1, 0), MAX_DOUBLINGS)
        factor: int = 2**doublings
        return min(PROBATION * factor, MAX_PROBATION)


def likely_cause(signals: ZoneSignals, others_unreachable: bool) -> Cause:
    """Return the most likely cause of the signals of a zone.

    ``others_unreachable``: the leader reaches nothing outside its own zone.
    """
    if others_unreachable and not signals.own:
        return Cause.OWN_ZONE_CUT_OFF
    controller_gone = signals.controller in (Presence.UNREACHABLE, Presence.UNSEEN)
    if signals.machines >= MIN_MACHINES and signals.unreachable_share > SUSPECT_SHARE:
        if signals.controller is Presence.SEEN_BY_OTHERS:
            return Cause.LEADER_CUT_OFF_FROM_ZONE
        return Cause.ZONE_UNREACHABLE if controller_gone else Cause.MACHINES_DOWN
    return Cause.CONTROLLER_DOWN if controller_gone else Cause.NONE


def observe(zone: Zone, signals: ZoneSignals, others_unreachable: bool, now: timedelta) -> Zone:
    """Return the zone after these signals; ``others_unreachable`` as in ``likely_cause``."""
    cause = likely_cause(signals, others_unreachable)
    if (
        zone.failed_at is not None
        and now - zone.failed_at > FLAP_WINDOW
        and zone.state is ZoneState.HEALTHY
    ):
        zone = replace(zone, failures=0, failed_at=None)
    state = _next_state(zone, signals, cause, now)
    if state is zone.state:
        return replace(zone, signals=signals, cause=cause)
    # A zone that fails again during its probation counts as having failed once more.
    is_new_failure = (
        state in (ZoneState.PARTITIONED, ZoneState.FAILED) and zone.state is ZoneState.SUSPECTED
    )
    return replace(
        zone,
        state=state,
        cause=cause,
        since=now,
        signals=signals,
        failures=zone.failures + is_new_failure,
        failed_at=now if is_new_failure else zone.failed_at,
    )


def _next_state(zone: Zone, signals: ZoneSignals, cause: Cause, now: timedelta) -> ZoneState:
    """Return the next state, which is the current one if the signals change nothing."""
    match zone.state:
        case ZoneState.HEALTHY | ZoneState.RECOVERING:
            return _after_reachable(zone, signals, now)
        case ZoneState.SUSPECTED:
            return _after_suspicion(zone, signals, cause, now)
        case ZoneState.PARTITIONED | ZoneState.FAILED:
            return _after_failure(zone, signals)


def _after_reachable(zone: Zone, signals: ZoneSignals, now: timedelta) -> ZoneState:
    if signals.machines >= MIN_MACHINES and signals.unreachable_share > SUSPECT_SHARE:
        return ZoneState.SUSPECTED
    if zone.state is ZoneState.RECOVERING and now - zone.since >= zone.probation:
        return ZoneState.HEALTHY
    return zone.state


def _after_suspicion(zone: Zone, signals: ZoneSignals, cause: Cause, now: timedelta) -> ZoneState:
    if signals.unreachable_share < RECOVER_SHARE:
        # A zone that has not failed needs no probation.
        return ZoneState.HEALTHY if zone.failed_at is None else ZoneState.RECOVERING
    can_decide = (
        signals.machines >= MIN_MACHINES
        and signals.unreachable_share >= DECIDE_SHARE
        and now - zone.since >= MIN_SUSPICION
    )
    if can_decide and cause in PARTITION_CAUSES:
        return ZoneState.PARTITIONED
    if can_decide and cause is Cause.MACHINES_DOWN:
        return ZoneState.FAILED
    return zone.state


def _after_failure(zone: Zone, signals: ZoneSignals) -> ZoneState:
    all_ended = signals.ended > 0 and signals.ended >= signals.machines
    if zone.state is ZoneState.PARTITIONED and all_ended:
        return ZoneState.FAILED
    if signals.unreachable_share < RECOVER_SHARE and signals.machines > signals.ended:
        return ZoneState.RECOVERING
    return zone.state
