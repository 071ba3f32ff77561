"""The next change of the feature level, decided by the leader from peers and stored records."""

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

#: Before the level is raised, each controller must have been present for this long with the same
#: process.  A process that crashes right after its start would only be restarted and crash again.
MIN_PRESENCE = seconds(2)


@dataclass(frozen=True, slots=True)
class MigrationBacklog:
    """Numbers of records, known to the leader, in layouts other than the one that it writes."""

    older: int = 0
    newer: int = 0
    #: The newer records that can't be written back within the state service's limits.
    stuck: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """The next change of the level, and what further changes wait for."""

    #: The level record to write now; None: no change is possible yet, or none is needed.
    next_record: LevelRecord | None = None
    #: Whether ``next_record`` raises the level, which every controller's member record must allow.
    is_raise: bool = False
    #: The conditions that are waited for, as shown to operators.
    waits: tuple[str, ...] = ()


def plan(
    record: LevelRecord,
    own: Process,
    observations: Mapping[str, PeerObservation],
    highest_allowed_level: int | None,
    migration_backlog: MigrationBacklog,
    now: timedelta,
) -> Plan:
    """Return the next change of the feature level; ``record`` is the level in force.

    ``observations`` has an entry for every peer that the settings name.
    ``highest_allowed_level`` is the highest level that the operators allow; None: any.
    """
    highest = (
        own.build.highest
        if highest_allowed_level is None
        else min(own.build.highest, highest_allowed_level)
    )
    if highest < record.writes:
        return _plan_lowering(record, own, observations, highest)
    waits: tuple[str, ...] = ()
    if highest > record.writes and highest >= record.level:
        raising = _plan_raise(record, observations, highest, now)
        if raising.next_record is not None:
            return raising
        # Meanwhile the migration at the level in force continues.
        waits = raising.waits
    if record.level > record.writes:
        return _plan_write_back(record, migration_backlog, waits)
    if record.oldest < record.writes:
        if not migration_backlog.older:
            return Plan(_with(record, oldest=record.writes), waits=waits)
        waits = (*waits, f"{migration_backlog.older} records of earlier levels are still rewritten")
    if (
        highest_allowed_level is not None
        and own.build.highest > highest_allowed_level == record.writes
    ):
        waits = (*waits, f"the settings hold the level at {highest_allowed_level}")
    return Plan(waits=waits)


def _with(record: LevelRecord, **changes: int) -> LevelRecord:
    return msgspec.structs.replace(record, **changes)


def _plan_raise(
    record: LevelRecord,
    observations: Mapping[str, PeerObservation],
    highest: int,
    now: timedelta,
) -> Plan:
    """Plan a raise to the highest level that all controllers know; it may skip levels."""
    waits: list[str] = []
    target = highest
    for name, observation in observations.items():
        obstacle = _obstacle_to_raise(record, name, observations, now)
        if obstacle is not None:
            waits.append(obstacle)
        elif observation.process is not None:
            target = min(target, observation.process.build.highest)
    if waits or target < record.level:
        return Plan(waits=tuple(f"level {highest}: {wait}" for wait in waits))
    members = {
        name: observation.process.id
        for name, observation in observations.items()
        if observation.process
    }
    return Plan(LevelRecord(target, target, record.oldest, members=members), is_raise=True)


def _obstacle_to_raise(
    record: LevelRecord,
    name: str,
    observations: Mapping[str, PeerObservation],
    now: timedelta,
) -> str | None:
    """Return why one peer prevents a raise of the level beyond ``record``; None: it does not."""
    observation = observations[name]
    peer_presence = presence(name, observations, now)
    if peer_presence is not Presence.PRESENT:
        return f"{name} is {peer_presence.value}"
    if observation.process is None:
        return f"{name} is of a version that knows of no levels"
    build = observation.process.build
    if build.highest <= record.writes:
        return f"{name} (build {build.name}) knows levels up to {build.highest}"
    if observation.present_for(now) < MIN_PRESENCE:
        return f"{name} was started a moment ago"
    return None


def _plan_lowering(
    record: LevelRecord,
    own: Process,
    observations: Mapping[str, PeerObservation],
    highest: int,
) -> Plan:
    """Plan the first step down: stop writing at the higher level, which all still read."""
    processes = [("this leader", own)]
    for name, observation in observations.items():
        if observation.process is not None:
            processes.append((name, observation.process))
    waits = tuple(
        f"can't go back to level {highest}: {name} (build {process.build.name}) "
        f"writes no level below {process.build.lowest}"
        for name, process in processes
        if process.build.lowest > highest
    )
    if waits:
        return Plan(waits=waits)
    return Plan(_with(record, writes=highest, oldest=min(record.oldest, highest)))


def _plan_write_back(
    record: LevelRecord, migration_backlog: MigrationBacklog, waits: tuple[str, ...]
) -> Plan:
    """Plan the last step down, once no record of the higher level is stored any more."""
    if not migration_backlog.newer:
        return Plan(_with(record, level=record.writes))
    if migration_backlog.stuck:
        reason = (
            f"{migration_backlog.stuck} records can't be written back within the state service's "
            "limits; they go with the jobs that they belong to"
        )
    else:
        reason = f"{migration_backlog.newer} records are still written back"
    return Plan(waits=(*waits, f"going back to level {record.writes}: {reason}"))


def objections_to_raise(
    planned: Plan,
    leader_lock: LeaderLock,
    name: str,
    own: Process,
    observations: Mapping[str, PeerObservation],
) -> Sequence[str]:
    """Return the objections to a planned raise that follow from the member records.

    If there are none, the raise may be written, on condition that the records are unchanged.

    Guards against a level that some controller can't read: the observed process must be the
    recorded one, so a process that starts later makes the transaction fail.
    """
    assert planned.next_record is not None
    objections: list[str] = []
    processes = {
        name: own,
        **{peer: observation.process for peer, observation in observations.items()},
    }
    for controller, process in processes.items():
        member = leader_lock.members.get(controller)
        key = MEMBER + controller
        if key in leader_lock.damaged:
            objections.append(f"the record {key} can't be read: restart {controller} to mend it")
        elif member is None or process is None or member != process:
            objections.append(f"{controller}'s recorded process is not the one that answers")
        elif (refused := process.build.refusal(planned.next_record)) is not None:
            objections.append(f"{controller}: {refused}")
    return objections
