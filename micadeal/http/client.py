"""An HTTP client that keeps a few connections to one address open."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import Any

import curio
import h11
from curio import socket

from micadeal.http.message import ClientResponse, HttpError
from micadeal.timeouts import MIN_TIMEOUT_S, with_timeout
from micadeal.wire.address import parse_address

READ_SIZE = 64 * 1024


class Client:
    """Sends requests to one address.

    The server may have closed an idle connection.  A request that fails on an idle connection is
    sent again on another one, finally on a new one, but only if the caller says that it is
    idempotent.
    """

    def __init__(self, address: str, max_idle: int = 4) -> None:
        """Prepare requests to ``address``; at most ``max_idle`` idle connections are kept open."""
        self._address = parse_address(address)
        self._host = address
        self._max_idle = max_idle
        self._idle: deque[_Connection] = deque()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        idempotent: bool = True,
    ) -> ClientResponse:
        """Send one request and return its response; ``HttpError`` if there is none in time."""
        try:
            async with curio.timeout_after(max(timeout.total_seconds(), MIN_TIMEOUT_S)):
                return await self._exchange(method, target, body, idempotent)
        except curio.TaskTimeout:
            # The idle connections are likely to be dead as well.
            await self.close()
            raise HttpError(f"{self._host}: no answer in time") from None

    async def close(self) -> None:
        """Close all idle connections; the client can still be used."""
        while self._idle:
            await self._idle.pop().close()

    async def _exchange(
        self, method: str, target: str, body: bytes, idempotent: bool
    ) -> ClientResponse:
        while True:
            fresh = not self._idle
            connection = await self._connect() if fresh else self._idle.pop()
            try:
                response = await connection.exchange(self._host, method, target, body)
            except (OSError, h11.ProtocolError) as failure:
                await connection.close()
                if fresh or not idempotent:
                    raise HttpError(f"{self._host}: {failure}") from None
                continue
            except curio.CancelledError:
                # The response may still arrive, so the connection can't be reused.
                await connection.close()
                raise
            await self._keep_or_close(connection)
            return response

    async def _connect(self) -> _Connection:
        try:
            sock = await curio.open_connection(*self._address)
        except OSError as failure:
            raise HttpError(f"{self._host}: {failure}") from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Connection(sock)

    async def _keep_or_close(self, connection: _Connection) -> None:
        if connection.reusable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            await connection.close()


class _Connection:
    """One connection, which handles one request at a time."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        #: Whether another request may follow the last one.
        self.reusable = False

    async def close(self) -> None:
        await self._sock.close()

    async def exchange(self, host: str, method: str, target: str, body: bytes) -> ClientResponse:
        """Send one request and read its whole response."""
        self.reusable = False
        http = self._http
        await self._sock.sendall(self._encode(host, method, target, body))
        response = await self._receive()
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            self.reusable = True
        return response

    def _encode(self, host: str, method: str, target: str, body: bytes) -> bytes:
        http = self._http
        headers = [("Host", host), ("Content-Length", str(len(body)))]
        data = http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        return data

    async def _receive(self) -> ClientResponse:
        status = 0
        chunks: list[bytes] = []
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._sock.recv(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return ClientResponse(status, b"".join(chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("closed before an answer")


async def fetch(
    address: str, method: str, target: str, body: bytes = b"", *, timeout: timedelta
) -> ClientResponse:
    """Send one request on a connection of its own; ``HttpError`` if there is no response."""
    client = Client(address, max_idle=0)
    return await with_timeout(timeout, client.request(method, target, body, timeout=timeout))
