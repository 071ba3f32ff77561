"""The leader's actor: owns the scheduler for one term and carries out what it decides."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import Any

from micadeal.actor import Actor, Overloaded
from micadeal.clock import ZERO, seconds, steady
from micadeal.controller.effort import Effort
from micadeal.controller.errands import Errands
from micadeal.controller.feeds import Feeds
from micadeal.controller.helpers import Helpers
from micadeal.controller.intake import Intake
from micadeal.controller.levels import Levels
from micadeal.controller.messages import (
    CancelNotice,
    CatalogRead,
    DirectAnswer,
    EndRead,
    Extended,
    JobEvents,
    JobsRead,
    LeftWanted,
    LevelMoved,
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
    Retire,
    StartsWanted,
    StockTold,
    StockWanted,
    Tick,
    WhyWanted,
    Written,
)
from micadeal.controller.raising import Raising
from micadeal.controller.records import Recorder
from micadeal.fleet.cloud import Cloud
from micadeal.fleet.offers import Market
from micadeal.http.network import Network
from micadeal.leadership.standin import Timing, View, listed_by, may_count_lease_over, stops
from micadeal.leadership.term import PeerContact, Power, Term
from micadeal.operator.platform import Platform
from micadeal.operator.policy import Policy
from micadeal.rollout.membership import Presence, presence
from micadeal.rollout.steps import Stock
from micadeal.scheduling import answers
from micadeal.scheduling.cluster import Cluster, HigherToken
from micadeal.scheduling.scheduler import Scheduler
from micadeal.state.service import StateService
from micadeal.waiting import sleep
from micadeal.wire.cloud import MachineType
from micadeal.wire.workers import DirectOrders, Orders, Report
from micadeal.zones.watch import Zones

log = logging.getLogger(__name__)

TICK = timedelta(milliseconds=250)
#: Changes that come within this time share a pass.
PASS_EVERY = timedelta(milliseconds=100)
#: Past this a pass comes before the messages that wait: else a flood would stop all placing.
PASS_PATIENCE = seconds(1)
#: For what is known of zones a machine is silent after so many report intervals: sooner than it
#: gets no new work (scheduling/space.py), since one machine alone says nothing here.
ZONE_SILENT_REPORTS = 2
#: Direct commands under way at once, and how many of them before no question is added.
MOST_DIRECT = 24
MOST_ASKED = 12
#: Reads of jobs' ends under way at once.
MOST_READING = 6
#: What the log says when the power of the term changes.
POWERS = {
    Power.FULL: "in touch with the state service again: leads with full power",
    Power.RENEW_ONLY: "out of touch with the state service: only renews leases and passes on halts",
    Power.NONE: "answers no worker: jobs may be cancelled that we know not of",
}


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
        levels: Levels,
        timing: Timing | None = None,
        cancelled: Iterable[str] = (),
        over: Callable[[str], None] = lambda job_id: None,
        all_started: frozenset[str] = frozenset(),
    ) -> None:
        """``levels``: as of when the term began; ``timing``: of standing in for a leader, None:
        nobody ever does; ``cancelled``: jobs on our list of cancellations; ``over``: told of each
        job that turns out to be done or cancelled; ``all_started``: jobs of which all tasks ran, by
        the last word of the leader before."""
        super().__init__(bound=2000)
        now = steady()
        self._platform = platform
        self._term = term
        self._resign = resign
        self._over = over
        self._peers: list[PeerContact | None] = [None for _ in platform.peers]
        self._timing = timing
        self._views: tuple[View, ...] = ()
        self._told_by: timedelta | None = None
        self._cluster = Cluster(
            term.token, platform.workers, platform.teams, now, all_started=all_started
        )
        self._scheduler = Scheduler(self._cluster, Market(), Policy(), platform.objectives, now)
        if types:
            self._scheduler.set_catalog(types)
        self._levels = levels
        self._recorder = Recorder(self._cluster, state.limits, state.present, levels.record)
        self._effort = Effort(now)
        self._pass_due = ZERO
        self._loaded = False
        #: As last logged.
        self._shown = Power.FULL
        self._retiring = False
        self._releasing = False
        self._renting: set[str] = set()
        self._in_direct: set[str] = set()
        #: Ends of jobs that are being read.
        self._reading: set[str] = set()
        self._unread: list[str] = []
        self._cascaded: timedelta | None = None
        self._helpers = Helpers()
        self._intake = Intake(self._scheduler, self._recorder)
        for job_id in cancelled:
            self._intake.job_cancelled(job_id, now)
        self._zones = Zones(platform.zones, platform.zone, now)
        self._raising = Raising(levels, state, term, self.ask, self.told_by_own)
        self._feeds = Feeds(state, cloud, self.told_by_own, self._helpers, levels.record.oldest)
        self._errands = Errands(
            term.token,
            state,
            cloud,
            network,
            self.told_by_own,
            resign,
            self._raising.look_again,
            lambda: self._power() is Power.FULL,
        )

    @property
    def token(self) -> int:
        return self._term.token

    @property
    def reading(self) -> bool:
        """The records of earlier leaders have not all come yet."""
        return not self._loaded

    # -- life ------------------------------------------------------------------------------

    async def run(self) -> None:
        try:
            for work in (
                self._feeds.load,
                self._ticks,
                self._feeds.lists,
                self._feeds.catalogs,
                self._raising.run,
            ):
                await self._helpers.spawn(work)
            await super().run()
        finally:
            await self._helpers.cancel()

    async def _ticks(self) -> None:
        while True:
            await sleep(TICK)
            try:
                await self.tell(Tick())
            except Overloaded:
                log.warning("the mailbox is full: the clock is looked at later")

    def _power(self) -> Power:
        workers = self._platform.workers
        known = (self._told_by, listed_by(self._views, self._term.informed))
        told_by = max((instant for instant in known if instant is not None), default=None)
        return self._term.power(steady(), self._peers, workers.lease, workers.cancel, told_by)

    def _leases_count(self, now: timedelta) -> bool:
        """Whether a silent worker's lease may be counted as over: nobody else can have renewed it.

        Guards ``ran_twice``: a follower may stand in for us where it can't see us (docs/safety.md).
        """
        if self._timing is None:
            return True
        return may_count_lease_over(self.token, self._cluster.began, self._views, now, self._timing)

    # -- messages --------------------------------------------------------------------------

    async def receive(self, message: Any) -> Any:
        began = steady()
        result = self._take(message)
        while self._cluster.ended:
            self._over(self._cluster.ended.pop())
        now = steady()
        self._effort.add("reports" if isinstance(message, ReportIn) else "messages", now - began)
        power = self._power()
        if power is not self._shown and self._loaded:
            log.info("%s", POWERS[power])
            self._shown = power
        if self._loaded and power is Power.FULL:
            if isinstance(message, Tick):
                self._scheduler.tick(now, leases_count=self._leases_count(now))
                if self._zones.due(now):
                    self._look_at_zones(now)
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

    def _look_at_zones(self, now: timedelta) -> None:
        sights = self._levels.sights
        controllers: dict[str, Presence] = {}
        for peer in self._platform.peers:
            seen = presence(peer.name, sights, now)
            controllers[peer.zone] = min(
                seen, controllers.get(peer.zone, seen), key=list(Presence).index
            )
        silence = self._platform.workers.report * ZONE_SILENT_REPORTS
        self._zones.look(self._cluster.machines.values(), controllers, silence, now)

    def _pass_is_due(self, now: timedelta) -> bool:
        """Reports that wait are taken in before a pass, but not for ever."""
        if self._retiring or now < self._pass_due or not self._scheduler.wants_pass(now):
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
            case DirectAnswer(machine, answered, asked):
                self._in_direct.discard(machine)
                self._direct_answer(machine, answered, asked, now)
            case Extended(valid_until):
                self._term = replace(self._term, valid_until=valid_until)
            case LevelMoved(record, fence):
                self._term = replace(self._term, fence=fence)
                self._recorder.level_moved(record)
            case StockWanted():
                # Until all is read, there may be more.
                stock = self._recorder.stock() if self._loaded else Stock(older=1, newer=1)
                return StockTold(stock, self._intake.highest_level)
            case Retire():
                self._retiring = True
                return not self._recorder.busy
            case PeerNews(peers, views, told_by):
                self._peers = list(peers)
                self._views = views or ()
                self._told_by = told_by
            case JobEvents(events, asked, parts):
                for event in events:
                    self._intake.job_event(event, now, parts)
                self._informed(asked)
            case JobsRead(items, asked, parts):
                self._intake.jobs_read(items, now, parts)
                self._informed(asked)
            case CancelNotice(job_id):
                self._intake.job_cancelled(job_id, now)
            case EndRead(job_id, end):
                self._reading.discard(job_id)
                if end is None:
                    self._cluster.pipelines.not_found(job_id, now)
                else:
                    self._cluster.job_ended(job_id, end, now)
            case Loaded():
                self._intake.take_over(message, now)
                self._loaded = True
                self._informed(message.asked)
            case NewSettings(item):
                self._intake.settings(item)
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
                return Progress(scheduler.counts(), self._cascaded, scheduler.all_started())
            case LeftWanted(job_id):
                # Without a lease that holds, another leader may have started what we know not of.
                certain = self._loaded and self._power() is Power.FULL
                return not certain or self._cluster.left_of(job_id)
            case StartsWanted(job_id):
                return self._cluster.may_start(job_id)
            case WhyWanted(job_id):
                return answers.why(scheduler, job_id, now)
            case OverviewWanted():
                found = answers.overview(
                    scheduler,
                    self._platform.name,
                    now,
                    contact=self._power() is Power.FULL,
                )
                found.level = self._levels.line(now)
                found.notes = sorted([*found.notes, *self._zones.notes(now)])
                return found
        return None

    def _informed(self, asked: timedelta) -> None:
        informed = self._term.informed
        if informed is None or asked > informed:
            self._term = replace(self._term, informed=asked)

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
                await self._helpers.spawn(self._feeds.read_end, name)

    # -- workers ---------------------------------------------------------------------------

    def _report(self, report: Report, now: timedelta) -> Reply:
        if report.token > self.token:
            self._resign()
            return Reply(503)
        power = self._power()
        if power is Power.NONE:
            return Reply(503)
        orders = None
        if self._loaded:
            full = power is Power.FULL
            if report.machine in self._cluster.gone:
                return Reply(503)
            # An old report is answered as well: one that an answer to a command has overtaken may
            # be the worker's last.  It counts for nothing: the lease that the answer may renew
            # counts from before the newer message, whose receipt is known (fleet/contact.py).
            orders = self._scheduler.on_report(report, now, checkin=True, full=full)
        if orders is None:
            # Without a picture, or news for it, what is known by lists is stopped all the same.
            # Guards ``ran_cancelled`` where the records can't be read for long.
            orders = stops(report, self._intake.cancelled)
        return Reply(200, Orders(self.token, orders))

    def _direct_answer(
        self, name: str, report: Report | None, asked: timedelta, now: timedelta
    ) -> None:
        machine = self._cluster.machines.get(name)
        if report is None:
            if machine is not None:
                machine.contact.not_told(asked)
            return
        try:
            self._cluster.on_report(report, now, False, asked)
        except HigherToken:
            self._resign()

    async def _send_stops(self) -> None:
        """Stops go straight to the workers: they may be executed late without harm.  Questions
        are the same message; they have to leave room for stops, since those who are asked may be
        gone."""
        cluster = self._cluster
        for wanted, most in ((cluster.direct, MOST_DIRECT), (cluster.asking, MOST_ASKED)):
            for name in list(wanted):
                if len(self._in_direct) >= most:
                    break
                machine = cluster.machines.get(name)
                if machine is None or not machine.address:
                    wanted.discard(name)
                    continue
                if name in self._in_direct:
                    continue
                wanted.discard(name)
                self._in_direct.add(name)
                machine.contact.asked = steady()
                message = DirectOrders(self.token, machine.session, cluster.stops_for(machine))
                await self._helpers.spawn(self._errands.direct, name, machine.address, message)

    # -- carrying out ----------------------------------------------------------------------

    async def _act(self) -> None:
        scheduler = self._scheduler
        await self._send_stops()
        for changes in self._recorder.next(steady()):
            self._effort.add("changes asked for", times=len(changes.operations))
            await self._helpers.spawn(self._errands.write, changes, self._term.fence)
        for request in list(scheduler.rentals.values()):
            if request.request not in self._renting:
                self._renting.add(request.request)
                self._effort.add("rentals")
                await self._helpers.spawn(self._errands.rent, request)
        if scheduler.releases and not self._releasing:
            self._releasing = True
            await self._helpers.spawn(self._errands.release, sorted(scheduler.releases)[:100])

    def _written(self, message: Written) -> None:
        if message.refused:
            self._recorder.refused(message.changes)
        if message.revision is not None:
            self._recorder.committed(message.changes, message.revision, steady())
        else:
            self._recorder.failed(message.changes, message.found or {}, steady())
