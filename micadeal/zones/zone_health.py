"""The state of each zone, from what a leader can see of it.

No single sign tells a zone that is cut off from many machines that died in it: the workers' silence
comes first, what its controller says or does not say tells the two apart, and only the cloud's
answer to a return, or time, makes a loss certain.  Instants are steady time of the leader.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

from micadeal.clock import ZERO, seconds
from micadeal.rollout.membership import Presence

#: Of fewer machines nothing is concluded: one or two fall silent by themselves.
FEWEST = 3
#: Above this share of silent machines a zone is in doubt; above the second it is judged; below the
#: third, after that, it is coming back.  Apart, so that a share near one does not flicker.
DOUBT, JUDGED, BACK = 0.5, 0.8, 0.2
#: A zone in doubt is judged no sooner: reports of half a zone may be late together.
JUDGE_AFTER = seconds(2)
#: How long a zone that came back is watched before it counts as open again; twice as long for each
#: time that it went within ``FORGET``, up to ``MOST_TRUST``.
TRUST = seconds(10)
MOST_TRUST = seconds(120)
FORGET = seconds(300)


class ZoneState(Enum):
    OPEN = "open"
    DOUBTFUL = "in doubt"
    CUT_OFF = "cut off"
    LOST = "lost"
    RETURNING = "coming back"


class Cause(Enum):
    """What the signs fit best."""

    NONE = ""
    CUT = "its machines and its controller are silent to all"
    APART = "this leader can't reach it, another controller can"
    MACHINES = "its machines are silent, its controller is not"
    CONTROLLER = "only its controller is silent"
    OURS = "this leader's own zone may be cut off: it hears nothing from outside"


@dataclass(frozen=True, slots=True)
class ZoneSignals:
    """Of one zone, at one instant."""

    #: Machines that have reported, or are recorded with tasks, and are not returned.
    machines: int
    #: Of these, not heard of for longer than reports take.
    silent: int
    #: Its controller as seen by the leader; None: there is none, or it is the leader.
    controller: Presence | None
    #: It is the leader's own.
    own: bool = False
    #: Its machines were returned and the cloud has ended them, or their leases are over.
    ended: int = 0

    @property
    def share(self) -> float:
        return self.silent / self.machines if self.machines else 0.0


@dataclass(frozen=True, slots=True)
class Zone:
    name: str
    state: ZoneState = ZoneState.OPEN
    cause: Cause = Cause.NONE
    since: timedelta = ZERO
    signals: ZoneSignals = ZoneSignals(0, 0, None)
    #: How often it went, and when it last did.
    went: int = 0
    went_at: timedelta | None = None

    @property
    def trust(self) -> timedelta:
        """How long it is watched once it is back."""
        times: int = 2 ** min(max(self.went - 1, 0), 10)
        return min(TRUST * times, MOST_TRUST)


def cause_of(signals: ZoneSignals, others_silent: bool) -> Cause:
    """``others_silent``: all that is outside the leader's own zone is silent to it."""
    if others_silent and not signals.own:
        return Cause.OURS
    gone = signals.controller in (Presence.SILENT, Presence.UNSEEN)
    if signals.machines >= FEWEST and signals.share > DOUBT:
        if signals.controller is Presence.SEEN_BY_OTHERS:
            return Cause.APART
        return Cause.CUT if gone else Cause.MACHINES
    return Cause.CONTROLLER if gone else Cause.NONE


def observe(zone: Zone, signals: ZoneSignals, others_silent: bool, now: timedelta) -> Zone:
    """The zone after these signs; ``others_silent`` as in ``cause_of``."""
    cause = cause_of(signals, others_silent)
    if zone.went_at is not None and now - zone.went_at > FORGET and zone.state is ZoneState.OPEN:
        zone = replace(zone, went=0, went_at=None)
    state = _next(zone, signals, cause, now)
    if state is zone.state:
        return replace(zone, signals=signals, cause=cause)
    # What went and came back while it was still watched went once more.
    goes = state in (ZoneState.CUT_OFF, ZoneState.LOST) and zone.state is ZoneState.DOUBTFUL
    return replace(
        zone,
        state=state,
        cause=cause,
        since=now,
        signals=signals,
        went=zone.went + goes,
        went_at=now if goes else zone.went_at,
    )


def _next(zone: Zone, signals: ZoneSignals, cause: Cause, now: timedelta) -> ZoneState:
    share, known = signals.share, signals.machines >= FEWEST
    match zone.state:
        case ZoneState.OPEN | ZoneState.RETURNING if known and share > DOUBT:
            return ZoneState.DOUBTFUL
        case ZoneState.RETURNING if now - zone.since >= zone.trust:
            return ZoneState.OPEN
        case ZoneState.DOUBTFUL if share < BACK:
            # It was never judged: nothing is to be regained.
            return ZoneState.OPEN if zone.went_at is None else ZoneState.RETURNING
        case ZoneState.DOUBTFUL if known and share >= JUDGED and now - zone.since >= JUDGE_AFTER:
            if cause in (Cause.CUT, Cause.APART, Cause.OURS):
                return ZoneState.CUT_OFF
            return ZoneState.LOST if cause is Cause.MACHINES else zone.state
        case ZoneState.CUT_OFF if signals.ended and signals.ended >= signals.machines:
            return ZoneState.LOST
        case ZoneState.CUT_OFF | ZoneState.LOST if (
            share < BACK and signals.machines > signals.ended
        ):
            return ZoneState.RETURNING
    return zone.state
