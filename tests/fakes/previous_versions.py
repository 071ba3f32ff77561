"""Previous versions of the controller: the data that they know, and their election.

The networks below drop the fields that a previous version does not know from all that a controller
reads or writes, and hide the keys that it does not read.  A controller behind such a network
therefore handles data like the previous version.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from micadeal.clock import monotonic, seconds
from micadeal.controller.controller import Controller
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.http.message import Answer, Request
from micadeal.leadership.election import (
    Elected,
    ElectionListener,
    LeaderLeaseRenewed,
    LeaderObserved,
    LeadershipLost,
)
from micadeal.leadership.term import Term
from micadeal.rollout.feature_level import Build
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.state.service import (
    ConflictError,
    LeaseExpiredError,
    StateService,
    StateServiceError,
    Urgency,
    lease_valid_until,
)
from micadeal.timeouts import sleep
from micadeal.wire.codec import decode, encode
from micadeal.wire.state import Condition, Put
from tests.fakes.network import FakeClient, FakeServer, Handler, HostNetwork

#: Fields introduced with dependent jobs.
DEPENDENCY_FIELDS = {"waits_on", "cascade_age_ms"}
#: Fields introduced with lease renewal by followers.
RENEWAL_FIELDS = {"leading_token", "wants_consent", "wants_told", "word"}
#: Fields introduced with feature levels and later.
LEVEL_FIELDS = {"process", "level", "term", "highest_level", "reading", "all_started"}
ALL_FIELDS = DEPENDENCY_FIELDS | RENEWAL_FIELDS | LEVEL_FIELDS
#: Prefixes of keys that versions before dependent jobs neither read nor write.
UNKNOWN_KEYS = ("finished/", "part/", "leaving/")


def drop_fields(value: Any, fields: set[str] = ALL_FIELDS) -> Any:
    """Return a message or record after a previous version has decoded and encoded it."""
    if isinstance(value, dict):
        return {k: drop_fields(v, fields) for k, v in value.items() if k not in fields}
    if isinstance(value, list):
        return [drop_fields(entry, fields) for entry in value]
    return value


class NetworkBeforeDependencies(HostNetwork):
    """The network as used by commit 52e15ab, the last version before dependent jobs."""

    unknown_fields = ALL_FIELDS
    unknown_keys: tuple[str, ...] = UNKNOWN_KEYS

    def client(self, address: str, max_idle: int) -> FakeClient:
        """Return a client that drops unknown fields in both directions."""
        client = _Client(self._network, self._host, self._process, address)
        client.version = self
        return client

    def drop_unknown_fields(self, body: bytes) -> bytes:
        """Return a body without the fields that the version does not know."""
        return encode(drop_fields(decode(Any, body), self.unknown_fields)) if body else body

    def server(
        self, address: tuple[str, int], handler: Handler, max_connections: int
    ) -> FakeServer:
        """Return a server that drops unknown fields in both directions."""

        async def handle(request: Request) -> Answer:
            body = self.drop_unknown_fields(request.body)
            answer = await handler(Request(request.method, request.path, request.query, body))
            return Answer(answer.status, self.drop_unknown_fields(answer.body), answer.retry_after)

        return super().server(address, handle, max_connections)


class NetworkBeforeLevels(NetworkBeforeDependencies):
    """The network as used by the last version before feature levels."""

    unknown_fields = LEVEL_FIELDS
    unknown_keys = ()


class _Client(FakeClient):
    version: NetworkBeforeDependencies

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: timedelta,
        idempotent: bool = True,
    ) -> tuple[int, bytes]:
        status, reply = await super().request(
            method,
            target,
            self.version.drop_unknown_fields(body),
            timeout=timeout,
            idempotent=idempotent,
        )
        if any(f"starts={key}" in target for key in self.version.unknown_keys):
            return status, encode({"items": [], "has_next": False, "ledger": 0})
        return status, self.version.drop_unknown_fields(reply)


class _NoLevels(FeatureLevels):
    """Feature levels of a process that does not know them: it serves at any level."""

    renews_leases = False

    def seen(self, leader_lock: LeaderLock) -> None:
        pass

    @property
    def refusal(self) -> str | None:
        return None

    @property
    def effective_level(self) -> int:
        return int(self.renews_leases)


class ElectionBeforeLevels:
    """The election of versions before levels: a key ``leader``, attached to the leader's lease."""

    def __init__(self, name: str, state: StateService, listener: ElectionListener) -> None:
        self._name, self._state, self._listener = name, state, listener
        self._resigned = False
        self._watch = state.watch_client()

    def resign(self, reason: str = "") -> None:
        """Give up leadership."""
        self._resigned = True

    async def run(self) -> None:
        """Take part in elections until cancelled."""
        while True:
            try:
                await self._run_round()
            except (StateServiceError, LeaseExpiredError, ConflictError):
                await sleep(seconds(0.3))

    async def _run_round(self) -> None:
        item = await self._state.get("leader", Urgency.LEASE)
        if item is None:
            await self._campaign()
        elif item.value["controller"] == self._name:
            await self._state.revoke_lease(item.value["lease"])
        else:
            await self._listener(LeaderObserved(item.value["controller"], item.version))
            await self._await_change(item.version)

    async def _await_change(self, version: int) -> None:
        after = version
        while True:
            changes = await self._state.wait_for_changes("leader", after, seconds(2), self._watch)
            if not changes.events or any(event.version > version for event in changes.events):
                return
            after = max(after, changes.revision)

    async def _campaign(self) -> None:
        sent_at, ttl = monotonic(), seconds(3)
        lease = await self._state.grant_lease(ttl)
        record = {"controller": self._name, "lease": lease}
        token = await self._state.commit(
            [Condition("leader", 0)], [Put("leader", record, lease)], Urgency.LEASE
        )
        self._resigned = False
        term = Term(token, lease, lease_valid_until(sent_at, ttl), sent_at, token)
        await self._listener(Elected(term, LeaderLock(token)))
        await self._keep_lease(token, lease)
        await self._listener(LeadershipLost(token, "the lease has run out"))

    async def _keep_lease(self, token: int, lease: int) -> None:
        while not self._resigned:
            await sleep(seconds(0.7))
            sent_at = monotonic()
            try:
                await self._state.renew_lease(lease, timeout=seconds(0.9))
            except LeaseExpiredError:
                return
            except StateServiceError:
                continue
            await self._listener(LeaderLeaseRenewed(token, lease_valid_until(sent_at, seconds(3))))
        await self._state.revoke_lease(lease)


class ControllerBeforeLevels(Controller):
    """A controller of a version before feature levels.

    ``renews_leases``: the last such version, which renews leases as a follower.
    """

    def __init__(self, *args: Any, renews_leases: bool = False, **kwargs: Any) -> None:
        self._renews_leases = renews_leases
        super().__init__(*args, **kwargs)
        election: Any = ElectionBeforeLevels(
            self._platform.name, self._state, self._on_election_event
        )
        self._election = election

    def _create_feature_levels(self, build: Build | None) -> FeatureLevels:
        feature_levels = _NoLevels(self._platform.name, self._peer_names, monotonic(), build)
        feature_levels.renews_leases = self._renews_leases
        return feature_levels
