"""Links to the other controllers: pings, relayed heartbeats and cancellation notices."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any, TypeVar

import curio

from micadeal.clock import monotonic, seconds
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.http.message import HttpError
from micadeal.http.network import HttpClient, Network
from micadeal.leadership.term import PeerContact
from micadeal.operator.platform import Peer
from micadeal.ordered_set import OrderedSet
from micadeal.rollout.membership import PRESENCE_TIMEOUT
from micadeal.timeouts import sleep
from micadeal.wire.codec import MessageFormatError, decode, encode
from micadeal.wire.peers import CancellationNotice, Ping, Pong, Relay, Relayed
from micadeal.wire.workers import Heartbeat

log = logging.getLogger(__name__)

T = TypeVar("T")

PING_INTERVAL = timedelta(seconds=1)
PING_TIMEOUT = timedelta(milliseconds=900)
#: Timeouts of a direct relay, and of one through a third controller.  Their sum must be well below
#: the 4 s for which a worker waits for an answer.
RELAY_TIMEOUT = timedelta(seconds=1.4)
INDIRECT_RELAY_TIMEOUT = RELAY_TIMEOUT * 1.5
NOTICE_TIMEOUT = timedelta(seconds=1)
#: Idle connections kept open to each peer, for pings and for other requests.
PING_CONNECTIONS = 1
REQUEST_CONNECTIONS = 4


#: Called with a peer's name, its answer to a ping, and the jobs that are newly known as cancelled.
PingAnswerListener = Callable[[str, Pong, list[str]], Awaitable[None]]


@dataclass(slots=True)
class _Link:
    """The connections to one peer and its last answer to a ping."""

    peer: Peer
    client: HttpClient
    #: Separate, so that other requests don't delay pings.
    ping_client: HttpClient
    answered_at: timedelta | None = None
    pong: Pong | None = None
    contact: PeerContact | None = None
    #: When the peer last received a response from the state service.
    state_contact_at: timedelta | None = None
    #: If the peer leads: cancellations before this instant have reached all dependent jobs.
    cancellations_propagated_until: timedelta | None = None


@dataclass(frozen=True, slots=True)
class _NoticeAnswer:
    """A peer's answer to a cancellation notice."""

    peer: str
    #: Whether the peer leads and a task of the job may still start; None: it did not answer.
    may_start: bool | None


class PeerLinks:
    """Owns the links to the peers.

    The controller keeps ``leader`` and ``leading_token`` up to date.
    """

    def __init__(
        self,
        name: str,
        peers: tuple[Peer, ...],
        network: Network,
        follower_leases: FollowerLeases | None,
        feature_levels: FeatureLevels,
        state_reachable: Callable[[], bool],
        loading: Callable[[], bool],
    ) -> None:
        """Create the links without connecting.

        ``follower_leases`` is None if renewal by followers is switched off.  ``state_reachable``
        returns whether this controller reaches the state service.  ``loading`` returns whether it
        leads and has not read the records yet.
        """
        self._name = name
        self._follower_leases = follower_leases
        self._feature_levels = feature_levels
        self._state_reachable = state_reachable
        self._loading = loading
        self._links = {
            peer.name: _Link(
                peer,
                network.client(peer.address, REQUEST_CONNECTIONS),
                network.client(peer.address, PING_CONNECTIONS),
            )
            for peer in peers
        }
        #: The name of the current leader; None: unknown.
        self.leader: str | None = None
        #: The token of the term that this controller leads; 0: it does not lead.
        self.leading_token = 0

    # -- pings -----------------------------------------------------------------------------

    async def run(self, listener: PingAnswerListener) -> None:
        """Ping all peers until cancelled; ``listener`` is awaited after every answer."""
        async with curio.TaskGroup() as group:
            for link in self._links.values():
                await group.spawn(self._ping_forever, link, listener)

    async def _ping_forever(self, link: _Link, listener: PingAnswerListener) -> None:
        while True:
            asked_at = monotonic()
            try:
                await self._ping(link, asked_at, listener)
            except (HttpError, MessageFormatError) as problem:
                log.debug("ping failed: controller=%s reason=%s", link.peer.name, problem)
            except Exception:
                # The listener calls many components.  A failure there must not end the pings, by
                # which peers and workers find the leader.
                log.exception("handling of a ping answer failed: controller=%s", link.peer.name)
            await sleep(asked_at + PING_INTERVAL - monotonic())

    async def _ping(self, link: _Link, asked_at: timedelta, listener: PingAnswerListener) -> None:
        leading_token = self.leading_token
        message = Ping(self._name, wants_counts=self.leader == link.peer.name)
        message.leading_token = leading_token
        message.reading = self._loading()
        message.process = self._feature_levels.own_process(asked_at)
        if self._follower_leases is not None:
            self._follower_leases.prepare_ping(
                message, leading_token, self._state_reachable(), asked_at
            )
        status, body = await link.ping_client.request(
            "POST", "/ping", encode(message), timeout=PING_TIMEOUT
        )
        if status != HTTPStatus.OK:
            return
        pong = decode(Pong, body)
        cancelled = self._on_pong(link, pong, asked_at, leading_token)
        await listener(link.peer.name, pong, cancelled)

    def _on_pong(
        self, link: _Link, pong: Pong, asked_at: timedelta, leading_token: int
    ) -> list[str]:
        """Process the answer to a ping; return the jobs that are newly known as cancelled."""
        now = monotonic()
        cancelled: list[str] = []
        self._feature_levels.on_ping_answer(link.peer.name, pong, asked_at, now)
        if self._follower_leases is not None:
            cancelled = self._follower_leases.on_ping_answer(
                link.peer.name, pong.renewal_promise, asked_at, now, leading_token
            )
        link.answered_at, link.pong = now, pong
        if pong.state_age_ms is not None:
            link.state_contact_at = now - _milliseconds(pong.state_age_ms)
        link.contact = PeerContact(asked_at, now - _milliseconds(pong.cancel_age_ms))
        if pong.cascade_age_ms is not None:
            # Counted from the sending of the ping, so a delayed answer does not count as recent.
            link.cancellations_propagated_until = asked_at - _milliseconds(pong.cascade_age_ms)
        return cancelled

    # -- state of the peers ----------------------------------------------------------------

    def reported_propagation(self, leader: str) -> timedelta | None:
        """Return until when ``leader`` reports that cancellations have reached all dependents."""
        link = self._links.get(leader)
        return None if link is None else link.cancellations_propagated_until

    def contacts(self) -> tuple[PeerContact | None, ...]:
        """Return the last contact with each peer; None: there was none."""
        return tuple(link.contact for link in self._links.values())

    def reachable_peers(self) -> list[str]:
        """Return the peers that answered a ping recently."""
        now = monotonic()
        return [
            name
            for name, link in self._links.items()
            if link.answered_at is not None and now - link.answered_at < PRESENCE_TIMEOUT
        ]

    def latest_state_contact(self) -> timedelta | None:
        """Return when a reachable peer last had contact with the state service; None: unknown."""
        reachable = self.reachable_peers()
        contacts = [
            link.state_contact_at
            for name, link in self._links.items()
            if name in reachable and link.state_contact_at is not None
        ]
        return max(contacts, default=None)

    # -- requests --------------------------------------------------------------------------

    async def send(
        self, name: str, path: str, message: Any, answer_type: type[T], timeout: timedelta
    ) -> T:
        """Send ``message`` to a peer and return its answer, decoded as ``answer_type``.

        Raises ``HttpError`` if there is no usable answer.
        """
        link = self._links.get(name)
        if link is None:
            raise HttpError(f"no controller {name}")
        status, body = await link.client.request("POST", path, encode(message), timeout=timeout)
        if status != HTTPStatus.OK:
            raise HttpError(f"{name}: status {status}")
        try:
            return decode(answer_type, body)
        except MessageFormatError as problem:
            raise HttpError(f"{name}: {problem}") from None

    async def relay(self, heartbeat: Heartbeat, leader: str, hops: int = 1) -> Relayed:
        """Forward a worker's heartbeat to the leader, through a third controller if necessary.

        With ``hops`` 0, only the direct connection is used.  Raises ``HttpError`` if there is no
        answer.
        """
        message = Relay(heartbeat, 0)
        if leader in self.reachable_peers() or hops == 0:
            try:
                return await self.send(leader, "/relay", message, Relayed, RELAY_TIMEOUT)
            except HttpError:
                if hops == 0:
                    raise
        for name, link in self._links.items():
            if name == leader or link.pong is None or leader not in link.pong.reaches:
                continue
            if name in self.reachable_peers():
                return await self.send(name, "/relay", message, Relayed, INDIRECT_RELAY_TIMEOUT)
        raise HttpError(f"no way to {leader}")

    async def notify_cancel(self, job_id: str, needed: int) -> dict[str, bool]:
        """Notify all peers of a cancellation.

        Returns the peers that have listed it, each with whether it leads and a task of the job may
        still start.  Waits until every reachable peer has answered or failed, and until ``needed``
        peers have listed the cancellation or none is left.  Notices to the other peers continue in
        the background.
        """
        answers: curio.Queue = curio.Queue()
        unanswered, reachable = OrderedSet(self._links), OrderedSet(self.reachable_peers())
        for name in unanswered:
            await curio.spawn(self._notify_peer, name, job_id, answers, daemon=True)
        may_start_by_peer: dict[str, bool] = {}
        while unanswered & reachable or (unanswered and len(may_start_by_peer) < needed):
            answer: _NoticeAnswer = await answers.get()
            unanswered.discard(answer.peer)
            if answer.may_start is not None:
                may_start_by_peer[answer.peer] = answer.may_start
        return may_start_by_peer

    async def _notify_peer(self, name: str, job_id: str, answers: curio.Queue) -> None:
        may_start: bool | None = None
        try:
            may_start = not await self.send(
                name, "/notice", CancellationNotice(job_id), bool, NOTICE_TIMEOUT
            )
        except HttpError as problem:
            log.debug("cancellation notice failed: controller=%s reason=%s", name, problem)
        await answers.put(_NoticeAnswer(name, may_start))


def _milliseconds(value: float) -> timedelta:
    return seconds(value / 1000)
