"""What the leader keeps reading: the state service's records, the cloud's lists and catalog.

Each method is a task of its own that tells the leader's actor what it has read.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from micadeal.clock import monotonic, seconds
from micadeal.controller.background_tasks import BackgroundTasks, poll_forever
from micadeal.controller.messages import (
    CatalogLoaded,
    JobEndLoaded,
    JobsChanged,
    JobsReloaded,
    MachineListLoaded,
    SettingsChanged,
    StateLoaded,
)
from micadeal.fleet.cloud import LIST_EVERY, Cloud
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.schema.decoding import VersionedRecord, read, read_one, read_placed
from micadeal.schema.job_records import part_keys
from micadeal.schema.keys import (
    DONE,
    ENDS,
    FINISHED,
    IMAGES,
    JOBS,
    LEAVING,
    OLD_PLACED,
    PARTS,
    PLACED,
    SETTINGS,
)
from micadeal.state.service import RevisionCompactedError, StateService, StateServiceError, Urgency
from micadeal.timeouts import sleep
from micadeal.wire.cloud import ListedMachine, MachineType
from micadeal.wire.codec import MessageFormatError
from micadeal.wire.state import (
    EndRecord,
    Event,
    FinishedRecord,
    ImagesRecord,
    Item,
    LeavingRecord,
    PlacedRecord,
)

log = logging.getLogger(__name__)

WATCH_HOLD = seconds(2)
CATALOG_EVERY = seconds(60)


class Watchers:
    def __init__(
        self,
        state: StateService,
        cloud: Cloud,
        tell: Callable[[Any], Awaitable[None]],
        background_tasks: BackgroundTasks,
        oldest: int,
    ) -> None:
        """``oldest``: no record of an earlier layout is stored (rollout/feature_level.py)."""
        self._oldest = oldest
        self._state = state
        self._cloud = cloud
        self._tell = tell
        self._background_tasks = background_tasks

    async def lists(self) -> None:
        async def told(machines: list[ListedMachine]) -> None:
            await self._tell(MachineListLoaded(machines))

        await poll_forever("list of machines", self._cloud.machines, told, LIST_EVERY)

    async def catalogs(self) -> None:
        async def told(types: list[MachineType]) -> None:
            await self._tell(CatalogLoaded(types))

        await poll_forever("catalog", self._cloud.catalog, told, CATALOG_EVERY)

    async def load(self) -> None:
        """Read everything, then follow what changes."""
        while True:
            try:
                loaded, revision = await self._read_all()
                break
            except StateServiceError as problem:
                log.info("loading: %s", problem)
                await sleep(seconds(0.3))
        await self._tell(loaded)
        await self._background_tasks.spawn(self._follow_settings, revision)
        await self._follow_jobs(revision)

    async def _read_all(self) -> tuple[StateLoaded, int]:
        """What only leaders change is read all at once: nobody else leads.  Parts of descriptions
        are read after the jobs that they belong to, or one that was just accepted would lack
        them."""
        asked = monotonic()
        older = (OLD_PLACED, DONE) if self._oldest < FeatureLevel.FENCED else ()
        prefixes = (PLACED, IMAGES, LEAVING, FINISHED, *older)
        found: dict[str, list[Item] | StateServiceError] = {}

        async def fetch(prefix: str) -> None:
            try:
                found[prefix], _ = await self._state.range(prefix, Urgency.LEASE)
            except StateServiceError as problem:
                found[prefix] = problem

        async with curio.TaskGroup() as group:
            for prefix in prefixes:
                await group.spawn(fetch, prefix)
            jobs, revision = await self._state.range(JOBS, Urgency.LEASE)
            parts, _ = await self._state.range(PARTS, Urgency.LEASE)
            settings = await self._state.get(SETTINGS, Urgency.LEASE)

        def items(prefix: str) -> list[Item]:
            # Guards ``ran_twice``: what could not be fetched is not taken for nothing.
            fetched = found[prefix] if prefix in prefixes else []
            if isinstance(fetched, StateServiceError):
                raise fetched
            return fetched

        placed = read_placed(items(PLACED) + items(OLD_PLACED))
        loaded = StateLoaded(
            jobs,
            placed,
            read(items(IMAGES), ImagesRecord),
            read(items(LEAVING), LeavingRecord),
            read(items(DONE) + items(FINISHED), FinishedRecord),
            parts,
            await self._ended(jobs, placed),
            settings,
            asked,
        )
        return loaded, revision

    async def _ended(
        self, jobs: list[Item], placed: list[VersionedRecord[PlacedRecord]]
    ) -> dict[str, EndRecord]:
        """End records of jobs that are over but may have tasks on machines: these count still."""
        alive = {item.key[len(JOBS) :] for item in jobs}
        over: set[str] = set()
        for item in placed:
            for entry in item.record.machines if item.record else ():
                over |= {task.job_id for task in entry.tasks if task.job_id not in alive}
        ended: dict[str, EndRecord] = {}
        for job_id in sorted(over):
            end = await self._state.get(ENDS + job_id, Urgency.LEASE)
            record = None if end is None else read_one(end, EndRecord)
            if record is not None:
                ended[job_id] = record
        return ended

    async def _follow_jobs(self, revision: int) -> None:
        client = self._state.watch_client()
        while True:
            asked = monotonic()
            try:
                found = await self._state.changes(JOBS, revision, WATCH_HOLD, client)
                parts = await self._parts_of(found.events)
                revision = max(revision, found.revision)
                await self._tell(JobsChanged(found.events, asked, parts))
            except RevisionCompactedError:
                try:
                    items, revision = await self._state.range(JOBS, Urgency.PLACEMENT)
                    found_parts, _ = await self._state.range(PARTS, Urgency.PLACEMENT)
                    parts = {item.key: item for item in found_parts}
                    await self._tell(JobsReloaded(items, asked, parts))
                except StateServiceError:
                    await sleep(seconds(0.3))
            except StateServiceError as problem:
                log.debug("watch of jobs: %s", problem)
                await sleep(seconds(0.3))

    async def _parts_of(self, events: list[Event]) -> dict[str, Item]:
        """The rest of descriptions that are split, if any came."""
        parts: dict[str, Item] = {}
        for event in events:
            if event.put is None:
                continue
            try:
                keys = part_keys(event.value, event.put.removeprefix(JOBS))
            except MessageFormatError:
                continue
            for key in keys:
                item = await self._state.get(key, Urgency.PLACEMENT)
                if item is not None:
                    parts[key] = item
        return parts

    async def _follow_settings(self, revision: int) -> None:
        client = self._state.watch_client()
        while True:
            try:
                found = await self._state.changes(SETTINGS, revision, seconds(50), client)
                revision = max(revision, found.revision)
                if not found.events:
                    continue
            except RevisionCompactedError:
                revision = 0
            except StateServiceError:
                await sleep(seconds(2))
                continue
            try:
                item = await self._state.get(SETTINGS)
                if item is not None:
                    revision = max(revision, item.version)
                await self._tell(SettingsChanged(item))
            except StateServiceError:
                await sleep(seconds(2))

    async def read_end(self, job_id: str) -> None:
        while True:
            try:
                item = await self._state.get(ENDS + job_id, Urgency.END)
                break
            except StateServiceError as problem:
                log.debug("end of %s: %s", job_id, problem)
                await sleep(seconds(0.3))
        end: EndRecord | None = None
        if item is None:
            log.info("%s is waited for, and neither alive nor over", job_id)
        else:
            end = read_one(item, EndRecord)
        await self._tell(JobEndLoaded(job_id, end))
