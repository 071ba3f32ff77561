"""What the controllers tell each other."""

from __future__ import annotations

from typing import Any

import msgspec

from micadeal.wire.workers import Report


class Ping(msgspec.Struct):
    controller: str
    wants_counts: bool = False


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


class Notice(msgspec.Struct):
    """A hint that a job's record changed; the receiver reads the truth from the state service."""

    job_id: str


class Relay(msgspec.Struct):
    report: Report
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


class MachineLine(msgspec.Struct):
    machine_type: str
    zone: str
    spot: bool
    up: int
    booting: int
    silent: int
    leaving: int
    gpus_used: float
    gpus: float


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
