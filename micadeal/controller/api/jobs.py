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
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple, TypeVar

import curio

from micadeal.clock import DRIFT, monotonic, seconds, utc_now
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.http.message import Answer, answer, error
from micadeal.jobs.validate import (
    JOB_ID,
    MalformedJobError,
    UnschedulableJobError,
    check_possible,
    job_id_of,
    parse,
)
from micadeal.operator.platform import Team
from micadeal.schema.job_records import has_dependencies, read_job_record, split
from micadeal.schema.keys import ENDS, JOBS
from micadeal.state.read_coalescing import VersionCheckCoalescer
from micadeal.state.service import (
    ConflictError,
    RequestRejectedError,
    StateService,
    StateServiceError,
    UnavailableError,
    Urgency,
)
from micadeal.timeouts import with_timeout
from micadeal.wire.cloud import MachineType
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.peers import Counts
from micadeal.wire.state import Condition, Drop, EndRecord, EndStatus, Item, JobRecord, Put
from micadeal.wire.users import JobAnswer, Shape, Status, Submission

log = logging.getLogger(__name__)

T = TypeVar("T")

#: Final answers remembered; older ones are read again.
REMEMBERED = 20_000
RETRY = timedelta(seconds=1)
SUBMIT_TIME = seconds(2)
#: Reads for one question under way at once.
READS_AT_ONCE = 6
FINAL = (Status.DONE, Status.CANCELLED)
#: For so long a leader's word on what runs tells what may start, where no leader can be asked:
#: until the next one has read its records, ordinarily.
COUNTS_TIME = seconds(10)
#: Of longer lists of jobs to wait for, those found once are not looked up again: a repetition after
#: a 503 then comes further.
FEW_NAMES = 16
#: Jobs further up that are read for one answer at most.
MOST_FOUND = 400


@dataclass(frozen=True, slots=True)
class _Found:
    """What is recorded of an accepted job."""

    #: Its final state; None: it is neither done nor cancelled.
    end: Status | None
    service: bool = False
    needs: tuple[str, ...] = ()


class CancellationSpread(NamedTuple):
    """How far a cancellation has got."""

    #: So many controllers know of it that a user may be told, as far as that goes.
    enough: bool
    #: A leader says that no task of the job can start any more.
    settled: bool


class UnreadableRecordError(StateServiceError):
    """A record that can't be read, now or later."""


def _end(item: Item) -> EndRecord:
    """Guards ``forgotten``: as long as it says how the job ended, that is told."""
    try:
        return convert(EndRecord, item.value)
    except MessageFormatError as problem:
        log.error("unreadable record %s: %s", item.key, problem)
    try:
        return EndRecord(convert(EndStatus, item.value).status)
    except MessageFormatError as problem:
        raise UnreadableRecordError(f"unreadable record {item.key}: {problem}") from None


class JobApi:
    """Owns the catalog as users see it, the final answers and the counts for display."""

    def __init__(
        self,
        state: StateService,
        teams: dict[str, Team],
        spread: Callable[[str], Awaitable[CancellationSpread]],
        cancel_time: timedelta,
    ) -> None:
        """``spread`` makes a cancellation known to the other controllers."""
        self._state = state
        self._teams = teams
        self._instance_offers = InstanceOffers()
        self._spread_cancellation = spread
        self._cancel_time = cancel_time
        self._final: OrderedDict[str, JobAnswer] = OrderedDict()
        #: Jobs that we accepted, or found accepted when a long list named them.
        self._accepted: OrderedDict[str, None] = OrderedDict()
        #: Jobs that are recorded done or cancelled, by the word of others, and not read here yet.
        self._over: OrderedDict[str, None] = OrderedDict()
        #: Cancelled jobs of which a task may still start, and since when enough know of them.
        self._unsettled: OrderedDict[str, timedelta] = OrderedDict()
        #: Jobs that wait for no others, and the version of their records: as long as that holds
        #: they are neither done nor cancelled.
        self._alone: OrderedDict[str, int] = OrderedDict()
        self._version_checks = VersionCheckCoalescer(state)
        #: All jobs that need one that was cancelled before this instant are recorded cancelled.
        self._cascaded: timedelta | None = None
        self._counts: dict[str, Counts] = {}
        #: Jobs of which all tasks run, and when a leader said so.
        self._all_started: frozenset[str] = frozenset()
        self._counted: timedelta | None = None
        #: When a user was last told "cancelled" here; what an earlier process told is not known.
        self.last_cancel = monotonic()

    @property
    def types(self) -> list[MachineType]:
        return list(self._instance_offers.types.values())

    def set_catalog(self, types: list[MachineType]) -> None:
        self._instance_offers.types = {kind.name: kind for kind in types}

    def set_counts(self, counts: list[Counts], all_started: list[str]) -> None:
        self._counts = {entry.job_id: entry for entry in counts}
        self._all_started, self._counted = frozenset(all_started), monotonic()

    @property
    def counts(self) -> list[Counts]:
        """As a leader told them last."""
        return list(self._counts.values())

    def all_started(self) -> frozenset[str]:
        """Jobs of which each task that is not done runs, by a leader's last word if that is not
        old: nothing of them can start, unless it was lost since."""
        if self._counted is None or monotonic() - self._counted > COUNTS_TIME:
            return frozenset()
        return self._all_started

    def set_cascaded(self, until: timedelta | None) -> None:
        """The leader's word on which cancellations have reached all jobs after them."""
        self._cascaded = until

    def over(self, job_id: str) -> None:
        """Another controller, or our own leader's actor, knows that a job's end is recorded."""
        if job_id not in self._final and JOB_ID.match(job_id):
            _keep(self._over, job_id, None)

    # -- requests --------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Answer:
        try:
            spec = parse(body)
        except MalformedJobError as problem:
            return await self._unless_known(job_id_of(body), error(400, str(problem)))
        if not self._instance_offers.types:
            return await self._unless_known(
                spec.job_id, error(503, "the machine types are not known yet", RETRY)
            )
        try:
            check_possible(spec, self._teams, self._instance_offers)
        except UnschedulableJobError as problem:
            return await self._unless_known(spec.job_id, error(422, str(problem)))
        cancelled = False
        if spec.prerequisites:
            try:
                cancelled = await with_timeout(SUBMIT_TIME, self._check_named(spec))
            except UnschedulableJobError as problem:
                return await self._unless_known(spec.job_id, error(422, str(problem)))
            except (StateServiceError, TimeoutError) as problem:
                log.debug("what %s waits for: %s", spec.job_id, problem)
                return await self._unless_known(
                    spec.job_id, error(503, "the jobs named can't be looked up now", RETRY)
                )
        return await self._accept(spec, cancelled)

    async def status(self, job_id: str) -> Answer:
        if not JOB_ID.match(job_id):
            return error(404, "no such job")
        try:
            found = await self._look_up(job_id)
        except StateServiceError:
            return error(503, "the state service does not answer", RETRY)
        return error(404, "no such job") if found is None else answer(200, found)

    async def cancel(self, job_id: str) -> Answer:
        if not JOB_ID.match(job_id):
            return error(404, "no such job")
        try:
            for _ in range(3):
                if (known := self._final.get(job_id)) is not None:
                    return answer(200, known)
                item = await self._state.get(JOBS + job_id)
                if item is None:
                    found = await self._look_up(job_id)
                    if found is None:
                        return error(404, "no such job")
                    if found.status in FINAL:
                        return answer(200, found)
                    continue
                try:
                    await self._write_cancel(job_id, item)
                except ConflictError:
                    continue
                return answer(200, await self._tell_cancelled(JobAnswer(job_id, Status.CANCELLED)))
        except StateServiceError as problem:
            log.debug("cancelling %s: %s", job_id, problem)
        return error(503, "not recorded yet, ask again", RETRY)

    # -- parts -----------------------------------------------------------------------------

    async def _unless_known(self, job_id: str | None, otherwise: Answer) -> Answer:
        """A repeat of a known job is answered with its state, whatever else it holds."""
        if job_id is None:
            return otherwise
        try:
            found = await self._look_up(job_id)
        except StateServiceError:
            return error(503, "the state service does not answer", RETRY)
        return otherwise if found is None else answer(200, found)

    async def _accept(self, spec: Submission, cancelled: bool) -> Answer:
        """Write the job down; as cancelled if it needs a job that is."""
        job_id = spec.job_id
        if (known := self._final.get(job_id)) is not None:
            return answer(200, known)
        now = utc_now().timestamp()
        record = JobRecord(spec, now)
        if not self._state.present.fits(record):
            return await self._too_large(job_id)
        accepted = JobAnswer(job_id, Status.CANCELLED if cancelled else Status.PENDING)
        changes = [Put(JOBS + job_id, record)]
        if cancelled:
            changes = [Put(ENDS + job_id, EndRecord.of(Status.CANCELLED, spec, now))]
        try:
            try:
                await self._put_new(job_id, changes)
            except RequestRejectedError:
                # The service's limits are lower by now than when this controller was started.
                parts = split(record, self._state.limits)
                if parts is None:
                    return await self._too_large(job_id)
                await self._put_new(job_id, parts)
            _keep(self._accepted, job_id, None)
            if cancelled:
                return answer(201, self._remember(accepted))
            if not self._outdated(job_id, accepted):
                return answer(201, accepted)
        except UnavailableError:
            return error(503, "the state service does not answer", RETRY)
        except (ConflictError, StateServiceError) as problem:
            # Known already, or perhaps just accepted by a transaction whose answer was lost.
            log.debug("accepting %s: %s", job_id, problem)
        try:
            found = await self._look_up(job_id)
        except StateServiceError:
            found = None
        if found is None:
            return error(503, "not recorded yet, ask again", RETRY)
        return answer(200, found)

    async def _too_large(self, job_id: str) -> Answer:
        return await self._unless_known(
            job_id, error(400, "the job's description is too large for the state service")
        )

    async def _put_new(self, job_id: str, changes: list[Put]) -> None:
        await self._state.commit(
            [Condition(JOBS + job_id, 0), Condition(ENDS + job_id, 0)],
            changes,
            Urgency.USER,
            timeout=SUBMIT_TIME,
        )

    # -- jobs that wait for others ---------------------------------------------------------

    async def _check_named(self, spec: Submission) -> bool:
        """Whether one of the jobs that a new one names is cancelled.

        Raises ``UnschedulableJobError`` if one was never accepted, by reads that begin now, or
        never ends by itself.

        A cancellation that crosses with the submission is found by the leader from the records.
        """
        names = list(dict.fromkeys(spec.prerequisites or ()))
        if len(names) > FEW_NAMES:
            names = [name for name in names if name not in self._accepted]
        found = await self._find_all(names)
        for name in names:
            job = found[name]
            if job is None:
                raise UnschedulableJobError(f"{name}, which it waits for, was never accepted")
            if job.service:
                raise UnschedulableJobError(
                    f"{name}, which it waits for, is a service and never done"
                )
            _keep(self._accepted, name, None)
        if any(job is not None and job.end is Status.CANCELLED for job in found.values()):
            return True
        return await self._needs_cancelled(found, monotonic())

    async def _needs_cancelled(self, found: dict[str, _Found | None], asked: timedelta) -> bool:
        """Whether a job further up is cancelled.

        As long as the leader's word is fresh, whatever was cancelled longer ago than that has been
        recorded for all jobs after it.  Else (no leader for long, an outage) the records of all
        jobs further up are read: guards ``orphaned``.
        """
        if self._cascaded is not None and asked - self._cascaded < self._cancel_time / 2:
            return False
        seen = dict(found)
        front = found
        while front:
            if any(job is not None and job.end is Status.CANCELLED for job in front.values()):
                return True
            above = {name for job in front.values() if job is not None for name in job.needs}
            names = sorted(above - seen.keys())
            if len(seen) + len(names) > MOST_FOUND:
                raise StateServiceError("too many jobs further up")
            front = await self._find_all(names, damaged=True)
            seen |= front
        return False

    async def _find_all(self, names: list[str], damaged: bool = False) -> dict[str, _Found | None]:
        """Jobs by reads that begin now, several at once.  ``damaged``: those that can't be read
        count as unknown.  Else no question about a job after them would ever be answered."""
        found: dict[str, _Found | None] = {}
        problems: list[StateServiceError] = []
        waiting = list(names)

        async def look() -> None:
            while waiting and not problems:
                name = waiting.pop()
                try:
                    found[name] = await self._find(name)
                except UnreadableRecordError as problem:
                    found[name] = None
                    if not damaged:
                        problems.append(problem)
                except StateServiceError as problem:
                    problems.append(problem)

        async with curio.TaskGroup() as group:
            for _ in range(min(len(names), READS_AT_ONCE)):
                await group.spawn(look)
        if problems:
            raise problems[0]
        return found

    async def _find(self, job_id: str) -> _Found | None:
        """Raises ``StateServiceError``; ``UnreadableRecordError`` where that will not change."""
        if (known := self._final.get(job_id)) is None:
            item = await self._state.get(JOBS + job_id)
            if item is not None:
                return await self._alive(item)
            known = await self._ended(job_id)
        return None if known is None else _Found(known.status)

    async def _alive(self, item: Item) -> _Found:
        try:
            spec = (await read_job_record(self._state, item, Urgency.USER)).submission
        except MessageFormatError as problem:
            raise UnreadableRecordError(f"unreadable record {item.key}: {problem}") from None
        return _Found(None, spec.shape is Shape.SERVICE, tuple(spec.prerequisites or ()))

    async def _write_cancel(self, job_id: str, item: Item) -> None:
        try:
            spec = (await read_job_record(self._state, item, Urgency.USER)).submission
            end = EndRecord.of(Status.CANCELLED, spec, utc_now().timestamp())
        except MessageFormatError:
            end = EndRecord(Status.CANCELLED, 0, utc_now().timestamp())
        await self._state.commit(
            [Condition(item.key, item.version), Condition(ENDS + job_id, 0)],
            [Put(ENDS + job_id, end), Drop(item.key)],
            Urgency.USER,
            timeout=SUBMIT_TIME,
        )

    async def _look_up(self, job_id: str) -> JobAnswer | None:
        """The state of a job by reads that begin now; None: never accepted.

        Guards ``went_back``: where something newer became known here while the reads were under
        way, a user may have been told that by now, and they are made once more.
        """
        found = await self._read(job_id)
        return await self._read(job_id) if self._outdated(job_id, found) else found

    def _outdated(self, job_id: str, found: JobAnswer | None) -> bool:
        if found is None:
            return job_id in self._accepted
        if found.status in FINAL:
            return False
        return job_id in self._final or job_id in self._over

    async def _read(self, job_id: str) -> JobAnswer | None:
        """The job's record is read before its end: it only ever turns from the one into the
        other."""
        if (known := self._final.get(job_id)) is not None:
            return known
        asked = monotonic()
        if (version := self._alone.get(job_id)) is not None:
            if await self._version_checks.holds(JOBS + job_id, version):
                return self._going_on(job_id)
            self._alone.pop(job_id, None)
        item = await self._state.get(JOBS + job_id)
        if item is None:
            return await self._ended(job_id)
        if has_dependencies(item.value):
            if await self._orphan(job_id, item, asked):
                # As long as it waited nothing of it could start.
                return await self._ended(job_id, settled=True)
        else:
            _keep(self._alone, job_id, item.version)
        return self._going_on(job_id)

    def _going_on(self, job_id: str) -> JobAnswer:
        counts = self._counts.get(job_id)
        if counts is None:
            return JobAnswer(job_id, Status.PENDING, 0, 0)
        status = Status.RUNNING if counts.running else Status.PENDING
        return JobAnswer(job_id, status, counts.done, counts.running)

    async def _orphan(self, job_id: str, item: Item, asked: timedelta) -> bool:
        """Whether the job turns out to be over, since a job further up is cancelled: then that is
        recorded here, in the place of a leader that has not come to it."""
        if self._cascaded is not None and asked - self._cascaded < self._cancel_time / 2:
            return False
        try:
            job = await self._alive(item)
        except UnreadableRecordError as problem:
            # Guards ``forgotten``: it is known, and whoever leads can't run it either.  With an
            # error here no question about it would ever be answered.
            log.error("%s", problem)
            return False
        if not await self._needs_cancelled({job_id: job}, asked):
            return False
        try:
            await self._write_cancel(job_id, item)
        except ConflictError:
            log.debug("%s has ended meanwhile", job_id)
        return True

    async def _ended(self, job_id: str, settled: bool = False) -> JobAnswer | None:
        item = await self._state.get(ENDS + job_id)
        if item is None:
            return None
        end = _end(item)
        done = end.tasks if end.status is Status.DONE else None
        found = JobAnswer(job_id, end.status, done, 0 if done else None)
        if end.status is Status.CANCELLED:
            return await self._tell_cancelled(found, settled)
        return self._remember(found)

    async def _tell_cancelled(self, found: JobAnswer, settled: bool = False) -> JobAnswer:
        """Guards ``ran_cancelled``: before a user is told, so many controllers know of it that any
        which stands in for the leader will hear of it, whoever crashes meanwhile.  And no task of
        the job starts after that: a leader has seen that none can any more, or every task has been
        gone for certain, as if the user had been told when enough had heard of it."""
        job_id = found.job_id
        spread = await self._spread_cancellation(job_id)
        if not spread.enough:
            log.info("%s is cancelled, not confirmed: too few controllers know", job_id)
            raise StateServiceError("recorded, but too few controllers know of it")
        now = monotonic()
        if not (settled or spread.settled):
            if job_id not in self._unsettled:
                self.last_cancel = now
                _keep(self._unsettled, job_id, now)
            if now - self._unsettled[job_id] <= self._cancel_time * (1 + 2 * DRIFT):
                log.info("%s is cancelled, not confirmed: a task may still start", job_id)
                raise StateServiceError("recorded, but a task of it may still start")
        self._unsettled.pop(job_id, None)
        log.debug("%s is told to be cancelled", found.job_id)
        return self._remember(found)

    def _remember(self, final: JobAnswer) -> JobAnswer:
        if final.status is Status.CANCELLED:
            self.last_cancel = monotonic()
        _keep(self._final, final.job_id, final)
        self._over.pop(final.job_id, None)
        return final


def _keep(known: OrderedDict[str, T], job_id: str, what: T) -> None:
    """Remember one more job, and forget the one that has been known for longest."""
    known[job_id] = what
    if len(known) > REMEMBERED:
        known.popitem(last=False)
