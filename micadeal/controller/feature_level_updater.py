"""What a leader does about the level while it leads: look, decide, move it, tell its actor."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from micadeal.actor import MailboxFullError
from micadeal.clock import monotonic, seconds, utc_now
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.messages import FeatureLevelChanged, GetMigrationBacklog, MigrationStatus
from micadeal.leadership.election import read_leader_lock
from micadeal.leadership.term import Term
from micadeal.rollout.leader_lock import LeaderLock, moving
from micadeal.rollout.migration import confirm
from micadeal.schema.keys import LEVEL
from micadeal.state.service import (
    ConflictError,
    LeaseExpiredError,
    StateService,
    StateServiceError,
    Urgency,
)
from micadeal.timeouts import sleep

log = logging.getLogger(__name__)

LOOK_EVERY = seconds(0.5)
ASK_TIME = seconds(1)


class FeatureLevelUpdater:
    """One term's; ``ask`` and ``tell`` reach the leader's actor."""

    def __init__(
        self,
        feature_levels: FeatureLevels,
        state: StateService,
        term: Term,
        ask: Callable[..., Awaitable[Any]],
        tell: Callable[[Any], Awaitable[None]],
    ) -> None:
        self._feature_levels = feature_levels
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
            except (
                StateServiceError,
                LeaseExpiredError,
                ConflictError,
                MailboxFullError,
                TimeoutError,
            ) as problem:
                log.debug("level: %s", problem)

    async def _look(self) -> LeaderLock:
        """Take up what is recorded, if we still lead by it."""
        leader_lock = await read_leader_lock(self._state)
        self._unsure = False
        if leader_lock.token == self._term.token:
            self._feature_levels.seen(leader_lock)
            if leader_lock.fence != self._fence:
                self._fence = leader_lock.fence
                await self._tell(
                    FeatureLevelChanged(self._feature_levels.record, leader_lock.fence)
                )
        return leader_lock

    async def _step(self) -> None:
        planned_on = self._feature_levels.record
        told: MigrationStatus = await self._ask(GetMigrationBacklog(), ASK_TIME)
        found = self._feature_levels.plan(told.ceiling, told.migration_backlog, monotonic())
        if found.move is None:
            return
        leader_lock = await self._look()
        if LEVEL in leader_lock.damaged:
            # It may be a later version's: not to be written over by what we believe.
            self._feature_levels.waiting_for([f"the record {LEVEL} can't be read"])
            return
        if leader_lock.token != self._term.token or leader_lock.level != planned_on:
            # A move of ours was applied late: what was planned is of another level.
            return
        names: list[str] = []
        if found.raises:
            against = confirm(
                found,
                leader_lock,
                self._feature_levels.name,
                self._feature_levels.process,
                self._feature_levels.observations,
            )
            if against:
                self._feature_levels.waiting_for(against)
                return
            names = [self._feature_levels.name, *self._feature_levels.observations]
        record = msgspec.structs.replace(
            found.move,
            since=utc_now().timestamp(),
            by=self._feature_levels.name,
            term=self._term.token,
        )
        conditions, changes = moving(
            leader_lock,
            record,
            self._feature_levels.name,
            self._term.lease,
            self._term.token,
            names,
        )
        try:
            await self._state.commit(conditions, changes, Urgency.LEASE)
        finally:
            # Whatever came of it is read, also where the answer was lost.
            self._unsure = True
        await self._look()
