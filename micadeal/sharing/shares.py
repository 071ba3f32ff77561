"""Fair shares by binary search (source, section 4.6)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

#: The source's number of halvings: the wanted bits of precision.
ITERATIONS = 25


@dataclass(frozen=True, slots=True)
class Claim:
    """What one team brings to the division, all in booked units of one resource."""

    demand: float
    weight: float
    minimum: float


def _used(claims: Sequence[Claim], ratio: float) -> float:
    return sum(min(c.demand, max(ratio * c.weight, c.minimum)) for c in claims)


def fair_shares(claims: Sequence[Claim], total: float) -> list[float]:
    """Each claim's share: ``min(demand, max(r * weight, minimum))`` with the r that uses ``total``.

    Minimums count only as far as they are demanded: an inactive team reserves nothing (source,
    section 3.2).  If they add up to more than there is, they scale down proportionally.
    """
    minimums = [min(c.minimum, c.demand) for c in claims]
    asked = sum(minimums)
    if asked > total:
        return [total * minimum / asked for minimum in minimums]
    demanded = sum(c.demand for c in claims)
    if demanded <= total:
        return [c.demand for c in claims]
    low, high = 0.0, 1.0
    # Some weight is positive, or the doubling would not end; weights are checked to be.
    while _used(claims, high) < total:
        high *= 2
    for _ in range(ITERATIONS):
        middle = (low + high) / 2
        if _used(claims, middle) < total:
            low = middle
        else:
            high = middle
    return [min(c.demand, max(high * c.weight, c.minimum)) for c in claims]


def booked(amounts: tuple[float, float], resource: str) -> float:
    """One resource of a team's (cores, accelerators)."""
    return amounts[1] if resource == "gpus" else amounts[0]
