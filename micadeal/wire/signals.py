"""Price and carbon series that a controller reads from a feed (JSON over HTTP; docs/timing.md).

The format is specific to this project and easy to generate from a tariff or a grid forecast: one
document per zone and quantity, with points at equal intervals.  Times are ISO 8601 with an offset.
"""

from __future__ import annotations

from datetime import datetime

import msgspec


class Point(msgspec.Struct):
    """One value of a ``SeriesDocument``, valid from ``start`` for ``interval_s``."""

    start: datetime
    value: float


class SeriesDocument(msgspec.Struct):
    """A feed's answer to ``GET <feed>/<zone>/<quantity>``."""

    zone: str
    #: "price" or "carbon".
    quantity: str
    #: For prices a currency per kWh, such as "EUR/kWh"; for carbon "gCO2/kWh".
    unit: str
    #: Where the values come from, shown to operators.
    source: str
    issued: datetime
    #: No value of the series may be used after this time.
    valid_until: datetime
    #: Points that start before this time were measured; the others are a forecast.
    measured_until: datetime
    interval_s: float
    points: list[Point]
