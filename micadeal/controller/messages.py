"""What the leader's actor is told and asked."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from micadeal.controller.persistence.batches import WriteBatch
from micadeal.leadership.follower_leases import PeerRenewalView
from micadeal.leadership.term import PeerContact
from micadeal.rollout.migration import MigrationBacklog
from micadeal.schema.decoding import VersionedRecord
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.peers import Counts
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
from micadeal.wire.workers import Heartbeat


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class DirectCommandResult:
    """A worker's report in answer to a direct command; None: there was no answer."""

    machine: str
    heartbeat: Heartbeat | None
    #: When the command was sent: the report is newer than that.
    asked: timedelta


@dataclass(frozen=True, slots=True)
class LeaderLeaseExtended:
    valid_until: timedelta


@dataclass(frozen=True, slots=True)
class FeatureLevelChanged:
    """The level is another, and so is the version that our writes depend on."""

    record: LevelRecord
    fence: int


@dataclass(frozen=True, slots=True)
class GetMigrationBacklog:
    """For the next step of the level; answered with ``MigrationStatus``."""


@dataclass(frozen=True, slots=True)
class MigrationStatus:
    migration_backlog: MigrationBacklog
    #: The highest level that the operators allow; None: any.
    ceiling: int | None


@dataclass(frozen=True, slots=True)
class PeerStatus:
    peers: tuple[PeerContact | None, ...]
    #: What is known of each of them for standing in; None: that is switched off.
    views: tuple[PeerRenewalView, ...] | None = None
    #: Up to then every cancellation is known by a majority's lists.
    cancellations_known_until: timedelta | None = None


@dataclass(frozen=True, slots=True)
class StateLoaded:
    """All that the state service held when the term began."""

    jobs: list[Item]
    placed: list[VersionedRecord[PlacedRecord]]
    images: list[VersionedRecord[ImagesRecord]]
    draining: list[VersionedRecord[LeavingRecord]]
    finished: list[VersionedRecord[FinishedRecord]]
    parts: list[Item]
    ended: dict[str, EndRecord]
    settings: Item | None
    #: When the reads began.
    asked: timedelta


@dataclass(frozen=True, slots=True)
class JobsChanged:
    events: list[Event]
    asked: timedelta
    #: Of jobs among them whose description is split.
    parts: dict[str, Item]


@dataclass(frozen=True, slots=True)
class JobsReloaded:
    """All jobs read anew, after a watch had lost its place."""

    items: list[Item]
    asked: timedelta
    parts: dict[str, Item]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    item: Item | None


@dataclass(frozen=True, slots=True)
class JobCancelled:
    job_id: str


@dataclass(frozen=True, slots=True)
class HasRemainingTasks:
    """Whether anything of a job may still be on a machine; answered with a bool."""

    job_id: str


@dataclass(frozen=True, slots=True)
class MayTasksStart:
    """Whether a task of a cancelled job may still start; answered with a bool."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobEndLoaded:
    """The end of a job that others wait for; None: there is none, or it can't be read."""

    job_id: str
    end: EndRecord | None


@dataclass(frozen=True, slots=True)
class CatalogLoaded:
    types: list[MachineType]


@dataclass(frozen=True, slots=True)
class MachineListLoaded:
    machines: list[ListedMachine]


@dataclass(frozen=True, slots=True)
class RentalCompleted:
    request: RentalRequest
    names: list[str] | None


@dataclass(frozen=True, slots=True)
class ReleaseCompleted:
    names: list[str]
    done: bool


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    changes: WriteBatch
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
class PrepareShutdown:
    """Start and rent nothing more; answered with whether all that is under way is written."""


@dataclass(frozen=True, slots=True)
class GetProgress:
    """For the desks of all controllers; answered with ``Progress``."""


@dataclass(frozen=True, slots=True)
class Progress:
    counts: list[Counts]
    #: All jobs that need one that was cancelled before this instant are recorded cancelled.
    cascaded: timedelta | None
    #: Jobs of which each task that is not done runs.
    all_started: list[str]


@dataclass(frozen=True, slots=True)
class GetExplanation:
    job_id: str


@dataclass(frozen=True, slots=True)
class GetOverview:
    pass


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """To a worker: status and body."""

    status: int
    body: Any = None
