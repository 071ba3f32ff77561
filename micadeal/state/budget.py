"""A token bucket that keeps requests below a service's rate limits."""

from __future__ import annotations

from datetime import timedelta

#: Added to every wait, so that rounding does not make the caller retry too early.
WAIT_MARGIN_S = 0.001


class TokenBucket:
    """A token bucket that refills at ``rate`` units per second and holds at most ``burst`` units.

    It reads no clock and never sleeps: the caller passes the current time.
    """

    def __init__(self, rate: float, burst: float, now: timedelta) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._refilled_at = now

    def _refill(self, now: timedelta) -> None:
        elapsed_s = (now - self._refilled_at).total_seconds()
        self._level = min(self.burst, self._level + max(elapsed_s, 0.0) * self.rate)
        self._refilled_at = now

    def take(self, units: float, now: timedelta, reserve: float = 0.0) -> timedelta:
        """Take ``units`` if available; return zero, or how long to wait before retrying.

        ``reserve``: units that a less urgent caller must leave for more urgent ones.
        """
        self._refill(now)
        # A request above the burst could never be met; it waits for a full bucket instead.
        missing = min(units + reserve, self.burst) - self._level
        if missing <= 0:
            self._level -= units
            return timedelta(0)
        return timedelta(seconds=missing / self.rate + WAIT_MARGIN_S)

    def drain(self, now: timedelta) -> None:
        """Empty the bucket after the service answered 429.

        Other clients use the same limit, so less of it is left than this bucket has counted.
        """
        self._refill(now)
        self._level = min(self._level, 0.0)
