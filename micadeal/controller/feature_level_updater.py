"""Changes the feature level step by step while this controller leads."""

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
from micadeal.rollout.leader_lock import LeaderLock, level_change
from micadeal.rollout.migration import Plan, objections_to_raise
from micadeal.schema.keys import LEVEL
from micadeal.state.service import (
    ConflictError,
    LeaseExpiredError,
    StateService,
    StateServiceError,
    Urgency,
)
from micadeal.timeouts import sleep
from micadeal.wire.state import LevelRecord

log = logging.getLogger(__name__)

CHECK_INTERVAL = seconds(0.5)
REQUEST_TIMEOUT = seconds(1)


class FeatureLevelUpdater:
    """Plans and writes the feature level changes of one term.

    ``ask`` and ``tell`` send a message to the leader's actor, with and without an answer.
    """

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
        #: The outcome of a change is unknown, so the records may differ from those last read.
        self._outcome_unknown = False

    def refresh_before_next_step(self) -> None:
        """Read the records again before the next step."""
        self._outcome_unknown = True

    async def run(self) -> None:
        """Change the level step by step until cancelled."""
        while True:
            await sleep(CHECK_INTERVAL)
            try:
                if self._outcome_unknown:
                    await self._refresh()
                else:
                    await self._step()
            except (
                StateServiceError,
                LeaseExpiredError,
                ConflictError,
                MailboxFullError,
                TimeoutError,
            ) as problem:
                log.debug("feature level step failed: reason=%s", problem)

    async def _refresh(self) -> LeaderLock:
        """Read the records, and adopt them if they still name this term."""
        leader_lock = await read_leader_lock(self._state)
        self._outcome_unknown = False
        if leader_lock.token == self._term.token:
            self._feature_levels.on_leader_lock_read(leader_lock)
            if leader_lock.fence != self._fence:
                self._fence = leader_lock.fence
                await self._tell(
                    FeatureLevelChanged(self._feature_levels.record, leader_lock.fence)
                )
        return leader_lock

    async def _step(self) -> None:
        """Plan the next level change, and write it if nothing prevents it."""
        base_record = self._feature_levels.record
        status: MigrationStatus = await self._ask(GetMigrationBacklog(), REQUEST_TIMEOUT)
        planned = self._feature_levels.plan(
            status.highest_allowed_level, status.migration_backlog, monotonic()
        )
        if planned.next_record is None:
            return
        leader_lock = await self._refresh()
        if LEVEL in leader_lock.damaged:
            # A later version may have written it: don't overwrite it with an assumed level.
            self._feature_levels.set_waits([f"the record {LEVEL} can't be read"])
            return
        if leader_lock.token != self._term.token or leader_lock.level != base_record:
            # Another term has begun, or an earlier change was applied late: the plan is outdated.
            return
        if planned.is_raise:
            objections = self._objections(planned, leader_lock)
            if objections:
                self._feature_levels.set_waits(objections)
                return
        await self._write(planned.next_record, planned.is_raise, leader_lock)

    def _objections(self, planned: Plan, leader_lock: LeaderLock) -> list[str]:
        levels = self._feature_levels
        return list(
            objections_to_raise(
                planned, leader_lock, levels.name, levels.process, levels.observations
            )
        )

    async def _write(
        self, record: LevelRecord, needs_all_members: bool, leader_lock: LeaderLock
    ) -> None:
        """Write the new level if no record that it depends on has changed."""
        name = self._feature_levels.name
        depends_on = [name, *self._feature_levels.observations] if needs_all_members else []
        record = msgspec.structs.replace(
            record, since=utc_now().timestamp(), by=name, term=self._term.token
        )
        conditions, changes = level_change(
            leader_lock, record, name, self._term.lease, self._term.token, depends_on
        )
        try:
            await self._state.commit(conditions, changes, Urgency.LEASE)
        finally:
            # The records are read again in any case: the response may have been lost.
            self._outcome_unknown = True
        await self._refresh()
