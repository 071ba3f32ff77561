"""One controller's part in levels: its own process, what it knows of the others, the level it acts
by.

No I/O; the decisions are those of ``rollout/``.  Owned by the node, like ``FollowerLeases``.
"""

from __future__ import annotations

import logging
import math
import secrets
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from micadeal import __version__
from micadeal.clock import seconds, utc_now
from micadeal.controller.follower_leases import STATE_CONTACT_TIMEOUT
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout.feature_level import Build, FeatureLevel
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import PeerObservation, Process, election_delay, presence
from micadeal.rollout.migration import MigrationBacklog, Plan, plan
from micadeal.schema.keys import LEVEL
from micadeal.wire import peers
from micadeal.wire.codec import MessageFormatError
from micadeal.wire.state import LevelRecord

log = logging.getLogger(__name__)


class FeatureLevels:
    def __init__(
        self, name: str, peers: Iterable[str], now: timedelta, build: Build | None = None
    ) -> None:
        """``peers``: all other controllers that the settings name."""
        self.name = name
        self.process = Process(secrets.token_hex(8), build or Build(__version__))
        self.born = now
        self._observations = {peer: PeerObservation() for peer in peers}
        #: What was read last of all that is recorded; None: nothing yet.
        self._leader_lock: LeaderLock | None = None
        #: The highest token whose leader has told us its level, and that level.
        self._told: tuple[int, int] | None = None
        self._refused: str | None = None
        self._waits: tuple[str, ...] = ()

    @property
    def observations(self) -> dict[str, PeerObservation]:
        return dict(self._observations)

    @property
    def record(self) -> LevelRecord:
        """The level as last read."""
        return LevelRecord() if self._leader_lock is None else self._leader_lock.level

    # -- records ---------------------------------------------------------------------------

    def seen(self, leader_lock: LeaderLock) -> None:
        """All that is recorded, as just read."""
        if self._leader_lock is not None and leader_lock.revision < self._leader_lock.revision:
            return
        if LEVEL in leader_lock.damaged and self._leader_lock is not None:
            # What was read before still holds for whoever leads by it; nobody else will.
            leader_lock = replace(leader_lock, level=self.record)
        before, self._leader_lock = self.record, leader_lock
        if leader_lock.level != before:
            log.info(
                "level %d is in force, %d is written, nothing is older than %d",
                leader_lock.level.level,
                leader_lock.level.writes,
                leader_lock.level.oldest,
            )
        refused = leader_locks.refusal(leader_lock, self.name, self.process)
        if refused is not None and refused != self._refused:
            # Once, not at every look.
            log.error("this controller neither leads nor serves users: %s", refused)
        self._refused = refused

    @property
    def refusal(self) -> str | None:
        """Why we may neither lead nor serve users; None: we may."""
        if self._leader_lock is None:
            return "the level in force is not known yet"
        return self._refused

    @property
    def misfit(self) -> str | None:
        """The same, where it will not pass by itself."""
        return None if self._leader_lock is None else self._refused

    # -- between controllers ---------------------------------------------------------------

    def introduction(self, now: timedelta) -> peers.Process:
        build = self.process.build
        age = (now - self.born).total_seconds() * 1000
        return peers.Process(
            self.process.id, build.name, build.lowest, build.highest, age, self.acts_at
        )

    def told(self, token: int, process: peers.Process | None) -> None:
        """A leader has spoken to us.  One of a version that knows of no levels acts by the
        first."""
        if token and (self._told is None or token >= self._told[0]):
            self._told = (token, int(FeatureLevel.FIRST) if process is None else process.level)

    def hear(self, name: str, pong: peers.Pong, asked: timedelta, now: timedelta) -> None:
        """A peer's answer to our ping.  Raises ``MessageFormatError`` for what makes no sense."""
        found, process, age = pong.process, None, None
        if found is not None:
            if not (math.isfinite(found.age_ms) and 0 <= found.lowest <= found.highest):
                raise MessageFormatError("a process that makes no sense")
            process = Process(found.id, Build(found.build, found.lowest, found.highest))
            age = seconds(min(max(found.age_ms / 1000, 0.0), 1e9))
        touch = None if pong.state_age_ms is None else seconds(min(pong.state_age_ms / 1000, 1e9))
        before = self._observations[name]
        observation = before.hear(process, asked, now, age, touch, pong.reaches)
        self._observations[name] = observation
        if observation.restarts > before.restarts:
            build = "a version before levels" if process is None else process.build.name
            log.info("%s is another process now, of %s", name, build)

    @property
    def acts_at(self) -> int:
        """The level that we write and act by: never ahead of the leader whose word we have."""
        recorded = self.record.writes
        if self._told is None:
            return recorded
        token, level = self._told
        if self._leader_lock is None:
            return level
        return min(recorded, level) if token >= self._leader_lock.token else recorded

    def election_delay(self, now: timedelta) -> timedelta:
        return election_delay(
            self.process, self.born, self._observations.values(), STATE_CONTACT_TIMEOUT, now
        )

    # -- as leader -------------------------------------------------------------------------

    def plan(
        self, ceiling: int | None, migration_backlog: MigrationBacklog, now: timedelta
    ) -> Plan:
        found = plan(self.record, self.process, self._observations, ceiling, migration_backlog, now)
        self.waiting_for(found.waits)
        return found

    def waiting_for(self, waits: Iterable[str]) -> None:
        waits = tuple(waits)
        for wait in waits:
            if wait not in self._waits:
                log.debug("the level waits: %s", wait)
        self._waits = waits

    def line(self, now: timedelta) -> peers.LevelLine:
        record = self.record
        own = self.process.build
        members = [peers.MemberLine(self.name, "leads", own.name, own.lowest, own.highest)]
        for name, observation in self._observations.items():
            seen = presence(name, self._observations, now).value
            if observation.process is None:
                members.append(peers.MemberLine(name, seen, "before levels", 0, 0))
                continue
            build = observation.process.build
            misfit = build.refusal(record)
            seen = seen if misfit is None else f"{seen}, serves nobody: {misfit}"
            members.append(peers.MemberLine(name, seen, build.name, build.lowest, build.highest))
        since = max(utc_now().timestamp() - record.since, 0.0) if record.since else 0.0
        return peers.LevelLine(
            record.level,
            record.writes,
            record.oldest,
            since,
            record.by,
            members,
            list(self._waits),
        )
