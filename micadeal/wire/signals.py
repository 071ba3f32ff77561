"""Price and carbon series, as a feed gives them (JSON over HTTP; docs/timing.md).

The format is this project's own, so that whoever has a tariff or a grid's forecast can write it
out with a few lines: one document for a zone and a quantity, with points at equal distances.
"""

from __future__ import annotations

from datetime import datetime

import msgspec


class Point(msgspec.Struct):
    """The value that holds from ``start`` on, for the ``interval_s`` of its series."""

    start: datetime
    value: float


class SeriesDocument(msgspec.Struct):
    """What ``GET <feed>/<zone>/<quantity>`` answers."""

    zone: str
    #: "price" or "carbon".
    quantity: str
    #: For prices a currency per kWh, such as "EUR/kWh"; for carbon "gCO2/kWh".
    unit: str
    #: Who says so: shown to operators.
    source: str
    issued: datetime
    #: After this instant nothing in it may be relied on.
    valid_until: datetime
    #: Points that begin before this instant were measured, the others are a forecast.
    measured_until: datetime
    interval_s: float
    points: list[Point]
