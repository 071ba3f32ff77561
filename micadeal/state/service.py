"""Client of the state service: reads, transactions, leases and watches."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from datetime import timedelta
from enum import IntEnum
from typing import TypeVar
from urllib.parse import quote

from micadeal.clock import ZERO, monotonic, seconds
from micadeal.http.message import HttpError
from micadeal.http.network import AnyClient, Network
from micadeal.state.budget import Budget
from micadeal.state.limits import Limits
from micadeal.timeouts import sleep
from micadeal.wire.codec import MessageFormatError, decode, encode
from micadeal.wire.state import (
    Condition,
    Drop,
    Failed,
    Item,
    LeaseAnswer,
    LeaseRequest,
    Page,
    Put,
    Revision,
    Transaction,
    WatchResponse,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

REQUEST_TIME = timedelta(seconds=2)
#: How long a user's request may wait for room in our share of the rate limits.
USER_PATIENCE = timedelta(milliseconds=300)
#: After a silence of this length the service can't be reached from here.
SILENCE = timedelta(seconds=2.5)
PAGE = 500


class StateServiceError(Exception):
    """The state service gave no usable answer; a change may or may not have happened."""


class UnavailableError(StateServiceError):
    """The request was certainly not executed (503 or 429)."""


class ConflictError(Exception):
    """A transaction's conditions did not hold."""


class LeaseExpiredError(Exception):
    """The lease has run out."""


class RequestRejectedError(StateServiceError):
    """400: certainly not executed.  A value or the transaction is too large for the service's
    present limits, which may be lower than at the last write."""


class RevisionCompactedError(Exception):
    """The watch's revision is no longer kept: read the keys again."""


class Urgency(IntEnum):
    """Order under pressure: what is less urgent leaves a larger reserve in the budget."""

    LEASE = 0
    USER = 1
    #: Ends of jobs: users ask for them, and other jobs wait for them.
    END = 2
    PLACEMENT = 3
    REST = 4


class StateService:
    """One controller's access to the state service.

    The controllers can't see each other's use of the common limits.  Each takes what it needs up
    to a large part of them, leaves a reserve for what is more urgent, and starts from an empty
    bucket after a 429.
    """

    def __init__(self, address: str, present: Limits, limits: Limits, network: Network) -> None:
        """``limits`` are those kept to; what fits into ``present`` alone may be tried."""
        now = monotonic()
        self.limits = limits
        self.present = present
        self._network = network
        self._client = network.client(address, 6)
        self._address = address
        self._requests = Budget(limits.requests_per_s * 0.6, limits.requests_per_s * 0.6, now)
        self._changes = Budget(limits.changes_per_s * 0.8, limits.changes_per_s * 0.8, now)
        self._answered: timedelta | None = None

    @property
    def answered(self) -> timedelta | None:
        """When the service last answered anything; None: never."""
        return self._answered

    async def _pay(self, changes: int, urgency: Urgency, deadline: timedelta) -> None:
        for budget, units in ((self._requests, 1), (self._changes, changes)):
            if not units or urgency is Urgency.LEASE:
                continue
            while True:
                reserve = budget.burst * 0.08 * urgency
                wait = budget.take(units, monotonic(), reserve)
                if wait == ZERO:
                    break
                if monotonic() + wait > deadline:
                    raise UnavailableError("rate limit of our own")
                await sleep(wait)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        urgency: Urgency,
        changes: int = 0,
        timeout: timedelta = REQUEST_TIME,
        client: AnyClient | None = None,
        spare: timedelta = ZERO,
    ) -> tuple[int, bytes]:
        # A user is told at once when to come back instead of being held.
        patience = USER_PATIENCE if urgency is Urgency.USER else timeout
        if urgency is Urgency.USER and self._silent():
            timeout = min(timeout, USER_PATIENCE)
        await self._pay(changes, urgency, monotonic() + patience)
        try:
            status, answer = await (client or self._client).request(
                method, target, body, timeout=timeout + spare, repeatable=method == "GET"
            )
        except HttpError as problem:
            raise StateServiceError(str(problem)) from None
        if status == 429:
            now = monotonic()
            self._requests.drain(now)
            self._changes.drain(now)
            raise UnavailableError("429")
        if status == 503:
            raise UnavailableError("503")
        if status >= 500:
            raise StateServiceError(f"status {status}")
        self._answered = monotonic()
        return status, answer

    def _silent(self) -> bool:
        """Nothing was answered for longer than the watches hold: users had better go elsewhere."""
        return self._answered is not None and monotonic() - self._answered > SILENCE

    async def get(self, key: str, urgency: Urgency = Urgency.USER) -> Item | None:
        status, body = await self._request("GET", f"/keys/{quote(key)}", urgency=urgency)
        if status == 404:
            return None
        return self._read(Item, status, body)

    async def range(self, prefix: str, urgency: Urgency = Urgency.USER) -> tuple[list[Item], int]:
        """All items under ``prefix``, and a revision from which a watch misses nothing."""
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            target = f"/keys?starts={quote(prefix)}&most={PAGE}"
            if after:
                target += f"&after={quote(after)}"
            status, body = await self._request("GET", target, urgency=urgency)
            page = self._read(Page, status, body)
            # The first page's revision: what changes while later pages are read is seen again.
            revision = page.revision if revision is None else revision
            items += page.items
            if not page.more or not page.items:
                return items, revision
            after = page.items[-1].key

    async def commit(
        self,
        conditions: Sequence[Condition],
        changes: Sequence[Put | Drop],
        urgency: Urgency,
        timeout: timedelta = REQUEST_TIME,
    ) -> int:
        """The revision of the changes; ``ConflictError`` if a condition did not hold."""
        body = encode(Transaction(list(conditions), list(changes)))
        status, answer = await self._request(
            "POST", "/txn", body, urgency=urgency, changes=len(changes), timeout=timeout
        )
        if status == 409:
            raise ConflictError
        if status == 400:
            # The same status for a lease that is gone and for what is too large.
            if b"no such lease" in answer:
                raise LeaseExpiredError
            raise RequestRejectedError(answer.decode(errors="replace")[:200])
        return self._read(Revision, status, answer).revision

    async def changed(self, conditions: Sequence[Condition], urgency: Urgency) -> set[str]:
        """Of these keys, those that are not at the version given, by one read of all of them."""
        body = encode(Transaction(list(conditions), []))
        status, answer = await self._request("POST", "/txn", body, urgency=urgency)
        if status == 409:
            return set(self._read(Failed, 200, answer).failed)
        if status == 400:
            raise RequestRejectedError(answer.decode(errors="replace")[:200])
        self._read(Revision, status, answer)
        return set()

    async def new_lease(self, ttl: timedelta) -> int:
        body = encode(LeaseRequest(round(ttl.total_seconds() * 1000)))
        status, answer = await self._request("POST", "/leases", body, urgency=Urgency.LEASE)
        return self._read(LeaseAnswer, status, answer).lease

    async def renew(self, lease: int, timeout: timedelta) -> None:
        status, _ = await self._request(
            "POST", f"/leases/{lease}/renew", urgency=Urgency.LEASE, timeout=timeout
        )
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise StateServiceError(f"status {status}")

    async def end_lease(self, lease: int) -> None:
        await self._request("DELETE", f"/leases/{lease}", urgency=Urgency.LEASE)

    async def changes(
        self, prefix: str, after: int, hold: timedelta, client: AnyClient
    ) -> WatchResponse:
        """What changed under ``prefix``; waits up to ``hold``.  ``client`` is the watch's own."""
        milliseconds = round(hold.total_seconds() * 1000)
        target = f"/changes?starts={quote(prefix)}&after={after}&hold_ms={milliseconds}"
        status, body = await self._request(
            "GET", target, urgency=Urgency.LEASE, client=client, spare=hold
        )
        if status == 410:
            raise RevisionCompactedError
        return self._read(WatchResponse, status, body)

    def watch_client(self) -> AnyClient:
        return self._network.client(self._address, 1)

    @staticmethod
    def _read(kind: type[T], status: int, body: bytes) -> T:
        if status != 200:
            raise StateServiceError(f"status {status}")
        try:
            return decode(kind, body)
        except MessageFormatError as problem:
            raise StateServiceError(f"unreadable answer: {problem}") from None


def lease_end(sent: timedelta, ttl: timedelta, margin: timedelta = seconds(0.3)) -> timedelta:
    """Until when a lease certainly holds, by our own clock, if renewed by a request sent then."""
    return sent + ttl * 0.999 - margin
