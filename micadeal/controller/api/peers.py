"""The HTTP interface to the other controllers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from msgspec import UNSET

from micadeal.actor import MailboxFullError
from micadeal.clock import monotonic, seconds
from micadeal.controller.api.cancellation_broadcast import CancellationBroadcaster
from micadeal.controller.api.endpoints import Endpoint, dispatch
from micadeal.controller.api.heartbeats import HeartbeatApi
from micadeal.controller.api.job_explanations import JobExplainer, UnansweredError
from micadeal.controller.api.jobs import JobApi
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.controller.known_leader import QUERY_TIMEOUT, KnownLeader
from micadeal.controller.messages import GetOverview, GetProgress
from micadeal.controller.peer_links import PeerLinks
from micadeal.controller.state_contact import StateContact
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.wire.codec import MessageFormatError, decode, encode
from micadeal.wire.peers import (
    CancellationNotice,
    Counts,
    Ping,
    Pong,
    Relay,
    Relayed,
    RenewalPromise,
)

log = logging.getLogger(__name__)

#: How long the leader's actor may take to report the jobs' progress: well below the timeout of a
#: ping.
PROGRESS_TIMEOUT = seconds(0.5)
#: Error text of a 503 for a full mailbox, the same in all versions.
MAILBOX_FULL = "Overloaded"


@dataclass(frozen=True, slots=True)
class PeerApiConfig:
    """The components of a controller that the interface to its peers uses."""

    leader: KnownLeader
    state_contact: StateContact
    peer_links: PeerLinks
    feature_levels: FeatureLevels
    #: None if followers never renew leases.
    follower_leases: FollowerLeases | None
    heartbeats: HeartbeatApi
    jobs: JobApi
    explainer: JobExplainer
    cancellations: CancellationBroadcaster
    #: Called with the name and token of a peer whose ping says that it leads.
    on_leader_announced: Callable[[str, int], None]


@dataclass(frozen=True, slots=True)
class _Progress:
    """What the answer to a ping reports about jobs."""

    counts: list[Counts]
    all_started: list[str]
    cascade_age_ms: float | None


class PeerApi:
    """Serves ``POST /ping``, ``/relay``, ``/notice``, ``/why`` and ``/overview``."""

    def __init__(self, config: PeerApiConfig) -> None:
        self._leader = config.leader
        self._state_contact = config.state_contact
        self._peer_links = config.peer_links
        self._feature_levels = config.feature_levels
        self._follower_leases = config.follower_leases
        self._heartbeats = config.heartbeats
        self._jobs = config.jobs
        self._explainer = config.explainer
        self._cancellations = config.cancellations
        self._on_leader_announced = config.on_leader_announced
        self._endpoints: dict[str, Endpoint] = {
            "/ping": {"POST": self._ping},
            "/relay": {"POST": self._relay},
            "/notice": {"POST": self._notice},
            "/why": {"POST": self._explain},
            "/overview": {"POST": self._overview},
        }

    async def serve(self, request: Request) -> Answer:
        """Answer one request."""
        try:
            return await dispatch(self._endpoints.get(request.path), request)
        except MessageFormatError as problem:
            log.warning("peer request rejected: path=%s reason=%s", request.path, problem)
            return error(400, str(problem))
        except MailboxFullError:
            return error(503, MAILBOX_FULL)
        except TimeoutError as problem:
            return error(503, str(problem) or type(problem).__name__)

    async def _ping(self, request: Request) -> Answer:
        ping = decode(Ping, request.body)
        self._feature_levels.on_leader_ping(ping.leading_token, ping.process)
        if ping.leading_token > 0 and not ping.reading:
            self._on_leader_announced(ping.controller, ping.leading_token)
        progress = await self._progress(ping)
        promise = self._renewal_promise(ping)
        state_contact_age = self._state_contact.age()
        return answer(
            200,
            Pong(
                controller=self._leader.own_name,
                state_age_ms=None
                if state_contact_age is None
                else _milliseconds(state_contact_age),
                leading=self._leader.actor is not None,
                cancel_age_ms=_milliseconds(monotonic() - self._jobs.last_cancel_answered_at),
                leader=self._leader.name,
                counts=progress.counts,
                reaches=self._peer_links.reachable_peers(),
                cascade_age_ms=progress.cascade_age_ms,
                renewal_promise=promise,
                process=self._feature_levels.own_process(monotonic()),
                all_started=progress.all_started,
                cancellation_ages=self._jobs.cancellation_ages() or UNSET,
            ),
        )

    async def _progress(self, ping: Ping) -> _Progress:
        """Return the jobs' progress if the peer asks for it and this controller leads."""
        actor = self._leader.actor
        if not ping.wants_counts or actor is None:
            return _Progress([], [], None)
        progress = await actor.ask(GetProgress(), PROGRESS_TIMEOUT)
        counts, all_started = progress.counts, progress.all_started
        if actor.loading:
            # Nothing counted yet: repeats the last report of the previous leader.
            counts, all_started = self._jobs.counts, list(self._jobs.all_started())
        cascade_age_ms = None
        if progress.cancellations_propagated_until is not None:
            cascade_age_ms = _milliseconds(monotonic() - progress.cancellations_propagated_until)
        return _Progress(counts, all_started, cascade_age_ms)

    def _renewal_promise(self, ping: Ping) -> RenewalPromise | None:
        if self._follower_leases is None:
            return None
        leading = self._leader.actor is not None
        return self._follower_leases.promise(
            ping, leading, self._state_contact.reachable(), monotonic()
        )

    async def _relay(self, request: Request) -> Answer:
        relay = decode(Relay, request.body)
        if self._leader.actor is None and self._leader.remote_name is not None:
            try:
                relayed = await self._peer_links.relay(relay.heartbeat, self._leader.remote_name, 0)
            except HttpError as problem:
                return error(503, str(problem))
            return answer(200, relayed)
        reply = await self._heartbeats.submit(relay.heartbeat)
        return answer(200, Relayed(reply.status, reply.body))

    async def _notice(self, request: Request) -> Answer:
        job_id = decode(CancellationNotice, request.body).job_id
        if self._follower_leases is not None:
            self._follower_leases.add_cancellation(job_id, monotonic())
        self._jobs.note_ended(job_id)
        if self._leader.actor is None:
            return answer(200, True)
        await self._cancellations.tell_leader([job_id])
        return answer(200, not await self._cancellations.may_tasks_start(job_id))

    async def _explain(self, request: Request) -> Answer:
        if self._leader.actor is None:
            return _not_leading()
        job_id = decode(CancellationNotice, request.body).job_id
        try:
            explanation = await self._explainer.explain(self._leader.actor, job_id)
        except UnansweredError as problem:
            return error(503, str(problem))
        # None is sent as nil, which all versions decode; no version decodes an empty body.
        return Answer(200, encode(explanation))

    async def _overview(self, _request: Request) -> Answer:
        if self._leader.actor is None:
            return _not_leading()
        return answer(200, await self._leader.actor.ask(GetOverview(), QUERY_TIMEOUT))


def _not_leading() -> Answer:
    return error(503, "not leading")


def _milliseconds(duration: timedelta) -> float:
    return duration.total_seconds() * 1000
