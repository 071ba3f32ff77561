"""The price or carbon of a zone: its series, else its daily profile, else unknown.

The fallback depends on staleness alone, so that every leader with the same series decides alike:
measured and forecast values as long as the series is valid, then what that time of day usually
has, then nothing, and work starts as if there were no signal.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta, tzinfo

from micadeal.timing.cost_curve import CostCurve
from micadeal.timing.series import Quality, Reading, Series

#: The profile has one value for each slot of a day; tariffs change at full quarters of an hour.
SLOT = timedelta(minutes=15)
SLOTS_PER_DAY = timedelta(days=1) // SLOT
#: Weight of a new day in the profile, against all days before it.
LEARNING_RATE = 0.3


@dataclass(slots=True)
class Profile:
    """The usual value in each quarter of an hour of local time."""

    zone: tzinfo
    values: list[float | None] = field(default_factory=lambda: [None] * SLOTS_PER_DAY)
    #: Up to when values have been learned, so that no value is learned twice.
    learned: datetime | None = None

    def at(self, when: datetime) -> float | None:
        """Return the usual value at that time of day; None if unknown."""
        return self.values[self._slot(when)]

    def learn(self, series: Series) -> None:
        """Take in a series' measured values; a forecast would only teach its own guess."""
        when = series.start if self.learned is None else max(series.start, self.learned)
        until = min(series.measured_until, series.end)
        while when < until:
            reading = series.at(when)
            if reading is not None:
                self._learn_value(self._slot(when), reading.value)
            when += SLOT
        if self.learned is None or until > self.learned:
            self.learned = until

    def _learn_value(self, slot: int, value: float) -> None:
        before = self.values[slot]
        self.values[slot] = value if before is None else before + LEARNING_RATE * (value - before)

    def _slot(self, when: datetime) -> int:
        local = when.astimezone(self.zone)
        return (local.hour * 60 + local.minute) // 15


@dataclass(slots=True)
class Signal:
    """The price or carbon of one zone."""

    profile: Profile
    #: The last valid series.
    series: Series | None = None

    def take(self, series: Series) -> None:
        """Replace the series and learn from it."""
        self.series = series
        self.profile.learn(series)

    def at(self, when: datetime, now: datetime) -> Reading | None:
        """Return the best value for an instant, as known at ``now``; None if unknown."""
        if self.series is not None and not self.series.expired(now):
            reading = self.series.at(when)
            if reading is not None:
                return reading
        usual = self.profile.at(when)
        return None if usual is None else Reading(usual, Quality.PROFILE)


def cost_curve(
    signals: Iterable[tuple[Signal, float]], now: datetime, until: datetime
) -> CostCurve | None:
    """Return the cost of an hour at one kilowatt from now on: the weighted sum of signals.

    The curve ends where a signal with a weight is unknown, since a sum that lacks a part would
    look cheaper than it is.  None if that is so now.
    """
    weighted = [(signal, weight) for signal, weight in signals if weight]
    if not weighted or until <= now:
        return None
    edges = [now]
    rates: list[float] = []
    # Full quarters, counted from the epoch, so that the edges do not move with ``now``.
    step = SLOT.total_seconds()
    next_edge = datetime.fromtimestamp((now.timestamp() // step + 1) * step, tz=now.tzinfo)
    while edges[-1] < until:
        rate = _rate(weighted, edges[-1], now)
        if rate is None:
            return CostCurve(edges, rates) if rates else None
        rates.append(rate)
        edges.append(next_edge)
        next_edge += SLOT
    return CostCurve(edges, rates)


def _rate(weighted: list[tuple[Signal, float]], when: datetime, now: datetime) -> float | None:
    total = 0.0
    for signal, weight in weighted:
        reading = signal.at(when, now)
        if reading is None:
            return None
        total += weight * reading.value
    return total
