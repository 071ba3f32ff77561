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
    """The mailbox is full; the sender should ask its own client to retry later."""


class _Envelope:
    """A message, and the result of handling it once ``answered`` is set."""

    __slots__ = ("answered", "failure", "message", "result")

    def __init__(self, message: Any, answered: curio.Event | None = None) -> None:
        self.message = message
        #: None if no sender waits for the result.
        self.answered = answered
        self.result: Any = None
        self.failure: Exception | None = None


class Actor:
    """A mailbox and the single task that reads it (``run``).

    A subclass handles the messages in ``receive``.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """``capacity``: messages that may wait before senders get ``MailboxFullError``."""
        self._mailbox: curio.Queue = curio.Queue()
        self._capacity = capacity

    async def receive(self, message: Any) -> Any:
        """Handle one message and return the result for ``ask``."""
        raise NotImplementedError

    async def tell(self, message: Any) -> None:
        """Send a message without waiting for its result.

        Raises ``MailboxFullError``.
        """
        await self._post(_Envelope(message))

    async def tell_unbounded(self, message: Any) -> None:
        """Send a message that is never refused, from a task that the actor itself has started.

        Guards against work that stops permanently after a short overload: the actor would wait
        without end for the result that was dropped, and a watch that ended because of a full
        mailbox would never be restarted.  The number of these messages is bounded by the tasks
        that the actor has started, whereas other senders are not bounded.
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
                # A malformed message must not end the process; only its own request fails.
                log.exception(
                    "message failed: actor=%s message=%s",
                    type(self).__name__,
                    type(envelope.message).__name__,
                )
                envelope.failure = failure
            if envelope.answered is not None:
                await envelope.answered.set()


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` until the process ends, and restart it whenever it ends or fails."""
    while True:
        try:
            await work()
            log.warning("task ended, restarting: task=%s", name)
        except Exception:
            # A failure of one task must not stop the others.
            log.exception("task failed, restarting: task=%s", name)
        await sleep(RESTART_INTERVAL)
