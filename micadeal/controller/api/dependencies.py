"""Whether jobs that a job depends on, directly or through others, are cancelled."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.api.job_reader import JobReader, RecordedJobs
from micadeal.controller.api.known_answers import KnownAnswers
from micadeal.jobs.validate import UnschedulableJobError
from micadeal.state.service import StateServiceError
from micadeal.wire.users import Submission

#: Of longer lists of prerequisites, those found once are not looked up again: a repetition after
#: a 503 then gets further.
MAX_UNCACHED_PREREQUISITES = 16
#: Records of ancestors (jobs that a job depends on, directly or not) that are read for one answer
#: at most.  Those that were read alive before are only compared, so a repetition gets further.
MAX_ANCESTOR_READS = 400


class DependencyReader:
    """Reads a job's ancestors, where the leader may not have recorded a cancellation yet."""

    def __init__(self, reader: JobReader, answers: KnownAnswers, cancel_timeout: timedelta) -> None:
        self._reader = reader
        self._answers = answers
        self._cancel_timeout = cancel_timeout
        #: All jobs that need one that was cancelled before this instant are recorded cancelled.
        self.propagated_until: timedelta | None = None

    def cancellations_propagated(self, asked: timedelta) -> bool:
        """Return whether a job's own record is enough to answer a request received at ``asked``.

        As long as the leader's last report is fresh, whatever was cancelled before it is recorded
        for all jobs that depend on it.
        """
        return (
            self.propagated_until is not None
            and asked - self.propagated_until < self._cancel_timeout / 2
        )

    async def has_cancelled_prerequisite(self, spec: Submission) -> bool:
        """Return whether a prerequisite of a new job, or one of its ancestors, is cancelled.

        Raises ``UnschedulableJobError`` if one was never accepted, by reads that begin now, or
        never ends by itself.  A cancellation that is recorded at the same time as the submission
        is found by the leader from the records.
        """
        names = list(dict.fromkeys(spec.prerequisites or ()))
        if len(names) > MAX_UNCACHED_PREREQUISITES:
            names = [name for name in names if name not in self._answers.accepted]
        jobs = await self._reader.read_jobs(names)
        for name in names:
            job = jobs[name]
            if job is None:
                raise UnschedulableJobError(f"{name}, which it waits for, was never accepted")
            if job.is_service:
                raise UnschedulableJobError(
                    f"{name}, which it waits for, is a service and never done"
                )
            self._answers.accepted.add(name, None)
        return _any_cancelled(jobs) or await self.has_cancelled_ancestor(jobs, monotonic())

    async def has_cancelled_ancestor(self, jobs: RecordedJobs, asked: timedelta) -> bool:
        """Return whether one of the jobs, or one of their ancestors, is cancelled.

        Guards ``orphaned``: without a fresh report of the leader (no leader for long, an outage)
        the records of all ancestors are read, or compared with what was read before.  Guards
        ``forgotten``: a question that fails leaves less to read for the next one.
        """
        if self.cancellations_propagated(asked):
            return False
        seen = set(jobs)
        latest = jobs
        reads_left = MAX_ANCESTOR_READS
        while not _any_cancelled(latest):
            names = self._known_ancestors(_prerequisites(latest), seen)
            if not names:
                return False
            seen |= names
            unread = sorted(names - await self._reader.still_live(names))
            latest = await self._reader.read_jobs(unread[:reads_left], skip_unreadable=True)
            if len(unread) > reads_left:
                raise StateServiceError("too many jobs further up")
            reads_left -= len(unread)
        return True

    def _known_ancestors(self, names: Iterable[str], seen: set[str]) -> set[str]:
        """Return the names and all ancestors of theirs that were read before, without ``seen``."""
        found: set[str] = set()
        to_visit = list(names)
        while to_visit:
            name = to_visit.pop()
            if name not in found and name not in seen:
                found.add(name)
                to_visit += self._reader.prerequisites(name)
        return found


def _any_cancelled(jobs: RecordedJobs) -> bool:
    return any(job is not None and job.is_cancelled for job in jobs.values())


def _prerequisites(jobs: RecordedJobs) -> set[str]:
    return {name for job in jobs.values() if job is not None for name in job.prerequisites}
