"""Answers that several requests of users share."""

from __future__ import annotations

from datetime import timedelta

from micadeal.http.message import Answer, error

#: When users who could not be served are to ask again.
RETRY_AFTER = timedelta(seconds=1)


def no_such_job() -> Answer:
    """Answer that no such job was ever accepted."""
    return error(404, "no such job")


def state_service_unreachable() -> Answer:
    """Answer that nothing can be said or done without the state service."""
    return error(503, "the state service does not answer", RETRY_AFTER)


def not_recorded_yet() -> Answer:
    """Answer that it is unknown whether a change was recorded."""
    return error(503, "not recorded yet, ask again", RETRY_AFTER)
