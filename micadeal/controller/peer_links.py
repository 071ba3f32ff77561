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
#: Direct, and through a third controller: together well within a worker's 4 s.
RELAY_TIMEOUT = timedelta(seconds=1.4)
INDIRECT_RELAY_TIMEOUT = RELAY_TIMEOUT * 1.5
NOTICE_TIMEOUT = timedelta(seconds=1)
#: Idle connections kept open to each peer, for pings and for everything else.
PING_CONNECTIONS = 1
REQUEST_CONNECTIONS = 4


#: Called with a peer's name, its answer, and jobs that it says are cancelled and that are new.
PeerStatusListener = Callable[[str, Pong, list[str]], Awaitable[None]]


@dataclass(slots=True)
class _Link:
    """The connections to one peer and its last answer to a ping."""

    peer: Peer
    client: HttpClient
    #: Separate, so that other requests don't delay pings.
    ping_client: HttpClient
    heard_at: timedelta | None = None
    pong: Pong | None = None
    contact: PeerContact | None = None
    #: When the peer last had a response of the state service.
    state_contact_at: timedelta | None = None
    #: As leader: cancellations confirmed before then have reached all jobs that depend on them.
    cascaded_until: timedelta | None = None


@dataclass(frozen=True, slots=True)
class _NoticeAnswer:
    """A peer's answer to a cancellation notice."""

    peer: str
    #: The peer leads, and a task of the job may still start; None: it gave no answer.
    may_start: bool | None


class PeerLinks:
    """Owns the links to the peers.

    ``leader`` and ``leading_token`` are kept up to date by the controller.
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
        """Create the links without connecting yet.

        ``follower_leases`` is None where renewal by followers is switched off.
        ``state_reachable`` says whether we reach the state service, ``loading`` whether we lead and
        have not read the records yet.
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
        #: The name of the current leader; None: it is not known.
        self.leader: str | None = None
        #: The token of the term that we lead; 0: we do not lead.
        self.leading_token = 0

    # -- pings -----------------------------------------------------------------------------

    async def run(self, listener: PeerStatusListener) -> None:
        """Ping all peers until cancelled; ``listener`` is awaited after every answer."""
        async with curio.TaskGroup() as group:
            for link in self._links.values():
                await group.spawn(self._ping_forever, link, listener)

    async def _ping_forever(self, link: _Link, listener: PeerStatusListener) -> None:
        while True:
            asked_at = monotonic()
            try:
                await self._ping(link, asked_at, listener)
            except (HttpError, MessageFormatError) as problem:
                log.debug("ping failed: controller=%s reason=%s", link.peer.name, problem)
            except Exception:
                # The listener runs code of the whole controller.  A fault in there must not end
                # the pings, by which peers and workers find the leader.
                log.exception("handling of a ping answer failed: controller=%s", link.peer.name)
            await sleep(asked_at + PING_INTERVAL - monotonic())

    async def _ping(self, link: _Link, asked_at: timedelta, listener: PeerStatusListener) -> None:
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
        """Take over the answer to a ping; return the cancelled jobs that are new to us."""
        now = monotonic()
        cancelled: list[str] = []
        self._feature_levels.on_ping_answer(link.peer.name, pong, asked_at, now)
        if self._follower_leases is not None:
            cancelled = self._follower_leases.on_ping_answer(
                link.peer.name, pong.renewal_promise, asked_at, now, leading_token
            )
        link.heard_at, link.pong = now, pong
        if pong.state_age_ms is not None:
            link.state_contact_at = now - _milliseconds(pong.state_age_ms)
        link.contact = PeerContact(asked_at, now - _milliseconds(pong.cancel_age_ms))
        if pong.cascade_age_ms is not None:
            # Counted from the question: an answer that the network delayed proves less.
            link.cascaded_until = asked_at - _milliseconds(pong.cascade_age_ms)
        return cancelled

    # -- what the peers say ----------------------------------------------------------------

    def cascaded(self, leader: str) -> timedelta | None:
        """Return up to when ``leader`` has cancelled all jobs that depend on cancelled ones."""
        link = self._links.get(leader)
        return None if link is None else link.cascaded_until

    def contacts(self) -> tuple[PeerContact | None, ...]:
        """Return the last contact with each peer; None: there was none."""
        return tuple(link.contact for link in self._links.values())

    def reaches(self) -> list[str]:
        """Return the peers that answered lately."""
        now = monotonic()
        return [
            name
            for name, link in self._links.items()
            if link.heard_at is not None and now - link.heard_at < PRESENCE_TIMEOUT
        ]

    def latest_state_contact(self) -> timedelta | None:
        """Return the latest contact of a reachable peer with the state service."""
        reachable = self.reaches()
        contacts = [
            link.state_contact_at
            for name, link in self._links.items()
            if name in reachable and link.state_contact_at is not None
        ]
        return max(contacts, default=None)

    # -- requests --------------------------------------------------------------------------

    async def send(
        self, name: str, path: str, message: Any, kind: type[T], timeout: timedelta
    ) -> T:
        """Send ``message`` to a peer and return its answer, decoded as ``kind``.

        Raises ``HttpError`` where there is no usable answer.
        """
        link = self._links.get(name)
        if link is None:
            raise HttpError(f"no controller {name}")
        status, body = await link.client.request("POST", path, encode(message), timeout=timeout)
        if status != HTTPStatus.OK:
            raise HttpError(f"{name}: status {status}")
        try:
            return decode(kind, body)
        except MessageFormatError as problem:
            raise HttpError(f"{name}: {problem}") from None

    async def relay(self, heartbeat: Heartbeat, leader: str, hops: int = 1) -> Relayed:
        """Pass a worker's heartbeat to the leader, through a third controller if need be.

        ``hops`` 0 allows the direct way only.  Raises ``HttpError`` where there is no answer.
        """
        message = Relay(heartbeat, 0)
        if leader in self.reaches() or hops == 0:
            try:
                return await self.send(leader, "/relay", message, Relayed, RELAY_TIMEOUT)
            except HttpError:
                if hops == 0:
                    raise
        for name, link in self._links.items():
            if name == leader or link.pong is None or leader not in link.pong.reaches:
                continue
            if name in self.reaches():
                return await self.send(name, "/relay", message, Relayed, INDIRECT_RELAY_TIMEOUT)
        raise HttpError(f"no way to {leader}")

    async def notify_cancel(self, job_id: str, needed: int) -> dict[str, bool]:
        """Notify all peers of a cancellation.

        Returns the peers that have put it on their lists, and for each whether it leads and a task
        of the job may still start.  Waits until all peers that were heard of lately have answered,
        and ``needed`` of them if so many answer at all; the others are notified all the same.
        """
        answers: curio.Queue = curio.Queue()
        waiting, reachable = OrderedSet(self._links), OrderedSet(self.reaches())
        for name in waiting:
            await curio.spawn(self._notify_peer, name, job_id, answers, daemon=True)
        listed: dict[str, bool] = {}
        while waiting & reachable or (waiting and len(listed) < needed):
            answer: _NoticeAnswer = await answers.get()
            waiting.discard(answer.peer)
            if answer.may_start is not None:
                listed[answer.peer] = answer.may_start
        return listed

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
