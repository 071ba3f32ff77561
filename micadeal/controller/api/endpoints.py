"""Handlers of HTTP requests by method, for the servers of one controller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from micadeal.clock import seconds
from micadeal.http.message import Answer, Request, error

#: After how long a client that got a 503 should ask again.
RETRY_AFTER = seconds(1)

Handler = Callable[[Request], Awaitable[Answer]]

#: The handlers of one path by HTTP method.
Endpoint = dict[str, Handler]


async def dispatch(endpoint: Endpoint | None, request: Request) -> Answer:
    """Let the endpoint answer a request; None: there is no such path."""
    if endpoint is None:
        return error(404, "no such path")
    handler = endpoint.get(request.method)
    if handler is None:
        # Names the method that changes something, where there are two.
        *_, method = endpoint
        return error(405, f"only {method} here")
    return await handler(request)
