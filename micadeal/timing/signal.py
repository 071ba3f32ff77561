"""What is known of a zone's price or carbon: its series, else the daily profile, else nothing.

The steps down are by staleness alone, so that every leader that holds the same series takes the
same one: measured and forecast values as long as the series is valid, then what that time of day
usually has, then nothing, and work starts as if there were no signal.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta, tzinfo

from micadeal.timing.series import Curve, Quality, Series

#: The profile has one value for each of these; tariffs change at full quarters.
SLOT = timedelta(minutes=15)
SLOTS = timedelta(days=1) // SLOT
#: A day's weight in the profile, against all days before it.
LEARN = 0.3


@dataclass(slots=True)
class Profile:
    """What each quarter of an hour of local time usually has."""

    zone: tzinfo
    values: list[float | None] = field(default_factory=lambda: [None] * SLOTS)
    #: Up to when values have been learned: a series that is read again teaches nothing twice.
    learned: datetime | None = None

    def _slot(self, when: datetime) -> int:
        local = when.astimezone(self.zone)
        return (local.hour * 60 + local.minute) // 15

    def at(self, when: datetime) -> float | None:
        return self.values[self._slot(when)]

    def learn(self, series: Series) -> None:
        """Take in measured values only: a forecast would teach the profile its own guess."""
        when = series.start if self.learned is None else max(series.start, self.learned)
        until = min(series.measured_until, series.end)
        while when < until:
            found = series.at(when)
            if found is not None:
                slot = self._slot(when)
                before = self.values[slot]
                self.values[slot] = (
                    found[0] if before is None else before + LEARN * (found[0] - before)
                )
            when += SLOT
        if self.learned is None or until > self.learned:
            self.learned = until


@dataclass(slots=True)
class Signal:
    """One zone's price or carbon."""

    profile: Profile
    series: Series | None = None

    def take(self, series: Series) -> None:
        self.series = series
        self.profile.learn(series)

    def at(self, when: datetime, now: datetime) -> tuple[float, Quality] | None:
        """The best word on an instant, as of ``now``; None: nothing is known."""
        if self.series is not None and not self.series.expired(now):
            found = self.series.at(when)
            if found is not None:
                return found
        usual = self.profile.at(when)
        return None if usual is None else (usual, Quality.PROFILE)


def cost_curve(
    signals: Iterable[tuple[Signal, float]], now: datetime, until: datetime
) -> Curve | None:
    """What an hour of a kilowatt costs from now on, summed over signals with their weights.

    It ends where one signal with a weight knows no more: a sum of which a part is missing would be
    cheaper there for no reason.  None if that is so now.
    """
    weighted = [(signal, weight) for signal, weight in signals if weight]
    if not weighted or until <= now:
        return None
    edges = [now]
    rates: list[float] = []
    # Full quarters, counted from the epoch, so that the edges do not move with ``now``.
    step = SLOT.total_seconds()
    mark = datetime.fromtimestamp((now.timestamp() // step + 1) * step, tz=now.tzinfo)
    while edges[-1] < until:
        total = 0.0
        for signal, weight in weighted:
            found = signal.at(edges[-1], now)
            if found is None:
                return Curve(edges, rates) if rates else None
            total += weight * found[0]
        rates.append(total)
        edges.append(mark)
        mark += SLOT
    return Curve(edges, rates)
