"""The leader's actor: owns the scheduler for one term and executes its decisions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from micadeal.actor import Actor, MailboxFullError
from micadeal.clock import ZERO, monotonic, seconds
from micadeal.controller import messages
from micadeal.controller.action_executor import ActionExecutor
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.controller.cpu_metrics import Activity, CpuMetrics
from micadeal.controller.direct_commands import DirectCommandSender
from micadeal.controller.feature_level_updater import FeatureLevelUpdater
from micadeal.controller.job_end_reader import JobEndReader
from micadeal.controller.leader_config import InitialKnowledge, LeaderConfig
from micadeal.controller.outbound import OutboundCalls, TermCallbacks
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.controller.record_loader import RecordLoader
from micadeal.controller.term_authority import TermAuthority
from micadeal.controller.watchers import Watchers
from micadeal.controller.zone_observer import ZoneObserver
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.leadership.follower_leases import stop_commands
from micadeal.leadership.term import Authority, Term
from micadeal.operator.policy import Policy
from micadeal.rollout.migration import MigrationBacklog
from micadeal.scheduling import explanations
from micadeal.scheduling.cluster_state import ClusterState, StaleTokenError
from micadeal.scheduling.scheduler import Scheduler
from micadeal.timeouts import sleep
from micadeal.wire.peers import Overview, WhyAnswer
from micadeal.wire.workers import HeartbeatResponse

log = logging.getLogger(__name__)

#: Maximum number of queued messages.  Beyond that, only messages of the actor's own tasks are
#: accepted.
MAILBOX_LIMIT = 2000
TICK_INTERVAL = timedelta(milliseconds=250)
#: Changes within this time share a scheduling cycle.
CYCLE_INTERVAL = timedelta(milliseconds=100)
#: Minimum pause after a scheduling cycle, as a multiple of its duration.  Heartbeats must be
#: answered between cycles, or workers' leases expire.
CYCLE_PAUSE_FACTOR = 3
#: A cycle that is overdue by this time runs before queued messages.  Otherwise a burst of messages
#: would stop all placement.
MAX_CYCLE_DELAY = seconds(1)
#: The reply to a worker that this leader must not, or can't, answer now.
UNAVAILABLE = messages.HeartbeatReply(503)

#: Handles a message of one type at an instant; returns the answer, or None.
Handler = Callable[[Any, timedelta], Any]


class Leader(Actor):
    """Leads for one term, based on the records and on reports of workers and the cloud."""

    def __init__(
        self, config: LeaderConfig, term: Term, initial_knowledge: InitialKnowledge
    ) -> None:
        super().__init__(capacity=MAILBOX_LIMIT)
        now = monotonic()
        platform = config.platform
        #: The fencing token of the term.
        self.token = term.token
        self._platform = platform
        self._feature_levels = config.feature_levels
        self._resign = config.resign
        self._on_job_ended = config.on_job_ended
        self._authority = TermAuthority(term, platform, config.renewal_timing, now)
        self._cluster = ClusterState(
            term.token,
            platform.workers,
            platform.teams,
            now,
            fully_started_jobs=initial_knowledge.all_started,
        )
        self._scheduler = Scheduler(
            self._cluster, InstanceOffers(), Policy(), platform.objectives, now
        )
        if initial_knowledge.machine_types:
            self._scheduler.set_catalog(initial_knowledge.machine_types)
        self._record_writer = RecordWriter(
            self._cluster,
            config.state.limits,
            config.state.current_limits,
            config.feature_levels.record,
        )
        self._record_loader = RecordLoader(self._scheduler, self._record_writer)
        for job_id in initial_knowledge.cancelled_jobs:
            self._record_loader.job_cancelled(job_id, now)
        self._zone_observer = ZoneObserver(platform, config.feature_levels, now)
        self._cpu_metrics = CpuMetrics(now)
        self._next_cycle_at = ZERO
        self._loaded = False
        self._shutting_down = False
        self._create_collaborators(config, term)
        self._handlers = self._message_handlers()

    def _create_collaborators(self, config: LeaderConfig, term: Term) -> None:
        """Create the components that communicate with other processes."""
        self._background_tasks = BackgroundTasks()
        self._level_updater = FeatureLevelUpdater(
            config.feature_levels, config.state, term, self.ask, self.tell_unbounded
        )
        self._watchers = Watchers(
            config.state,
            config.cloud,
            self.tell_unbounded,
            self.ask,
            self._background_tasks,
            config.feature_levels.record.oldest,
        )
        outbound = OutboundCalls(
            term.token,
            config.state,
            config.cloud,
            config.network,
            TermCallbacks(
                tell=self.tell_unbounded,
                resign=config.resign,
                fence_changed=self._level_updater.refresh_before_next_step,
                has_full_authority=lambda: self._authority.current() is Authority.FULL,
            ),
        )
        self._direct_commands = DirectCommandSender(
            self._cluster, term.token, outbound.send_direct_commands, self._background_tasks
        )
        self._actions = ActionExecutor(
            self._scheduler,
            self._record_writer,
            outbound,
            self._direct_commands,
            self._background_tasks,
            self._cpu_metrics,
        )
        self._job_ends = JobEndReader(
            self._cluster.dependencies, self._watchers.read_end, self._background_tasks
        )

    def _message_handlers(self) -> dict[type, Handler]:
        return {
            # Workers.
            messages.HeartbeatReceived: self._on_heartbeat,
            messages.DirectCommandResult: self._on_direct_command_result,
            # The term.
            messages.Tick: self._on_tick,
            messages.LeaderLeaseExtended: self._on_lease_extended,
            messages.PeerStatus: self._on_peer_status,
            messages.PrepareShutdown: self._on_prepare_shutdown,
            messages.FeatureLevelChanged: self._on_feature_level_changed,
            # Records.
            messages.StateLoaded: self._on_state_loaded,
            messages.JobsChanged: self._on_jobs_changed,
            messages.JobsReloaded: self._on_jobs_reloaded,
            messages.JobCancelled: self._on_job_cancelled,
            messages.JobEndLoaded: self._on_job_end_loaded,
            messages.GetJobsToReread: self._jobs_to_reread,
            messages.SettingsChanged: self._on_settings_changed,
            messages.WriteCompleted: self._actions.write_completed,
            # The cloud.
            messages.CatalogLoaded: self._on_catalog_loaded,
            messages.MachineListLoaded: self._on_machine_list_loaded,
            messages.RentalCompleted: self._actions.rental_completed,
            messages.ReleaseCompleted: self._actions.release_completed,
            # Queries.
            messages.GetMigrationBacklog: self._migration_status,
            messages.GetProgress: self._progress,
            messages.HasRemainingTasks: self._has_remaining_tasks,
            messages.MayTasksStart: self._may_tasks_start,
            messages.GetExplanation: self._explanation,
            messages.GetOverview: self._overview,
        }

    @property
    def loading(self) -> bool:
        """Whether the records have not been read yet."""
        return not self._loaded

    # -- lifecycle -------------------------------------------------------------------------

    async def run(self) -> None:
        """Lead until cancelled."""
        try:
            for work in (
                self._watchers.load_and_watch,
                self._send_ticks,
                self._watchers.poll_machines,
                self._watchers.poll_catalog,
                self._level_updater.run,
            ):
                await self._background_tasks.spawn(work)
            await super().run()
        finally:
            await self._background_tasks.cancel()

    async def _send_ticks(self) -> None:
        while True:
            await sleep(TICK_INTERVAL)
            try:
                await self.tell(messages.Tick())
            except MailboxFullError:
                log.warning("leader's mailbox is full, tick dropped: token=%d", self.token)

    async def receive(self, message: Any) -> Any:
        """Handle one message, then do the work that is due and that the term allows."""
        started_at = monotonic()
        result = self._handlers[type(message)](message, started_at)
        while self._cluster.unreported_ends:
            self._on_job_ended(self._cluster.unreported_ends.pop())
        now = self._cpu_metrics.add_since(
            Activity.HEARTBEATS
            if isinstance(message, messages.HeartbeatReceived)
            else Activity.MESSAGES,
            started_at,
        )
        authority = self._authority.current()
        if not self._loaded:
            return result
        if authority is not self._authority.last_logged:
            self._authority.log_change(authority)
        is_tick = isinstance(message, messages.Tick)
        if authority is Authority.FULL:
            if is_tick:
                now = self._run_periodic_work(now)
            if self._cycle_is_due(now):
                now = self._run_cycle(now)
            await self._actions.execute(self._authority.term.fence)
            self._cpu_metrics.add_since(Activity.DISPATCH, now)
        else:
            await self._direct_commands.send_pending()
        await self._job_ends.read_pending(is_tick, self._authority.term.cancellations_read_until)
        return result

    # -- periodic work and scheduling ------------------------------------------------------

    def _run_periodic_work(self, now: timedelta) -> timedelta:
        """Expire leases, observe zones and log the load; return the time afterwards."""
        self._scheduler.tick(now, may_expire_leases=self._authority.may_expire_leases(now))
        self._zone_observer.observe_if_due(self._cluster.machines.values(), now)
        metrics = self._cpu_metrics.next_log_line(now)
        if metrics is not None:
            log.info(
                "leader load: token=%d %s mailbox=%d unwritten_placements=%d unwritten_ends=%d",
                self.token,
                metrics,
                self._mailbox.qsize(),
                len(self._cluster.unwritten_placements),
                len(self._cluster.jobs_with_unwritten_results),
            )
        return self._cpu_metrics.add_since(Activity.TICKS, now)

    def _cycle_is_due(self, now: timedelta) -> bool:
        """Return whether to run a scheduling cycle now.

        Queued messages are handled first, but delay a cycle by ``MAX_CYCLE_DELAY`` at most.
        """
        if self._shutting_down or now < self._next_cycle_at or not self._scheduler.cycle_due(now):
            return False
        if self._record_loader.has_tasks_of_unknown_team():
            return False
        return self._mailbox.empty() or now >= self._next_cycle_at + MAX_CYCLE_DELAY

    def _run_cycle(self, now: timedelta) -> timedelta:
        """Run one scheduling cycle; return the time afterwards."""
        self._scheduler.run_cycle(now)
        finished_at = self._cpu_metrics.add_since(Activity.SCHEDULING_CYCLES, now)
        self._next_cycle_at = finished_at + max(
            CYCLE_INTERVAL, (finished_at - now) * CYCLE_PAUSE_FACTOR
        )
        return finished_at

    # -- messages: workers -----------------------------------------------------------------

    def _on_heartbeat(
        self, message: messages.HeartbeatReceived, now: timedelta
    ) -> messages.HeartbeatReply:
        heartbeat = message.heartbeat
        if heartbeat.token > self.token:
            self._resign()
            return UNAVAILABLE
        authority = self._authority.current()
        if authority is Authority.NONE:
            return UNAVAILABLE
        commands = None
        if self._loaded:
            if heartbeat.machine in self._cluster.removed_machines:
                return UNAVAILABLE
            # An old heartbeat is answered as well: it may be the worker's last one, overtaken by
            # the answer to a direct command.  The old heartbeat proves nothing new: a lease that
            # this answer renews starts before the newer message, whose receipt is recorded
            # (fleet/reachability.py).
            commands = self._scheduler.on_heartbeat(
                heartbeat, now, is_heartbeat=True, full_authority=authority is Authority.FULL
            )
        if commands is None:
            # Guards ``ran_cancelled`` while the records can't be read: without them, or for an old
            # heartbeat, tasks of jobs on the lists of cancellations are stopped.
            commands = stop_commands(heartbeat, self._record_loader.cancelled)
        return messages.HeartbeatReply(200, HeartbeatResponse(self.token, commands))

    def _on_direct_command_result(
        self, message: messages.DirectCommandResult, now: timedelta
    ) -> None:
        try:
            self._direct_commands.complete(message, now)
        except StaleTokenError:
            self._resign()

    # -- messages: the term ----------------------------------------------------------------

    def _on_tick(self, _message: messages.Tick, _now: timedelta) -> None:
        """Do nothing here: ``receive`` does the periodic work if the authority allows it."""

    def _on_lease_extended(self, message: messages.LeaderLeaseExtended, _now: timedelta) -> None:
        self._authority.extend_lease(message.valid_until)

    def _on_peer_status(self, message: messages.PeerStatus, _now: timedelta) -> None:
        self._authority.update_peers(message)

    def _on_prepare_shutdown(self, _message: messages.PrepareShutdown, _now: timedelta) -> bool:
        self._shutting_down = True
        return not self._record_writer.busy

    def _on_feature_level_changed(
        self, message: messages.FeatureLevelChanged, _now: timedelta
    ) -> None:
        self._authority.change_fence(message.fence)
        self._record_writer.feature_level_changed(message.record)

    # -- messages: records -----------------------------------------------------------------

    def _on_state_loaded(self, message: messages.StateLoaded, now: timedelta) -> None:
        self._record_loader.take_over(message, now)
        self._loaded = True
        self._authority.mark_cancellations_read(message.requested_at)

    def _on_jobs_changed(self, message: messages.JobsChanged, now: timedelta) -> None:
        for event in message.events:
            self._record_loader.job_event(event, now, message.parts)
        self._authority.mark_cancellations_read(message.requested_at)

    def _on_jobs_reloaded(self, message: messages.JobsReloaded, now: timedelta) -> None:
        self._record_loader.jobs_reloaded(message.items, now, message.parts)
        self._authority.mark_cancellations_read(message.requested_at)

    def _jobs_to_reread(self, _message: messages.GetJobsToReread, _now: timedelta) -> list[str]:
        return self._record_loader.unreadable.next_to_reread()

    def _on_job_cancelled(self, message: messages.JobCancelled, now: timedelta) -> None:
        self._record_loader.job_cancelled(message.job_id, now)

    def _on_job_end_loaded(self, message: messages.JobEndLoaded, now: timedelta) -> None:
        self._job_ends.completed(message.job_id)
        if message.end is None:
            self._cluster.dependencies.end_not_found(message.job_id, now)
        else:
            self._cluster.job_ended(message.job_id, message.end, now)

    def _on_settings_changed(self, message: messages.SettingsChanged, _now: timedelta) -> None:
        self._record_loader.apply_settings(message.item)

    # -- messages: the cloud ---------------------------------------------------------------

    def _on_catalog_loaded(self, message: messages.CatalogLoaded, _now: timedelta) -> None:
        self._scheduler.set_catalog(message.machine_types)

    def _on_machine_list_loaded(self, message: messages.MachineListLoaded, now: timedelta) -> None:
        self._scheduler.apply_machine_list(message.machines, now)

    # -- queries ---------------------------------------------------------------------------

    def _migration_status(
        self, _message: messages.GetMigrationBacklog, _now: timedelta
    ) -> messages.MigrationStatus:
        # Until all records are read, some of them may have to be migrated.
        backlog = (
            self._record_writer.migration_backlog()
            if self._loaded
            else MigrationBacklog(older=1, newer=1)
        )
        return messages.MigrationStatus(backlog, self._record_loader.highest_level)

    def _progress(self, _message: messages.GetProgress, _now: timedelta) -> messages.Progress:
        return messages.Progress(
            self._scheduler.counts(),
            self._job_ends.cancellations_propagated_until,
            self._scheduler.all_started(),
        )

    def _has_remaining_tasks(self, message: messages.HasRemainingTasks, _now: timedelta) -> bool:
        # Without full authority, another leader may have started tasks that are unknown here.
        knows_all_tasks = self._loaded and self._authority.current() is Authority.FULL
        return not knows_all_tasks or self._cluster.has_remaining_tasks(message.job_id)

    def _may_tasks_start(self, message: messages.MayTasksStart, _now: timedelta) -> bool:
        return self._cluster.may_start(message.job_id)

    def _explanation(self, message: messages.GetExplanation, now: timedelta) -> WhyAnswer | None:
        return explanations.why(self._scheduler, message.job_id, now)

    def _overview(self, _message: messages.GetOverview, now: timedelta) -> Overview:
        overview = explanations.overview(
            self._scheduler,
            self._platform.name,
            now,
            state_reachable=self._authority.current() is Authority.FULL,
        )
        overview.level = self._feature_levels.level_line(now)
        overview.notes += self._zone_observer.notes(now)
        overview.notes += self._record_loader.unreadable.notes()
        overview.notes.sort()
        return overview
