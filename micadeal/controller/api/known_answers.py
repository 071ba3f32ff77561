"""What one controller remembers of jobs between the requests of users."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import Generic, TypeVar

from micadeal.clock import monotonic, seconds
from micadeal.jobs.validate import JOB_ID
from micadeal.wire.peers import Counts
from micadeal.wire.users import JobAnswer, Status

T = TypeVar("T")

#: Jobs that are remembered for each purpose; older ones are read again.
MAX_REMEMBERED_JOBS = 20_000
#: How long a leader's list of jobs whose tasks all run is used where no leader can be asked:
#: ordinarily until the next one has read its records.
ALL_STARTED_TIMEOUT = seconds(10)
FINAL_STATUSES = (Status.DONE, Status.CANCELLED)


class RecentJobs(Generic[T]):
    """A value for each of the jobs that were added last."""

    def __init__(self, capacity: int = MAX_REMEMBERED_JOBS) -> None:
        self._capacity = capacity
        self._values: OrderedDict[str, T] = OrderedDict()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._values

    def get(self, job_id: str) -> T | None:
        """Return the value of a job; None: it is not remembered."""
        return self._values.get(job_id)

    def add(self, job_id: str, value: T) -> None:
        """Remember a job, and forget the one that was added first if there are too many."""
        self._values[job_id] = value
        if len(self._values) > self._capacity:
            self._values.popitem(last=False)

    def items(self) -> list[tuple[str, T]]:
        """Return all jobs and their values, the one that was added first first."""
        return list(self._values.items())

    def discard(self, job_id: str) -> None:
        """Forget a job if it is remembered."""
        self._values.pop(job_id, None)


class KnownAnswers:
    """Final answers, jobs known to be accepted or ended, and the counts that leaders report.

    Final answers never change.  Counts are for display only.
    """

    def __init__(self) -> None:
        self.final: RecentJobs[JobAnswer] = RecentJobs()
        #: Jobs that were accepted here, or found accepted when a long list named them.
        self.accepted: RecentJobs[None] = RecentJobs()
        #: Jobs that others know to be recorded done or cancelled, and that were not read here yet.
        self.ended: RecentJobs[None] = RecentJobs()
        #: When a user was last answered "cancelled" here; unknown for an earlier process, so no
        #: earlier than the start of this one.
        self.last_cancel = monotonic()
        self._counts: dict[str, Counts] = {}
        self._all_started: frozenset[str] = frozenset()
        self._counted_at: timedelta | None = None

    def note_ended(self, job_id: str) -> None:
        """Note that a job's end is recorded, as another controller or the leader reports."""
        if job_id not in self.final and JOB_ID.match(job_id):
            self.ended.add(job_id, None)

    def remember_final(self, final: JobAnswer) -> JobAnswer:
        """Remember an answer that never changes, and return it."""
        if final.status is Status.CANCELLED:
            self.last_cancel = monotonic()
        self.final.add(final.job_id, final)
        self.ended.discard(final.job_id)
        return final

    def is_outdated(self, job_id: str, found: JobAnswer | None) -> bool:
        """Whether something newer than ``found`` has become known here since it was read."""
        if found is None:
            return job_id in self.accepted
        if found.status in FINAL_STATUSES:
            return False
        return job_id in self.final or job_id in self.ended

    def set_counts(self, counts: list[Counts], all_started: list[str]) -> None:
        """Take over what a leader reports of jobs in progress."""
        self._counts = {entry.job_id: entry for entry in counts}
        self._all_started, self._counted_at = frozenset(all_started), monotonic()

    @property
    def counts(self) -> list[Counts]:
        """Counts of jobs in progress, as a leader reported them last."""
        return list(self._counts.values())

    def all_started(self) -> frozenset[str]:
        """Return the jobs of which each task that is not done runs.

        By a leader's last report if that is not old: no task of them can start, unless one was
        lost since.
        """
        if self._counted_at is None or monotonic() - self._counted_at > ALL_STARTED_TIMEOUT:
            return frozenset()
        return self._all_started

    def in_progress(self, job_id: str) -> JobAnswer:
        """Return the answer for a job that is neither done nor cancelled."""
        counts = self._counts.get(job_id)
        if counts is None:
            return JobAnswer(job_id, Status.PENDING, 0, 0)
        status = Status.RUNNING if counts.running else Status.PENDING
        return JobAnswer(job_id, status, counts.done, counts.running)
