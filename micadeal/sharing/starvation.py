"""How long a team has been short of its minimum or of half its fair share (source, 4.5)."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

#: Amounts are sums of floats; shares come out of a search of 25 halvings.
TOLERANCE = 1e-3


@dataclass(slots=True)
class StarvationTimer:
    """Remembers when a team last had its due.  Demand below the due counts as met."""

    minimum_met: timedelta
    half_share_met: timedelta

    def update(
        self, now: timedelta, used: float, demand: float, minimum: float, share: float
    ) -> None:
        if used + TOLERANCE >= min(minimum, demand):
            self.minimum_met = now
        if used + TOLERANCE >= min(share / 2, demand):
            self.half_share_met = now

    def lacks(
        self,
        now: timedelta,
        used: float,
        demand: float,
        minimum: float,
        share: float,
        minimum_timeout: timedelta,
        share_timeout: timedelta,
    ) -> tuple[float, bool]:
        """What may be taken from others now, and whether it is the guarantee that is lacking.

        The larger of what the two timers allow, as in the source.
        """
        for_minimum = for_share = 0.0
        if now - self.minimum_met >= minimum_timeout:
            for_minimum = max(0.0, min(minimum, demand) - used)
        if now - self.half_share_met >= share_timeout:
            for_share = max(0.0, min(share, demand) - used)
        if for_share > for_minimum:
            return for_share, False
        return for_minimum, for_minimum > 0
