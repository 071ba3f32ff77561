"""Checks whether jobs that a job depends on, directly or transitively, are cancelled."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.api.job_reader import JobReader, RecordedJobs
from micadeal.controller.api.known_answers import KnownAnswers
from micadeal.jobs.validate import UnschedulableJobError
from micadeal.state.service import StateServiceError
from micadeal.wire.users import Submission

#: In longer lists of prerequisites, those already known as accepted are not read again.  So a
#: retry after a 503 has fewer records to read.
MAX_UNCACHED_PREREQUISITES = 16
#: Maximum number of records of ancestors (jobs that a job depends on, directly or transitively)
#: that are read for one answer.  For those read as live before, only versions are compared, so a
#: retry has fewer records to read.
MAX_ANCESTOR_READS = 400


class DependencyReader:
    """Reads a job's ancestors if the leader may not have propagated a cancellation yet."""

    def __init__(self, reader: JobReader, answers: KnownAnswers, cancel_timeout: timedelta) -> None:
        self._reader = reader
        self._answers = answers
        self._cancel_timeout = cancel_timeout
        #: All jobs that depend on a job cancelled before this instant are recorded as cancelled.
        self.cancellations_propagated_until: timedelta | None = None

    def cancellations_propagated(self, asked_at: timedelta) -> bool:
        """Return whether a job's own record is enough to answer a request received at ``asked_at``.

        It is enough while the leader's last report is recent: every cancellation up to
        ``cancellations_propagated_until`` is recorded for all jobs that depend on the cancelled
        job.
        """
        return (
            self.cancellations_propagated_until is not None
            and asked_at - self.cancellations_propagated_until < self._cancel_timeout / 2
        )

    async def has_cancelled_prerequisite(self, spec: Submission) -> bool:
        """Return whether a prerequisite of a new job, or one of its ancestors, is cancelled.

        Raises ``UnschedulableJobError`` if a prerequisite was never accepted, by reads that begin
        now, or is a service, which never ends by itself.  If a cancellation is recorded
        concurrently with the submission, the leader finds it in the records.
        """
        job_ids = list(dict.fromkeys(spec.prerequisites or ()))
        if len(job_ids) > MAX_UNCACHED_PREREQUISITES:
            job_ids = [job_id for job_id in job_ids if job_id not in self._answers.accepted]
        jobs = await self._reader.read_jobs(job_ids)
        for name in job_ids:
            job = jobs[name]
            if job is None:
                raise UnschedulableJobError(f"{name}, which it waits for, was never accepted")
            if job.is_service:
                raise UnschedulableJobError(
                    f"{name}, which it waits for, is a service and never done"
                )
            self._answers.accepted.add(name, None)
        return _any_cancelled(jobs) or await self.has_cancelled_ancestor(jobs, monotonic())

    async def has_cancelled_ancestor(self, jobs: RecordedJobs, asked_at: timedelta) -> bool:
        """Return whether one of the jobs, or one of their ancestors, is cancelled.

        Guards ``orphaned``: without a recent report of the leader (in an outage, or if there has
        been no leader for a while) the records of all ancestors are read, or their versions are
        compared with those read before.  Guards ``forgotten``: after a request that fails, a retry
        has fewer records to read.
        """
        if self.cancellations_propagated(asked_at):
            return False
        seen = set(jobs)
        latest = jobs
        reads_left = MAX_ANCESTOR_READS
        while not _any_cancelled(latest):
            job_ids = self._known_ancestors(_prerequisites(latest), seen)
            if not job_ids:
                return False
            seen |= job_ids
            unread = sorted(job_ids - await self._reader.still_live(job_ids))
            latest = await self._reader.read_jobs(unread[:reads_left], skip_unreadable=True)
            if len(unread) > reads_left:
                raise StateServiceError("too many ancestors to read")
            reads_left -= len(unread)
        return True

    def _known_ancestors(self, job_ids: Iterable[str], seen: set[str]) -> set[str]:
        """Return the jobs and their ancestors known from earlier reads, without ``seen``."""
        ancestors: set[str] = set()
        to_visit = list(job_ids)
        while to_visit:
            job_id = to_visit.pop()
            if job_id not in ancestors and job_id not in seen:
                ancestors.add(job_id)
                to_visit += self._reader.prerequisites(job_id)
        return ancestors


def _any_cancelled(jobs: RecordedJobs) -> bool:
    return any(job is not None and job.is_cancelled for job in jobs.values())


def _prerequisites(jobs: RecordedJobs) -> set[str]:
    return {job_id for job in jobs.values() if job is not None for job_id in job.prerequisites}
