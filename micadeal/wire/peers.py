"""What the controllers tell each other."""

from __future__ import annotations

from typing import Any

import msgspec

from micadeal.wire.workers import Heartbeat


class Process(msgspec.Struct):
    """A node's present process and the levels that it knows (rollout/)."""

    id: str
    build: str
    lowest: int
    highest: int
    # How old it is, and the level that it writes and acts by.
    age_ms: float
    level: int


class Ping(msgspec.Struct):
    controller: str
    wants_counts: bool = False
    # The token of the term that the asking node leads; 0: it does not lead, or is of a version in
    # which nobody stands in for a leader.
    leading_token: int = 0
    # Asks for consent to stand in for the leader of this term; 0: no.
    wants_consent: int = 0
    # Asks for the list of cancellations.
    wants_told: bool = False
    # None: it is of a version that knows of no levels.
    process: Process | None = None
    # The asking node leads, has not read its records yet, and answers few workers so long.
    reading: bool = False


class RenewalPromise(msgspec.Struct):
    """What a node says of standing in for a leader (leadership/follower_leases.py)."""

    # The age of its process, and whether its list of cancellations is known to be whole.
    age_ms: float
    synced: bool
    # The token that it consents to with this answer; 0: none.
    consent: int = 0
    # The last token that it stood in under or consented to, and how long that holds still;
    # negative: how long ago it was over.
    bound_token: int = 0
    bound_ms: float = 0.0
    # Cancellations told, or about to be told, and how long ago it learned of them; None: not asked.
    told: dict[str, float] | None = None


class Counts(msgspec.Struct, array_like=True):
    """For display only: finished and running tasks of one job."""

    job_id: str
    done: int
    running: int


class Pong(msgspec.Struct):
    controller: str
    # How long ago the answered node last had an answer of the state service; None: never.
    state_age_ms: float | None
    leading: bool
    # How long ago it last told, or may have told, a user that a job is cancelled; counted from
    # its start, since it can't know what its earlier process told.
    cancel_age_ms: float = 0.0
    leader: str | None = None
    counts: list[Counts] = []
    # Whether the answering node has heard each other node lately (for relaying).
    reaches: list[str] = []
    # A leader's word: all jobs that need one that was cancelled longer ago than this are recorded
    # cancelled.  None: it can't tell, or is of a version in which no job waits for others.
    cascade_age_ms: float | None = None
    # None: it is of a version in which nobody stands in for a leader, or that is switched off.
    word: RenewalPromise | None = None
    # None: it is of a version that knows of no levels.
    process: Process | None = None
    # A leader's word: jobs of which each task that is not done runs.
    all_started: list[str] = []


class CancellationNotice(msgspec.Struct):
    """A job is cancelled (``/notice``), or is asked about (``/why``).

    An answer to a notice is also the receiver's word that it has put the job on its list.  False:
    it leads, and a task of the job may still start.
    """

    job_id: str


class Relay(msgspec.Struct, rename={"heartbeat": "report"}):
    heartbeat: Heartbeat
    hops: int


class Relayed(msgspec.Struct):
    status: int
    body: Any = None


class WhyLine(msgspec.Struct):
    reason: str
    tasks: int


class WhyAnswer(msgspec.Struct, omit_defaults=True):
    job_id: str
    status: str
    team: str = ""
    done: int = 0
    running: int = 0
    starting: int = 0
    waiting: int = 0
    waiting_s: float = 0.0
    reasons: list[WhyLine] = []


class TeamLine(msgspec.Struct):
    name: str
    resource: str
    used: float
    guarantee: float
    limit: float
    share: float
    demand: float
    waiting_jobs: int
    running_jobs: int


class StuckJob(msgspec.Struct):
    job_id: str
    team: str
    job_class: str
    waiting_s: float
    reason: str


class MachineLine(msgspec.Struct, rename={"draining": "leaving"}):
    machine_type: str
    zone: str
    spot: bool
    up: int
    booting: int
    silent: int
    draining: int
    gpus_used: float
    gpus: float


class MemberLine(msgspec.Struct):
    """One controller as the leader sees it."""

    name: str
    presence: str
    build: str
    lowest: int
    highest: int


class LevelLine(msgspec.Struct):
    """The level in force, and what the next step waits for, in plain words."""

    level: int
    writes: int
    oldest: int
    since_s: float
    by: str
    members: list[MemberLine]
    waits: list[str]


class Overview(msgspec.Struct):
    leader: str
    token: int
    leading_s: float
    state_contact: bool
    teams: list[TeamLine]
    jobs: dict[str, int]
    stuck: list[StuckJob]
    machines: list[MachineLine]
    notes: list[str]
    # ``stuck`` names only the longest stuck of so many.
    stuck_in_all: int = 0
    # None: the leader is of a version that knows of no levels.
    level: LevelLine | None = None
