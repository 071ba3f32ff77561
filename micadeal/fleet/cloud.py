"""Client of the cloud's API; keeps within the cloud's request rate."""

from __future__ import annotations

from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

from micadeal.clock import ZERO, monotonic, seconds
from micadeal.http.message import HttpError
from micadeal.http.network import Network
from micadeal.state.budget import TokenBucket
from micadeal.timeouts import sleep
from micadeal.wire.cloud import (
    Catalog,
    ListedMachine,
    MachineList,
    MachineNames,
    MachineType,
    RentalRequest,
)
from micadeal.wire.codec import MessageFormatError, decode, encode

T = TypeVar("T")

REQUEST_TIMEOUT = seconds(5)
#: Interval between requests for the list of machines; the list lags by more than this.
LIST_INTERVAL = timedelta(seconds=3)
#: Machines on one page of the list.
LIST_PAGE_SIZE = 500
#: Most machines returned with one request.
MAX_MACHINES_PER_RELEASE = 100
#: Most connections to the cloud's API.
MAX_CONNECTIONS = 3
#: Share of the cloud's request rate that is used.
RATE_SHARE = 0.8
#: Size of a burst: the requests that the cloud's rate allows in this many seconds.
BURST_S = 1.6
#: Error text of a 503 that refuses a rental; with any other text a 503 is a failure of the cloud's
#: API.
NO_CAPACITY = "no capacity"
#: Most bytes of an unexpected body that an error quotes.
MAX_QUOTED_BYTES = 80


class CloudError(Exception):
    """The cloud sent no usable response; a rental or release may or may not have happened."""


class CloudUnreachableError(CloudError):
    """The request could not be sent, failed in transit, or timed out."""

    def __init__(self, problem: HttpError) -> None:
        self.problem = problem
        super().__init__(str(problem))


class CloudStatusError(CloudError):
    """The cloud answered with a status that the request does not expect."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body
        super().__init__(f"status {status}: {body[:MAX_QUOTED_BYTES]!r}")


class CloudResponseError(CloudError):
    """The cloud's response could not be decoded."""

    def __init__(self, problem: MessageFormatError) -> None:
        self.problem = problem
        super().__init__(f"unreadable response: {problem}")


class NoCapacityError(Exception):
    """The cloud refused a rental: nothing was rented."""

    def __init__(self, request: RentalRequest) -> None:
        self.request = request
        super().__init__(f"no capacity for rental {request.request}")


class Cloud:
    """Rents, lists and releases machines; each call waits until the request rate allows it."""

    def __init__(self, address: str, rps: float, network: Network) -> None:
        """Create a client; ``rps`` is the cloud's limit in requests per second."""
        self._client = network.client(address, MAX_CONNECTIONS)
        self._budget = TokenBucket(rps * RATE_SHARE, rps * BURST_S, monotonic())

    async def catalog(self) -> list[MachineType]:
        """Return the machine types that can be rented.

        Raises ``CloudError``.
        """
        status, body = await self._request("GET", "/catalog")
        return _decode_response(Catalog, status, body).types

    async def rent(self, request: RentalRequest) -> list[str]:
        """Rent machines and return their names; there may be fewer than requested.

        Idempotent: the cloud recognizes a repeated rental by the request's name.  Raises
        ``NoCapacityError`` if certainly nothing was rented, ``CloudError`` if that is unknown.
        """
        status, body = await self._request("POST", "/rentals", encode(request))
        refused = status == HTTPStatus.SERVICE_UNAVAILABLE and _error_text(body) == NO_CAPACITY
        if refused or status == HTTPStatus.BAD_REQUEST:
            raise NoCapacityError(request)
        return _decode_response(MachineNames, status, body).machines

    async def release(self, names: list[str]) -> None:
        """Return the first of ``names`` to the cloud, at most ``MAX_MACHINES_PER_RELEASE``.

        Raises ``CloudError`` if it is unknown whether they were returned.
        """
        status, body = await self._request(
            "POST", "/rentals/release", encode(MachineNames(names[:MAX_MACHINES_PER_RELEASE]))
        )
        if status != HTTPStatus.OK:
            raise CloudStatusError(status, body)

    async def machines(self) -> list[ListedMachine]:
        """Return all rented machines as the cloud lists them; its list lags by some seconds.

        Raises ``CloudError``.
        """
        listed: list[ListedMachine] = []
        last = ""
        while True:
            after = f"&after={quote(last)}" if last else ""
            status, body = await self._request("GET", f"/rentals?most={LIST_PAGE_SIZE}{after}")
            page = _decode_response(MachineList, status, body)
            listed += page.machines
            if not page.more or not page.machines:
                return listed
            last = page.machines[-1].name

    async def _request(self, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """Send a request once the rate allows it, and return status and body."""
        while (wait := self._budget.take(1, monotonic())) > ZERO:
            await sleep(wait)
        try:
            status, response = await self._client.request(
                method, target, body, timeout=REQUEST_TIMEOUT, idempotent=True
            )
        except HttpError as problem:
            raise CloudUnreachableError(problem) from None
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self._budget.drain(monotonic())
        return status, response


def _error_text(body: bytes) -> str:
    try:
        return decode(dict[str, str], body).get("error", "")
    except MessageFormatError:
        return ""


def _decode_response(kind: type[T], status: int, body: bytes) -> T:
    if status != HTTPStatus.OK:
        raise CloudStatusError(status, body)
    try:
        return decode(kind, body)
    except MessageFormatError as problem:
        raise CloudResponseError(problem) from None
