"""Answers operators' questions on any controller; a follower passes them on to the leader."""

from __future__ import annotations

import logging
from typing import Any

from micadeal.actor import MailboxFullError
from micadeal.clock import seconds
from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.controller.known_leader import QUERY_TIMEOUT, KnownLeader
from micadeal.controller.messages import GetExplanation, GetOverview
from micadeal.controller.peer_links import PeerLinks
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.jobs.validate import JOB_ID
from micadeal.schema.keys import JOBS
from micadeal.state.service import StateService, StateServiceError
from micadeal.wire.peers import CancellationNotice, Overview, WhyAnswer

log = logging.getLogger(__name__)

#: How long the leader may take to answer another controller: more than its actor may, so that its
#: reason arrives if that does not answer.
PEER_QUERY_TIMEOUT = QUERY_TIMEOUT + seconds(0.5)


class LeaderUnavailableError(Exception):
    """The leader gave no usable answer; the text is for the user, who may ask again."""


class OperatorApi:
    """Serves ``GET /why/{id}`` and ``GET /overview``."""

    def __init__(self, leader: KnownLeader, peer_links: PeerLinks, state: StateService) -> None:
        self._leader = leader
        self._peer_links = peer_links
        self._state = state

    async def explain(self, request: Request) -> Answer:
        """Answer why a job waits, or what it is doing."""
        job_id = request.path.split("/")[2]
        if not JOB_ID.match(job_id):
            return error(400, "not a job id")
        try:
            explanation = await self._ask_leader(
                GetExplanation(job_id), "/why", CancellationNotice(job_id), WhyAnswer | None
            )
        except LeaderUnavailableError as problem:
            return error(503, str(problem), RETRY_AFTER)
        return await self._unexplained(job_id) if explanation is None else answer(200, explanation)

    async def overview(self, _request: Request) -> Answer:
        """Answer with the overview of the cluster."""
        try:
            return answer(200, await self._ask_leader(GetOverview(), "/overview", None, Overview))
        except LeaderUnavailableError as problem:
            return error(503, str(problem), RETRY_AFTER)

    async def _unexplained(self, job_id: str) -> Answer:
        """Answer about a job of which the leader knows nothing.

        Guards against 404 of a job that waits: a leader that has not read its records, or whose
        watch is behind, does not know of it yet.
        """
        try:
            item = await self._state.get(JOBS + job_id)
        except StateServiceError as problem:
            log.warning("job record not read: job=%s reason=%s", job_id, problem)
            return error(503, "the state service does not answer", RETRY_AFTER)
        if item is not None:
            return error(503, "the leader has not heard of the job yet", RETRY_AFTER)
        return error(404, "not waiting or running: see its status")

    async def _ask_leader(self, message: Any, path: str, body: Any, answer_type: Any) -> Any:
        """Ask our own actor with ``message``, or the leader over HTTP with ``body``.

        Returns the answer's content; ``LeaderUnavailableError`` if there is none.
        """
        leader = self._leader.name
        try:
            if self._leader.actor is not None:
                return await self._leader.actor.ask(message, QUERY_TIMEOUT)
            if leader is None:
                raise LeaderUnavailableError("no leader at the moment")
            return await self._peer_links.send(leader, path, body, answer_type, PEER_QUERY_TIMEOUT)
        except (HttpError, TimeoutError, MailboxFullError) as problem:
            log.warning(
                "question to the leader failed: controller=%s path=%s reason=%s",
                leader,
                path,
                str(problem) or type(problem).__name__,
            )
            raise LeaderUnavailableError(f"the leader {leader} does not answer") from None
