"""Feature levels: what all controllers of a deployment write and do together.

A level is a number that stands for layouts of records and for behaviours.  It is never renumbered
or given another meaning.  Which one is in force is recorded (``LevelRecord``); a build says from
which level to which it can read and serve.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from micadeal.wire.state import LevelRecord

#: A record with a higher level is damaged.
MAX_LEVEL = 999


class FeatureLevel(IntEnum):
    """All levels that this version knows."""

    #: What the versions without levels write and do; in force where no record says otherwise.
    FIRST = 0
    #: ``leader`` is never deleted, so those versions can't be elected; finished sets are in small
    #: chunks only, and placements in shared records only; followers may renew workers' leases.
    FENCED = 1


@dataclass(frozen=True, slots=True)
class Build:
    """What a program can read and serve.

    ``lowest`` is the oldest layout that it still reads, ``highest`` the latest level that it knows.
    """

    name: str
    lowest: int = int(FeatureLevel.FIRST)
    highest: int = int(FeatureLevel.FENCED)

    def refusal(self, record: LevelRecord) -> str | None:
        """Return why a process of this build may neither lead nor serve users; None: it may."""
        if record.level > self.highest:
            return (
                f"level {record.level} is in force, and build {self.name} knows levels up to "
                f"{self.highest}: start a later build, or have the level lowered first"
            )
        if record.oldest < self.lowest:
            return (
                f"records of level {record.oldest} are still stored, and build {self.name} reads "
                f"levels from {self.lowest} on: let an earlier build rewrite them first"
            )
        return None


def is_valid(record: LevelRecord) -> bool:
    """Return whether the numbers of a level record are consistent."""
    return 0 <= record.oldest <= record.writes <= record.level <= MAX_LEVEL
