"""Controllers confirm cancellations for each other through the state service.

A controller that too few others answer can't confirm a cancellation: no majority is told of it.
It names the job under ``seat/unconfirmed/<controller>``, which all followers read as they watch for
the next leader.  Whoever would be allowed to confirm the cancellation to a user of its own says so
in the job's end, ``EndRecord.confirmed``, where the other one finds it.  A day on which every
controller reaches a majority costs no request.

Guards ``ran_cancelled``: time alone proves nothing, and neither does the end itself, which a leader
that the state service refuses does not see.  The only proof is that a controller was entitled to
tell a user.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

import curio
import msgspec

from micadeal.clock import monotonic, seconds
from micadeal.controller.api.job_reader import NeverAccepted
from micadeal.controller.api.known_answers import RecentJobs
from micadeal.jobs.validate import JOB_ID
from micadeal.leadership.election import read_leader_lock
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.schema.decoding import decode_item
from micadeal.schema.keys import ENDS, UNCONFIRMED
from micadeal.state.service import ConflictError, StateService, StateServiceError, Urgency
from micadeal.timeouts import sleep
from micadeal.wire.state import Condition, Delete, EndRecord, Put, UnconfirmedRecord
from micadeal.wire.users import JobAnswer, Status

log = logging.getLogger(__name__)

#: Jobs that one controller names: those that were asked about last.
MAX_REQUESTS = 100
#: A job that nobody has asked about for so long is no longer named.
REQUEST_TIMEOUT = seconds(60)
#: A job is named if users ask about it for longer than this: peers that restart are back by then.
MIN_WAIT = seconds(2)
WRITE_INTERVAL = seconds(0.5)
#: Followers read requests at least every two seconds; older ones may have been withdrawn.
MAX_REQUESTS_AGE = seconds(5)
#: How often a cancellation that can't be confirmed yet is tried again.
CONFIRM_INTERVAL = seconds(1)
#: Cancellations tried at once: each notifies all controllers.
MAX_CONCURRENT = 6


class _Questions(NamedTuple):
    """When users first and last asked about a cancellation."""

    first: timedelta
    last: timedelta


class ConfirmationRequests:
    """Names the cancellations that this controller can't confirm alone."""

    def __init__(self, name: str, state: StateService) -> None:
        self._key = UNCONFIRMED + name
        self._state = state
        self._questions: RecentJobs[_Questions] = RecentJobs(MAX_REQUESTS)
        #: What the key holds, as far as we know; empty: it does not exist.
        self._recorded: list[str] = []

    def add(self, job_id: str) -> None:
        """Note that a user has asked about a cancellation that can't be confirmed here."""
        now = monotonic()
        earlier = self._questions.get(job_id)
        self._questions.discard(job_id)
        self._questions.add(job_id, _Questions(now if earlier is None else earlier.first, now))

    def on_recorded(self, job_ids: list[str]) -> None:
        """Take over what is recorded: an earlier process, or a late write, may have left it."""
        self._recorded = job_ids

    async def run(self) -> None:
        """Keep the record as it should be, until cancelled."""
        while True:
            await sleep(WRITE_INTERVAL)
            try:
                await self._record(self._wanted(monotonic()))
            except StateServiceError as problem:
                log.debug("requests for confirmation not recorded: reason=%s", problem)

    def _wanted(self, now: timedelta) -> list[str]:
        for job_id, asked in self._questions.items():
            if now - asked.last > REQUEST_TIMEOUT:
                self._questions.discard(job_id)
        return sorted(
            job_id
            for job_id, asked in self._questions.items()
            if asked.last - asked.first >= MIN_WAIT
        )

    async def _record(self, job_ids: list[str]) -> None:
        if job_ids == self._recorded:
            return
        change = Put(self._key, UnconfirmedRecord(job_ids)) if job_ids else Delete(self._key)
        await self._state.commit([], [change], Urgency.USER)
        log.info("requests for confirmation recorded: count=%d", len(job_ids))
        self._recorded = job_ids


class ConfirmationPublisher:
    """Confirms cancellations that other controllers can't confirm, by their records."""

    def __init__(
        self,
        state: StateService,
        look_up: Callable[[str], Awaitable[JobAnswer | NeverAccepted]],
        leads_apart: Callable[[], bool],
    ) -> None:
        """``look_up`` returns what a user may be told of a job now, and raises if that is nothing.

        ``leads_apart``: whether this controller leads, so that it does not watch for a leader, and
        does not reach all others.
        """
        self._state = state
        self._look_up = look_up
        self._leads_apart = leads_apart
        self._requested: list[str] = []
        self._requested_at = monotonic()
        #: Jobs whose cancellation is confirmed in the record of their end, or that are not
        #: cancelled.
        self._settled: RecentJobs[None] = RecentJobs()

    def on_requests_read(self, job_ids: list[str]) -> None:
        """Take over which jobs the other controllers name."""
        self._requested = [job_id for job_id in job_ids if JOB_ID.match(job_id)]
        self._requested_at = monotonic()

    async def run(self, own_name: str) -> None:
        """Confirm what is requested until cancelled."""
        while True:
            await sleep(CONFIRM_INTERVAL)
            if self._leads_apart():
                await self._read_requests(own_name)
            waiting = self._waiting()
            while waiting:
                batch, waiting = waiting[:MAX_CONCURRENT], waiting[MAX_CONCURRENT:]
                async with curio.TaskGroup() as group:
                    for job_id in batch:
                        await group.spawn(self._settle, job_id)

    def _waiting(self) -> list[str]:
        if monotonic() - self._requested_at > MAX_REQUESTS_AGE:
            return []
        return [job_id for job_id in self._requested if job_id not in self._settled]

    async def _read_requests(self, own_name: str) -> None:
        try:
            leader_lock = await read_leader_lock(self._state)
        except StateServiceError as problem:
            log.debug("requests for confirmation not read: reason=%s", problem)
            return
        self.on_requests_read(requests_of_others(leader_lock, own_name))

    async def _settle(self, job_id: str) -> None:
        try:
            await self._publish(job_id)
        except (StateServiceError, ConflictError) as problem:
            # To be tried again; after a conflict the end is read anew.
            log.debug("cancellation not confirmed for a peer: job=%s reason=%s", job_id, problem)
            return
        self._settled.add(job_id, None)

    async def _publish(self, job_id: str) -> None:
        """Record that a cancellation is confirmed, once a user of ours may be told it."""
        found = await self._look_up(job_id)
        if isinstance(found, NeverAccepted) or found.status is not Status.CANCELLED:
            return
        item = await self._state.get(ENDS + job_id, Urgency.END)
        end = None if item is None else decode_item(item, EndRecord)
        if item is None or end is None or end.confirmed:
            return
        confirmed = msgspec.structs.replace(end, confirmed=True)
        await self._state.commit(
            [Condition(item.key, item.version)], [Put(item.key, confirmed)], Urgency.END
        )
        log.info("cancellation confirmed for a peer: job=%s", job_id)


class ConfirmationExchange:
    """Both sides of one controller."""

    def __init__(
        self, name: str, requests: ConfirmationRequests, publisher: ConfirmationPublisher
    ) -> None:
        self._name = name
        self._requests = requests
        self._publisher = publisher

    def on_leader_lock_read(self, leader_lock: LeaderLock) -> None:
        """Take over what all controllers request, ours as it is recorded."""
        self._requests.on_recorded(sorted(leader_lock.unconfirmed.get(self._name, ())))
        self._publisher.on_requests_read(requests_of_others(leader_lock, self._name))

    async def run(self) -> None:
        """Serve both sides until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._requests.run)
            await group.spawn(self._publisher.run, self._name)


def requests_of_others(leader_lock: LeaderLock, own_name: str) -> list[str]:
    """Return the jobs that other controllers name, each once."""
    named = {
        job_id
        for name, job_ids in leader_lock.unconfirmed.items()
        if name != own_name
        for job_id in job_ids
    }
    return sorted(named)
