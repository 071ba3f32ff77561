"""Answers workers' heartbeats: as leader, by redirect or relay, or in place of a lost leader."""

from __future__ import annotations

import logging
from datetime import timedelta
from http import HTTPStatus

from micadeal.actor import MailboxFullError
from micadeal.clock import monotonic, seconds
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.controller.known_leader import KnownLeader
from micadeal.controller.leader import UNAVAILABLE
from micadeal.controller.messages import HeartbeatReceived, HeartbeatReply
from micadeal.controller.peer_links import PeerLinks
from micadeal.controller.state_contact import StateContact
from micadeal.fleet.heartbeat_routing import HeartbeatRoute, HeartbeatRouter
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.timeouts import sleep
from micadeal.wire.codec import MessageFormatError, decode
from micadeal.wire.workers import Heartbeat, HeartbeatResponse, Redirect

log = logging.getLogger(__name__)

#: How long the leader's actor may take to answer a heartbeat.
LEADER_TIMEOUT = seconds(3)
#: How long a heartbeat is held at most while the next leader is being elected: so long, or for
#: this share of a worker's lease if that is less.  Workers give an answer up after 4 s and must
#: have time to try other controllers.
MAX_HOLD_TIME = seconds(2)
MAX_HOLD_LEASE_SHARE = 1 / 7
HOLD_POLL_INTERVAL = seconds(0.2)
#: Heartbeats held at once; more are refused, as all are where no election can succeed.
MAX_HELD_HEARTBEATS = 1000

_OK = HTTPStatus.OK.value
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value


class HeartbeatApi:
    """Serves ``POST /checkin``, and heartbeats that another controller relays."""

    def __init__(
        self,
        worker_lease: timedelta,
        leader: KnownLeader,
        peer_links: PeerLinks,
        follower_leases: FollowerLeases | None,
        feature_levels: FeatureLevels,
        state_contact: StateContact,
    ) -> None:
        """``follower_leases``: None where followers never renew leases."""
        self._leader = leader
        self._peer_links = peer_links
        self._follower_leases = follower_leases
        self._feature_levels = feature_levels
        self._state_contact = state_contact
        self._router = HeartbeatRouter()
        self._hold_timeout = min(MAX_HOLD_TIME, worker_lease * MAX_HOLD_LEASE_SHARE)
        self._held = 0

    async def receive(self, request: Request) -> Answer:
        """Answer a worker's heartbeat."""
        try:
            heartbeat = decode(Heartbeat, request.body)
        except MessageFormatError as problem:
            return error(400, str(problem))
        tried = self._leader.name
        answered = await self._answer(heartbeat)
        if (
            answered.status != _UNAVAILABLE
            or not self._state_contact.reachable()
            or (self._leader.actor is not None and not self._leader.loading)
        ):
            return answered
        return await self._hold(heartbeat, tried, answered)

    async def submit(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Let our own leader's actor answer a heartbeat."""
        actor = self._leader.actor
        if actor is None:
            return UNAVAILABLE
        try:
            reply = await actor.ask(HeartbeatReceived(heartbeat), LEADER_TIMEOUT)
        except (MailboxFullError, TimeoutError):
            return UNAVAILABLE
        assert isinstance(reply, HeartbeatReply)
        # The term may have ended while the heartbeat waited.
        return reply if self._leader.actor is actor else UNAVAILABLE

    async def _answer(self, heartbeat: Heartbeat) -> Answer:
        commands = self._renew_as_follower(heartbeat)
        if commands is not None:
            return answer(200, commands)
        leader = self._leader
        route = self._router.route(
            heartbeat.machine,
            leader.actor is not None,
            leader.name,
            monotonic(),
            has_leader_token=0 < heartbeat.token == leader.token,
        )
        if route is HeartbeatRoute.LOCAL:
            reply = await self.submit(heartbeat)
            if reply.status == _UNAVAILABLE and leader.remote_name is not None:
                return answer(421, Redirect(leader.remote_name))
            return answer(reply.status, reply.body)
        if leader.remote_name is not None:
            if route is HeartbeatRoute.REDIRECT:
                return answer(421, Redirect(leader.remote_name))
            if route is HeartbeatRoute.RELAY:
                return await self._relay(heartbeat, leader.remote_name)
        return error(503, "no leader")

    async def _relay(self, heartbeat: Heartbeat, leader_name: str) -> Answer:
        try:
            relayed = await self._peer_links.relay(heartbeat, leader_name)
        except HttpError as problem:
            log.debug(
                "heartbeat relay failed: machine=%s controller=%s reason=%s",
                heartbeat.machine,
                leader_name,
                problem,
            )
            self._router.record_relay_failure(heartbeat.machine)
            return error(503, "the leader can't be reached")
        if relayed.status == _OK:
            self._router.record_relay(heartbeat.machine, monotonic())
        return answer(relayed.status, relayed.body)

    def _renew_as_follower(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer in place of a leader that can't be reached; None: we must not."""
        if self._follower_leases is None or self._leader.actor is not None:
            return None
        if self._feature_levels.effective_level < FeatureLevel.FENCED:
            # Some controllers may not know yet that leases are renewed by followers, or may be
            # about to return to a version that does not.
            return None
        return self._follower_leases.renew(heartbeat, self._state_contact.reachable(), monotonic())

    async def _hold(self, heartbeat: Heartbeat, tried: str | None, refused: Answer) -> Answer:
        """Hold a heartbeat for a short time until somebody can answer it.

        That is another leader than the one that was ``tried``, or we once we lead and have read the
        records.  If nobody can in that time, the answer is ``refused``.

        Guards against seconds without capacity after a leader's crash: a worker that is refused
        while the election goes on tries the next controller, and if it can't reach that one, it
        waits for its timeout before it comes to the new leader.  The answer comes later after the
        sending than usual, so a lease is at most thought to last longer than it does.
        """
        if self._held >= MAX_HELD_HEARTBEATS:
            return refused
        deadline = monotonic() + self._hold_timeout
        self._held += 1
        try:
            while monotonic() < deadline:
                await sleep(HOLD_POLL_INTERVAL)
                if self._leader.loading:
                    continue
                if self._leader.actor is not None or self._leader.name not in (None, tried):
                    return await self._answer(heartbeat)
                commands = self._renew_as_follower(heartbeat)
                if commands is not None:
                    return answer(200, commands)
        finally:
            self._held -= 1
        return refused
