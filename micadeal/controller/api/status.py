"""Looks up the status of jobs, by reads that begin after the request was received."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.api.dependencies import DependencyReader
from micadeal.controller.api.end_records import UnreadableRecordError, write_cancellation
from micadeal.controller.api.job_reader import JobReader, NeverAccepted
from micadeal.controller.api.known_answers import KnownAnswers, RecentJobs
from micadeal.controller.api.responses import (
    no_such_job,
    not_a_job_id,
    state_service_unreachable,
)
from micadeal.http.message import Answer, answer
from micadeal.invariants import Invariant, report_violation
from micadeal.jobs.validate import JOB_ID
from micadeal.schema.job_records import may_have_dependencies
from micadeal.schema.keys import JOBS
from micadeal.state.service import ConflictError, StateService, StateServiceError
from micadeal.wire.state import Item
from micadeal.wire.users import JobAnswer

log = logging.getLogger(__name__)


class AcceptedJobMissingError(StateServiceError):
    """The state service has no record of a job that was accepted here."""

    def __init__(self, job_id: str) -> None:
        super().__init__(f"accepted, and neither record nor end is there: job={job_id}")
        self.job_id = job_id


class JobStatus:
    """Answers requests for the status of a job."""

    def __init__(
        self,
        state: StateService,
        answers: KnownAnswers,
        reader: JobReader,
        dependencies: DependencyReader,
    ) -> None:
        self._state = state
        self._answers = answers
        self._reader = reader
        self._dependencies = dependencies
        #: Versions of the records of jobs without prerequisites: while the version is unchanged,
        #: the job is neither done nor cancelled.
        self._independent_versions: RecentJobs[int] = RecentJobs()

    async def status(self, job_id: str) -> Answer:
        """Answer a request for the status of a job."""
        if not JOB_ID.match(job_id):
            return not_a_job_id()
        try:
            current = await self.look_up(job_id)
        except StateServiceError as problem:
            return state_service_unreachable(problem)
        return no_such_job(current) if isinstance(current, NeverAccepted) else answer(200, current)

    async def look_up(self, job_id: str) -> JobAnswer | NeverAccepted:
        """Return the status of a job by reads that begin now.

        Raises ``StateServiceError`` if it can't be determined.

        Guards ``went_back``: if a newer status became known here during the reads, a user may have
        been answered with it already, so the job is read once more.
        """
        current = await self._read(job_id)
        if self._answers.is_outdated(job_id, current):
            current = await self._read(job_id)
        if current is not None:
            return current
        if job_id in self._answers.accepted:
            # Guards ``forgotten``: a user was answered that the job is accepted, so no 404 may
            # follow.
            report_violation(Invariant.FORGOTTEN, job_id, "accepted, and neither record nor end")
            raise AcceptedJobMissingError(job_id)
        return NeverAccepted(job_id)

    async def _read(self, job_id: str) -> JobAnswer | None:
        """Read the job's record and then its end, since the end replaces the record."""
        if (final := self._answers.final.get(job_id)) is not None:
            return final
        asked_at = monotonic()
        if await self._is_unchanged(job_id):
            return self._answers.in_progress(job_id)
        item = await self._state.get(JOBS + job_id)
        if item is None:
            return await self._reader.read_end(job_id)
        if not may_have_dependencies(item.value):
            self._independent_versions.add(job_id, item.version)
        elif await self._cancel_orphan(job_id, item, asked_at):
            # No task can start: the job waited for its prerequisites until now.
            return await self._reader.read_end(job_id, cannot_start=True)
        return self._answers.in_progress(job_id)

    async def _is_unchanged(self, job_id: str) -> bool:
        """Return whether the record of a job without prerequisites has the version last read."""
        version = self._independent_versions.get(job_id)
        if version is None:
            return False
        if await self._reader.version_checks.is_unchanged(JOBS + job_id, version):
            return True
        self._independent_versions.discard(job_id)
        return False

    async def _cancel_orphan(self, job_id: str, item: Item, asked_at: timedelta) -> bool:
        """Cancel the job if one of its ancestors is cancelled; return whether that is so.

        The cancellation is recorded here, since the leader has not recorded it yet.
        """
        if self._dependencies.cancellations_propagated(asked_at):
            return False
        try:
            job = await self._reader.read_live_job(item)
        except UnreadableRecordError as problem:
            # Guards ``forgotten``: the job is known, but no leader can run it.  If this raised,
            # requests about the job would always fail.
            _log_unreadable(problem)
            return False
        if not await self._dependencies.has_cancelled_ancestor({job_id: job}, asked_at):
            return False
        try:
            await write_cancellation(self._state, job_id, item)
        except ConflictError:
            log.debug("job ended meanwhile: job=%s", job_id)
        return True


def _log_unreadable(problem: UnreadableRecordError) -> None:
    log.error("unreadable record: key=%s reason=%s", problem.key, problem.reason)
