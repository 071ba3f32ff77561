"""The leader's actor: owns the scheduler for one term and carries out what it decides."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from typing import Any

import curio

from micadeal.actor import Actor, Overloaded
from micadeal.clock import ZERO, seconds, sleep, steady, steady_at
from micadeal.controller.cluster import Cluster, HigherToken
from micadeal.controller.effort import Effort
from micadeal.controller.messages import (
    CancelNotice,
    CatalogRead,
    DirectAnswer,
    EndRead,
    Extended,
    JobEvents,
    JobsRead,
    LeftWanted,
    ListRead,
    Loaded,
    NewSettings,
    OverviewWanted,
    PeerNews,
    Progress,
    ProgressWanted,
    ReleaseAnswer,
    RentalAnswer,
    Reply,
    ReportIn,
    Tick,
    WhyWanted,
    Written,
)
from micadeal.controller.records import (
    DONE,
    FINISHED,
    IMAGES,
    LEAVING,
    PLACED,
    Changes,
    Recorder,
)
from micadeal.controller.scheduler import Scheduler
from micadeal.fleet.cloud import LIST_EVERY, Cloud, CloudError, NoCapacity
from micadeal.fleet.offers import Market
from micadeal.http.message import HttpError
from micadeal.http.network import Network
from micadeal.jobs.model import CHUNK, SMALL_CHUNK, Job
from micadeal.jobs.stored import JOBS, PARTS, part_keys, whole
from micadeal.leadership.standin import Timing, View, may_count_lease_over
from micadeal.leadership.term import PeerContact, Power, Term
from micadeal.operator import answers
from micadeal.operator.platform import Platform
from micadeal.operator.policy import Policy
from micadeal.operator.script import policy_from_values
from micadeal.state.service import Conflict, Refused, StateError, StateService, TooOld, Urgency
from micadeal.wire.cloud import MachineType, RentalRequest
from micadeal.wire.codec import BadMessage, convert, decode, encode
from micadeal.wire.state import (
    Condition,
    EndRecord,
    Event,
    FinishedRecord,
    ImagesRecord,
    Item,
    MachineRecord,
    PlacedRecord,
    SettingsRecord,
)
from micadeal.wire.workers import DirectOrders, Orders, Report

log = logging.getLogger(__name__)

TICK = timedelta(milliseconds=250)
#: Changes that come within this time share a pass.
PASS_EVERY = timedelta(milliseconds=100)
#: Past this a pass comes before the messages that wait: else a flood would stop all placing.
PASS_PATIENCE = seconds(1)
WATCH_HOLD = timedelta(seconds=2)
DIRECT_TIME = seconds(3)
#: Direct commands under way at once.
MOST_DIRECT = 24
#: Reads of jobs' ends under way at once.
MOST_READING = 6
CATALOG_EVERY = seconds(60)
SETTINGS = "settings"
#: Placements in the layout of earlier versions: read, and replaced as they change.
OLD_PLACED = "machine/"


class Dispatcher(Actor):
    """Exists for one term.  ``resign`` is called when another leader is found to exist."""

    def __init__(
        self,
        platform: Platform,
        state: StateService,
        cloud: Cloud,
        term: Term,
        types: list[MachineType],
        resign: Callable[[], None],
        network: Network,
        timing: Timing | None = None,
    ) -> None:
        """``timing``: of standing in for a leader; None: nobody ever does."""
        super().__init__(bound=2000)
        now = steady()
        self._platform = platform
        self._state = state
        self._cloud = cloud
        self._term = term
        self._resign = resign
        self._network = network
        self._peers: list[PeerContact | None] = [None for _ in platform.peers]
        self._timing = timing
        self._began = now
        self._views: tuple[View, ...] = ()
        self._told_by: timedelta | None = None
        self._cluster = Cluster(term.token, platform.workers, platform.teams, now)
        self._scheduler = Scheduler(self._cluster, Market(), Policy(), platform.objectives, now)
        if types:
            self._scheduler.set_catalog(types)
        self._recorder = Recorder(self._cluster, state.limits, state.present)
        self._effort = Effort(now)
        self._pass_due = ZERO
        self._loaded = False
        self._releasing = False
        self._renting: set[str] = set()
        self._in_direct: set[str] = set()
        #: Ends of jobs that are being read.
        self._reading: set[str] = set()
        self._unread: list[str] = []
        self._cascaded: timedelta | None = None
        self._tasks: set[Any] = set()

    @property
    def token(self) -> int:
        return self._term.token

    # -- life ------------------------------------------------------------------------------

    async def run(self) -> None:
        try:
            for work in (self._load, self._ticks, self._lists, self._catalogs):
                await self._spawn(work)
            await super().run()
        finally:
            for task in list(self._tasks):
                await task.cancel(blocking=False)

    async def _spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        async def tracked() -> None:
            try:
                await work(*args)
            except (curio.CancelledError, Overloaded):
                pass
            except Exception:
                log.exception("a task of the leader failed")
            finally:
                self._tasks.discard(task)

        task = await curio.spawn(tracked, daemon=True)
        self._tasks.add(task)

    def _power(self) -> Power:
        workers = self._platform.workers
        return self._term.power(steady(), self._peers, workers.lease, workers.cancel, self._told_by)

    def _leases_count(self, now: timedelta) -> bool:
        """Whether a silent worker's lease may be counted as over: nobody else can have renewed it.

        Guards ``ran_twice``: a follower may stand in for us where it can't see us (docs/safety.md).
        """
        if self._timing is None:
            return True
        return may_count_lease_over(self.token, self._began, self._views, now, self._timing)

    # -- messages --------------------------------------------------------------------------

    async def receive(self, message: Any) -> Any:
        began = steady()
        result = self._take(message)
        now = steady()
        self._effort.add("reports" if isinstance(message, ReportIn) else "messages", now - began)
        if self._loaded and self._power() is Power.FULL:
            if isinstance(message, Tick):
                self._scheduler.tick(now, leases_count=self._leases_count(now))
                self._log_effort(now)
                now = self._spent("clock", now)
            if self._pass_is_due(now):
                self._scheduler.run_pass(now)
                ended = self._spent("passes", now)
                # Passes take a share of the processor at most, however long one takes: reports
                # must be answered meanwhile, or leases run out.
                self._pass_due = ended + max(PASS_EVERY, (ended - now) * 3)
                now = ended
            await self._act()
            self._spent("sending", now)
        elif self._loaded:
            await self._send_stops()
        if self._loaded:
            await self._read_ends(isinstance(message, Tick))
        return result

    def _pass_is_due(self, now: timedelta) -> bool:
        """Reports that wait are taken in before a pass, but not for ever."""
        if now < self._pass_due or not self._scheduler.wants_pass(now):
            return False
        return self._mail.empty() or now >= self._pass_due + PASS_PATIENCE

    def _spent(self, part: str, began: timedelta) -> timedelta:
        now = steady()
        self._effort.add(part, now - began)
        return now

    def _log_effort(self, now: timedelta) -> None:
        line = self._effort.line(now)
        if line is not None:
            log.info(
                "%s; now %d messages wait, %d placements and %d ends to be written",
                line,
                self._mail.qsize(),
                len(self._cluster.unwritten),
                len(self._cluster.finished_dirty),
            )

    def _take(self, message: Any) -> Any:
        now = steady()
        scheduler = self._scheduler
        match message:
            case ReportIn(report):
                return self._report(report, now)
            case DirectAnswer(report):
                self._direct_answer(report, now)
            case Extended(valid_until):
                self._term = replace(self._term, valid_until=valid_until)
            case PeerNews(peers, views, told_by):
                self._peers = list(peers)
                self._views = views or ()
                self._told_by = told_by
            case JobEvents(events, asked, parts):
                for event in events:
                    self._job_event(event, now, parts)
                self._informed(asked)
            case JobsRead(items, asked, parts):
                self._jobs_read(items, now, parts)
                self._informed(asked)
            case CancelNotice(job_id):
                self._job_over(job_id, now)
            case EndRead(job_id, end):
                self._reading.discard(job_id)
                if end is None:
                    self._cluster.pipelines.not_found(job_id, now)
                else:
                    self._cluster.job_ended(job_id, end, now)
            case Loaded():
                self._take_over(message, now)
            case NewSettings(item):
                self._settings(item)
            case CatalogRead(types):
                scheduler.set_catalog(types)
            case ListRead(machines):
                scheduler.on_list(machines, now)
            case RentalAnswer(request, names):
                self._renting.discard(request.request)
                if names is None:
                    scheduler.rental_refused(request, now)
                else:
                    scheduler.rented(request, names, now)
            case ReleaseAnswer(names, done):
                self._releasing = False
                if done:
                    scheduler.released(names, now)
            case Written():
                self._written(message)
            case ProgressWanted():
                return Progress(scheduler.counts(), self._cascaded)
            case LeftWanted(job_id):
                # Without a lease that holds, another leader may have started what we know not of.
                certain = self._loaded and self._power() is Power.FULL
                return not certain or self._cluster.left_of(job_id)
            case WhyWanted(job_id):
                return answers.why(scheduler, job_id, now)
            case OverviewWanted():
                return answers.overview(
                    scheduler,
                    self._platform.name,
                    now,
                    contact=self._power() is Power.FULL,
                )
        return None

    def _informed(self, asked: timedelta) -> None:
        self._term = replace(self._term, informed=max(self._term.informed, asked))

    # -- jobs that wait for others ---------------------------------------------------------

    async def _read_ends(self, look: bool) -> None:
        """Read how the jobs that others wait for have ended, a few at once.

        Only ends that a live job names and that are not known are read, so this does not grow with
        the jobs of the past; and whatever waits for them is held back meanwhile.
        """
        if look or self._cluster.pipelines.changed:
            self._unread = [
                name
                for name in self._cluster.pipelines.unread(steady())
                if name not in self._reading
            ]
            if not (self._unread or self._reading or self._cluster.pipelines.doomed):
                # All that was cancelled before our last answered watch was opened is recorded
                # for all that need it.
                self._cascaded = self._term.informed
        while self._unread and len(self._reading) < MOST_READING:
            name = self._unread.pop()
            if name not in self._reading:
                self._reading.add(name)
                await self._spawn(self._read_end, name)

    async def _read_end(self, job_id: str) -> None:
        while True:
            try:
                item = await self._state.get(f"end/{job_id}", Urgency.END)
                break
            except StateError as problem:
                log.debug("end of %s: %s", job_id, problem)
                await sleep(seconds(0.3))
        end: EndRecord | None = None
        if item is None:
            log.info("%s is waited for, and neither alive nor over", job_id)
        else:
            try:
                end = convert(EndRecord, item.value)
            except BadMessage as problem:
                log.error("unreadable record %s: %s", item.key, problem)
        await self.tell(EndRead(job_id, end))

    # -- workers ---------------------------------------------------------------------------

    def _report(self, report: Report, now: timedelta) -> Reply:
        if report.token > self.token:
            self._resign()
            return Reply(503)
        power = self._power()
        if power is Power.NONE:
            return Reply(503)
        orders = []
        if self._loaded:
            full = power is Power.FULL
            if report.machine in self._cluster.gone:
                return Reply(503)
            taken = self._scheduler.on_report(report, now, checkin=True, full=full)
            if taken is None:
                # An old report: the answer may still renew the lease, so its time counts.
                self._cluster.machines[report.machine].heard = now
            else:
                orders = taken
        return Reply(200, Orders(self.token, orders))

    def _direct_answer(self, report: Report, now: timedelta) -> None:
        try:
            self._scheduler.on_report(report, now, checkin=False, full=False)
        except HigherToken:
            self._resign()

    async def _send_stops(self) -> None:
        """Stops go straight to the workers: they may be executed late without harm."""
        if not self._cluster.direct or len(self._in_direct) >= MOST_DIRECT:
            return
        for name in list(self._cluster.direct):
            if len(self._in_direct) >= MOST_DIRECT:
                break
            machine = self._cluster.machines.get(name)
            if machine is None or not machine.address:
                self._cluster.direct.discard(name)
                continue
            if name in self._in_direct:
                continue
            self._cluster.direct.discard(name)
            self._in_direct.add(name)
            message = DirectOrders(self.token, machine.session, self._cluster.stops_for(machine))
            await self._spawn(self._direct, name, machine.address, message)

    async def _direct(self, name: str, address: str, message: DirectOrders) -> None:
        try:
            _, body = await self._network.client(address, 0).request(
                "POST", "/commands", encode(message), timeout=DIRECT_TIME
            )
            await self.tell(DirectAnswer(decode(Report, body)))
        except (HttpError, ValueError) as problem:
            log.debug("%s could not be commanded: %s", name, problem)
        finally:
            self._in_direct.discard(name)

    # -- carrying out ----------------------------------------------------------------------

    async def _act(self) -> None:
        scheduler = self._scheduler
        await self._send_stops()
        for changes in self._recorder.next(steady()):
            self._effort.add("changes asked for", times=len(changes.operations))
            await self._spawn(self._write, changes)
        for request in list(scheduler.rentals.values()):
            if request.request not in self._renting:
                self._renting.add(request.request)
                self._effort.add("rentals")
                await self._spawn(self._rent, request)
        if scheduler.releases and not self._releasing:
            self._releasing = True
            await self._spawn(self._release, sorted(scheduler.releases)[:100])

    async def _write(self, changes: Changes) -> None:
        """Write a batch; every change depends on our still being the leader, and on the version
        last known of its key, so that a batch applied late can't undo a newer one."""
        conditions = [Condition("leader", self.token), *changes.conditions]
        revision: int | None = None
        found: dict[str, Item | None] | None = None
        refused = False
        try:
            revision = await self._state.commit(
                conditions, changes.operations, changes.urgency, timeout=seconds(3)
            )
        except Conflict:
            found = await self._read_back(changes)
        except Refused:
            refused = True
            found = await self._read_back(changes)
        except StateError as problem:
            log.debug("a write failed: %s", problem)
            await sleep(seconds(0.2))
            found = await self._read_back(changes)
        await self.tell(Written(changes, revision, found, refused))

    async def _read_back(self, changes: Changes) -> dict[str, Item | None]:
        """After a failed or unknown outcome: what the service holds now."""
        while True:
            try:
                leader = await self._state.get("leader", Urgency.LEASE)
                if leader is None or leader.version != self.token:
                    self._resign()
                return {
                    condition.key: await self._state.get(condition.key, Urgency.PLACEMENT)
                    for condition in changes.conditions
                }
            except StateError:
                await sleep(seconds(0.3))

    def _written(self, message: Written) -> None:
        if message.refused:
            self._recorder.refused(message.changes)
        if message.revision is not None:
            self._recorder.committed(message.changes, message.revision, steady())
        else:
            self._recorder.failed(message.changes, message.found or {}, steady())

    async def _rent(self, request: RentalRequest) -> None:
        """Ask until there is a definite answer: the same name never rents twice."""
        names: list[str] | None = None
        while True:
            try:
                names = await self._cloud.rent(request)
                break
            except NoCapacity:
                break
            except CloudError as problem:
                log.debug("renting: %s", problem)
                await sleep(seconds(1))
        log.info("rental of %d %s: %s", request.count, request, names)
        await self.tell(RentalAnswer(request, names))

    async def _release(self, names: list[str]) -> None:
        done = False
        try:
            await self._cloud.release(names)
            done = True
        except CloudError as problem:
            log.debug("returning machines: %s", problem)
            await sleep(seconds(0.5))
        await self.tell(ReleaseAnswer(names, done))

    # -- standing tasks --------------------------------------------------------------------

    async def _ticks(self) -> None:
        while True:
            await sleep(TICK)
            await self.tell(Tick())

    async def _lists(self) -> None:
        while True:
            try:
                await self.tell(ListRead(await self._cloud.machines()))
                await sleep(LIST_EVERY)
            except CloudError as problem:
                log.debug("list of machines: %s", problem)
                await sleep(seconds(1))

    async def _catalogs(self) -> None:
        while True:
            try:
                await self.tell(CatalogRead(await self._cloud.catalog()))
                await sleep(CATALOG_EVERY)
            except CloudError as problem:
                log.debug("catalog: %s", problem)
                await sleep(seconds(1))

    async def _load(self) -> None:
        """Read everything, then follow what changes."""
        while True:
            try:
                asked = steady()
                jobs, revision = await self._state.range(JOBS, Urgency.LEASE)
                placed, _ = await self._state.range(PLACED, Urgency.LEASE)
                placed += (await self._state.range(OLD_PLACED, Urgency.LEASE))[0]
                images, _ = await self._state.range(IMAGES, Urgency.LEASE)
                leaving, _ = await self._state.range(LEAVING, Urgency.LEASE)
                finished, _ = await self._state.range(DONE, Urgency.LEASE)
                finished += (await self._state.range(FINISHED, Urgency.LEASE))[0]
                parts, _ = await self._state.range(PARTS, Urgency.LEASE)
                settings = await self._state.get(SETTINGS, Urgency.LEASE)
                ended = await self._ended(jobs, placed)
                break
            except StateError as problem:
                log.info("loading: %s", problem)
                await sleep(seconds(0.3))
        await self.tell(Loaded(jobs, placed, images, leaving, finished, parts, ended, settings))
        await self.tell(JobEvents([], asked, {}))
        await self._spawn(self._follow_settings, revision)
        await self._follow_jobs(revision)

    async def _ended(self, jobs: list[Item], placed: list[Item]) -> dict[str, EndRecord]:
        """End records of jobs that are over but may have tasks on machines: these count still."""
        alive = {item.key[len(JOBS) :] for item in jobs}
        over: set[str] = set()
        for item in placed:
            record = _placed(item)
            for entry in record.machines if record else ():
                over |= {task.job_id for task in entry.tasks if task.job_id not in alive}
        ended: dict[str, EndRecord] = {}
        for job_id in sorted(over):
            end = await self._state.get(f"end/{job_id}", Urgency.LEASE)
            if end is not None:
                try:
                    ended[job_id] = convert(EndRecord, end.value)
                except BadMessage as problem:
                    log.error("unreadable record %s: %s", end.key, problem)
        return ended

    async def _follow_jobs(self, revision: int) -> None:
        client = self._state.watch_client()
        while True:
            asked = steady()
            try:
                found = await self._state.changes(JOBS, revision, WATCH_HOLD, client)
                parts = await self._parts_of(found.events)
                revision = max(revision, found.revision)
                await self.tell(JobEvents(found.events, asked, parts))
            except TooOld:
                try:
                    items, revision = await self._state.range(JOBS, Urgency.PLACEMENT)
                    found_parts, _ = await self._state.range(PARTS, Urgency.PLACEMENT)
                    parts = {item.key: item for item in found_parts}
                    await self.tell(JobsRead(items, asked, parts))
                except StateError:
                    await sleep(seconds(0.3))
            except StateError as problem:
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
            except BadMessage:
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
            except TooOld:
                revision = 0
            except StateError:
                await sleep(seconds(2))
                continue
            try:
                item = await self._state.get(SETTINGS)
                if item is not None:
                    revision = max(revision, item.version)
                await self.tell(NewSettings(item))
            except StateError:
                await sleep(seconds(2))

    # -- what the state service holds ------------------------------------------------------

    def _take_over(self, loaded: Loaded, now: timedelta) -> None:
        parts = {item.key: item for item in loaded.parts}
        for item in loaded.jobs:
            self._load_job(item, now, parts)
        self._drop_orphans(parts)
        for item in loaded.finished:
            self._load_finished(item)
        for job_id, end in loaded.ended.items():
            self._cluster.load_ended(job_id, end)
        for item in loaded.placed:
            record = _placed(item)
            if record is not None:
                self._recorder.versions[item.key] = item.version
                self._cluster.load_placed(item.key, record, now)
        for item in loaded.images:
            self._load_images(item, now)
        for item in loaded.leaving:
            self._scheduler.return_again(self._recorder.load_leaving(item, now), now)
        for job in list(self._cluster.live_jobs()):
            if job.complete:
                self._cluster.finished_dirty.add(job.id)
        self._settings(loaded.settings)
        # Greet the recorded machines: their workers see the new token, drop whatever the last
        # leader may still say, and show what they have.
        self._cluster.direct |= set(self._cluster.machines)
        self._loaded = True
        log.info(
            "took over %d jobs and %d machines",
            len(self._cluster.jobs),
            len(self._cluster.machines),
        )

    def _load_job(self, item: Item, now: timedelta, parts: Mapping[str, Item]) -> None:
        job_id = item.key.removeprefix(JOBS)
        try:
            keys = part_keys(item.value, job_id)
            record = whole(item.value, [parts[key].value for key in keys if key in parts])
        except BadMessage as problem:
            log.error("unreadable record %s: %s", item.key, problem)
            return
        job = Job(record.submission, steady_at(record.submitted_at, now), item.version)
        for key in keys:
            # All of a description is written in one transaction.
            self._recorder.versions[key] = item.version
            job.stored.add(key)
        self._scheduler.job_added(job, now)

    def _drop_orphans(self, parts: dict[str, Item]) -> None:
        """Parts of descriptions whose job is over."""
        for key, item in parts.items():
            if key not in self._recorder.versions:
                self._recorder.versions[key] = item.version
                self._recorder.drop(key)

    def _load_finished(self, item: Item) -> None:
        small = item.key.startswith(FINISHED)
        rest = item.key.removeprefix(FINISHED if small else DONE)
        job_id, _, chunk = rest.rpartition("/")
        self._recorder.versions[item.key] = item.version
        job = self._cluster.jobs.get(job_id)
        if job is None or not chunk.isdigit():
            self._recorder.drop(item.key)
            return
        job.stored.add(item.key)
        try:
            bits = convert(FinishedRecord, item.value).bits
            job.load_bits(int(chunk) * (SMALL_CHUNK if small else CHUNK), bits)
        except ValueError as problem:
            # Its tasks run once more: a worker that has a result kept gives it at once.
            log.error("unreadable record %s: %s", item.key, problem)

    def _load_images(self, item: Item, now: timedelta) -> None:
        self._recorder.versions[item.key] = item.version
        try:
            record = convert(ImagesRecord, item.value)
        except BadMessage as problem:
            log.error("unreadable record %s: %s", item.key, problem)
            return
        self._cluster.load_images(record, now)
        self._recorder.load_images(item.key, record, now)

    def _job_event(self, event: Event, now: timedelta, parts: Mapping[str, Item]) -> None:
        if event.drop is not None:
            self._job_over(event.drop.removeprefix(JOBS), now)
        elif event.put is not None:
            self._load_job(Item(event.put, event.value, event.version), now, parts)

    def _job_over(self, job_id: str, now: timedelta) -> None:
        self._recorder.job_over(self._cluster.jobs.get(job_id))
        self._cluster.job_gone(job_id, now)

    def _jobs_read(self, items: list[Item], now: timedelta, parts: Mapping[str, Item]) -> None:
        present = {item.key.removeprefix(JOBS) for item in items}
        for job in list(self._cluster.live_jobs()):
            if job.id not in present:
                self._job_over(job.id, now)
        for item in items:
            self._load_job(item, now, parts)

    def _settings(self, item: Item | None) -> None:
        """Take operators' settings up; if they make no sense, those in force stay."""
        if item is None:
            self._scheduler.policy = Policy()
            return
        try:
            record = convert(SettingsRecord, item.value)
            self._scheduler.policy = policy_from_values(record.values)
        except ValueError as problem:
            log.error("the stored settings are refused: %s", problem)


def _placed(item: Item) -> PlacedRecord | None:
    """A record of placements in either layout; None if it can't be read."""
    try:
        if item.key.startswith(OLD_PLACED):
            name = item.key.removeprefix(OLD_PLACED)
            return convert(MachineRecord, item.value).placed(name)
        return convert(PlacedRecord, item.value)
    except BadMessage as problem:
        log.error("unreadable record %s: %s", item.key, problem)
        return None
