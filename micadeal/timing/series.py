"""A price or carbon series, and the checks of a feed's response.

Each kind of fault has its own error class.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from enum import Enum
from itertools import pairwise
from statistics import median
from typing import NamedTuple

import msgspec

from micadeal.wire.signals import SeriesDocument

#: A week of five-minute intervals; no feed has longer forecasts.
MAX_POINTS = 2016
MIN_INTERVAL = timedelta(seconds=1)
MAX_INTERVAL = timedelta(days=1)
#: Tariffs are not published further ahead; a later start, such as a wrong year, is an error.
HORIZON = timedelta(days=8)
#: If the median value rises or falls by this factor, a change of unit is assumed.
STEP_FACTOR = 100.0
CARBON_UNIT = "gCO2/kWh"
_PRICE_UNIT = re.compile(r"[A-Z]{3}/kWh")


class Quantity(Enum):
    """Quantity that a series measures."""

    PRICE = "price"
    CARBON = "carbon"


class Quality(Enum):
    """Source of a value, from the most reliable to the least."""

    MEASURED = "measured"
    FORECAST = "forecast"
    #: From the daily profile learned from earlier series.
    PROFILE = "profile"


class Reading(NamedTuple):
    """The value of a signal at an instant."""

    value: float
    quality: Quality


class SignalError(ValueError):
    """An invalid series; the last valid one is used until it expires."""


class MalformedSeriesError(SignalError):
    """The body is not JSON, or fields or the number of points are invalid."""


class SeriesMismatchError(SignalError):
    """The series is for another zone or quantity than requested."""


class UnitMismatchError(SignalError):
    """The unit is not that of the quantity, or differs from that of the previous series."""


class InvalidTimeError(SignalError):
    """A time has no time zone or is too far ahead, or the interval is out of range."""


class SeriesGapError(SignalError):
    """Points are missing between two points."""


class SeriesOverlapError(SignalError):
    """Two points cover the same instant, or points are out of order."""


class InvalidValueError(SignalError):
    """A value is not finite, or a carbon value is negative.  Prices may be negative."""


class StepChangeError(SignalError):
    """The median value changed by a factor that only a change of unit explains."""


class SeriesExpiredError(SignalError):
    """The series ends in the past, or is no longer valid."""


@dataclass(frozen=True, slots=True)
class Series:
    """A valid series of values at equal intervals.  Instants are in UTC.

    ``values[i]`` applies from ``start + i * interval`` for one interval.
    """

    zone: str
    quantity: Quantity
    unit: str
    #: Publisher, as shown to operators.
    source: str
    issued: datetime
    valid_until: datetime
    #: Values of intervals that begin before this instant were measured; the others are forecasts.
    measured_until: datetime
    start: datetime
    interval: timedelta
    values: tuple[float, ...]

    @property
    def end(self) -> datetime:
        """End of the last interval."""
        return self.start + self.interval * len(self.values)

    def at(self, when: datetime) -> Reading | None:
        """Return the value at an instant; None outside the series."""
        if not self.start <= when < self.end:
            return None
        index = (when - self.start) // self.interval
        interval_start = self.start + self.interval * index
        measured = interval_start < self.measured_until
        return Reading(self.values[index], Quality.MEASURED if measured else Quality.FORECAST)

    def expired(self, now: datetime) -> bool:
        """Tell whether the series has ended or is no longer valid, so that it must not be used."""
        return now >= self.valid_until or now >= self.end


def read_series(
    body: bytes,
    zone: str,
    quantity: Quantity,
    now: datetime,
    drift: timedelta,
    previous: Series | None = None,
) -> Series:
    """Decode and check a feed's response.

    ``drift``: bound on the difference between the clocks of the feed and of this controller.
    ``previous``: the last valid series of the same zone and quantity.  Raises the subclass of
    ``SignalError`` for the first fault.
    """
    try:
        document = msgspec.json.decode(body, type=SeriesDocument)
    except (msgspec.DecodeError, ValueError) as problem:
        raise MalformedSeriesError(str(problem)) from None
    if (document.zone, document.quantity) != (zone, quantity.value):
        raise SeriesMismatchError(
            f"series is {document.quantity} of zone {document.zone!r}, "
            f"not {quantity.value} of zone {zone!r}"
        )
    _check_unit(document.unit, quantity, previous)
    series = _checked_series(document, quantity, now, drift)
    if series.expired(now):
        raise SeriesExpiredError(
            f"series has expired: valid until {series.valid_until.isoformat()}, "
            f"ends {series.end.isoformat()}"
        )
    _check_step(series, previous)
    return series


def _checked_series(
    document: SeriesDocument, quantity: Quantity, now: datetime, drift: timedelta
) -> Series:
    """Check a document's times and values, and convert it."""
    _check_point_count(document)
    _check_time_zones(document)
    # Converted to UTC first: subtracting datetimes of one local time zone ignores daylight saving.
    starts = [point.start.astimezone(UTC) for point in document.points]
    interval = _checked_interval(document)
    _check_not_ahead(document, starts, now, drift)
    _check_spacing(starts, interval)
    values = tuple(point.value for point in document.points)
    _check_values(values, starts, quantity)
    return Series(
        zone=document.zone,
        quantity=quantity,
        unit=document.unit,
        source=document.source,
        issued=document.issued.astimezone(UTC),
        valid_until=document.valid_until.astimezone(UTC),
        measured_until=document.measured_until.astimezone(UTC),
        start=starts[0],
        interval=interval,
        values=values,
    )


def _check_unit(unit: str, quantity: Quantity, previous: Series | None) -> None:
    if quantity is Quantity.CARBON:
        if unit != CARBON_UNIT:
            raise UnitMismatchError(f"unit is {unit!r}, not {CARBON_UNIT!r}")
    elif not _PRICE_UNIT.fullmatch(unit):
        raise UnitMismatchError(f"unit {unit!r} is not a currency per kWh, such as EUR/kWh")
    if previous is not None and unit != previous.unit:
        raise UnitMismatchError(f"unit changed from {previous.unit!r} to {unit!r}")


def _check_point_count(document: SeriesDocument) -> None:
    if not 1 <= len(document.points) <= MAX_POINTS:
        raise MalformedSeriesError(
            f"number of points must be 1 to {MAX_POINTS}, not {len(document.points)}"
        )


def _check_time_zones(document: SeriesDocument) -> None:
    times = [document.issued, document.valid_until, document.measured_until]
    for when in [*times, *(point.start for point in document.points)]:
        if when.tzinfo is None:
            raise InvalidTimeError(f"{when.isoformat()} has no time zone")


def _checked_interval(document: SeriesDocument) -> timedelta:
    if not math.isfinite(document.interval_s):
        raise InvalidTimeError("interval is not a finite number")
    # Clamped to what a timedelta can hold; the check below refuses both bounds.
    interval = timedelta(seconds=min(max(document.interval_s, 0.0), 1e6))
    if not MIN_INTERVAL <= interval <= MAX_INTERVAL:
        raise InvalidTimeError(f"interval is out of range: {document.interval_s:g} s")
    return interval


def _check_not_ahead(
    document: SeriesDocument, starts: list[datetime], now: datetime, drift: timedelta
) -> None:
    if document.issued > now + drift:
        raise InvalidTimeError(f"time of issue is in the future: {document.issued.isoformat()}")
    if starts[-1] > now + HORIZON:
        raise InvalidTimeError(f"last point is too far ahead: {starts[-1].isoformat()}")


def _check_spacing(starts: list[datetime], interval: timedelta) -> None:
    for start, following in pairwise(starts):
        if following - start < interval:
            raise SeriesOverlapError(
                f"points overlap or are out of order: {start.isoformat()}, {following.isoformat()}"
            )
        if following - start > interval:
            raise SeriesGapError(
                f"points are missing between {start.isoformat()} and {following.isoformat()}"
            )


def _check_values(values: tuple[float, ...], starts: list[datetime], quantity: Quantity) -> None:
    for value, start in zip(values, starts, strict=True):
        if not math.isfinite(value) or (quantity is Quantity.CARBON and value < 0):
            raise InvalidValueError(f"invalid value at {start.isoformat()}: {value}")


def _check_step(series: Series, previous: Series | None) -> None:
    if previous is None:
        return
    typical = median(abs(value) for value in series.values)
    previous_typical = median(abs(value) for value in previous.values)
    if min(typical, previous_typical) <= 0:
        # A price of zero is valid, and no factor can be computed with it.
        return
    factor = typical / previous_typical
    if factor >= STEP_FACTOR or factor <= 1 / STEP_FACTOR:
        raise StepChangeError(
            f"median value is {typical:g} {series.unit}, but was {previous_typical:g}"
        )
