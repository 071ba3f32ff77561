"""Which controllers are present, with which process and build, and since when.

Instants are monotonic time of the controller that observes.  What a peer says is dated by the
question that it answers, so a response that the network delayed does not count as recent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import seconds
from micadeal.rollout.feature_level import Build

#: A peer that answered a ping sent within this time is present.  Pings are sent every second.
PRESENCE_TIMEOUT = seconds(2.5)
#: Processes started within this time of each other count as equally old.
SAME_AGE_TOLERANCE = seconds(8)
#: A process that is older than this is no sign of a rollout in progress.
ROLLOUT_WINDOW = seconds(300)
#: How long a process that will probably be replaced soon leaves a free lock to others.
ELECTION_DELAY = seconds(0.4)


@dataclass(frozen=True, slots=True)
class Process:
    """One run of a controller's program; ``id`` is random."""

    id: str
    build: Build


class Presence(Enum):
    """How well a peer can be reached, best first; the values are shown to operators."""

    PRESENT = "present"
    #: It has not answered us lately, but a peer that is present says that it answers there: the
    #: network between us is partitioned, or it refuses our connections.
    SEEN_BY_OTHERS = "seen by others only"
    #: No controller that is present reaches it: it is down, stalled or cut off.
    UNREACHABLE = "silent"
    UNSEEN = "never seen"


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """What we know of one other controller from its answers to our pings."""

    #: None: it never answered, or its version knows no levels.
    process: Process | None = None
    #: When the first ping was sent that its current process has answered.
    first_asked_at: timedelta | None = None
    #: When the last ping was sent that it has answered.
    last_asked_at: timedelta | None = None
    #: The latest instant at which its current process can have started.
    started_at: timedelta | None = None
    #: It had a response of the state service no longer ago than this.
    state_age: timedelta | None = None
    #: The controllers that it reaches.
    reaches: frozenset[str] = frozenset()
    #: How often its process was found to be a different one.
    restarts: int = 0

    def with_answer(
        self,
        process: Process | None,
        asked_at: timedelta,
        now: timedelta,
        age: timedelta | None = None,
        state_age: timedelta | None = None,
        reaches: Iterable[str] = (),
    ) -> PeerObservation:
        """Return the observation after the answer to a ping that was sent at ``asked_at``.

        ``age`` is that of the process, None if its version does not tell it.
        """
        if self.last_asked_at is not None and asked_at < self.last_asked_at:
            return self
        answered_before = self.last_asked_at is not None
        same_process = answered_before and process == self.process
        return PeerObservation(
            process,
            self.first_asked_at if same_process else asked_at,
            asked_at,
            None if age is None else now - age,
            state_age,
            frozenset(reaches),
            self.restarts + (answered_before and not same_process),
        )

    def present(self, now: timedelta) -> bool:
        """Return whether the peer answered a recent ping of ours."""
        return self.last_asked_at is not None and now - self.last_asked_at < PRESENCE_TIMEOUT

    def present_for(self, now: timedelta) -> timedelta:
        """Return for how long the current process has answered; zero if it does not now."""
        if self.first_asked_at is None or self.last_asked_at is None or not self.present(now):
            return timedelta(0)
        return self.last_asked_at - self.first_asked_at


def presence(name: str, observations: Mapping[str, PeerObservation], now: timedelta) -> Presence:
    """Return the presence of controller ``name``, also by what the other peers reach."""
    observation = observations[name]
    if observation.present(now):
        return Presence.PRESENT
    others = (other for peer, other in observations.items() if peer != name)
    if any(other.present(now) and name in other.reaches for other in others):
        return Presence.SEEN_BY_OTHERS
    return Presence.UNREACHABLE if observation.last_asked_at is not None else Presence.UNSEEN


def election_delay(
    own: Process,
    started_at: timedelta,
    observations: Iterable[PeerObservation],
    max_state_age: timedelta,
    now: timedelta,
) -> timedelta:
    """Return how long to leave a free lock to others before campaigning for it.

    Guards against needless elections in a rollout: a process that was not replaced yet, while
    others were a moment ago, will be ended again soon.  This is an optimization only: if none of
    the others campaigns, only this delay is lost.  ``started_at`` is that of our own process.
    Peers without a response of the state service for ``max_state_age`` don't count.
    """
    for observation in observations:
        peer = observation.process
        peer_started_at = observation.started_at
        if peer is None or peer_started_at is None or not observation.present(now):
            continue
        if observation.state_age is None or observation.state_age > max_state_age:
            continue
        later_build = peer.build.highest > own.build.highest
        just_replaced = (
            peer_started_at - started_at > SAME_AGE_TOLERANCE
            and now - peer_started_at < ROLLOUT_WINDOW
        )
        if later_build or just_replaced:
            return ELECTION_DELAY
    return timedelta(0)
