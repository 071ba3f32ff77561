"""Writes the records of finished tasks, in chunks."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.controller.persistence.batches import BatchDraft, FinishedTasksWrite, WriteBatch
from micadeal.controller.persistence.finished_chunks import (
    FINISHED_PREFIXES,
    LARGE_CHUNKS,
    SMALL_CHUNKS,
    FinishedChunk,
)
from micadeal.controller.persistence.writer_context import WriterContext
from micadeal.jobs.model import Job
from micadeal.schema.keys import job_id_of_key
from micadeal.wire.state import Delete

#: How long finished tasks of a job are collected before they are written.
COLLECT_TIME = seconds(1)
#: Bytes of finished tasks in one transaction.  The service's limit is 64 KiB, and it would reject a
#: larger transaction on every retry.
MAX_CHUNK_BYTES = 32_000


class FinishedTasksWriter:
    """Writes the finished tasks of jobs that are not complete yet."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        #: Since when the finished tasks of each job are collected.
        self._collecting_since: dict[str, timedelta] = {}

    def add_chunks(self, draft: BatchDraft, now: timedelta) -> None:
        """Add chunks of finished tasks whose collection time is over."""
        size = 0
        for job_id in list(self._cluster.jobs_with_unwritten_results):
            job = self._due_job(job_id, now)
            if job is None:
                continue
            for chunk in self._unwritten_chunks(job):
                size += len(chunk.record.bits)
                if draft.remaining <= 0 or size > MAX_CHUNK_BYTES:
                    return
                chunk.add_to(draft, self._context.limits)
            self._collecting_since[job_id] = now

    def _due_job(self, job_id: str, now: timedelta) -> Job | None:
        job = self._cluster.jobs.get(job_id)
        if job is None or job.ended or job.complete:
            self._collecting_since.pop(job_id, None)
            return None
        if now - self._collecting_since.setdefault(job_id, now) < COLLECT_TIME:
            return None
        if not job.finished - job.recorded_finished:
            self._cluster.jobs_with_unwritten_results.discard(job_id)
            del self._collecting_since[job_id]
            return None
        return job

    def _unwritten_chunks(self, job: Job) -> Iterator[FinishedChunk]:
        """Yield the chunks to write.

        Below level ``FENCED`` these are large chunks, which all versions read, where they fit.
        """
        limits = self._context.limits
        unwritten = job.finished - job.recorded_finished
        for number in LARGE_CHUNKS.numbers(unwritten):
            large = LARGE_CHUNKS.chunk(job, number)
            if not self._context.writes_fenced_layouts and limits.present.fits(large.record):
                yield large
                continue
            for small_number in SMALL_CHUNKS.numbers(unwritten & large.tasks):
                yield SMALL_CHUNKS.chunk(job, small_number)

    def committed(self, batch: WriteBatch) -> None:
        """Mark the written tasks as recorded, and forget the deleted chunks."""
        for operation in batch.operations:
            if isinstance(operation, Delete) and operation.key.startswith(FINISHED_PREFIXES):
                job = self._cluster.jobs.get(job_id_of_key(operation.key))
                if job is not None:
                    job.record_keys.discard(operation.key)
        for write in batch.finished:
            job = self._cluster.jobs.get(write.job_id)
            if job is not None and not job.ended:
                job.recorded_finished |= write.tasks
            else:
                self._delete_written(batch, write)

    def _delete_written(self, batch: WriteBatch, write: FinishedTasksWrite) -> None:
        """Delete chunks of a job that ended while they were written: nothing else deletes them."""
        for operation in batch.operations:
            if job_id_of_key(operation.key) == write.job_id:
                self._keys.schedule_delete(operation.key)
