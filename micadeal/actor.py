"""Actors: each owns its state, takes one message at a time and never ends by a fault of its own."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import curio

from micadeal.timeouts import sleep, with_timeout

log = logging.getLogger(__name__)


class MailboxFullError(Exception):
    """The mailbox is full: the sender should say "later" to whoever asked it."""


class _Envelope:
    __slots__ = ("answered", "failure", "message", "result")

    def __init__(self, message: Any, wants_answer: bool) -> None:
        self.message = message
        self.answered = curio.Event() if wants_answer else None
        self.result: Any = None
        self.failure: Exception | None = None


class Actor:
    """A mailbox and the one task that reads it."""

    def __init__(self, bound: int = 1000) -> None:
        self._mailbox: curio.Queue = curio.Queue()
        self._bound = bound

    async def receive(self, message: Any) -> Any:
        """Handle one message; the result goes to whoever asked."""
        raise NotImplementedError

    async def tell(self, message: Any) -> None:
        await self._post(_Envelope(message, wants_answer=False))

    async def tell_unbounded(self, message: Any) -> None:
        """From a task that the actor itself has started: never refused.

        Guards against work that stands still for ever after a moment's flood: an outcome that was
        dropped is waited for to no end, and a feed that ended on a full mailbox never came back.
        There are as many of these as tasks under way, not as many as others care to send.
        """
        await self._mailbox.put(_Envelope(message, wants_answer=False))

    async def ask(self, message: Any, timeout: timedelta) -> Any:
        envelope = _Envelope(message, wants_answer=True)
        await self._post(envelope)
        assert envelope.answered is not None
        await with_timeout(timeout, envelope.answered.wait())
        if envelope.failure is not None:
            raise envelope.failure
        return envelope.result

    async def _post(self, envelope: _Envelope) -> None:
        if self._mailbox.qsize() >= self._bound:
            raise MailboxFullError
        await self._mailbox.put(envelope)

    async def run(self) -> None:
        while True:
            envelope = await self._mailbox.get()
            try:
                envelope.result = await self.receive(envelope.message)
            except Exception as problem:
                # Garbage from outside must not end the process: it costs its sender an answer.
                log.exception("%s could not handle a message", type(self).__name__)
                envelope.failure = problem
            if envelope.answered is not None:
                await envelope.answered.set()


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` for as long as the process lives, again after every fault."""
    while True:
        try:
            await work()
            log.warning("%s came to an end; it is started again", name)
        except Exception:
            log.exception("%s failed; it is started again", name)
        await sleep(timedelta(seconds=1))
