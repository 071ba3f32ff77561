"""What one controller remembers about jobs between users' requests."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import Generic, TypeVar

from micadeal.clock import monotonic, seconds
from micadeal.jobs.validate import JOB_ID
from micadeal.wire.peers import Counts
from micadeal.wire.users import JobAnswer, Status

T = TypeVar("T")

#: Capacity of each cache; evicted jobs are read again.
MAX_REMEMBERED_JOBS = 20_000
#: How long a leader's list of jobs whose unfinished tasks all run is used while no leader can be
#: asked: usually long enough for the next leader to have read its records.
ALL_STARTED_TIMEOUT = seconds(10)
FINAL_STATUSES = (Status.DONE, Status.CANCELLED)


class RecentJobs(Generic[T]):
    """A bounded mapping of job ids to values, which evicts the jobs that were added first."""

    def __init__(self, capacity: int = MAX_REMEMBERED_JOBS) -> None:
        self._capacity = capacity
        self._values: OrderedDict[str, T] = OrderedDict()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._values

    def get(self, job_id: str) -> T | None:
        """Return the value of a job; None if it is not remembered."""
        return self._values.get(job_id)

    def add(self, job_id: str, value: T) -> None:
        """Add a job, and evict the one that was added first if the capacity is exceeded."""
        self._values[job_id] = value
        if len(self._values) > self._capacity:
            self._values.popitem(last=False)

    def items(self) -> list[tuple[str, T]]:
        """Return all jobs and their values, in the order in which they were added."""
        return list(self._values.items())

    def discard(self, job_id: str) -> None:
        """Remove a job if it is there."""
        self._values.pop(job_id, None)


class KnownAnswers:
    """Final answers, jobs known to be accepted or ended, and task counts from the leader.

    Final answers never change.  Task counts are for display only.
    """

    def __init__(self) -> None:
        self.final: RecentJobs[JobAnswer] = RecentJobs()
        #: Jobs accepted here, or read as prerequisites and so known to be accepted.
        self.accepted: RecentJobs[None] = RecentJobs()
        #: Jobs reported by others as recorded done or cancelled, whose ends were not read here yet.
        self.ended: RecentJobs[None] = RecentJobs()
        #: When a user was last answered "cancelled" here.  Initially the start of this process,
        #: since the answers of an earlier process are unknown.
        self.last_cancel_answered_at = monotonic()
        self._counts: dict[str, Counts] = {}
        self._all_started: frozenset[str] = frozenset()
        self._reported_at: timedelta | None = None

    def note_ended(self, job_id: str) -> None:
        """Note that a job's end is recorded, by a report of the leader or another controller."""
        if job_id not in self.final and JOB_ID.match(job_id):
            self.ended.add(job_id, None)

    def remember_final(self, final: JobAnswer) -> JobAnswer:
        """Cache a final answer, and return it."""
        if final.status is Status.CANCELLED:
            self.last_cancel_answered_at = monotonic()
        self.final.add(final.job_id, final)
        self.ended.discard(final.job_id)
        return final

    def is_outdated(self, job_id: str, answer: JobAnswer | None) -> bool:
        """Return whether something newer than ``answer`` is known here by now."""
        if answer is None:
            return job_id in self.accepted
        if answer.status in FINAL_STATUSES:
            return False
        return job_id in self.final or job_id in self.ended

    def set_counts(self, counts: list[Counts], all_started: list[str]) -> None:
        """Store a leader's report of the jobs in progress."""
        self._counts = {entry.job_id: entry for entry in counts}
        self._all_started, self._reported_at = frozenset(all_started), monotonic()

    @property
    def counts(self) -> list[Counts]:
        """Task counts of the jobs in progress, from a leader's last report."""
        return list(self._counts.values())

    def all_started(self) -> frozenset[str]:
        """Return the jobs whose unfinished tasks all run, by a leader's last report if recent.

        No further task of these jobs can start, unless one was lost since the report.
        """
        if self._reported_at is None or monotonic() - self._reported_at > ALL_STARTED_TIMEOUT:
            return frozenset()
        return self._all_started

    def in_progress(self, job_id: str) -> JobAnswer:
        """Return the answer for a job that is neither done nor cancelled."""
        counts = self._counts.get(job_id)
        if counts is None:
            return JobAnswer(job_id, Status.PENDING, 0, 0)
        status = Status.RUNNING if counts.running else Status.PENDING
        return JobAnswer(job_id, status, counts.done, counts.running)
