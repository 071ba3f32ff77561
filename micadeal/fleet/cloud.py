"""Client of the cloud's API, within its request rate."""

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
#: The cloud's list lags by more than this anyway.
LIST_INTERVAL = timedelta(seconds=3)
#: Machines asked for with one request for a list.
LIST_PAGE_SIZE = 500
#: Machines returned with one request.
MAX_RELEASES = 100
#: Connections kept open.
MAX_CONNECTIONS = 3
#: Share of the cloud's request rate that is used, and the burst in seconds of that rate.
RATE_SHARE = 0.8
BURST_SHARE = 1.6
#: Error text with which the cloud refuses a rental, as opposed to a failure of its own.
NO_CAPACITY = "no capacity"
#: Bytes of an unexpected body that are quoted in errors.
MAX_QUOTED_BYTES = 80


class CloudError(Exception):
    """The cloud gave no usable answer; a rental or release may or may not have happened."""


class CloudUnreachableError(CloudError):
    """The request failed on the way, or was not answered in time."""

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
    """The cloud's answer could not be decoded."""

    def __init__(self, problem: MessageFormatError) -> None:
        self.problem = problem
        super().__init__(f"unreadable answer: {problem}")


class NoCapacityError(Exception):
    """The cloud refused a rental: nothing was rented."""

    def __init__(self, request: RentalRequest) -> None:
        self.request = request
        super().__init__(f"no capacity for rental {request.request}")


class Cloud:
    """Rents, lists and releases machines; waits where the request rate is used up."""

    def __init__(self, address: str, rps: float, network: Network) -> None:
        """``rps``: requests a second that the cloud allows."""
        self._client = network.client(address, MAX_CONNECTIONS)
        self._budget = TokenBucket(rps * RATE_SHARE, rps * BURST_SHARE, monotonic())

    async def catalog(self) -> list[MachineType]:
        """Return the machine types that can be rented.

        Raises ``CloudError``.
        """
        status, body = await self._request("GET", "/catalog")
        return _decode_answer(Catalog, status, body).types

    async def rent(self, request: RentalRequest) -> list[str]:
        """Rent machines and return their names, at most as many as asked for.

        May be repeated: the cloud tells by the request's name that it is the same rental.  Raises
        ``NoCapacityError`` if nothing was rented for certain, ``CloudError`` if that is unknown.
        """
        status, body = await self._request("POST", "/rentals", encode(request))
        refused = status == HTTPStatus.SERVICE_UNAVAILABLE and _error_text(body) == NO_CAPACITY
        if refused or status == HTTPStatus.BAD_REQUEST:
            raise NoCapacityError(request)
        return _decode_answer(MachineNames, status, body).machines

    async def release(self, names: list[str]) -> None:
        """Return machines; of more than ``MAX_RELEASES`` only the first.

        Raises ``CloudError`` if it is unknown whether they are gone.
        """
        status, body = await self._request(
            "POST", "/rentals/release", encode(MachineNames(names[:MAX_RELEASES]))
        )
        if status != HTTPStatus.OK:
            raise CloudStatusError(status, body)

    async def machines(self) -> list[ListedMachine]:
        """Return all rented machines as the cloud lists them, which lags by some seconds.

        Raises ``CloudError``.
        """
        listed: list[ListedMachine] = []
        last = ""
        while True:
            after = f"&after={quote(last)}" if last else ""
            status, body = await self._request("GET", f"/rentals?most={LIST_PAGE_SIZE}{after}")
            page = _decode_answer(MachineList, status, body)
            listed += page.machines
            if not page.more or not page.machines:
                return listed
            last = page.machines[-1].name

    async def _request(self, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """Send a request once the rate allows it; return status and body."""
        while (wait := self._budget.take(1, monotonic())) > ZERO:
            await sleep(wait)
        try:
            status, answer = await self._client.request(
                method, target, body, timeout=REQUEST_TIMEOUT, idempotent=True
            )
        except HttpError as problem:
            raise CloudUnreachableError(problem) from None
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self._budget.drain(monotonic())
        return status, answer


def _error_text(body: bytes) -> str:
    try:
        return decode(dict[str, str], body).get("error", "")
    except MessageFormatError:
        return ""


def _decode_answer(kind: type[T], status: int, body: bytes) -> T:
    if status != HTTPStatus.OK:
        raise CloudStatusError(status, body)
    try:
        return decode(kind, body)
    except MessageFormatError as problem:
        raise CloudResponseError(problem) from None
