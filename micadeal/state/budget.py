"""A token bucket, so that our own requests stay below the service's limits."""

from __future__ import annotations

from datetime import timedelta


class Budget:
    """``rate`` units a second, saved up to ``burst``; pure, the caller brings the time."""

    def __init__(self, rate: float, burst: float, now: timedelta) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at = now

    def _fill(self, now: timedelta) -> None:
        passed = (now - self._at).total_seconds()
        self._level = min(self.burst, self._level + max(passed, 0.0) * self.rate)
        self._at = now

    def take(self, units: float, now: timedelta, reserve: float = 0.0) -> timedelta:
        """Zero if taken now, else how long to wait before asking again.

        ``reserve`` is what less urgent callers must leave for the urgent ones.
        """
        self._fill(now)
        # A demand above the burst could never be met: it waits for a full bucket instead.
        missing = min(units + reserve, self.burst) - self._level
        if missing <= 0:
            self._level -= units
            return timedelta(0)
        return timedelta(seconds=missing / self.rate + 0.001)

    def drain(self, now: timedelta) -> None:
        """The service said 429: others use the limit too, so start again from nothing."""
        self._fill(now)
        self._level = min(self._level, 0.0)
