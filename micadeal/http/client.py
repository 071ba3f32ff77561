"""A client that keeps a few connections to one address open."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import Any

import curio
import h11
from curio import socket

from micadeal.http.message import HttpError
from micadeal.timeouts import with_timeout
from micadeal.wire.address import parse_address

READ_SIZE = 64 * 1024


class Client:
    """Requests to one address.

    A connection that was idle may have been closed by the far side.  A request on such a
    connection that fails before any byte of an answer is repeated once on a fresh one only if the
    caller says that a repetition does no harm.
    """

    def __init__(self, address: str, keep: int = 4) -> None:
        self._address = parse_address(address)
        self._host = address
        self._keep = keep
        self._idle: deque[_Link] = deque()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        repeatable: bool = True,
    ) -> tuple[int, bytes]:
        """Status and body; ``HttpError`` when there is no answer."""
        link: _Link | None = None
        try:
            async with curio.timeout_after(max(timeout.total_seconds(), 0.001)):
                while True:
                    fresh = not self._idle
                    link = await self._connect() if fresh else self._idle.pop()
                    try:
                        result = await link.exchange(self._host, method, target, body)
                        break
                    except (OSError, h11.ProtocolError) as problem:
                        await link.close()
                        if fresh or not repeatable:
                            raise HttpError(f"{self._host}: {problem}") from None
            if link.reusable and len(self._idle) < self._keep:
                self._idle.append(link)
            else:
                await link.close()
            return result
        except curio.TaskTimeout:
            if link is not None:
                await link.close()
            # The connections kept beside it are as likely to be dead: start afresh.
            await self.close()
            raise HttpError(f"{self._host}: no answer in time") from None
        except curio.CancelledError:
            if link is not None:
                await link.close()
            raise

    async def close(self) -> None:
        while self._idle:
            await self._idle.pop().close()

    async def _connect(self) -> _Link:
        try:
            sock = await curio.open_connection(*self._address)
        except OSError as problem:
            raise HttpError(f"{self._host}: {problem}") from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Link(sock)


class _Link:
    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self.reusable = False

    async def close(self) -> None:
        await self._sock.close()

    async def exchange(self, host: str, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        self.reusable = False
        http = self._http
        headers = [("Host", host), ("Content-Length", str(len(body)))]
        data = http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        await self._sock.sendall(data)
        status = 0
        chunks: list[bytes] = []
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._sock.recv(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("closed before an answer")
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            self.reusable = True
        return status, b"".join(chunks)


async def fetch(
    address: str, method: str, target: str, body: bytes = b"", *, timeout: timedelta
) -> tuple[int, bytes]:
    """One request on a connection of its own."""
    client = Client(address, keep=0)
    return await with_timeout(timeout, client.request(method, target, body, timeout=timeout))
