"""Relays between real processes and the in-memory network, which applies the faults.

Every host has a separate loopback address for each controller that may call it.  So the relay knows
the caller of each request.  Messages contain addresses of workers; the relays translate them.
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
#: Longer than the timeout of any caller; for a watch, the time for which it is held is added.
REQUEST_TIMEOUT = seconds(10)
ADDRESS_FIELD = "addr"


def free_address() -> str:
    """Return a loopback address that is free now.

    Its port is outside the range of outgoing connections.  Otherwise another process could take it
    before the controller listens, or while the controller is down.
    """
    rng = random.SystemRandom()
    while True:
        port = rng.choice(LISTENING_PORTS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


class Relays:
    """Connects controller processes with the hosts of the in-memory network, in both directions."""

    def __init__(self, network: FakeNetwork) -> None:
        self._network = network
        #: Real address by caller and in-memory address, and in-memory address by real address.
        self._real_addresses: dict[tuple[str, str], str] = {}
        self._memory_addresses: dict[str, str] = {}
        self.requests = 0

    async def real_address(self, caller: str, address: str) -> str:
        """Return the real address at which a controller reaches an in-memory address."""
        if (caller, address) not in self._real_addresses:
            server = Server((LOOPBACK, 0), self._relay(caller, address), MAX_CONNECTIONS)
            host, port = server.listen()
            self._real_addresses[caller, address] = f"{host}:{port}"
            self._memory_addresses[f"{host}:{port}"] = address
            await curio.spawn(server.run, daemon=True)
        return self._real_addresses[caller, address]

    def _relay(self, caller: str, address: str) -> Handler:
        async def handle(request: Request) -> Answer:
            self.requests += 1
            sent = Request(
                request.method, request.path, request.query, self._to_memory(request.body)
            )
            try:
                status, body = await self._network.request(
                    caller, address, sent, REQUEST_TIMEOUT + _watch_duration(request)
                )
            except HttpError as problem:
                # The request was refused, or it got no answer and its caller has timed out.
                return error(HTTPStatus.BAD_GATEWAY, str(problem))
            return Answer(status, await self._to_real(caller, body))

        return handle

    def forwarder(self, name: str, real_address: str) -> Handler:
        """Return an in-memory handler that forwards requests to a controller's process."""
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
        message = _decode_or_none(body)
        for fields in _maps_with_address(message):
            fields[ADDRESS_FIELD] = self._memory_addresses.get(
                fields[ADDRESS_FIELD], fields[ADDRESS_FIELD]
            )
        return body if message is None else encode(message)

    async def _to_real(self, name: str, body: bytes) -> bytes:
        if ADDRESS_FIELD.encode() not in body:
            return body
        message = _decode_or_none(body)
        for fields in _maps_with_address(message):
            fields[ADDRESS_FIELD] = await self.real_address(name, fields[ADDRESS_FIELD])
        return body if message is None else encode(message)


def _watch_duration(request: Request) -> timedelta:
    """Return for how long the state service may hold a watch; zero for other requests."""
    return timedelta(milliseconds=int(dict(parse_qsl(request.query)).get("hold_ms", "0")))


def _decode_or_none(body: bytes) -> Any:
    try:
        return decode(object, body)
    except MessageFormatError:
        return None


def _maps_with_address(value: Any) -> list[dict[str, Any]]:
    """Return all maps in a message that contain a worker's address."""
    if isinstance(value, list):
        return [found for item in value for found in _maps_with_address(item)]
    if not isinstance(value, dict):
        return []
    found = [found for item in value.values() for found in _maps_with_address(item)]
    return [value, *found] if isinstance(value.get(ADDRESS_FIELD), str) else found
