"""Who leads: one seat in the state service, held by a lease that the leader keeps alive."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import ZERO, seconds, steady
from micadeal.leadership.term import Term
from micadeal.rollout import seat as seats
from micadeal.rollout.membership import Process
from micadeal.rollout.seat import Seat
from micadeal.state.service import (
    Conflict,
    LeaseGone,
    StateError,
    StateService,
    TooOld,
    Urgency,
    lease_end,
)
from micadeal.stored.keys import LEADER, MEMBER, SEAT
from micadeal.waiting import sleep
from micadeal.wire.codec import BadMessage

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
    seat: Seat


@dataclass(frozen=True, slots=True)
class Renewed:
    token: int
    valid_until: timedelta


@dataclass(frozen=True, slots=True)
class Deposed:
    token: int
    why: str


@dataclass(frozen=True, slots=True)
class LeaderSeen:
    controller: str | None
    token: int


@dataclass(frozen=True, slots=True)
class SeatSeen:
    seat: Seat


Listener = Callable[[Elected | Renewed | Deposed | LeaderSeen | SeatSeen], Awaitable[None]]


async def read_seat(state: StateService) -> Seat:
    items, revision = await state.range(SEAT, Urgency.LEASE)
    leader = await state.get(LEADER, Urgency.LEASE)
    return seats.read(items if leader is None else [leader, *items], revision)


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
        deference: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        """``started_at``: time of day; ``deference``: how long to leave an empty seat to others."""
        self._name = name
        self._process = process
        self._started_at = started_at
        self._state = state
        self._listener = listener
        self._deference = deference
        self._watch = state.watch_client()
        self._resigned: str | None = None
        self._standing = True
        self._registered = False

    def resign(self, why: str = "a higher token was seen") -> None:
        """Another leads, or shall lead, and not we."""
        self._resigned = why

    def retire(self) -> None:
        """This process is about to end: hand over, and stand no more."""
        self._standing = False
        self.resign("this process ends")

    async def run(self) -> None:
        while True:
            try:
                await self._round()
            except (StateError, LeaseGone, Conflict, BadMessage) as problem:
                log.debug("election: %s", problem)
                await sleep(timedelta(milliseconds=300))

    async def _round(self) -> None:
        seat = await read_seat(self._state)
        if not self._registered or MEMBER + self._name not in seat.versions:
            # Never again otherwise: two processes under one name would go on replacing each other.
            seat = await self._register(seat)
        await self._listener(SeatSeen(seat))
        if seat.taken and seat.leader is not None:
            if seat.leader.controller == self._name:
                # Our own earlier process, or a transaction of ours that was applied without an
                # answer: that term is over either way, and nobody need wait for its lease.
                await self._state.end_lease(seat.lease)
                await sleep(timedelta(milliseconds=20))
                return
            await self._listener(LeaderSeen(seat.leader.controller, seat.token))
        elif self._standing and seats.refusal(seat, self._name, self._process) is None:
            await self._stand(seat)
            return
        await self._await_change(seat)

    async def _register(self, seat: Seat) -> Seat:
        """Write the record of our process, before it takes part in anything."""
        if not seats.registered(seat, self._name, self._process):
            conditions, changes = seats.registration(
                seat, self._name, self._process, self._started_at
            )
            await self._state.commit(conditions, changes, Urgency.LEASE)
            seat = await read_seat(self._state)
        self._registered = True
        return seat

    async def _await_change(self, seat: Seat) -> None:
        # What ends a term changes there.
        prefix = SEAT if seat.fenced else LEADER
        after = seat.revision
        while True:
            try:
                found = await self._state.changes(prefix, after, WATCH_HOLD, self._watch)
            except TooOld:
                return
            if any(event.version > seat.revision for event in found.events):
                return
            after = max(after, found.revision)
            if not found.events:
                # A watch that was opened on a connection since cut would never tell: look again.
                return

    async def _stand(self, seat: Seat) -> None:
        wait = self._deference()
        if wait:
            await sleep(wait)
            seat = await read_seat(self._state)
            if seat.taken or seats.refusal(seat, self._name, self._process) is not None:
                return
        sent = steady()
        lease = await self._state.new_lease(LEASE_TIME)
        conditions, changes = seats.standing(seat, self._name, self._process, lease)
        try:
            token = await self._state.commit(conditions, changes, Urgency.LEASE, STAND_TIME)
        except Conflict:
            await self._state.end_lease(lease)
            return
        except StateError as problem:
            # Guards against seconds without a leader where answers are lost: nobody else knows
            # this lease, so a seat that is held by it is ours, and the term has begun.
            log.debug("standing: %s", problem)
            found = await read_seat(self._state)
            if not found.taken or found.lease != lease:
                raise
            token = found.token
        self._resigned = None if self._standing else self._resigned
        term = Term(token, lease, lease_end(sent, LEASE_TIME), None, token)
        log.info("elected with token %d", token)
        await self._listener(Elected(term, seat))
        why = await self._keep(term, sent)
        log.info("term %d is over: %s", token, why)
        await self._listener(Deposed(token, why))

    async def _keep(self, term: Term, sent: timedelta) -> str:
        """Renew until the lease is gone; an outage alone does not end the term.  ``sent``: when the
        lease was asked for."""
        due = sent + RENEW_EVERY
        while True:
            while self._resigned is None and steady() < due:
                await sleep(min(due - steady(), RESIGN_LOOK))
            if self._resigned is not None:
                try:
                    await self._state.end_lease(term.lease)
                except StateError:
                    log.debug("the lease of token %d is left to run out", term.token)
                return self._resigned
            sent = steady()
            due = sent + RENEW_EVERY
            try:
                await self._state.renew(term.lease, timeout=seconds(0.9))
            except LeaseGone:
                return "the lease has run out"
            except StateError as problem:
                log.debug("renewal: %s", problem)
                due = steady() + seconds(0.2)
                continue
            await self._listener(Renewed(term.token, lease_end(sent, LEASE_TIME)))
