"""Records the answers to users, and checks that the answers about a job are consistent."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.fakes.kernel import now_s

#: Progress of a job by the status answered; no later question may get a lower one.
STAGES = {"pending": 1, "running": 1, "done": 2, "cancelled": 2}
FINAL = ("done", "cancelled")


@dataclass
class UserAnswers:
    """The latest answers to users, and the times of their cancellation confirmations."""

    accepted: set[str] = field(default_factory=set)
    #: The newest status answered for each job, and when that stage was first answered.
    latest: dict[str, str] = field(default_factory=dict)
    latest_at: dict[str, float] = field(default_factory=dict)
    #: Answers that arrived after a newer one, to questions that were asked before the newer answer
    #: arrived: the job, and the delay in seconds.
    stale_answers: list[tuple[str, float]] = field(default_factory=list)
    #: Number of answers checked.
    count: int = 0
    cancel_confirmed_at: dict[str, float] = field(default_factory=dict)
    #: Jobs whose users have requested a cancellation, regardless of the answer.
    cancel_requested: set[str] = field(default_factory=set)

    def record(self, job_id: str, known_status: str | None, status: str) -> str | None:
        """Record an answer; return a violation if the answer contradicts an earlier one.

        ``known_status`` was the newest answer when the question was asked.
        """
        self.count += 1
        now, newest = now_s(), self.latest.get(job_id)
        if status == "cancelled":
            self.cancel_confirmed_at.setdefault(job_id, now)
        if known_status in FINAL and status != known_status:
            return f"went_back {job_id}: {status} after {known_status}"
        if newest in FINAL and status in FINAL and status != newest:
            return f"went_back {job_id}: {status} beside {newest}"
        if newest is not None and STAGES[status] < STAGES[newest]:
            self.stale_answers.append((job_id, now - self.latest_at[job_id]))
            return None
        if newest is None or STAGES[status] > STAGES[newest]:
            self.latest_at[job_id] = now
        self.latest[job_id] = status
        return None
