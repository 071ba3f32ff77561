"""Dispatch of HTTP requests to handlers by method, for the servers of one controller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from micadeal.clock import seconds
from micadeal.http.message import Answer, Request, error

#: Sent with a 503: when the client should retry.
RETRY_AFTER = seconds(1)

Handler = Callable[[Request], Awaitable[Answer]]

#: The handlers of one path by HTTP method.
Endpoint = dict[str, Handler]


async def dispatch(endpoint: Endpoint | None, request: Request) -> Answer:
    """Answer a request by the endpoint's handler; ``endpoint`` is None for an unknown path."""
    if endpoint is None:
        return error(404, "no such path")
    handler = endpoint.get(request.method)
    if handler is None:
        # The last method is named: if there are two, it is the one that makes changes.
        *_, method = endpoint
        return error(405, f"only {method} here")
    return await handler(request)
