"""What one read of all job records proves about records that belong to jobs.

Pure.  A job's record, ``job/<id>``, is created once, together with the parts of its description,
and removed once, when the job ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeal.schema.keys import JOBS
from micadeal.wire.state import Item


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Proof that a job is done or cancelled, so that nothing needs its other records any more.

    Only ``JobListing.proof_of_end`` gives it.
    """

    job_id: str


@dataclass(frozen=True)
class JobListing:
    """All job records as one range read, perhaps of several pages, has listed them."""

    items: list[Item]
    #: Revision of the first page: the read began no earlier than that.
    revision: int
    _job_ids: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        job_ids = frozenset(item.key.removeprefix(JOBS) for item in self.items)
        object.__setattr__(self, "_job_ids", job_ids)

    def proof_of_end(self, job_id: str, version: int) -> JobEnded | None:
        """Return the proof that a job is over by the version of a record of it, or None.

        Guards against the loss of an accepted job.  A record is written when its job exists, or
        with it.  So a record no newer than the listing whose job is not listed belongs to a job
        that has ended.  A newer one proves nothing: its job may have been accepted since.
        """
        if job_id in self._job_ids or version > self.revision:
            return None
        return JobEnded(job_id)
