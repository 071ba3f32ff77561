"""Answers heartbeats: as leader, by redirect or relay, or as a follower that renews leases."""

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
#: A heartbeat is held during an election for at most this time, or for this share of a worker's
#: lease if that is shorter.  Workers time out after 4 s and need time to try other controllers.
MAX_HOLD_TIME = seconds(2)
MAX_HOLD_LEASE_SHARE = 1 / 7
HOLD_POLL_INTERVAL = seconds(0.2)
#: Heartbeats held concurrently; further ones are refused immediately.  No heartbeat is held while
#: the state service is unreachable, since no election can succeed then.
MAX_HELD_HEARTBEATS = 1000

_OK = HTTPStatus.OK.value
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value


class HeartbeatApi:
    """Serves ``POST /checkin``, and heartbeats that other controllers relay."""

    def __init__(
        self,
        worker_lease: timedelta,
        leader: KnownLeader,
        peer_links: PeerLinks,
        follower_leases: FollowerLeases | None,
        feature_levels: FeatureLevels,
        state_contact: StateContact,
    ) -> None:
        """``follower_leases`` is None if followers never renew leases."""
        self._leader = leader
        self._peer_links = peer_links
        self._follower_leases = follower_leases
        self._feature_levels = feature_levels
        self._state_contact = state_contact
        self._router = HeartbeatRouter()
        self._hold_timeout = min(MAX_HOLD_TIME, worker_lease * MAX_HOLD_LEASE_SHARE)
        self._held_count = 0

    async def receive(self, request: Request) -> Answer:
        """Answer a worker's heartbeat."""
        try:
            heartbeat = decode(Heartbeat, request.body)
        except MessageFormatError as problem:
            return error(400, str(problem))
        tried_leader = self._leader.name
        response = await self._answer(heartbeat)
        if (
            response.status != _UNAVAILABLE
            or not self._state_contact.reachable()
            or (self._leader.actor is not None and not self._leader.loading)
        ):
            return response
        return await self._hold(heartbeat, tried_leader, response)

    async def submit(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Answer a heartbeat by this controller's leader actor, if it leads."""
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
        """Answer in place of an unreachable leader; return None if that is not allowed."""
        if self._follower_leases is None or self._leader.actor is not None:
            return None
        if self._feature_levels.effective_level < FeatureLevel.FENCED:
            # Some controllers may run a version without lease renewal by followers, or may be
            # about to be downgraded to one.
            return None
        return self._follower_leases.renew(heartbeat, self._state_contact.reachable(), monotonic())

    async def _hold(
        self, heartbeat: Heartbeat, tried_leader: str | None, refusal: Answer
    ) -> Answer:
        """Hold a heartbeat for a short time until a controller can answer it.

        The controller that can answer is a new leader other than ``tried_leader``, this controller
        once it leads and has read the records, or this controller as a follower that may renew
        leases.  If there is none in time, the answer is ``refusal``.

        Guards against seconds without capacity after a leader's crash: a worker that is refused
        during the election tries the next controller, and if it can't reach that one, it waits for
        its timeout before it gets to the new leader.  Holding is safe for leases: a worker
        counts its lease from the sending, so a late answer at most makes a controller assume that
        the lease lasts longer than it does.
        """
        if self._held_count >= MAX_HELD_HEARTBEATS:
            return refusal
        deadline = monotonic() + self._hold_timeout
        self._held_count += 1
        try:
            while monotonic() < deadline:
                await sleep(HOLD_POLL_INTERVAL)
                if self._leader.loading:
                    continue
                if self._leader.actor is not None or self._leader.name not in (None, tried_leader):
                    return await self._answer(heartbeat)
                commands = self._renew_as_follower(heartbeat)
                if commands is not None:
                    return answer(200, commands)
        finally:
            self._held_count -= 1
        return refusal
