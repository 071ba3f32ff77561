"""Leader election through a leased lock in the state service."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import ZERO, monotonic
from micadeal.leadership.term import Term
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import Process
from micadeal.schema.keys import LEADER, LEADER_LOCK_PREFIX, MEMBER
from micadeal.state.service import (
    ConflictError,
    LeaseExpiredError,
    RevisionCompactedError,
    StateService,
    StateServiceError,
    Urgency,
    lease_valid_until,
)
from micadeal.timeouts import sleep
from micadeal.wire.codec import MessageFormatError

log = logging.getLogger(__name__)

#: Short, because no task is started until the lease of a crashed leader expires.  Several renewals
#: still fit into it, so that one slow response of the state service does not end the term.
LEASE_DURATION = timedelta(seconds=3)
RENEW_INTERVAL = timedelta(milliseconds=700)
RENEW_TIMEOUT = timedelta(milliseconds=900)
#: Delay before a failed renewal is retried.
RENEW_RETRY_DELAY = timedelta(milliseconds=200)
#: Timeout of the transaction that takes the lock; after that the lock is read back.
ACQUIRE_TIMEOUT = timedelta(milliseconds=900)
#: Interval at which a leader checks whether it was asked to resign.
RESIGN_POLL_INTERVAL = timedelta(milliseconds=100)
WATCH_TIMEOUT = timedelta(seconds=2)
#: Delay after a failed election round.
RETRY_DELAY = timedelta(milliseconds=300)
#: Delay after revoking the lease of this controller's previous term.
RELEASE_DELAY = timedelta(milliseconds=20)


@dataclass(frozen=True, slots=True)
class Elected:
    """This controller won an election."""

    term: Term
    #: The records as read before the election, with the feature level of that moment.
    leader_lock: LeaderLock


@dataclass(frozen=True, slots=True)
class LeaderLeaseRenewed:
    """The lease of the current term was renewed."""

    token: int
    valid_until: timedelta


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The term with this token has ended for this controller."""

    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class LeaderObserved:
    """Another controller holds the lock."""

    controller: str | None
    token: int


@dataclass(frozen=True, slots=True)
class LeaderLockRead:
    """The lock, the feature level and the member records were read."""

    leader_lock: LeaderLock


ElectionEvent = Elected | LeaderLeaseRenewed | LeadershipLost | LeaderObserved | LeaderLockRead
ElectionListener = Callable[[ElectionEvent], Awaitable[None]]


async def read_leader_lock(state: StateService) -> LeaderLock:
    """Read the lock, the feature level and the member records from the state service."""
    items, revision = await state.range(LEADER_LOCK_PREFIX, Urgency.LEASE)
    leader = await state.get(LEADER, Urgency.LEASE)
    return leader_locks.read(items if leader is None else [leader, *items], revision)


class Election:
    """Takes part in elections and reports every event to its listener.

    Owns the leader's lease.  Other components call only ``resign`` and ``shut_down``.
    """

    def __init__(
        self,
        name: str,
        process: Process,
        started_at: float,
        state: StateService,
        listener: ElectionListener,
        election_delay: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        """Create a candidate that is idle until ``run`` is called.

        ``started_at`` is the wall-clock time at which the process started, in seconds since the
        epoch.  ``election_delay`` returns how long to leave a free lock to other candidates.
        """
        self._name = name
        self._process = process
        self._started_at = started_at
        self._state = state
        self._listener = listener
        self._election_delay = election_delay
        self._watch = state.watch_client()
        #: Reason to end the current term; None: the term continues.
        self._resign_reason: str | None = None
        self._is_candidate = True
        self._registered = False

    def resign(self, reason: str = "a higher token was seen") -> None:
        """End the current term; the controller remains a candidate for later terms."""
        self._resign_reason = reason

    def shut_down(self) -> None:
        """Resign if leading, and take part in no further election."""
        self._is_candidate = False
        self.resign("this process ends")

    async def run(self) -> None:
        """Take part in elections until cancelled."""
        while True:
            try:
                await self._run_round()
            except (
                StateServiceError,
                LeaseExpiredError,
                ConflictError,
                MessageFormatError,
            ) as problem:
                log.debug("election round failed: reason=%s", problem)
                await sleep(RETRY_DELAY)

    async def _run_round(self) -> None:
        leader_lock = await read_leader_lock(self._state)
        if not self._registered or MEMBER + self._name not in leader_lock.versions:
            # Only in these cases: otherwise two processes with the same name would keep replacing
            # each other's record.
            leader_lock = await self._register(leader_lock)
        await self._listener(LeaderLockRead(leader_lock))
        if leader_lock.taken and leader_lock.leader is not None:
            if leader_lock.leader.controller == self._name:
                # Held by this controller's previous process, or by a transaction whose response
                # was lost.  That term is over: revoke its lease instead of waiting for expiry.
                await self._state.revoke_lease(leader_lock.lease)
                await sleep(RELEASE_DELAY)
                return
            await self._listener(LeaderObserved(leader_lock.leader.controller, leader_lock.token))
        elif self._is_candidate and self._is_eligible(leader_lock):
            await self._campaign(leader_lock)
            return
        await self._await_change(leader_lock)

    def _is_eligible(self, leader_lock: LeaderLock) -> bool:
        return leader_locks.refusal(leader_lock, self._name, self._process) is None

    async def _register(self, leader_lock: LeaderLock) -> LeaderLock:
        """Write the member record of this process; return the leader lock that contains it.

        Until then the process neither observes leaders nor campaigns.
        """
        if not leader_locks.registered(leader_lock, self._name, self._process):
            conditions, changes = leader_locks.registration(
                leader_lock, self._name, self._process, self._started_at
            )
            await self._state.commit(conditions, changes, Urgency.LEASE)
            leader_lock = await read_leader_lock(self._state)
        self._registered = True
        return leader_lock

    async def _await_change(self, leader_lock: LeaderLock) -> None:
        """Wait until the lock may have changed, or until an idle watch times out."""
        # The key that changes when a term ends has this prefix.
        prefix = LEADER_LOCK_PREFIX if leader_lock.fenced else LEADER
        after = leader_lock.revision
        while True:
            try:
                changes = await self._state.wait_for_changes(
                    prefix, after, WATCH_TIMEOUT, self._watch
                )
            except RevisionCompactedError:
                return
            if any(event.version > leader_lock.revision for event in changes.events):
                return
            after = max(after, changes.revision)
            if not changes.events:
                # A watch on a broken connection would never report a change: read the lock again.
                return

    async def _campaign(self, leader_lock: LeaderLock) -> None:
        """Try to take the free lock; on success, lead until the term ends."""
        delay = self._election_delay()
        if delay:
            await sleep(delay)
            leader_lock = await read_leader_lock(self._state)
            if leader_lock.taken or not self._is_eligible(leader_lock):
                return
        sent_at = monotonic()
        lease = await self._state.grant_lease(LEASE_DURATION)
        token = await self._acquire(leader_lock, lease)
        if token is None:
            return
        if self._is_candidate:
            self._resign_reason = None
        term = Term(token, lease, lease_valid_until(sent_at, LEASE_DURATION), None, token)
        log.info("elected as leader: token=%d", token)
        await self._listener(Elected(term, leader_lock))
        reason = await self._keep_lease(term, sent_at)
        log.info("term ended: token=%d reason=%s", token, reason)
        await self._listener(LeadershipLost(token, reason))

    async def _acquire(self, leader_lock: LeaderLock, lease: int) -> int | None:
        """Take the lock with ``lease``.

        Return the token of the term, or None if another candidate took the lock first.
        """
        conditions, changes = leader_locks.acquisition(leader_lock, self._name, lease)
        try:
            return await self._state.commit(conditions, changes, Urgency.LEASE, ACQUIRE_TIMEOUT)
        except ConflictError:
            await self._state.revoke_lease(lease)
            return None
        except StateServiceError as problem:
            # Guards against seconds without a leader after a lost response: only this controller
            # knows the lease, so if the lock is held with it, the election was won.
            log.debug("outcome of the election unknown: reason=%s", problem)
            current = await read_leader_lock(self._state)
            if not current.taken or current.lease != lease:
                raise
            return current.token

    async def _keep_lease(self, term: Term, sent_at: timedelta) -> str:
        """Renew the lease until it expires or the leader resigns; return why the term ended.

        An outage of the state service alone does not end the term.  ``sent_at`` is when the lease
        was requested.
        """
        due = sent_at + RENEW_INTERVAL
        while True:
            while self._resign_reason is None and monotonic() < due:
                await sleep(min(due - monotonic(), RESIGN_POLL_INTERVAL))
            if self._resign_reason is not None:
                try:
                    await self._state.revoke_lease(term.lease)
                except StateServiceError:
                    log.debug("lease not released, it will expire: token=%d", term.token)
                return self._resign_reason
            sent_at = monotonic()
            due = sent_at + RENEW_INTERVAL
            try:
                await self._state.renew_lease(term.lease, timeout=RENEW_TIMEOUT)
            except LeaseExpiredError:
                return "the lease has run out"
            except StateServiceError as problem:
                log.debug("lease renewal failed: token=%d reason=%s", term.token, problem)
                due = monotonic() + RENEW_RETRY_DELAY
                continue
            await self._listener(
                LeaderLeaseRenewed(term.token, lease_valid_until(sent_at, LEASE_DURATION))
            )
