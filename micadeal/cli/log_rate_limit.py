"""Rate limit for repeated log messages, such as those that malformed requests cause."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import ZERO, seconds

#: Warnings and errors with the same template that are logged in one period.
MAX_RECORDS_PER_PERIOD = 20
PERIOD = seconds(10)
#: Templates counted at a time.  They are literals of the program, so there are not many.
MAX_TEMPLATES = 1000


class _Window(NamedTuple):
    """The current period of one template, and the records counted in it."""

    started_at: timedelta
    records: int


class LogRateLimitFilter(logging.Filter):
    """Passes a limited number of warnings and errors of one template in each period.

    Records of lower levels always pass.  Templates are counted separately for each logger.  The
    first record of a later period says how many were omitted.
    """

    def __init__(self) -> None:
        super().__init__()
        self._windows: dict[tuple[str, object], _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log the record; may append the number of omitted ones to it."""
        if record.levelno < logging.WARNING:
            return True
        template = (record.name, record.msg)
        now = seconds(record.created)
        window = self._windows.get(template, _Window(now, 0))
        if not ZERO <= now - window.started_at < PERIOD:
            omitted = window.records - MAX_RECORDS_PER_PERIOD
            if omitted > 0:
                record.msg = f"{record.msg} ({omitted} more like it were left out)"
            window = _Window(now, 0)
        if len(self._windows) >= MAX_TEMPLATES:
            self._windows.clear()
        self._windows[template] = _Window(window.started_at, window.records + 1)
        return window.records < MAX_RECORDS_PER_PERIOD
