"""Chooses what the leader writes next, in batches, and in which order.  No input or output.

Every operation depends on the version last known of its key.  A transaction whose answer was lost
may be applied minutes later: it then finds a newer version and changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.controller.persistence.batches import BatchDraft, WriteBatch
from micadeal.controller.persistence.finished_tasks import FinishedTasksWriter
from micadeal.controller.persistence.job_ends import JobEndWriter
from micadeal.controller.persistence.layout_migration import LayoutMigration
from micadeal.controller.persistence.machine_images import MachineImagesWriter
from micadeal.controller.persistence.placements import PlacementWriter
from micadeal.controller.persistence.returned_machines import ReturnedMachinesWriter
from micadeal.controller.persistence.writer_context import WriteLimits, WriterContext
from micadeal.jobs.model import Job
from micadeal.rollout.migration import MigrationBacklog
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.schema.decoding import VersionedRecord
from micadeal.schema.job_listing import JobEnded
from micadeal.state.limits import Limits
from micadeal.state.service import Urgency
from micadeal.wire.state import ImagesRecord, Item, LevelRecord, ReturnedMachinesRecord

#: How often batches of what can wait are prepared.
DEFERRED_INTERVAL = seconds(0.25)
#: Such a batch holds what may be changed in a third of a second, since the budget of changes
#: refills while it is under way; but at least so many operations.
DEFERRED_SHARE_OF_SECOND = 3
MIN_DEFERRED_OPERATIONS = 4


class RecordWriter:
    """Chooses what to write next, and takes the outcomes.

    Under way at once are one batch of placements, one of what can wait, and a few job ends: a
    batch that waits for the rate limit must not hold up placements.
    """

    def __init__(
        self,
        cluster: ClusterState,
        limits: Limits,
        present: Limits | None = None,
        level: LevelRecord | None = None,
    ) -> None:
        """Write for one term.

        ``limits`` are those kept to, ``present`` those that the service has now (None: the same);
        ``level`` says which layouts are written, and whether later ones are written back.
        """
        self._cluster = cluster
        self._context = WriterContext(
            cluster, WriteLimits(limits, present or limits), level or LevelRecord()
        )
        self._keys = self._context.keys
        self._placements = PlacementWriter(self._context)
        self._job_ends = JobEndWriter(self._context)
        self._finished_tasks = FinishedTasksWriter(self._context)
        self._returned_machines = ReturnedMachinesWriter(self._context)
        self._migration = LayoutMigration(self._context)
        self._images = MachineImagesWriter(self._context)
        self._placements_under_way = False
        self._deferred_under_way = False
        self._deferred_due = timedelta(0)

    # -- state -----------------------------------------------------------------------------

    @property
    def versions(self) -> dict[str, int]:
        """Version last known of each key; ``RecordLoader`` adds those that it reads."""
        return self._keys.versions

    @property
    def busy(self) -> bool:
        """Whether anything of what has happened is not written yet."""
        return bool(
            self._cluster.unwritten
            or self._cluster.jobs_with_unwritten_results
            or self._placements_under_way
            or self._deferred_under_way
            or self._job_ends.busy
        )

    def feature_level_changed(self, level: LevelRecord) -> None:
        """Write in the layouts of another level from now on."""
        self._migration.level_changed(level)

    def migration_backlog(self) -> MigrationBacklog:
        """Return how many records in other layouts the next step of the level has to wait for."""
        return self._migration.backlog()

    def drop_record_of(self, _job: JobEnded, key: str, version: int) -> None:
        """Have a record of a job dropped that is certainly over."""
        self._keys.versions[key] = version
        self._keys.schedule_drop(key)

    def drop_job_records(self, job: Job | None) -> None:
        """Have what is left of a job's finished tasks and of its description dropped."""
        self._keys.schedule_job_drops(job)

    def load_images(self, key: str, record: ImagesRecord, now: timedelta) -> None:
        """Take over a page of images that an earlier leader has written."""
        self._images.load(key, record, now)

    def load_returned_machines(
        self, loaded: VersionedRecord[ReturnedMachinesRecord], now: timedelta
    ) -> list[str]:
        """Return the machines that an earlier leader was returning until a moment ago."""
        return self._returned_machines.load(loaded, now)

    # -- batches ---------------------------------------------------------------------------

    def next(self, now: timedelta) -> list[WriteBatch]:
        """Return the batches to be committed now; the outcome of each must be reported."""
        batches = self._job_ends.next_batches()
        if not self._placements_under_way and self._cluster.unwritten:
            self._placements_under_way = True
            batches.append(self._placements.next_batch())
        if not self._deferred_under_way and now >= self._deferred_due:
            self._deferred_due = now + DEFERRED_INTERVAL
            batch = self._next_deferred_batch(now)
            if batch is not None:
                self._deferred_under_way = True
                batches.append(batch)
        return batches

    def _next_deferred_batch(self, now: timedelta) -> WriteBatch | None:
        """Return a batch of what can wait; rewrites and images only if there is nothing else."""
        draft = BatchDraft(self._max_deferred_operations())
        self._returned_machines.add_record(draft, now)
        self._finished_tasks.add_chunks(draft, now)
        self._placements.add_merges(draft, now)
        self._add_drops(draft)
        if draft.is_empty:
            self._migration.add_rewrite(draft, now)
        if draft.is_empty:
            self._images.add_changed_page(draft, now)
        if draft.is_empty:
            return None
        return draft.build(self._keys.conditions(draft.operations), Urgency.REST)

    def _max_deferred_operations(self) -> int:
        limits = self._context.limits.guaranteed
        share = int(limits.changes_per_s / DEFERRED_SHARE_OF_SECOND)
        return min(limits.operations, max(MIN_DEFERRED_OPERATIONS, share))

    def _add_drops(self, draft: BatchDraft) -> None:
        for key in list(self._keys.pending_drops):
            if draft.remaining <= 0:
                break
            if self._keys.versions.get(key, 0):
                draft.drop(key)
            else:
                self._keys.pending_drops.discard(key)

    # -- outcomes --------------------------------------------------------------------------

    def committed(self, batch: WriteBatch, revision: int, now: timedelta) -> None:
        """Take over a batch that was committed at ``revision``."""
        self._keys.record_puts(batch.operations, revision)
        if batch.job_end is not None:
            self._job_ends.committed(batch, batch.job_end, now)
            return
        self._no_longer_under_way(batch)
        self._placements.committed(batch, now)
        self._keys.record_drops(batch.operations)
        self._migration.committed(batch)
        self._finished_tasks.committed(batch)

    def failed(self, batch: WriteBatch, items: Mapping[str, Item | None], now: timedelta) -> None:
        """Take over that a batch was not applied, or that its outcome is unknown.

        ``items`` is what the service holds now under the keys of the batch's conditions.
        """
        if batch.job_end is not None:
            self._job_ends.failed(batch.job_end, items, now)
            return
        self._no_longer_under_way(batch)
        self._keys.read_back(items)
        self._placements.failed(batch, items, now)

    def rejected(self, batch: WriteBatch) -> None:
        """Write smaller batches after the service has called one too large.

        The same batch is never tried again.  ``failed`` must be called as well.
        """
        self._context.limits.rejected(batch)

    def _no_longer_under_way(self, batch: WriteBatch) -> None:
        if batch.urgency is Urgency.PLACEMENT:
            self._placements_under_way = False
        else:
            self._deferred_under_way = False
