"""What running for an hour costs over the time ahead, as a piecewise constant function."""

from __future__ import annotations

from bisect import bisect_right
from datetime import datetime, timedelta

HOUR = timedelta(hours=1)


class CostCurve:
    """Piecewise constant cost rates with prefix sums, so that any window is priced quickly.

    From ``edges[i]`` to ``edges[i + 1]`` an hour costs ``rates[i]``, in the unit that the weights
    of the signals give.
    """

    __slots__ = ("_sums", "edges", "rates")

    def __init__(self, edges: list[datetime], rates: list[float]) -> None:
        if len(edges) != len(rates) + 1 or not rates:
            raise ValueError("one more edge than rates, and at least one rate")
        self.edges = edges
        self.rates = rates
        #: ``_sums[i]`` is the cost from the first edge to ``edges[i]``.
        self._sums = [0.0]
        for index, rate in enumerate(rates):
            hours = (edges[index + 1] - edges[index]) / HOUR
            self._sums.append(self._sums[-1] + rate * hours)

    @property
    def end(self) -> datetime:
        """Where the known costs end."""
        return self.edges[-1]

    def index(self, when: datetime) -> int:
        """Return the piece that an instant lies in; the first or last for one outside."""
        return min(max(bisect_right(self.edges, when) - 1, 0), len(self.rates) - 1)

    def cost(self, start: datetime, duration: timedelta) -> float:
        """Return the cost of running from ``start`` on; past the end the last rate goes on."""
        return self._cost_until(start + duration) - self._cost_until(start)

    def _cost_until(self, when: datetime) -> float:
        index = self.index(when)
        hours = (when - self.edges[index]) / HOUR
        return self._sums[index] + self.rates[index] * hours
