"""One price or carbon series, and the checks of what a feed sends.

Each kind of fault has its own error.
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

#: A week of five-minute intervals; no feed forecasts more.
MAX_POINTS = 2016
MIN_INTERVAL = timedelta(seconds=1)
MAX_INTERVAL = timedelta(days=1)
#: Tariffs are not published further ahead: a wrong year is found by this.
HORIZON = timedelta(days=8)
#: If the typical value rises or falls by this factor, a change of unit is assumed.
STEP_FACTOR = 100.0
CARBON_UNIT = "gCO2/kWh"
_PRICE_UNIT = re.compile(r"[A-Z]{3}/kWh")


class Quantity(Enum):
    """What a series measures."""

    PRICE = "price"
    CARBON = "carbon"


class Quality(Enum):
    """How well a value is known."""

    MEASURED = "measured"
    FORECAST = "forecast"
    #: From the daily profile learned from earlier series.
    PROFILE = "profile"


class Reading(NamedTuple):
    """A value at an instant."""

    value: float
    quality: Quality


class SignalError(ValueError):
    """A series that is refused; the last valid one stays in force until it expires."""


class MalformedSeriesError(SignalError):
    """The body is not JSON, is truncated, or lacks fields or has them of another type."""


class SeriesMismatchError(SignalError):
    """The series is of another zone or quantity than requested."""


class UnitMismatchError(SignalError):
    """The unit is no currency per kWh, not the previous currency, or not grams of CO2 per kWh."""


class InvalidTimeError(SignalError):
    """A time lacks its zone or is too far ahead, or the interval is out of range."""


class SeriesGapError(SignalError):
    """Points are missing between two others."""


class SeriesOverlapError(SignalError):
    """Two points cover the same instant, or points are out of order."""


class InvalidValueError(SignalError):
    """A value is not finite, or is carbon below zero.  Prices may be negative."""


class StepChangeError(SignalError):
    """The typical value jumped by a factor that only a change of unit explains."""


class SeriesExpiredError(SignalError):
    """The series ends in the past, or is no longer valid."""


@dataclass(frozen=True, slots=True)
class Series:
    """A checked series of values at equal distances.  Instants are in UTC.

    ``values[i]`` holds from ``start + i * interval`` for one interval.
    """

    zone: str
    quantity: Quantity
    unit: str
    #: Who published it, as shown to operators.
    source: str
    issued: datetime
    valid_until: datetime
    #: Intervals that begin before this instant were measured, the others are a forecast.
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
        """Whether nothing in the series may be relied on any more."""
        return now >= self.valid_until or now >= self.end


def read_series(
    body: bytes,
    zone: str,
    quantity: Quantity,
    now: datetime,
    drift: timedelta,
    previous: Series | None = None,
) -> Series:
    """Decode and check a feed's answer.

    ``drift`` is how far apart the feed's clock and ours may be, ``previous`` the last valid series
    of the same zone and quantity.  Raises the subclass of ``SignalError`` for the first fault.
    """
    try:
        document = msgspec.json.decode(body, type=SeriesDocument)
    except (msgspec.DecodeError, ValueError) as problem:
        raise MalformedSeriesError(str(problem)) from None
    if (document.zone, document.quantity) != (zone, quantity.value):
        raise SeriesMismatchError(
            f"{document.quantity} of {document.zone!r} instead of {quantity.value} of {zone!r}"
        )
    _check_unit(document.unit, quantity, previous)
    series = _checked_series(document, quantity, now, drift)
    if series.expired(now):
        raise SeriesExpiredError(
            f"valid until {series.valid_until.isoformat()}, ends {series.end.isoformat()}"
        )
    _check_step(series, previous)
    return series


def _checked_series(
    document: SeriesDocument, quantity: Quantity, now: datetime, drift: timedelta
) -> Series:
    """Check a document's times and values, and convert it."""
    _check_point_count(document)
    _check_time_zones(document)
    # Subtracting datetimes of one local zone ignores its change of clocks: all become UTC first.
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
            raise UnitMismatchError(f"{unit!r} instead of {CARBON_UNIT!r}")
    elif not _PRICE_UNIT.fullmatch(unit):
        raise UnitMismatchError(f"{unit!r} is no currency per kWh, such as EUR/kWh")
    if previous is not None and unit != previous.unit:
        raise UnitMismatchError(f"{unit!r}, but {previous.unit!r} before")


def _check_point_count(document: SeriesDocument) -> None:
    if not 1 <= len(document.points) <= MAX_POINTS:
        raise MalformedSeriesError(f"{len(document.points)} points; 1 to {MAX_POINTS} are taken")


def _check_time_zones(document: SeriesDocument) -> None:
    times = [document.issued, document.valid_until, document.measured_until]
    for when in [*times, *(point.start for point in document.points)]:
        if when.tzinfo is None:
            raise InvalidTimeError(f"{when.isoformat()} does not say its time zone")


def _checked_interval(document: SeriesDocument) -> timedelta:
    if not math.isfinite(document.interval_s):
        raise InvalidTimeError("the interval is no number")
    # Cut to what a timedelta can hold; both ends of the cut are refused below.
    interval = timedelta(seconds=min(max(document.interval_s, 0.0), 1e6))
    if not MIN_INTERVAL <= interval <= MAX_INTERVAL:
        raise InvalidTimeError(f"an interval of {document.interval_s:g} s")
    return interval


def _check_not_ahead(
    document: SeriesDocument, starts: list[datetime], now: datetime, drift: timedelta
) -> None:
    if document.issued > now + drift:
        raise InvalidTimeError(f"issued at {document.issued.isoformat()}, which is still to come")
    if starts[-1] > now + HORIZON:
        raise InvalidTimeError(f"{starts[-1].isoformat()} is too far ahead")


def _check_spacing(starts: list[datetime], interval: timedelta) -> None:
    for start, following in pairwise(starts):
        if following - start < interval:
            raise SeriesOverlapError(f"{start.isoformat()} and {following.isoformat()}")
        if following - start > interval:
            raise SeriesGapError(f"between {start.isoformat()} and {following.isoformat()}")


def _check_values(values: tuple[float, ...], starts: list[datetime], quantity: Quantity) -> None:
    for value, start in zip(values, starts, strict=True):
        if not math.isfinite(value) or (quantity is Quantity.CARBON and value < 0):
            raise InvalidValueError(f"{value} from {start.isoformat()}")


def _check_step(series: Series, previous: Series | None) -> None:
    if previous is None:
        return
    typical = median(abs(value) for value in series.values)
    typical_before = median(abs(value) for value in previous.values)
    if min(typical, typical_before) <= 0:
        # Free energy is legal, and it has no ratio to anything.
        return
    factor = typical / typical_before
    if factor >= STEP_FACTOR or factor <= 1 / STEP_FACTOR:
        raise StepChangeError(f"typically {typical:g} {series.unit} after {typical_before:g}")
