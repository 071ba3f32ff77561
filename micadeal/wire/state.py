"""The state service's requests and answers, and the records that we keep in it."""

from __future__ import annotations

from typing import Any

import msgspec

from micadeal.wire.users import Status, Submission


class Item(
    msgspec.Struct,
    rename={"key": "k", "value": "data", "version": "stamp", "lease": "permit"},
):
    key: str
    value: Any
    version: int
    lease: int | None = None


class Page(msgspec.Struct, rename={"more": "has_next", "revision": "ledger"}):
    items: list[Item]
    revision: int
    more: bool = False


class Condition(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    key: str
    version: int


class Put(
    msgspec.Struct,
    rename={"key": "put", "value": "data", "lease": "permit"},
    omit_defaults=True,
):
    key: str
    value: Any
    lease: int | None = None


class Drop(msgspec.Struct, rename={"key": "drop"}):
    key: str


class Transaction(msgspec.Struct, rename={"conditions": "if", "changes": "then"}):
    conditions: list[Condition]
    changes: list[Put | Drop] = []


class Revision(msgspec.Struct, rename={"revision": "ledger"}):
    revision: int = 0


class Failed(msgspec.Struct):
    """With status 409: the keys that have another version."""

    failed: list[str]


class LeaseRequest(msgspec.Struct):
    ttl_ms: int


class LeaseAnswer(msgspec.Struct, rename={"lease": "permit"}):
    lease: int


class Event(
    msgspec.Struct,
    rename={"put": "put", "drop": "drop", "value": "data", "version": "stamp"},
):
    version: int
    put: str | None = None
    drop: str | None = None
    value: Any = None


class WatchResponse(msgspec.Struct, rename={"revision": "ledger", "events": "news"}):
    revision: int
    events: list[Event]


# -- records of ours ---------------------------------------------------------------------------


class LeaderRecord(msgspec.Struct, omit_defaults=True):
    """Under ``leader``: who leads, or from level 1 on did so last (rollout/leader_lock.py)."""

    controller: str
    lease: int
    # The term's token where it is not the record's version: the level has moved since.
    term: int = 0


class LockHolderRecord(msgspec.Struct):
    """Under ``seat/held``, attached to the lease it names: the seat is taken."""

    controller: str
    lease: int


class LevelRecord(msgspec.Struct, frozen=True):
    """Under ``seat/level``: what the controllers write and do (rollout/feature_level.py)."""

    # Whoever leads or serves users must know this level.
    level: int = 0
    # What is written and done; below ``level`` while the level is lowered.
    writes: int = 0
    # The oldest layout of which records may still be stored.
    oldest: int = 0
    # How it came to be: when (time of day), by whom, in which term, and the process of every other
    # controller that had shown the level by then.
    since: float = 0.0
    by: str = ""
    term: int = 0
    members: dict[str, str] = {}


class MemberRecord(msgspec.Struct):
    """Under ``seat/member/<name>``: the controller's present process, written once by it."""

    process: str
    build: str
    lowest: int
    highest: int
    started_at: float


class JobRecord(msgspec.Struct):
    """Under ``job/<id>`` as long as the job is neither done nor cancelled."""

    submission: Submission
    submitted_at: float


class _Needs(msgspec.Struct, rename={"prerequisites": "waits_on"}):
    prerequisites: list[str] | None = None


class JobNeeds(msgspec.Struct):
    """Of a ``JobRecord`` only which jobs it waits for."""

    submission: _Needs


class SplitRecord(msgspec.Struct):
    """Under ``job/<id>`` in the place of a ``JobRecord`` that is too large for one value.

    The rest of the text is under ``part/<id>/<number>``, written in the same transaction.  The
    versions before this layout can't read it and leave such a job alone.
    """

    parts: int
    text: str


class PartRecord(msgspec.Struct):
    """Under ``part/<id>/<number>``, from 1: more text of a ``SplitRecord``."""

    text: str


class EndRecord(msgspec.Struct, omit_defaults=True):
    """Under ``end/<id>`` for ever: the final answer, and what one task took of a machine, since
    tasks of a cancelled job count for its team until they are gone."""

    status: Status
    tasks: int = 0
    ended_at: float = 0.0
    team: str = ""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    @classmethod
    def of(cls, status: Status, spec: Submission, ended_at: float) -> EndRecord:
        return cls(status, spec.tasks, ended_at, spec.team, spec.cpus, spec.gpus, spec.memory_gb)


class EndStatus(msgspec.Struct):
    """Of an ``EndRecord`` only the final answer: what must be told though the rest is damaged."""

    status: Status


class FinishedRecord(msgspec.Struct):
    """Under ``done/<id>/<chunk>`` or, in smaller chunks, ``finished/<id>/<chunk>``: a base64
    bitmap of the finished tasks of one chunk."""

    bits: str


class PlacedTask(msgspec.Struct, array_like=True, frozen=True):
    job_id: str
    index: int
    attempt: int


class PlacedMachine(msgspec.Struct, array_like=True):
    """A machine as a record of placements names it, with the tasks placed on it."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    incarnation: int
    tasks: list[PlacedTask]


class PlacedRecord(msgspec.Struct):
    """Under ``placed/<token>/<number>``: tasks that may be on machines; written before any start.

    One record holds all that a step placed, on however many machines: the state service counts
    keys, not bytes.
    """

    machines: list[PlacedMachine]


class MachineRecord(msgspec.Struct, rename={"incarnation": "session"}):
    """Under ``machine/<name>`` in the layout before ``placed/``: still read, never written."""

    machine_type: str
    zone: str
    spot: bool
    address: str
    incarnation: int
    tasks: list[PlacedTask]

    def placed(self, name: str) -> PlacedRecord:
        return PlacedRecord(
            [
                PlacedMachine(
                    name,
                    self.address,
                    self.machine_type,
                    self.zone,
                    self.spot,
                    self.incarnation,
                    self.tasks,
                )
            ]
        )


class ImagesRecord(msgspec.Struct):
    """Under ``images/<page>``: images that machines are likely to hold, the last used first.

    Only a help for placing; nothing depends on its being right.
    """

    machines: dict[str, list[str]]


class LeavingRecord(msgspec.Struct):
    """Under ``leaving/<token>/<n>``: machines with tasks that the cloud is asked to end.

    Only a help for the next leader, which asks at once again instead of waiting for word of them.
    """

    at: float
    machines: list[str]


class SettingsRecord(msgspec.Struct, omit_defaults=True):
    """Under ``settings``: the operators' script and who may check what it evaluated to."""

    script: str
    applied_at: float = 0.0
    values: dict[str, Any] = {}
    # The highest level that the operators allow (docs/rollout.md); not among the values, of which
    # versions before levels refuse what they do not know.
    highest_level: int | None = None
