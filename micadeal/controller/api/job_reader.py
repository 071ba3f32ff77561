"""What the state service holds of jobs, by reads that begin with the call."""

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

#: Reads in flight at once for one request.
MAX_CONCURRENT_READS = 6


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """What is recorded of an accepted job."""

    #: Its final status; None: it is neither done nor cancelled.
    final_status: Status | None
    is_service: bool = False
    prerequisites: tuple[str, ...] = ()

    @property
    def is_cancelled(self) -> bool:
        """Whether the job's end is recorded as cancelled."""
        return self.final_status is Status.CANCELLED


@dataclass(frozen=True, slots=True)
class NeverAccepted:
    """Proof that a job was not accepted when a question about it came.

    Only ``JobStatus.look_up`` gives it: the job's record and then its end were read, both reads
    began after the question came, and there was neither.  Nothing else allows to answer 404, or to
    refuse a submission with 400 or 422 whose job may be known.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class _LiveRecord:
    """The record of a job that was neither done nor cancelled; it is never rewritten."""

    version: int
    job: RecordedJob


#: Recorded jobs by id; None: never accepted.
RecordedJobs = dict[str, RecordedJob | None]


class JobReader:
    """Reads the records of jobs and of their ends."""

    def __init__(
        self, state: StateService, answers: KnownAnswers, confirmer: CancellationConfirmer
    ) -> None:
        self._state = state
        self._answers = answers
        self._confirmer = confirmer
        #: Shared by all questions, so that they share requests.
        self.version_checks = VersionCheckCoalescer(state)
        self._live_records: RecentJobs[_LiveRecord] = RecentJobs()

    def prerequisites(self, job_id: str) -> tuple[str, ...]:
        """Return the prerequisites of a job that was read alive before; none if it was not."""
        record = self._live_records.get(job_id)
        return () if record is None else record.job.prerequisites

    async def still_live(self, names: Iterable[str]) -> set[str]:
        """Return those of the jobs read alive before that still are, by reads that begin now.

        One request compares the versions of many records.
        """
        records = {name: self._live_records.get(name) for name in names}
        versions = {
            JOBS + name: record.version for name, record in records.items() if record is not None
        }
        unchanged = await self.version_checks.unchanged_keys(versions)
        for key in versions.keys() - unchanged:
            self._live_records.discard(key.removeprefix(JOBS))
        return {key.removeprefix(JOBS) for key in unchanged}

    async def read_job(self, job_id: str) -> RecordedJob | None:
        """Read what is recorded of a job; None: it was never accepted.

        The job's record is read before its end, since it only ever turns from the one into the
        other.  Raises ``StateServiceError``; ``UnreadableRecordError`` where that will not change.
        """
        final = self._answers.final.get(job_id)
        if final is None:
            item = await self._state.get(JOBS + job_id)
            if item is not None:
                return await self.read_live_job(item)
            final = await self.read_end(job_id)
        return None if final is None else RecordedJob(final.status)

    async def read_jobs(self, names: list[str], skip_unreadable: bool = False) -> RecordedJobs:
        """Read several jobs at once.

        ``skip_unreadable``: jobs whose records can't be read count as unknown.  Otherwise no
        request about a job that depends on them would ever be answered.
        """
        jobs: RecordedJobs = {}
        problems: list[StateServiceError] = []
        waiting = list(names)

        async def read_waiting() -> None:
            while waiting and not problems:
                name = waiting.pop()
                try:
                    jobs[name] = await self.read_job(name)
                except UnreadableRecordError as problem:
                    jobs[name] = None
                    if not skip_unreadable:
                        problems.append(problem)
                except StateServiceError as problem:
                    problems.append(problem)

        async with curio.TaskGroup() as group:
            for _ in range(min(len(names), MAX_CONCURRENT_READS)):
                await group.spawn(read_waiting)
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
        """Read the end of a job; None: there is none.

        A cancellation is confirmed, unless its record says that another controller has done that.

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
