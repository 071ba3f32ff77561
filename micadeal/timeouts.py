"""Waiting in curio, with the standard library's time types."""

from __future__ import annotations

from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

import curio

T = TypeVar("T")


async def sleep(duration: timedelta) -> None:
    await curio.sleep(max(duration.total_seconds(), 0.0))


async def with_timeout(limit: timedelta, work: Awaitable[T]) -> T:
    """Await ``work``; raises ``TimeoutError`` past the limit."""
    try:
        result: T = await curio.timeout_after(max(limit.total_seconds(), 0.001), work)
    except curio.TaskTimeout:
        raise TimeoutError from None
    return result
