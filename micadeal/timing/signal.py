"""The price or carbon signal of a zone: its series, else its daily profile, else unknown.

The fallback depends on the age of the series alone, so that all leaders with the same series decide
alike.  A measured or forecast value is used if the series is valid and has one for the instant,
else the usual value at that time of day.  If that is unknown too, jobs start as if there were no
signal.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta, tzinfo

from micadeal.timing.cost_curve import CostCurve
from micadeal.timing.series import Quality, Reading, Series

#: The profile has one value per slot of a day; tariffs change at full quarters of an hour.
SLOT = timedelta(minutes=15)
SLOTS_PER_DAY = timedelta(days=1) // SLOT
#: Weight of a new day in the profile, relative to all earlier days.
LEARNING_RATE = 0.3


@dataclass(slots=True)
class Profile:
    """The usual value in each quarter of an hour of the day, in local time."""

    zone: tzinfo
    values: list[float | None] = field(default_factory=lambda: [None] * SLOTS_PER_DAY)
    #: End of the learned values, so that no value is learned twice; None if there are none.
    learned: datetime | None = None

    def at(self, when: datetime) -> float | None:
        """Return the usual value at an instant's time of day; None if unknown."""
        return self.values[self._slot(when)]

    def learn(self, series: Series) -> None:
        """Learn the measured values of a series; its forecasts are no evidence."""
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
        usual = self.values[slot]
        self.values[slot] = value if usual is None else usual + LEARNING_RATE * (value - usual)

    def _slot(self, when: datetime) -> int:
        local = when.astimezone(self.zone)
        return (local.hour * 60 + local.minute) // 15


@dataclass(slots=True)
class Signal:
    """The price or carbon signal of one zone."""

    profile: Profile
    #: The last valid series.
    series: Series | None = None

    def add_series(self, series: Series) -> None:
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
    """Return the cost per hour at one kilowatt from now on: the weighted sum of the signals.

    The curve ends where a signal with a nonzero weight is unknown, since an incomplete sum would
    be too low.  None if such a signal is unknown now, or there is none.
    """
    weighted = [(signal, weight) for signal, weight in signals if weight]
    if not weighted or until <= now:
        return None
    edges = [now]
    rates: list[float] = []
    # Edges are at full quarters of an hour since the epoch, so that they don't move with ``now``.
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
