"""The state service, from the protocol: transactions, leases, watches, limits, outages."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qsl, unquote

import curio

from micadeal.clock import monotonic
from micadeal.http.message import Answer, Request, answer, error
from micadeal.wire.codec import decode

ADDRESS = "10.2.0.1:2379"
HOST = "state"


class FakeState:
    def __init__(self, txn_ops: int = 16, value_bytes: int = 8192) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.outage = False
        self._events: list[tuple[int, str, Any, bool]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 0
        self._changed = curio.Event()
        #: Present limits; a story may lower them.
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
        self.too_many = 0
        self.changes = 0
        self._bucket = (0.0, 0.0)
        #: How long a transaction that records a cancellation is under way.
        self.cancel_delay = 0.0

    async def run(self) -> None:
        """Ends leases; during an outage time stands still for them."""
        while True:
            await curio.sleep(0.05)
            now = monotonic().total_seconds()
            for lease, (ttl, ends) in list(self._leases.items()):
                if self.outage:
                    self._leases[lease] = (ttl, now + ttl)
                elif now > ends + 0.05:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.keys[key]
                self._events.append((self.revision, key, None, True))
            await self._wake()

    async def _wake(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def handle(self, request: Request) -> Answer:
        if request.path == "/changes":
            return await self._watch(request)
        self.requests += 1
        if self.outage:
            return error(503, "trouble")
        if request.path == "/txn":
            return await self._txn(decode(dict, request.body))
        if request.path.startswith("/keys/"):
            return self._get(unquote(request.path.removeprefix("/keys/")))
        if request.path == "/keys":
            return self._range(request)
        return await self._lease(request)

    def _get(self, key: str) -> Answer:
        if key not in self.keys:
            return answer(404, {"ledger": self.revision})
        data, stamp, lease = self.keys[key]
        return answer(200, {"k": key, "data": data, "stamp": stamp, "permit": lease})

    def _range(self, request: Request) -> Answer:
        parameters = dict(parse_qsl(request.query))
        prefix, after = parameters["starts"], parameters.get("after", "")
        most = int(parameters.get("most", "200"))
        keys = [k for k in sorted(self.keys) if k.startswith(prefix) and k > after]
        items = [{"k": k, "data": self.keys[k][0], "stamp": self.keys[k][1]} for k in keys[:most]]
        return answer(200, {"items": items, "has_next": len(keys) > most, "ledger": self.revision})

    async def _txn(self, txn: dict[str, Any]) -> Answer:
        changes = txn["then"]
        if self.cancel_delay and any(
            c.get("put", "").startswith("end/") and c["data"]["status"] == "cancelled"
            for c in changes
        ):
            await curio.sleep(self.cancel_delay)
        if self._exceeds(len(changes)):
            return error(429, "too many changes")
        values = [c["data"] for c in changes if "put" in c]
        if (
            len(changes) > self.txn_ops
            or len(txn["if"]) > 4 * self.txn_ops
            or any(len(json.dumps(value)) > self.value_bytes for value in values)
        ):
            self.refused += 1
            return error(400, "too large")
        self.largest_txn = max(self.largest_txn, len(changes))
        failed = [
            c["k"]
            for c in txn["if"]
            if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]
        ]
        if failed:
            return answer(409, {"failed": failed, "ledger": self.revision})
        for change in changes:
            lease = change.get("permit")
            if lease is not None and lease not in self._leases:
                return error(400, "no such lease")
        if changes:
            self.revision += 1
            for change in changes:
                if "put" in change:
                    entry = (change["data"], self.revision, change.get("permit"))
                    self.keys[change["put"]] = entry
                    self._events.append((self.revision, change["put"], change["data"], False))
                elif self.keys.pop(change["drop"], None) is not None:
                    self._events.append((self.revision, change["drop"], None, True))
            await self._wake()
        return answer(200, {"ledger": self.revision})

    def _exceeds(self, changes: int) -> bool:
        """Whether so many changes are more than the rate allows now."""
        self.changes += changes
        if self.changes_per_s is None or not changes:
            return False
        left, at = self._bucket
        now = monotonic().total_seconds()
        left = min(self.changes_per_s, left + (now - at) * self.changes_per_s) - changes
        if left < 0:
            self.too_many += 1
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
                news = [
                    {"drop": k, "stamp": r} if gone else {"put": k, "data": data, "stamp": r}
                    for r, k, data, gone in self._events
                    if r > after and k.startswith(prefix)
                ]
                rest = until - monotonic().total_seconds()
                if news or rest <= 0:
                    return answer(200, {"ledger": self.revision, "news": news})
            else:
                rest = 1.0
            async with curio.ignore_after(min(max(rest, 0.001), 0.5)):
                await self._changed.wait()
