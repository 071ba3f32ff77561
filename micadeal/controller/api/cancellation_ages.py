"""Ages of cancellations that could not be confirmed by the first request."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.controller.api.known_answers import RecentJobs
from micadeal.jobs.validate import JOB_ID

#: Jobs that are remembered, and sent in an answer to a ping.
MAX_JOBS = 500
#: Ages above this are dropped: far smaller ones are enough to confirm a cancellation.
MAX_AGE = seconds(600)
MILLISECOND = timedelta(milliseconds=1)


class CancellationAges:
    """Tracks since when enough controllers know of a cancellation.

    Only cancellations of jobs that may still start a task are tracked.  Controllers exchange the
    ages.  So the time that one controller has counted also counts at the others, and is not lost
    when its process ends.
    """

    def __init__(self) -> None:
        self._known_since: RecentJobs[timedelta] = RecentJobs(MAX_JOBS)

    def age(self, job_id: str, now: timedelta) -> timedelta | None:
        """Return for how long enough controllers have certainly known; None if that is unknown."""
        known_since = self._known_since.get(job_id)
        return None if known_since is None else now - known_since

    def note(self, job_id: str, now: timedelta) -> bool:
        """Note that enough controllers know of a cancellation; return whether that is new."""
        if job_id in self._known_since:
            return False
        self._known_since.add(job_id, now)
        return True

    def to_wire(self, now: timedelta) -> dict[str, float]:
        """Return the age of each cancellation in milliseconds, for the other controllers."""
        for job_id, known_since in self._known_since.items():
            if now - known_since > MAX_AGE:
                self._known_since.discard(job_id)
        return {
            job_id: (now - known_since) / MILLISECOND
            for job_id, known_since in self._known_since.items()
        }

    def merge(self, ages_ms: Mapping[str, float], now: timedelta) -> None:
        """Adopt the ages of a peer that are greater than those known here.

        An age is correct when it is sent.  If the network delays the message, the adopted age is
        too small, never too great.
        """
        for job_id, age_ms in ages_ms.items():
            if not JOB_ID.match(job_id) or not 0 <= age_ms <= MAX_AGE / MILLISECOND:
                continue
            age = age_ms * MILLISECOND
            if age > (self.age(job_id, now) or ZERO):
                self._known_since.add(job_id, now - age)
