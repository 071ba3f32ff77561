"""The state service in memory: transactions, leases, watches, limits, outages."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import curio

from micadeal.clock import monotonic
from micadeal.http.message import Answer, Request, answer, error
from micadeal.wire.codec import decode

ADDRESS = "10.2.0.1:2379"
HOST = "state"

LEASE_CHECK_INTERVAL_S = 0.05
#: A lease ends this much late.
LEASE_LATENESS_S = 0.05
#: A watch looks at least this often whether an outage has ended.
WATCH_CHECK_INTERVAL_S = 0.5
CONDITIONS_PER_OPERATION = 4


class _Change(NamedTuple):
    revision: int
    key: str
    data: Any
    deleted: bool


class FakeState:
    """One state service; the tests read and set its public attributes."""

    def __init__(self, txn_ops: int = 16, value_bytes: int = 8192) -> None:
        #: Value, version and lease of each key.
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.outage = False
        self._history: list[_Change] = []
        #: Duration and end of each lease.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 0
        self._changed = curio.Event()
        #: Present limits, which a test may lower.
        self.txn_ops = txn_ops
        self.value_bytes = value_bytes
        #: Requests, watches aside.
        self.requests = 0
        #: Transactions refused for their size.
        self.refused = 0
        self.largest_txn = 0
        #: Changes a second that it takes, with a burst of a second's worth; None: any number.
        self.changes_per_s: float | None = None
        #: Requests refused since there were more, and all changes.
        self.rate_limited = 0
        self.changes = 0
        #: Changes left, and when they were counted.
        self._bucket = (0.0, 0.0)
        #: How many seconds a transaction that records a cancellation takes.
        self.cancel_delay = 0.0

    async def run(self) -> None:
        """End leases; during an outage time stands still for them."""
        while True:
            await curio.sleep(LEASE_CHECK_INTERVAL_S)
            now = monotonic().total_seconds()
            for lease, (ttl, ends) in list(self._leases.items()):
                if self.outage:
                    self._leases[lease] = (ttl, now + ttl)
                elif now > ends + LEASE_LATENESS_S:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        attached = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if attached:
            self.revision += 1
            for key in attached:
                del self.keys[key]
                self._history.append(_Change(self.revision, key, None, deleted=True))
            await self._wake_watches()

    async def _wake_watches(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def handle(self, request: Request) -> Answer:
        """Answer a request."""
        if request.path == "/changes":
            return await self._watch(request)
        self.requests += 1
        if self.outage:
            return error(503, "trouble")
        if request.path == "/txn":
            return await self._transact(decode(dict, request.body))
        if request.path.startswith("/keys/"):
            return self._get(unquote(request.path.removeprefix("/keys/")))
        if request.path == "/keys":
            return self._range(request)
        return await self._lease(request)

    def _get(self, key: str) -> Answer:
        if key not in self.keys:
            return answer(404, {"ledger": self.revision})
        data, version, lease = self.keys[key]
        return answer(200, {"k": key, "data": data, "stamp": version, "permit": lease})

    def _range(self, request: Request) -> Answer:
        parameters = dict(parse_qsl(request.query))
        prefix, after = parameters["starts"], parameters.get("after", "")
        most = int(parameters.get("most", "200"))
        keys = [key for key in sorted(self.keys) if key.startswith(prefix) and key > after]
        items = [
            {"k": key, "data": self.keys[key][0], "stamp": self.keys[key][1]} for key in keys[:most]
        ]
        return answer(200, {"items": items, "has_next": len(keys) > most, "ledger": self.revision})

    async def _transact(self, transaction: dict[str, Any]) -> Answer:
        conditions, changes = transaction["if"], transaction["then"]
        if self.cancel_delay and any(map(_records_cancellation, changes)):
            await curio.sleep(self.cancel_delay)
        if self._exceeds_rate(len(changes)):
            return error(429, "too many changes")
        if self._exceeds_size(conditions, changes):
            self.refused += 1
            return error(400, "too large")
        self.largest_txn = max(self.largest_txn, len(changes))
        failed = [c["k"] for c in conditions if self._version(c["k"]) != c["stamp"]]
        if failed:
            return answer(409, {"failed": failed, "ledger": self.revision})
        leases = {change.get("permit") for change in changes} - {None}
        if not leases <= self._leases.keys():
            return error(400, "no such lease")
        if changes:
            await self._apply(changes)
        return answer(200, {"ledger": self.revision})

    def _version(self, key: str) -> int:
        return self.keys[key][1] if key in self.keys else 0

    def _exceeds_size(self, conditions: list[Any], changes: list[dict[str, Any]]) -> bool:
        values = [change["data"] for change in changes if "put" in change]
        return (
            len(changes) > self.txn_ops
            or len(conditions) > CONDITIONS_PER_OPERATION * self.txn_ops
            or any(len(json.dumps(value)) > self.value_bytes for value in values)
        )

    async def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            if "put" in change:
                key, data = change["put"], change["data"]
                self.keys[key] = (data, self.revision, change.get("permit"))
                self._history.append(_Change(self.revision, key, data, deleted=False))
            elif self.keys.pop(change["drop"], None) is not None:
                self._history.append(_Change(self.revision, change["drop"], None, deleted=True))
        await self._wake_watches()

    def _exceeds_rate(self, changes: int) -> bool:
        """Count changes; return whether so many are more than the rate allows now."""
        self.changes += changes
        if self.changes_per_s is None or not changes:
            return False
        left, at = self._bucket
        now = monotonic().total_seconds()
        left = min(self.changes_per_s, left + (now - at) * self.changes_per_s) - changes
        if left < 0:
            self.rate_limited += 1
            return True
        self._bucket = (left, now)
        return False

    async def _lease(self, request: Request) -> Answer:
        now = monotonic().total_seconds()
        if request.path == "/leases":
            ttl = decode(dict, request.body)["ttl_ms"] / 1000
            self._next_lease += 1
            self._leases[self._next_lease] = (ttl, now + ttl)
            return answer(200, {"permit": self._next_lease})
        lease = int(request.path.split("/")[2])
        if lease not in self._leases:
            return answer(404, {})
        if request.method == "DELETE":
            await self._end_lease(lease)
        else:
            ttl = self._leases[lease][0]
            self._leases[lease] = (ttl, now + ttl)
        return answer(200, {})

    async def _watch(self, request: Request) -> Answer:
        parameters = dict(parse_qsl(request.query))
        prefix, after = parameters["starts"], int(parameters["after"])
        until = monotonic().total_seconds() + int(parameters.get("hold_ms", "0")) / 1000
        while True:
            if not self.outage:
                events = self._events_after(after, prefix)
                rest = until - monotonic().total_seconds()
                if events or rest <= 0:
                    return answer(200, {"ledger": self.revision, "news": events})
            else:
                # Open watches stay open during an outage.
                rest = 1.0
            async with curio.ignore_after(min(max(rest, 0.001), WATCH_CHECK_INTERVAL_S)):
                await self._changed.wait()

    def _events_after(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        return [
            {"drop": change.key, "stamp": change.revision}
            if change.deleted
            else {"put": change.key, "data": change.data, "stamp": change.revision}
            for change in self._history
            if change.revision > revision and change.key.startswith(prefix)
        ]


def _records_cancellation(change: dict[str, Any]) -> bool:
    key: str = change.get("put", "")
    return key.startswith("end/") and change["data"]["status"] == "cancelled"
