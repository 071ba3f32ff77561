"""Small tasks that an actor starts, and that end with it."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from micadeal.actor import Overloaded

log = logging.getLogger(__name__)


class Helpers:
    """A failure of one is logged and stops neither the others nor their actor."""

    def __init__(self) -> None:
        self._tasks: set[Any] = set()

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        async def tracked() -> None:
            try:
                await work(*args)
            except (curio.CancelledError, Overloaded):
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
