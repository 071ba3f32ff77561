"""Relays between real processes and the network in memory, which applies the faults.

Every host has an address of its own on loopback for each controller that may call it, so that the
caller is known.  Addresses of workers are part of messages; they are translated on the way.
"""

from __future__ import annotations

import random
import socket
from contextlib import suppress
from datetime import timedelta
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import curio

from micadeal.clock import seconds
from micadeal.http.client import Client
from micadeal.http.message import Answer, HttpError, Request, error
from micadeal.http.server import Handler, Server
from micadeal.wire.codec import MessageFormatError, decode, encode
from tests.fakes.network import FakeNetwork

LOOPBACK = "127.0.0.1"
#: Below the ports that Linux gives to outgoing connections.
LISTENING_PORTS = range(12_000, 32_000)
MAX_CONNECTIONS = 2000
#: Idle connections kept open to one controller.
MAX_IDLE_CONNECTIONS = 64
#: Longer than any caller waits, watches aside.
REQUEST_TIMEOUT = seconds(10)
ADDRESS_FIELD = "addr"


def free_address() -> str:
    """Return a loopback address that is free now.

    Its port is not one that the system gives to outgoing connections: some process would take it
    before the controller listens, or whenever the controller is away.
    """
    draw = random.SystemRandom()
    while True:
        port = draw.choice(LISTENING_PORTS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


class Relays:
    """Lets controllers reach all hosts in memory, and these the controllers."""

    def __init__(self, network: FakeNetwork) -> None:
        self._network = network
        #: Real address by caller and address in memory, and the other way round.
        self._real: dict[tuple[str, str], str] = {}
        self._in_memory: dict[str, str] = {}
        self.requests = 0

    async def real_address(self, caller: str, address: str) -> str:
        """Return the real address at which a controller reaches an address in memory."""
        if (caller, address) not in self._real:
            server = Server((LOOPBACK, 0), self._relay(caller, address), MAX_CONNECTIONS)
            host, port = server.listen()
            self._real[caller, address] = f"{host}:{port}"
            self._in_memory[f"{host}:{port}"] = address
            await curio.spawn(server.run, daemon=True)
        return self._real[caller, address]

    def _relay(self, caller: str, address: str) -> Handler:
        async def handle(request: Request) -> Answer:
            self.requests += 1
            sent = Request(
                request.method, request.path, request.query, self._to_memory(request.body)
            )
            try:
                status, body = await self._network.request(
                    caller, address, sent, REQUEST_TIMEOUT + _hold(request)
                )
            except HttpError as problem:
                # Refused; or there is no answer, and the caller has given up long before.
                return error(HTTPStatus.BAD_GATEWAY, str(problem))
            return Answer(status, await self._to_real(caller, body))

        return handle

    def forwarder(self, name: str, real_address: str) -> Handler:
        """Return a handler in memory that passes requests on to a controller's process."""
        client = Client(real_address, MAX_IDLE_CONNECTIONS)

        async def handle(request: Request) -> Answer:
            self.requests += 1
            target = f"{request.path}?{request.query}" if request.query else request.path
            body = await self._to_real(name, request.body)
            status, reply = await client.request(
                request.method, target, body, timeout=REQUEST_TIMEOUT, idempotent=False
            )
            return Answer(status, self._to_memory(reply))

        return handle

    # -- addresses in messages -------------------------------------------------------------

    def _to_memory(self, body: bytes) -> bytes:
        if ADDRESS_FIELD.encode() not in body:
            return body
        message = _decoded(body)
        for holder in _holders_of_addresses(message):
            holder[ADDRESS_FIELD] = self._in_memory.get(
                holder[ADDRESS_FIELD], holder[ADDRESS_FIELD]
            )
        return body if message is None else encode(message)

    async def _to_real(self, name: str, body: bytes) -> bytes:
        if ADDRESS_FIELD.encode() not in body:
            return body
        message = _decoded(body)
        for holder in _holders_of_addresses(message):
            holder[ADDRESS_FIELD] = await self.real_address(name, holder[ADDRESS_FIELD])
        return body if message is None else encode(message)


def _hold(request: Request) -> timedelta:
    """Return for how long a watch may be held."""
    return timedelta(milliseconds=int(dict(parse_qsl(request.query)).get("hold_ms", "0")))


def _decoded(body: bytes) -> Any:
    try:
        return decode(object, body)
    except MessageFormatError:
        return None


def _holders_of_addresses(value: Any) -> list[dict[str, Any]]:
    """Return all maps in a message that hold a worker's address."""
    if isinstance(value, list):
        return [found for item in value for found in _holders_of_addresses(item)]
    if not isinstance(value, dict):
        return []
    found = [found for item in value.values() for found in _holders_of_addresses(item)]
    return [value, *found] if isinstance(value.get(ADDRESS_FIELD), str) else found
