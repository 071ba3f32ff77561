"""Answers that several kinds of users' requests share."""

from __future__ import annotations

from datetime import timedelta

from micadeal.controller.api.job_reader import NeverAccepted
from micadeal.http.message import Answer, error

#: Sent with a 503: when the user should retry.
RETRY_AFTER = timedelta(seconds=1)


def no_such_job(_proof: NeverAccepted) -> Answer:
    """Answer that no such job was ever accepted."""
    return error(404, "no such job", reason="neither a record nor an end")


def not_a_job_id() -> Answer:
    """Answer that no job can have this id."""
    return error(404, "no such job", reason="not a job id")


def state_service_unreachable(problem: Exception) -> Answer:
    """Answer that the request can't be served without the state service."""
    return error(503, "the state service does not answer", RETRY_AFTER, str(problem))


def not_recorded_yet(reason: str) -> Answer:
    """Answer that it is unknown whether a change was recorded; ``reason`` is for the log."""
    return error(503, "not recorded yet, ask again", RETRY_AFTER, reason)
