"""Requests and responses as the rest of the program sees them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

from micadeal.wire.codec import encode

#: Largest body, in bytes, of a request and of a response to workers and users.
BODY_LIMIT = 64 * 1024


class HttpError(Exception):
    """No usable answer: the connection was refused or reset, timed out, or did not speak HTTP."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request as a server's handler gets it; ``query`` is without the question mark."""

    method: str
    path: str
    query: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a server's handler responds; ``retry_after`` becomes the header of that name.

    ``reason`` says for the log why a request was refused; it is not sent.
    """

    status: int
    body: bytes = b""
    retry_after: timedelta | None = None
    reason: str = ""


class ClientResponse(NamedTuple):
    """What a client received."""

    status: int
    body: bytes


def answer(status: int, message: Any = None, retry_after: timedelta | None = None) -> Answer:
    """Return an answer with ``message`` as its body, encoded; None: an empty body."""
    body = b"" if message is None else encode(message)
    return Answer(status, body, retry_after)


def error(
    status: int, text: str, retry_after: timedelta | None = None, reason: str | None = None
) -> Answer:
    """Return an answer with ``{"error": text}`` as its body; ``reason``: more, for the log."""
    return Answer(status, encode({"error": text}), retry_after, text if reason is None else reason)
