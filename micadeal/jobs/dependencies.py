"""Dependencies among live jobs: a directed acyclic graph.  No I/O.

A job with unfinished prerequisites has no demand.  It becomes runnable when the last of them is
recorded done, and is cancelled when one of them is recorded cancelled.  All of this follows from
stored records: prerequisites are in ``job/<id>`` and never change, and the end of a job is kept
permanently in ``end/<id>``.  A prerequisite whose end has not been read counts as not done.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import seconds
from micadeal.jobs.model import Job

#: Time until an end record that was not found or not readable is read again.
END_RETRY_INTERVAL = seconds(5)
#: Most jobs visited when a change of rank or latest finish propagates.  Valid records have no
#: cycle, since a job may only name jobs accepted before it; this bounds the loop if damaged records
#: have one.
MAX_PROPAGATION_STEPS = 20_000


@dataclass(frozen=True, slots=True)
class JobEnd:
    """How a prerequisite ended."""

    #: True if it succeeded, False if it was cancelled.
    done: bool
    #: When it ended, on this process's monotonic clock.
    at: timedelta


class _Inherited(NamedTuple):
    """Best rank and earliest latest finish of a job, by itself and by its dependents."""

    rank: int
    #: Id of the dependent that the rank comes from; None if it is the job's own.
    rank_inherited_from: str | None
    latest: timedelta | None


@dataclass(slots=True)
class JobDependencies:
    """The dependency graph of the jobs that the leader knows; owned by the leader's actor."""

    #: The leader's jobs by id; the map is shared with the leader's model of the cluster.
    jobs: dict[str, Job]
    #: Live jobs with a cancelled prerequisite, whose own end is to be recorded.  None of them has
    #: a task on any machine, since the prerequisite was never done.
    cancelled_by_dependency: dict[str, Job] = field(default_factory=dict)
    #: Whether the graph has changed since the last call of ``ends_to_read``.
    changed: bool = False
    #: Known ends of jobs that have dependents.
    _ends: dict[str, JobEnd] = field(default_factory=dict)
    #: Live dependents by the id of their prerequisite, then by their own id.
    _dependents: dict[str, dict[str, Job]] = field(default_factory=dict)
    #: By job id, the earliest next read of an end that was not found.
    _retry_at: dict[str, timedelta] = field(default_factory=dict)

    # -- events ----------------------------------------------------------------------------

    def add(self, job: Job) -> None:
        """Add a job that has become known; jobs may be added in any order."""
        for job_id in dict.fromkeys(job.spec.prerequisites or ()):
            self._dependents.setdefault(job_id, {})[job.id] = job
            job.unfinished_prerequisites.add(job_id)
        for job_id in list(job.unfinished_prerequisites):
            # A prerequisite that is about to be cancelled is handled once its end is recorded.
            if (end := self._ends.get(job_id)) is not None:
                self._resolve(job, job_id, end)
        self._propagate(job)
        self.changed = True

    def record_end(self, job_id: str, end: JobEnd) -> None:
        """Apply the recorded end of a job; ignored if it has no dependents or its end is known."""
        dependents = self._dependents.get(job_id)
        if dependents is None or job_id in self._ends:
            return
        self._ends[job_id] = end
        self.changed = True
        for job in list(dependents.values()):
            self._resolve(job, job_id, end)

    def remove(self, job: Job) -> None:
        """Remove a job that is over; how it ended reaches its dependents by ``record_end``."""
        self.cancelled_by_dependency.pop(job.id, None)
        self._retry_at.pop(job.id, None)
        self.changed = True
        for job_id in job.spec.prerequisites or ():
            dependents = self._dependents.get(job_id)
            if dependents is None:
                continue
            dependents.pop(job.id, None)
            if not dependents:
                del self._dependents[job_id]
                self._ends.pop(job_id, None)
                self._retry_at.pop(job_id, None)
            if (prerequisite := self.jobs.get(job_id)) is not None:
                self._propagate(prerequisite)

    def end_not_found(self, job_id: str, now: timedelta) -> None:
        """Record that no readable end was found: it is damaged, or the job is not over."""
        self._retry_at[job_id] = now + END_RETRY_INTERVAL

    def retry_end(self, job_id: str) -> None:
        """Allow an immediate read of a job's end, since the job has changed."""
        self._retry_at.pop(job_id, None)
        self.changed = True

    # -- queries ---------------------------------------------------------------------------

    def ends_to_read(self, now: timedelta) -> list[str]:
        """Return the ids of the jobs whose end is to be read: not live, but with dependents."""
        self.changed = False
        return [
            job_id
            for job_id in self._dependents
            if job_id not in self._ends
            and not self._is_live(job_id)
            and now >= self._retry_at.get(job_id, timedelta.min)
        ]

    def _is_live(self, job_id: str) -> bool:
        """Tell whether a job is known and not over."""
        job = self.jobs.get(job_id)
        return job is not None and not job.ended

    def has_dependents(self, job_id: str) -> bool:
        """Tell whether a live job depends on this one."""
        return job_id in self._dependents

    # -- graph -----------------------------------------------------------------------------

    def _resolve(self, job: Job, prerequisite_id: str, end: JobEnd) -> None:
        """Apply the end of one prerequisite to a job."""
        if not end.done:
            self._cancel_with_dependents(job)
            return
        job.unfinished_prerequisites.discard(prerequisite_id)
        job.ready_at = max(job.ready_at, end.at)

    def _cancel_with_dependents(self, first: Job) -> None:
        """Mark a job and all its direct and indirect dependents as to be cancelled."""
        stack = [first]
        while stack:
            job = stack.pop()
            if job.ended or job.cancelled_by_dependency:
                continue
            job.cancelled_by_dependency = True
            self.cancelled_by_dependency[job.id] = job
            self.changed = True
            stack += self._dependents.get(job.id, {}).values()

    def _propagate(self, first: Job) -> None:
        """Update rank and latest finish of a job from its dependents, then of its prerequisites."""
        stack = [first]
        for _ in range(MAX_PROPAGATION_STEPS):
            if not stack:
                return
            job = stack.pop()
            inherited = self._inherited(job)
            changed = inherited != (job.rank, job.rank_inherited_from, job.latest)
            job.rank, job.rank_inherited_from, job.latest = inherited
            if changed or job is first:
                stack += [
                    prerequisite
                    for job_id in job.spec.prerequisites or ()
                    if (prerequisite := self.jobs.get(job_id)) is not None
                    and not prerequisite.ended
                ]

    def _inherited(self, job: Job) -> _Inherited:
        """Return the best rank and the earliest latest finish of a job and its dependents."""
        rank, inherited_from, latest = job.own_rank, None, job.own_latest
        for dependent in self._dependents.get(job.id, {}).values():
            if dependent.rank < rank:
                rank, inherited_from = dependent.rank, dependent.rank_inherited_from or dependent.id
            start = dependent.latest_start
            if start is not None and (latest is None or start < latest):
                latest = start
        return _Inherited(rank, inherited_from, latest)
