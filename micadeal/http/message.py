"""Requests and answers as the rest of the program sees them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from micadeal.wire.codec import encode

#: PROTOCOL, head: bodies of requests, and of answers to workers and users.
BODY_LIMIT = 64 * 1024


class HttpError(Exception):
    """No usable answer: refused, reset, timed out or not HTTP."""


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    query: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes = b""
    retry_after: timedelta | None = None


def answer(status: int, message: Any = None, retry_after: timedelta | None = None) -> Answer:
    body = b"" if message is None else encode(message)
    return Answer(status, body, retry_after)


def error(status: int, text: str, retry_after: timedelta | None = None) -> Answer:
    return answer(status, {"error": text}, retry_after)
