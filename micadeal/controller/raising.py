"""What a leader does about the level while it leads: look, decide, move it, tell its actor."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from micadeal.actor import Overloaded
from micadeal.clock import seconds, steady, wall
from micadeal.controller.levels import Levels
from micadeal.controller.messages import LevelMoved, StockTold, StockWanted
from micadeal.leadership.election import read_seat
from micadeal.leadership.term import Term
from micadeal.rollout.seat import Seat, moving
from micadeal.rollout.steps import confirm
from micadeal.state.service import Conflict, LeaseGone, StateError, StateService, Urgency
from micadeal.stored.keys import LEVEL
from micadeal.waiting import sleep

log = logging.getLogger(__name__)

LOOK_EVERY = seconds(0.5)
ASK_TIME = seconds(1)


class Raising:
    """One term's; ``ask`` and ``tell`` reach the leader's actor."""

    def __init__(
        self,
        levels: Levels,
        state: StateService,
        term: Term,
        ask: Callable[..., Awaitable[Any]],
        tell: Callable[[Any], Awaitable[None]],
    ) -> None:
        self._levels = levels
        self._state = state
        self._term = term
        self._ask = ask
        self._tell = tell
        self._fence = term.fence
        #: What is recorded may be another than we know: the outcome of a move was not told.
        self._unsure = False

    def look_again(self) -> None:
        self._unsure = True

    async def run(self) -> None:
        while True:
            await sleep(LOOK_EVERY)
            try:
                if self._unsure:
                    await self._look()
                else:
                    await self._step()
            except (StateError, LeaseGone, Conflict, Overloaded, TimeoutError) as problem:
                log.debug("level: %s", problem)

    async def _look(self) -> Seat:
        """Take up what is recorded, if we still lead by it."""
        seat = await read_seat(self._state)
        self._unsure = False
        if seat.token == self._term.token:
            self._levels.seen(seat)
            if seat.fence != self._fence:
                self._fence = seat.fence
                await self._tell(LevelMoved(self._levels.record, seat.fence))
        return seat

    async def _step(self) -> None:
        planned_on = self._levels.record
        told: StockTold = await self._ask(StockWanted(), ASK_TIME)
        found = self._levels.plan(told.ceiling, told.stock, steady())
        if found.move is None:
            return
        seat = await self._look()
        if LEVEL in seat.damaged:
            # It may be a later version's: not to be written over by what we believe.
            self._levels.waiting_for([f"the record {LEVEL} can't be read"])
            return
        if seat.token != self._term.token or seat.level != planned_on:
            # A move of ours was applied late: what was planned is of another level.
            return
        names: list[str] = []
        if found.raises:
            against = confirm(
                found, seat, self._levels.name, self._levels.process, self._levels.sights
            )
            if against:
                self._levels.waiting_for(against)
                return
            names = [self._levels.name, *self._levels.sights]
        record = msgspec.structs.replace(
            found.move,
            since=wall().timestamp(),
            by=self._levels.name,
            term=self._term.token,
        )
        conditions, changes = moving(
            seat, record, self._levels.name, self._term.lease, self._term.token, names
        )
        try:
            await self._state.commit(conditions, changes, Urgency.LEASE)
        finally:
            # Whatever came of it is read, also where the answer was lost.
            self._unsure = True
        await self._look()
