"""Answers operators' requests on any controller; a follower forwards them to the leader."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from micadeal.actor import MailboxFullError
from micadeal.clock import monotonic, seconds
from micadeal.controller.api.answer_log import AnswerLog
from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.controller.api.job_explanations import JobExplainer, UnansweredError
from micadeal.controller.known_leader import QUERY_TIMEOUT, KnownLeader
from micadeal.controller.leader import Leader
from micadeal.controller.messages import GetOverview
from micadeal.controller.peer_links import PeerLinks
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.jobs.validate import JOB_ID
from micadeal.wire.peers import CancellationNotice, Overview, WhyAnswer

log = logging.getLogger(__name__)

#: How long the leader may take to answer another controller.  Above the timeout of the leader's
#: actor: if the actor does not answer, the leader's error still arrives.
PEER_QUERY_TIMEOUT = QUERY_TIMEOUT + seconds(0.5)


class OperatorApi:
    """Serves ``GET /why/{id}`` and ``GET /overview``."""

    def __init__(
        self,
        leader: KnownLeader,
        peer_links: PeerLinks,
        explainer: JobExplainer,
        answer_log: AnswerLog,
    ) -> None:
        self._leader = leader
        self._peer_links = peer_links
        self._explainer = explainer
        self._answer_log = answer_log

    async def explain(self, request: Request) -> Answer:
        """Answer with why a job waits, or what it is doing."""
        job_id = request.path.split("/")[2]
        if not JOB_ID.match(job_id):
            return error(400, "not a job id")
        try:
            explanation = await self._ask_leader(
                lambda leader: self._explainer.explain(leader, job_id),
                "/why",
                CancellationNotice(job_id),
                WhyAnswer | None,
            )
        except UnansweredError as problem:
            return error(503, str(problem), RETRY_AFTER)
        if explanation is None:
            return error(404, "not waiting or running: see its status")
        return answer(200, explanation)

    async def overview(self, _request: Request) -> Answer:
        """Answer with the leader's overview of the cluster, and what this controller refused."""
        try:
            overview: Overview = await self._ask_leader(
                lambda leader: leader.ask(GetOverview(), QUERY_TIMEOUT), "/overview", None, Overview
            )
        except UnansweredError as problem:
            return error(503, str(problem), RETRY_AFTER)
        overview.notes = [*overview.notes, *self._answer_log.notes(monotonic())]
        return answer(200, overview)

    async def _ask_leader(
        self, ask: Callable[[Leader], Awaitable[Any]], path: str, body: Any, answer_type: Any
    ) -> Any:
        """Ask this controller's actor with ``ask`` if it leads, else the leader over HTTP.

        Returns the content of the answer; raises ``UnansweredError`` if there is none.
        """
        leader = self._leader.name
        try:
            if self._leader.actor is not None:
                return await ask(self._leader.actor)
            if leader is None:
                raise UnansweredError("no leader at the moment")
            return await self._peer_links.send(leader, path, body, answer_type, PEER_QUERY_TIMEOUT)
        except (HttpError, TimeoutError, MailboxFullError) as problem:
            log.warning(
                "question to the leader failed: controller=%s path=%s reason=%s",
                leader,
                path,
                str(problem) or type(problem).__name__,
            )
            raise UnansweredError(f"the leader {leader} does not answer") from None
