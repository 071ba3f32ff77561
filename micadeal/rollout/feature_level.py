"""Feature levels: the record layouts and behaviours that all controllers of a deployment share.

A level is a number that stands for record layouts and behaviours.  It is never renumbered or given
another meaning.  The level in force is recorded (``LevelRecord``).  A build declares the range of
levels that it can read and serve.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from micadeal.wire.state import LevelRecord

#: A level record with a higher number is damaged.
MAX_LEVEL = 999


class FeatureLevel(IntEnum):
    """All levels that this version knows."""

    #: The layouts and behaviours of versions without levels; in force if no level is recorded.
    FIRST = 0
    #: ``leader`` is never deleted, so versions without levels can't be elected.  Finished sets are
    #: stored only in small chunks, placements only in shared records.  Followers may renew workers'
    #: leases.
    FENCED = 1


@dataclass(frozen=True, slots=True)
class Build:
    """The range of levels that one build of the program can read and serve.

    ``lowest`` is the level of the oldest layout that it still reads, ``highest`` the latest level
    that it knows.
    """

    name: str
    lowest: int = int(FeatureLevel.FIRST)
    highest: int = int(FeatureLevel.FENCED)

    def refusal(self, record: LevelRecord) -> str | None:
        """Return why a process of this build must neither lead nor serve users; None: it may."""
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
