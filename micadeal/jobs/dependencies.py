"""Which live jobs depend on which others (a directed acyclic graph of jobs).  No I/O.

A job with unfinished prerequisites has no demand.  It becomes runnable when the last of them is
recorded done, and is cancelled when one of them is recorded cancelled.  All of this follows from
stored records: the prerequisites are in ``job/<id>`` and never change, and how a job ended is in
``end/<id>`` for ever.  A prerequisite whose end has not been read counts as not done.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import seconds
from micadeal.jobs.model import Job

#: An end that could not be found or read is looked for again after this time.
END_RETRY_INTERVAL = seconds(5)
#: At most this many jobs are visited for one change of priority.  The graph has no cycle, since a
#: job may only name jobs that were accepted before it; this guards against records that say
#: otherwise.
MAX_PROPAGATION_STEPS = 20_000


@dataclass(frozen=True, slots=True)
class JobEnd:
    """How a prerequisite ended."""

    #: True if it succeeded, False if it was cancelled.
    done: bool
    #: When it ended, on this process's monotonic clock.
    at: timedelta


class _Inherited(NamedTuple):
    """What a job takes over from itself and its dependents."""

    rank: int
    #: The dependent that has the rank; None if it is the job's own.
    lifted_by: str | None
    latest: timedelta | None


@dataclass(slots=True)
class JobDependencies:
    """The dependency graph of the jobs that the leader knows; owned by the leader's actor."""

    #: The leader's own map of jobs, shared with it.
    jobs: dict[str, Job]
    #: Live jobs with a cancelled prerequisite: their own end is to be recorded.  None of them has
    #: a task anywhere, since the prerequisite was never done.
    cancelled_by_dependency: dict[str, Job] = field(default_factory=dict)
    #: Something happened since ``unread`` was last called.
    changed: bool = False
    #: Known ends of jobs that have dependents.
    _ends: dict[str, JobEnd] = field(default_factory=dict)
    #: Live dependents by the id of the job that they need, then by their own id.
    _dependents: dict[str, dict[str, Job]] = field(default_factory=dict)
    #: Earliest next read of an end that was looked for in vain.
    _retry_at: dict[str, timedelta] = field(default_factory=dict)

    # -- events ----------------------------------------------------------------------------

    def add(self, job: Job) -> None:
        """Take in a job that has just become known; jobs may come in any order."""
        for name in dict.fromkeys(job.spec.prerequisites or ()):
            self._dependents.setdefault(name, {})[job.id] = job
            job.needs.add(name)
        for name in list(job.needs):
            # A prerequisite that is about to be cancelled is handled once its end is recorded.
            if (end := self._ends.get(name)) is not None:
                self._resolve(job, name, end)
        self._propagate(job)
        self.changed = True

    def ended(self, name: str, end: JobEnd) -> None:
        """Take in the recorded end of a job; without dependents, or repeated, it is ignored."""
        dependents = self._dependents.get(name)
        if dependents is None or name in self._ends:
            return
        self._ends[name] = end
        self.changed = True
        for job in list(dependents.values()):
            self._resolve(job, name, end)

    def gone(self, job: Job) -> None:
        """Remove a job that is over; its dependents learn how it ended by ``ended``."""
        self.cancelled_by_dependency.pop(job.id, None)
        self._retry_at.pop(job.id, None)
        self.changed = True
        for name in job.spec.prerequisites or ():
            dependents = self._dependents.get(name)
            if dependents is None:
                continue
            dependents.pop(job.id, None)
            if not dependents:
                del self._dependents[name]
                self._ends.pop(name, None)
                self._retry_at.pop(name, None)
            if (prerequisite := self.jobs.get(name)) is not None:
                self._propagate(prerequisite)

    def end_not_found(self, name: str, now: timedelta) -> None:
        """Note that no readable end was found: it is damaged, or the job only seems to be over."""
        self._retry_at[name] = now + END_RETRY_INTERVAL

    def retry_end(self, name: str) -> None:
        """Lift the wait before the next read of an end, since something happened to the job."""
        self._retry_at.pop(name, None)
        self.changed = True

    # -- queries ---------------------------------------------------------------------------

    def ends_to_read(self, now: timedelta) -> list[str]:
        """Return the jobs that have dependents, are not alive, and whose end is to be read."""
        self.changed = False
        return [
            name
            for name in self._dependents
            if name not in self._ends
            and not self.alive(name)
            and now >= self._retry_at.get(name, timedelta.min)
        ]

    def alive(self, name: str) -> bool:
        """Whether a job is known and not over."""
        job = self.jobs.get(name)
        return job is not None and not job.over

    def needed(self, name: str) -> bool:
        """Whether a live job depends on this one."""
        return name in self._dependents

    # -- graph -----------------------------------------------------------------------------

    def _resolve(self, job: Job, name: str, end: JobEnd) -> None:
        """Apply the end of one prerequisite to a job."""
        if not end.done:
            self._cancel_with_dependents(job)
            return
        job.needs.discard(name)
        job.ready = max(job.ready, end.at)

    def _cancel_with_dependents(self, first: Job) -> None:
        """Mark a job, and all that need it directly or through others, as to be cancelled."""
        stack = [first]
        while stack:
            job = stack.pop()
            if job.over or job.cancelled_by_dependency:
                continue
            job.cancelled_by_dependency = True
            self.cancelled_by_dependency[job.id] = job
            self.changed = True
            stack += self._dependents.get(job.id, {}).values()

    def _propagate(self, first: Job) -> None:
        """Update a job's rank and latest finish from its dependents, then its prerequisites'."""
        stack = [first]
        for _ in range(MAX_PROPAGATION_STEPS):
            if not stack:
                return
            job = stack.pop()
            inherited = self._inherited(job)
            changed = inherited != (job.rank, job.lifted_by, job.latest)
            job.rank, job.lifted_by, job.latest = inherited
            if changed or job is first:
                stack += [
                    prerequisite
                    for name in job.spec.prerequisites or ()
                    if (prerequisite := self.jobs.get(name)) is not None and not prerequisite.over
                ]

    def _inherited(self, job: Job) -> _Inherited:
        """Return the best rank and the earliest latest finish that apply to a job."""
        rank, lifted_by, latest = job.own_rank, None, job.own_latest
        for dependent in self._dependents.get(job.id, {}).values():
            if dependent.rank < rank:
                rank, lifted_by = dependent.rank, dependent.lifted_by or dependent.id
            start = dependent.latest_start
            if start is not None and (latest is None or start < latest):
                latest = start
        return _Inherited(rank, lifted_by, latest)
