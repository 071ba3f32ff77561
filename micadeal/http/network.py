"""The seam between the program and the network: TCP here, memory in the tests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from micadeal.http.client import Client
from micadeal.http.message import Answer, Request
from micadeal.http.server import Server

Handler = Callable[[Request], Awaitable[Answer]]


class AnyClient(Protocol):
    """Requests to one address; raises ``HttpError`` when there is no answer."""

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        repeatable: bool = True,
    ) -> tuple[int, bytes]: ...

    async def close(self) -> None: ...


class AnyServer(Protocol):
    async def run(self) -> None: ...


class Network(Protocol):
    def client(self, address: str, keep: int) -> AnyClient: ...

    def server(self, address: tuple[str, int], handler: Handler, most: int) -> AnyServer: ...


class TcpNetwork:
    def client(self, address: str, keep: int) -> AnyClient:
        return Client(address, keep)

    def server(self, address: tuple[str, int], handler: Handler, most: int) -> AnyServer:
        return Server(address, handler, most)
