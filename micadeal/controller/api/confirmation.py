"""When a user may be answered that a job is cancelled."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import DRIFT, monotonic
from micadeal.controller.api.known_answers import KnownAnswers, RecentJobs
from micadeal.state.service import StateServiceError
from micadeal.wire.users import JobAnswer

log = logging.getLogger(__name__)


class CancellationConfirmation(NamedTuple):
    """How far a cancellation has got."""

    #: So many controllers know of it that a user may be answered, as far as that goes.
    majority_notified: bool
    #: A leader says that no task of the job can start any more.
    no_task_can_start: bool


class UnconfirmedCancellationError(StateServiceError):
    """A cancellation is recorded, but users must not be answered so yet."""

    def __init__(self, job_id: str, reason: str) -> None:
        super().__init__(f"recorded, not confirmed: job={job_id} reason={reason}")
        self.job_id = job_id
        self.reason = reason


class CancellationConfirmer:
    """Makes cancellations known to other controllers before users are answered."""

    def __init__(
        self,
        answers: KnownAnswers,
        spread: Callable[[str], Awaitable[CancellationConfirmation]],
        cancel_timeout: timedelta,
    ) -> None:
        """Confirm by ``spread``, which makes a cancellation known to the other controllers.

        A task is gone ``cancel_timeout`` after its cancellation was confirmed.
        """
        self._answers = answers
        self._spread = spread
        self._cancel_timeout = cancel_timeout
        #: Cancelled jobs of which a task may still start, and since when enough controllers know.
        self._starts_possible: RecentJobs[timedelta] = RecentJobs()

    async def confirm(self, answer: JobAnswer, cannot_start: bool = False) -> JobAnswer:
        """Return the answer once a user may be given it.

        Guards ``ran_cancelled``: before that, so many controllers know of the cancellation that
        any which acts for the leader will learn of it, whoever crashes meanwhile.  And no task of
        the job starts afterwards: a leader has seen that none can any more, or every task has been
        gone for certain, as if the user had been answered when enough controllers knew.

        ``cannot_start``: it is certain that no task can start.  Raises
        ``UnconfirmedCancellationError`` if the user has to ask again.
        """
        job_id = answer.job_id
        spread = await self._spread(job_id)
        if not spread.majority_notified:
            raise _unconfirmed(job_id, "too few controllers know of it")
        if not (cannot_start or spread.no_task_can_start):
            self._check_tasks_are_gone(job_id)
        self._starts_possible.discard(job_id)
        log.debug("cancellation confirmed: job=%s", job_id)
        return self._answers.remember_final(answer)

    def _check_tasks_are_gone(self, job_id: str) -> None:
        now = monotonic()
        known_since = self._starts_possible.get(job_id)
        if known_since is None:
            self._answers.last_cancel = known_since = now
            self._starts_possible.add(job_id, now)
        if now - known_since <= self._cancel_timeout * (1 + 2 * DRIFT):
            raise _unconfirmed(job_id, "a task may still start")


def _unconfirmed(job_id: str, reason: str) -> UnconfirmedCancellationError:
    log.info("cancellation not confirmed: job=%s reason=%s", job_id, reason)
    return UnconfirmedCancellationError(job_id, reason)
