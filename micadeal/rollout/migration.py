"""The next step of the level, decided by the leader from what it sees and what is stored."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from micadeal.clock import seconds
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import PeerObservation, Presence, Process, presence
from micadeal.schema.keys import MEMBER
from micadeal.wire.state import LevelRecord

#: All must have shown the level in one process for so long before it is raised: a process that dies
#: at once after its start would only come back.
SETTLE = seconds(2)


@dataclass(frozen=True, slots=True)
class MigrationBacklog:
    """Records that the leader knows of in layouts other than the one that it writes."""

    older: int = 0
    newer: int = 0
    #: Of the newer ones, those that can't be written back within the service's limits.
    stuck: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """``move``: the record to be written now; None: nothing can be done yet, or nothing is to
    be."""

    move: LevelRecord | None = None
    #: The move needs every controller's consent by its member record.
    raises: bool = False
    #: What is waited for, in plain words.
    waits: tuple[str, ...] = ()


def plan(
    record: LevelRecord,
    own: Process,
    observations: Mapping[str, PeerObservation],
    ceiling: int | None,
    migration_backlog: MigrationBacklog,
    now: timedelta,
) -> Plan:
    """``sights``: of every other controller that the settings name; ``ceiling``: the highest level
    that the operators allow, None: any."""
    top = own.build.highest if ceiling is None else min(own.build.highest, ceiling)
    if top < record.writes:
        return _lower(record, own, observations, top)
    waits: tuple[str, ...] = ()
    if top > record.writes and top >= record.level:
        raising = _raise(record, own, observations, top, now)
        if raising.move is not None:
            return raising
        # What is under way at the level in force goes on meanwhile.
        waits = raising.waits
    if record.level > record.writes:
        return _write_back(record, migration_backlog, waits)
    if record.oldest < record.writes:
        if not migration_backlog.older:
            return Plan(_with(record, oldest=record.writes), waits=waits)
        waits = (*waits, f"{migration_backlog.older} records of earlier levels are still rewritten")
    if ceiling is not None and own.build.highest > ceiling == record.writes:
        waits = (*waits, f"the settings hold the level at {ceiling}")
    return Plan(waits=waits)


def _with(record: LevelRecord, **changes: int) -> LevelRecord:
    return msgspec.structs.replace(record, **changes)


def _raise(
    record: LevelRecord,
    own: Process,
    observations: Mapping[str, PeerObservation],
    top: int,
    now: timedelta,
) -> Plan:
    """To the highest level that all know; several at a time where all know them."""
    waits: list[str] = []
    target = top
    for name, observation in observations.items():
        seen = presence(name, observations, now)
        if seen is not Presence.PRESENT:
            waits.append(f"{name} is {seen.value}")
        elif observation.process is None:
            waits.append(f"{name} is of a version that knows of no levels")
        elif observation.process.build.highest <= record.writes:
            build = observation.process.build
            waits.append(f"{name} (build {build.name}) knows levels up to {build.highest}")
        elif observation.shown(now) < SETTLE:
            waits.append(f"{name} was started a moment ago")
        else:
            target = min(target, observation.process.build.highest)
    if waits or target < record.level:
        return Plan(waits=tuple(f"level {top}: {wait}" for wait in waits))
    members = {
        name: observation.process.id
        for name, observation in observations.items()
        if observation.process
    }
    return Plan(
        LevelRecord(target, target, record.oldest, members=members),
        raises=True,
    )


def _lower(
    record: LevelRecord, own: Process, observations: Mapping[str, PeerObservation], top: int
) -> Plan:
    """First nothing new is written at the level that is left; all still read it."""
    waits = [
        f"{name} (build {process.build.name}) writes no level below {process.build.lowest}"
        for name, process in [("this leader", own)]
        + [(n, s.process) for n, s in observations.items() if s.process is not None]
        if process.build.lowest > top
    ]
    if waits:
        return Plan(waits=tuple(f"can't go back to level {top}: {wait}" for wait in waits))
    return Plan(_with(record, writes=top, oldest=min(record.oldest, top)))


def _write_back(
    record: LevelRecord, migration_backlog: MigrationBacklog, waits: tuple[str, ...]
) -> Plan:
    if not migration_backlog.newer:
        return Plan(_with(record, level=record.writes))
    going = f"going back to level {record.writes}: "
    if migration_backlog.stuck:
        text = (
            f"{migration_backlog.stuck} records can't be written back within the state service's "
            "limits; "
            "they go with the jobs that they belong to"
        )
    else:
        text = f"{migration_backlog.newer} records are still written back"
    return Plan(waits=(*waits, going + text))


def confirm(
    found: Plan,
    leader_lock: LeaderLock,
    name: str,
    own: Process,
    observations: Mapping[str, PeerObservation],
) -> Sequence[str]:
    """What the member records say against a raise; nothing: it may be tried, on condition that they
    are still the same.

    Guards against a level that somebody can't read: the process that was heard must be the one
    that is recorded, so one that was started since makes the transaction fail.
    """
    assert found.move is not None
    against: list[str] = []
    heard = {name: own, **{peer: observation.process for peer, observation in observations.items()}}
    for who, process in heard.items():
        member = leader_lock.members.get(who)
        if MEMBER + who in leader_lock.damaged:
            against.append(f"the record {MEMBER + who} can't be read: restart {who} to mend it")
        elif member is None or process is None or member != process:
            against.append(f"{who}'s recorded process is not the one that answers")
        elif (refused := process.build.refusal(found.move)) is not None:
            against.append(f"{who}: {refused}")
    return against
