"""Steady time as timedelta since the process started, and the edges to and from numbers."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

_start = time.monotonic()

ZERO = timedelta(0)
#: Steady clocks of two machines drift apart by at most this share (PROTOCOL, head).
DRIFT = 0.0005


def monotonic() -> timedelta:
    return timedelta(seconds=time.monotonic() - _start)


def utc_now() -> datetime:
    return datetime.fromtimestamp(time.time(), tz=UTC)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


def monotonic_at(timestamp: float, now: timedelta) -> timedelta:
    """An instant of a record (time of day) on our steady clock; none lies ahead."""
    age = utc_now().timestamp() - timestamp
    return now - timedelta(seconds=min(max(age, 0.0), 1e9))
