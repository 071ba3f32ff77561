"""Client of the cloud, within its rate."""

from __future__ import annotations

from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

from micadeal.clock import ZERO, monotonic, seconds
from micadeal.http.message import HttpError
from micadeal.http.network import Network
from micadeal.state.budget import Budget
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

REQUEST_TIME = seconds(5)
#: The list lags by more than this anyway.
LIST_EVERY = timedelta(seconds=3)
PAGE = 500
MOST_RELEASES = 100


class CloudError(Exception):
    """No usable answer; a rental or release may or may not have happened."""


class NoCapacityError(Exception):
    """Refused: nothing was rented."""


class Cloud:
    def __init__(self, address: str, rps: float, network: Network) -> None:
        self._client = network.client(address, 3)
        self._budget = Budget(rps * 0.8, rps * 1.6, monotonic())

    async def _request(
        self, method: str, target: str, body: bytes = b"", *, repeatable: bool = True
    ) -> tuple[int, bytes]:
        while (wait := self._budget.take(1, monotonic())) > ZERO:
            await sleep(wait)
        try:
            status, answer = await self._client.request(
                method, target, body, timeout=REQUEST_TIME, repeatable=repeatable
            )
        except HttpError as problem:
            raise CloudError(str(problem)) from None
        if status == 429:
            self._budget.drain(monotonic())
        return status, answer

    async def catalog(self) -> list[MachineType]:
        status, body = await self._request("GET", "/catalog")
        return _read(Catalog, status, body).types

    async def rent(self, request: RentalRequest) -> list[str]:
        """Names of the machines rented.  May be repeated: the name decides."""
        status, body = await self._request("POST", "/rentals", encode(request))
        if status == 503:
            try:
                text = decode(dict[str, str], body).get("error", "")
            except MessageFormatError:
                text = ""
            if text == "no capacity":
                raise NoCapacityError
        if status == 400:
            raise NoCapacityError
        return _read(MachineNames, status, body).machines

    async def release(self, names: list[str]) -> None:
        status, body = await self._request(
            "POST", "/rentals/release", encode(MachineNames(names[:MOST_RELEASES]))
        )
        if status != 200:
            raise CloudError(f"status {status}: {body[:80]!r}")

    async def machines(self) -> list[ListedMachine]:
        found: list[ListedMachine] = []
        after = ""
        while True:
            target = f"/rentals?most={PAGE}" + (f"&after={quote(after)}" if after else "")
            status, body = await self._request("GET", target)
            page = _read(MachineList, status, body)
            found += page.machines
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name


def _read(kind: type[T], status: int, body: bytes) -> T:
    if status != 200:
        raise CloudError(f"status {status}: {body[:80]!r}")
    try:
        return decode(kind, body)
    except MessageFormatError as problem:
        raise CloudError(f"unreadable answer: {problem}") from None
