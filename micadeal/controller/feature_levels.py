"""Feature level state of one controller: its process, its peers and the level it acts by.

Performs no I/O; ``rollout/`` makes the decisions.  The controller owns this state, like that of
``FollowerLeases``, so it outlives terms.
"""

from __future__ import annotations

import logging
import math
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, replace
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

#: Build shown for a peer whose version has no feature levels.
UNLEVELLED_BUILD = "before levels"
#: Maximum duration taken from a peer's answer, in seconds; longer ones are reduced to it.
MAX_AGE_S = 1e9


@dataclass(frozen=True, slots=True)
class _LeaderLevel:
    """The level that the leader of a term acts by, as reported in its ping."""

    token: int
    level: int


class FeatureLevels:
    """Tracks feature levels by the records and by messages of the peers."""

    def __init__(
        self, name: str, peers: Iterable[str], now: timedelta, build: Build | None = None
    ) -> None:
        """Create the state of a process that starts at ``now``.

        ``peers`` names all other controllers in the settings.
        """
        self.name = name
        self.process = Process(secrets.token_hex(8), build or Build(__version__))
        self._started_at = now
        self._observations = {peer: PeerObservation() for peer in peers}
        #: The records as last read; None: not read yet.
        self._leader_lock: LeaderLock | None = None
        #: From the ping with the highest token received.
        self._leader_level: _LeaderLevel | None = None
        self._refusal: str | None = None
        self._waits: tuple[str, ...] = ()

    @property
    def observations(self) -> dict[str, PeerObservation]:
        """The observation of each peer, by name."""
        return dict(self._observations)

    @property
    def record(self) -> LevelRecord:
        """The level record as last read."""
        return LevelRecord() if self._leader_lock is None else self._leader_lock.level

    # -- records ---------------------------------------------------------------------------

    def on_leader_lock_read(self, leader_lock: LeaderLock) -> None:
        """Adopt records that were just read, unless newer ones are known."""
        if self._leader_lock is not None and leader_lock.revision < self._leader_lock.revision:
            return
        if LEVEL in leader_lock.damaged and self._leader_lock is not None:
            # A current leader keeps acting by the level read before; no controller can be elected.
            leader_lock = replace(leader_lock, level=self.record)
        previous, self._leader_lock = self.record, leader_lock
        if leader_lock.level != previous:
            log.info(
                "feature level changed: level=%d writes=%d oldest=%d",
                leader_lock.level.level,
                leader_lock.level.writes,
                leader_lock.level.oldest,
            )
        refusal = leader_locks.refusal(leader_lock, self.name, self.process)
        if refusal is not None and refusal != self._refusal:
            # Logged once, not at every read.
            log.error("neither leading nor serving users: reason=%s", refusal)
        self._refusal = refusal

    @property
    def refusal(self) -> str | None:
        """Why this controller must neither lead nor serve users; None: it may."""
        if self._leader_lock is None:
            return "the level in force is not known yet"
        return self._refusal

    @property
    def permanent_refusal(self) -> str | None:
        """Like ``refusal``, but None for a reason that passes by itself."""
        return None if self._leader_lock is None else self._refusal

    # -- between controllers ---------------------------------------------------------------

    def own_process(self, now: timedelta) -> peers.Process:
        """Return the description of this process for pings and their answers."""
        build = self.process.build
        age_ms = (now - self._started_at).total_seconds() * 1000
        return peers.Process(
            self.process.id, build.name, build.lowest, build.highest, age_ms, self.effective_level
        )

    def on_leader_ping(self, token: int, process: peers.Process | None) -> None:
        """Record the level that the leader of a term acts by, from its ping.

        ``process`` is None for a version without feature levels, which acts by the first one.
        """
        if token and (self._leader_level is None or token >= self._leader_level.token):
            level = int(FeatureLevel.FIRST) if process is None else process.level
            self._leader_level = _LeaderLevel(token, level)

    def on_ping_answer(
        self, name: str, pong: peers.Pong, asked_at: timedelta, now: timedelta
    ) -> None:
        """Record what a peer reports of its process in its answer to a ping.

        Raises ``MessageFormatError`` for values out of range.
        """
        process = age = state_age = None
        if pong.process is not None:
            process = _decode_process(pong.process)
            age = seconds(min(max(pong.process.age_ms / 1000, 0.0), MAX_AGE_S))
        if pong.state_age_ms is not None:
            state_age = seconds(min(pong.state_age_ms / 1000, MAX_AGE_S))
        previous = self._observations[name]
        observation = previous.with_answer(process, asked_at, now, age, state_age, pong.reaches)
        self._observations[name] = observation
        if observation.restarts > previous.restarts:
            build = UNLEVELLED_BUILD if process is None else process.build.name
            log.info("controller restarted: controller=%s build=%s", name, build)

    @property
    def effective_level(self) -> int:
        """The level that this controller writes and acts by; never above its leader's level."""
        recorded = self.record.writes
        leader = self._leader_level
        if leader is None:
            return recorded
        if self._leader_lock is None:
            return leader.level
        return min(recorded, leader.level) if leader.token >= self._leader_lock.token else recorded

    def election_delay(self, now: timedelta) -> timedelta:
        """Return how long to wait before campaigning for a free leader lock."""
        return election_delay(
            self.process, self._started_at, self._observations.values(), STATE_CONTACT_TIMEOUT, now
        )

    # -- as leader -------------------------------------------------------------------------

    def plan(
        self, highest_allowed_level: int | None, migration_backlog: MigrationBacklog, now: timedelta
    ) -> Plan:
        """Plan the next level change; see ``rollout.migration.plan``."""
        planned = plan(
            self.record,
            self.process,
            self._observations,
            highest_allowed_level,
            migration_backlog,
            now,
        )
        self.set_waits(planned.waits)
        return planned

    def set_waits(self, waits: Iterable[str]) -> None:
        """Record what the next level change waits for, for display to operators."""
        waits = tuple(waits)
        for wait in waits:
            if wait not in self._waits:
                log.debug("feature level change waits: reason=%s", wait)
        self._waits = waits

    def level_line(self, now: timedelta) -> peers.LevelLine:
        """Return the level and all members, as shown in the overview."""
        record = self.record
        age_s = max(utc_now().timestamp() - record.since, 0.0) if record.since else 0.0
        return peers.LevelLine(
            record.level,
            record.writes,
            record.oldest,
            age_s,
            record.by,
            self._member_lines(now),
            list(self._waits),
        )

    def _member_lines(self, now: timedelta) -> list[peers.MemberLine]:
        own = self.process.build
        members = [peers.MemberLine(self.name, "leads", own.name, own.lowest, own.highest)]
        for name, observation in self._observations.items():
            status = presence(name, self._observations, now).value
            if observation.process is None:
                members.append(peers.MemberLine(name, status, UNLEVELLED_BUILD, 0, 0))
                continue
            build = observation.process.build
            refusal = build.refusal(self.record)
            if refusal is not None:
                status = f"{status}, serves nobody: {refusal}"
            members.append(peers.MemberLine(name, status, build.name, build.lowest, build.highest))
        return members


def _decode_process(process: peers.Process) -> Process:
    if not (math.isfinite(process.age_ms) and 0 <= process.lowest <= process.highest):
        raise MessageFormatError("a process that makes no sense")
    return Process(process.id, Build(process.build, process.lowest, process.highest))
