"""Clocks: monotonic time since the start of the process, and the time of day."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

#: Reading of ``time.monotonic`` when the process started.
_start = time.monotonic()

ZERO = timedelta(0)
#: The monotonic clocks of two machines drift apart by at most this fraction of the elapsed time.
MAX_CLOCK_DRIFT = 0.0005
#: Upper bound of a record's age, so that a damaged timestamp can't cause an overflow.
MAX_AGE_S = 1e9


def monotonic() -> timedelta:
    """Return the time since this process started, unaffected by changes of the system clock."""
    return timedelta(seconds=time.monotonic() - _start)


def utc_now() -> datetime:
    """Return the time of day, for timestamps that leave the process."""
    return datetime.fromtimestamp(time.time(), tz=UTC)


def seconds(value: float) -> timedelta:
    """Return a duration given in seconds."""
    return timedelta(seconds=value)


def monotonic_at(timestamp: float, now: timedelta) -> timedelta:
    """Convert a record's time of day (Unix time) to this process's monotonic clock.

    ``now`` is the current monotonic time.  A timestamp in the future becomes ``now``.
    """
    age_s = utc_now().timestamp() - timestamp
    return now - timedelta(seconds=min(max(age_s, 0.0), MAX_AGE_S))
