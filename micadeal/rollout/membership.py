"""Who is present, of which process and level, how surely and since when.

Instants are steady time of the controller that reasons.  What a peer says is dated by the question
that it answers, so nothing that the network held is taken for news.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import seconds
from micadeal.rollout.feature_level import Build

#: A peer that answered a question asked within this time is present.  They are asked every second.
FRESH = seconds(2.5)
#: Processes started within this time of each other count as equally old, and one that is older than
#: ``ROLL`` is no sign of a roll.
ALIKE = seconds(8)
ROLL = seconds(300)
#: How long a process that will probably be ended soon leaves an empty seat to others.
ELECTION_DELAY = seconds(0.4)


@dataclass(frozen=True, slots=True)
class Process:
    """One run of a controller's program; ``id`` is random."""

    id: str
    build: Build


class Presence(Enum):
    PRESENT = "present"
    #: It has not answered us lately, but a peer that is present says that it answers there: a cut
    #: between the two of us, or refused connections.
    SEEN_BY_OTHERS = "seen by others only"
    #: Nobody present hears it: it is down, stands still, or is cut off.
    SILENT = "silent"
    UNSEEN = "never seen"


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """What we know of one other controller from its answers to our questions."""

    #: None: it never answered, or is of a version that knows of no levels.
    process: Process | None = None
    #: When the first question was asked that its present process has answered.
    since: timedelta | None = None
    #: When the last question was asked that it has answered.
    heard: timedelta | None = None
    #: The latest instant at which its present process can have been started.
    born: timedelta | None = None
    #: It had an answer of the state service no longer ago than this.
    state_age: timedelta | None = None
    #: Whom it hears.
    reaches: frozenset[str] = frozenset()
    #: How often its process was found to be another one.
    restarts: int = 0

    def hear(
        self,
        process: Process | None,
        asked: timedelta,
        now: timedelta,
        age: timedelta | None = None,
        state_age: timedelta | None = None,
        reaches: Iterable[str] = (),
    ) -> PeerObservation:
        if self.heard is not None and asked < self.heard:
            return self
        same = self.heard is not None and process == self.process
        return PeerObservation(
            process,
            self.since if same else asked,
            asked,
            None if age is None else now - age,
            state_age,
            frozenset(reaches),
            self.restarts + (self.heard is not None and not same),
        )

    def present(self, now: timedelta) -> bool:
        return self.heard is not None and now - self.heard < FRESH

    def shown(self, now: timedelta) -> timedelta:
        """For how long the present process has answered without another one in between."""
        if self.since is None or self.heard is None or not self.present(now):
            return timedelta(0)
        return self.heard - self.since


def presence(name: str, observations: Mapping[str, PeerObservation], now: timedelta) -> Presence:
    observation = observations[name]
    if observation.present(now):
        return Presence.PRESENT
    others = (other for peer, other in observations.items() if peer != name)
    if any(other.present(now) and name in other.reaches for other in others):
        return Presence.SEEN_BY_OTHERS
    return Presence.SILENT if observation.heard is not None else Presence.UNSEEN


def election_delay(
    own: Process,
    born: timedelta,
    observations: Iterable[PeerObservation],
    state_reachable: timedelta,
    now: timedelta,
) -> timedelta:
    """How long to leave an empty seat to others before standing for it.

    Guards against needless elections in a roll: a process that was not replaced yet, while others
    were a moment ago, will be ended again soon.  Only a help: whoever is not there to stand costs
    this wait, and nothing else.
    """
    for observation in observations:
        if observation.process is None or observation.born is None or not observation.present(now):
            continue
        if observation.state_age is None or observation.state_age > state_reachable:
            continue
        later = observation.process.build.highest > own.build.highest
        younger = observation.born - born > ALIKE and now - observation.born < ROLL
        if later or younger:
            return ELECTION_DELAY
    return timedelta(0)
