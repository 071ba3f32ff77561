"""What users were answered about their jobs, and the rule for the order of answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.fakes.kernel import now_s

#: How far a job has come by an answer: no later question gets one that is less.
STAGES = {"pending": 1, "running": 1, "done": 2, "cancelled": 2}
FINAL = ("done", "cancelled")


@dataclass
class UserAnswers:
    """What users were answered last, and when a cancellation was confirmed to them."""

    accepted: set[str] = field(default_factory=set)
    #: The newest answer about each job, and when it arrived.
    latest: dict[str, str] = field(default_factory=dict)
    latest_at: dict[str, float] = field(default_factory=dict)
    #: Answers to questions that were put before a newer answer arrived, and came after it: the job,
    #: and how much later.
    out_of_order: list[tuple[str, float]] = field(default_factory=list)
    #: Answers that were checked for their order.
    count: int = 0
    cancel_confirmed_at: dict[str, float] = field(default_factory=dict)
    #: Jobs whose users have asked to cancel them, whatever they were answered.
    cancel_requested: set[str] = field(default_factory=set)

    def record(self, job_id: str, before: str | None, status: str) -> str | None:
        """Record an answer that has arrived; return the violation if it contradicts earlier ones.

        ``before`` was the newest answer when the question was put.
        """
        self.count += 1
        now, newest = now_s(), self.latest.get(job_id)
        if status == "cancelled":
            self.cancel_confirmed_at.setdefault(job_id, now)
        if before in FINAL and status != before:
            return f"went_back {job_id}: {status} after {before}"
        if newest in FINAL and status in FINAL and status != newest:
            return f"went_back {job_id}: {status} beside {newest}"
        if newest is not None and STAGES[status] < STAGES[newest]:
            self.out_of_order.append((job_id, now - self.latest_at[job_id]))
            return None
        if newest is None or STAGES[status] > STAGES[newest]:
            self.latest_at[job_id] = now
        self.latest[job_id] = status
        return None
