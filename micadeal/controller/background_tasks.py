"""Small tasks that an actor starts, and that end with it; what is read again and again."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

import curio

from micadeal.clock import seconds
from micadeal.fleet.cloud import CloudError
from micadeal.timeouts import sleep

log = logging.getLogger(__name__)

T = TypeVar("T")


class BackgroundTasks:
    """A failure of one is logged and stops neither the others nor their actor."""

    def __init__(self) -> None:
        self._tasks: set[Any] = set()

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        async def tracked() -> None:
            try:
                await work(*args)
            except curio.CancelledError:
                pass
            except Exception:
                log.exception("a task of the leader failed")
            finally:
                self._tasks.discard(task)

        task = await curio.spawn(tracked, daemon=True)
        self._tasks.add(task)

    async def cancel(self) -> None:
        for task in list(self._tasks):
            await task.cancel(blocking=False)


async def poll_forever(
    what: str,
    read: Callable[[], Awaitable[T]],
    told: Callable[[T], Awaitable[None]],
    every: timedelta,
) -> None:
    """Read something of the cloud for ever and tell it; sooner again where that failed."""
    while True:
        try:
            await told(await read())
            await sleep(every)
        except CloudError as problem:
            log.debug("%s: %s", what, problem)
            await sleep(seconds(1))
