"""The HTTP client and server on real sockets, over loopback."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from micadeal.clock import seconds
from micadeal.http.client import Client
from micadeal.http.message import BODY_LIMIT, Answer, HttpError, Request, answer
from micadeal.http.server import Server

MAX_CONNECTIONS = 4
TIMEOUT = seconds(5)


def with_server(check: Callable[[str, int], Awaitable[None]]) -> None:
    """Run ``check`` with the address and port of a server that is already listening."""

    async def echo(request: Request) -> Answer:
        return answer(200, [request.method, request.path, len(request.body)])

    async def run() -> None:
        server = Server(("127.0.0.1", 0), echo, max_connections=MAX_CONNECTIONS)
        host, port = server.listen()
        task = await curio.spawn(server.run, daemon=True)
        try:
            await check(f"{host}:{port}", port)
        finally:
            await task.cancel()

    curio.run(run)


def test_requests_are_answered_and_connections_kept() -> None:
    async def check(address: str, port: int) -> None:
        client = Client(address)
        for _ in range(3):
            status, body = await client.request("POST", "/x?y=1", b"abc", timeout=TIMEOUT)
            assert status == 200 and b"/x" in body and body.endswith(b"\x03")
        status, _ = await client.request("POST", "/x", b"a" * (BODY_LIMIT + 1), timeout=TIMEOUT)
        assert status == 400
        status, _ = await client.request("GET", "/x", timeout=TIMEOUT)
        assert status == 200
        await client.close()

    with_server(check)


def test_garbage_and_surplus_connections_do_the_server_no_harm() -> None:
    async def check(address: str, port: int) -> None:
        garbage = await curio.open_connection("127.0.0.1", port)
        await garbage.sendall(b"\x00\x01\x02 nonsense\r\n\r\n")
        assert (await garbage.recv(1000)).startswith(b"HTTP/1.1 400")
        await garbage.close()
        clients = [Client(address) for _ in range(MAX_CONNECTIONS)]
        for client in clients:
            await wait_until_served(client)
        surplus = Client(address)
        with pytest.raises(HttpError):
            await surplus.request("GET", "/x", timeout=TIMEOUT)
        await clients[0].close()
        await wait_until_served(surplus)

    with_server(check)


async def wait_until_served(client: Client) -> None:
    """Repeat a request until it is served: the server notices closed connections with a delay."""
    for _ in range(1000):
        try:
            status, _ = await client.request("GET", "/x", timeout=TIMEOUT)
        except HttpError:
            await curio.sleep(0.005)
            continue
        assert status == 200
        return
    raise AssertionError("never served")


def test_request_without_answer_in_time_raises_and_the_client_stays_usable() -> None:
    async def run() -> None:
        answers = iter([10.0, 0.0])

        async def slow_once(request: Request) -> Answer:
            await curio.sleep(next(answers))
            return answer(200)

        server = Server(("127.0.0.1", 0), slow_once, max_connections=MAX_CONNECTIONS)
        host, port = server.listen()
        task = await curio.spawn(server.run, daemon=True)
        client = Client(f"{host}:{port}")
        with pytest.raises(HttpError, match="no answer in time"):
            await client.request("GET", "/x", timeout=seconds(0.05))
        assert (await client.request("GET", "/x", timeout=TIMEOUT)).status == 200
        await client.close()
        await task.cancel()

    curio.run(run)


def test_request_on_a_kept_but_closed_connection_is_repeated_only_if_idempotent() -> None:
    async def run() -> None:
        requests: list[str] = []

        async def serve_one(client: object, _: object) -> None:
            """Answer the first request of a connection, and close it on the second."""
            received = await client.recv(1000)  # type: ignore[attr-defined]
            requests.append(received.split()[1].decode())
            await client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")  # type: ignore[attr-defined]
            received = await client.recv(1000)  # type: ignore[attr-defined]
            requests.append(received.split()[1].decode())

        listener = curio.tcp_server_socket("127.0.0.1", 0)
        address = "{}:{}".format(*listener.getsockname())
        task = await curio.spawn(curio.network.run_server, listener, serve_one, daemon=True)
        client = Client(address)
        assert (await client.request("POST", "/1", timeout=TIMEOUT)).status == 200
        with pytest.raises(HttpError):
            await client.request("POST", "/2", timeout=TIMEOUT, idempotent=False)
        assert (await client.request("POST", "/3", timeout=TIMEOUT)).status == 200
        assert (await client.request("GET", "/4", timeout=TIMEOUT)).status == 200
        assert requests == ["/1", "/2", "/3", "/4", "/4"]
        await client.close()
        await task.cancel()

    curio.run(run)
