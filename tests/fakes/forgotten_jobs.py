"""The rule ``forgotten``: users' questions about accepted jobs have to be answered.

The checker has no input, output or clock.  The caller simulates users and reports their answers
with the time, in seconds on any monotonic clock.  ``ViolationKind`` lists the ways to violate the
rule.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, StrEnum
from http import HTTPStatus

#: A job is forgotten if all questions about it fail for this time while most others are answered.
UNANSWERED_WHILE_OTHERS_ARE_S = 90.0
#: A job is forgotten if all questions about it fail for this time after all faults have ended,
#: regardless of other jobs.
UNANSWERED_AFTER_FAULTS_S = 75.0


class RequestKind(Enum):
    """The kind of a user's request."""

    STATUS = "status"
    SUBMISSION = "submission"
    CANCELLATION = "cancellation"


class ViolationKind(StrEnum):
    """The ways in which an accepted job can be forgotten."""

    NOT_FOUND = "answered 404"
    REFUSED = "its repeated submission is refused"
    UNANSWERED_ALONE = "no question is answered for 90 s while most others are"
    UNANSWERED_AFTER_FAULTS = "no question is answered for 75 s after all faults"


@dataclass(frozen=True, slots=True)
class Violation:
    """One forgotten job."""

    kind: ViolationKind
    job_id: str
    at: float
    detail: str = ""

    def __str__(self) -> str:
        return f"forgotten {self.job_id}: {self.kind}{self.detail and ', '}{self.detail}"


@dataclass(frozen=True, slots=True)
class _Question:
    """The outcome of one question about a job."""

    asked_at: float
    job_id: str
    answered: bool


class ForgottenJobs:
    """Collects the answers to users and reports forgotten jobs."""

    def __init__(self) -> None:
        self._accepted: set[str] = set()
        #: When the first question since the last answer was asked, by job; only unanswered jobs.
        self._failing_since: dict[str, float] = {}
        #: Questions asked in the last ``UNANSWERED_WHILE_OTHERS_ARE_S``, by time of their answers.
        self._recent: deque[_Question] = deque()
        self._faults_ended_at: float | None = None
        #: The longest time for which all questions about a job failed, and the job.
        self.longest_unanswered_s = 0.0
        self.longest_unanswered_job: str | None = None

    def accept(self, job_id: str) -> None:
        """Record that a user was informed of the acceptance of the job."""
        self._accepted.add(job_id)

    def end_faults(self, now: float) -> None:
        """Record that all faults have ended."""
        self._faults_ended_at = now

    def begin_faults(self) -> None:
        """Record that faults may occur again."""
        self._faults_ended_at = None

    def record(
        self, kind: RequestKind, job_id: str, status: int, asked_at: float, now: float
    ) -> Violation | None:
        """Record the HTTP status of a request, 0 if there was no answer.

        Returns the violation that it reveals, if there is one.
        """
        if job_id not in self._accepted:
            return None
        if status == HTTPStatus.NOT_FOUND:
            return Violation(ViolationKind.NOT_FOUND, job_id, now, f"to a {kind.value}")
        if kind is RequestKind.SUBMISSION:
            refused = status in (HTTPStatus.BAD_REQUEST, HTTPStatus.UNPROCESSABLE_ENTITY)
            return Violation(ViolationKind.REFUSED, job_id, now, f"{status}") if refused else None
        if kind is RequestKind.CANCELLATION:
            return None
        return self._record_question(_Question(asked_at, job_id, status == HTTPStatus.OK), now)

    def _record_question(self, question: _Question, now: float) -> Violation | None:
        self._recent.append(question)
        while self._recent[0].asked_at < now - UNANSWERED_WHILE_OTHERS_ARE_S:
            self._recent.popleft()
        job_id = question.job_id
        if question.answered:
            self._failing_since.pop(job_id, None)
            return None
        since = self._failing_since.setdefault(job_id, question.asked_at)
        if now - since > self.longest_unanswered_s:
            self.longest_unanswered_s, self.longest_unanswered_job = now - since, job_id
        return self._check_unanswered(job_id, since, now)

    def _check_unanswered(self, job_id: str, since: float, now: float) -> Violation | None:
        if now - since >= UNANSWERED_WHILE_OTHERS_ARE_S and self._most_others_answered(job_id):
            return Violation(ViolationKind.UNANSWERED_ALONE, job_id, now)
        if self._faults_ended_at is None:
            return None
        if now - max(since, self._faults_ended_at) >= UNANSWERED_AFTER_FAULTS_S:
            return Violation(ViolationKind.UNANSWERED_AFTER_FAULTS, job_id, now)
        return None

    def _most_others_answered(self, job_id: str) -> bool:
        others = [question.answered for question in self._recent if question.job_id != job_id]
        return 2 * sum(others) > len(others)
