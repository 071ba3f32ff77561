"""Reads what the state service stores about jobs; every read begins with the call."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import curio

from micadeal.controller.api.confirmation import CancellationConfirmer
from micadeal.controller.api.end_records import UnreadableRecordError, decode_end
from micadeal.controller.api.known_answers import KnownAnswers, RecentJobs
from micadeal.schema.job_records import read_job_record
from micadeal.schema.keys import ENDS, JOBS
from micadeal.state.read_coalescing import VersionCheckCoalescer
from micadeal.state.service import StateService, StateServiceError, Urgency
from micadeal.wire.codec import MessageFormatError
from micadeal.wire.state import Item
from micadeal.wire.users import JobAnswer, Shape, Status

#: Concurrent reads for one request.
MAX_CONCURRENT_READS = 6


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """What the state service stores about an accepted job."""

    #: None if the job is neither done nor cancelled.
    final_status: Status | None
    is_service: bool = False
    prerequisites: tuple[str, ...] = ()

    @property
    def is_cancelled(self) -> bool:
        """Whether the job is recorded as cancelled."""
        return self.final_status is Status.CANCELLED


@dataclass(frozen=True, slots=True)
class NeverAccepted:
    """Proof that a job had not been accepted when a request about it was received.

    Only ``JobStatus.look_up`` returns it: the job's record and then its end were read, both reads
    began after the request was received, and neither record existed.  Only this proof permits a
    404, or a 400 or 422 to a submission that names a valid job id.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class _LiveRecord:
    """The record of a job that was live, neither done nor cancelled; it is never rewritten."""

    version: int
    job: RecordedJob


#: Recorded jobs by id; None for a job that was never accepted.
RecordedJobs = dict[str, RecordedJob | None]


class JobReader:
    """Reads the records of jobs and of their ends."""

    def __init__(
        self, state: StateService, answers: KnownAnswers, confirmer: CancellationConfirmer
    ) -> None:
        self._state = state
        self._answers = answers
        self._confirmer = confirmer
        #: Shared by all users' requests, so that their checks are sent together.
        self.version_checks = VersionCheckCoalescer(state)
        self._live_records: RecentJobs[_LiveRecord] = RecentJobs()

    def prerequisites(self, job_id: str) -> tuple[str, ...]:
        """Return the prerequisites of a job that was read as live before; none if it was not."""
        record = self._live_records.get(job_id)
        return () if record is None else record.job.prerequisites

    async def still_live(self, job_ids: Iterable[str]) -> set[str]:
        """Return the jobs that were read as live before and still are, by reads that begin now.

        One request compares the versions of many records.
        """
        records = {job_id: self._live_records.get(job_id) for job_id in job_ids}
        versions = {
            JOBS + job_id: record.version
            for job_id, record in records.items()
            if record is not None
        }
        unchanged = await self.version_checks.unchanged_keys(versions)
        for key in versions.keys() - unchanged:
            self._live_records.discard(key.removeprefix(JOBS))
        return {key.removeprefix(JOBS) for key in unchanged}

    async def read_job(self, job_id: str) -> RecordedJob | None:
        """Read what is recorded of a job; return None if it was never accepted.

        The job's record is read before its end: the end replaces the record, so reads in the other
        order could miss both.  Raises ``StateServiceError``; its subclass ``UnreadableRecordError``
        if a retry will not help.
        """
        final = self._answers.final.get(job_id)
        if final is None:
            item = await self._state.get(JOBS + job_id)
            if item is not None:
                return await self.read_live_job(item)
            final = await self.read_end(job_id)
        return None if final is None else RecordedJob(final.status)

    async def read_jobs(self, job_ids: list[str], skip_unreadable: bool = False) -> RecordedJobs:
        """Read several jobs concurrently.

        ``skip_unreadable``: treat jobs whose records can't be decoded as unknown, so that requests
        about jobs that depend on them can still be answered.
        """
        jobs: RecordedJobs = {}
        problems: list[StateServiceError] = []
        unread = list(job_ids)

        async def read_unread() -> None:
            while unread and not problems:
                job_id = unread.pop()
                try:
                    jobs[job_id] = await self.read_job(job_id)
                except UnreadableRecordError as problem:
                    jobs[job_id] = None
                    if not skip_unreadable:
                        problems.append(problem)
                except StateServiceError as problem:
                    problems.append(problem)

        async with curio.TaskGroup() as group:
            for _ in range(min(len(job_ids), MAX_CONCURRENT_READS)):
                await group.spawn(read_unread)
        if problems:
            raise problems[0]
        return jobs

    async def read_live_job(self, item: Item) -> RecordedJob:
        """Decode the record of a job that is neither done nor cancelled, and read its parts."""
        try:
            spec = (await read_job_record(self._state, item, Urgency.USER)).submission
        except MessageFormatError as problem:
            raise UnreadableRecordError(item.key, problem) from None
        job = RecordedJob(None, spec.shape is Shape.SERVICE, tuple(spec.prerequisites or ()))
        self._live_records.add(spec.job_id, _LiveRecord(item.version, job))
        return job

    async def read_end(self, job_id: str, cannot_start: bool = False) -> JobAnswer | None:
        """Read how a job ended; return None if no end is recorded.

        A cancellation is confirmed first, unless the record says that it is confirmed already.

        ``cannot_start``: it is certain that no task of the job can start.
        """
        item = await self._state.get(ENDS + job_id)
        if item is None:
            return None
        end = decode_end(item)
        done = end.tasks if end.status is Status.DONE else None
        answer = JobAnswer(job_id, end.status, done, 0 if done else None)
        if end.status is Status.CANCELLED and not end.confirmed:
            return await self._confirmer.confirm(answer, cannot_start)
        return self._answers.remember_final(answer)
