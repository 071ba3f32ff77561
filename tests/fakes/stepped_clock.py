"""The clock of a simulation that runs in steps."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import seconds

#: Time of day when the monotonic clock is zero, in seconds.
EPOCH = 1_700_000_000.0
STEP = seconds(1)


class SteppedTime:
    """Replaces the module ``time``; the time of day follows the steps."""

    def __init__(self) -> None:
        self.now: timedelta = seconds(100)

    def time(self) -> float:
        """Return the time of day in seconds."""
        return EPOCH + self.now.total_seconds()

    def monotonic(self) -> float:
        """Fail: decisions must use the time that is passed to them."""
        raise AssertionError("decisions must not read the monotonic clock")
