"""Sleeping and time limits in curio, with the standard library's time types."""

from __future__ import annotations

from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

import curio

T = TypeVar("T")

#: Shortest time limit in seconds; replaces one that is zero or negative.
MIN_TIMEOUT_S = 0.001


async def sleep(duration: timedelta) -> None:
    """Suspend the task; a duration of zero or less only lets other tasks run."""
    await curio.sleep(max(duration.total_seconds(), 0.0))


async def with_timeout(limit: timedelta, work: Awaitable[T]) -> T:
    """Await ``work``; raises ``TimeoutError`` after ``limit``."""
    try:
        result: T = await curio.timeout_after(max(limit.total_seconds(), MIN_TIMEOUT_S), work)
    except curio.TaskTimeout:
        raise TimeoutError from None
    return result
