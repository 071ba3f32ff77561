"""Proof that a job has ended, from one range read of all job records.

Does no I/O.  A job's record, ``job/<id>``, is created once, together with the parts of its
description, and removed once, when the job ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeal.schema.keys import JOBS
from micadeal.wire.state import Item


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Proof that a job is done or cancelled, so that its other records are no longer needed.

    Only ``JobListing.proof_of_end`` creates it.
    """

    job_id: str


@dataclass(frozen=True)
class JobListing:
    """All job records, as listed by one range read of one or more pages."""

    items: list[Item]
    #: Revision of the first page; each page shows the store at this revision or a later one.
    revision: int
    _job_ids: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        job_ids = frozenset(item.key.removeprefix(JOBS) for item in self.items)
        object.__setattr__(self, "_job_ids", job_ids)

    def proof_of_end(self, job_id: str, version: int) -> JobEnded | None:
        """Return a proof that a job has ended, or None; ``version``: of another record of the job.

        Guards against the loss of an accepted job.  Other records of a job are written with its
        job record or after it.  If such a record is no newer than the listing and the job is not
        listed, the job has ended.  A newer record proves nothing: the job may have been accepted
        after the listing.
        """
        if job_id in self._job_ids or version > self.revision:
            return None
        return JobEnded(job_id)
