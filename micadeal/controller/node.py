"""One controller: its servers, its part in the election, and the leader's actor while it leads."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import Any

import curio

from micadeal.actor import Overloaded, keep_running
from micadeal.clock import ZERO, seconds, steady, wall
from micadeal.controller.desk import Desk, Spread
from micadeal.controller.dispatcher import Dispatcher
from micadeal.controller.helpers import keep_reading
from micadeal.controller.levels import Levels
from micadeal.controller.mesh import Mesh
from micadeal.controller.messages import (
    CancelNotice,
    Extended,
    LeftWanted,
    OverviewWanted,
    PeerNews,
    ProgressWanted,
    Reply,
    ReportIn,
    Retire,
    StartsWanted,
    WhyWanted,
)
from micadeal.controller.standing import TOUCH, Standing
from micadeal.fleet.cloud import Cloud
from micadeal.fleet.gate import Gate, Way
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.http.network import Network, TcpNetwork
from micadeal.leadership.election import (
    Deposed,
    Elected,
    Election,
    LeaderSeen,
    Renewed,
    SeatSeen,
)
from micadeal.leadership.standin import Timing
from micadeal.operator.options import Options
from micadeal.operator.platform import Platform
from micadeal.operator.script import check_highest_level, policy_from_values
from micadeal.rollout.levels import Build, Level
from micadeal.scheduling.cluster import lease_over
from micadeal.state.service import Conflict, Refused, StateError, StateService, Urgency
from micadeal.stored.keys import SETTINGS
from micadeal.waiting import sleep
from micadeal.wire.cloud import MachineType
from micadeal.wire.codec import BadMessage, convert, decode
from micadeal.wire.mesh import Counts, Notice, Overview, Ping, Pong, Relay, Relayed, WhyAnswer
from micadeal.wire.state import Condition, Put, SettingsRecord
from micadeal.wire.workers import Orders, Redirect, Report

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


class Node:
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
        self._standing: Standing | None = None
        if self._timing is not None:
            peers = [peer.name for peer in platform.peers]
            self._standing = Standing(peers, self._timing, steady())
        now = steady()
        self._levels = Levels(platform.name, [peer.name for peer in platform.peers], now, build)
        self._mesh = Mesh(
            platform.name,
            platform.peers,
            self._network,
            self._standing,
            self._levels,
            self._in_touch,
            self._reading,
        )
        self._desk = Desk(self._state, platform.teams, self._spread, platform.workers.cancel)
        self._gate = Gate()
        self._election = Election(
            platform.name,
            self._levels.process,
            wall().timestamp(),
            self._state,
            self._on_election,
            lambda: self._levels.deference(steady()),
        )
        self._dispatcher: Dispatcher | None = None
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
        until = steady() + END_TIME
        while self._dispatcher is not None and steady() < until:
            try:
                if await self._dispatcher.ask(Retire(), ASK_TIME):
                    break
            except (Overloaded, TimeoutError):
                pass
            await sleep(END_LOOK)
        self._election.retire()
        while self._dispatcher is not None and steady() < until + END_TIME:
            await sleep(END_LOOK)

    async def _run_mesh(self) -> None:
        await self._mesh.run(self._on_pong)

    async def _catalog(self) -> None:
        """Followers need the machine types to judge submissions; they change rarely."""

        async def told(types: list[MachineType]) -> None:
            self._desk.set_catalog(types)

        await keep_reading("catalog", self._cloud.catalog, told, CATALOG_EVERY)

    # -- election --------------------------------------------------------------------------

    async def _on_election(
        self, event: Elected | Renewed | Deposed | LeaderSeen | SeatSeen
    ) -> None:
        match event:
            case SeatSeen(seat):
                self._levels.seen(seat)
            case Elected(term, seat):
                self._levels.seen(seat)
                self._set_leader(self._platform.name)
                self._dispatcher = Dispatcher(
                    self._platform,
                    self._state,
                    self._cloud,
                    term,
                    self._desk.types,
                    self._election.resign,
                    self._network,
                    self._levels,
                    self._timing,
                    () if self._standing is None else self._standing.told(),
                    self._desk.over,
                    self._desk.all_started(),
                )
                self._mesh.leading_token = term.token
                self._term_task = await curio.spawn(self._dispatcher.run, daemon=True)
            case Renewed(_, valid_until):
                await self._tell(Extended(valid_until))
            case Deposed():
                self._dispatcher = None
                # The next term begins with reading all that is recorded.
                self._to_pass_on.clear()
                self._mesh.leading_token = 0
                self._set_leader(None)
                if self._term_task is not None:
                    await self._term_task.cancel(blocking=False)
            case LeaderSeen(controller, token):
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
        if self._dispatcher is not None:
            if token > self._dispatcher.token:
                self._election.resign(f"{name} leads the later term {token}")
            return
        self._leader_token = token
        self._set_leader(name)

    def _set_leader(self, name: str | None) -> None:
        if name != self._leader:
            log.info("leader: %s", name)
        self._leader = name
        self._mesh.leader = name

    async def _tell(self, message: Any) -> bool:
        """Whether the leader's actor will get it, if there is one."""
        if self._dispatcher is not None:
            try:
                await self._dispatcher.tell(message)
            except Overloaded:
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
            if not await self._tell(CancelNotice(job_id)):
                self._to_pass_on.insert(0, job_id)
                return False
        return True

    async def _on_pong(self, name: str, pong: Pong, cancelled: list[str]) -> None:
        for job_id in cancelled:
            self._desk.over(job_id)
        # The term may end while an answer is waited for.
        dispatcher = self._dispatcher
        if dispatcher is not None:
            if await self._pass_on(cancelled):
                # Only now: it may say that every cancellation is known.
                await self._tell(self._peer_news())
            progress = await dispatcher.ask(ProgressWanted(), ASK_TIME)
            if not dispatcher.reading:
                self._desk.set_counts(progress.counts, progress.all_started)
            self._desk.set_cascaded(progress.cascaded)
        elif pong.leading and name == self._leader:
            self._desk.set_counts(pong.counts, pong.all_started)
            self._desk.set_cascaded(self._mesh.cascaded(name))

    def _peer_news(self) -> PeerNews:
        if self._standing is None:
            return PeerNews(self._mesh.contacts())
        return PeerNews(
            self._mesh.contacts(),
            self._standing.views(),
            self._standing.all_cancellations_by(steady()),
        )

    def _reading(self) -> bool:
        """Whether we lead and have not read the records yet."""
        return self._dispatcher is not None and self._dispatcher.reading

    def _in_touch(self) -> bool:
        contact = self._state.answered
        return contact is not None and steady() - contact < TOUCH

    async def _spread(self, job_id: str) -> Spread:
        """Make a cancellation known to the leader and to the others."""
        needed = 0
        if self._standing is not None and self._timing is not None:
            self._standing.note(job_id, steady())
            needed = self._timing.majority - 1
        dispatcher = self._dispatcher
        if dispatcher is not None:
            await self._pass_on([job_id])
        listed = await self._mesh.notify_cancel(job_id, needed)
        if len(listed) >= needed:
            if self._dispatcher is not None:
                starts = await self._may_start(job_id)
            elif self._leader in listed:
                starts = listed[self._leader]
            else:
                starts = job_id not in self._desk.all_started()
            return Spread(True, not starts and not any(listed.values()))
        # Alone, a leader may say so once nothing of the job is left that anybody could keep alive.
        try:
            left = dispatcher is None or await dispatcher.ask(LeftWanted(job_id), ASK_TIME)
        except (Overloaded, TimeoutError):
            left = True
        return Spread(not left, not left)

    async def _may_start(self, job_id: str) -> bool:
        """As leader: whether a task of a job that is cancelled may still start.  Waits a little for
        its stops to be heard of."""
        waits = self._settling < MOST_SETTLING
        until = steady() + START_TIME
        self._settling += waits
        try:
            while (dispatcher := self._dispatcher) is not None:
                if dispatcher.reading:
                    return job_id not in self._desk.all_started()
                rest = until - steady()
                if rest <= ZERO:
                    return True
                if not await dispatcher.ask(StartsWanted(job_id), rest):
                    return False
                if not waits:
                    return True
                await sleep(START_LOOK)
            return True
        except (Overloaded, TimeoutError):
            return True
        finally:
            self._settling -= waits

    # -- users and workers -----------------------------------------------------------------

    async def _serve_api(self, request: Request) -> Answer:
        path = request.path
        if path == "/checkin":
            return await _only("POST", request, self._checkin)
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
        return self._misfit() or await self._desk.submit(request.body)

    async def _status(self, request: Request) -> Answer:
        return self._misfit() or await self._desk.status(request.path.split("/")[2])

    async def _cancel(self, request: Request) -> Answer:
        return self._misfit() or await self._desk.cancel(request.path.split("/")[2])

    def _misfit(self) -> Answer | None:
        """Refuses users where we can't read, or must not write, what is stored."""
        why = "this process ends" if self._retiring else self._levels.refusal
        return None if why is None else error(503, why, RETRY)

    async def _ready(self, _: Request) -> Answer:
        """Whether users are better served here than elsewhere.

        In an outage that all share, dropping out would only add the balancer's pause.
        """
        if not self._desk.types:
            return error(503, "the machine types are not known yet")
        if self._retiring or self._levels.misfit is not None:
            return error(503, self._levels.misfit or "this process ends")
        contact = self._state.answered
        now = steady()
        if contact is not None and now - contact < CONTACT_TIME:
            return answer(200, {"ready": True})
        elsewhere = self._mesh.latest_state_contact()
        if elsewhere is not None and now - elsewhere < PEER_CONTACT_TIME:
            return error(503, "no touch with the state service")
        if self._platform.peers and not self._mesh.reaches():
            # Cut off from both, we can't serve anybody, and others may: only an outage that
            # somebody confirms is one that all share.
            return error(503, "no touch with the state service and the other controllers")
        return answer(200, {"ready": True})

    async def _checkin(self, request: Request) -> Answer:
        try:
            report = decode(Report, request.body)
        except BadMessage as problem:
            return error(400, str(problem))
        tried = self._leader
        answered = await self._answer_report(report)
        if answered.status != 503 or not self._in_touch():
            return answered
        if self._dispatcher is not None and not self._reading():
            return answered
        return await self._hold(report, tried, answered)

    async def _hold(self, report: Report, tried: str | None, refused: Answer) -> Answer:
        """Keep a report that nobody can answer until another leader is known, or we have read the
        records as one, for a short time.

        Guards against seconds without room after a leader's crash: a worker that is refused while
        the election still goes on tries the next controller, and if that one is out of its reach
        it waits for its time-out before it comes to the new leader.  What is held is answered
        later than it was sent, so a lease is at most thought to last longer than it does.
        """
        if self._held >= MOST_HELD:
            return refused
        until = steady() + min(HOLD_TIME, self._platform.workers.lease * HOLD_SHARE)
        self._held += 1
        try:
            while steady() < until:
                await sleep(HOLD_LOOK)
                if self._reading():
                    continue
                if self._dispatcher is not None:
                    return await self._answer_report(report)
                if self._leader not in (None, tried):
                    return await self._answer_report(report)
                orders = self._stand_in(report)
                if orders is not None:
                    return answer(200, orders)
        finally:
            self._held -= 1
        return refused

    def _stand_in(self, report: Report) -> Orders | None:
        if self._standing is None or self._dispatcher is not None:
            return None
        if self._levels.acts_at < Level.FENCED:
            # Not all may know of it yet, or some may be about to forget.
            return None
        return self._standing.answer(report, self._in_touch(), steady())

    async def _answer_report(self, report: Report) -> Answer:
        orders = self._stand_in(report)
        if orders is not None:
            return answer(200, orders)
        now = steady()
        knows = 0 < report.token == self._leader_token
        leading = self._dispatcher is not None
        way = self._gate.way(report.machine, leading, self._leader, now, knows)
        if way is Way.HERE:
            reply = await self._take_report(report)
            if reply.status == 503 and self._leader not in (None, self._platform.name):
                return answer(421, Redirect(self._leader))
            return answer(reply.status, reply.body)
        if way is Way.REDIRECT and self._leader != self._platform.name:
            return answer(421, Redirect(self._leader))
        if way is Way.RELAY and self._leader not in (None, self._platform.name):
            try:
                relayed = await self._mesh.relay(report, self._leader or "")
            except HttpError as problem:
                log.debug("relaying for %s: %s", report.machine, problem)
                self._gate.relay_failed(report.machine)
                return error(503, "the leader can't be reached")
            if relayed.status == 200:
                self._gate.relayed(report.machine, steady())
            return answer(relayed.status, relayed.body)
        return error(503, "no leader")

    async def _take_report(self, report: Report) -> Reply:
        dispatcher = self._dispatcher
        if dispatcher is None:
            return Reply(503)
        try:
            reply = await dispatcher.ask(ReportIn(report), REPORT_TIME)
        except (Overloaded, TimeoutError):
            return Reply(503)
        assert isinstance(reply, Reply)
        # The term may have ended while the report waited.
        return reply if self._dispatcher is dispatcher else Reply(503)

    # -- operators -------------------------------------------------------------------------

    async def _why(self, request: Request) -> Answer:
        job_id = request.path.split("/")[2]
        found = await self._ask_leader(WhyWanted(job_id), "/why", Notice(job_id), WhyAnswer | None)
        if isinstance(found, Answer):
            return found
        return (
            error(404, "not waiting or running: see its status")
            if found is None
            else answer(200, found)
        )

    async def _overview(self, _: Request) -> Answer:
        found = await self._ask_leader(OverviewWanted(), "/overview", None, Overview)
        return found if isinstance(found, Answer) else answer(200, found)

    async def _show_settings(self) -> Answer:
        try:
            item = await self._state.get(SETTINGS)
        except StateError:
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
        record = SettingsRecord(sent.script, wall().timestamp(), sent.values, sent.highest_level)
        if not self._state.present.fits(record):
            return error(400, "the script is too large for the state service")
        try:
            # Depends on what is there: one without an answer, carried out after a newer one, would
            # bring an old script back.
            item = await self._state.get(SETTINGS)
            known = Condition(SETTINGS, 0 if item is None else item.version)
            await self._state.commit([known], [Put(SETTINGS, record)], Urgency.USER)
        except Conflict:
            return error(409, "the settings were changed meanwhile: look at them and apply again")
        except Refused:
            # Its limits are lower by now than they were when this controller was started.
            return error(400, "the script is too large for the state service")
        except StateError:
            return error(503, "the state service does not answer", RETRY)
        return answer(200, record)

    async def _ask_leader(self, message: Any, path: str, wire: Any, kind: Any) -> Any:
        try:
            if self._dispatcher is not None:
                return await self._dispatcher.ask(message, ASK_TIME)
            if self._leader is None:
                return error(503, "no leader at the moment", RETRY)
            return await self._mesh.send(self._leader, path, wire, kind, ASK_TIME)
        except (HttpError, TimeoutError, Overloaded):
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
        except BadMessage as problem:
            log.warning("a message of a controller to %s is refused: %s", request.path, problem)
            return error(400, str(problem))
        except (Overloaded, TimeoutError) as problem:
            return error(503, str(problem) or type(problem).__name__)

    async def _on_ping(self, request: Request) -> Answer:
        ping = decode(Ping, request.body)
        self._levels.told(ping.leading_token, ping.process)
        if ping.leading_token > 0 and not ping.reading:
            self._hear_leader(ping.controller, ping.leading_token)
        counts: list[Counts] = []
        all_started: list[str] = []
        cascade_age = None
        if ping.wants_counts and self._dispatcher is not None:
            progress = await self._dispatcher.ask(ProgressWanted(), timedelta(milliseconds=500))
            # Before the records have come: as the leader before told them.
            if self._dispatcher.reading:
                counts, all_started = self._desk.counts, list(self._desk.all_started())
            else:
                counts, all_started = progress.counts, progress.all_started
            if progress.cascaded is not None:
                cascade_age = (steady() - progress.cascaded).total_seconds() * 1000
        word = None
        if self._standing is not None:
            leading = self._dispatcher is not None
            word = self._standing.word(ping, leading, self._in_touch(), steady())
        contact = self._state.answered
        age = None if contact is None else (steady() - contact).total_seconds() * 1000
        return answer(
            200,
            Pong(
                self._platform.name,
                age,
                self._dispatcher is not None,
                (steady() - self._desk.last_cancel).total_seconds() * 1000,
                self._leader,
                counts,
                self._mesh.reaches(),
                cascade_age,
                word,
                self._levels.introduction(steady()),
                all_started,
            ),
        )

    async def _on_relay(self, request: Request) -> Answer:
        relay = decode(Relay, request.body)
        if self._dispatcher is None and self._leader not in (None, self._platform.name):
            try:
                return answer(200, await self._mesh.relay(relay.report, self._leader or "", 0))
            except HttpError as problem:
                return error(503, str(problem))
        reply = await self._take_report(relay.report)
        return answer(200, Relayed(reply.status, reply.body))

    async def _on_notice(self, request: Request) -> Answer:
        job_id = decode(Notice, request.body).job_id
        if self._standing is not None:
            self._standing.note(job_id, steady())
        self._desk.over(job_id)
        if self._dispatcher is None:
            return answer(200, True)
        await self._pass_on([job_id])
        return answer(200, not await self._may_start(job_id))

    async def _on_why(self, request: Request) -> Answer:
        if self._dispatcher is None:
            return error(503, "not leading")
        job_id = decode(Notice, request.body).job_id
        return answer(200, await self._dispatcher.ask(WhyWanted(job_id), ASK_TIME))

    async def _on_overview(self, _: Request) -> Answer:
        if self._dispatcher is None:
            return error(503, "not leading")
        return answer(200, await self._dispatcher.ask(OverviewWanted(), ASK_TIME))


def _timing(platform: Platform, options: Options) -> Timing | None:
    """Of standing in for a leader; None if that is switched off, or could not be safe here."""
    workers = platform.workers
    timing = Timing(lease_over(workers), workers.cancel, 1 + len(platform.peers))
    return timing if options.stand_in and timing.possible else None


async def _only(
    method: str, request: Request, handler: Callable[[Request], Awaitable[Answer]]
) -> Answer:
    if request.method != method:
        return error(405, f"only {method} here")
    return await handler(request)
