"""Price and carbon series that a controller reads from a feed (JSON over HTTP; docs/timing.md).

The format is this project's own, so that whoever has a tariff or a grid's forecast can write it
out with a few lines: one document for a zone and a quantity, with points at equal intervals.
Instants are ISO 8601 with an offset.
"""

from __future__ import annotations

from datetime import datetime

import msgspec


class Point(msgspec.Struct):
    """One value of a ``SeriesDocument``: it holds from ``start`` on, for ``interval_s``."""

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
    #: After this instant nothing in the series may be used.
    valid_until: datetime
    #: Points that begin before this instant were measured, the others are a forecast.
    measured_until: datetime
    interval_s: float
    points: list[Point]
