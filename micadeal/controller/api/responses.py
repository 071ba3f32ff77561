"""Answers that several requests of users share."""

from __future__ import annotations

from datetime import timedelta

from micadeal.controller.api.job_reader import NeverAccepted
from micadeal.http.message import Answer, error

#: When users who could not be served are to ask again.
RETRY_AFTER = timedelta(seconds=1)


def no_such_job(_proof: NeverAccepted) -> Answer:
    """Answer that no such job was ever accepted."""
    return error(404, "no such job", reason="neither a record nor an end")


def not_a_job_id() -> Answer:
    """Answer that no job can have such an id."""
    return error(404, "no such job", reason="not a job id")


def state_service_unreachable(problem: Exception) -> Answer:
    """Answer that nothing can be said or done without the state service."""
    return error(503, "the state service does not answer", RETRY_AFTER, str(problem))


def not_recorded_yet(reason: str) -> Answer:
    """Answer that it is unknown whether a change was recorded; ``reason`` is for the log."""
    return error(503, "not recorded yet, ask again", RETRY_AFTER, reason)
