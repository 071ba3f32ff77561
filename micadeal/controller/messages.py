"""What the leader's actor is told and asked."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from micadeal.controller.records import Changes
from micadeal.leadership.standin import View
from micadeal.leadership.term import PeerContact
from micadeal.rollout.steps import Stock
from micadeal.stored.reading import Stored
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.mesh import Counts
from micadeal.wire.state import (
    EndRecord,
    Event,
    FinishedRecord,
    ImagesRecord,
    Item,
    LeavingRecord,
    LevelRecord,
    PlacedRecord,
)
from micadeal.wire.workers import Report


@dataclass(frozen=True, slots=True)
class ReportIn:
    report: Report


@dataclass(frozen=True, slots=True)
class DirectAnswer:
    """A worker's report in answer to a direct command; None: there was no answer."""

    machine: str
    report: Report | None
    #: When the command was sent: the report is newer than that.
    asked: timedelta


@dataclass(frozen=True, slots=True)
class Extended:
    valid_until: timedelta


@dataclass(frozen=True, slots=True)
class LevelMoved:
    """The level is another, and so is the version that our writes depend on."""

    record: LevelRecord
    fence: int


@dataclass(frozen=True, slots=True)
class StockWanted:
    """For the next step of the level; answered with ``StockTold``."""


@dataclass(frozen=True, slots=True)
class StockTold:
    stock: Stock
    #: The highest level that the operators allow; None: any.
    ceiling: int | None


@dataclass(frozen=True, slots=True)
class PeerNews:
    peers: tuple[PeerContact | None, ...]
    #: What is known of each of them for standing in; None: that is switched off.
    views: tuple[View, ...] | None = None
    #: Up to then every cancellation is known by a majority's lists.
    told_by: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Loaded:
    """All that the state service held when the term began."""

    jobs: list[Item]
    placed: list[Stored[PlacedRecord]]
    images: list[Stored[ImagesRecord]]
    leaving: list[Stored[LeavingRecord]]
    finished: list[Stored[FinishedRecord]]
    parts: list[Item]
    ended: dict[str, EndRecord]
    settings: Item | None
    #: When the reads began.
    asked: timedelta


@dataclass(frozen=True, slots=True)
class JobEvents:
    events: list[Event]
    asked: timedelta
    #: Of jobs among them whose description is split.
    parts: dict[str, Item]


@dataclass(frozen=True, slots=True)
class JobsRead:
    """All jobs read anew, after a watch had lost its place."""

    items: list[Item]
    asked: timedelta
    parts: dict[str, Item]


@dataclass(frozen=True, slots=True)
class NewSettings:
    item: Item | None


@dataclass(frozen=True, slots=True)
class CancelNotice:
    job_id: str


@dataclass(frozen=True, slots=True)
class LeftWanted:
    """Whether anything of a job may still be on a machine; answered with a bool."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StartsWanted:
    """Whether a task of a cancelled job may still start; answered with a bool."""

    job_id: str


@dataclass(frozen=True, slots=True)
class EndRead:
    """The end of a job that others wait for; None: there is none, or it can't be read."""

    job_id: str
    end: EndRecord | None


@dataclass(frozen=True, slots=True)
class CatalogRead:
    types: list[MachineType]


@dataclass(frozen=True, slots=True)
class ListRead:
    machines: list[ListedMachine]


@dataclass(frozen=True, slots=True)
class RentalAnswer:
    request: RentalRequest
    names: list[str] | None


@dataclass(frozen=True, slots=True)
class ReleaseAnswer:
    names: list[str]
    done: bool


@dataclass(frozen=True, slots=True)
class Written:
    changes: Changes
    #: The revision; None: the outcome is unknown.
    revision: int | None
    #: What the service holds, read after an unknown or failed outcome.
    found: dict[str, Item | None] | None
    #: The service called it too large.
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Retire:
    """Start and rent nothing more; answered with whether all that is under way is written."""


@dataclass(frozen=True, slots=True)
class ProgressWanted:
    """For the desks of all controllers; answered with ``Progress``."""


@dataclass(frozen=True, slots=True)
class Progress:
    counts: list[Counts]
    #: All jobs that need one that was cancelled before this instant are recorded cancelled.
    cascaded: timedelta | None
    #: Jobs of which each task that is not done runs.
    all_started: list[str]


@dataclass(frozen=True, slots=True)
class WhyWanted:
    job_id: str


@dataclass(frozen=True, slots=True)
class OverviewWanted:
    pass


@dataclass(frozen=True, slots=True)
class Reply:
    """To a worker: status and body."""

    status: int
    body: Any = None
