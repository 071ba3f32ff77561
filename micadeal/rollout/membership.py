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
from micadeal.rollout.levels import Build

#: A peer that answered a question asked within this time is present.  They are asked every second.
FRESH = seconds(2.5)
#: Processes started within this time of each other count as equally old, and one that is older than
#: ``ROLL`` is no sign of a roll.
ALIKE = seconds(8)
ROLL = seconds(300)
#: How long a process that will probably be ended soon leaves an empty seat to others.
DEFERENCE = seconds(0.4)


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
class Sight:
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
    ) -> Sight:
        if self.heard is not None and asked < self.heard:
            return self
        same = self.heard is not None and process == self.process
        return Sight(
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


def presence(name: str, sights: Mapping[str, Sight], now: timedelta) -> Presence:
    sight = sights[name]
    if sight.present(now):
        return Presence.PRESENT
    others = (other for peer, other in sights.items() if peer != name)
    if any(other.present(now) and name in other.reaches for other in others):
        return Presence.SEEN_BY_OTHERS
    return Presence.SILENT if sight.heard is not None else Presence.UNSEEN


def deference(
    own: Process, born: timedelta, sights: Iterable[Sight], in_touch: timedelta, now: timedelta
) -> timedelta:
    """How long to leave an empty seat to others before standing for it.

    Guards against needless elections in a roll: a process that was not replaced yet, while others
    were a moment ago, will be ended again soon.  Only a help: whoever is not there to stand costs
    this wait, and nothing else.
    """
    for sight in sights:
        if sight.process is None or sight.born is None or not sight.present(now):
            continue
        if sight.state_age is None or sight.state_age > in_touch:
            continue
        later = sight.process.build.highest > own.build.highest
        younger = sight.born - born > ALIKE and now - sight.born < ROLL
        if later or younger:
            return DEFERENCE
    return timedelta(0)
