"""Rules for when a user may be answered that a job is cancelled."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import MAX_CLOCK_DRIFT, monotonic
from micadeal.controller.api.cancellation_ages import CancellationAges
from micadeal.controller.api.known_answers import KnownAnswers
from micadeal.state.service import StateServiceError
from micadeal.wire.users import JobAnswer

log = logging.getLogger(__name__)


class CancellationConfirmation(NamedTuple):
    """What is certain about a cancellation after the other controllers were notified."""

    #: Enough controllers know of it, as ``CancellationBroadcaster.broadcast`` decides.  That alone
    #: does not permit confirming it to a user.
    majority_notified: bool
    #: A leader has reported that no task of the job can start any more.
    no_task_can_start: bool


class UnconfirmedCancellationError(StateServiceError):
    """A cancellation is recorded, but must not be confirmed to users yet."""

    def __init__(self, job_id: str, reason: str) -> None:
        super().__init__(f"recorded, not confirmed: job={job_id} reason={reason}")
        self.job_id = job_id
        self.reason = reason


class CancellationConfirmer:
    """Decides whether a recorded cancellation may be confirmed to a user."""

    def __init__(
        self,
        answers: KnownAnswers,
        broadcast: Callable[[str], Awaitable[CancellationConfirmation]],
        cancel_timeout: timedelta,
        ages: CancellationAges,
        request_confirmation: Callable[[str], None],
    ) -> None:
        """Confirm cancellations to the users of one controller.

        ``broadcast`` announces a cancellation to the other controllers.  No task of a job is left
        ``cancel_timeout`` after its cancellation was confirmed.  ``request_confirmation`` asks
        other controllers through the state service to confirm a cancellation, for the case that
        too few of them can be reached directly.
        """
        self._answers = answers
        self._broadcast = broadcast
        self._cancel_timeout = cancel_timeout
        self._ages = ages
        self._request_confirmation = request_confirmation

    async def confirm(self, answer: JobAnswer, cannot_start: bool = False) -> JobAnswer:
        """Announce the cancellation, and return the answer if a user may be given it.

        Guards ``ran_cancelled`` by two conditions.  First, enough controllers know of the
        cancellation: a follower that renews leases in place of the leader learns of it even if
        some of them crash.  Second, no task of the job can start any more: a leader has
        reported that, or enough controllers have known for so long that no task can be left.

        ``cannot_start``: it is certain that no task can start.  Raises
        ``UnconfirmedCancellationError`` if the user must retry.
        """
        job_id = answer.job_id
        confirmation = await self._broadcast(job_id)
        if not confirmation.majority_notified:
            self._request_confirmation(job_id)
            raise _unconfirmed(job_id, "too few controllers know of it")
        if not (cannot_start or confirmation.no_task_can_start):
            self._check_tasks_are_gone(job_id)
        log.debug("cancellation confirmed: job=%s", job_id)
        return self._answers.remember_final(answer)

    def _check_tasks_are_gone(self, job_id: str) -> None:
        now = monotonic()
        if self._ages.note(job_id, now):
            self._answers.last_cancel_answered_at = now
        age = self._ages.age(job_id, now)
        if age is None or age <= self._cancel_timeout * (1 + 2 * MAX_CLOCK_DRIFT):
            raise _unconfirmed(job_id, "a task may still start")


def _unconfirmed(job_id: str, reason: str) -> UnconfirmedCancellationError:
    log.info("cancellation not confirmed: job=%s reason=%s", job_id, reason)
    return UnconfirmedCancellationError(job_id, reason)
