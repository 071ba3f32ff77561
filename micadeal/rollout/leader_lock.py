"""The seat: who leads, at which level, which processes serve; and the transactions that change it.

All but ``leader`` itself is under one prefix.  What is read of the two may be of different moments;
every transaction depends on the versions that were read.

- ``leader``: name and lease of the leader.  At level 0 it is attached to that lease, as the
  versions before levels have it, and vanishes with it.  From level 1 on it never vanishes: such a
  version stands for the seat only where the key does not exist, so it can't be elected any more.
- ``seat/held``: from level 1 on, attached to the leader's lease: the seat is taken as long as it
  exists.
- ``seat/level``: the level in force (``LevelRecord``); absent: 0.
- ``seat/member/<name>``: the present process of each controller.

A term's token is the revision of the transaction that won it.  Every write of a leader depends on
the version of ``leader``, its *fence*.  Each move of the level writes ``leader`` anew, so nothing
that was sent before the move can be applied after it; the token stays, and is named in the record.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from micadeal.rollout.feature_level import Build, FeatureLevel, sensible
from micadeal.rollout.membership import Process
from micadeal.schema.keys import LEADER, LEVEL, LOCK_HOLDER, MEMBER
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.state import (
    Condition,
    Drop,
    Item,
    LeaderRecord,
    LevelRecord,
    LockHolderRecord,
    MemberRecord,
    Put,
)


@dataclass(frozen=True, slots=True)
class LeaderLock:
    revision: int
    leader: LeaderRecord | None = None
    held: LockHolderRecord | None = None
    level: LevelRecord = field(default_factory=LevelRecord)
    members: Mapping[str, Process] = field(default_factory=dict)
    #: Versions of all keys, readable or not.
    versions: Mapping[str, int] = field(default_factory=dict)
    #: Keys whose values can't be read, or make no sense.
    damaged: tuple[str, ...] = ()

    def unchanged(self, key: str) -> Condition:
        """That a key is as it was read; a damaged one, too."""
        return Condition(key, self.versions.get(key, 0))

    @property
    def fence(self) -> int:
        """The version of ``leader``; 0: there is none."""
        return self.versions.get(LEADER, 0)

    @property
    def token(self) -> int:
        """Of the present or last term."""
        return 0 if self.leader is None else self.leader.term or self.fence

    @property
    def taken(self) -> bool:
        return self.held is not None if self.fenced else self.leader is not None

    @property
    def fenced(self) -> bool:
        return self.level.level >= FeatureLevel.FENCED

    @property
    def lease(self) -> int:
        """Of whoever holds the seat; 0: nobody does."""
        if self.held is not None:
            return self.held.lease
        return 0 if self.leader is None else self.leader.lease


def read(items: Iterable[Item], revision: int) -> LeaderLock:
    """A damaged record is named, not guessed at: nobody leads by a level that can't be read."""
    versions: dict[str, int] = {}
    members: dict[str, Process] = {}
    damaged: list[str] = []
    leader: LeaderRecord | None = None
    held: LockHolderRecord | None = None
    level = LevelRecord()
    for item in items:
        versions[item.key] = item.version
        try:
            if item.key == LEADER:
                leader = convert(LeaderRecord, item.value)
            elif item.key == LOCK_HOLDER:
                held = convert(LockHolderRecord, item.value)
            elif item.key == LEVEL:
                found = convert(LevelRecord, item.value)
                if not sensible(found):
                    raise MessageFormatError("no such level")
                level = found
            elif item.key.startswith(MEMBER):
                found_member = convert(MemberRecord, item.value)
                build = Build(found_member.build, found_member.lowest, found_member.highest)
                members[item.key.removeprefix(MEMBER)] = Process(found_member.process, build)
        except MessageFormatError:
            damaged.append(item.key)
    return LeaderLock(revision, leader, held, level, members, versions, tuple(damaged))


def registered(leader_lock: LeaderLock, name: str, process: Process) -> bool:
    member = leader_lock.members.get(name)
    return member is not None and member.id == process.id


def registration(
    leader_lock: LeaderLock, name: str, process: Process, started_at: float
) -> tuple[list[Condition], list[Put | Drop]]:
    """Writes the record of our process; depends on the one before, so that a transaction of an
    earlier process that is applied late can't undo it."""
    key = MEMBER + name
    build = process.build
    record = MemberRecord(process.id, build.name, build.lowest, build.highest, started_at)
    return [leader_lock.unchanged(key)], [Put(key, record)]


def refusal(leader_lock: LeaderLock, name: str, process: Process) -> str | None:
    """Why this process must not stand for the seat, nor serve users; None: it may."""
    for key in (LEVEL, LEADER):
        if key in leader_lock.damaged:
            return f"the record {key} can't be read: nobody leads by it until it is mended"
    refused = process.build.refusal(leader_lock.level)
    if refused is None and not registered(leader_lock, name, process):
        return f"another process is recorded for {name}"
    return refused


def follower_leases(
    leader_lock: LeaderLock, name: str, process: Process, lease: int
) -> tuple[list[Condition], list[Put | Drop]]:
    """Takes an empty seat.  Depends on the level and on our own member record, so that neither a
    raise nor a later process of ours can come in between."""
    conditions = [leader_lock.unchanged(key) for key in (LEADER, LEVEL, MEMBER + name)]
    if not leader_lock.fenced:
        return conditions, [Put(LEADER, LeaderRecord(name, lease), lease)]
    conditions.append(Condition(LOCK_HOLDER, 0))
    return conditions, [
        Put(LEADER, LeaderRecord(name, lease)),
        Put(LOCK_HOLDER, LockHolderRecord(name, lease), lease),
    ]


def moving(
    leader_lock: LeaderLock,
    to: LevelRecord,
    name: str,
    lease: int,
    token: int,
    depends_on: Sequence[str],
) -> tuple[list[Condition], list[Put | Drop]]:
    """Moves the level, as the leader of the term with this token.

    ``depends_on``: names of controllers whose member records must be as they were read.
    """
    members = (MEMBER + who for who in depends_on)
    conditions = [leader_lock.unchanged(key) for key in (LEADER, LEVEL, *members)]
    leader = LeaderRecord(name, lease, token)
    changes: list[Put | Drop] = [Put(LEVEL, to)]
    if to.level >= FeatureLevel.FENCED:
        changes += [Put(LEADER, leader), Put(LOCK_HOLDER, LockHolderRecord(name, lease), lease)]
    else:
        changes.append(Put(LEADER, leader, lease))
        if LOCK_HOLDER in leader_lock.versions:
            changes.append(Drop(LOCK_HOLDER))
    return conditions, changes
