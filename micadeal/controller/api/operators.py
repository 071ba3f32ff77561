"""Answers operators' questions on any controller; a follower passes them on to the leader."""

from __future__ import annotations

from typing import Any

from micadeal.actor import MailboxFullError
from micadeal.controller.api.endpoints import RETRY_AFTER
from micadeal.controller.known_leader import QUERY_TIMEOUT, KnownLeader
from micadeal.controller.messages import GetExplanation, GetOverview
from micadeal.controller.peer_links import PeerLinks
from micadeal.http.message import Answer, HttpError, Request, answer, error
from micadeal.wire.peers import CancellationNotice, Overview, WhyAnswer


class OperatorApi:
    """Serves ``GET /why/{id}`` and ``GET /overview``."""

    def __init__(self, leader: KnownLeader, peer_links: PeerLinks) -> None:
        self._leader = leader
        self._peer_links = peer_links

    async def explain(self, request: Request) -> Answer:
        """Answer why a job waits, or what it is doing."""
        job_id = request.path.split("/")[2]
        explanation = await self._ask_leader(
            GetExplanation(job_id), "/why", CancellationNotice(job_id), WhyAnswer | None
        )
        if isinstance(explanation, Answer):
            return explanation
        if explanation is None:
            return error(404, "not waiting or running: see its status")
        return answer(200, explanation)

    async def overview(self, _request: Request) -> Answer:
        """Answer with the overview of the cluster."""
        overview = await self._ask_leader(GetOverview(), "/overview", None, Overview)
        return overview if isinstance(overview, Answer) else answer(200, overview)

    async def _ask_leader(self, message: Any, path: str, body: Any, answer_type: Any) -> Any:
        """Ask our own actor with ``message``, or the leader over HTTP with ``body``.

        Returns the answer's content, or an ``Answer`` that says why there is none.
        """
        try:
            if self._leader.actor is not None:
                return await self._leader.actor.ask(message, QUERY_TIMEOUT)
            if self._leader.name is None:
                return error(503, "no leader at the moment", RETRY_AFTER)
            return await self._peer_links.send(
                self._leader.name, path, body, answer_type, QUERY_TIMEOUT
            )
        except (HttpError, TimeoutError, MailboxFullError):
            return error(503, f"the leader {self._leader.name} does not answer", RETRY_AFTER)
