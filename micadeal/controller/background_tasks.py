"""Background tasks owned by an actor, and a loop that polls the cloud."""

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

#: Delay before a failed poll is retried.
RETRY_INTERVAL = seconds(1)


class BackgroundTasks:
    """Owns the tasks of one actor; a failed task stops neither the others nor the actor."""

    def __init__(self) -> None:
        self._tasks: OrderedSet[Any] = OrderedSet()

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Start ``work(*args)`` as a task, and log any exception that it raises."""

        async def tracked() -> None:
            try:
                await work(*args)
            except curio.CancelledError:
                pass
            except Exception:
                # A failure of one task must not end the leader's term.
                log.exception("background task failed: task=%s", _name(work))
            finally:
                self._tasks.discard(task)

        task = await curio.spawn(tracked, daemon=True)
        self._tasks.add(task)

    async def cancel(self) -> None:
        """Cancel all tasks without waiting for them to end."""
        for task in list(self._tasks):
            await task.cancel(blocking=False)


async def poll_forever(
    name: str,
    read: Callable[[], Awaitable[T]],
    publish: Callable[[T], Awaitable[None]],
    interval: timedelta,
) -> None:
    """Call ``read`` every ``interval`` and pass each result to ``publish``.

    A failed poll is retried after ``RETRY_INTERVAL``.  ``name`` identifies the poll in the log.
    """
    while True:
        try:
            await publish(await read())
            await sleep(interval)
        except CloudError as problem:
            log.debug("cloud poll failed: what=%s reason=%s", name, problem)
            await sleep(RETRY_INTERVAL)


def _name(work: Callable[..., object]) -> str:
    return getattr(work, "__qualname__", repr(work))
