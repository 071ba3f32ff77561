"""Messages between a controller and the state service, and the records stored in it.

The state service is a strongly consistent key-value store.  Its revision counts every change, and
the version of a key is the revision of its last change.
"""

from __future__ import annotations

from typing import Any

import msgspec

from micadeal.wire.users import Status, Submission

# -- messages of the state service -------------------------------------------------------------


class Item(
    msgspec.Struct,
    rename={"key": "k", "value": "data", "version": "stamp", "lease": "permit"},
):
    """A key with its value: the answer to ``GET /keys/<key>``, or one of a ``Page``."""

    key: str
    value: Any
    version: int
    #: The lease whose expiry removes the key; None: it is attached to none.
    lease: int | None = None


class Page(msgspec.Struct, rename={"more": "has_next", "revision": "ledger"}):
    """The answer to ``GET /keys``: one page of the keys under a prefix, in order of keys."""

    items: list[Item]
    #: Revision of the store when the page was read.
    revision: int
    #: Whether another page follows.
    more: bool = False


class Condition(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """A condition of a ``Transaction``: the key has this version (0: it does not exist)."""

    key: str
    version: int


class Put(
    msgspec.Struct,
    rename={"key": "put", "value": "data", "lease": "permit"},
    omit_defaults=True,
):
    """A change of a ``Transaction``: set a key, and attach it to ``lease`` or to none."""

    key: str
    value: Any
    lease: int | None = None


class Delete(msgspec.Struct, rename={"key": "drop"}):
    """A change of a ``Transaction``: delete a key."""

    key: str


class Transaction(msgspec.Struct, rename={"conditions": "if", "changes": "then"}):
    """A compare-and-swap, sent to ``POST /txn``.

    All changes are made, with one revision, if all conditions hold; else none is.
    """

    conditions: list[Condition]
    changes: list[Put | Delete] = []


class Revision(msgspec.Struct, rename={"revision": "ledger"}):
    """The answer, status 200, to a ``Transaction`` whose conditions held."""

    revision: int = 0


class FailedConditions(msgspec.Struct):
    """The answer, status 409, to a ``Transaction``: the keys that have another version."""

    failed: list[str]


class LeaseRequest(msgspec.Struct):
    """A request for a new lease, sent to ``POST /leases``."""

    #: Time from the last renewal to the expiry.
    ttl_ms: int


class LeaseGrant(msgspec.Struct, rename={"lease": "permit"}):
    """The answer to a ``LeaseRequest``."""

    #: Id of the new lease.
    lease: int


class Event(
    msgspec.Struct,
    rename={"put": "put", "drop": "drop", "value": "data", "version": "stamp"},
):
    """One change in a ``WatchResponse``: either ``put`` or ``drop`` names the key."""

    #: The revision of the change.
    version: int
    put: str | None = None
    drop: str | None = None
    #: The new value, with ``put``.
    value: Any = None


class WatchResponse(msgspec.Struct, rename={"revision": "ledger", "events": "news"}):
    """The answer to ``GET /changes``: all changes under a prefix after a revision."""

    #: Revision from which to watch next.
    revision: int
    events: list[Event]


# -- stored records ----------------------------------------------------------------------------


class LeaderRecord(msgspec.Struct, omit_defaults=True):
    """Under ``leader``: the leader or, from level 1 on, the last one (rollout/leader_lock.py)."""

    controller: str
    lease: int
    #: The term's fencing token if the record was rewritten for a new level during the term, so that
    #: its version is no longer the token; else 0.
    term: int = 0


class LockHolderRecord(msgspec.Struct):
    """Under ``seat/held``, attached to ``lease``: the holder of the leader lock."""

    controller: str
    lease: int


class LevelRecord(msgspec.Struct, frozen=True):
    """Under ``seat/level``: the feature level in force (rollout/feature_level.py)."""

    #: A controller must know this level to lead or to serve users.
    level: int = 0
    #: The level at which controllers write and act; below ``level`` while the level is lowered.
    writes: int = 0
    #: The oldest level whose record layouts may still be stored.
    oldest: int = 0
    #: When (Unix time), by which controller and in which term the level was set, and the process of
    #: every other controller that had shown by then that it knows the level.
    since: float = 0.0
    by: str = ""
    term: int = 0
    members: dict[str, str] = {}


class MemberRecord(msgspec.Struct):
    """Under ``seat/member/<name>``: the controller's current process, which writes it once."""

    process: str
    build: str
    #: Lowest and highest level that it knows.
    lowest: int
    highest: int
    #: Unix time.
    started_at: float


class JobRecord(msgspec.Struct):
    """Under ``job/<id>`` until the job is done or cancelled."""

    submission: Submission
    #: Unix time.
    submitted_at: float


class _SubmissionPrerequisites(msgspec.Struct, rename={"prerequisites": "waits_on"}):
    """The prerequisites of a ``Submission``; its other fields are not decoded."""

    prerequisites: list[str] | None = None


class JobPrerequisites(msgspec.Struct):
    """The prerequisites in a ``JobRecord``; its other fields are not decoded."""

    submission: _SubmissionPrerequisites


class SplitRecord(msgspec.Struct):
    """Under ``job/<id>`` in the place of a ``JobRecord`` that is too large for one value.

    The rest of the text is under ``part/<id>/<number>``, written in the same transaction.  Versions
    before this layout can't read the record and ignore such a job.
    """

    #: Number of the other parts.
    parts: int
    #: The first part of the record's compressed encoding, as base64.
    text: str


class PartRecord(msgspec.Struct):
    """Under ``part/<id>/<number>``, numbered from 1: further text of a ``SplitRecord``."""

    text: str


class EndRecord(msgspec.Struct, omit_defaults=True):
    """Under ``end/<id>``, kept permanently: how the job ended.

    It also holds the resources of one task, since tasks of a cancelled job count toward its team's
    usage until they are gone.
    """

    status: Status
    tasks: int = 0
    #: Unix time.
    ended_at: float = 0.0
    team: str = ""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    #: A controller was allowed to confirm the cancellation to a user; since then, every controller
    #: is.  Set only if a controller has requested it (``UnconfirmedRecord``).
    confirmed: bool = False

    @classmethod
    def for_job(cls, status: Status, spec: Submission, ended_at: float) -> EndRecord:
        """Return the record of a job that ended at ``ended_at`` (Unix time)."""
        return cls(status, spec.tasks, ended_at, spec.team, spec.cpus, spec.gpus, spec.memory_gb)


class UnconfirmedRecord(msgspec.Struct):
    """Under ``seat/unconfirmed/<name>``: cancelled jobs that the controller can't confirm alone."""

    job_ids: list[str]


class EndStatus(msgspec.Struct):
    """The status of an ``EndRecord``, which users must learn even if the rest is damaged."""

    status: Status


class FinishedRecord(msgspec.Struct):
    """Under ``finished/<id>/<chunk>``, or ``done/<id>/<chunk>`` with larger chunks.

    Lists the finished tasks of one chunk.
    """

    #: A bitmap as base64; the lowest bit of the first byte stands for the lowest task.
    bits: str


class PlacedTask(msgspec.Struct, array_like=True, frozen=True):
    """One attempt of a task in a ``PlacedMachine``; an array on the wire."""

    job_id: str
    index: int
    attempt: int


class PlacedMachine(msgspec.Struct, array_like=True):
    """A machine in a ``PlacedRecord``, with the tasks placed on it; an array on the wire."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    incarnation: int
    tasks: list[PlacedTask]


class PlacedRecord(msgspec.Struct):
    """Under ``placed/<token>/<number>``: tasks that may be on machines.

    Written before any of the tasks is started.  One record holds placements on many machines,
    because the state service limits the number of keys written, not their bytes.
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

    def as_placed(self, name: str) -> PlacedRecord:
        """Return the record in the current layout; ``name``: the machine's name, from the key."""
        machine = PlacedMachine(
            name,
            self.address,
            self.machine_type,
            self.zone,
            self.spot,
            self.incarnation,
            self.tasks,
        )
        return PlacedRecord([machine])


class ImagesRecord(msgspec.Struct):
    """Under ``images/<page>``: images that machines are likely to hold.

    Only a hint for placement; correctness does not depend on it.
    """

    #: By machine, the image last used first.
    machines: dict[str, list[str]]


class ReturnedMachinesRecord(msgspec.Struct):
    """Under ``leaving/<token>/<number>``: machines with tasks that are being returned to the cloud.

    Only a hint for the next leader, which repeats the request immediately instead of waiting for
    news of these machines.
    """

    #: Unix time of the request.
    at: float
    machines: list[str]


class SettingsRecord(msgspec.Struct, omit_defaults=True):
    """Under ``settings``: the operators' script and what it evaluated to."""

    script: str
    #: Unix time.
    applied_at: float = 0.0
    values: dict[str, Any] = {}
    #: The highest level that the operators allow (docs/rollout.md).  Not in ``values``, since
    #: versions before feature levels reject unknown values.
    highest_level: int | None = None
