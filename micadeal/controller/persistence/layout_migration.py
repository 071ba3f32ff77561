"""Rewrites records that are not in the layout of the feature level in force.

The content of a record is written in the current layout first, and the old record is deleted
afterwards.  A new leader that reads in between finds both, which are consistent, and continues the
migration.
"""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import seconds
from micadeal.controller.persistence.batches import BatchDraft, WriteBatch
from micadeal.controller.persistence.finished_chunks import (
    FINISHED_PREFIXES,
    LARGE_CHUNKS,
    SMALL_CHUNKS,
    FinishedChunk,
)
from micadeal.controller.persistence.writer_context import WriterContext
from micadeal.rollout.migration import MigrationBacklog
from micadeal.schema.keys import DONE, FINISHED, MACHINE_PLACEMENTS
from micadeal.wire.state import LevelRecord, Put

#: Minimum time between two rewrites.
REWRITE_INTERVAL = seconds(0.5)


class LayoutMigration:
    """Rewrites one record at a time, if nothing else is to be written."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        #: Keys of the chunks of finished tasks written by this term since the last level change.
        self._written_chunks: set[str] = set()
        self._next_rewrite = timedelta(0)

    def level_changed(self, level: LevelRecord) -> None:
        """Write in the layouts of ``level`` from now on."""
        if level.writes != self._context.level.writes:
            self._written_chunks.clear()
        self._context.level = level

    def backlog(self) -> MigrationBacklog:
        """Return the number of records to rewrite before the next step of the level."""
        level = self._context.level
        if level.level == level.oldest:
            return MigrationBacklog()
        keys = [
            key
            for key in self._keys.versions
            if key.startswith((*FINISHED_PREFIXES, MACHINE_PLACEMENTS))
        ]
        small = sum(key.startswith(FINISHED) for key in keys)
        if self._context.writes_fenced_layouts:
            return MigrationBacklog(older=len(keys) - small)
        stuck = sum(not self._converted(key) for key in keys if key.startswith(FINISHED))
        return MigrationBacklog(newer=small, stuck=stuck)

    def add_rewrite(self, draft: BatchDraft, now: timedelta) -> None:
        """Add operations that rewrite one record of another layout, if there is one.

        ``draft`` must be empty.
        """
        if now < self._next_rewrite:
            return
        self._next_rewrite = now + REWRITE_INTERVAL
        if self._context.writes_fenced_layouts:
            self._merge_old_placements(now)
        elif self._context.level.level == self._context.level.writes:
            # No rewrite: small chunks exist where a value in the first layout was too large.
            return
        other_layout = DONE if self._context.writes_fenced_layouts else FINISHED
        for key in [key for key in self._keys.versions if key.startswith(other_layout)]:
            self._rewrite_chunk(draft, key)
            if not draft.is_empty:
                return

    def committed(self, batch: WriteBatch) -> None:
        """Note which chunks of finished tasks have been written since the level change."""
        for operation in batch.operations:
            if isinstance(operation, Put) and operation.key.startswith(FINISHED_PREFIXES):
                self._written_chunks.add(operation.key)

    def _merge_old_placements(self, now: timedelta) -> None:
        """Schedule merges of old placement records, as if some of their attempts were gone."""
        for key in self._cluster.records:
            if key.startswith(MACHINE_PLACEMENTS):
                self._cluster.stale_records.setdefault(key, now)

    def _rewrite_chunk(self, draft: BatchDraft, key: str) -> None:
        """Write an old chunk's content in the current layout.

        Once all of the content is written, the old chunk is deleted instead.
        """
        converted = self._converted(key)
        missing = [chunk for chunk in converted if chunk.key not in self._written_chunks]
        for chunk in missing[: draft.remaining - 1]:
            chunk.add_to(draft, self._context.limits)
        if converted and not missing:
            draft.delete(key)

    def _converted(self, key: str) -> list[FinishedChunk]:
        """Return the chunks of the current layout that replace the old chunk under ``key``.

        Returns none if the job has ended, or if a chunk would not fit into a value.
        """
        prefix, job_id, number = key.split("/")
        job = self._cluster.jobs.get(job_id)
        if job is None or job.ended or not number.isdigit():
            return []
        large = prefix + "/" == DONE
        source, target = (LARGE_CHUNKS, SMALL_CHUNKS) if large else (SMALL_CHUNKS, LARGE_CHUNKS)
        converted: list[FinishedChunk] = []
        for target_number in target.numbers(source.tasks(job, int(number))):
            chunk = target.chunk(job, target_number)
            if not self._context.limits.present.fits(chunk.record):
                return []
            converted.append(chunk)
        return converted
