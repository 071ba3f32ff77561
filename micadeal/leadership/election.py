"""Who leads: one seat in the state service, held by a lease that the leader keeps alive."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import ZERO, monotonic, seconds
from micadeal.leadership.term import Term
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import Process
from micadeal.schema.keys import LEADER, LEADER_LOCK, MEMBER
from micadeal.state.service import (
    ConflictError,
    LeaseExpiredError,
    RevisionCompactedError,
    StateService,
    StateServiceError,
    Urgency,
    lease_end,
)
from micadeal.timeouts import sleep
from micadeal.wire.codec import MessageFormatError

log = logging.getLogger(__name__)

#: Default: short, since no task is started while it runs out after a crash; several renewals
#: still fit into it, so that one slow answer of the state service costs nothing.
LEASE_TIME = timedelta(seconds=3)
RENEW_EVERY = timedelta(milliseconds=700)
#: How long the transaction that takes the seat may go without an answer before the seat is read.
STAND_TIME = timedelta(milliseconds=900)
#: How soon a leader that is told to stand down does so.
RESIGN_LOOK = timedelta(milliseconds=100)
WATCH_HOLD = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Elected:
    term: Term
    #: All that was recorded when we stood; the level is as it was then.
    leader_lock: LeaderLock


@dataclass(frozen=True, slots=True)
class LeaderLeaseRenewed:
    token: int
    valid_until: timedelta


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    token: int
    why: str


@dataclass(frozen=True, slots=True)
class LeaderObserved:
    controller: str | None
    token: int


@dataclass(frozen=True, slots=True)
class LeaderLockRead:
    leader_lock: LeaderLock


Listener = Callable[
    [Elected | LeaderLeaseRenewed | LeadershipLost | LeaderObserved | LeaderLockRead],
    Awaitable[None],
]


async def read_leader_lock(state: StateService) -> LeaderLock:
    items, revision = await state.range(LEADER_LOCK, Urgency.LEASE)
    leader = await state.get(LEADER, Urgency.LEASE)
    return leader_locks.read(items if leader is None else [leader, *items], revision)


class Election:
    """Takes part in elections and tells ``listener`` how they go.

    Owns the lease.  ``resign`` is the only thing others may ask of it.
    """

    def __init__(
        self,
        name: str,
        process: Process,
        started_at: float,
        state: StateService,
        listener: Listener,
        election_delay: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        """``started_at``: time of day; ``deference``: how long to leave an empty seat to others."""
        self._name = name
        self._process = process
        self._started_at = started_at
        self._state = state
        self._listener = listener
        self._election_delay = election_delay
        self._watch = state.watch_client()
        self._resigned: str | None = None
        self._follower_leases = True
        self._registered = False

    def resign(self, why: str = "a higher token was seen") -> None:
        """Another leads, or shall lead, and not we."""
        self._resigned = why

    def retire(self) -> None:
        """This process is about to end: hand over, and stand no more."""
        self._follower_leases = False
        self.resign("this process ends")

    async def run(self) -> None:
        while True:
            try:
                await self._round()
            except (
                StateServiceError,
                LeaseExpiredError,
                ConflictError,
                MessageFormatError,
            ) as problem:
                log.debug("election: %s", problem)
                await sleep(timedelta(milliseconds=300))

    async def _round(self) -> None:
        leader_lock = await read_leader_lock(self._state)
        if not self._registered or MEMBER + self._name not in leader_lock.versions:
            # Never again otherwise: two processes under one name would go on replacing each other.
            leader_lock = await self._register(leader_lock)
        await self._listener(LeaderLockRead(leader_lock))
        if leader_lock.taken and leader_lock.leader is not None:
            if leader_lock.leader.controller == self._name:
                # Our own earlier process, or a transaction of ours that was applied without an
                # answer: that term is over either way, and nobody need wait for its lease.
                await self._state.end_lease(leader_lock.lease)
                await sleep(timedelta(milliseconds=20))
                return
            await self._listener(LeaderObserved(leader_lock.leader.controller, leader_lock.token))
        elif (
            self._follower_leases
            and leader_locks.refusal(leader_lock, self._name, self._process) is None
        ):
            await self._stand(leader_lock)
            return
        await self._await_change(leader_lock)

    async def _register(self, leader_lock: LeaderLock) -> LeaderLock:
        """Write the record of our process, before it takes part in anything."""
        if not leader_locks.registered(leader_lock, self._name, self._process):
            conditions, changes = leader_locks.registration(
                leader_lock, self._name, self._process, self._started_at
            )
            await self._state.commit(conditions, changes, Urgency.LEASE)
            leader_lock = await read_leader_lock(self._state)
        self._registered = True
        return leader_lock

    async def _await_change(self, leader_lock: LeaderLock) -> None:
        # What ends a term changes there.
        prefix = LEADER_LOCK if leader_lock.fenced else LEADER
        after = leader_lock.revision
        while True:
            try:
                found = await self._state.changes(prefix, after, WATCH_HOLD, self._watch)
            except RevisionCompactedError:
                return
            if any(event.version > leader_lock.revision for event in found.events):
                return
            after = max(after, found.revision)
            if not found.events:
                # A watch that was opened on a connection since cut would never tell: look again.
                return

    async def _stand(self, leader_lock: LeaderLock) -> None:
        wait = self._election_delay()
        if wait:
            await sleep(wait)
            leader_lock = await read_leader_lock(self._state)
            if (
                leader_lock.taken
                or leader_locks.refusal(leader_lock, self._name, self._process) is not None
            ):
                return
        sent = monotonic()
        lease = await self._state.new_lease(LEASE_TIME)
        conditions, changes = leader_locks.follower_leases(
            leader_lock, self._name, self._process, lease
        )
        try:
            token = await self._state.commit(conditions, changes, Urgency.LEASE, STAND_TIME)
        except ConflictError:
            await self._state.end_lease(lease)
            return
        except StateServiceError as problem:
            # Guards against seconds without a leader where answers are lost: nobody else knows
            # this lease, so a seat that is held by it is ours, and the term has begun.
            log.debug("standing: %s", problem)
            found = await read_leader_lock(self._state)
            if not found.taken or found.lease != lease:
                raise
            token = found.token
        self._resigned = None if self._follower_leases else self._resigned
        term = Term(token, lease, lease_end(sent, LEASE_TIME), None, token)
        log.info("elected with token %d", token)
        await self._listener(Elected(term, leader_lock))
        why = await self._keep(term, sent)
        log.info("term %d is over: %s", token, why)
        await self._listener(LeadershipLost(token, why))

    async def _keep(self, term: Term, sent: timedelta) -> str:
        """Renew until the lease is gone; an outage alone does not end the term.  ``sent``: when the
        lease was asked for."""
        due = sent + RENEW_EVERY
        while True:
            while self._resigned is None and monotonic() < due:
                await sleep(min(due - monotonic(), RESIGN_LOOK))
            if self._resigned is not None:
                try:
                    await self._state.end_lease(term.lease)
                except StateServiceError:
                    log.debug("the lease of token %d is left to run out", term.token)
                return self._resigned
            sent = monotonic()
            due = sent + RENEW_EVERY
            try:
                await self._state.renew(term.lease, timeout=seconds(0.9))
            except LeaseExpiredError:
                return "the lease has run out"
            except StateServiceError as problem:
                log.debug("renewal: %s", problem)
                due = monotonic() + seconds(0.2)
                continue
            await self._listener(LeaderLeaseRenewed(term.token, lease_end(sent, LEASE_TIME)))
