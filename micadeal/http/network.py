"""Interface between the program and the network: TCP here, an in-memory fake in the tests."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from micadeal.http.client import Client
from micadeal.http.server import Handler, Server
from micadeal.wire.address import SocketAddress


class HttpClient(Protocol):
    """Sends requests to one address."""

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        idempotent: bool = True,
    ) -> tuple[int, bytes]:
        """Send one request and return status and body of its response.

        Raises ``HttpError`` if there is no response within ``timeout``.
        ``idempotent``: the request may be executed twice, so it may be sent again if an idle
        connection turns out to be closed.
        """
        ...

    async def close(self) -> None:
        """Close idle connections; the client can still be used."""
        ...


class HttpServer(Protocol):
    """Serves one address."""

    async def run(self) -> None:
        """Serve until cancelled."""
        ...


class Network(Protocol):
    """Creates clients and servers."""

    def client(self, address: str, max_idle: int) -> HttpClient:
        """Return a client of ``address`` that keeps up to ``max_idle`` idle connections open."""
        ...

    def server(self, address: SocketAddress, handler: Handler, max_connections: int) -> HttpServer:
        """Return a server of ``address`` that accepts at most ``max_connections`` at a time."""
        ...


class TcpNetwork:
    """The real network."""

    def client(self, address: str, max_idle: int) -> HttpClient:
        """Return a client of ``address`` that keeps up to ``max_idle`` idle connections open."""
        return Client(address, max_idle)

    def server(self, address: SocketAddress, handler: Handler, max_connections: int) -> HttpServer:
        """Return a server of ``address`` that accepts at most ``max_connections`` at a time."""
        return Server(address, handler, max_connections)
