"""Logs and counts refused user requests, and tracks jobs whose status can't be answered."""

from __future__ import annotations

import logging
from collections import Counter
from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

from micadeal.clock import ZERO, monotonic, seconds
from micadeal.controller.api.known_answers import RecentJobs
from micadeal.http.message import Answer

log = logging.getLogger(__name__)

#: Refusals of one kind that are logged per period.
MAX_LINES_PER_PERIOD = 20
LOG_PERIOD = seconds(10)
#: Jobs that are tracked as unanswered.
MAX_UNANSWERED_JOBS = 2000
#: The overview names a job whose status requests have failed for longer than this.
UNANSWERED_NOTE_AFTER = seconds(30)


class UserRequest(StrEnum):
    """The kinds of user requests."""

    SUBMISSION = "submission"
    STATUS = "status"
    CANCELLATION = "cancellation"


class UnansweredJob(NamedTuple):
    """The job whose status requests have failed here for the longest time."""

    job_id: str
    duration: timedelta


class AnswerLog:
    """Counts one controller's refusals of user requests, and logs the reasons."""

    def __init__(self, controller: str) -> None:
        self._controller = controller
        self._refusals: Counter[tuple[UserRequest, int]] = Counter()
        self._unanswered_since: RecentJobs[timedelta] = RecentJobs(MAX_UNANSWERED_JOBS)
        self._period_started_at = ZERO
        self._refusals_in_period: Counter[tuple[UserRequest, int]] = Counter()

    def record(self, request: UserRequest, job_id: str | None, reply: Answer) -> None:
        """Process the answer to a request; ``job_id`` is None if the request names none."""
        now = monotonic()
        if request is UserRequest.STATUS and job_id is not None:
            self._track_status_request(job_id, reply.status, now)
        if reply.status < HTTPStatus.BAD_REQUEST:
            return
        kind = (request, reply.status)
        self._refusals[kind] += 1
        if now - self._period_started_at > LOG_PERIOD:
            self._log_omitted()
            self._period_started_at = now
        self._refusals_in_period[kind] += 1
        if self._refusals_in_period[kind] <= MAX_LINES_PER_PERIOD:
            log.info(
                "user refused: job=%s request=%s status=%d controller=%s reason=%s",
                job_id,
                request.value,
                reply.status,
                self._controller,
                reply.reason,
            )

    def _track_status_request(self, job_id: str, status: int, now: timedelta) -> None:
        """Track whether a status request was answered, with a status or with "no such job"."""
        if status in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            self._unanswered_since.discard(job_id)
        elif self._unanswered_since.get(job_id) is None:
            self._unanswered_since.add(job_id, now)

    def _log_omitted(self) -> None:
        for (request, status), count in self._refusals_in_period.items():
            if count > MAX_LINES_PER_PERIOD:
                log.info(
                    "user refusals not logged: request=%s status=%d count=%d controller=%s",
                    request.value,
                    status,
                    count - MAX_LINES_PER_PERIOD,
                    self._controller,
                )
        self._refusals_in_period.clear()

    def longest_unanswered(self, now: timedelta) -> UnansweredJob | None:
        """Return the job that has been unanswered for the longest time; None if there is none."""
        unanswered = self._unanswered_since.items()
        if not unanswered:
            return None
        job_id, since = min(unanswered, key=lambda entry: entry[1])
        return UnansweredJob(job_id, now - since)

    def notes(self, now: timedelta) -> list[str]:
        """Return the notes that the operators' overview shows, in plain text."""
        notes = [
            f"{self._controller} refused {count} of its users' requests since its start:"
            f" {request.value}, status {status}"
            for (request, status), count in sorted(self._refusals.items())
        ]
        longest = self.longest_unanswered(now)
        if longest is not None and longest.duration > UNANSWERED_NOTE_AFTER:
            notes.append(
                f"{self._controller} has answered no question about {longest.job_id}"
                f" for {longest.duration.total_seconds():.0f} s"
            )
        return notes
