"""Presence of the controllers: their processes, their builds, and since when they have answered.

Instants are monotonic time of the controller that observes.  A peer's answer is dated by the time
at which the ping was sent, so a response that the network delayed does not count as recent.
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
#: A process older than this does not indicate a rollout in progress.
ROLLOUT_WINDOW = seconds(300)
#: How long a process that will probably be replaced soon leaves a free lock to its peers.
ELECTION_DELAY = seconds(0.4)


@dataclass(frozen=True, slots=True)
class Process:
    """One process of a controller; ``id`` is random."""

    id: str
    build: Build


class Presence(Enum):
    """How well a peer can be reached, best first; the values are shown to operators."""

    PRESENT = "present"
    #: It has not answered this controller recently, but has answered a peer that is present: the
    #: network between the two is partitioned, or it refuses this controller's connections.
    SEEN_BY_OTHERS = "seen by others only"
    #: No controller that is present reaches it: it is down, stalled or partitioned.
    UNREACHABLE = "silent"
    UNSEEN = "never seen"


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """What this controller knows about one peer from its answers to pings."""

    #: Its current process; None: it never answered, or its version has no levels.
    process: Process | None = None
    #: When the first ping that its current process answered was sent.
    first_asked_at: timedelta | None = None
    #: When the last ping that it answered was sent.
    last_asked_at: timedelta | None = None
    #: The latest instant at which its current process can have started.
    started_at: timedelta | None = None
    #: Upper bound of the time since it last had a response of the state service; None: unknown.
    state_age: timedelta | None = None
    #: The controllers that it reaches.
    reaches: frozenset[str] = frozenset()
    #: How often its process has changed between two answers.
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

        ``age`` is the age of the process; None if its version does not report it.
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
        """Return whether the peer has answered a recent ping."""
        return self.last_asked_at is not None and now - self.last_asked_at < PRESENCE_TIMEOUT

    def present_for(self, now: timedelta) -> timedelta:
        """Return for how long the current process has answered; zero if the peer is not present."""
        if self.first_asked_at is None or self.last_asked_at is None or not self.present(now):
            return timedelta(0)
        return self.last_asked_at - self.first_asked_at


def presence(name: str, observations: Mapping[str, PeerObservation], now: timedelta) -> Presence:
    """Return the presence of controller ``name``, including what the other peers reach."""
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
    """Return how long to leave a free lock to the peers before campaigning for it.

    Guards against needless elections in a rollout: if peers were replaced a moment ago and this
    process was not, it will be stopped soon.  This is only an optimization: if no peer campaigns,
    just the delay is lost.  ``started_at`` is the start of this process.  Peers that had no
    response of the state service for ``max_state_age`` are ignored.
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
