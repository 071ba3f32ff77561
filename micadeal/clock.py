"""Steady time as timedelta since the process started, and the edges to and from numbers."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

import curio

T = TypeVar("T")

_start = time.monotonic()

ZERO = timedelta(0)
#: Steady clocks of two machines drift apart by at most this share (PROTOCOL, head).
DRIFT = 0.0005


def steady() -> timedelta:
    return timedelta(seconds=time.monotonic() - _start)


def wall() -> datetime:
    return datetime.fromtimestamp(time.time(), tz=UTC)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


def steady_at(timestamp: float, now: timedelta) -> timedelta:
    """An instant of a record (time of day) on our steady clock; none lies ahead."""
    age = wall().timestamp() - timestamp
    return now - timedelta(seconds=min(max(age, 0.0), 1e9))


async def sleep(duration: timedelta) -> None:
    await curio.sleep(max(duration.total_seconds(), 0.0))


async def within(limit: timedelta, work: Awaitable[T]) -> T:
    """Await ``work``; raises ``TimeoutError`` past the limit."""
    try:
        result: T = await curio.timeout_after(max(limit.total_seconds(), 0.001), work)
    except curio.TaskTimeout:
        raise TimeoutError from None
    return result
