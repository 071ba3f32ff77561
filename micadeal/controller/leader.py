"""The leader's actor: owns the scheduler for one term and carries out what it decides."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import Any

from micadeal.actor import Actor, MailboxFullError
from micadeal.clock import ZERO, monotonic, seconds
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.controller.cpu_metrics import CpuMetrics
from micadeal.controller.feature_level_updater import FeatureLevelUpdater
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.messages import (
    CatalogLoaded,
    DirectCommandResult,
    FeatureLevelChanged,
    GetExplanation,
    GetMigrationBacklog,
    GetOverview,
    GetProgress,
    HasRemainingTasks,
    HeartbeatReceived,
    HeartbeatReply,
    JobCancelled,
    JobEndLoaded,
    JobsChanged,
    JobsReloaded,
    LeaderLeaseExtended,
    MachineListLoaded,
    MayTasksStart,
    MigrationStatus,
    PeerStatus,
    PrepareShutdown,
    Progress,
    ReleaseCompleted,
    RentalCompleted,
    SettingsChanged,
    StateLoaded,
    Tick,
    WriteCompleted,
)
from micadeal.controller.outbound import OutboundCalls
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.controller.record_loader import RecordLoader
from micadeal.controller.watchers import Watchers
from micadeal.fleet.cloud import Cloud
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.http.network import Network
from micadeal.leadership.follower_leases import (
    PeerRenewalView,
    RenewalTiming,
    cancellations_listed_until,
    may_expire_leases,
    stop_commands,
)
from micadeal.leadership.term import Authority, PeerContact, Term
from micadeal.operator.platform import Platform
from micadeal.operator.policy import Policy
from micadeal.rollout.membership import Presence, presence
from micadeal.rollout.migration import MigrationBacklog
from micadeal.scheduling import explanations, reconciliation, worker_commands
from micadeal.scheduling.cluster_state import ClusterState, StaleTokenError
from micadeal.scheduling.scheduler import Scheduler
from micadeal.state.service import StateService
from micadeal.timeouts import sleep
from micadeal.wire.cloud import MachineType
from micadeal.wire.workers import DirectCommands, Heartbeat, HeartbeatResponse
from micadeal.zones.zone_monitor import ZoneMonitor

log = logging.getLogger(__name__)

TICK = timedelta(milliseconds=250)
#: Changes that come within this time share a pass.
PASS_EVERY = timedelta(milliseconds=100)
#: Past this a pass comes before the messages that wait: else a flood would stop all placing.
PASS_PATIENCE = seconds(1)
#: For what is known of zones a machine is silent after so many report intervals: sooner than it
#: gets no new work (scheduling/capacity.py), since one machine alone says nothing here.
ZONE_SILENT_HEARTBEATS = 2
#: Direct commands under way at once, and how many of them before no question is added.
MOST_DIRECT = 24
MOST_ASKED = 12
#: Reads of jobs' ends under way at once.
MOST_READING = 6
#: What the log says when the power of the term changes.
AUTHORITY_MESSAGES = {
    Authority.FULL: "in touch with the state service again: leads with full power",
    Authority.RENEW_ONLY: "out of touch with the state service: only renews leases and sends stops",
    Authority.NONE: "answers no worker: jobs may be cancelled that we know not of",
}


class Leader(Actor):
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
        feature_levels: FeatureLevels,
        timing: RenewalTiming | None = None,
        cancelled: Iterable[str] = (),
        over: Callable[[str], None] = lambda job_id: None,
        all_started: frozenset[str] = frozenset(),
    ) -> None:
        """``levels``: as of when the term began; ``timing``: of standing in for a leader, None:
        nobody ever does; ``cancelled``: jobs on our list of cancellations; ``over``: told of each
        job that turns out to be done or cancelled; ``all_started``: jobs of which all tasks ran, by
        the last word of the leader before."""
        super().__init__(bound=2000)
        now = monotonic()
        self._platform = platform
        self._term = term
        self._resign = resign
        self._over = over
        self._peers: list[PeerContact | None] = [None for _ in platform.peers]
        self._timing = timing
        self._views: tuple[PeerRenewalView, ...] = ()
        self._cancellations_known_until: timedelta | None = None
        self._cluster = ClusterState(
            term.token, platform.workers, platform.teams, now, all_started=all_started
        )
        self._scheduler = Scheduler(
            self._cluster, InstanceOffers(), Policy(), platform.objectives, now
        )
        if types:
            self._scheduler.set_catalog(types)
        self._feature_levels = feature_levels
        self._record_writer = RecordWriter(
            self._cluster, state.limits, state.present, feature_levels.record
        )
        self._cpu_metrics = CpuMetrics(now)
        self._pass_due = ZERO
        self._loaded = False
        #: As last logged.
        self._shown = Authority.FULL
        self._retiring = False
        self._releasing = False
        self._renting: set[str] = set()
        self._in_direct: set[str] = set()
        #: Ends of jobs that are being read.
        self._reading: set[str] = set()
        self._unread: list[str] = []
        self._cascaded: timedelta | None = None
        self._background_tasks = BackgroundTasks()
        self._record_loader = RecordLoader(self._scheduler, self._record_writer)
        for job_id in cancelled:
            self._record_loader.job_cancelled(job_id, now)
        self._zone_monitor = ZoneMonitor(platform.zones, platform.zone, now)
        self._level_updater = FeatureLevelUpdater(
            feature_levels, state, term, self.ask, self.tell_unbounded
        )
        self._watchers = Watchers(
            state, cloud, self.tell_unbounded, self._background_tasks, feature_levels.record.oldest
        )
        self._outbound = OutboundCalls(
            term.token,
            state,
            cloud,
            network,
            self.tell_unbounded,
            resign,
            self._level_updater.look_again,
            lambda: self._authority() is Authority.FULL,
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
                self._watchers.load,
                self._ticks,
                self._watchers.lists,
                self._watchers.catalogs,
                self._level_updater.run,
            ):
                await self._background_tasks.spawn(work)
            await super().run()
        finally:
            await self._background_tasks.cancel()

    async def _ticks(self) -> None:
        while True:
            await sleep(TICK)
            try:
                await self.tell(Tick())
            except MailboxFullError:
                log.warning("the mailbox is full: the clock is looked at later")

    def _authority(self) -> Authority:
        workers = self._platform.workers
        known = (
            self._cancellations_known_until,
            cancellations_listed_until(self._views, self._term.informed),
        )
        cancellations_known_until = max(
            (instant for instant in known if instant is not None), default=None
        )
        return self._term.authority(
            monotonic(),
            self._peers,
            workers.lease,
            workers.cancel_timeout,
            cancellations_known_until,
        )

    def _may_expire_leases(self, now: timedelta) -> bool:
        """Whether a silent worker's lease may be counted as over: nobody else can have renewed it.

        Guards ``ran_twice``: a follower may stand in for us where it can't see us (docs/safety.md).
        """
        if self._timing is None:
            return True
        return may_expire_leases(self.token, self._cluster.began, self._views, now, self._timing)

    # -- messages --------------------------------------------------------------------------

    async def receive(self, message: Any) -> Any:
        began = monotonic()
        result = self._take(message)
        while self._cluster.ended:
            self._over(self._cluster.ended.pop())
        now = monotonic()
        self._cpu_metrics.add(
            "reports" if isinstance(message, HeartbeatReceived) else "messages", now - began
        )
        authority = self._authority()
        if authority is not self._shown and self._loaded:
            log.info("%s", AUTHORITY_MESSAGES[authority])
            self._shown = authority
        if self._loaded and authority is Authority.FULL:
            if isinstance(message, Tick):
                self._scheduler.tick(now, may_expire_leases=self._may_expire_leases(now))
                if self._zone_monitor.due(now):
                    self._look_at_zones(now)
                self._log_effort(now)
                now = self._spent("clock", now)
            if self._pass_is_due(now):
                self._scheduler.run_cycle(now)
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
        observations = self._feature_levels.observations
        controllers: dict[str, Presence] = {}
        for peer in self._platform.peers:
            seen = presence(peer.name, observations, now)
            controllers[peer.zone] = min(
                seen, controllers.get(peer.zone, seen), key=list(Presence).index
            )
        silence = self._platform.workers.heartbeat_interval * ZONE_SILENT_HEARTBEATS
        self._zone_monitor.look(self._cluster.machines.values(), controllers, silence, now)

    def _pass_is_due(self, now: timedelta) -> bool:
        """Reports that wait are taken in before a pass, but not for ever."""
        if self._retiring or now < self._pass_due or not self._scheduler.wants_cycle(now):
            return False
        return self._mailbox.empty() or now >= self._pass_due + PASS_PATIENCE

    def _spent(self, part: str, began: timedelta) -> timedelta:
        now = monotonic()
        self._cpu_metrics.add(part, now - began)
        return now

    def _log_effort(self, now: timedelta) -> None:
        line = self._cpu_metrics.line(now)
        if line is not None:
            log.info(
                "%s; now %d messages wait, %d placements and %d ends to be written",
                line,
                self._mailbox.qsize(),
                len(self._cluster.unwritten),
                len(self._cluster.finished_dirty),
            )

    def _take(self, message: Any) -> Any:
        now = monotonic()
        scheduler = self._scheduler
        match message:
            case HeartbeatReceived(heartbeat):
                return self._on_heartbeat(heartbeat, now)
            case DirectCommandResult(machine, answered, asked):
                self._in_direct.discard(machine)
                self._direct_answer(machine, answered, asked, now)
            case LeaderLeaseExtended(valid_until):
                self._term = replace(self._term, valid_until=valid_until)
            case FeatureLevelChanged(record, fence):
                self._term = replace(self._term, fence=fence)
                self._record_writer.feature_level_changed(record)
            case GetMigrationBacklog():
                # Until all is read, there may be more.
                migration_backlog = (
                    self._record_writer.migration_backlog()
                    if self._loaded
                    else MigrationBacklog(older=1, newer=1)
                )
                return MigrationStatus(migration_backlog, self._record_loader.highest_level)
            case PrepareShutdown():
                self._retiring = True
                return not self._record_writer.busy
            case PeerStatus(peers, views, cancellations_known_until):
                self._peers = list(peers)
                self._views = views or ()
                self._cancellations_known_until = cancellations_known_until
            case JobsChanged(events, asked, parts):
                for event in events:
                    self._record_loader.job_event(event, now, parts)
                self._informed(asked)
            case JobsReloaded(items, asked, parts):
                self._record_loader.jobs_read(items, now, parts)
                self._informed(asked)
            case JobCancelled(job_id):
                self._record_loader.job_cancelled(job_id, now)
            case JobEndLoaded(job_id, end):
                self._reading.discard(job_id)
                if end is None:
                    self._cluster.dependencies.not_found(job_id, now)
                else:
                    self._cluster.job_ended(job_id, end, now)
            case StateLoaded():
                self._record_loader.take_over(message, now)
                self._loaded = True
                self._informed(message.asked)
            case SettingsChanged(item):
                self._record_loader.settings(item)
            case CatalogLoaded(types):
                scheduler.set_catalog(types)
            case MachineListLoaded(machines):
                scheduler.on_list(machines, now)
            case RentalCompleted(request, names):
                self._renting.discard(request.request)
                if names is None:
                    scheduler.rental_refused(request, now)
                else:
                    scheduler.rented(request, names, now)
            case ReleaseCompleted(names, done):
                self._releasing = False
                if done:
                    scheduler.released(names, now)
            case WriteCompleted():
                self._written(message)
            case GetProgress():
                return Progress(scheduler.counts(), self._cascaded, scheduler.all_started())
            case HasRemainingTasks(job_id):
                # Without a lease that holds, another leader may have started what we know not of.
                certain = self._loaded and self._authority() is Authority.FULL
                return not certain or self._cluster.left_of(job_id)
            case MayTasksStart(job_id):
                return self._cluster.may_start(job_id)
            case GetExplanation(job_id):
                return explanations.why(scheduler, job_id, now)
            case GetOverview():
                found = explanations.overview(
                    scheduler,
                    self._platform.name,
                    now,
                    reachability=self._authority() is Authority.FULL,
                )
                found.level = self._feature_levels.line(now)
                found.notes = sorted([*found.notes, *self._zone_monitor.notes(now)])
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
        if look or self._cluster.dependencies.changed:
            self._unread = [
                name
                for name in self._cluster.dependencies.unread(monotonic())
                if name not in self._reading
            ]
            if not (
                self._unread or self._reading or self._cluster.dependencies.cancelled_by_dependency
            ):
                # All that was cancelled before our last answered watch was opened is recorded
                # for all that need it.
                self._cascaded = self._term.informed
        while self._unread and len(self._reading) < MOST_READING:
            name = self._unread.pop()
            if name not in self._reading:
                self._reading.add(name)
                await self._background_tasks.spawn(self._watchers.read_end, name)

    # -- workers ---------------------------------------------------------------------------

    def _on_heartbeat(self, heartbeat: Heartbeat, now: timedelta) -> HeartbeatReply:
        if heartbeat.token > self.token:
            self._resign()
            return HeartbeatReply(503)
        authority = self._authority()
        if authority is Authority.NONE:
            return HeartbeatReply(503)
        commands = None
        if self._loaded:
            full = authority is Authority.FULL
            if heartbeat.machine in self._cluster.gone:
                return HeartbeatReply(503)
            # An old report is answered as well: one that an answer to a command has overtaken may
            # be the worker's last.  It counts for nothing: the lease that the answer may renew
            # counts from before the newer message, whose receipt is known (fleet/reachability.py).
            commands = self._scheduler.on_heartbeat(heartbeat, now, is_heartbeat=True, full=full)
        if commands is None:
            # Without a picture, or news for it, what is known by lists is stopped all the same.
            # Guards ``ran_cancelled`` where the records can't be read for long.
            commands = stop_commands(heartbeat, self._record_loader.cancelled)
        return HeartbeatReply(200, HeartbeatResponse(self.token, commands))

    def _direct_answer(
        self, name: str, heartbeat: Heartbeat | None, asked: timedelta, now: timedelta
    ) -> None:
        machine = self._cluster.machines.get(name)
        if heartbeat is None:
            if machine is not None:
                machine.reachability.probe_unanswered(asked)
            return
        try:
            reconciliation.reconcile_heartbeat(
                self._cluster, heartbeat, now, is_heartbeat=False, asked=asked
            )
        except StaleTokenError:
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
                machine.reachability.asked = monotonic()
                message = DirectCommands(
                    self.token,
                    machine.incarnation,
                    worker_commands.stop_commands_for(cluster, machine),
                )
                await self._background_tasks.spawn(
                    self._outbound.direct, name, machine.address, message
                )

    # -- carrying out ----------------------------------------------------------------------

    async def _act(self) -> None:
        scheduler = self._scheduler
        await self._send_stops()
        for changes in self._record_writer.next(monotonic()):
            self._cpu_metrics.add("changes asked for", times=len(changes.operations))
            await self._background_tasks.spawn(self._outbound.write, changes, self._term.fence)
        for request in list(scheduler.rentals.values()):
            if request.request not in self._renting:
                self._renting.add(request.request)
                self._cpu_metrics.add("rentals")
                await self._background_tasks.spawn(self._outbound.rent, request)
        if scheduler.releases and not self._releasing:
            self._releasing = True
            await self._background_tasks.spawn(
                self._outbound.release, sorted(scheduler.releases)[:100]
            )

    def _written(self, message: WriteCompleted) -> None:
        if message.refused:
            self._record_writer.refused(message.changes)
        if message.revision is not None:
            self._record_writer.committed(message.changes, message.revision, monotonic())
        else:
            self._record_writer.failed(message.changes, message.found or {}, monotonic())
