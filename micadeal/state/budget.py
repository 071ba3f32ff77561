"""A token bucket, so that our own requests stay below a service's rate limits."""

from __future__ import annotations

from datetime import timedelta

#: Added to every wait, so that rounding does not make the caller come back too early.
WAIT_MARGIN_S = 0.001


class TokenBucket:
    """A token bucket that refills at ``rate`` units per second and holds at most ``burst`` units.

    It reads no clock and never sleeps: the caller passes the present time.
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
        """Take ``units`` if available; return zero, or how long to wait before asking again.

        ``reserve`` is what less urgent callers must leave for the urgent ones.
        """
        self._refill(now)
        # A demand above the burst could never be met: it waits for a full bucket instead.
        missing = min(units + reserve, self.burst) - self._level
        if missing <= 0:
            self._level -= units
            return timedelta(0)
        return timedelta(seconds=missing / self.rate + WAIT_MARGIN_S)

    def drain(self, now: timedelta) -> None:
        """Empty the bucket after the service answered 429.

        Other clients use the same limit, so there is less left than we have counted.
        """
        self._refill(now)
        self._level = min(self._level, 0.0)
