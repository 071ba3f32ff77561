"""One controller's part in levels: its own process, what it knows of the others, the level it acts
by.

No I/O; the decisions are those of ``rollout/``.  Owned by the node, like ``Standing``.
"""

from __future__ import annotations

import logging
import math
import secrets
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from micadeal import __version__
from micadeal.clock import seconds, wall
from micadeal.controller.standing import TOUCH
from micadeal.rollout import seat as seats
from micadeal.rollout.levels import Build, Level
from micadeal.rollout.membership import Process, Sight, deference, presence
from micadeal.rollout.seat import Seat
from micadeal.rollout.steps import Plan, Stock, plan
from micadeal.stored.keys import LEVEL
from micadeal.wire import mesh
from micadeal.wire.codec import BadMessage
from micadeal.wire.state import LevelRecord

log = logging.getLogger(__name__)


class Levels:
    def __init__(
        self, name: str, peers: Iterable[str], now: timedelta, build: Build | None = None
    ) -> None:
        """``peers``: all other controllers that the settings name."""
        self.name = name
        self.process = Process(secrets.token_hex(8), build or Build(__version__))
        self.born = now
        self._sights = {peer: Sight() for peer in peers}
        #: What was read last of all that is recorded; None: nothing yet.
        self._seat: Seat | None = None
        #: The highest token whose leader has told us its level, and that level.
        self._told: tuple[int, int] | None = None
        self._refused: str | None = None
        self._waits: tuple[str, ...] = ()

    @property
    def sights(self) -> dict[str, Sight]:
        return dict(self._sights)

    @property
    def record(self) -> LevelRecord:
        """The level as last read."""
        return LevelRecord() if self._seat is None else self._seat.level

    # -- records ---------------------------------------------------------------------------

    def seen(self, seat: Seat) -> None:
        """All that is recorded, as just read."""
        if self._seat is not None and seat.revision < self._seat.revision:
            return
        if LEVEL in seat.damaged and self._seat is not None:
            # What was read before still holds for whoever leads by it; nobody else will.
            seat = replace(seat, level=self.record)
        before, self._seat = self.record, seat
        if seat.level != before:
            log.info(
                "level %d is in force, %d is written, nothing is older than %d",
                seat.level.level,
                seat.level.writes,
                seat.level.oldest,
            )
        refused = seats.refusal(seat, self.name, self.process)
        if refused is not None and refused != self._refused:
            # Once, not at every look.
            log.error("this controller neither leads nor serves users: %s", refused)
        self._refused = refused

    @property
    def refusal(self) -> str | None:
        """Why we may neither lead nor serve users; None: we may."""
        if self._seat is None:
            return "the level in force is not known yet"
        return self._refused

    @property
    def misfit(self) -> str | None:
        """The same, where it will not pass by itself."""
        return None if self._seat is None else self._refused

    # -- between controllers ---------------------------------------------------------------

    def introduction(self, now: timedelta) -> mesh.Process:
        build = self.process.build
        age = (now - self.born).total_seconds() * 1000
        return mesh.Process(
            self.process.id, build.name, build.lowest, build.highest, age, self.acts_at
        )

    def told(self, token: int, process: mesh.Process | None) -> None:
        """A leader has spoken to us.  One of a version that knows of no levels acts by the
        first."""
        if token and (self._told is None or token >= self._told[0]):
            self._told = (token, int(Level.FIRST) if process is None else process.level)

    def hear(self, name: str, pong: mesh.Pong, asked: timedelta, now: timedelta) -> None:
        """A peer's answer to our ping.  Raises ``BadMessage`` for what makes no sense."""
        found, process, age = pong.process, None, None
        if found is not None:
            if not (math.isfinite(found.age_ms) and 0 <= found.lowest <= found.highest):
                raise BadMessage("a process that makes no sense")
            process = Process(found.id, Build(found.build, found.lowest, found.highest))
            age = seconds(min(max(found.age_ms / 1000, 0.0), 1e9))
        touch = None if pong.state_age_ms is None else seconds(min(pong.state_age_ms / 1000, 1e9))
        before = self._sights[name]
        sight = before.hear(process, asked, now, age, touch, pong.reaches)
        self._sights[name] = sight
        if sight.restarts > before.restarts:
            build = "a version before levels" if process is None else process.build.name
            log.info("%s is another process now, of %s", name, build)

    @property
    def acts_at(self) -> int:
        """The level that we write and act by: never ahead of the leader whose word we have."""
        recorded = self.record.writes
        if self._told is None:
            return recorded
        token, level = self._told
        if self._seat is None:
            return level
        return min(recorded, level) if token >= self._seat.token else recorded

    def deference(self, now: timedelta) -> timedelta:
        return deference(self.process, self.born, self._sights.values(), TOUCH, now)

    # -- as leader -------------------------------------------------------------------------

    def plan(self, ceiling: int | None, stock: Stock, now: timedelta) -> Plan:
        found = plan(self.record, self.process, self._sights, ceiling, stock, now)
        self.waiting_for(found.waits)
        return found

    def waiting_for(self, waits: Iterable[str]) -> None:
        waits = tuple(waits)
        for wait in waits:
            if wait not in self._waits:
                log.debug("the level waits: %s", wait)
        self._waits = waits

    def line(self, now: timedelta) -> mesh.LevelLine:
        record = self.record
        own = self.process.build
        members = [mesh.MemberLine(self.name, "leads", own.name, own.lowest, own.highest)]
        for name, sight in self._sights.items():
            seen = presence(name, self._sights, now).value
            if sight.process is None:
                members.append(mesh.MemberLine(name, seen, "before levels", 0, 0))
                continue
            build = sight.process.build
            misfit = build.refusal(record)
            seen = seen if misfit is None else f"{seen}, serves nobody: {misfit}"
            members.append(mesh.MemberLine(name, seen, build.name, build.lowest, build.highest))
        since = max(wall().timestamp() - record.since, 0.0) if record.since else 0.0
        return mesh.LevelLine(
            record.level,
            record.writes,
            record.oldest,
            since,
            record.by,
            members,
            list(self._waits),
        )
