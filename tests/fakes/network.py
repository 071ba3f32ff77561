"""An in-memory network that can delay, lose and duplicate requests and answers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

import curio

from micadeal.clock import monotonic
from micadeal.http import server
from micadeal.http.message import Answer, ClientResponse, HttpError, Request, error
from micadeal.wire.address import SocketAddress

Handler = server.Handler

#: Longer than any scenario; used for waits that never end.
UNBOUNDED_WAIT_S = 3600.0


class CutMode(StrEnum):
    """What a cut between two hosts does to requests."""

    #: Requests are lost.
    SILENT = "silent"
    #: Requests are delivered when the cut ends; the sender times out in any case.
    HOLD = "hold"
    #: Requests get status 503, except watches, which wait.  The state service may refuse a single
    #: controller like this.
    REFUSE = "refuse"


SILENT, HOLD, REFUSE = CutMode.SILENT, CutMode.HOLD, CutMode.REFUSE


class _Sent(NamedTuple):
    """A request in transit: the sending host, the address and the request."""

    source: str
    address: str
    request: Request


class FakeNetwork:
    """Routes requests between named hosts; an address belongs to the host that serves it.

    The callables receive the sending host, the address and the request.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._servers: dict[str, tuple[str, Handler]] = {}
        self._cuts: dict[frozenset[str], str] = {}
        #: Set when the cut between two hosts ends.
        self._cut_ended: dict[frozenset[str], curio.Event] = {}
        #: Hosts that receive nothing, while what they send is delivered.
        self.receives_nothing: set[str] = set()
        #: Hosts whose requests are lost, while they receive and answer requests.
        self.sends_nothing: set[str] = set()
        #: Whether a request is handled but its answer is lost.
        self.answer_lost: Callable[[str, str, Request], bool] | None = None
        #: Duplicates of a request to deliver: delay in seconds and address of each.
        self.duplicates: Callable[[str, str, Request], Iterable[tuple[float, str]]] | None = None
        #: Called for each request when it is sent.
        self.on_sent: Callable[[str, str, Request], None] | None = None
        #: Additional delay of an answer, in seconds.
        self.answer_delay: Callable[[str, str, Request], float] | None = None
        #: Delay of a request in seconds; a delayed request gets no answer.  None: no delay.
        self.delivery_delay: Callable[[str, str, Request], float | None] | None = None

    def serve(self, host: str, address: str, handler: Handler) -> None:
        """Register ``host`` as the server of ``address``."""
        self._servers[address] = (host, handler)

    def close(self, host: str) -> None:
        """Refuse connections to all addresses of ``host``."""
        for address in [a for a, (owner, _) in self._servers.items() if owner == host]:
            del self._servers[address]

    def cut(self, one: str, other: str, mode: str = SILENT) -> None:
        """Begin a cut between two hosts in both directions."""
        pair = frozenset((one, other))
        self._cuts[pair] = mode
        self._cut_ended[pair] = curio.Event()

    async def heal(self, one: str, other: str) -> None:
        """End the cut between two hosts, if there is one."""
        pair = frozenset((one, other))
        if self._cuts.pop(pair, None) is not None:
            await self._cut_ended[pair].set()

    async def heal_all(self) -> None:
        """End all faults."""
        self.receives_nothing.clear()
        self.sends_nothing.clear()
        self.duplicates = self.answer_delay = self.delivery_delay = self.answer_lost = None
        for pair in list(self._cuts):
            await self.heal(*pair)

    async def request(
        self, source: str, address: str, request: Request, timeout: timedelta
    ) -> ClientResponse:
        """Deliver a request of ``source`` subject to the current faults; return the answer."""
        deadline = monotonic() + timeout
        sent = _Sent(source, address, request)
        if self.on_sent is not None:
            self.on_sent(*sent)
        await self._transit_delay()
        if address not in self._servers:
            raise HttpError(f"{address}: refused")
        host, handler = self._servers[address]
        pair = frozenset((source, host))
        mode = self._cuts.get(pair)
        if mode is None and self.duplicates is not None:
            for delay, target in self.duplicates(*sent):
                await curio.spawn(self._deliver_after, delay, target, request, daemon=True)
        if mode == REFUSE and request.path != "/changes":
            await self._transit_delay()
            refusal = error(503, "trouble")
            return ClientResponse(refusal.status, refusal.body)
        if host in self.receives_nothing or source in self.sends_nothing:
            mode = SILENT
        if await self._is_unanswered(mode, pair, sent):
            await _sleep_until(deadline)
            raise HttpError(f"{address}: no answer in time")
        reply = await self._answer_in_time(handler, sent, deadline)
        if self._answer_is_lost(pair, sent):
            await _sleep_until(deadline)
            raise HttpError(f"{address}: the answer was lost")
        await self._transit_delay()
        return ClientResponse(reply.status, reply.body)

    async def _is_unanswered(self, mode: str | None, pair: frozenset[str], sent: _Sent) -> bool:
        """Return whether the sender gets no answer; the request may still be delivered later."""
        if mode is None and self.delivery_delay is not None:
            delay = self.delivery_delay(*sent)
            if delay is not None:
                await curio.spawn(
                    self._deliver_after, delay, sent.address, sent.request, daemon=True
                )
                return True
        if mode == HOLD:
            await curio.spawn(self._deliver_when_healed, pair, sent, daemon=True)
        return mode is not None

    async def _answer_in_time(self, handler: Handler, sent: _Sent, deadline: timedelta) -> Answer:
        try:
            async with curio.timeout_after(max((deadline - monotonic()).total_seconds(), 0.001)):
                reply = await handler(sent.request)
                if self.answer_delay is not None:
                    await curio.sleep(self.answer_delay(*sent))
        except curio.TaskTimeout:
            raise HttpError(f"{sent.address}: no answer in time") from None
        return reply

    def _answer_is_lost(self, pair: frozenset[str], sent: _Sent) -> bool:
        if self.answer_lost is not None and self.answer_lost(*sent):
            return True
        # A cut may have begun while the request was handled.
        return self._cuts.get(pair, REFUSE) != REFUSE or sent.source in self.receives_nothing

    async def _deliver_after(self, delay: float, address: str, request: Request) -> None:
        await curio.sleep(delay)
        await self._deliver(address, request)

    async def _deliver_when_healed(self, pair: frozenset[str], sent: _Sent) -> None:
        await self._cut_ended[pair].wait()
        await self._deliver(sent.address, sent.request)

    async def _deliver(self, address: str, request: Request) -> None:
        """Handle a request and drop its answer."""
        if address in self._servers:
            _, handler = self._servers[address]
            await handler(request)

    async def _transit_delay(self) -> None:
        await curio.sleep(self._random.uniform(0.0005, 0.003))


async def _sleep_until(deadline: timedelta) -> None:
    await curio.sleep(max((deadline - monotonic()).total_seconds(), 0))


class HostProcess:
    """Whether the process of a host is running; a stopped one sends and receives nothing."""

    def __init__(self) -> None:
        self.running = True


class HostNetwork:
    """The network interface of one process."""

    def __init__(self, network: FakeNetwork, host: str, process: HostProcess) -> None:
        self._network = network
        self._host = host
        self._process = process

    def client(self, address: str, max_idle: int) -> FakeClient:
        """Return a client for an address."""
        return FakeClient(self._network, self._host, self._process, address)

    def server(self, address: SocketAddress, handler: Handler, max_connections: int) -> FakeServer:
        """Return a server for an address of the host."""
        return FakeServer(self._network, self._host, f"{address[0]}:{address[1]}", handler)


class FakeClient:
    """Sends requests of one process to one address."""

    def __init__(self, network: FakeNetwork, host: str, process: HostProcess, address: str) -> None:
        self._network = network
        self._host = host
        self._process = process
        self._address = address

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        idempotent: bool = True,
    ) -> tuple[int, bytes]:
        """Send a request; blocks for the rest of the scenario if the process is stopped."""
        await self._block_if_stopped()
        path, _, query = target.partition("?")
        request = Request(method, path, query, body)
        response = await self._network.request(self._host, self._address, request, timeout)
        await self._block_if_stopped()
        return response

    async def _block_if_stopped(self) -> None:
        if not self._process.running:
            await curio.sleep(UNBOUNDED_WAIT_S)

    async def close(self) -> None:
        """Do nothing: there are no connections."""


class FakeServer:
    """Serves one address of a host."""

    def __init__(self, network: FakeNetwork, host: str, address: str, handler: Handler) -> None:
        self._network = network
        self._host = host
        self._address = address
        self._handler = handler

    async def run(self) -> None:
        """Serve until the host is closed."""
        self._network.serve(self._host, self._address, self._handler)
        while True:
            await curio.sleep(UNBOUNDED_WAIT_S)
