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


def team_key(used: float, minimum: float, weight: float) -> tuple[int, float]:
    """Return the sort key of a team; the smallest gets the next free slot.

    Teams below their minimum come first, the one furthest below it as a fraction of it foremost;
    the others follow by usage per weight.
    """
    if used < minimum:
        return (0, used / minimum)
    return (1, used / weight)
