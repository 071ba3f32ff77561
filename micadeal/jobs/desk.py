"""Answers users on any controller, from the state service alone.

What has been told must never be taken back by another controller.  So a job is called accepted,
cancelled or done only once the state service holds that; and "pending", "running" or "unknown"
rest on a read that began after the question came, since another controller may have told
something newer a moment ago.  Final answers never change and are remembered.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta

from micadeal.clock import seconds, steady, wall
from micadeal.fleet.offers import Market
from micadeal.http.message import Answer, answer, error
from micadeal.jobs.validate import (
    JOB_ID,
    Impossible,
    Malformed,
    check_possible,
    job_id_of,
    parse,
)
from micadeal.operator.platform import Team
from micadeal.state.service import Conflict, StateError, StateService, Unavailable, Urgency
from micadeal.wire.cloud import MachineType
from micadeal.wire.codec import BadMessage, convert, encode
from micadeal.wire.mesh import Counts
from micadeal.wire.state import Condition, Drop, EndRecord, Item, JobRecord, Put
from micadeal.wire.users import JobAnswer, Status, Submission

log = logging.getLogger(__name__)

#: Final answers remembered; older ones are read again.
REMEMBERED = 20_000
RETRY = timedelta(seconds=1)
SUBMIT_TIME = seconds(2)


class Desk:
    """Owns the catalog as users see it, the final answers and the counts for display."""

    def __init__(
        self,
        state: StateService,
        teams: dict[str, Team],
        cancelled: Callable[[str], Awaitable[None]],
    ) -> None:
        self._state = state
        self._teams = teams
        self._market = Market()
        self._cancelled = cancelled
        self._final: OrderedDict[str, JobAnswer] = OrderedDict()
        self._counts: dict[str, Counts] = {}
        #: When a user was last told "cancelled" here; what an earlier process told is not known.
        self.last_cancel = steady()

    @property
    def types(self) -> list[MachineType]:
        return list(self._market.types.values())

    def set_catalog(self, types: list[MachineType]) -> None:
        self._market.types = {kind.name: kind for kind in types}

    def set_counts(self, counts: list[Counts]) -> None:
        self._counts = {entry.job_id: entry for entry in counts}

    # -- requests --------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Answer:
        try:
            spec = parse(body)
        except Malformed as problem:
            return await self._unless_known(job_id_of(body), error(400, str(problem)))
        if not self._market.types:
            return await self._unless_known(
                spec.job_id, error(503, "the machine types are not known yet", RETRY)
            )
        try:
            check_possible(spec, self._teams, self._market)
        except Impossible as problem:
            return await self._unless_known(spec.job_id, error(422, str(problem)))
        return await self._accept(spec)

    async def status(self, job_id: str) -> Answer:
        if not JOB_ID.match(job_id):
            return error(404, "no such job")
        try:
            found = await self._look_up(job_id)
        except StateError:
            return error(503, "the state service does not answer", RETRY)
        return error(404, "no such job") if found is None else answer(200, found)

    async def cancel(self, job_id: str) -> Answer:
        if not JOB_ID.match(job_id):
            return error(404, "no such job")
        try:
            for _ in range(3):
                if (known := self._final.get(job_id)) is not None:
                    return answer(200, known)
                item = await self._state.get(f"job/{job_id}")
                if item is None:
                    found = await self._ended(job_id)
                    return error(404, "no such job") if found is None else answer(200, found)
                try:
                    await self._write_cancel(job_id, item)
                except Conflict:
                    continue
                result = self._remember(JobAnswer(job_id, Status.CANCELLED))
                await self._cancelled(job_id)
                return answer(200, result)
        except StateError as problem:
            log.debug("cancelling %s: %s", job_id, problem)
        return error(503, "not recorded yet, ask again", RETRY)

    # -- parts -----------------------------------------------------------------------------

    async def _unless_known(self, job_id: str | None, otherwise: Answer) -> Answer:
        """A repeat of a known job is answered with its state, whatever else it holds."""
        if job_id is None:
            return otherwise
        try:
            found = await self._look_up(job_id)
        except StateError:
            return error(503, "the state service does not answer", RETRY)
        return otherwise if found is None else answer(200, found)

    async def _accept(self, spec: Submission) -> Answer:
        job_id = spec.job_id
        if (known := self._final.get(job_id)) is not None:
            return answer(200, known)
        record = JobRecord(spec, wall().timestamp())
        if len(encode(record)) > self._state.limits.value_bytes:
            return error(400, "the job's description is too large")
        try:
            await self._state.commit(
                [Condition(f"job/{job_id}", 0), Condition(f"end/{job_id}", 0)],
                [Put(f"job/{job_id}", record)],
                Urgency.USER,
                timeout=SUBMIT_TIME,
            )
            return answer(201, JobAnswer(job_id, Status.PENDING))
        except Unavailable:
            return error(503, "the state service does not answer", RETRY)
        except (Conflict, StateError) as problem:
            # Known already, or perhaps just accepted by a transaction whose answer was lost.
            log.debug("accepting %s: %s", job_id, problem)
        try:
            found = await self._look_up(job_id)
        except StateError:
            found = None
        if found is None:
            return error(503, "not recorded yet, ask again", RETRY)
        return answer(200, found)

    async def _write_cancel(self, job_id: str, item: Item) -> None:
        try:
            spec = convert(JobRecord, item.value).submission
            end = EndRecord.of(Status.CANCELLED, spec, wall().timestamp())
        except BadMessage:
            end = EndRecord(Status.CANCELLED, 0, wall().timestamp())
        await self._state.commit(
            [Condition(item.key, item.version), Condition(f"end/{job_id}", 0)],
            [Put(f"end/{job_id}", end), Drop(item.key)],
            Urgency.USER,
            timeout=SUBMIT_TIME,
        )

    async def _look_up(self, job_id: str) -> JobAnswer | None:
        """The state of a job by reads that begin now; None: never accepted.

        The job's record is read before its end: it only ever turns from the one into the other.
        """
        if (known := self._final.get(job_id)) is not None:
            return known
        if await self._state.get(f"job/{job_id}") is not None:
            counts = self._counts.get(job_id)
            if counts is None:
                return JobAnswer(job_id, Status.PENDING, 0, 0)
            status = Status.RUNNING if counts.running else Status.PENDING
            return JobAnswer(job_id, status, counts.done, counts.running)
        return await self._ended(job_id)

    async def _ended(self, job_id: str) -> JobAnswer | None:
        item = await self._state.get(f"end/{job_id}")
        if item is None:
            return None
        try:
            end = convert(EndRecord, item.value)
        except BadMessage as problem:
            raise StateError(str(problem)) from None
        done = end.tasks if end.status is Status.DONE else None
        return self._remember(JobAnswer(job_id, end.status, done, 0 if done else None))

    def _remember(self, final: JobAnswer) -> JobAnswer:
        if final.status is Status.CANCELLED:
            self.last_cancel = steady()
        self._final[final.job_id] = final
        while len(self._final) > REMEMBERED:
            self._final.popitem(last=False)
        return final
