"""Client of the state service: reads, compare-and-swap transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

from micadeal.clock import monotonic, seconds
from micadeal.http.message import ClientResponse, HttpError
from micadeal.http.network import HttpClient, Network
from micadeal.state.errors import (
    ConflictError,
    LeaseExpiredError,
    RequestRejectedError,
    RevisionCompactedError,
    StateServiceError,
    UnavailableError,
)
from micadeal.state.limits import Limits
from micadeal.state.rate_limiter import RateLimiter, Urgency
from micadeal.wire.codec import MessageFormatError, decode, encode
from micadeal.wire.state import (
    Condition,
    Delete,
    FailedConditions,
    Item,
    LeaseGrant,
    LeaseRequest,
    Page,
    Put,
    Revision,
    Transaction,
    WatchResponse,
)

__all__ = [
    "ConflictError",
    "LeaseExpiredError",
    "RequestRejectedError",
    "RevisionCompactedError",
    "StateService",
    "StateServiceError",
    "UnavailableError",
    "Urgency",
    "lease_valid_until",
]

T = TypeVar("T")

REQUEST_TIMEOUT = timedelta(seconds=2)
#: How long a user's request may wait for this controller's share of the rate limits.
USER_TIMEOUT = timedelta(milliseconds=300)
#: The service counts as unreachable after this time without an answer.  It is longer than a watch
#: waits, so that a reachable service answers within it even if there are no other requests.
UNREACHABLE_AFTER = timedelta(seconds=2.5)
#: Items per page of a range read.
PAGE_SIZE = 500
#: Idle connections kept open for ordinary requests.
MAX_IDLE_CONNECTIONS = 6
#: Length to which a rejection's text is cut in the error.
MAX_REASON_CHARACTERS = 200
#: Fraction of a lease's time that its holder may rely on by its own clock.  The rest allows for
#: drift against the service's clock: twice the drift of one clock, rounded up.
LEASE_DRIFT_FACTOR = 0.999
#: Subtracted from the end of a lease, for delays in this process.
LEASE_MARGIN = seconds(0.3)


class StateService:
    """One controller's access to the state service, a strongly consistent key-value store.

    Every key has a version, the revision of its last change (0: the key does not exist).  Writes
    are transactions that compare versions and swap values atomically.  Keys may be attached to a
    lease, whose expiry removes them.

    Every method raises ``UnavailableError`` if the request was certainly not executed, and
    ``StateServiceError`` if that is unknown: a transaction without an answer may have been applied,
    or may still be applied later.
    """

    def __init__(
        self, address: str, current_limits: Limits, limits: Limits, network: Network
    ) -> None:
        """Prepare access; nothing is sent yet.

        Writes keep within ``limits``, the lower of the service's current and announced limits.
        ``current_limits`` may be higher: a value that fits only these may still be tried.
        """
        self.limits = limits
        self.current_limits = current_limits
        self._network = network
        self._client = network.client(address, MAX_IDLE_CONNECTIONS)
        self._address = address
        self._rate_limiter = RateLimiter(limits, monotonic())
        self._last_response_at: timedelta | None = None

    @property
    def last_response_at(self) -> timedelta | None:
        """Time of the last response except 429 and 5xx (``monotonic()``); None: none yet."""
        return self._last_response_at

    async def get(self, key: str, urgency: Urgency = Urgency.USER) -> Item | None:
        """Read one key; None if it does not exist."""
        response = await self._request("GET", f"/keys/{quote(key)}", urgency=urgency)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_ok(Item, response)

    async def range(self, prefix: str, urgency: Urgency = Urgency.USER) -> tuple[list[Item], int]:
        """Read all keys under ``prefix``, in order of keys, and a revision to watch from.

        A watch that begins after the returned revision misses no change.  It may repeat changes
        that the returned items already reflect.
        """
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            target = f"/keys?starts={quote(prefix)}&most={PAGE_SIZE}"
            if after:
                target += f"&after={quote(after)}"
            page = _decode_ok(Page, await self._request("GET", target, urgency=urgency))
            # The first page's revision: a watch repeats changes made while later pages are read.
            revision = page.revision if revision is None else revision
            items += page.items
            if not page.more or not page.items:
                return items, revision
            after = page.items[-1].key

    async def commit(
        self,
        conditions: Sequence[Condition],
        changes: Sequence[Put | Delete],
        urgency: Urgency,
        timeout: timedelta = REQUEST_TIMEOUT,
    ) -> int:
        """Make all changes if all conditions hold, atomically, and return their revision.

        Raises ``ConflictError`` if a condition did not hold, ``LeaseExpiredError`` if a put names a
        lease that no longer exists, ``RequestRejectedError`` if the transaction is too large.
        Nothing was changed in these cases.
        """
        body = encode(Transaction(list(conditions), list(changes)))
        response = await self._request(
            "POST", "/txn", body, urgency=urgency, changes=len(changes), timeout=timeout
        )
        if response.status == HTTPStatus.CONFLICT:
            raise ConflictError(_failed_keys(response.body))
        # The service also answers 400 to a transaction that is too large.
        if response.status == HTTPStatus.BAD_REQUEST and b"no such lease" in response.body:
            raise LeaseExpiredError(_common_lease(changes))
        _raise_if_rejected(response)
        return _decode_ok(Revision, response).revision

    async def changed_keys(self, conditions: Sequence[Condition], urgency: Urgency) -> set[str]:
        """Return the keys whose version differs from their condition's, by one read of all keys."""
        body = encode(Transaction(list(conditions), []))
        response = await self._request("POST", "/txn", body, urgency=urgency)
        if response.status == HTTPStatus.CONFLICT:
            return set(_decode(FailedConditions, response.body).failed)
        _raise_if_rejected(response)
        _decode_ok(Revision, response)
        return set()

    async def grant_lease(self, ttl: timedelta) -> int:
        """Obtain a lease that expires ``ttl`` after its last renewal, and return its id."""
        body = encode(LeaseRequest(round(ttl.total_seconds() * 1000)))
        response = await self._request("POST", "/leases", body, urgency=Urgency.LEASE)
        return _decode_ok(LeaseGrant, response).lease

    async def renew_lease(self, lease: int, timeout: timedelta) -> None:
        """Renew a lease for its full time; ``LeaseExpiredError`` if it no longer exists.

        The service counts the time from when it executes the request.  The caller must count it
        from before this call (``lease_valid_until``).
        """
        response = await self._request(
            "POST", f"/leases/{lease}/renew", urgency=Urgency.LEASE, timeout=timeout
        )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError(lease)
        if response.status != HTTPStatus.OK:
            raise _unexpected(response.status)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes the keys attached to it; no error if it is gone."""
        await self._request("DELETE", f"/leases/{lease}", urgency=Urgency.LEASE)

    async def wait_for_changes(
        self, prefix: str, after: int, max_wait: timedelta, client: HttpClient
    ) -> WatchResponse:
        """Wait up to ``max_wait`` for changes under ``prefix`` after a revision, and return them.

        ``client`` is used by this watch only (``watch_client``), since the request occupies a
        connection for that long.  Raises ``RevisionCompactedError`` if the service no longer keeps
        the changes after that revision.
        """
        hold_ms = round(max_wait.total_seconds() * 1000)
        target = f"/changes?starts={quote(prefix)}&after={after}&hold_ms={hold_ms}"
        response = await self._request(
            "GET", target, urgency=Urgency.LEASE, timeout=REQUEST_TIMEOUT + max_wait, client=client
        )
        if response.status == HTTPStatus.GONE:
            raise RevisionCompactedError(prefix, after)
        return _decode_ok(WatchResponse, response)

    def watch_client(self) -> HttpClient:
        """Return a client with a connection of its own, for one watch."""
        return self._network.client(self._address, 1)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        urgency: Urgency,
        changes: int = 0,
        timeout: timedelta = REQUEST_TIMEOUT,
        client: HttpClient | None = None,
    ) -> ClientResponse:
        """Send one request within the rate limits.

        Raises ``UnavailableError`` or ``StateServiceError`` for 429 and 5xx, which say nothing
        about the keys; returns all other responses.
        """
        rate_limit_timeout = timeout
        if urgency is Urgency.USER:
            # A user's request is refused soon, with a time to retry after, instead of waiting.
            rate_limit_timeout = USER_TIMEOUT
            if self._unreachable():
                timeout = min(timeout, USER_TIMEOUT)
        await self._rate_limiter.acquire(changes, urgency, monotonic() + rate_limit_timeout)
        try:
            status, answer = await (client or self._client).request(
                method, target, body, timeout=timeout, idempotent=method == "GET"
            )
        except HttpError as error:
            raise StateServiceError(str(error)) from None
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self._rate_limiter.drain()
            raise UnavailableError("429", status)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise UnavailableError("503", status)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise _unexpected(status)
        self._last_response_at = monotonic()
        return ClientResponse(status, answer)

    def _unreachable(self) -> bool:
        """Return whether the service is unreachable, so that users should ask another controller.

        False until the service has answered once: only the first requests can tell.
        """
        return (
            self._last_response_at is not None
            and monotonic() - self._last_response_at > UNREACHABLE_AFTER
        )


def lease_valid_until(
    sent: timedelta, ttl: timedelta, margin: timedelta = LEASE_MARGIN
) -> timedelta:
    """Return the monotonic time until which a lease certainly holds.

    ``sent`` is the time at which the request that created or renewed it was sent.
    """
    return sent + ttl * LEASE_DRIFT_FACTOR - margin


def _raise_if_rejected(response: ClientResponse) -> None:
    if response.status == HTTPStatus.BAD_REQUEST:
        reason = response.body.decode(errors="replace")[:MAX_REASON_CHARACTERS]
        raise RequestRejectedError(reason, response.status)


def _decode_ok(kind: type[T], response: ClientResponse) -> T:
    """Decode the body of a 200; every other status is an error."""
    if response.status != HTTPStatus.OK:
        raise _unexpected(response.status)
    return _decode(kind, response.body)


def _decode(kind: type[T], body: bytes) -> T:
    try:
        return decode(kind, body)
    except MessageFormatError as error:
        raise StateServiceError(f"unreadable answer: {error}") from None


def _unexpected(status: int) -> StateServiceError:
    return StateServiceError(f"status {status}", status)


def _failed_keys(body: bytes) -> Sequence[str]:
    """Return the keys that a 409 names; empty if it can't be read, as a conflict is certain."""
    try:
        return decode(FailedConditions, body).failed
    except MessageFormatError:
        return ()


def _common_lease(changes: Sequence[Put | Delete]) -> int | None:
    """Return the lease to which the puts are attached; None if there are several."""
    leases = {change.lease for change in changes if isinstance(change, Put)} - {None}
    return leases.pop() if len(leases) == 1 else None
