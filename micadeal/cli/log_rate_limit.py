"""Limits how often like messages are logged, as a stream of malformed requests causes them."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import ZERO, seconds

#: Of warnings and errors that differ in their values only, this many are logged in one period.
MAX_RECORDS_PER_PERIOD = 20
PERIOD = seconds(10)
#: Kinds of messages counted; templates are the program's own, so there are not many.
MAX_KINDS = 1000


class _Window(NamedTuple):
    """The current period of one kind of messages."""

    began: timedelta
    records: int


class LogRateLimitFilter(logging.Filter):
    """Passes the first of like warnings and errors in each period, and all lesser records.

    Records are alike if they share logger and template.  The first record of a later period says
    how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self._windows: dict[tuple[str, object], _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be logged; may add to its message."""
        if record.levelno < logging.WARNING:
            return True
        kind = (record.name, record.msg)
        now = seconds(record.created)
        window = self._windows.get(kind, _Window(now, 0))
        if not ZERO <= now - window.began < PERIOD:
            omitted = window.records - MAX_RECORDS_PER_PERIOD
            if omitted > 0:
                record.msg = f"{record.msg} ({omitted} more like it were left out)"
            window = _Window(now, 0)
        if len(self._windows) >= MAX_KINDS:
            self._windows.clear()
        self._windows[kind] = _Window(window.began, window.records + 1)
        return window.records < MAX_RECORDS_PER_PERIOD
