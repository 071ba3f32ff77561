"""Rewrites records of other layouts than the one that the feature level in force demands.

All that a record holds is written in the present layout first, and the record is dropped after.  A
leader that reads in between finds both, which agree, and goes on from there.
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

#: Minimum time between two records that are rewritten.
REWRITE_INTERVAL = seconds(0.5)


class LayoutMigration:
    """Rewrites one record at a time, when nothing else is to be written."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        #: Chunks of finished tasks that this term has written since the level last changed.
        self._written_chunks: set[str] = set()
        self._next_rewrite = timedelta(0)

    def level_changed(self, level: LevelRecord) -> None:
        """Write in the layouts of another level from now on."""
        if level.writes != self._context.level.writes:
            self._written_chunks.clear()
        self._context.level = level

    def backlog(self) -> MigrationBacklog:
        """Return how many records the next step of the level has to wait for."""
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
        """Add operations that rewrite one record of another layout, if there is any.

        ``draft`` must be empty.
        """
        if now < self._next_rewrite:
            return
        self._next_rewrite = now + REWRITE_INTERVAL
        if self._context.writes_fenced_layouts:
            self._merge_old_placements(now)
        elif self._context.level.level == self._context.level.writes:
            # Small chunks are there where a value of the first layout was too large.
            return
        other_layout = DONE if self._context.writes_fenced_layouts else FINISHED
        for key in [key for key in self._keys.versions if key.startswith(other_layout)]:
            self._rewrite_chunk(draft, key)
            if not draft.is_empty:
                return

    def committed(self, batch: WriteBatch) -> None:
        """Take over which chunks of finished tasks are written in the present layout."""
        for operation in batch.operations:
            if isinstance(operation, Put) and operation.key.startswith(FINISHED_PREFIXES):
                self._written_chunks.add(operation.key)

    def _merge_old_placements(self, now: timedelta) -> None:
        """Have placements of the old layout merged, as if something of them were gone."""
        for key in self._cluster.records:
            if key.startswith(MACHINE_PLACEMENTS):
                self._cluster.stale_records.setdefault(key, now)

    def _rewrite_chunk(self, draft: BatchDraft, key: str) -> None:
        """Write what a chunk becomes in the present layout, or drop it once that is written."""
        converted = self._converted(key)
        missing = [chunk for chunk in converted if chunk.key not in self._written_chunks]
        for chunk in missing[: draft.remaining - 1]:
            chunk.add_to(draft, self._context.limits)
        if converted and not missing:
            draft.drop(key)

    def _converted(self, key: str) -> list[FinishedChunk]:
        """Return what a chunk of finished tasks becomes in the other layout.

        Nothing, if its job is over or a chunk would not fit into a value.
        """
        prefix, job_id, number = key.split("/")
        job = self._cluster.jobs.get(job_id)
        if job is None or job.over or not number.isdigit():
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
