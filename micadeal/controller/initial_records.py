"""Reads all records from the state service when a term begins."""

from __future__ import annotations

from collections.abc import Sequence

import curio

from micadeal.clock import monotonic
from micadeal.controller.messages import StateLoaded
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.schema.decoding import VersionedRecord, decode_item, decode_items, decode_placements
from micadeal.schema.job_listing import JobListing
from micadeal.schema.keys import (
    DONE,
    ENDS,
    FINISHED,
    IMAGES,
    JOBS,
    LEAVING,
    MACHINE_PLACEMENTS,
    PARTS,
    PLACED,
    SETTINGS,
)
from micadeal.state.service import StateService, StateServiceError, Urgency
from micadeal.wire.state import (
    EndRecord,
    FinishedRecord,
    ImagesRecord,
    Item,
    PlacedRecord,
    ReturnedMachinesRecord,
)


class _LeaderRangeReads:
    """Concurrent reads of ranges that only leaders write.

    No other controller leads meanwhile, so the order of the reads does not matter.
    """

    def __init__(self, state: StateService) -> None:
        self._state = state
        self._results: dict[str, list[Item] | StateServiceError] = {}

    async def fetch(self, prefix: str) -> None:
        """Read one range; if that fails, ``items`` raises the error."""
        try:
            self._results[prefix], _ = await self._state.range(prefix, Urgency.LEASE)
        except StateServiceError as problem:
            self._results[prefix] = problem

    def items(self, *prefixes: str) -> list[Item]:
        """Return the items of fetched ranges.

        Guards ``ran_twice``: a range that could not be read is not treated as empty.
        """
        items: list[Item] = []
        for prefix in prefixes:
            result = self._results[prefix]
            if isinstance(result, StateServiceError):
                raise result
            items += result
        return items


async def read_initial_records(state: StateService, oldest_level: int) -> StateLoaded:
    """Read all records; raise ``StateServiceError`` if a range can't be read.

    Records of feature levels below ``oldest_level`` are no longer stored.  Parts of job
    descriptions are read after the jobs: in the reverse order, a job that is accepted between the
    two reads would lack its parts.
    """
    requested_at = monotonic()
    has_first_layouts = oldest_level < FeatureLevel.FENCED
    placed_prefixes = (PLACED, MACHINE_PLACEMENTS) if has_first_layouts else (PLACED,)
    finished_prefixes = (DONE, FINISHED) if has_first_layouts else (FINISHED,)
    range_reads = _LeaderRangeReads(state)
    async with curio.TaskGroup() as group:
        for prefix in (*placed_prefixes, IMAGES, LEAVING, *finished_prefixes):
            await group.spawn(range_reads.fetch, prefix)
        jobs, revision = await state.range(JOBS, Urgency.LEASE)
        parts, _ = await state.range(PARTS, Urgency.LEASE)
        settings = await state.get(SETTINGS, Urgency.LEASE)
    placed = decode_placements(range_reads.items(*placed_prefixes))
    return StateLoaded(
        jobs=JobListing(jobs, revision),
        placed=placed,
        images=decode_items(range_reads.items(IMAGES), ImagesRecord),
        returned_machines=decode_items(range_reads.items(LEAVING), ReturnedMachinesRecord),
        finished=decode_items(range_reads.items(*finished_prefixes), FinishedRecord),
        parts=parts,
        ended=await _read_ends_of_placed(state, jobs, placed),
        settings=settings,
        requested_at=requested_at,
    )


async def _read_ends_of_placed(
    state: StateService, jobs: Sequence[Item], placed: Sequence[VersionedRecord[PlacedRecord]]
) -> dict[str, EndRecord]:
    """Read the ends of jobs that are over but may still have tasks on machines.

    Such tasks still count toward their team's usage.
    """
    live_jobs = {item.key.removeprefix(JOBS) for item in jobs}
    ended_jobs = {
        task.job_id
        for versioned in placed
        if versioned.record is not None
        for machine in versioned.record.machines
        for task in machine.tasks
        if task.job_id not in live_jobs
    }
    ends: dict[str, EndRecord] = {}
    for job_id in sorted(ended_jobs):
        item = await state.get(ENDS + job_id, Urgency.LEASE)
        end = None if item is None else decode_item(item, EndRecord)
        if end is not None:
            ends[job_id] = end
    return ends
