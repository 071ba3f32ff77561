"""How long a team has been below its guarantee or half its fair share (design, section 4.5)."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

#: Tolerance for comparing amounts, which are sums of floats, and shares, which are the results of a
#: search with 25 halvings.
TOLERANCE = 1e-3


class TeamUsage(NamedTuple):
    """The usage and the entitlement of a team, in booked units of one resource."""

    used: float
    demand: float
    guarantee: float
    share: float


@dataclass(slots=True)
class StarvationTimer:
    """When a team last had its guarantee, and when it last had half its fair share.

    A team that demands less than either of them has it once its demand is met.
    """

    guarantee_met_at: timedelta
    half_share_met_at: timedelta

    def update(self, now: timedelta, team: TeamUsage) -> None:
        """Restart the timers of the amounts that the team has now."""
        if team.used + TOLERANCE >= min(team.guarantee, team.demand):
            self.guarantee_met_at = now
        if team.used + TOLERANCE >= min(team.share / 2, team.demand):
            self.half_share_met_at = now

    def starved_amount(
        self,
        now: timedelta,
        team: TeamUsage,
        guarantee_timeout: timedelta,
        share_timeout: timedelta,
    ) -> tuple[float, bool]:
        """Return the amount that may be preempted now, and whether it is for the guarantee.

        The amount is the larger one of those that the two timers allow, as in the design.
        """
        for_guarantee = for_share = 0.0
        if now - self.guarantee_met_at >= guarantee_timeout:
            for_guarantee = max(0.0, min(team.guarantee, team.demand) - team.used)
        if now - self.half_share_met_at >= share_timeout:
            for_share = max(0.0, min(team.share, team.demand) - team.used)
        if for_share > for_guarantee:
            return for_share, False
        return for_guarantee, for_guarantee > 0
