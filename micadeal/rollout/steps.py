"""The next step of the level, decided by the leader from what it sees and what is stored."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from micadeal.clock import seconds
from micadeal.rollout.membership import Presence, Process, Sight, presence
from micadeal.rollout.seat import Seat
from micadeal.stored.keys import MEMBER
from micadeal.wire.state import LevelRecord

#: All must have shown the level in one process for so long before it is raised: a process that dies
#: at once after its start would only come back.
SETTLE = seconds(2)


@dataclass(frozen=True, slots=True)
class Stock:
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
    sights: Mapping[str, Sight],
    ceiling: int | None,
    stock: Stock,
    now: timedelta,
) -> Plan:
    """``sights``: of every other controller that the settings name; ``ceiling``: the highest level
    that the operators allow, None: any."""
    top = own.build.highest if ceiling is None else min(own.build.highest, ceiling)
    if top < record.writes:
        return _lower(record, own, sights, top)
    waits: tuple[str, ...] = ()
    if top > record.writes and top >= record.level:
        raising = _raise(record, own, sights, top, now)
        if raising.move is not None:
            return raising
        # What is under way at the level in force goes on meanwhile.
        waits = raising.waits
    if record.level > record.writes:
        return _write_back(record, stock, waits)
    if record.oldest < record.writes:
        if not stock.older:
            return Plan(_with(record, oldest=record.writes), waits=waits)
        waits = (*waits, f"{stock.older} records of earlier levels are still rewritten")
    if ceiling is not None and own.build.highest > ceiling == record.writes:
        waits = (*waits, f"the settings hold the level at {ceiling}")
    return Plan(waits=waits)


def _with(record: LevelRecord, **changes: int) -> LevelRecord:
    return msgspec.structs.replace(record, **changes)


def _raise(
    record: LevelRecord, own: Process, sights: Mapping[str, Sight], top: int, now: timedelta
) -> Plan:
    """To the highest level that all know; several at a time where all know them."""
    waits: list[str] = []
    target = top
    for name, sight in sights.items():
        seen = presence(name, sights, now)
        if seen is not Presence.PRESENT:
            waits.append(f"{name} is {seen.value}")
        elif sight.process is None:
            waits.append(f"{name} is of a version that knows of no levels")
        elif sight.process.build.highest <= record.writes:
            build = sight.process.build
            waits.append(f"{name} (build {build.name}) knows levels up to {build.highest}")
        elif sight.shown(now) < SETTLE:
            waits.append(f"{name} was started a moment ago")
        else:
            target = min(target, sight.process.build.highest)
    if waits or target < record.level:
        return Plan(waits=tuple(f"level {top}: {wait}" for wait in waits))
    members = {name: sight.process.id for name, sight in sights.items() if sight.process}
    return Plan(
        LevelRecord(target, target, record.oldest, members=members),
        raises=True,
    )


def _lower(record: LevelRecord, own: Process, sights: Mapping[str, Sight], top: int) -> Plan:
    """First nothing new is written at the level that is left; all still read it."""
    waits = [
        f"{name} (build {process.build.name}) writes no level below {process.build.lowest}"
        for name, process in [("this leader", own)]
        + [(n, s.process) for n, s in sights.items() if s.process is not None]
        if process.build.lowest > top
    ]
    if waits:
        return Plan(waits=tuple(f"can't go back to level {top}: {wait}" for wait in waits))
    return Plan(_with(record, writes=top, oldest=min(record.oldest, top)))


def _write_back(record: LevelRecord, stock: Stock, waits: tuple[str, ...]) -> Plan:
    if not stock.newer:
        return Plan(_with(record, level=record.writes))
    going = f"going back to level {record.writes}: "
    if stock.stuck:
        text = (
            f"{stock.stuck} records can't be written back within the state service's limits; "
            "they go with the jobs that they belong to"
        )
    else:
        text = f"{stock.newer} records are still written back"
    return Plan(waits=(*waits, going + text))


def confirm(
    found: Plan, seat: Seat, name: str, own: Process, sights: Mapping[str, Sight]
) -> Sequence[str]:
    """What the member records say against a raise; nothing: it may be tried, on condition that they
    are still the same.

    Guards against a level that somebody can't read: the process that was heard must be the one
    that is recorded, so one that was started since makes the transaction fail.
    """
    assert found.move is not None
    against: list[str] = []
    heard = {name: own, **{peer: sight.process for peer, sight in sights.items()}}
    for who, process in heard.items():
        member = seat.members.get(who)
        if MEMBER + who in seat.damaged:
            against.append(f"the record {MEMBER + who} can't be read: restart {who} to mend it")
        elif member is None or process is None or member != process:
            against.append(f"{who}'s recorded process is not the one that answers")
        elif (refused := process.build.refusal(found.move)) is not None:
            against.append(f"{who}: {refused}")
    return against
