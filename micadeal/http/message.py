"""HTTP requests and responses, as other packages use them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

from micadeal.wire.codec import encode

#: Largest body, in bytes, of a request and of a response to workers and users.
BODY_LIMIT = 64 * 1024


class HttpError(Exception):
    """No usable answer: the connection was refused or reset, a timeout, or invalid HTTP."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request as a server's handler gets it; ``query`` is without the question mark."""

    method: str
    path: str
    query: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """A handler's response; ``retry_after`` is sent as the ``Retry-After`` header.

    ``reason`` states why a request was refused.  It is logged, not sent.
    """

    status: int
    body: bytes = b""
    retry_after: timedelta | None = None
    reason: str = ""


class ClientResponse(NamedTuple):
    """A response as a client received it."""

    status: int
    body: bytes


def answer(status: int, message: Any = None, retry_after: timedelta | None = None) -> Answer:
    """Return an answer with the encoded ``message`` as its body; None: an empty body."""
    body = b"" if message is None else encode(message)
    return Answer(status, body, retry_after)


def error(
    status: int, text: str, retry_after: timedelta | None = None, reason: str | None = None
) -> Answer:
    """Return an answer with ``{"error": text}`` as its body.

    ``reason`` is logged instead of ``text`` if it is given.
    """
    return Answer(status, encode({"error": text}), retry_after, text if reason is None else reason)
