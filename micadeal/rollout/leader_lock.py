"""The leader lock, the feature level and the member records, and the transactions on them.

All records but ``leader`` share one prefix.  The prefix and ``leader`` are read one after the
other, so they may show different moments.  Every transaction depends on the versions that were
read.

- ``leader``: name and lease of the leader.  At level 0 it is attached to that lease and deleted
  with it, as in versions without levels.  From level 1 on it is never deleted.  Versions without
  levels campaign only if the key does not exist, so they can no longer be elected.
- ``seat/held``: from level 1 on, attached to the leader's lease.  The lock is taken while this key
  exists.
- ``seat/level``: the level in force (``LevelRecord``); if absent, level 0.
- ``seat/member/<name>``: the current process of each controller.
- ``seat/unconfirmed/<name>``: the cancellations that a controller can't confirm alone.  Not part of
  the lock, but read with it, because all followers read this prefix.

A term's token is the revision of the transaction that won the election.  Every write of a leader
depends on the version of ``leader``, its *fence*.  Each change of the level rewrites ``leader``, so
nothing that was sent before the change can be applied after it.  The token stays the same; the
rewritten record contains it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from micadeal.rollout.feature_level import Build, FeatureLevel, is_valid
from micadeal.rollout.membership import Process
from micadeal.schema.keys import LEADER, LEVEL, LOCK_HOLDER, MEMBER, UNCONFIRMED
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.state import (
    Condition,
    Delete,
    Item,
    LeaderRecord,
    LevelRecord,
    LockHolderRecord,
    MemberRecord,
    Put,
    UnconfirmedRecord,
)

#: The conditions and the changes of a transaction.
Transaction = tuple[list[Condition], list[Put | Delete]]


@dataclass(frozen=True, slots=True)
class LeaderLock:
    """The records of leader, level and members, as read at ``revision``."""

    revision: int
    leader: LeaderRecord | None = None
    holder: LockHolderRecord | None = None
    level: LevelRecord = field(default_factory=LevelRecord)
    members: Mapping[str, Process] = field(default_factory=dict)
    #: The cancelled jobs that a controller can't confirm alone, by the controller's name.
    unconfirmed: Mapping[str, Sequence[str]] = field(default_factory=dict)
    #: Versions of all keys, readable or not.
    versions: Mapping[str, int] = field(default_factory=dict)
    #: Keys whose values are unreadable or inconsistent.
    damaged: tuple[str, ...] = ()

    def unchanged_condition(self, key: str) -> Condition:
        """Return the condition that a key, damaged or not, has not changed since it was read."""
        return Condition(key, self.versions.get(key, 0))

    @property
    def fence(self) -> int:
        """The version of ``leader``; 0: it does not exist."""
        return self.versions.get(LEADER, 0)

    @property
    def token(self) -> int:
        """The token of the current or last term; 0: there was none."""
        return 0 if self.leader is None else self.leader.term or self.fence

    @property
    def taken(self) -> bool:
        """Whether a controller holds the lock."""
        return self.holder is not None if self.fenced else self.leader is not None

    @property
    def fenced(self) -> bool:
        """Whether the level in force keeps ``leader`` when a term ends."""
        return self.level.level >= FeatureLevel.FENCED

    @property
    def lease(self) -> int:
        """The lease of the controller that holds the lock; 0: no controller does."""
        if self.holder is not None:
            return self.holder.lease
        return 0 if self.leader is None else self.leader.lease


def read(items: Iterable[Item], revision: int) -> LeaderLock:
    """Decode the records.

    Damaged records are listed in the result instead of raising an error.  No controller leads while
    the record of the level or of the leader is among them.
    """
    versions: dict[str, int] = {}
    members: dict[str, Process] = {}
    unconfirmed: dict[str, Sequence[str]] = {}
    damaged: list[str] = []
    leader: LeaderRecord | None = None
    holder: LockHolderRecord | None = None
    level = LevelRecord()
    for item in items:
        versions[item.key] = item.version
        try:
            if item.key == LEADER:
                leader = convert(LeaderRecord, item.value)
            elif item.key == LOCK_HOLDER:
                holder = convert(LockHolderRecord, item.value)
            elif item.key == LEVEL:
                level = _decode_level(item)
            elif item.key.startswith(MEMBER):
                members[item.key.removeprefix(MEMBER)] = _decode_member(item)
            elif item.key.startswith(UNCONFIRMED):
                name = item.key.removeprefix(UNCONFIRMED)
                unconfirmed[name] = convert(UnconfirmedRecord, item.value).job_ids
        except MessageFormatError:
            damaged.append(item.key)
    return LeaderLock(
        revision, leader, holder, level, members, unconfirmed, versions, tuple(damaged)
    )


def _decode_level(item: Item) -> LevelRecord:
    record = convert(LevelRecord, item.value)
    if not is_valid(record):
        raise MessageFormatError("the level record is inconsistent")
    return record


def _decode_member(item: Item) -> Process:
    record = convert(MemberRecord, item.value)
    return Process(record.process, Build(record.build, record.lowest, record.highest))


def registered(leader_lock: LeaderLock, name: str, process: Process) -> bool:
    """Return whether the member record of controller ``name`` is that of ``process``."""
    member = leader_lock.members.get(name)
    return member is not None and member.id == process.id


def registration(
    leader_lock: LeaderLock, name: str, process: Process, started_at: float
) -> Transaction:
    """Return the transaction that writes the member record of this process.

    It depends on the previous record, so that a delayed transaction of an earlier process can't
    overwrite it.
    """
    key = MEMBER + name
    build = process.build
    record = MemberRecord(process.id, build.name, build.lowest, build.highest, started_at)
    return [leader_lock.unchanged_condition(key)], [Put(key, record)]


def refusal(leader_lock: LeaderLock, name: str, process: Process) -> str | None:
    """Return why this process must neither campaign nor serve users; None: it may."""
    for key in (LEVEL, LEADER):
        if key in leader_lock.damaged:
            return f"the record {key} can't be read: nobody leads by it until it is mended"
    refused = process.build.refusal(leader_lock.level)
    if refused is None and not registered(leader_lock, name, process):
        return f"another process is recorded for {name}"
    return refused


def acquisition(leader_lock: LeaderLock, name: str, lease: int) -> Transaction:
    """Return the transaction that takes the free lock.

    It depends on the level and on the controller's own member record, so it fails if the level was
    changed or a later process of the controller was registered since they were read.
    """
    conditions = [leader_lock.unchanged_condition(key) for key in (LEADER, LEVEL, MEMBER + name)]
    if not leader_lock.fenced:
        return conditions, [Put(LEADER, LeaderRecord(name, lease), lease)]
    conditions.append(Condition(LOCK_HOLDER, 0))
    return conditions, [
        Put(LEADER, LeaderRecord(name, lease)),
        Put(LOCK_HOLDER, LockHolderRecord(name, lease), lease),
    ]


def level_change(
    leader_lock: LeaderLock,
    record: LevelRecord,
    name: str,
    lease: int,
    token: int,
    depends_on: Sequence[str],
) -> Transaction:
    """Return the transaction by which the leader of the term ``token`` changes the level.

    ``depends_on`` names the controllers whose member records must not have changed since they were
    read.
    """
    members = (MEMBER + member for member in depends_on)
    conditions = [leader_lock.unchanged_condition(key) for key in (LEADER, LEVEL, *members)]
    leader = LeaderRecord(name, lease, token)
    changes: list[Put | Delete] = [Put(LEVEL, record)]
    if record.level >= FeatureLevel.FENCED:
        changes += [Put(LEADER, leader), Put(LOCK_HOLDER, LockHolderRecord(name, lease), lease)]
    else:
        changes.append(Put(LEADER, leader, lease))
        if LOCK_HOLDER in leader_lock.versions:
            changes.append(Delete(LOCK_HOLDER))
    return conditions, changes
