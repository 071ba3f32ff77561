"""Chooses what the leader writes next, in batches and in order of priority.  No I/O.

Every operation has the condition that its key still has the last known version.  So a transaction
whose answer was lost, and which may be applied minutes later, finds a newer version and changes
nothing.
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

#: Interval between batches of writes that can be deferred.
DEFERRED_INTERVAL = seconds(0.25)
#: A deferred batch may use the changes that the rate limit allows in a third of a second, since the
#: budget refills while the batch is in flight; but always ``MIN_DEFERRED_OPERATIONS``.
DEFERRED_RATE_DIVISOR = 3
MIN_DEFERRED_OPERATIONS = 4


class RecordWriter:
    """Chooses what to write next, and processes the outcomes.

    One batch of placements, one deferred batch and a few job ends may be in flight concurrently: a
    batch that waits for the rate limit must not delay placements.
    """

    def __init__(
        self,
        cluster: ClusterState,
        limits: Limits,
        present: Limits | None = None,
        level: LevelRecord | None = None,
    ) -> None:
        """Create the writer of one term.

        ``limits`` are guaranteed by the service, ``present`` are in force now (None: the same).
        ``level`` says which layouts are written, and whether later ones are rewritten to earlier
        ones.
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
        self._placements_in_flight = False
        self._deferred_in_flight = False
        self._deferred_due = timedelta(0)

    # -- state -----------------------------------------------------------------------------

    @property
    def versions(self) -> dict[str, int]:
        """Last known version of each key; ``RecordLoader`` adds those that it reads."""
        return self._keys.versions

    @property
    def busy(self) -> bool:
        """Whether any placement, finished task or job end is not written yet."""
        return bool(
            self._cluster.unwritten_placements
            or self._cluster.jobs_with_unwritten_results
            or self._placements_in_flight
            or self._deferred_in_flight
            or self._job_ends.busy
        )

    def feature_level_changed(self, level: LevelRecord) -> None:
        """Write in the layouts of ``level`` from now on."""
        self._migration.level_changed(level)

    def migration_backlog(self) -> MigrationBacklog:
        """Return the number of records to rewrite before the next step of the level."""
        return self._migration.backlog()

    def delete_record_of(self, _job: JobEnded, key: str, version: int) -> None:
        """Schedule the deletion of a record whose job has certainly ended."""
        self._keys.versions[key] = version
        self._keys.schedule_delete(key)

    def delete_job_records(self, job: Job | None) -> None:
        """Schedule the deletion of a job's finished tasks and parts of its description."""
        self._keys.schedule_job_deletes(job)

    def load_images(self, key: str, record: ImagesRecord, now: timedelta) -> None:
        """Adopt a page of images that an earlier leader has written."""
        self._images.load(key, record, now)

    def load_returned_machines(
        self, loaded: VersionedRecord[ReturnedMachinesRecord], now: timedelta
    ) -> list[str]:
        """Adopt a record; return the machines that an earlier leader returned a short time ago."""
        return self._returned_machines.load(loaded, now)

    # -- batches ---------------------------------------------------------------------------

    def next(self, now: timedelta) -> list[WriteBatch]:
        """Return the batches to commit now; the caller must report the outcome of each."""
        batches = self._job_ends.next_batches()
        if not self._placements_in_flight and self._cluster.unwritten_placements:
            self._placements_in_flight = True
            batches.append(self._placements.next_batch())
        if not self._deferred_in_flight and now >= self._deferred_due:
            self._deferred_due = now + DEFERRED_INTERVAL
            batch = self._next_deferred_batch(now)
            if batch is not None:
                self._deferred_in_flight = True
                batches.append(batch)
        return batches

    def _next_deferred_batch(self, now: timedelta) -> WriteBatch | None:
        """Return a deferred batch; it has rewrites or images only if there is nothing else."""
        draft = BatchDraft(self._max_deferred_operations())
        self._returned_machines.add_record(draft, now)
        self._finished_tasks.add_chunks(draft, now)
        self._placements.add_merges(draft, now)
        self._add_deletes(draft)
        if draft.is_empty:
            self._migration.add_rewrite(draft, now)
        if draft.is_empty:
            self._images.add_changed_page(draft, now)
        if draft.is_empty:
            return None
        return draft.build(self._keys.conditions(draft.operations), Urgency.DEFERRED)

    def _max_deferred_operations(self) -> int:
        limits = self._context.limits.guaranteed
        share = int(limits.changes_per_s / DEFERRED_RATE_DIVISOR)
        return min(limits.operations, max(MIN_DEFERRED_OPERATIONS, share))

    def _add_deletes(self, draft: BatchDraft) -> None:
        for key in list(self._keys.pending_deletes):
            if draft.remaining <= 0:
                break
            if self._keys.versions.get(key, 0):
                draft.delete(key)
            else:
                self._keys.pending_deletes.discard(key)

    # -- outcomes --------------------------------------------------------------------------

    def committed(self, batch: WriteBatch, revision: int, now: timedelta) -> None:
        """Process a batch that was committed at ``revision``."""
        self._keys.record_puts(batch.operations, revision)
        if batch.job_end is not None:
            self._job_ends.committed(batch, batch.job_end, now)
            return
        self._mark_completed(batch)
        self._placements.committed(batch, now)
        self._keys.record_deletes(batch.operations)
        self._migration.committed(batch)
        self._finished_tasks.committed(batch)

    def failed(self, batch: WriteBatch, items: Mapping[str, Item | None], now: timedelta) -> None:
        """Process a batch that was not applied, or whose outcome is unknown.

        ``items`` is what the service holds now under the keys of the batch's conditions.
        """
        if batch.job_end is not None:
            self._job_ends.failed(batch.job_end, items, now)
            return
        self._mark_completed(batch)
        self._keys.record_read(items)
        self._placements.failed(batch, items, now)

    def rejected(self, batch: WriteBatch) -> None:
        """Lower the limits after the service has rejected a batch as too large.

        The same batch is never retried.  ``failed`` must be called as well.
        """
        self._context.limits.rejected(batch)

    def _mark_completed(self, batch: WriteBatch) -> None:
        if batch.urgency is Urgency.PLACEMENT:
            self._placements_in_flight = False
        else:
            self._deferred_in_flight = False
