"""Where the leader's time goes, for the log: how often each part ran, and for how long."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO

#: How often the log gets a line.
LINE_EVERY = timedelta(seconds=15)


class CpuMetrics:
    """Sums by part since the last line.  Times are of the steady clock: a part never waits, so
    they are the processor's, and what the machine keeps from us."""

    def __init__(self, now: timedelta) -> None:
        self._since = now
        self._parts: dict[str, tuple[int, timedelta, timedelta]] = {}

    def add(self, part: str, spent: timedelta = ZERO, times: int = 1) -> None:
        count, total, longest = self._parts.get(part, (0, ZERO, ZERO))
        self._parts[part] = (count + times, total + spent, max(longest, spent))

    def line(self, now: timedelta) -> str | None:
        """The line, if one is due; the sums start anew."""
        if now - self._since < LINE_EVERY:
            return None
        texts = [
            f"{part} {count}" + (f" in {_ms(total)} ms, longest {_ms(longest)}" if total else "")
            for part, (count, total, longest) in sorted(self._parts.items())
        ]
        text = f"in {(now - self._since).total_seconds():.0f} s: " + "; ".join(texts)
        self._since = now
        self._parts.clear()
        return text


def _ms(time: timedelta) -> int:
    return round(time.total_seconds() * 1000)
