"""Cancellation of jobs by users."""

from __future__ import annotations

from micadeal.controller.api.confirmation import CancellationConfirmer
from micadeal.controller.api.end_records import write_cancellation
from micadeal.controller.api.job_reader import NeverAccepted
from micadeal.controller.api.known_answers import FINAL_STATUSES, KnownAnswers
from micadeal.controller.api.responses import no_such_job, not_a_job_id, not_recorded_yet
from micadeal.controller.api.status import JobStatus
from micadeal.http.message import Answer, answer
from micadeal.jobs.validate import JOB_ID
from micadeal.schema.keys import JOBS
from micadeal.state.service import ConflictError, StateService, StateServiceError
from micadeal.wire.users import JobAnswer, Status

#: Attempts at a cancellation if the job's record changes concurrently.
MAX_ATTEMPTS = 3


class JobCancellation:
    """Records cancellations, and answers users once they are confirmed."""

    def __init__(
        self,
        state: StateService,
        answers: KnownAnswers,
        confirmer: CancellationConfirmer,
        status: JobStatus,
    ) -> None:
        self._state = state
        self._answers = answers
        self._confirmer = confirmer
        self._status = status

    async def cancel(self, job_id: str) -> Answer:
        """Answer a request to cancel a job; if the job has ended, answer with its final status."""
        if not JOB_ID.match(job_id):
            return not_a_job_id()
        reason = "the job's record changed meanwhile"
        try:
            for _ in range(MAX_ATTEMPTS):
                final = await self._try_to_cancel(job_id)
                if final is not None:
                    return final
        except StateServiceError as problem:
            reason = str(problem)
        return not_recorded_yet(reason)

    async def _try_to_cancel(self, job_id: str) -> Answer | None:
        """Make one attempt; return None if the job's record has changed meanwhile."""
        if (final := self._answers.final.get(job_id)) is not None:
            return answer(200, final)
        item = await self._state.get(JOBS + job_id)
        if item is None:
            current = await self._status.look_up(job_id)
            if isinstance(current, NeverAccepted):
                return no_such_job(current)
            return answer(200, current) if current.status in FINAL_STATUSES else None
        try:
            await write_cancellation(self._state, job_id, item)
        except ConflictError:
            return None
        cancelled = JobAnswer(job_id, Status.CANCELLED)
        return answer(200, await self._confirmer.confirm(cancelled))
