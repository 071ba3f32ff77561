"""The leader as known to one controller."""

from __future__ import annotations

import logging
from typing import Any

from micadeal.actor import MailboxFullError
from micadeal.clock import seconds
from micadeal.controller.leader import Leader

log = logging.getLogger(__name__)

#: Timeout of a query to the leader's actor.
QUERY_TIMEOUT = seconds(1.5)


class KnownLeader:
    """The leader's name and token, and its actor if this controller leads.

    The components of a controller share this object; only ``Controller`` changes it.
    """

    __slots__ = ("actor", "name", "own_name", "token")

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        #: The leader's name; None: it is unknown, or there is no leader.
        self.name: str | None = None
        #: The fencing token of the leader last seen; 0: none was seen.
        self.token = 0
        #: The actor of this controller's term; None: it does not lead.
        self.actor: Leader | None = None

    @property
    def remote_name(self) -> str | None:
        """The leader's name if another controller leads; else None."""
        return None if self.name == self.own_name else self.name

    @property
    def loading(self) -> bool:
        """Whether this controller leads and has not read all records yet."""
        return self.actor is not None and self.actor.loading

    async def tell(self, message: Any) -> bool:
        """Send a message to the actor if this controller leads.

        Returns False if the actor's mailbox is full, so that the message is lost.
        """
        if self.actor is not None:
            try:
                await self.actor.tell(message)
            except MailboxFullError:
                log.warning(
                    "leader's mailbox is full: message=%s token=%d",
                    type(message).__name__,
                    self.actor.token,
                )
                return False
        return True
