"""Who leads: one key in the state service, attached to a lease that the leader keeps alive."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import seconds, steady
from micadeal.leadership.term import Term
from micadeal.state.service import (
    Conflict,
    LeaseGone,
    StateError,
    StateService,
    TooOld,
    Urgency,
    lease_end,
)
from micadeal.waiting import sleep
from micadeal.wire.codec import BadMessage, convert
from micadeal.wire.state import Condition, Item, LeaderRecord, Put

log = logging.getLogger(__name__)

LEADER_KEY = "leader"
#: Default: short, since no task is started while it runs out after a crash; several renewals
#: still fit into it, so that one slow answer of the state service costs nothing.
LEASE_TIME = timedelta(seconds=3)
RENEW_EVERY = timedelta(milliseconds=700)
WATCH_HOLD = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Elected:
    term: Term


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


Listener = Callable[[Elected | Renewed | Deposed | LeaderSeen], Awaitable[None]]


class Election:
    """Takes part in elections and tells ``listener`` how they go.

    Owns the lease.  ``resign`` is the only thing others may ask of it.
    """

    def __init__(self, name: str, state: StateService, listener: Listener) -> None:
        self._name = name
        self._state = state
        self._listener = listener
        self._watch = state.watch_client()
        self._resigned = False

    def resign(self) -> None:
        """A higher token was seen: whoever holds it leads, not we."""
        self._resigned = True

    async def run(self) -> None:
        while True:
            try:
                await self._round()
            except (StateError, LeaseGone, Conflict, BadMessage) as problem:
                log.debug("election: %s", problem)
                await sleep(timedelta(milliseconds=300))

    async def _round(self) -> None:
        item = await self._state.get(LEADER_KEY, Urgency.LEASE)
        if item is None:
            await self._stand()
            return
        record = convert(LeaderRecord, item.value)
        if record.controller == self._name:
            # Our own earlier process, or a transaction of ours that was applied without an
            # answer: that term is over either way, and nobody need wait for its lease.
            await self._state.end_lease(record.lease)
            return
        await self._listener(LeaderSeen(record.controller, item.version))
        await self._await_change(item)

    async def _await_change(self, item: Item) -> None:
        after = item.version
        while True:
            try:
                found = await self._state.changes(LEADER_KEY, after, WATCH_HOLD, self._watch)
            except TooOld:
                return
            if any(event.version > item.version for event in found.events):
                return
            after = max(after, found.revision)
            if not found.events:
                # A watch that was opened on a connection since cut would never tell: look again.
                return

    async def _stand(self) -> None:
        sent = steady()
        lease = await self._state.new_lease(LEASE_TIME)
        record = LeaderRecord(controller=self._name, lease=lease)
        try:
            token = await self._state.commit(
                [Condition(LEADER_KEY, 0)], [Put(LEADER_KEY, record, lease)], Urgency.LEASE
            )
        except Conflict:
            await self._state.end_lease(lease)
            return
        self._resigned = False
        term = Term(token, lease, lease_end(sent, LEASE_TIME), sent)
        log.info("elected with token %d", token)
        await self._listener(Elected(term))
        why = await self._keep(term)
        log.info("term %d is over: %s", token, why)
        await self._listener(Deposed(token, why))

    async def _keep(self, term: Term) -> str:
        """Renew until the lease is gone; an outage alone does not end the term."""
        due = steady() + RENEW_EVERY
        while True:
            await sleep(due - steady())
            if self._resigned:
                try:
                    await self._state.end_lease(term.lease)
                except StateError:
                    log.debug("the lease of token %d is left to run out", term.token)
                return "a higher token was seen"
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
