"""Submission of jobs by users."""

from __future__ import annotations

import logging

from micadeal.clock import utc_now
from micadeal.controller.api.dependencies import DependencyReader
from micadeal.controller.api.end_records import USER_WRITE_TIMEOUT
from micadeal.controller.api.job_reader import NeverAccepted
from micadeal.controller.api.known_answers import KnownAnswers
from micadeal.controller.api.responses import (
    RETRY_AFTER,
    not_recorded_yet,
    state_service_unreachable,
)
from micadeal.controller.api.status import JobStatus
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.http.message import Answer, answer, error
from micadeal.jobs.validate import (
    MalformedJobError,
    UnschedulableJobError,
    check_schedulable,
    job_id_of,
    parse,
)
from micadeal.operator.platform import Team
from micadeal.schema.job_records import split_record
from micadeal.schema.keys import ENDS, JOBS
from micadeal.state.service import (
    ConflictError,
    RequestRejectedError,
    StateService,
    StateServiceError,
    UnavailableError,
    Urgency,
)
from micadeal.timeouts import with_timeout
from micadeal.wire.state import Condition, EndRecord, JobRecord, Put
from micadeal.wire.users import JobAnswer, Status, Submission

log = logging.getLogger(__name__)


class JobTooLargeError(Exception):
    """A job's description exceeds the state service's limits, even if split over several values."""

    def __init__(self, job_id: str) -> None:
        super().__init__(job_id)
        self.job_id = job_id


class JobSubmission:
    """Checks submissions and records those that are accepted."""

    def __init__(
        self,
        state: StateService,
        teams: dict[str, Team],
        answers: KnownAnswers,
        status: JobStatus,
        dependencies: DependencyReader,
    ) -> None:
        self._state = state
        self._teams = teams
        self._answers = answers
        self._status = status
        self._dependencies = dependencies
        self.instance_offers = InstanceOffers()

    async def submit(self, body: bytes) -> Answer:
        """Answer a submission: 201 if it is accepted, 200 if the job is known already."""
        try:
            spec = parse(body)
        except MalformedJobError as problem:
            return await self._status_or(job_id_of(body), error(400, str(problem)))
        if not self.instance_offers.types:
            no_catalog = error(503, "the machine types are not known yet", RETRY_AFTER)
            return await self._status_or(spec.job_id, no_catalog)
        try:
            check_schedulable(spec, self._teams, self.instance_offers)
            cancelled = await self._has_cancelled_prerequisite(spec)
        except UnschedulableJobError as problem:
            return await self._status_or(spec.job_id, error(422, str(problem)))
        except (StateServiceError, TimeoutError) as problem:
            log.debug("prerequisites not read: job=%s reason=%s", spec.job_id, problem)
            not_read = error(503, "the jobs named can't be looked up now", RETRY_AFTER)
            return await self._status_or(spec.job_id, not_read)
        return await self._accept(spec, cancelled)

    async def _status_or(self, job_id: str | None, fallback: Answer) -> Answer:
        """Answer a submission with the job's status if the job is known, else with ``fallback``.

        A repeated submission of a known job is answered with its status, even if the rest of the
        request is invalid.
        """
        if job_id is None:
            return fallback
        try:
            current = await self._status.look_up(job_id)
        except StateServiceError as problem:
            return state_service_unreachable(problem)
        return fallback if isinstance(current, NeverAccepted) else answer(200, current)

    async def _has_cancelled_prerequisite(self, spec: Submission) -> bool:
        if not spec.prerequisites:
            return False
        cancelled: bool = await with_timeout(
            USER_WRITE_TIMEOUT, self._dependencies.has_cancelled_prerequisite(spec)
        )
        return cancelled

    async def _accept(self, spec: Submission, cancelled: bool) -> Answer:
        """Record the job and answer; record it as cancelled if ``cancelled`` is true."""
        job_id = spec.job_id
        if (final := self._answers.final.get(job_id)) is not None:
            return answer(200, final)
        try:
            await self._record(spec, cancelled)
        except JobTooLargeError:
            too_large = error(400, "the job's description is too large for the state service")
            return await self._status_or(job_id, too_large)
        except UnavailableError as problem:
            return state_service_unreachable(problem)
        except (ConflictError, StateServiceError) as problem:
            # The job is known already, or this transaction was applied and its answer lost.
            return await self._answer_recorded(job_id, str(problem))
        return await self._answer_accepted(job_id, cancelled)

    async def _answer_accepted(self, job_id: str, cancelled: bool) -> Answer:
        """Answer a submission that was just recorded; read its status if a newer one is known."""
        self._answers.accepted.add(job_id, None)
        if cancelled:
            final = self._answers.remember_final(JobAnswer(job_id, Status.CANCELLED))
            return answer(201, final)
        accepted = JobAnswer(job_id, Status.PENDING)
        if self._answers.is_outdated(job_id, accepted):
            return await self._answer_recorded(job_id, "a newer status is known")
        return answer(201, accepted)

    async def _answer_recorded(self, job_id: str, reason: str) -> Answer:
        """Answer with the recorded status of the job, which another controller may have written.

        ``reason`` says for the log why the status is read.
        """
        try:
            current = await self._status.look_up(job_id)
        except StateServiceError as problem:
            return not_recorded_yet(f"{reason}; then {problem}")
        if isinstance(current, NeverAccepted):
            return not_recorded_yet(f"{reason}; no record found")
        return answer(200, current)

    async def _record(self, spec: Submission, cancelled: bool) -> None:
        """Write the job's record, or the record of its end if ``cancelled``.

        Raises ``JobTooLargeError``, ``ConflictError`` if the job is known, ``UnavailableError`` if
        nothing was written, and another ``StateServiceError`` if the outcome is unknown.
        """
        job_id = spec.job_id
        now = utc_now().timestamp()
        record = JobRecord(spec, now)
        if not self._state.current_limits.fits(record):
            raise JobTooLargeError(job_id)
        put = Put(JOBS + job_id, record)
        if cancelled:
            put = Put(ENDS + job_id, EndRecord.for_job(Status.CANCELLED, spec, now))
        try:
            await self._put_new(job_id, [put])
        except RequestRejectedError:
            if cancelled:
                # Guards ``went_back``: only the record of a live job can be split.  The record of
                # an end is small and is never split.
                raise JobTooLargeError(job_id) from None
            # The service's limits have been lowered since this controller was started.
            parts = split_record(record, self._state.limits)
            if parts is None:
                raise JobTooLargeError(job_id) from None
            await self._put_new(job_id, parts)

    async def _put_new(self, job_id: str, changes: list[Put]) -> None:
        await self._state.commit(
            [Condition(JOBS + job_id, 0), Condition(ENDS + job_id, 0)],
            changes,
            Urgency.USER,
            timeout=USER_WRITE_TIMEOUT,
        )
