"""The time of a simulation in steps."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import seconds

#: Time of day at the start of the steady clock.
EPOCH = 1_700_000_000.0
STEP = seconds(1)


class FixedTime:
    """Stands for the module ``time``: the time of day follows the steps."""

    def __init__(self) -> None:
        self.now: timedelta = seconds(100)

    def time(self) -> float:
        """Return the time of day in seconds."""
        return EPOCH + self.now.total_seconds()

    def monotonic(self) -> float:
        """Fail: decisions are made at a time that is passed to them."""
        raise AssertionError("decisions are passed the time")
