"""Finished tasks of a job in stored records."""

from __future__ import annotations

from micadeal.clock import ZERO
from micadeal.jobs.model import TASKS_PER_CHUNK, Job, encode_bit_set
from tests.fakes.submissions import spec


def test_finished_tasks_survive_being_stored_in_chunks() -> None:
    largest = spec(tasks=100_000)
    job = Job(largest, ZERO, 1)
    finished = {0, 7, 8, TASKS_PER_CHUNK - 1, TASKS_PER_CHUNK, 99_999}
    for index in finished:
        job.finish(index)
    loaded = Job(largest, ZERO, 1)
    for chunk in {index // TASKS_PER_CHUNK for index in finished}:
        text = encode_bit_set(
            job.finished_in_chunk(chunk * TASKS_PER_CHUNK, TASKS_PER_CHUNK), chunk * TASKS_PER_CHUNK
        )
        assert len(text) <= 4000
        loaded.load_finished_chunk(chunk * TASKS_PER_CHUNK, text)
    assert loaded.finished == finished and loaded.next_waiting() == 1
