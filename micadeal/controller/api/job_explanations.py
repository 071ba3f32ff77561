"""Explains why a job waits, on the controller that leads."""

from __future__ import annotations

import logging

from micadeal.controller.known_leader import QUERY_TIMEOUT
from micadeal.controller.leader import Leader
from micadeal.controller.messages import GetExplanation
from micadeal.schema.keys import JOBS
from micadeal.state.service import StateService, StateServiceError
from micadeal.wire.peers import WhyAnswer

log = logging.getLogger(__name__)


class UnansweredError(Exception):
    """A request can't be answered now; the text is shown to the user, who may retry."""


class JobExplainer:
    """Asks the leader's actor, and distinguishes "nothing to explain" from "not known yet"."""

    def __init__(self, state: StateService) -> None:
        self._state = state

    async def explain(self, leader: Leader, job_id: str) -> WhyAnswer | None:
        """Return why a job waits or what it is doing; None if it neither waits nor runs.

        Raises ``UnansweredError`` if that is not known, and what ``Actor.ask`` raises.

        Guards against a 404 for a waiting job: a leader that has not read its records, or whose
        watch lags behind, does not know the job yet.
        """
        explanation: WhyAnswer | None = await leader.ask(GetExplanation(job_id), QUERY_TIMEOUT)
        if explanation is None and await self._is_recorded_live(job_id):
            raise UnansweredError("the leader has not heard of the job yet")
        return explanation

    async def _is_recorded_live(self, job_id: str) -> bool:
        try:
            return await self._state.get(JOBS + job_id) is not None
        except StateServiceError as problem:
            log.warning("job record not read: job=%s reason=%s", job_id, problem)
            raise UnansweredError("the state service does not answer") from None
