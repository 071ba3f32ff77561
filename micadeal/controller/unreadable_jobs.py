"""Tracks live jobs whose records this leader can't read.  Performs no I/O."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from micadeal.schema.decoding import VersionedRecord
from micadeal.schema.keys import JOBS
from micadeal.wire.state import FinishedRecord

log = logging.getLogger(__name__)

#: Maximum number of jobs that are read again at a time.
MAX_REREADS = 5
#: Maximum number of jobs named in the overview.
MAX_NAMED_JOBS = 5


@dataclass(slots=True)
class _UnreadableJob:
    """Why a job can't be read, and its finished tasks, kept until it can."""

    reason: str
    finished: list[VersionedRecord[FinishedRecord]] = field(default_factory=list)


class UnreadableJobs:
    """Live jobs that can't be scheduled, least recently read first.

    Their users are answered "pending", so these jobs must neither be dropped nor stay unnoticed.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _UnreadableJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def add(self, job_id: str, problem: Exception) -> None:
        """Add a job whose record could not be read; log that if the job or the reason is new."""
        job = self._jobs.pop(job_id, None) or _UnreadableJob("")
        if job.reason != str(problem):
            job.reason = str(problem)
            # No traceback: the fault is in the record.
            log.error("unreadable record: key=%s reason=%s", JOBS + job_id, problem)
        self._jobs[job_id] = job

    def keep_finished(self, job_id: str, chunk: VersionedRecord[FinishedRecord]) -> None:
        """Keep the finished tasks of an unreadable job until it can be read."""
        self._jobs[job_id].finished.append(chunk)

    def remove(self, job_id: str) -> list[VersionedRecord[FinishedRecord]]:
        """Remove a job that was read or is over; return its finished tasks that were kept."""
        job = self._jobs.pop(job_id, None)
        return [] if job is None else job.finished

    def next_to_reread(self) -> list[str]:
        """Return the jobs to read again now, and move them to the end of the order."""
        job_ids = list(self._jobs)[:MAX_REREADS]
        for job_id in job_ids:
            self._jobs[job_id] = self._jobs.pop(job_id)
        return job_ids

    def notes(self) -> list[str]:
        """Return the notes for the overview."""
        if not self._jobs:
            return []
        named = sorted(self._jobs)
        keys = ", ".join(JOBS + job_id for job_id in named[:MAX_NAMED_JOBS])
        more = f" and {len(named) - MAX_NAMED_JOBS} more" if len(named) > MAX_NAMED_JOBS else ""
        return [f"{len(named)} unreadable jobs, which don't run: {keys}{more}"]
