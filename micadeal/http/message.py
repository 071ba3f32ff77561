"""Requests and answers as the rest of the program sees them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qsl

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

    def parameters(self) -> Mapping[str, str]:
        return dict(parse_qsl(self.query))


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes = b""
    retry_after: timedelta | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


def answer(status: int, message: Any = None, retry_after: timedelta | None = None) -> Answer:
    body = b"" if message is None else encode(message)
    return Answer(status, body, retry_after)


def error(status: int, text: str, retry_after: timedelta | None = None) -> Answer:
    return answer(status, {"error": text}, retry_after)
