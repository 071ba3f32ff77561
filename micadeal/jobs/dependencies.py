"""Which live jobs wait for which others.  No I/O.

An extension to the source, whose jobs know nothing of each other.  A job that waits for others has
no demand; it becomes runnable when the last of them is recorded done, and is to be ended when one
of them is recorded cancelled.  All of it follows from records: the names are in ``job/<id>`` and
never change, and how a job ended is in ``end/<id>`` for ever.  What has not been read counts as not
done.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.jobs.model import Job

#: When an end that could not be found, or not be read, is looked for again.
AGAIN = seconds(5)
#: Jobs looked at for one change of priority.  Names form no circle, since a job may only name what
#: was accepted before it; this guards against records that say otherwise.
MOST_STEPS = 20_000


@dataclass(frozen=True, slots=True)
class JobEnd:
    """How a job that others need ended."""

    done: bool
    #: On this process's steady clock.
    at: timedelta


@dataclass(slots=True)
class JobDependencies:
    """Kept by the leader over the jobs that it knows; ``jobs`` is its own map of them."""

    jobs: dict[str, Job]
    #: Live jobs that need a cancelled one: their own end is to be recorded.  None of them has a
    #: task anywhere, since what it needs was never done.
    cancelled_by_dependency: dict[str, Job] = field(default_factory=dict)
    #: Something happened since ``unread`` was asked for.
    changed: bool = False
    _ends: dict[str, JobEnd] = field(default_factory=dict)
    _needed_by: dict[str, dict[str, Job]] = field(default_factory=dict)
    _again: dict[str, timedelta] = field(default_factory=dict)

    # -- events ----------------------------------------------------------------------------

    def add(self, job: Job) -> None:
        """A job that has just become known; jobs may come in any order."""
        for name in dict.fromkeys(job.spec.prerequisites or ()):
            self._needed_by.setdefault(name, {})[job.id] = job
            job.needs.add(name)
        for name in list(job.needs):
            # One that is about to be cancelled is found once its end is recorded.
            if (end := self._ends.get(name)) is not None:
                self._apply(job, name, end)
        self._settle(job)
        self.changed = True

    def ended(self, name: str, end: JobEnd) -> None:
        """The state service holds the end of a job."""
        needing = self._needed_by.get(name)
        if needing is None or name in self._ends:
            return
        self._ends[name] = end
        self.changed = True
        for job in list(needing.values()):
            self._apply(job, name, end)

    def gone(self, job: Job) -> None:
        """A job is over: it needs nothing any more.  What needs it is told by ``ended``."""
        self.cancelled_by_dependency.pop(job.id, None)
        self._again.pop(job.id, None)
        self.changed = True
        for name in job.spec.prerequisites or ():
            needing = self._needed_by.get(name)
            if needing is None:
                continue
            needing.pop(job.id, None)
            if not needing:
                del self._needed_by[name]
                self._ends.pop(name, None)
                self._again.pop(name, None)
            if (before := self.jobs.get(name)) is not None:
                self._settle(before)

    def not_found(self, name: str, now: timedelta) -> None:
        """No readable end: a record that is damaged, or a job that only seems to be over."""
        self._again[name] = now + AGAIN

    def look_again(self, name: str) -> None:
        """Something happened to a job whose end was looked for in vain."""
        self._again.pop(name, None)
        self.changed = True

    # -- questions -------------------------------------------------------------------------

    def unread(self, now: timedelta) -> list[str]:
        """Jobs that others need, that are not alive, and whose end is not known."""
        self.changed = False
        return [
            name
            for name in self._needed_by
            if name not in self._ends
            and not self.alive(name)
            and now >= self._again.get(name, timedelta.min)
        ]

    def alive(self, name: str) -> bool:
        job = self.jobs.get(name)
        return job is not None and not job.over

    def needed(self, name: str) -> bool:
        return name in self._needed_by

    # -- parts -----------------------------------------------------------------------------

    def _apply(self, job: Job, name: str, end: JobEnd) -> None:
        if not end.done:
            self._doom(job)
            return
        job.needs.discard(name)
        job.ready = max(job.ready, end.at)

    def _doom(self, first: Job) -> None:
        """All that need a cancelled job, directly or through others, are to be ended with it."""
        stack = [first]
        while stack:
            job = stack.pop()
            if job.over or job.cancelled_by_dependency:
                continue
            job.cancelled_by_dependency = True
            self.cancelled_by_dependency[job.id] = job
            self.changed = True
            stack += self._needed_by.get(job.id, {}).values()

    def _settle(self, first: Job) -> None:
        """Take over priority and latest finish from the jobs that need this one, and pass them on
        to those that it needs."""
        stack = [first]
        for _ in range(MOST_STEPS):
            if not stack:
                return
            job = stack.pop()
            rank, by, latest = job.own_rank, None, job.own_latest
            for needing in self._needed_by.get(job.id, {}).values():
                if needing.rank < rank:
                    rank, by = needing.rank, needing.lifted_by or needing.id
                start = needing.latest_start
                if start is not None and (latest is None or start < latest):
                    latest = start
            changed = (rank, by, latest) != (job.rank, job.lifted_by, job.latest)
            job.rank, job.lifted_by, job.latest = rank, by, latest
            if changed or job is first:
                stack += [
                    before
                    for name in job.spec.prerequisites or ()
                    if (before := self.jobs.get(name)) is not None and not before.over
                ]
