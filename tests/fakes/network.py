"""A network of requests: delays, cuts that stay silent, packets held and delivered late."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta

import curio

from micadeal.clock import monotonic
from micadeal.http.message import Answer, HttpError, Request, error

Handler = Callable[[Request], Awaitable[Answer]]

SILENT, HOLD, REFUSE = "silent", "hold", "refuse"


class FakeNetwork:
    """Routes requests between hosts by name.

    An address belongs to the host that serves it.  A cut between two hosts swallows requests, or
    holds them: then they are delivered when the cut ends, and nobody hears the answer.  Or the
    requests are refused with 503 while watches wait, as the state service may refuse one node.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._servers: dict[str, tuple[str, Handler]] = {}
        self._cuts: dict[frozenset[str], str] = {}
        self._ended: dict[frozenset[str], curio.Event] = {}
        #: Hosts that are heard, and hear nothing: what is sent to them is lost.
        self.receives_nothing: set[str] = set()
        #: Hosts that hear and answer, and are not heard: what they send by themselves is lost.
        self.mute: set[str] = set()
        #: Whether a request is carried out at once and only its answer is lost.
        self.answer_lost: Callable[[str, str, Request], bool] | None = None
        #: Copies of requests to come: how much later, and at which address.
        self.copies: Callable[[str, str, Request], Iterable[tuple[float, str]]] | None = None
        #: How much later than the ordinary an answer comes, in seconds.
        self.slow: Callable[[str, str, Request], float] | None = None
        #: How much later a request is carried out, in seconds, that gets no answer; None: it does.
        self.late: Callable[[str, str, Request], float | None] | None = None

    def serve(self, host: str, address: str, handler: Handler) -> None:
        self._servers[address] = (host, handler)

    def close(self, host: str) -> None:
        for address in [a for a, (owner, _) in self._servers.items() if owner == host]:
            del self._servers[address]

    def cut(self, one: str, other: str, mode: str = SILENT) -> None:
        self._cuts[frozenset((one, other))] = mode
        self._ended[frozenset((one, other))] = curio.Event()

    async def heal(self, one: str, other: str) -> None:
        pair = frozenset((one, other))
        if self._cuts.pop(pair, None) is not None:
            await self._ended[pair].set()

    def seen_from(self, host: str, owner: HostPower | None = None) -> HostNetwork:
        return HostNetwork(self, host, owner or HostPower())

    async def request(
        self, source: str, address: str, request: Request, timeout: timedelta
    ) -> tuple[int, bytes]:
        deadline = monotonic() + timeout
        await self._travel()
        found = self._servers.get(address)
        if found is None:
            raise HttpError(f"{address}: refused")
        host, handler = found
        pair = frozenset((source, host))
        mode = self._cuts.get(pair)
        if mode is None and self.copies is not None:
            for delay, place in self.copies(source, address, request):
                await curio.spawn(self._deliver_copy, delay, place, request, daemon=True)
        if mode == REFUSE and request.path != "/changes":
            await self._travel()
            refused = error(503, "trouble")
            return refused.status, refused.body
        if host in self.receives_nothing or source in self.mute:
            mode = SILENT
        held = self.late(source, address, request) if self.late and mode is None else None
        if held is not None:
            await curio.spawn(self._deliver_copy, held, address, request, daemon=True)
            mode = SILENT
        if mode is not None:
            if mode == HOLD:
                await curio.spawn(self._deliver_late, pair, address, request, daemon=True)
            await curio.sleep(max((deadline - monotonic()).total_seconds(), 0))
            raise HttpError(f"{address}: no answer in time")
        try:
            async with curio.timeout_after(max((deadline - monotonic()).total_seconds(), 0.001)):
                reply = await handler(request)
                if self.slow is not None:
                    await curio.sleep(self.slow(source, address, request))
        except curio.TaskTimeout:
            raise HttpError(f"{address}: no answer in time") from None
        gone = self.answer_lost is not None and self.answer_lost(source, address, request)
        if gone or self._cuts.get(pair, REFUSE) != REFUSE or source in self.receives_nothing:
            await curio.sleep(max((deadline - monotonic()).total_seconds(), 0))
            raise HttpError(f"{address}: the answer was lost")
        await self._travel()
        return reply.status, reply.body

    async def _deliver_copy(self, delay: float, address: str, request: Request) -> None:
        await curio.sleep(delay)
        found = self._servers.get(address)
        if found is not None:
            await found[1](request)

    async def heal_all(self) -> None:
        self.receives_nothing.clear()
        self.mute.clear()
        self.copies = self.slow = self.late = self.answer_lost = None
        for pair in list(self._cuts):
            await self.heal(*pair)

    async def _deliver_late(self, pair: frozenset[str], address: str, request: Request) -> None:
        await self._ended[pair].wait()
        found = self._servers.get(address)
        if found is not None:
            await found[1](request)

    async def _travel(self) -> None:
        await curio.sleep(self._random.uniform(0.0005, 0.003))


class HostPower:
    """Whether a host's process still runs: what is left of a dead one reaches nobody."""

    def __init__(self) -> None:
        self.on = True


class HostNetwork:
    """The network as one process sees it."""

    def __init__(self, network: FakeNetwork, host: str, authority: HostPower) -> None:
        self._network = network
        self._host = host
        self._authority = authority

    def client(self, address: str, keep: int) -> FakeClient:
        return FakeClient(self._network, self._host, self._authority, address)

    def server(self, address: tuple[str, int], handler: Handler, most: int) -> FakeServer:
        return FakeServer(self._network, self._host, f"{address[0]}:{address[1]}", handler)


class FakeClient:
    def __init__(self, network: FakeNetwork, host: str, authority: HostPower, address: str) -> None:
        self._network = network
        self._host = host
        self._authority = authority
        self._address = address

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        repeatable: bool = True,
    ) -> tuple[int, bytes]:
        if not self._authority.on:
            await curio.sleep(3600)
        path, _, query = target.partition("?")
        request = Request(method, path, query, body)
        result = await self._network.request(self._host, self._address, request, timeout)
        if not self._authority.on:
            await curio.sleep(3600)
        return result

    async def close(self) -> None:
        pass


class FakeServer:
    def __init__(self, network: FakeNetwork, host: str, address: str, handler: Handler) -> None:
        self._network, self._host = network, host
        self._address, self._handler = address, handler

    async def run(self) -> None:
        self._network.serve(self._host, self._address, self._handler)
        while True:
            await curio.sleep(3600)
