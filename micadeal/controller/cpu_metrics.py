"""Counts and durations of the leader's activities, for the log."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from micadeal.clock import ZERO, monotonic

#: How often the metrics are logged.
LOG_INTERVAL = timedelta(seconds=15)


class Activity(StrEnum):
    """An activity of the leader's actor; the value is its name in the log."""

    HEARTBEATS = "heartbeats"
    MESSAGES = "messages"
    TICKS = "ticks"
    SCHEDULING_CYCLES = "scheduling_cycles"
    DISPATCH = "dispatch"
    RECORD_CHANGES = "record_changes"
    RENTALS = "rentals"


class CpuMetrics:
    """Totals for each activity since the last log line.

    Durations are measured with the monotonic clock.  No activity blocks, so a duration is CPU time
    plus the time for which the machine did not run this process.
    """

    def __init__(self, now: timedelta) -> None:
        self._period_start = now
        self._totals: dict[Activity, tuple[int, timedelta, timedelta]] = {}

    def add(self, activity: Activity, duration: timedelta = ZERO, times: int = 1) -> None:
        """Record ``times`` runs of an activity that took ``duration`` in total."""
        count, total, longest = self._totals.get(activity, (0, ZERO, ZERO))
        self._totals[activity] = (count + times, total + duration, max(longest, duration))

    def add_since(self, activity: Activity, started_at: timedelta) -> timedelta:
        """Record one run of an activity that began at ``started_at``; return the current time."""
        now = monotonic()
        self.add(activity, now - started_at)
        return now

    def next_log_line(self, now: timedelta) -> str | None:
        """Return the log line and reset the totals if a line is due; else None."""
        if now - self._period_start < LOG_INTERVAL:
            return None
        fields = [f"period_s={(now - self._period_start).total_seconds():.0f}"]
        for activity, (count, total, longest) in sorted(self._totals.items()):
            fields.append(f"{activity}={count}")
            if total:
                fields.append(f"{activity}_ms={_milliseconds(total)}")
                fields.append(f"{activity}_max_ms={_milliseconds(longest)}")
        self._period_start = now
        self._totals.clear()
        return " ".join(fields)


def _milliseconds(duration: timedelta) -> int:
    return round(duration.total_seconds() * 1000)
