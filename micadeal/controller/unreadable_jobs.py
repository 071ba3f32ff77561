"""Jobs that are alive, but whose records this leader can't read.  No I/O."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from micadeal.schema.decoding import VersionedRecord
from micadeal.schema.keys import JOBS
from micadeal.wire.state import FinishedRecord

log = logging.getLogger(__name__)

#: Jobs that are read once more at a time.
MAX_REREADS = 5
#: Jobs that the overview names.
MAX_NAMED = 5


@dataclass(slots=True)
class _UnreadableJob:
    """Why a job can't be read, and what is kept for the moment in which it can."""

    reason: str
    finished: list[VersionedRecord[FinishedRecord]] = field(default_factory=list)


class UnreadableJobs:
    """Keeps jobs in view that can't be scheduled, the one that was read longest ago first.

    Their users are answered "pending", so they must neither be given up nor lie there unseen.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _UnreadableJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def add(self, job_id: str, problem: Exception) -> None:
        """Note that a job's record could not be read; logged if that is new or has changed."""
        job = self._jobs.pop(job_id, None) or _UnreadableJob("")
        if job.reason != str(problem):
            job.reason = str(problem)
            # A traceback says nothing more: the fault is in the record.
            log.error("unreadable record: key=%s reason=%s", JOBS + job_id, problem)
        self._jobs[job_id] = job

    def keep_finished(self, job_id: str, chunk: VersionedRecord[FinishedRecord]) -> None:
        """Keep the finished tasks of an unreadable job until it can be read."""
        self._jobs[job_id].finished.append(chunk)

    def remove(self, job_id: str) -> list[VersionedRecord[FinishedRecord]]:
        """Note that a job was read or is over; return the finished tasks that were kept."""
        job = self._jobs.pop(job_id, None)
        return [] if job is None else job.finished

    def to_reread(self) -> list[str]:
        """Return the jobs that are to be read once more now; the next call returns others."""
        job_ids = list(self._jobs)[:MAX_REREADS]
        for job_id in job_ids:
            self._jobs[job_id] = self._jobs.pop(job_id)
        return job_ids

    def notes(self) -> list[str]:
        """Return what the overview says of them."""
        if not self._jobs:
            return []
        named = sorted(self._jobs)
        keys = ", ".join(JOBS + job_id for job_id in named[:MAX_NAMED])
        more = f" and {len(named) - MAX_NAMED} more" if len(named) > MAX_NAMED else ""
        return [f"{len(named)} unreadable jobs, which don't run: {keys}{more}"]
