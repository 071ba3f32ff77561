"""The limit on warnings of one kind in the log."""

from __future__ import annotations

import logging

from micadeal.cli.log_rate_limit import LogRateLimitFilter


def test_repeated_warnings_of_one_kind_are_limited_and_counted() -> None:
    limit = LogRateLimitFilter()

    def passes(message: str, value: int, at: float, level: int = logging.WARNING) -> str | None:
        record = logging.LogRecord("micadeal", level, "f", 1, message, (value,), None)
        record.created = at
        return record.getMessage() if limit.filter(record) else None

    logged = [text for i in range(500) if (text := passes("garbage %d", i, 100 + i / 100))]
    assert len(logged) == 20
    assert passes("another %d", 1, 105) == "another 1"
    assert passes("garbage %d", 7, 106, logging.INFO) == "garbage 7"
    assert passes("garbage %d", 9, 111) == "garbage 9 (480 more like it were left out)"
    assert passes("garbage %d", 10, 112) == "garbage 10"
