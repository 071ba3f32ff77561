"""The other controllers: who is there, who has touch with the state service, relaying."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

import curio

from micadeal.clock import monotonic, seconds
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.http.message import HttpError
from micadeal.http.network import AnyClient, Network
from micadeal.leadership.term import PeerContact
from micadeal.operator.platform import Peer
from micadeal.rollout.membership import FRESH
from micadeal.timeouts import sleep
from micadeal.wire.codec import MessageFormatError, decode, encode
from micadeal.wire.peers import CancellationNotice, Ping, Pong, Relay, Relayed
from micadeal.wire.workers import Heartbeat

log = logging.getLogger(__name__)

T = TypeVar("T")

PING_EVERY = timedelta(seconds=1)
PING_TIME = timedelta(milliseconds=900)
#: Direct, and over a third controller: together well within a worker's 4 s.
RELAY_TIME = timedelta(seconds=1.4)
NOTICE_TIME = timedelta(seconds=1)


#: A peer's name, its answer, and jobs that it says are cancelled and of which we did not know.
PeerStatusListener = Callable[[str, Pong, list[str]], Awaitable[None]]


@dataclass(slots=True)
class _Link:
    peer: Peer
    client: AnyClient
    pings: AnyClient
    heard: timedelta | None = None
    pong: Pong | None = None
    reachability: PeerContact | None = None
    state_contact: timedelta | None = None
    #: As leader: cancellations told before then have reached all jobs after them.
    cascaded: timedelta | None = None


class PeerLinks:
    """Owns the links to the peers; ``news`` is told after every answer to a ping."""

    def __init__(
        self,
        name: str,
        peers: tuple[Peer, ...],
        network: Network,
        follower_leases: FollowerLeases | None,
        feature_levels: FeatureLevels,
        state_reachable: Callable[[], bool],
        reading: Callable[[], bool],
    ) -> None:
        """``standing``: None where standing in is switched off; ``state_reachable``: with the state
        service; ``reading``: as leader, before the records have come."""
        self._name = name
        self._follower_leases = follower_leases
        self._feature_levels = feature_levels
        self._state_reachable = state_reachable
        self._reading = reading
        self._links = {
            peer.name: _Link(peer, network.client(peer.address, 4), network.client(peer.address, 1))
            for peer in peers
        }
        self.leader: str | None = None
        #: The token of the term that we lead; 0: we don't.
        self.leading_token = 0

    async def run(self, news: PeerStatusListener) -> None:
        async with curio.TaskGroup() as group:
            for link in self._links.values():
                await group.spawn(self._ping, link, news)

    async def _ping(self, link: _Link, news: PeerStatusListener) -> None:
        while True:
            asked = monotonic()
            try:
                leading = self.leading_token
                message = Ping(self._name, wants_counts=self.leader == link.peer.name)
                message.leading_token = leading
                message.reading = self._reading()
                message.process = self._feature_levels.introduction(asked)
                if self._follower_leases is not None:
                    self._follower_leases.ping(message, leading, self._state_reachable(), asked)
                status, body = await link.pings.request(
                    "POST", "/ping", encode(message), timeout=PING_TIME
                )
                if status == 200:
                    await self._heard(link, decode(Pong, body), asked, leading, news)
            except (HttpError, MessageFormatError) as problem:
                log.debug("ping of %s: %s", link.peer.name, problem)
            except Exception:
                log.exception("news of %s could not be passed on", link.peer.name)
            await sleep(asked + PING_EVERY - monotonic())

    async def _heard(
        self,
        link: _Link,
        pong: Pong,
        asked: timedelta,
        leading: int,
        news: PeerStatusListener,
    ) -> None:
        now = monotonic()
        cancelled: list[str] = []
        self._feature_levels.hear(link.peer.name, pong, asked, now)
        if self._follower_leases is not None:
            cancelled = self._follower_leases.hear(link.peer.name, pong.word, asked, now, leading)
        link.heard, link.pong = now, pong
        if pong.state_age_ms is not None:
            link.state_contact = now - seconds(pong.state_age_ms / 1000)
        link.reachability = PeerContact(asked, now - seconds(pong.cancel_age_ms / 1000))
        if pong.cascade_age_ms is not None:
            # Counted from when it was asked: an answer that was under way for long says less.
            link.cascaded = asked - seconds(pong.cascade_age_ms / 1000)
        await news(link.peer.name, pong, cancelled)

    def cascaded(self, leader: str) -> timedelta | None:
        link = self._links.get(leader)
        return None if link is None else link.cascaded

    def contacts(self) -> tuple[PeerContact | None, ...]:
        return tuple(link.reachability for link in self._links.values())

    def reaches(self) -> list[str]:
        now = monotonic()
        return [
            name
            for name, link in self._links.items()
            if link.heard is not None and now - link.heard < FRESH
        ]

    def latest_state_contact(self) -> timedelta | None:
        """The latest contact with the state service that a reachable peer speaks of."""
        fresh = self.reaches()
        contacts = [
            link.state_contact
            for name, link in self._links.items()
            if name in fresh and link.state_contact is not None
        ]
        return max(contacts, default=None)

    async def send(
        self, name: str, path: str, message: Any, kind: type[T], timeout: timedelta
    ) -> T:
        link = self._links.get(name)
        if link is None:
            raise HttpError(f"no controller {name}")
        status, body = await link.client.request("POST", path, encode(message), timeout=timeout)
        if status != 200:
            raise HttpError(f"{name}: status {status}")
        try:
            return decode(kind, body)
        except MessageFormatError as problem:
            raise HttpError(f"{name}: {problem}") from None

    async def relay(self, heartbeat: Heartbeat, leader: str, hops: int = 1) -> Relayed:
        """A worker's report to the leader, over a third controller if need be."""
        if leader in self.reaches() or hops == 0:
            try:
                return await self.send(leader, "/relay", Relay(heartbeat, 0), Relayed, RELAY_TIME)
            except HttpError:
                if hops == 0:
                    raise
        for name, link in self._links.items():
            if name == leader or link.pong is None or leader not in link.pong.reaches:
                continue
            if name in self.reaches():
                return await self.send(
                    name, "/relay", Relay(heartbeat, 0), Relayed, RELAY_TIME * 1.5
                )
        raise HttpError(f"no way to {leader}")

    async def notify_cancel(self, job_id: str, needed: int) -> dict[str, bool]:
        """Tell all peers of a cancellation.  Those that have put it on their list, and whether they
        lead and a task of the job may still start.

        Returns when all that were heard of lately, and ``needed`` if so many can be had, have
        answered; the rest are told all the same.
        """
        answers: curio.Queue = curio.Queue()

        async def tell(name: str) -> None:
            held: bool | None = None
            try:
                held = not await self.send(
                    name, "/notice", CancellationNotice(job_id), bool, NOTICE_TIME
                )
            except HttpError as problem:
                log.debug("notice to %s: %s", name, problem)
            await answers.put((name, held))

        waiting, fresh = set(self._links), set(self.reaches())
        for name in waiting:
            await curio.spawn(tell, name, daemon=True)
        listed: dict[str, bool] = {}
        while waiting & fresh or (waiting and len(listed) < needed):
            name, held = await answers.get()
            waiting.discard(name)
            if held is not None:
                listed[name] = held
        return listed
