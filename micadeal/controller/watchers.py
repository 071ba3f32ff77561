"""Continuously reads records from the state service and lists from the cloud for the leader.

Each public coroutine of ``Watchers`` runs as a separate task and sends what it reads to the
leader's actor.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from micadeal.actor import MailboxFullError
from micadeal.clock import monotonic, seconds
from micadeal.controller.background_tasks import BackgroundTasks, poll_forever
from micadeal.controller.initial_records import read_initial_records
from micadeal.controller.messages import (
    CatalogLoaded,
    GetJobsToReread,
    JobEndLoaded,
    JobsChanged,
    JobsReloaded,
    MachineListLoaded,
    SettingsChanged,
)
from micadeal.fleet.cloud import LIST_INTERVAL, Cloud
from micadeal.schema.decoding import decode_item
from micadeal.schema.job_records import part_keys
from micadeal.schema.keys import ENDS, JOBS, PARTS, SETTINGS
from micadeal.state.service import RevisionCompactedError, StateService, StateServiceError, Urgency
from micadeal.timeouts import sleep, with_timeout
from micadeal.wire.cloud import ListedMachine, MachineType
from micadeal.wire.codec import MessageFormatError
from micadeal.wire.state import EndRecord, Event, Item

log = logging.getLogger(__name__)

#: How long the state service holds a watch open if there are no changes.
JOBS_WATCH_TIMEOUT = seconds(2)
SETTINGS_WATCH_TIMEOUT = seconds(50)
CATALOG_INTERVAL = seconds(60)
#: How often unreadable live jobs are read again.
REREAD_INTERVAL = seconds(10)
#: Rereads suspend the watch; a longer suspension would cost the leader its authority.
REREAD_TIMEOUT = seconds(1)
#: Delay before a failed read is retried.
RETRY_INTERVAL = seconds(0.3)
SETTINGS_RETRY_INTERVAL = seconds(2)


class Watchers:
    """Reads records and the cloud's lists for one term."""

    def __init__(
        self,
        state: StateService,
        cloud: Cloud,
        tell: Callable[[Any], Awaitable[None]],
        ask: Callable[[Any, timedelta], Awaitable[Any]],
        background_tasks: BackgroundTasks,
        oldest_level: int,
    ) -> None:
        """Create the watchers without starting them.

        Records of feature levels below ``oldest_level`` are no longer stored.
        """
        self._oldest_level = oldest_level
        self._state = state
        self._cloud = cloud
        self._tell = tell
        self._ask = ask
        self._next_reread = monotonic()
        self._background_tasks = background_tasks

    # -- the cloud -------------------------------------------------------------------------

    async def poll_machines(self) -> None:
        """Poll the machines that the cloud lists as rented."""

        async def publish(machines: list[ListedMachine]) -> None:
            await self._tell(MachineListLoaded(machines))

        await poll_forever("machines", self._cloud.machines, publish, LIST_INTERVAL)

    async def poll_catalog(self) -> None:
        """Poll the machine types that the cloud offers."""

        async def publish(machine_types: list[MachineType]) -> None:
            await self._tell(CatalogLoaded(machine_types))

        await poll_forever("catalog", self._cloud.catalog, publish, CATALOG_INTERVAL)

    # -- all records, as the term begins ---------------------------------------------------

    async def load_and_watch(self) -> None:
        """Read all records, then watch jobs and settings for changes."""
        while True:
            try:
                loaded = await read_initial_records(self._state, self._oldest_level)
                break
            except StateServiceError as problem:
                log.info("records not loaded yet: reason=%s", problem)
                await sleep(RETRY_INTERVAL)
        await self._tell(loaded)
        revision = loaded.jobs.revision
        await self._background_tasks.spawn(self._watch_settings, revision)
        await self._watch_jobs(revision)

    # -- changes ---------------------------------------------------------------------------

    async def _watch_jobs(self, revision: int) -> None:
        client = self._state.watch_client()
        while True:
            requested_at = monotonic()
            try:
                response = await self._state.wait_for_changes(
                    JOBS, revision, JOBS_WATCH_TIMEOUT, client
                )
                parts = await self._read_parts(response.events)
                revision = max(revision, response.revision)
                await self._tell(JobsChanged(response.events, requested_at, parts))
                await self._reread_jobs(requested_at)
            except RevisionCompactedError:
                try:
                    items, revision = await self._state.range(JOBS, Urgency.PLACEMENT)
                    part_items, _ = await self._state.range(PARTS, Urgency.PLACEMENT)
                    parts = {item.key: item for item in part_items}
                    await self._tell(JobsReloaded(items, requested_at, parts))
                except StateServiceError:
                    await sleep(RETRY_INTERVAL)
            except StateServiceError as problem:
                log.debug("watch of jobs failed: reason=%s", problem)
                await sleep(RETRY_INTERVAL)

    async def _reread_jobs(self, requested_at: timedelta) -> None:
        """Read unreadable live jobs again, and send their current records to the actor.

        Guards ``ran_cancelled``: this runs only between two watch responses.  The records are no
        older than the previous response, so a job that ends later is in the next response.
        """
        if monotonic() < self._next_reread:
            return
        self._next_reread = monotonic() + REREAD_INTERVAL
        try:
            job_ids: list[str] = await self._ask(GetJobsToReread(), REREAD_TIMEOUT)
            if job_ids:
                reread = await with_timeout(REREAD_TIMEOUT, self._read_jobs(job_ids, requested_at))
                await self._tell(reread)
        except (MailboxFullError, TimeoutError):
            log.debug("unreadable jobs not read again: reason=timeout or full mailbox")

    async def _read_jobs(self, job_ids: list[str], requested_at: timedelta) -> JobsChanged:
        """Read the records of jobs, and return them as changes."""
        events: list[Event] = []
        for job_id in job_ids:
            key = JOBS + job_id
            item = await self._state.get(key, Urgency.PLACEMENT)
            if item is None:
                events.append(Event(0, drop=key))
            else:
                events.append(Event(item.version, put=key, value=item.value))
        return JobsChanged(events, requested_at, await self._read_parts(events))

    async def _read_parts(self, events: list[Event]) -> dict[str, Item]:
        """Read the parts of split job descriptions in ``events``; return them by key."""
        parts: dict[str, Item] = {}
        for event in events:
            if event.put is None:
                continue
            try:
                keys = part_keys(event.value, event.put.removeprefix(JOBS))
            except MessageFormatError:
                # The record loader logs the unreadable record.
                continue
            for key in keys:
                item = await self._state.get(key, Urgency.PLACEMENT)
                if item is not None:
                    parts[key] = item
        return parts

    async def _watch_settings(self, revision: int) -> None:
        client = self._state.watch_client()
        while True:
            try:
                response = await self._state.wait_for_changes(
                    SETTINGS, revision, SETTINGS_WATCH_TIMEOUT, client
                )
                revision = max(revision, response.revision)
                if not response.events:
                    continue
            except RevisionCompactedError:
                revision = 0
            except StateServiceError:
                await sleep(SETTINGS_RETRY_INTERVAL)
                continue
            try:
                item = await self._state.get(SETTINGS)
                if item is not None:
                    revision = max(revision, item.version)
                await self._tell(SettingsChanged(item))
            except StateServiceError:
                await sleep(SETTINGS_RETRY_INTERVAL)

    # -- ends of prerequisite jobs ---------------------------------------------------------

    async def read_end(self, job_id: str) -> None:
        """Read a job's end, retrying until that succeeds, and send it to the actor."""
        while True:
            try:
                item = await self._state.get(ENDS + job_id, Urgency.END)
                break
            except StateServiceError as problem:
                log.debug("read of a job's end failed: job=%s reason=%s", job_id, problem)
                await sleep(RETRY_INTERVAL)
        end: EndRecord | None = None
        if item is None:
            log.info("dependency is neither alive nor ended: job=%s", job_id)
        else:
            end = decode_item(item, EndRecord)
        await self._tell(JobEndLoaded(job_id, end))
