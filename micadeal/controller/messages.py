"""Messages to the leader's actor (events, results and queries), and its answers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from micadeal.controller.persistence.batches import WriteBatch
from micadeal.leadership.follower_leases import PeerRenewalView
from micadeal.leadership.term import PeerContact
from micadeal.rollout.migration import MigrationBacklog
from micadeal.schema.decoding import VersionedRecord
from micadeal.schema.job_listing import JobListing
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.peers import Counts
from micadeal.wire.state import (
    EndRecord,
    Event,
    FinishedRecord,
    ImagesRecord,
    Item,
    LevelRecord,
    PlacedRecord,
    ReturnedMachinesRecord,
)
from micadeal.wire.workers import Heartbeat

# -- workers -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A worker's heartbeat has arrived; answered with ``HeartbeatReply``."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The answer to a worker: HTTP status and body."""

    status: int
    body: Any = None


@dataclass(frozen=True, slots=True)
class DirectCommandResult:
    """The outcome of a direct command to one worker."""

    machine: str
    #: The worker's report after the command; None: it did not answer.
    heartbeat: Heartbeat | None
    #: When the command was sent: the report is newer than that.
    sent_at: timedelta


# -- the term ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: the periodic work is due."""


@dataclass(frozen=True, slots=True)
class LeaderLeaseExtended:
    """The leader's lease was renewed; it certainly holds until ``valid_until``."""

    valid_until: timedelta


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The latest answers of the other controllers."""

    contacts: tuple[PeerContact | None, ...]
    #: Each peer's promises about lease renewal; None: renewal by followers is switched off.
    renewal_views: tuple[PeerRenewalView, ...] | None = None
    #: Up to this instant, a majority lists every cancellation; None: unknown.
    cancellations_known_until: timedelta | None = None


@dataclass(frozen=True, slots=True)
class PrepareShutdown:
    """Stop starting tasks and renting; answered with whether all pending writes are finished."""


# -- feature levels ----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class FeatureLevelChanged:
    """The feature level has changed, and with it the fencing version that writes depend on."""

    record: LevelRecord
    fence: int


@dataclass(frozen=True, slots=True)
class GetMigrationBacklog:
    """Ask what is left to migrate before the level changes; answered with ``MigrationStatus``."""


@dataclass(frozen=True, slots=True)
class MigrationStatus:
    """The remaining migration, and the highest level that the operators allow."""

    migration_backlog: MigrationBacklog
    #: The highest level allowed; None: any.
    highest_allowed_level: int | None


# -- records -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StateLoaded:
    """All records of the state service, as read when the term began."""

    jobs: JobListing
    placed: list[VersionedRecord[PlacedRecord]]
    images: list[VersionedRecord[ImagesRecord]]
    returned_machines: list[VersionedRecord[ReturnedMachinesRecord]]
    finished: list[VersionedRecord[FinishedRecord]]
    #: Parts of split job descriptions.
    parts: list[Item]
    #: Ends of jobs that are over but named in a placement record, by job id.
    ended: dict[str, EndRecord]
    settings: Item | None
    #: When the reads began: everything recorded before is included.
    requested_at: timedelta


@dataclass(frozen=True, slots=True)
class JobsChanged:
    """Changes of job records from one watch response."""

    events: list[Event]
    #: When the watch was opened: everything recorded before is known.
    requested_at: timedelta
    #: Parts of split job descriptions among the events, by key.
    parts: dict[str, Item]


@dataclass(frozen=True, slots=True)
class JobsReloaded:
    """All job records, read again after the revision of the watch was compacted."""

    items: list[Item]
    requested_at: timedelta
    parts: dict[str, Item]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The operators' settings were read again; None: there are none."""

    item: Item | None


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation was recorded by another controller, or for a user of this one."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobEndLoaded:
    """The end of a job that others depend on; None: there is none, or it can't be read."""

    job_id: str
    end: EndRecord | None


@dataclass(frozen=True, slots=True)
class WriteCompleted:
    """The outcome of writing a batch."""

    batch: WriteBatch
    #: The revision of the transaction; None: it failed, or its outcome is unknown.
    revision: int | None
    #: What the state service holds under the batch's keys, read after a failed or unknown outcome.
    current_items: dict[str, Item | None] | None
    #: The state service rejected the batch as too large.
    rejected: bool = False


@dataclass(frozen=True, slots=True)
class GetJobsToReread:
    """Ask which unreadable live jobs to read again; answered with their ids."""


# -- the cloud ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class CatalogLoaded:
    """The machine types that the cloud offers."""

    machine_types: list[MachineType]


@dataclass(frozen=True, slots=True)
class MachineListLoaded:
    """The machines that the cloud lists as rented."""

    machines: list[ListedMachine]


@dataclass(frozen=True, slots=True)
class RentalCompleted:
    """The cloud's answer to a rental: names of the machines; None: no capacity."""

    request: RentalRequest
    machine_names: list[str] | None


@dataclass(frozen=True, slots=True)
class ReleaseCompleted:
    """The cloud's answer to returning machines."""

    machine_names: list[str]
    accepted: bool


# -- queries -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HasRemainingTasks:
    """Ask whether any task of a job may still be on a machine; answered with a bool."""

    job_id: str


@dataclass(frozen=True, slots=True)
class MayTasksStart:
    """Ask whether a task of a cancelled job may still start; answered with a bool."""

    job_id: str


@dataclass(frozen=True, slots=True)
class GetProgress:
    """Ask for the progress of all jobs, for answers to users; answered with ``Progress``."""


@dataclass(frozen=True, slots=True)
class Progress:
    """The progress of all jobs."""

    counts: list[Counts]
    #: Every job that depends on one cancelled before this instant is recorded as cancelled.
    cancellations_propagated_until: timedelta | None
    #: Jobs whose unfinished tasks are all running.
    all_started: list[str]


@dataclass(frozen=True, slots=True)
class GetExplanation:
    """Ask why a job waits; answered with a ``WhyAnswer``, or None if the job is not alive."""

    job_id: str


@dataclass(frozen=True, slots=True)
class GetOverview:
    """Ask for the operators' overview of the cluster; answered with an ``Overview``."""
