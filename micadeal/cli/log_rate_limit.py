"""Keeps a flood of like messages, as from a host of garbage senders, out of the log."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.clock import seconds

#: Of warnings and errors that differ in their values only, so many are logged in one period.
MOST = 20
PERIOD = seconds(10)
#: Kinds of messages counted; the templates are the program's own, so there are not many.
MOST_KINDS = 1000


class LogRateLimitFilter(logging.Filter):
    """Lets the first of like warnings through; the next period's first says how many were not."""

    def __init__(self) -> None:
        super().__init__()
        self._kinds: dict[tuple[str, object], tuple[timedelta, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno < logging.WARNING:
            return True
        kind = (record.name, record.msg)
        now = seconds(record.created)
        began, count = self._kinds.get(kind, (now, 0))
        if not timedelta(0) <= now - began < PERIOD:
            if count > MOST:
                record.msg = f"{record.msg} ({count - MOST} more like it were left out)"
            began, count = now, 0
        if len(self._kinds) >= MOST_KINDS:
            self._kinds.clear()
        self._kinds[kind] = (began, count + 1)
        return count < MOST
