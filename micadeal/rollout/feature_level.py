"""Levels: what all controllers of a deployment write and do together.

A level is a number that stands for layouts of records and for behaviours.  It is never renumbered
or given another meaning.  Which one is in force is recorded (``LevelRecord``); a build says from
which level to which it can read and serve.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from micadeal.wire.state import LevelRecord


class FeatureLevel(IntEnum):
    #: As the versions that know of no levels write and behave; in force where no record says more.
    FIRST = 0
    #: ``leader`` never vanishes, so those versions can't be elected; finished sets are in small
    #: chunks only, and placements in shared records only; followers may stand in for a leader.
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
        """Why a process of this build may neither lead nor serve users; None: it may."""
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


def sensible(record: LevelRecord) -> bool:
    return 0 <= record.oldest <= record.writes <= record.level < 1000
