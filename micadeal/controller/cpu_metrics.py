"""How often the leader performs each kind of work and how long that takes, for the log."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from micadeal.clock import ZERO, monotonic

#: How often the metrics are logged.
LOG_INTERVAL = timedelta(seconds=15)


class Activity(StrEnum):
    """A kind of work of the leader's actor, by its name in the log."""

    HEARTBEATS = "heartbeats"
    MESSAGES = "messages"
    TICKS = "ticks"
    SCHEDULING_CYCLES = "scheduling_cycles"
    DISPATCH = "dispatch"
    RECORD_CHANGES = "record_changes"
    RENTALS = "rentals"


class CpuMetrics:
    """Sums for each activity since the last log line.

    Durations are of the monotonic clock.  No activity waits for anything, so they are processor
    time, and time during which the machine did not run this process.
    """

    def __init__(self, now: timedelta) -> None:
        self._since = now
        self._totals: dict[Activity, tuple[int, timedelta, timedelta]] = {}

    def add(self, activity: Activity, duration: timedelta = ZERO, times: int = 1) -> None:
        """Count ``times`` more runs of an activity, which took ``duration`` together."""
        count, total, longest = self._totals.get(activity, (0, ZERO, ZERO))
        self._totals[activity] = (count + times, total + duration, max(longest, duration))

    def add_since(self, activity: Activity, started: timedelta) -> timedelta:
        """Count one run of an activity that began at ``started``, and return the time now."""
        now = monotonic()
        self.add(activity, now - started)
        return now

    def line(self, now: timedelta) -> str | None:
        """Return the log line and start new sums, if a line is due."""
        if now - self._since < LOG_INTERVAL:
            return None
        fields = [f"period_s={(now - self._since).total_seconds():.0f}"]
        for activity, (count, total, longest) in sorted(self._totals.items()):
            fields.append(f"{activity}={count}")
            if total:
                fields.append(f"{activity}_ms={_milliseconds(total)}")
                fields.append(f"{activity}_max_ms={_milliseconds(longest)}")
        self._since = now
        self._totals.clear()
        return " ".join(fields)


def _milliseconds(duration: timedelta) -> int:
    return round(duration.total_seconds() * 1000)
