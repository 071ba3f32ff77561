"""One controller: its components, its lifecycle and its reactions to election events."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import curio

from micadeal.actor import MailboxFullError, keep_running
from micadeal.clock import monotonic, seconds, utc_now
from micadeal.controller.api.answer_log import AnswerLog
from micadeal.controller.api.cancellation_broadcast import CancellationBroadcaster
from micadeal.controller.api.confirmation_exchange import (
    ConfirmationExchange,
    ConfirmationPublisher,
    ConfirmationRequests,
)
from micadeal.controller.api.heartbeats import HeartbeatApi
from micadeal.controller.api.job_explanations import JobExplainer
from micadeal.controller.api.jobs import JobApi
from micadeal.controller.api.operators import OperatorApi
from micadeal.controller.api.peers import PeerApi, PeerApiConfig
from micadeal.controller.api.public import PublicApi
from micadeal.controller.api.readiness import Readiness
from micadeal.controller.api.settings import SettingsApi
from micadeal.controller.background_tasks import poll_forever
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.controller.known_leader import QUERY_TIMEOUT, KnownLeader
from micadeal.controller.leader import Leader
from micadeal.controller.leader_config import InitialKnowledge, LeaderConfig
from micadeal.controller.messages import (
    GetProgress,
    LeaderLeaseExtended,
    PeerStatus,
    PrepareShutdown,
)
from micadeal.controller.peer_links import PeerLinks
from micadeal.controller.state_contact import StateContact
from micadeal.fleet.cloud import Cloud
from micadeal.http.network import Network, TcpNetwork
from micadeal.leadership.election import (
    Elected,
    Election,
    ElectionEvent,
    LeaderLeaseRenewed,
    LeaderLockRead,
    LeaderObserved,
    LeadershipLost,
)
from micadeal.leadership.follower_leases import RenewalTiming
from micadeal.leadership.term import Term
from micadeal.operator.options import Options
from micadeal.operator.platform import Platform
from micadeal.rollout.feature_level import Build
from micadeal.scheduling.cluster_state import lease_expiry
from micadeal.state.service import StateService
from micadeal.timeouts import sleep
from micadeal.wire.cloud import MachineType
from micadeal.wire.peers import Pong

log = logging.getLogger(__name__)

#: Shares of the platform's connection limit that the two servers accept.  The rest is left for
#: outgoing connections.
PUBLIC_CONNECTIONS_SHARE = 0.7
PEER_CONNECTIONS_SHARE = 0.1
#: Machine types change rarely.
CATALOG_INTERVAL = seconds(300)
#: How often the process checks for a shutdown request.
SHUTDOWN_POLL_INTERVAL = seconds(0.2)
#: How long a shutdown waits for pending writes, and then again for the end of the term.
SHUTDOWN_TIMEOUT = seconds(2)


class Controller:
    """Owns the components of one controller.

    Only this class changes which leader the components know.
    """

    def __init__(
        self,
        platform: Platform,
        network: Network | None = None,
        options: Options | None = None,
        build: Build | None = None,
    ) -> None:
        """Create the controller without starting it.

        ``build`` describes the feature levels that this program reads and serves; None: all that
        it knows.
        """
        self._network = network or TcpNetwork()
        self._platform = platform
        self._state = StateService(
            platform.state_address, platform.state_limits, platform.guaranteed_limits, self._network
        )
        self._state_contact = StateContact(self._state)
        self._cloud = Cloud(platform.cloud_address, platform.cloud_rps, self._network)
        self._leader = KnownLeader(platform.name)
        self._term_task: Any = None
        self._peer_names = [peer.name for peer in platform.peers]
        self._renewal_timing = _renewal_timing(platform, options or Options())
        self._follower_leases = (
            None
            if self._renewal_timing is None
            else FollowerLeases(self._peer_names, self._renewal_timing, monotonic())
        )
        self._feature_levels = self._create_feature_levels(build)
        self._peer_links = self._create_peer_links()
        self._election = self._create_election()
        self._create_apis()

    def _create_feature_levels(self, build: Build | None) -> FeatureLevels:
        """Create the feature level state; subclasses that emulate other versions override this."""
        return FeatureLevels(self._platform.name, self._peer_names, monotonic(), build)

    def _create_peer_links(self) -> PeerLinks:
        return PeerLinks(
            self._platform.name,
            self._platform.peers,
            self._network,
            self._follower_leases,
            self._feature_levels,
            self._state_contact.reachable,
            lambda: self._leader.loading,
        )

    def _create_election(self) -> Election:
        return Election(
            self._platform.name,
            self._feature_levels.process,
            utc_now().timestamp(),
            self._state,
            self._on_election_event,
            lambda: self._feature_levels.election_delay(monotonic()),
        )

    def _create_apis(self) -> None:
        """Create the components that answer requests."""
        platform = self._platform
        self._cancellations = CancellationBroadcaster(
            self._leader,
            self._peer_links,
            self._follower_leases,
            self._all_started,
        )
        requests = ConfirmationRequests(platform.name, self._state)
        self._job_api = JobApi(
            self._state,
            platform.teams,
            self._cancellations.broadcast,
            platform.workers.cancel_timeout,
            requests.add,
        )
        publisher = ConfirmationPublisher(
            self._state, self._job_api.look_up, self._leads_with_unreachable_peers
        )
        self._confirmations = ConfirmationExchange(platform.name, requests, publisher)
        self._readiness = Readiness(
            self._feature_levels,
            self._state_contact,
            self._peer_links,
            has_peers=bool(platform.peers),
            catalog_known=lambda: bool(self._job_api.types),
        )
        heartbeats = HeartbeatApi(
            platform.workers.lease,
            self._leader,
            self._peer_links,
            self._follower_leases,
            self._feature_levels,
            self._state_contact,
        )
        explainer = JobExplainer(self._state)
        self._public_api = self._create_public_api(heartbeats, explainer)
        self._peer_api = PeerApi(self._peer_api_config(heartbeats, explainer))

    def _create_public_api(self, heartbeats: HeartbeatApi, explainer: JobExplainer) -> PublicApi:
        answer_log = AnswerLog(self._platform.name)
        return PublicApi(
            heartbeats,
            self._job_api,
            self._readiness,
            OperatorApi(self._leader, self._peer_links, explainer, answer_log),
            SettingsApi(self._state),
            answer_log,
        )

    def _peer_api_config(self, heartbeats: HeartbeatApi, explainer: JobExplainer) -> PeerApiConfig:
        return PeerApiConfig(
            leader=self._leader,
            state_contact=self._state_contact,
            peer_links=self._peer_links,
            feature_levels=self._feature_levels,
            follower_leases=self._follower_leases,
            heartbeats=heartbeats,
            jobs=self._job_api,
            explainer=explainer,
            cancellations=self._cancellations,
            on_leader_announced=self._on_leader_announced,
        )

    def _leads_with_unreachable_peers(self) -> bool:
        """Return whether this controller leads and can't reach all peers."""
        some_unreachable = len(self._peer_links.reachable_peers()) < len(self._peer_names)
        return some_unreachable and self._leader.actor is not None

    def _all_started(self) -> frozenset[str]:
        # Looked up at call time: the job API needs the broadcaster and is created after it.
        return self._job_api.all_started()

    # -- lifecycle -------------------------------------------------------------------------

    async def run(self) -> None:
        """Run all components until cancelled; restart those that fail."""
        platform = self._platform
        public_server = self._network.server(
            platform.api_address,
            self._public_api.serve,
            int(platform.max_connections * PUBLIC_CONNECTIONS_SHARE),
        )
        peer_server = self._network.server(
            platform.peer_address,
            self._peer_api.serve,
            int(platform.max_connections * PEER_CONNECTIONS_SHARE),
        )
        async with curio.TaskGroup() as group:
            for name, work in (
                ("public server", public_server.run),
                ("peer server", peer_server.run),
                ("election", self._election.run),
                ("peer links", self._run_peer_links),
                ("catalog", self._poll_catalog),
                ("confirmations", self._confirmations.run),
            ):
                await group.spawn(keep_running, name, work)

    async def serve(self, shutdown_requested: Callable[[], bool]) -> None:
        """Run until ``shutdown_requested`` returns true, then hand over leadership."""
        await curio.spawn(self.run, daemon=True)
        while not shutdown_requested():
            await sleep(SHUTDOWN_POLL_INTERVAL)
        await self.shut_down()

    async def shut_down(self) -> None:
        """Stop accepting work, finish pending writes and hand over leadership."""
        log.info("shutdown requested: controller=%s", self._platform.name)
        self._readiness.shutting_down = True
        deadline = monotonic() + SHUTDOWN_TIMEOUT
        while self._leader.actor is not None and monotonic() < deadline:
            try:
                if await self._leader.actor.ask(PrepareShutdown(), QUERY_TIMEOUT):
                    break
            except (MailboxFullError, TimeoutError):
                pass
            await sleep(SHUTDOWN_POLL_INTERVAL)
        self._election.shut_down()
        while self._leader.actor is not None and monotonic() < deadline + SHUTDOWN_TIMEOUT:
            await sleep(SHUTDOWN_POLL_INTERVAL)

    async def _run_peer_links(self) -> None:
        await self._peer_links.run(self._on_pong)

    async def _poll_catalog(self) -> None:
        """Poll the machine types, which followers also need to validate submissions."""

        async def publish(machine_types: list[MachineType]) -> None:
            self._job_api.set_catalog(machine_types)

        await poll_forever("catalog", self._cloud.catalog, publish, CATALOG_INTERVAL)

    # -- election --------------------------------------------------------------------------

    async def _on_election_event(self, event: ElectionEvent) -> None:
        """Update the known leader and this controller's own term after an election event."""
        match event:
            case LeaderLockRead(leader_lock):
                self._feature_levels.on_leader_lock_read(leader_lock)
                self._confirmations.on_leader_lock_read(leader_lock)
            case Elected(term, leader_lock):
                self._feature_levels.on_leader_lock_read(leader_lock)
                await self._begin_term(term)
            case LeaderLeaseRenewed(_, valid_until):
                await self._leader.tell(LeaderLeaseExtended(valid_until))
            case LeadershipLost():
                await self._end_term()
            case LeaderObserved(controller, token):
                if token >= self._leader.token:
                    self._set_leader(controller, token)

    async def _begin_term(self, term: Term) -> None:
        self._set_leader(self._platform.name, max(term.token, self._leader.token))
        config = LeaderConfig(
            platform=self._platform,
            state=self._state,
            cloud=self._cloud,
            network=self._network,
            feature_levels=self._feature_levels,
            renewal_timing=self._renewal_timing,
            resign=self._election.resign,
            on_job_ended=self._job_api.note_ended,
        )
        initial_knowledge = InitialKnowledge(
            machine_types=self._job_api.types,
            cancelled_jobs=()
            if self._follower_leases is None
            else self._follower_leases.cancelled_jobs(),
            all_started=self._job_api.all_started(),
        )
        self._leader.actor = Leader(config, term, initial_knowledge)
        self._peer_links.leading_token = term.token
        self._term_task = await curio.spawn(self._leader.actor.run, daemon=True)

    async def _end_term(self) -> None:
        self._leader.actor = None
        self._cancellations.forget_undelivered()
        self._peer_links.leading_token = 0
        self._set_leader(None, self._leader.token)
        if self._term_task is not None:
            await self._term_task.cancel(blocking=False)

    def _on_leader_announced(self, name: str, token: int) -> None:
        """Handle a peer's announcement that it leads the term ``token``.

        The announcement informs a controller that can't read the leader from the state service.
        Tokens only increase, so a delayed message can't restore an earlier leader.

        Guards against two controllers that answer workers.  Without the announcement, a controller
        that alone is refused by the state service would continue its past term, and redirect
        workers to a leader that is gone.  A peer announces itself only after it has read its
        records.  If it announced itself earlier, and an outage began during these reads, no
        controller would answer workers, and all tasks would end with their leases.
        """
        if token < self._leader.token or name not in self._peer_names:
            return
        actor = self._leader.actor
        if actor is not None:
            if token > actor.token:
                self._election.resign(f"{name} leads the later term {token}")
            return
        self._set_leader(name, token)

    def _set_leader(self, name: str | None, token: int) -> None:
        if name != self._leader.name:
            log.info(
                "leader changed: controller=%s previous=%s token=%d", name, self._leader.name, token
            )
        self._leader.name = name
        self._leader.token = token
        self._peer_links.leader = name

    # -- answers to pings ------------------------------------------------------------------

    async def _on_pong(self, name: str, pong: Pong, cancelled: list[str]) -> None:
        """Process a peer's answer to a ping.

        ``cancelled`` lists the jobs whose cancellation this controller did not know before.
        """
        for job_id in cancelled:
            self._job_api.note_ended(job_id)
        self._job_api.merge_cancellation_ages(pong.cancellation_ages or {})
        # The term may end during the awaits below.
        actor = self._leader.actor
        if actor is not None:
            if await self._cancellations.tell_leader(cancelled):
                # Sent after the cancellations: the status may state that all of them are known.
                await self._leader.tell(self._peer_status())
            progress = await actor.ask(GetProgress(), QUERY_TIMEOUT)
            if not actor.loading:
                self._job_api.set_counts(progress.counts, progress.all_started)
            self._job_api.set_cancellations_propagated_until(
                progress.cancellations_propagated_until
            )
        elif pong.leading and name == self._leader.name:
            self._job_api.set_counts(pong.counts, pong.all_started)
            self._job_api.set_cancellations_propagated_until(
                self._peer_links.reported_propagation(name)
            )

    def _peer_status(self) -> PeerStatus:
        if self._follower_leases is None:
            return PeerStatus(self._peer_links.contacts())
        return PeerStatus(
            self._peer_links.contacts(),
            self._follower_leases.views(),
            self._follower_leases.cancellations_known_until(monotonic()),
        )


def _renewal_timing(platform: Platform, options: Options) -> RenewalTiming | None:
    """Return the timing of lease renewal by followers; None if they must not renew leases.

    The option may be off, or the platform's settings may not allow safe renewal.
    """
    workers = platform.workers
    timing = RenewalTiming(lease_expiry(workers), workers.cancel_timeout, 1 + len(platform.peers))
    return timing if options.renew_leases_as_follower and timing.allows_renewal else None
