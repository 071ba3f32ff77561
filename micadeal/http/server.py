"""An HTTP server that limits the cost of slow, silent and hostile clients."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import curio
import h11
from curio import socket

from micadeal.http.message import BODY_LIMIT, Answer, HttpError, Request, error
from micadeal.timeouts import sleep, with_timeout
from micadeal.wire.address import SocketAddress

log = logging.getLogger(__name__)

Handler = Callable[[Request], Awaitable[Answer]]

#: Time limit for receiving a request after its first byte, and for sending a response.
REQUEST_TIMEOUT = timedelta(seconds=10)
#: An idle connection is closed after this time; workers and users send again within seconds.
IDLE_TIMEOUT = timedelta(seconds=75)
#: Pause after a failed accept.
ACCEPT_RETRY_INTERVAL = timedelta(milliseconds=50)
ACCEPT_BACKLOG = 256
READ_SIZE = 16 * 1024
HEADER_LIMIT = 16 * 1024


class Server:
    """Serves one address."""

    def __init__(self, address: SocketAddress, handler: Handler, max_connections: int) -> None:
        """Prepare to serve ``address``; port 0 selects a free port.

        ``handler`` answers each request.  While ``max_connections`` are open, each further
        connection is closed as soon as it is accepted.
        """
        self._address = address
        self._handler = handler
        self._max_connections = max_connections
        self._connections = 0
        self._listener: Any = None

    def listen(self) -> SocketAddress:
        """Bind if not done yet, and return the address with the port in use; called by ``run``."""
        if self._listener is None:
            self._listener = curio.tcp_server_socket(*self._address, backlog=ACCEPT_BACKLOG)
        host, port = self._listener.getsockname()
        return host, port

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listen()
        listener, self._listener = self._listener, None
        async with listener:
            while True:
                try:
                    client, _ = await listener.accept()
                except OSError as failure:
                    # Out of sockets for now: new connections wait in the listener's backlog.
                    log.warning("accept failed: address=%s:%d reason=%s", *self._address, failure)
                    await sleep(ACCEPT_RETRY_INTERVAL)
                    continue
                if self._connections >= self._max_connections:
                    await client.close()
                    continue
                self._connections += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await _Connection(client, self._handler).run()
        except (OSError, HttpError, TimeoutError, h11.ProtocolError) as failure:
            log.debug("connection closed: address=%s:%d reason=%s", *self._address, failure)
        except Exception:
            # Logged, since an exception would otherwise end the task unnoticed.
            log.exception("connection failed: address=%s:%d", *self._address)
        finally:
            self._connections -= 1
            await client.close()


class _Connection:
    """One client connection, whose requests are served one after the other."""

    def __init__(self, client: Any, handler: Handler) -> None:
        self._client = client
        self._handler = handler
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while await self._serve_request():
            self._http.start_next_cycle()

    async def _serve_request(self) -> bool:
        """Answer one request; return whether another may follow on this connection."""
        try:
            request = await self._read_request()
            if request is None:
                return False
            reply = await self._handler(request)
        except _BodyTooLargeError:
            reply = error(HTTPStatus.BAD_REQUEST, "body too large")
        except h11.RemoteProtocolError as violation:
            if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._write(error(violation.error_status_hint, "not HTTP"), close=True)
            return False
        except Exception:
            # A failure in a handler affects only this request.
            log.exception("request failed")
            reply = error(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")
        # After a 503 the client retries over a new connection, so that the load balancer can choose
        # a controller that is able to serve it.
        unavailable = reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        close = self._http.their_state is not h11.DONE or unavailable
        await self._write(reply, close)
        return not close and self._http.our_state is not h11.MUST_CLOSE

    async def _read_request(self) -> Request | None:
        """Read one whole request; None if the connection was closed or stayed idle too long."""
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            if not await self._receive(IDLE_TIMEOUT):
                return None
            return await with_timeout(REQUEST_TIMEOUT, self._read_rest(None))
        if isinstance(event, h11.ConnectionClosed):
            return None
        return await with_timeout(REQUEST_TIMEOUT, self._read_rest(event))

    async def _read_rest(self, head: Any) -> Request | None:
        """Read the rest of a request; ``head`` is its ``h11.Request``, or None if not read yet."""
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._continue_if_expected()
                if not await self._receive(REQUEST_TIMEOUT):
                    return None
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > BODY_LIMIT:
                    raise _BodyTooLargeError
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        path, _, query = head.target.decode("ascii", "replace").partition("?")
        return Request(head.method.decode("ascii"), path, query, b"".join(chunks))

    async def _continue_if_expected(self) -> None:
        """Send "100 Continue" to a client that waits for it before it sends the body."""
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            await self._client.sendall(self._http.send(interim))

    async def _receive(self, timeout: timedelta) -> bool:
        """Receive more bytes; return False if the connection ended or was idle between requests."""
        try:
            data = await with_timeout(timeout, self._client.recv(READ_SIZE))
        except (OSError, TimeoutError):
            if self._http.their_state is h11.IDLE:
                return False
            raise
        self._http.receive_data(data)
        return bool(data) or self._http.their_state is not h11.IDLE

    async def _write(self, reply: Answer, close: bool) -> None:
        headers = [
            ("Content-Length", str(len(reply.body))),
            ("Content-Type", "application/msgpack"),
        ]
        if reply.retry_after is not None:
            headers.append(("Retry-After", str(math.ceil(reply.retry_after.total_seconds()))))
        if close:
            headers.append(("Connection", "close"))
        http = self._http
        data = http.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        data += http.send(h11.Data(data=reply.body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        await with_timeout(REQUEST_TIMEOUT, self._client.sendall(data))


class _BodyTooLargeError(Exception):
    """The body of a request is larger than ``BODY_LIMIT``."""
