"""One controller: its servers, its part in the election, and the leader's actor while it leads."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import Any

import curio

from micadeal.actor import MailboxFullError, keep_running
from micadeal.clock import ZERO, monotonic, seconds, utc_now
from micadeal.controller.api.jobs import CancellationSpread, JobApi
from micadeal.controller.background_tasks import poll_forever
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.follower_leases import STATE_CONTACT_TIMEOUT, FollowerLeases
from micadeal.controller.leader import Leader
from micadeal.controller.messages import (
    GetExplanation,
    GetOverview,
    GetProgress,
    HasRemainingTasks,
    HeartbeatReceived,
    HeartbeatReply,
    JobCancelled,
    LeaderLeaseExtended,
    MayTasksStart,
    PeerStatus,
    PrepareShutdown,
)
from micadeal.controller.peer_links import PeerLinks
from micadeal.fleet.cloud import Cloud
from micadeal.fleet.heartbeat_routing import HeartbeatRoute, HeartbeatRouter
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.http.network import Network, TcpNetwork
from micadeal.leadership.election import (
    Elected,
    Election,
    LeaderLeaseRenewed,
    LeaderLockRead,
    LeaderObserved,
    LeadershipLost,
)
from micadeal.leadership.follower_leases import RenewalTiming
from micadeal.operator.options import Options
from micadeal.operator.platform import Platform
from micadeal.operator.script import check_highest_level, policy_from_values
from micadeal.rollout.feature_level import Build, FeatureLevel
from micadeal.scheduling.cluster_state import lease_expiry
from micadeal.schema.keys import SETTINGS
from micadeal.state.service import (
    ConflictError,
    RequestRejectedError,
    StateService,
    StateServiceError,
    Urgency,
)
from micadeal.timeouts import sleep
from micadeal.wire.cloud import MachineType
from micadeal.wire.codec import MessageFormatError, convert, decode
from micadeal.wire.peers import (
    CancellationNotice,
    Counts,
    Overview,
    Ping,
    Pong,
    Relay,
    Relayed,
    WhyAnswer,
)
from micadeal.wire.state import Condition, Put, SettingsRecord
from micadeal.wire.workers import Heartbeat, HeartbeatResponse, Redirect

log = logging.getLogger(__name__)

REPORT_TIME = seconds(3)
ASK_TIME = seconds(1.5)
#: Without an answer of the state service for this long, a controller whose peers have one is of
#: no use to users.
CONTACT_TIME = seconds(5)
#: What a peer's touch with it must not be older than.  Controllers lose touch up to two seconds
#: apart in an outage that all share (the hold of an idle one's watch); with a longer time the first
#: would drop out, and the balancer would keep it out after the outage is over.
PEER_CONTACT_TIME = seconds(2.5)
RETRY = seconds(1)
#: How long a cancellation waits for the last start of its job to be heard of, and how often it
#: looks: within the time that a notice has.
START_TIME = seconds(0.6)
START_LOOK = seconds(0.05)
#: So many wait at once: the others' connections are needed for pings, and they are asked again.
MOST_SETTLING = 30
CATALOG_EVERY = seconds(300)
#: A worker's report is held for so long at most while the next leader is being elected, and for so
#: much of a lease: workers give an answer up after 4 s, and have more controllers to try in time.
HOLD_TIME = seconds(2)
HOLD_SHARE = 1 / 7
HOLD_LOOK = seconds(0.2)
#: How often a process looks whether it is asked to end, and how long it then writes what is under
#: way, and waits for the seat to be left.
END_LOOK = seconds(0.2)
END_TIME = seconds(2)
#: Reports held at once; more are refused, as all are where no election can succeed.
MOST_HELD = 1000


class Controller:
    def __init__(
        self,
        platform: Platform,
        network: Network | None = None,
        options: Options | None = None,
        build: Build | None = None,
    ) -> None:
        """``build``: what this program can read and serve; None: all that it can."""
        self._network = network or TcpNetwork()
        self._platform = platform
        self._state = StateService(
            platform.state_address, platform.state_limits, platform.sure_limits, self._network
        )
        self._cloud = Cloud(platform.cloud_address, platform.cloud_rps, self._network)
        self._timing = _timing(platform, options or Options())
        self._follower_leases: FollowerLeases | None = None
        if self._timing is not None:
            peers = [peer.name for peer in platform.peers]
            self._follower_leases = FollowerLeases(peers, self._timing, monotonic())
        now = monotonic()
        self._feature_levels = FeatureLevels(
            platform.name, [peer.name for peer in platform.peers], now, build
        )
        self._peer_links = PeerLinks(
            platform.name,
            platform.peers,
            self._network,
            self._follower_leases,
            self._feature_levels,
            self._state_reachable,
            self._reading,
        )
        self._job_api = JobApi(
            self._state, platform.teams, self._spread_cancellation, platform.workers.cancel_timeout
        )
        self._heartbeat_router = HeartbeatRouter()
        self._election = Election(
            platform.name,
            self._feature_levels.process,
            utc_now().timestamp(),
            self._state,
            self._on_election,
            lambda: self._feature_levels.election_delay(monotonic()),
        )
        self._leader_actor: Leader | None = None
        self._term_task: Any = None
        self._leader: str | None = None
        self._peer_names = {peer.name for peer in platform.peers}
        #: The token of the leader last seen; 0: none was.
        self._leader_token = 0
        #: Cancellations that the leader's actor had no room for.
        self._to_pass_on: list[str] = []
        self._retiring = False
        #: Reports that are held until a leader is known.
        self._held = 0
        #: Cancellations that wait for the last start of their job to be heard of.
        self._settling = 0

    async def run(self) -> None:
        most = self._platform.max_connections
        api = self._network.server(self._platform.listen, self._serve_api, int(most * 0.7))
        mesh = self._network.server(self._platform.mesh, self._serve_mesh, int(most * 0.1))
        async with curio.TaskGroup() as group:
            for name, work in (
                ("users' server", api.run),
                ("mesh server", mesh.run),
                ("election", self._election.run),
                ("mesh", self._run_mesh),
                ("catalog", self._catalog),
            ):
                await group.spawn(keep_running, name, work)

    async def serve(self, asked_to_end: Callable[[], bool]) -> None:
        """Run until we are asked to end, then hand over."""
        await curio.spawn(self.run, daemon=True)
        while not asked_to_end():
            await sleep(END_LOOK)
        await self.retire()

    async def retire(self) -> None:
        """Take no more work, write what is under way and leave the seat to the next leader."""
        log.info("this process ends")
        self._retiring = True
        until = monotonic() + END_TIME
        while self._leader_actor is not None and monotonic() < until:
            try:
                if await self._leader_actor.ask(PrepareShutdown(), ASK_TIME):
                    break
            except (MailboxFullError, TimeoutError):
                pass
            await sleep(END_LOOK)
        self._election.retire()
        while self._leader_actor is not None and monotonic() < until + END_TIME:
            await sleep(END_LOOK)

    async def _run_mesh(self) -> None:
        await self._peer_links.run(self._on_pong)

    async def _catalog(self) -> None:
        """Followers need the machine types to judge submissions; they change rarely."""

        async def told(types: list[MachineType]) -> None:
            self._job_api.set_catalog(types)

        await poll_forever("catalog", self._cloud.catalog, told, CATALOG_EVERY)

    # -- election --------------------------------------------------------------------------

    async def _on_election(
        self, event: Elected | LeaderLeaseRenewed | LeadershipLost | LeaderObserved | LeaderLockRead
    ) -> None:
        match event:
            case LeaderLockRead(leader_lock):
                self._feature_levels.seen(leader_lock)
            case Elected(term, leader_lock):
                self._feature_levels.seen(leader_lock)
                self._set_leader(self._platform.name)
                self._leader_actor = Leader(
                    self._platform,
                    self._state,
                    self._cloud,
                    term,
                    self._job_api.types,
                    self._election.resign,
                    self._network,
                    self._feature_levels,
                    self._timing,
                    () if self._follower_leases is None else self._follower_leases.told(),
                    self._job_api.over,
                    self._job_api.all_started(),
                )
                self._peer_links.leading_token = term.token
                self._term_task = await curio.spawn(self._leader_actor.run, daemon=True)
            case LeaderLeaseRenewed(_, valid_until):
                await self._tell(LeaderLeaseExtended(valid_until))
            case LeadershipLost():
                self._leader_actor = None
                # The next term begins with reading all that is recorded.
                self._to_pass_on.clear()
                self._peer_links.leading_token = 0
                self._set_leader(None)
                if self._term_task is not None:
                    await self._term_task.cancel(blocking=False)
            case LeaderObserved(controller, token):
                if token >= self._leader_token:
                    self._set_leader(controller)
                    self._leader_token = token

    def _hear_leader(self, name: str, token: int) -> None:
        """A controller says that it leads a term: also one that can't read that for itself learns
        so of it.  Terms only grow, so nothing that was held up takes us back.

        Guards against two that answer workers: one that is refused by the state service alone would
        go on in its past term, and send workers to one that is gone.  Not before the later leader
        has read its records: in an outage that begins with its first reads nobody would answer
        workers, and all tasks would end with their leases.
        """
        if token < self._leader_token or name not in self._peer_names:
            return
        if self._leader_actor is not None:
            if token > self._leader_actor.token:
                self._election.resign(f"{name} leads the later term {token}")
            return
        self._leader_token = token
        self._set_leader(name)

    def _set_leader(self, name: str | None) -> None:
        if name != self._leader:
            log.info("leader: %s", name)
        self._leader = name
        self._peer_links.leader = name

    async def _tell(self, message: Any) -> bool:
        """Whether the leader's actor will get it, if there is one."""
        if self._leader_actor is not None:
            try:
                await self._leader_actor.tell(message)
            except MailboxFullError:
                log.warning("the leader's mailbox is full")
                return False
        return True

    async def _pass_on(self, cancelled: Iterable[str]) -> bool:
        """Tell the leader's actor of cancellations; whether it will get all that are known.

        Guards ``ran_cancelled``: one that found the mailbox full is kept, since our list has it
        already and nobody would tell of it again.
        """
        self._to_pass_on += cancelled
        while self._to_pass_on:
            # Taken off first: others may pass on meanwhile.
            job_id = self._to_pass_on.pop(0)
            if not await self._tell(JobCancelled(job_id)):
                self._to_pass_on.insert(0, job_id)
                return False
        return True

    async def _on_pong(self, name: str, pong: Pong, cancelled: list[str]) -> None:
        for job_id in cancelled:
            self._job_api.over(job_id)
        # The term may end while an answer is waited for.
        leader_actor = self._leader_actor
        if leader_actor is not None:
            if await self._pass_on(cancelled):
                # Only now: it may say that every cancellation is known.
                await self._tell(self._peer_news())
            progress = await leader_actor.ask(GetProgress(), ASK_TIME)
            if not leader_actor.reading:
                self._job_api.set_counts(progress.counts, progress.all_started)
            self._job_api.set_cascaded(progress.cascaded)
        elif pong.leading and name == self._leader:
            self._job_api.set_counts(pong.counts, pong.all_started)
            self._job_api.set_cascaded(self._peer_links.cascaded(name))

    def _peer_news(self) -> PeerStatus:
        if self._follower_leases is None:
            return PeerStatus(self._peer_links.contacts())
        return PeerStatus(
            self._peer_links.contacts(),
            self._follower_leases.views(),
            self._follower_leases.cancellations_known_until(monotonic()),
        )

    def _reading(self) -> bool:
        """Whether we lead and have not read the records yet."""
        return self._leader_actor is not None and self._leader_actor.reading

    def _state_reachable(self) -> bool:
        reachability = self._state.answered
        return reachability is not None and monotonic() - reachability < STATE_CONTACT_TIMEOUT

    async def _spread_cancellation(self, job_id: str) -> CancellationSpread:
        """Make a cancellation known to the leader and to the others."""
        needed = 0
        if self._follower_leases is not None and self._timing is not None:
            self._follower_leases.note(job_id, monotonic())
            needed = self._timing.majority - 1
        leader_actor = self._leader_actor
        if leader_actor is not None:
            await self._pass_on([job_id])
        listed = await self._peer_links.notify_cancel(job_id, needed)
        if len(listed) >= needed:
            if self._leader_actor is not None:
                starts = await self._may_start(job_id)
            elif self._leader in listed:
                starts = listed[self._leader]
            else:
                starts = job_id not in self._job_api.all_started()
            return CancellationSpread(True, not starts and not any(listed.values()))
        # Alone, a leader may say so once nothing of the job is left that anybody could keep alive.
        try:
            left = leader_actor is None or await leader_actor.ask(
                HasRemainingTasks(job_id), ASK_TIME
            )
        except (MailboxFullError, TimeoutError):
            left = True
        return CancellationSpread(not left, not left)

    async def _may_start(self, job_id: str) -> bool:
        """As leader: whether a task of a job that is cancelled may still start.  Waits a little for
        its stops to be heard of."""
        waits = self._settling < MOST_SETTLING
        until = monotonic() + START_TIME
        self._settling += waits
        try:
            while (leader_actor := self._leader_actor) is not None:
                if leader_actor.reading:
                    return job_id not in self._job_api.all_started()
                rest = until - monotonic()
                if rest <= ZERO:
                    return True
                if not await leader_actor.ask(MayTasksStart(job_id), rest):
                    return False
                if not waits:
                    return True
                await sleep(START_LOOK)
            return True
        except (MailboxFullError, TimeoutError):
            return True
        finally:
            self._settling -= waits

    # -- users and workers -----------------------------------------------------------------

    async def _serve_api(self, request: Request) -> Answer:
        path = request.path
        if path == "/checkin":
            return await _only("POST", request, self._on_checkin)
        if path == "/work":
            return await _only("POST", request, self._submit)
        if path == "/ready":
            return await _only("GET", request, self._ready)
        if path == "/overview":
            return await _only("GET", request, self._overview)
        if path == "/settings":
            if request.method == "GET":
                return await self._show_settings()
            return await _only("POST", request, self._apply_settings)
        parts = path.split("/")
        if len(parts) == 3 and parts[1] == "work":
            return await _only("GET", request, self._status)
        if len(parts) == 4 and parts[1] == "work" and parts[3] == "abort":
            return await _only("POST", request, self._cancel)
        if len(parts) == 3 and parts[1] == "why":
            return await _only("GET", request, self._why)
        return error(404, "no such path")

    async def _submit(self, request: Request) -> Answer:
        return self._misfit() or await self._job_api.submit(request.body)

    async def _status(self, request: Request) -> Answer:
        return self._misfit() or await self._job_api.status(request.path.split("/")[2])

    async def _cancel(self, request: Request) -> Answer:
        return self._misfit() or await self._job_api.cancel(request.path.split("/")[2])

    def _misfit(self) -> Answer | None:
        """Refuses users where we can't read, or must not write, what is stored."""
        why = "this process ends" if self._retiring else self._feature_levels.refusal
        return None if why is None else error(503, why, RETRY)

    async def _ready(self, _: Request) -> Answer:
        """Whether users are better served here than elsewhere.

        In an outage that all share, dropping out would only add the balancer's pause.
        """
        if not self._job_api.types:
            return error(503, "the machine types are not known yet")
        if self._retiring or self._feature_levels.misfit is not None:
            return error(503, self._feature_levels.misfit or "this process ends")
        reachability = self._state.answered
        now = monotonic()
        if reachability is not None and now - reachability < CONTACT_TIME:
            return answer(200, {"ready": True})
        elsewhere = self._peer_links.latest_state_contact()
        if elsewhere is not None and now - elsewhere < PEER_CONTACT_TIME:
            return error(503, "no touch with the state service")
        if self._platform.peers and not self._peer_links.reaches():
            # Cut off from both, we can't serve anybody, and others may: only an outage that
            # somebody confirms is one that all share.
            return error(503, "no touch with the state service and the other controllers")
        return answer(200, {"ready": True})

    async def _on_checkin(self, request: Request) -> Answer:
        try:
            heartbeat = decode(Heartbeat, request.body)
        except MessageFormatError as problem:
            return error(400, str(problem))
        tried = self._leader
        answered = await self._answer_heartbeat(heartbeat)
        if answered.status != 503 or not self._state_reachable():
            return answered
        if self._leader_actor is not None and not self._reading():
            return answered
        return await self._hold(heartbeat, tried, answered)

    async def _hold(self, heartbeat: Heartbeat, tried: str | None, refused: Answer) -> Answer:
        """Keep a report that nobody can answer until another leader is known, or we have read the
        records as one, for a short time.

        Guards against seconds without room after a leader's crash: a worker that is refused while
        the election still goes on tries the next controller, and if that one is out of its reach
        it waits for its time-out before it comes to the new leader.  What is held is answered
        later than it was sent, so a lease is at most thought to last longer than it does.
        """
        if self._held >= MOST_HELD:
            return refused
        until = monotonic() + min(HOLD_TIME, self._platform.workers.lease * HOLD_SHARE)
        self._held += 1
        try:
            while monotonic() < until:
                await sleep(HOLD_LOOK)
                if self._reading():
                    continue
                if self._leader_actor is not None:
                    return await self._answer_heartbeat(heartbeat)
                if self._leader not in (None, tried):
                    return await self._answer_heartbeat(heartbeat)
                commands = self._renew_as_follower(heartbeat)
                if commands is not None:
                    return answer(200, commands)
        finally:
            self._held -= 1
        return refused

    def _renew_as_follower(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        if self._follower_leases is None or self._leader_actor is not None:
            return None
        if self._feature_levels.acts_at < FeatureLevel.FENCED:
            # Not all may know of it yet, or some may be about to forget.
            return None
        return self._follower_leases.answer(heartbeat, self._state_reachable(), monotonic())

    async def _answer_heartbeat(self, heartbeat: Heartbeat) -> Answer:
        commands = self._renew_as_follower(heartbeat)
        if commands is not None:
            return answer(200, commands)
        now = monotonic()
        knows = 0 < heartbeat.token == self._leader_token
        leading = self._leader_actor is not None
        way = self._heartbeat_router.way(heartbeat.machine, leading, self._leader, now, knows)
        if way is HeartbeatRoute.HERE:
            reply = await self._submit_heartbeat(heartbeat)
            if reply.status == 503 and self._leader not in (None, self._platform.name):
                return answer(421, Redirect(self._leader))
            return answer(reply.status, reply.body)
        if way is HeartbeatRoute.REDIRECT and self._leader != self._platform.name:
            return answer(421, Redirect(self._leader))
        if way is HeartbeatRoute.RELAY and self._leader not in (None, self._platform.name):
            try:
                relayed = await self._peer_links.relay(heartbeat, self._leader or "")
            except HttpError as problem:
                log.debug("relaying for %s: %s", heartbeat.machine, problem)
                self._heartbeat_router.relay_failed(heartbeat.machine)
                return error(503, "the leader can't be reached")
            if relayed.status == 200:
                self._heartbeat_router.relayed(heartbeat.machine, monotonic())
            return answer(relayed.status, relayed.body)
        return error(503, "no leader")

    async def _submit_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        leader_actor = self._leader_actor
        if leader_actor is None:
            return HeartbeatReply(503)
        try:
            reply = await leader_actor.ask(HeartbeatReceived(heartbeat), REPORT_TIME)
        except (MailboxFullError, TimeoutError):
            return HeartbeatReply(503)
        assert isinstance(reply, HeartbeatReply)
        # The term may have ended while the report waited.
        return reply if self._leader_actor is leader_actor else HeartbeatReply(503)

    # -- operators -------------------------------------------------------------------------

    async def _why(self, request: Request) -> Answer:
        job_id = request.path.split("/")[2]
        found = await self._ask_leader(
            GetExplanation(job_id), "/why", CancellationNotice(job_id), WhyAnswer | None
        )
        if isinstance(found, Answer):
            return found
        return (
            error(404, "not waiting or running: see its status")
            if found is None
            else answer(200, found)
        )

    async def _overview(self, _: Request) -> Answer:
        found = await self._ask_leader(GetOverview(), "/overview", None, Overview)
        return found if isinstance(found, Answer) else answer(200, found)

    async def _show_settings(self) -> Answer:
        try:
            item = await self._state.get(SETTINGS)
        except StateServiceError:
            return error(503, "the state service does not answer", RETRY)
        if item is None:
            return answer(200, SettingsRecord(""))
        return answer(200, convert(SettingsRecord, item.value))

    async def _apply_settings(self, request: Request) -> Answer:
        """The client has evaluated the script; its values are checked again before they count."""
        try:
            sent = decode(SettingsRecord, request.body)
            policy_from_values(sent.values)
            check_highest_level(sent.highest_level)
        except ValueError as problem:
            return error(400, str(problem))
        record = SettingsRecord(sent.script, utc_now().timestamp(), sent.values, sent.highest_level)
        if not self._state.present.fits(record):
            return error(400, "the script is too large for the state service")
        try:
            # Depends on what is there: one without an answer, carried out after a newer one, would
            # bring an old script back.
            item = await self._state.get(SETTINGS)
            known = Condition(SETTINGS, 0 if item is None else item.version)
            await self._state.commit([known], [Put(SETTINGS, record)], Urgency.USER)
        except ConflictError:
            return error(409, "the settings were changed meanwhile: look at them and apply again")
        except RequestRejectedError:
            # Its limits are lower by now than they were when this controller was started.
            return error(400, "the script is too large for the state service")
        except StateServiceError:
            return error(503, "the state service does not answer", RETRY)
        return answer(200, record)

    async def _ask_leader(self, message: Any, path: str, wire: Any, kind: Any) -> Any:
        try:
            if self._leader_actor is not None:
                return await self._leader_actor.ask(message, ASK_TIME)
            if self._leader is None:
                return error(503, "no leader at the moment", RETRY)
            return await self._peer_links.send(self._leader, path, wire, kind, ASK_TIME)
        except (HttpError, TimeoutError, MailboxFullError):
            return error(503, f"the leader {self._leader} does not answer", RETRY)

    # -- controllers -----------------------------------------------------------------------

    async def _serve_mesh(self, request: Request) -> Answer:
        handlers: dict[str, Callable[[Request], Awaitable[Answer]]] = {
            "/ping": self._on_ping,
            "/relay": self._on_relay,
            "/notice": self._on_notice,
            "/why": self._on_why,
            "/overview": self._on_overview,
        }
        handler = handlers.get(request.path)
        if handler is None:
            return error(404, "no such path")
        try:
            return await _only("POST", request, handler)
        except MessageFormatError as problem:
            log.warning("a message of a controller to %s is refused: %s", request.path, problem)
            return error(400, str(problem))
        except (MailboxFullError, TimeoutError) as problem:
            return error(503, str(problem) or type(problem).__name__)

    async def _on_ping(self, request: Request) -> Answer:
        ping = decode(Ping, request.body)
        self._feature_levels.told(ping.leading_token, ping.process)
        if ping.leading_token > 0 and not ping.reading:
            self._hear_leader(ping.controller, ping.leading_token)
        counts: list[Counts] = []
        all_started: list[str] = []
        cascade_age = None
        if ping.wants_counts and self._leader_actor is not None:
            progress = await self._leader_actor.ask(GetProgress(), timedelta(milliseconds=500))
            # Before the records have come: as the leader before told them.
            if self._leader_actor.reading:
                counts, all_started = self._job_api.counts, list(self._job_api.all_started())
            else:
                counts, all_started = progress.counts, progress.all_started
            if progress.cascaded is not None:
                cascade_age = (monotonic() - progress.cascaded).total_seconds() * 1000
        word = None
        if self._follower_leases is not None:
            leading = self._leader_actor is not None
            word = self._follower_leases.word(ping, leading, self._state_reachable(), monotonic())
        reachability = self._state.answered
        age = None if reachability is None else (monotonic() - reachability).total_seconds() * 1000
        return answer(
            200,
            Pong(
                self._platform.name,
                age,
                self._leader_actor is not None,
                (monotonic() - self._job_api.last_cancel).total_seconds() * 1000,
                self._leader,
                counts,
                self._peer_links.reaches(),
                cascade_age,
                word,
                self._feature_levels.introduction(monotonic()),
                all_started,
            ),
        )

    async def _on_relay(self, request: Request) -> Answer:
        relay = decode(Relay, request.body)
        if self._leader_actor is None and self._leader not in (None, self._platform.name):
            try:
                return answer(
                    200, await self._peer_links.relay(relay.heartbeat, self._leader or "", 0)
                )
            except HttpError as problem:
                return error(503, str(problem))
        reply = await self._submit_heartbeat(relay.heartbeat)
        return answer(200, Relayed(reply.status, reply.body))

    async def _on_notice(self, request: Request) -> Answer:
        job_id = decode(CancellationNotice, request.body).job_id
        if self._follower_leases is not None:
            self._follower_leases.note(job_id, monotonic())
        self._job_api.over(job_id)
        if self._leader_actor is None:
            return answer(200, True)
        await self._pass_on([job_id])
        return answer(200, not await self._may_start(job_id))

    async def _on_why(self, request: Request) -> Answer:
        if self._leader_actor is None:
            return error(503, "not leading")
        job_id = decode(CancellationNotice, request.body).job_id
        return answer(200, await self._leader_actor.ask(GetExplanation(job_id), ASK_TIME))

    async def _on_overview(self, _: Request) -> Answer:
        if self._leader_actor is None:
            return error(503, "not leading")
        return answer(200, await self._leader_actor.ask(GetOverview(), ASK_TIME))


def _timing(platform: Platform, options: Options) -> RenewalTiming | None:
    """Of standing in for a leader; None if that is switched off, or could not be safe here."""
    workers = platform.workers
    timing = RenewalTiming(lease_expiry(workers), workers.cancel_timeout, 1 + len(platform.peers))
    return timing if options.renew_leases_as_follower and timing.possible else None


async def _only(
    method: str, request: Request, handler: Callable[[Request], Awaitable[Answer]]
) -> Answer:
    if request.method != method:
        return error(405, f"only {method} here")
    return await handler(request)
