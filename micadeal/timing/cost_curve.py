"""Cost per hour over time, as a piecewise constant function."""

from __future__ import annotations

from bisect import bisect_right
from datetime import datetime, timedelta

HOUR = timedelta(hours=1)


class CostCurve:
    """Piecewise constant cost rates; prefix sums give the cost of any window quickly.

    From ``edges[i]`` to ``edges[i + 1]`` an hour costs ``rates[i]``.  The unit follows from the
    weights of the signals.
    """

    __slots__ = ("_sums", "edges", "rates")

    def __init__(self, edges: list[datetime], rates: list[float]) -> None:
        if len(edges) != len(rates) + 1 or not rates:
            raise ValueError("a cost curve needs one more edge than rates, and at least one rate")
        self.edges = edges
        self.rates = rates
        #: ``_sums[i]`` is the cost from the first edge to ``edges[i]``.
        self._sums = [0.0]
        for index, rate in enumerate(rates):
            hours = (edges[index + 1] - edges[index]) / HOUR
            self._sums.append(self._sums[-1] + rate * hours)

    @property
    def end(self) -> datetime:
        """End of the known costs."""
        return self.edges[-1]

    def index(self, when: datetime) -> int:
        """Return the index of the piece at an instant; outside the curve the nearest piece's."""
        return min(max(bisect_right(self.edges, when) - 1, 0), len(self.rates) - 1)

    def cost(self, start: datetime, duration: timedelta) -> float:
        """Return the cost of running from ``start`` on; past the end the last rate applies."""
        return self._cost_until(start + duration) - self._cost_until(start)

    def _cost_until(self, when: datetime) -> float:
        index = self.index(when)
        hours = (when - self.edges[index]) / HOUR
        return self._sums[index] + self.rates[index] * hours
