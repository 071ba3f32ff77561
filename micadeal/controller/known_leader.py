"""Who leads, as far as one controller knows."""

from __future__ import annotations

import logging
from typing import Any

from micadeal.actor import MailboxFullError
from micadeal.clock import seconds
from micadeal.controller.leader import Leader

log = logging.getLogger(__name__)

#: How long a question to the leader's actor may take to be answered.
QUERY_TIMEOUT = seconds(1.5)


class KnownLeader:
    """The leader's name and token, and its actor where this controller leads.

    Only the controller changes the fields; its parts share the object and read them.
    """

    __slots__ = ("actor", "name", "own_name", "token")

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        #: The leader's name; None: it is not known, or nobody leads.
        self.name: str | None = None
        #: The fencing token of the leader last seen; 0: none was seen.
        self.token = 0
        #: The actor of our own term; None: this controller does not lead.
        self.actor: Leader | None = None

    @property
    def remote_name(self) -> str | None:
        """The leader's name if it is known to be another controller."""
        return None if self.name == self.own_name else self.name

    @property
    def loading(self) -> bool:
        """Whether this controller leads and has not read all records yet."""
        return self.actor is not None and self.actor.loading

    async def tell(self, message: Any) -> bool:
        """Tell the actor a message, if this controller leads.

        False: the actor's mailbox is full, and the message is lost.
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
