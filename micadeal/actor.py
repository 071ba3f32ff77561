"""Actors: each owns its state and handles one message at a time."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import curio

from micadeal.timeouts import sleep, with_timeout

log = logging.getLogger(__name__)

#: Messages that may wait in a mailbox.
DEFAULT_CAPACITY = 1000
#: Pause before a task that has ended is started again.
RESTART_INTERVAL = timedelta(seconds=1)


class MailboxFullError(Exception):
    """The mailbox is full: the sender should say "later" to whoever asked it."""


class _Envelope:
    """A message, and the result of handling it once ``answered`` is set."""

    __slots__ = ("answered", "failure", "message", "result")

    def __init__(self, message: Any, answered: curio.Event | None = None) -> None:
        self.message = message
        #: None: nobody waits for the result.
        self.answered = answered
        self.result: Any = None
        self.failure: Exception | None = None


class Actor:
    """A mailbox and the one task that reads it (``run``).

    A subclass handles the messages in ``receive``.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """``capacity``: messages that may wait before senders get ``MailboxFullError``."""
        self._mailbox: curio.Queue = curio.Queue()
        self._capacity = capacity

    async def receive(self, message: Any) -> Any:
        """Handle one message; the result goes to whoever asked."""
        raise NotImplementedError

    async def tell(self, message: Any) -> None:
        """Send a message without waiting for it; ``MailboxFullError`` if the mailbox is full."""
        await self._post(_Envelope(message))

    async def tell_unbounded(self, message: Any) -> None:
        """Send a message from a task that the actor itself has started: it is never refused.

        Guards against work that stops for ever after a short overload: an outcome that was dropped
        would be waited for without end, and a watch that ended on a full mailbox would never come
        back.  There are as many of these as tasks under way, not as many as others care to send.
        """
        await self._mailbox.put(_Envelope(message))

    async def ask(self, message: Any, timeout: timedelta) -> Any:
        """Send a message and return the result of handling it.

        Raises ``MailboxFullError``, ``TimeoutError`` (the message may still be handled later), or
        what ``receive`` raised.
        """
        answered = curio.Event()
        envelope = _Envelope(message, answered)
        await self._post(envelope)
        await with_timeout(timeout, answered.wait())
        if envelope.failure is not None:
            raise envelope.failure
        return envelope.result

    async def _post(self, envelope: _Envelope) -> None:
        if self._mailbox.qsize() >= self._capacity:
            raise MailboxFullError
        await self._mailbox.put(envelope)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            envelope = await self._mailbox.get()
            try:
                envelope.result = await self.receive(envelope.message)
            except Exception as failure:
                # Garbage from outside must not end the process: it costs its sender an answer.
                log.exception(
                    "message failed: actor=%s message=%s",
                    type(self).__name__,
                    type(envelope.message).__name__,
                )
                envelope.failure = failure
            if envelope.answered is not None:
                await envelope.answered.set()


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` for as long as the process lives, again after every fault."""
    while True:
        try:
            await work()
            log.warning("task ended, restarting: task=%s", name)
        except Exception:
            # Any fault of one task is logged here; the others go on.
            log.exception("task failed, restarting: task=%s", name)
        await sleep(RESTART_INTERVAL)
