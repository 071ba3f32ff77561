"""Fair shares by binary search (Fair Scheduler design, section 4.6)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

#: Halvings of the search interval, as in the design; each adds one bit of precision.
ITERATIONS = 25

#: The amounts that a team books: (cores, accelerators).
Amounts = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim of one team to a resource, in booked units."""

    demand: float
    weight: float
    guarantee: float


def fair_shares(claims: Sequence[Claim], total: float) -> list[float]:
    """Return each claim's share of ``total``, in the order of the claims.

    A share is ``min(demand, max(r * weight, guarantee))`` with the r that uses up ``total``.
    A guarantee (the minimum share of the design) counts only up to the demand: an inactive team
    reserves nothing (section 3.2).  If the guarantees add up to more than ``total``, they are
    scaled down proportionally.
    """
    guarantees = [min(claim.guarantee, claim.demand) for claim in claims]
    guarantee_sum = sum(guarantees)
    if guarantee_sum > total:
        return [total * guarantee / guarantee_sum for guarantee in guarantees]
    if sum(claim.demand for claim in claims) <= total:
        return [claim.demand for claim in claims]
    ratio = _find_ratio(claims, total)
    return [min(c.demand, max(ratio * c.weight, c.guarantee)) for c in claims]


def _find_ratio(claims: Sequence[Claim], total: float) -> float:
    """Return the ratio of share to weight at which the claims use ``total``."""
    low, high = 0.0, 1.0
    # Terminates only if some weight is positive, which the settings ensure.
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
    return sum(min(c.demand, max(ratio * c.weight, c.guarantee)) for c in claims)


def resource_amount(amounts: Amounts, resource: str) -> float:
    """Return the booked amount of one resource."""
    return amounts[1] if resource == "gpus" else amounts[0]
