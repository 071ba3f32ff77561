"""Chunks that store the finished tasks of a job, in both layouts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from micadeal.controller.persistence.batches import BatchDraft, FinishedTasksWrite
from micadeal.controller.persistence.writer_context import WriteLimits
from micadeal.jobs.model import TASKS_PER_CHUNK, TASKS_PER_SMALL_CHUNK, Job, encode_bit_set
from micadeal.schema.keys import DONE, FINISHED
from micadeal.wire.state import FinishedRecord

#: Prefixes of the keys of finished tasks, in both layouts.
FINISHED_PREFIXES = (DONE, FINISHED)


@dataclass(frozen=True, slots=True)
class FinishedChunk:
    """The finished tasks of one chunk, and their record."""

    job: Job
    key: str
    tasks: frozenset[int]
    record: FinishedRecord

    def add_to(self, draft: BatchDraft, limits: WriteLimits) -> None:
        """Add the chunk to a batch."""
        draft.put(self.key, self.record)
        draft.finished.append(FinishedTasksWrite(self.job.id, self.tasks))
        if not limits.guaranteed.fits(self.record):
            draft.needs_present_limits = True
        self.job.record_keys.add(self.key)


@dataclass(frozen=True, slots=True)
class ChunkLayout:
    """The key prefix and the size of the chunks in one layout."""

    prefix: str
    tasks_per_chunk: int

    def numbers(self, tasks: Iterable[int]) -> list[int]:
        """Return the numbers of the chunks that contain any of the tasks, in ascending order."""
        return sorted({index // self.tasks_per_chunk for index in tasks})

    def tasks(self, job: Job, number: int) -> frozenset[int]:
        """Return the job's finished tasks in a chunk."""
        return job.finished_in_chunk(number * self.tasks_per_chunk, self.tasks_per_chunk)

    def chunk(self, job: Job, number: int) -> FinishedChunk:
        """Return a chunk with all of its tasks that are finished now."""
        tasks = self.tasks(job, number)
        record = FinishedRecord(encode_bit_set(tasks, number * self.tasks_per_chunk))
        return FinishedChunk(job, f"{self.prefix}{job.id}/{number}", tasks, record)


#: Readable by all versions, but too large for a state service whose limits have been lowered.
LARGE_CHUNKS = ChunkLayout(DONE, TASKS_PER_CHUNK)
#: Written if a large chunk does not fit, and always from level ``FENCED`` on.
SMALL_CHUNKS = ChunkLayout(FINISHED, TASKS_PER_SMALL_CHUNK)
