"""What the version in production before pipelines understands: a small model of its reader.

It keeps nothing of the fields below, wherever it reads or writes them, and does not look at the
keys.  A controller behind this network is as good as the earlier one as far as data goes.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from micadeal.http.message import Answer, Request
from micadeal.wire.codec import decode, encode
from tests.fakes.network import FakeClient, FakeServer, Handler, HostNetwork

#: Fields that came with pipelines, and with controllers that stand in for a leader.
UNKNOWN_FIELDS = {"waits_on", "cascade_age_ms", "leading_token", "wants_consent", "wants_told"}
UNKNOWN_FIELDS |= {"word"}
#: Where the earlier version neither reads nor writes.
UNKNOWN_KEYS = ("finished/", "part/", "leaving/")


def forget(value: Any) -> Any:
    """A message or record after the earlier version has read it and written it again."""
    if isinstance(value, dict):
        return {k: forget(v) for k, v in value.items() if k not in UNKNOWN_FIELDS}
    if isinstance(value, list):
        return [forget(entry) for entry in value]
    return value


def _forget_bytes(body: bytes) -> bytes:
    return encode(forget(decode(Any, body))) if body else body


class EarlierNetwork(HostNetwork):
    def client(self, address: str, keep: int) -> FakeClient:
        return _Client(self._network, self._host, self._power, address)

    def server(self, address: tuple[str, int], handler: Handler, most: int) -> FakeServer:
        async def read_as_before(request: Request) -> Answer:
            body = _forget_bytes(request.body)
            found = await handler(Request(request.method, request.path, request.query, body))
            return Answer(found.status, _forget_bytes(found.body), found.retry_after)

        return super().server(address, read_as_before, most)


class _Client(FakeClient):
    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        repeatable: bool = True,
    ) -> tuple[int, bytes]:
        status, reply = await super().request(
            method, target, _forget_bytes(body), timeout=timeout, repeatable=repeatable
        )
        if any(f"starts={key}" in target for key in UNKNOWN_KEYS):
            return status, encode({"items": [], "has_next": False, "ledger": 0})
        return status, _forget_bytes(reply)
