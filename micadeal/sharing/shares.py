"""Fair shares by binary search (Fair Scheduler design, section 4.6)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

#: Halvings of the search interval, as in the design: the bits of precision wanted.
ITERATIONS = 25

#: What a team books: (cores, accelerators).
Amounts = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Claim:
    """What one team brings to the division, in booked units of one resource."""

    demand: float
    weight: float
    minimum: float


def fair_shares(claims: Sequence[Claim], total: float) -> list[float]:
    """Return each claim's share of ``total``, in the order of the claims.

    A share is ``min(demand, max(r * weight, minimum))`` with the r that uses up ``total``.
    Minimums count only as far as they are demanded: an inactive team reserves nothing (section
    3.2).  If they add up to more than ``total``, they scale down proportionally.
    """
    minimums = [min(claim.minimum, claim.demand) for claim in claims]
    minimum_sum = sum(minimums)
    if minimum_sum > total:
        return [total * minimum / minimum_sum for minimum in minimums]
    if sum(claim.demand for claim in claims) <= total:
        return [claim.demand for claim in claims]
    ratio = _find_ratio(claims, total)
    return [min(c.demand, max(ratio * c.weight, c.minimum)) for c in claims]


def _find_ratio(claims: Sequence[Claim], total: float) -> float:
    """Return the ratio of share to weight at which the claims use ``total``."""
    low, high = 0.0, 1.0
    # Ends only if some weight is positive, which the settings guarantee.
    while _used(claims, high) < total:
        high *= 2
    for _ in range(ITERATIONS):
        middle = (low + high) / 2
        if _used(claims, middle) < total:
            low = middle
        else:
            high = middle
    return high


def _used(claims: Sequence[Claim], ratio: float) -> float:
    return sum(min(c.demand, max(ratio * c.weight, c.minimum)) for c in claims)


def booked(amounts: Amounts, resource: str) -> float:
    """Return what a team books of one resource."""
    return amounts[1] if resource == "gpus" else amounts[0]
