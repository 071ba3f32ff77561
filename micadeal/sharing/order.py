"""Which team gets the next free slot (source, section 4.4), and which of its jobs (3.5)."""

from __future__ import annotations

from micadeal.wire.users import Priority

RANK = {
    Priority.PRODUCTION: 0,
    Priority.HIGH: 1,
    Priority.STANDARD: 2,
    Priority.LOW: 3,
}


def team_key(used: float, minimum: float, weight: float) -> tuple[int, float]:
    """Sorts teams: those below their minimum first, the furthest below as a fraction of it
    foremost; then by least running per weight."""
    if used < minimum:
        return (0, used / minimum)
    return (1, used / weight)
