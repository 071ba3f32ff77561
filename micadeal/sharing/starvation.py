"""How long a team has been below its minimum or half its fair share (design, section 4.5)."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

#: Amounts are sums of floats; shares come out of a search of 25 halvings.
TOLERANCE = 1e-3


class TeamUsage(NamedTuple):
    """What a team uses and is entitled to, in booked units of one resource."""

    used: float
    demand: float
    minimum: float
    share: float


@dataclass(slots=True)
class StarvationTimer:
    """When a team last had its minimum, and half its fair share.

    Demand below the one or the other counts as met.
    """

    minimum_met: timedelta
    half_share_met: timedelta

    def update(self, now: timedelta, team: TeamUsage) -> None:
        """Restart the timers of what is met now."""
        if team.used + TOLERANCE >= min(team.minimum, team.demand):
            self.minimum_met = now
        if team.used + TOLERANCE >= min(team.share / 2, team.demand):
            self.half_share_met = now

    def starved_amount(
        self,
        now: timedelta,
        team: TeamUsage,
        minimum_timeout: timedelta,
        share_timeout: timedelta,
    ) -> tuple[float, bool]:
        """Return what may be preempted now, and whether the team's minimum is what it lacks.

        The amount is the larger one of what the two timers allow, as in the design.
        """
        for_minimum = for_share = 0.0
        if now - self.minimum_met >= minimum_timeout:
            for_minimum = max(0.0, min(team.minimum, team.demand) - team.used)
        if now - self.half_share_met >= share_timeout:
            for_share = max(0.0, min(team.share, team.demand) - team.used)
        if for_share > for_minimum:
            return for_share, False
        return for_minimum, for_minimum > 0
