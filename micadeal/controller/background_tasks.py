"""Tasks that an actor starts and that end with it, and a loop that polls the cloud."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

import curio

from micadeal.clock import seconds
from micadeal.fleet.cloud import CloudError
from micadeal.ordered_set import OrderedSet
from micadeal.timeouts import sleep

log = logging.getLogger(__name__)

T = TypeVar("T")

#: How soon a poll that failed is repeated.
RETRY_INTERVAL = seconds(1)


class BackgroundTasks:
    """Owns the tasks of one actor; a failure of one stops neither the others nor the actor."""

    def __init__(self) -> None:
        self._tasks: OrderedSet[Any] = OrderedSet()

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run ``work(*args)`` in a task of its own; an exception that it raises is logged."""

        async def tracked() -> None:
            try:
                await work(*args)
            except curio.CancelledError:
                pass
            except Exception:
                # Whatever went wrong in one task must not end the leader's term.
                log.exception("background task failed: task=%s", _name(work))
            finally:
                self._tasks.discard(task)

        task = await curio.spawn(tracked, daemon=True)
        self._tasks.add(task)

    async def cancel(self) -> None:
        """Cancel every task without waiting for them."""
        for task in list(self._tasks):
            await task.cancel(blocking=False)


async def poll_forever(
    what: str,
    read: Callable[[], Awaitable[T]],
    publish: Callable[[T], Awaitable[None]],
    interval: timedelta,
) -> None:
    """Read something of the cloud and publish it, every ``interval`` and sooner after a failure."""
    while True:
        try:
            await publish(await read())
            await sleep(interval)
        except CloudError as problem:
            log.debug("cloud poll failed: what=%s reason=%s", what, problem)
            await sleep(RETRY_INTERVAL)


def _name(work: Callable[..., object]) -> str:
    return getattr(work, "__qualname__", repr(work))
