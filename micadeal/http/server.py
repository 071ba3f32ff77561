"""An HTTP server that a slow, silent or hostile client costs little."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import curio
import h11
from curio import socket

from micadeal.http.message import BODY_LIMIT, Answer, HttpError, Request, error
from micadeal.timeouts import sleep, with_timeout

log = logging.getLogger(__name__)

Handler = Callable[[Request], Awaitable[Answer]]

#: A request that has begun must be whole within this time.
REQUEST_TIME = timedelta(seconds=10)
#: An idle connection is kept for this long; workers and users come back within seconds.
IDLE_TIME = timedelta(seconds=75)
READ_SIZE = 16 * 1024
HEADER_LIMIT = 16 * 1024


class Server:
    """Serves one address; at most ``most`` connections at a time, the rest are closed at once."""

    def __init__(self, address: tuple[str, int], handler: Handler, most: int) -> None:
        self._address = address
        self._handler = handler
        self._most = most
        self._open = 0
        self._listener: Any = None

    def listen(self) -> tuple[str, int]:
        """Bind; the address, with the port that was given if 0 was asked for."""
        if self._listener is None:
            self._listener = curio.tcp_server_socket(*self._address, backlog=256)
        host, port = self._listener.getsockname()
        return host, port

    async def run(self) -> None:
        self.listen()
        listener, self._listener = self._listener, None
        async with listener:
            while True:
                try:
                    client, _ = await listener.accept()
                except OSError as problem:
                    # Out of sockets for a moment: the queue of the listener holds them.
                    log.warning("accept on %s failed: %s", self._address, problem)
                    await sleep(timedelta(milliseconds=50))
                    continue
                if self._open >= self._most:
                    await client.close()
                    continue
                self._open += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await _Connection(client, self._handler).run()
        except (OSError, HttpError, TimeoutError, h11.ProtocolError) as problem:
            log.debug("connection ended: %s", problem)
        except Exception:
            log.exception("connection ended by a fault")
        finally:
            self._open -= 1
            await client.close()


class _Connection:
    def __init__(self, client: Any, handler: Handler) -> None:
        self._client = client
        self._handler = handler
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)

    async def run(self) -> None:
        while True:
            try:
                request = await self._read()
                if request is None:
                    return
                reply = await self._handler(request)
            except _BodyTooLargeError:
                reply = error(400, "body too large")
            except h11.RemoteProtocolError as problem:
                if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                    return
                await self._write(error(problem.error_status_hint, "not HTTP"), close=True)
                return
            except Exception:
                log.exception("a request failed")
                reply = error(500, "internal error")
            # Who is told to come back later comes over a new connection: the balancer may then
            # choose a controller that can do more.
            close = self._http.their_state is not h11.DONE or reply.status == 503
            await self._write(reply, close)
            if close or self._http.our_state is h11.MUST_CLOSE:
                return
            self._http.start_next_cycle()

    async def _read(self) -> Request | None:
        head = self._http.next_event()
        if head is h11.NEED_DATA:
            if not await self._receive(IDLE_TIME):
                return None
        elif isinstance(head, h11.ConnectionClosed):
            return None
        else:
            return await with_timeout(REQUEST_TIME, self._rest(head))
        return await with_timeout(REQUEST_TIME, self._rest(None))

    async def _rest(self, head: Any) -> Request | None:
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    await self._client.sendall(
                        self._http.send(h11.InformationalResponse(status_code=100, headers=[]))
                    )
                if not await self._receive(REQUEST_TIME):
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

    async def _receive(self, limit: timedelta) -> bool:
        """More bytes from the peer; False when it went away between requests."""
        try:
            data = await with_timeout(limit, self._client.recv(READ_SIZE))
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
        await with_timeout(REQUEST_TIME, self._client.sendall(data))


class _BodyTooLargeError(Exception):
    pass
