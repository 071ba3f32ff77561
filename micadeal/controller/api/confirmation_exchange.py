"""Controllers confirm cancellations for each other through the state service.

A controller that reaches no majority of the controllers can't confirm a cancellation.  It writes
the job's id to ``seat/unconfirmed/<controller>``, which all followers read as they watch the leader
lock.  A controller that may confirm the cancellation to its own users sets ``EndRecord.confirmed``
in the record of the job's end, where the requesting controller reads it.  While every controller
reaches a majority, this causes no requests.

Guards ``ran_cancelled``: neither elapsed time nor the record of the end proves that the
cancellation has taken effect, since a leader that the state service refuses does not see that
record.  The only proof is that a controller was entitled to confirm the cancellation to a user.
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

#: Jobs for which one controller requests confirmation: those last asked about.
MAX_REQUESTS = 100
#: A request is withdrawn if no user has asked about the job for this long.
REQUEST_TIMEOUT = seconds(60)
#: Confirmation is requested once users have asked for this long: peers that restart are back by
#: then.
MIN_WAIT = seconds(2)
WRITE_INTERVAL = seconds(0.5)
#: Requests that were read longer ago than this are ignored, since they may have been withdrawn.
#: Followers read them at least every two seconds.
MAX_REQUESTS_AGE = seconds(5)
#: Interval between attempts to confirm a cancellation that can't be confirmed yet.
CONFIRM_INTERVAL = seconds(1)
#: Cancellations tried concurrently: each attempt notifies all controllers.
MAX_CONCURRENT = 6


class _UserRequests(NamedTuple):
    """When users first and last asked about a cancellation."""

    first_at: timedelta
    last_at: timedelta


class ConfirmationRequests:
    """Records requests for the cancellations that this controller can't confirm alone."""

    def __init__(self, name: str, state: StateService) -> None:
        self._key = UNCONFIRMED + name
        self._state = state
        self._user_requests: RecentJobs[_UserRequests] = RecentJobs(MAX_REQUESTS)
        #: Last known content of the key; empty if it does not exist.
        self._recorded: list[str] = []

    def add(self, job_id: str) -> None:
        """Note that a user has asked about a cancellation that can't be confirmed here."""
        now = monotonic()
        earlier = self._user_requests.get(job_id)
        self._user_requests.discard(job_id)
        self._user_requests.add(
            job_id, _UserRequests(now if earlier is None else earlier.first_at, now)
        )

    def on_recorded(self, job_ids: list[str]) -> None:
        """Adopt the recorded requests: an earlier process or a delayed write may have left them."""
        self._recorded = job_ids

    async def run(self) -> None:
        """Keep the record up to date until cancelled."""
        while True:
            await sleep(WRITE_INTERVAL)
            try:
                await self._record(self._jobs_to_request(monotonic()))
            except StateServiceError as problem:
                log.debug("requests for confirmation not recorded: reason=%s", problem)

    def _jobs_to_request(self, now: timedelta) -> list[str]:
        for job_id, requests in self._user_requests.items():
            if now - requests.last_at > REQUEST_TIMEOUT:
                self._user_requests.discard(job_id)
        return sorted(
            job_id
            for job_id, requests in self._user_requests.items()
            if requests.last_at - requests.first_at >= MIN_WAIT
        )

    async def _record(self, job_ids: list[str]) -> None:
        if job_ids == self._recorded:
            return
        change = Put(self._key, UnconfirmedRecord(job_ids)) if job_ids else Delete(self._key)
        await self._state.commit([], [change], Urgency.USER)
        log.info("requests for confirmation recorded: count=%d", len(job_ids))
        self._recorded = job_ids


class ConfirmationPublisher:
    """Confirms cancellations for which other controllers have recorded requests."""

    def __init__(
        self,
        state: StateService,
        look_up: Callable[[str], Awaitable[JobAnswer | NeverAccepted]],
        is_partitioned_leader: Callable[[], bool],
    ) -> None:
        """Create a publisher, which confirms cancellations in the records of the jobs' ends.

        ``look_up`` returns what a user may be answered about a job now, and raises if there is no
        such answer.  ``is_partitioned_leader`` returns whether this controller leads and does not
        reach all others: a leader does not watch the lock, so it has to read the requests itself.
        """
        self._state = state
        self._look_up = look_up
        self._is_partitioned_leader = is_partitioned_leader
        self._requested: list[str] = []
        self._requested_at = monotonic()
        #: Jobs that need no further attempt: the record of their end is confirmed, or they are not
        #: cancelled.
        self._settled: RecentJobs[None] = RecentJobs()

    def on_requests_read(self, job_ids: list[str]) -> None:
        """Store the jobs for which the other controllers request confirmation."""
        self._requested = [job_id for job_id in job_ids if JOB_ID.match(job_id)]
        self._requested_at = monotonic()

    async def run(self, own_name: str) -> None:
        """Confirm the requested cancellations until cancelled."""
        while True:
            await sleep(CONFIRM_INTERVAL)
            if self._is_partitioned_leader():
                await self._read_requests(own_name)
            unsettled = self._unsettled()
            while unsettled:
                batch, unsettled = unsettled[:MAX_CONCURRENT], unsettled[MAX_CONCURRENT:]
                async with curio.TaskGroup() as group:
                    for job_id in batch:
                        await group.spawn(self._settle, job_id)

    def _unsettled(self) -> list[str]:
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
            # Retried later; after a conflict the end is read again.
            log.debug("cancellation not confirmed for a peer: job=%s reason=%s", job_id, problem)
            return
        self._settled.add(job_id, None)

    async def _publish(self, job_id: str) -> None:
        """Record that a cancellation is confirmed, if this controller may confirm it to a user."""
        current = await self._look_up(job_id)
        if isinstance(current, NeverAccepted) or current.status is not Status.CANCELLED:
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
    """Requests confirmations from other controllers, and confirms what they request."""

    def __init__(
        self, name: str, requests: ConfirmationRequests, publisher: ConfirmationPublisher
    ) -> None:
        self._name = name
        self._requests = requests
        self._publisher = publisher

    def on_leader_lock_read(self, leader_lock: LeaderLock) -> None:
        """Take in the recorded requests of this controller and of all others."""
        self._requests.on_recorded(sorted(leader_lock.unconfirmed.get(self._name, ())))
        self._publisher.on_requests_read(requests_of_others(leader_lock, self._name))

    async def run(self) -> None:
        """Record requests and confirm cancellations until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._requests.run)
            await group.spawn(self._publisher.run, self._name)


def requests_of_others(leader_lock: LeaderLock, own_name: str) -> list[str]:
    """Return the jobs for which other controllers request confirmation, each once."""
    requested = {
        job_id
        for name, job_ids in leader_lock.unconfirmed.items()
        if name != own_name
        for job_id in job_ids
    }
    return sorted(requested)
