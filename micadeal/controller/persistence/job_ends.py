"""Writes the ends of jobs that are done, or cancelled because a prerequisite is."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from micadeal.clock import utc_now
from micadeal.controller.persistence.batches import BatchDraft, JobEndWrite, WriteBatch
from micadeal.controller.persistence.writer_context import WriterContext
from micadeal.jobs.model import Job
from micadeal.schema.decoding import decode_item
from micadeal.schema.keys import ENDS, JOBS
from micadeal.state.service import Urgency
from micadeal.wire.state import Condition, EndRecord, Item
from micadeal.wire.users import Status

#: Ends of jobs that are written concurrently.
MAX_ENDS_IN_FLIGHT = 4


class JobEndWriter:
    """Replaces the record of a job by the record of its end, in one transaction per job."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        self._in_flight: set[str] = set()

    @property
    def busy(self) -> bool:
        """Whether the end of a job is being written."""
        return bool(self._in_flight)

    def next_batches(self) -> list[WriteBatch]:
        """Return ends of jobs: cancelled dependents first, then jobs that others wait for."""
        batches: list[WriteBatch] = []
        dependencies = self._cluster.dependencies
        for job in dependencies.cancelled_by_dependency.values():
            if len(self._in_flight) >= MAX_ENDS_IN_FLIGHT:
                return batches
            if job.id not in self._in_flight:
                batches.append(self._prepare_end(job, Status.CANCELLED))
        complete = self._complete_jobs()
        complete.sort(key=lambda job: not dependencies.has_dependents(job.id))
        for job in complete[: MAX_ENDS_IN_FLIGHT - len(self._in_flight)]:
            batches.append(self._prepare_end(job, Status.DONE))
        return batches

    def _complete_jobs(self) -> list[Job]:
        complete: list[Job] = []
        for job_id in list(self._cluster.jobs_with_unwritten_results):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.ended:
                self._cluster.jobs_with_unwritten_results.discard(job_id)
            elif job.complete and job_id not in self._in_flight:
                complete.append(job)
        return complete

    def _prepare_end(self, job: Job, status: Status) -> WriteBatch:
        self._in_flight.add(job.id)
        record = EndRecord.for_job(status, job.spec, utc_now().timestamp())
        job_key, end_key = f"{JOBS}{job.id}", f"{ENDS}{job.id}"
        draft = BatchDraft(self._context.limits.guaranteed.operations)
        draft.put(end_key, record)
        draft.delete(job_key)
        for key in sorted(job.record_keys)[: draft.remaining]:
            draft.delete(key)
        return WriteBatch(
            tuple(draft.operations),
            (Condition(job_key, job.version), Condition(end_key, 0)),
            Urgency.END,
            job_end=JobEndWrite(job.id, record),
        )

    def committed(self, batch: WriteBatch, end: JobEndWrite, now: timedelta) -> None:
        """Process the commit of a job's end."""
        for operation in batch.operations:
            self._keys.forget(operation.key)
        self._in_flight.discard(end.job_id)
        self._keys.schedule_job_deletes(self._cluster.jobs.get(end.job_id))
        self._cluster.job_ended(end.job_id, end.record, now)

    def failed(self, end: JobEndWrite, items: Mapping[str, Item | None], now: timedelta) -> None:
        """Process a failed write; if the job's end is recorded nevertheless, adopt it.

        If only the job's record is gone, the job has ended in another way, which the watch of jobs
        will report.
        """
        self._in_flight.discard(end.job_id)
        item = items.get(f"{ENDS}{end.job_id}")
        job = self._cluster.jobs.get(end.job_id)
        if job is None or item is None:
            return
        self._keys.schedule_job_deletes(job)
        record = decode_item(item, EndRecord)
        if record is None:
            self._cluster.job_record_removed(end.job_id, now)
        else:
            self._cluster.job_ended(end.job_id, record, now)
