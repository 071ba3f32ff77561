"""One price or carbon series, checked: what is taken from a feed, and why the rest is refused."""

from __future__ import annotations

import math
import re
from bisect import bisect_right
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from enum import Enum
from itertools import pairwise
from statistics import median

import msgspec

from micadeal.wire.signals import SeriesDocument

#: More points than a week of five-minute intervals are nobody's forecast.
MOST_POINTS = 2016
LEAST_INTERVAL = timedelta(seconds=1)
MOST_INTERVAL = timedelta(days=1)
#: Times of the field's tariffs do not lie further ahead: a year that is wrong shows here.
HORIZON = timedelta(days=8)
#: A typical value that is so many times the one before, or its inverse, is taken for another unit.
STEP_FACTOR = 100.0
CARBON_UNIT = "gCO2/kWh"
_PRICE_UNIT = re.compile(r"[A-Z]{3}/kWh")


class Quantity(Enum):
    PRICE = "price"
    CARBON = "carbon"


class Quality(Enum):
    MEASURED = "measured"
    FORECAST = "forecast"
    #: From the daily profile learned of earlier series.
    PROFILE = "profile"


class SignalError(ValueError):
    """A series that is refused; the last good one stays in force until it expires."""


class MalformedSeriesError(SignalError):
    """No JSON, truncated, or fields missing or of another type."""


class SeriesMismatchError(SignalError):
    """Of another zone or quantity than was asked for."""


class UnitMismatchError(SignalError):
    """Not a currency per kWh, not the currency of before, not grams of CO2 per kWh."""


class InvalidTimeError(SignalError):
    """A time without its zone, out of order, too far ahead, or an interval that is none."""


class SeriesGapError(SignalError):
    """Points are missing between two others."""


class SeriesOverlapError(SignalError):
    """Two points lay claim to one instant."""


class InvalidValueError(SignalError):
    """Not a finite number; or carbon below zero.  Prices may be negative."""


class StepChangeError(SignalError):
    """The typical value jumped by a factor that only another unit explains."""


class SeriesExpiredError(SignalError):
    """Nothing in it is of now or later, or its validity is over."""


@dataclass(frozen=True, slots=True)
class Series:
    """``values[i]`` holds from ``start + i * interval`` for one interval.  Instants are in UTC."""

    zone: str
    quantity: Quantity
    unit: str
    source: str
    issued: datetime
    valid_until: datetime
    measured_until: datetime
    start: datetime
    interval: timedelta
    values: tuple[float, ...]

    @property
    def end(self) -> datetime:
        return self.start + self.interval * len(self.values)

    def at(self, when: datetime) -> tuple[float, Quality] | None:
        """The value at an instant, and what it is worth; None outside the series."""
        if not self.start <= when < self.end:
            return None
        index = (when - self.start) // self.interval
        begins = self.start + self.interval * index
        measured = begins < self.measured_until
        return self.values[index], Quality.MEASURED if measured else Quality.FORECAST

    def expired(self, now: datetime) -> bool:
        return now >= self.valid_until or now >= self.end


def read_series(
    body: bytes,
    zone: str,
    quantity: Quantity,
    now: datetime,
    drift: timedelta,
    last: Series | None = None,
) -> Series:
    """Check a feed's answer.  Raises a subclass of ``SignalError`` that names what is wrong.

    ``drift``: how far apart the feed's clock and ours may be.  ``last``: the good series of before.
    """
    try:
        read = msgspec.json.decode(body, type=SeriesDocument)
    except (msgspec.DecodeError, ValueError) as problem:
        raise MalformedSeriesError(str(problem)) from None
    if (read.zone, read.quantity) != (zone, quantity.value):
        raise SeriesMismatchError(
            f"{read.quantity} of {read.zone!r} instead of {quantity.value} of {zone!r}"
        )
    _check_unit(read.unit, quantity, last)
    starts, interval = _check_times(read, now, drift)
    values = tuple(point.value for point in read.points)
    for value, start in zip(values, starts, strict=True):
        if not math.isfinite(value) or (quantity is Quantity.CARBON and value < 0):
            raise InvalidValueError(f"{value} from {start.isoformat()}")
    series = Series(
        zone, quantity, read.unit, read.source, read.issued.astimezone(UTC),
        read.valid_until.astimezone(UTC), read.measured_until.astimezone(UTC), starts[0],
        interval, values,
    )  # fmt: skip
    if series.expired(now):
        raise SeriesExpiredError(
            f"valid until {series.valid_until.isoformat()}, ends {series.end.isoformat()}"
        )
    _check_step(series, last)
    return series


def _check_unit(unit: str, quantity: Quantity, last: Series | None) -> None:
    if quantity is Quantity.CARBON:
        if unit != CARBON_UNIT:
            raise UnitMismatchError(f"{unit!r} instead of {CARBON_UNIT!r}")
    elif not _PRICE_UNIT.fullmatch(unit):
        raise UnitMismatchError(f"{unit!r} is no currency per kWh, such as EUR/kWh")
    if last is not None and unit != last.unit:
        raise UnitMismatchError(f"{unit!r}, but {last.unit!r} before")


def _check_times(
    read: SeriesDocument, now: datetime, drift: timedelta
) -> tuple[list[datetime], timedelta]:
    if not read.points or len(read.points) > MOST_POINTS:
        raise MalformedSeriesError(f"{len(read.points)} points; 1 to {MOST_POINTS} are taken")
    times = [read.issued, read.valid_until, read.measured_until, *(p.start for p in read.points)]
    for when in times:
        if when.tzinfo is None:
            raise InvalidTimeError(f"{when.isoformat()} does not say its time zone")
    # Subtracting datetimes of one local zone ignores its change of clocks: all become UTC first.
    starts = [point.start.astimezone(UTC) for point in read.points]
    if not math.isfinite(read.interval_s):
        raise InvalidTimeError("the interval is no number")
    interval = timedelta(seconds=min(max(read.interval_s, 0.0), 1e6))
    if not LEAST_INTERVAL <= interval <= MOST_INTERVAL:
        raise InvalidTimeError(f"an interval of {read.interval_s:g} s")
    if read.issued > now + drift:
        raise InvalidTimeError(f"issued at {read.issued.isoformat()}, which is still to come")
    if starts[-1] > now + HORIZON:
        raise InvalidTimeError(f"{starts[-1].isoformat()} is too far ahead")
    for one, other in pairwise(starts):
        if other - one < interval:
            raise SeriesOverlapError(f"{one.isoformat()} and {other.isoformat()}")
        if other - one > interval:
            raise SeriesGapError(f"between {one.isoformat()} and {other.isoformat()}")
    return starts, interval


def _check_step(series: Series, last: Series | None) -> None:
    if last is None:
        return
    typical = median(abs(value) for value in series.values)
    before = median(abs(value) for value in last.values)
    if min(typical, before) <= 0:
        # Free power is legal, and no factor can be told of it.
        return
    factor = typical / before
    if factor >= STEP_FACTOR or factor <= 1 / STEP_FACTOR:
        raise StepChangeError(f"typically {typical:g} {series.unit} after {before:g}")


class Curve:
    """What an hour costs, over the time ahead: piecewise constant, with quick sums.

    ``edges[i]`` to ``edges[i + 1]`` costs ``rates[i]`` an hour, in any unit that the weights give.
    """

    __slots__ = ("_sums", "edges", "rates")

    def __init__(self, edges: list[datetime], rates: list[float]) -> None:
        if len(edges) != len(rates) + 1 or not rates:
            raise ValueError("one more edge than rates, and at least one rate")
        self.edges = edges
        self.rates = rates
        self._sums = [0.0]
        for index, rate in enumerate(rates):
            hours = (edges[index + 1] - edges[index]) / timedelta(hours=1)
            self._sums.append(self._sums[-1] + rate * hours)

    @property
    def end(self) -> datetime:
        return self.edges[-1]

    def index(self, when: datetime) -> int:
        """Which piece an instant lies in; the first or last for what lies outside."""
        return min(max(bisect_right(self.edges, when) - 1, 0), len(self.rates) - 1)

    def _upto(self, when: datetime) -> float:
        index = self.index(when)
        return self._sums[index] + self.rates[index] * (
            (when - self.edges[index]) / timedelta(hours=1)
        )

    def cost(self, start: datetime, duration: timedelta) -> float:
        """Of running from ``start`` on.  Past its end the curve goes on with its last rate."""
        return self._upto(start + duration) - self._upto(start)
