"""Order of teams (Fair Scheduler design, section 4.4) and of priorities within a team (3.5)."""

from __future__ import annotations

from micadeal.wire.users import Priority

#: Smaller is served first.
RANK = {
    Priority.PRODUCTION: 0,
    Priority.HIGH: 1,
    Priority.STANDARD: 2,
    Priority.LOW: 3,
}


def team_key(used: float, guarantee: float, weight: float) -> tuple[int, float]:
    """Return the sort key of a team; the team with the smallest key is served next.

    Teams below their guarantee (the minimum share of the design) come first, ordered by usage as a
    fraction of it.  The others follow, ordered by usage per weight.
    """
    if used < guarantee:
        return (0, used / guarantee)
    return (1, used / weight)
