"""The other controllers: who is there, who has touch with the state service, relaying."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

import curio

from micadeal.clock import seconds, sleep, steady
from micadeal.http.message import HttpError
from micadeal.http.network import AnyClient, Network
from micadeal.leadership.term import PeerContact
from micadeal.operator.platform import Peer
from micadeal.wire.codec import BadMessage, decode, encode
from micadeal.wire.mesh import Notice, Ping, Pong, Relay, Relayed
from micadeal.wire.workers import Report

log = logging.getLogger(__name__)

T = TypeVar("T")

PING_EVERY = timedelta(seconds=1)
PING_TIME = timedelta(milliseconds=900)
#: A peer heard within this time is taken to be reachable.
FRESH = timedelta(seconds=2.5)
#: Direct, and over a third controller: together well within a worker's 4 s.
RELAY_TIME = timedelta(seconds=1.4)


@dataclass(slots=True)
class _Link:
    peer: Peer
    client: AnyClient
    pings: AnyClient
    heard: timedelta | None = None
    pong: Pong | None = None
    contact: PeerContact | None = None
    state_contact: timedelta | None = None
    #: As leader: cancellations told before then have reached all jobs after them.
    cascaded: timedelta | None = None


class Mesh:
    """Owns the links to the peers; ``news`` is told after every answer to a ping."""

    def __init__(self, name: str, peers: tuple[Peer, ...], network: Network) -> None:
        self._name = name
        self._links = {
            peer.name: _Link(peer, network.client(peer.address, 4), network.client(peer.address, 1))
            for peer in peers
        }
        self.leader: str | None = None

    async def run(self, news: Callable[[str, Pong], Awaitable[None]]) -> None:
        async with curio.TaskGroup() as group:
            for link in self._links.values():
                await group.spawn(self._ping, link, news)

    async def _ping(self, link: _Link, news: Callable[[str, Pong], Awaitable[None]]) -> None:
        while True:
            asked = steady()
            try:
                message = Ping(self._name, wants_counts=self.leader == link.peer.name)
                status, body = await link.pings.request(
                    "POST", "/ping", encode(message), timeout=PING_TIME
                )
                if status == 200:
                    await self._heard(link, decode(Pong, body), asked, news)
            except (HttpError, BadMessage) as problem:
                log.debug("ping of %s: %s", link.peer.name, problem)
            except Exception:
                log.exception("news of %s could not be passed on", link.peer.name)
            await sleep(asked + PING_EVERY - steady())

    async def _heard(
        self,
        link: _Link,
        pong: Pong,
        asked: timedelta,
        news: Callable[[str, Pong], Awaitable[None]],
    ) -> None:
        now = steady()
        link.heard, link.pong = now, pong
        if pong.state_age_ms is not None:
            link.state_contact = now - seconds(pong.state_age_ms / 1000)
        link.contact = PeerContact(asked, now - seconds(pong.cancel_age_ms / 1000))
        if pong.cascade_age_ms is not None:
            # Counted from when it was asked: an answer that was under way for long says less.
            link.cascaded = asked - seconds(pong.cascade_age_ms / 1000)
        await news(link.peer.name, pong)

    def cascaded(self, leader: str) -> timedelta | None:
        link = self._links.get(leader)
        return None if link is None else link.cascaded

    def contacts(self) -> tuple[PeerContact | None, ...]:
        return tuple(link.contact for link in self._links.values())

    def reaches(self) -> list[str]:
        now = steady()
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
        except BadMessage as problem:
            raise HttpError(f"{name}: {problem}") from None

    async def relay(self, report: Report, leader: str, hops: int = 1) -> Relayed:
        """A worker's report to the leader, over a third controller if need be."""
        if leader in self.reaches() or hops == 0:
            try:
                return await self.send(leader, "/relay", Relay(report, 0), Relayed, RELAY_TIME)
            except HttpError:
                if hops == 0:
                    raise
        for name, link in self._links.items():
            if name == leader or link.pong is None or leader not in link.pong.reaches:
                continue
            if name in self.reaches():
                return await self.send(name, "/relay", Relay(report, 0), Relayed, RELAY_TIME * 1.5)
        raise HttpError(f"no way to {leader}")

    async def notify_cancel(self, job_id: str, leader: str) -> None:
        try:
            await self.send(leader, "/notice", Notice(job_id), bool, seconds(1))
        except HttpError as problem:
            log.debug("notice to %s: %s", leader, problem)
