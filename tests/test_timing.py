"""Price and carbon signals: checks of series, fallback of signals, choice of start times."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from micadeal.timing.cost_curve import CostCurve
from micadeal.timing.series import (
    InvalidTimeError,
    InvalidValueError,
    MalformedSeriesError,
    Quality,
    Quantity,
    Series,
    SeriesExpiredError,
    SeriesGapError,
    SeriesMismatchError,
    SeriesOverlapError,
    SignalError,
    StepChangeError,
    UnitMismatchError,
    read_series,
)
from micadeal.timing.shift import (
    DeferrableJob,
    Hold,
    HoldTracker,
    PoolCapacities,
    latest_safe_start,
)
from micadeal.timing.signal import Profile, Signal, cost_curve

NOW = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
HOUR = timedelta(hours=1)
DRIFT = timedelta(seconds=5)
UNLIMITED = PoolCapacities({})


def series_document(**changes: Any) -> dict[str, Any]:
    document: dict[str, Any] = {
        "zone": "north", "quantity": "price", "unit": "EUR/kWh", "source": "the grid",
        "issued": NOW.isoformat(), "valid_until": (NOW + 12 * HOUR).isoformat(),
        "measured_until": NOW.isoformat(), "interval_s": 3600,
        "points": [
            {"start": (NOW + i * HOUR).isoformat(), "value": v}
            for i, v in enumerate([0.30, 0.28, 0.10, 0.08, 0.08, 0.20, 0.30, 0.35])
        ],
    }  # fmt: skip
    return document | changes


def read_document(document: dict[str, Any], previous: Series | None = None) -> Series:
    body = msgspec.json.encode(document)
    return read_series(body, "north", Quantity(document["quantity"]), NOW, DRIFT, previous)


def points(
    *values: float, first: datetime = NOW, interval: timedelta = HOUR
) -> list[dict[str, Any]]:
    return [{"start": (first + i * interval).isoformat(), "value": v} for i, v in enumerate(values)]


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"points": points(0.3) + points(0.2, first=NOW + 2 * HOUR)}, SeriesGapError),
        ({"points": points(0.3) + points(0.2, first=NOW + HOUR / 2)}, SeriesOverlapError),
        ({"points": points(0.3, 0.2)[::-1]}, SeriesOverlapError),
        ({"points": []}, MalformedSeriesError),
        ({"points": points(*[0.1] * 2017, interval=timedelta(minutes=1))}, MalformedSeriesError),
        ({"unit": "EUR/MWh"}, UnitMismatchError),
        ({"quantity": "carbon"}, UnitMismatchError),
        (
            {"quantity": "carbon", "unit": "gCO2/kWh", "points": points(-1.0)},
            InvalidValueError,
        ),
        ({"zone": "south"}, SeriesMismatchError),
        ({"issued": "2026-12-01T20:00:00"}, InvalidTimeError),
        ({"issued": (NOW + HOUR).isoformat()}, InvalidTimeError),
        ({"points": points(0.1, first=NOW + timedelta(days=365))}, InvalidTimeError),
        ({"interval_s": 0}, InvalidTimeError),
        ({"points": points(0.3, 0.2, first=NOW - 5 * HOUR)}, SeriesExpiredError),
        ({"valid_until": (NOW - HOUR).isoformat()}, SeriesExpiredError),
        ({"points": points(30.0, 28.0, 10.0)}, StepChangeError),
        ({"points": points(0.003, 0.001)}, StepChangeError),
    ],
)
def test_invalid_series_raises_the_error_of_its_fault(
    changes: dict[str, Any], error: type[SignalError]
) -> None:
    previous = read_document(series_document())
    with pytest.raises(error):
        read_document(series_document(**changes), None if changes.get("quantity") else previous)


def test_negative_prices_and_other_time_zones_are_accepted() -> None:
    previous = read_document(series_document())
    negative = read_document(series_document(points=points(-0.05, 0.10, 0.20)), previous)
    assert negative.at(NOW) == (-0.05, Quality.FORECAST)
    # The same instants in another time zone, during the night in which clocks are set back there.
    berlin = ZoneInfo("Europe/Berlin")
    first = datetime(2026, 10, 24, 22, 0, tzinfo=UTC)
    body = msgspec.json.encode(
        series_document(
            issued=first.isoformat(), valid_until=(first + 9 * HOUR).isoformat(),
            points=[
                {"start": (first + i * HOUR).astimezone(berlin).isoformat(), "value": 0.1 * i}
                for i in range(8)
            ],
        )
    )  # fmt: skip
    series = read_series(body, "north", Quantity.PRICE, first, DRIFT)
    assert series.start == first and len(series.values) == 8 and series.end == first + 8 * HOUR


@given(st.integers(0, 2000), st.binary(max_size=6))
def test_damaged_body_raises_no_other_error_than_signal_error(cut: int, suffix: bytes) -> None:
    body = msgspec.json.encode(series_document())
    damaged = body[: cut % len(body)] + suffix
    with pytest.raises(SignalError):
        read_series(damaged, "north", Quantity.PRICE, NOW, DRIFT)


def test_missing_signal_falls_back_by_staleness() -> None:
    signal = Signal(Profile(UTC))
    # The profile learns from a measured day; a forecast for the night follows, and then no series.
    day = series_document(
        points=points(*[0.2] * 20, 0.4, 0.4, 0.4, 0.4, first=NOW - 23 * HOUR),
        measured_until=(NOW + HOUR).isoformat(),
    )
    signal.add_series(read_document(day))
    signal.add_series(read_document(series_document(valid_until=(NOW + 4 * HOUR).isoformat())))
    assert signal.at(NOW + 2 * HOUR, NOW) == (0.10, Quality.FORECAST)
    late = NOW + 5 * HOUR
    assert signal.at(late, late) == (0.2, Quality.PROFILE)
    unknown = Signal(Profile(UTC))
    assert unknown.at(late, late) is None
    assert cost_curve([(signal, 1.0), (unknown, 1.0)], late, late + HOUR) is None
    costs = cost_curve([(signal, 1.0), (unknown, 0.0)], late, late + 2 * HOUR)
    assert costs is not None and costs.cost(late, HOUR) == pytest.approx(0.2)


def test_profile_follows_local_time_across_daylight_saving_change() -> None:
    profile = Profile(ZoneInfo("Europe/Berlin"))
    before = datetime(2026, 10, 24, 0, 0, tzinfo=UTC)
    day = Series(
        "north", Quantity.PRICE, "EUR/kWh", "", before, before + 24 * HOUR, before + 24 * HOUR,
        before, HOUR, tuple(0.1 if i in (0, 1, 2) else 0.3 for i in range(24)),
    )  # fmt: skip
    profile.learn(day)
    profile.learn(day)
    # Cheap from 2 to 5 in local time, which is an hour later in UTC once clocks were set back.
    assert profile.at(datetime(2026, 10, 24, 0, 30, tzinfo=UTC)) == 0.1
    assert profile.at(datetime(2026, 10, 25, 3, 30, tzinfo=UTC)) == 0.1
    assert profile.at(datetime(2026, 10, 25, 4, 30, tzinfo=UTC)) == 0.3


def decide_round(
    tracker: HoldTracker,
    works: list[DeferrableJob],
    costs: CostCurve | None,
    now: datetime,
    pools: PoolCapacities = UNLIMITED,
) -> None:
    tracker.begin_round({work.job_id for work in works}, costs, now, pools)
    for work in sorted(works, key=lambda work: work.latest):
        tracker.decide(work, now)


def decide_holds(
    works: list[DeferrableJob], costs: CostCurve | None, now: datetime, capacity: float | None,
    previous: dict[str, Hold],
) -> dict[str, Hold]:  # fmt: skip
    tracker = HoldTracker()
    tracker.holds = {name: hold for name, hold in previous.items() if now < hold.until}
    decide_round(
        tracker, works, costs, now, PoolCapacities({} if capacity is None else {"": capacity})
    )
    return tracker.holds


def hourly_curve(*rates: float) -> CostCurve:
    return CostCurve([NOW + i * HOUR for i in range(len(rates) + 1)], list(rates))


def test_cheapest_safe_window_is_chosen() -> None:
    costs = hourly_curve(0.30, 0.28, 0.10, 0.08, 0.08, 0.20, 0.30, 0.01, 0.01)
    work = DeferrableJob("a", 1.0, 2 * HOUR, NOW + 5 * HOUR)
    hold = decide_holds([work], costs, NOW, None, {})["a"]
    assert hold.until == NOW + 3 * HOUR and hold.saving == pytest.approx(1 - 0.16 / 0.58)
    # A window after the latest safe start is not used.
    short = DeferrableJob("b", 1.0, 2 * HOUR, NOW + HOUR / 2)
    assert decide_holds([short], costs, NOW, None, {})["b"].until == NOW + HOUR / 2
    assert decide_holds([DeferrableJob("c", 1.0, HOUR, NOW)], costs, NOW, None, {}) == {}
    assert decide_holds([work], None, NOW, None, {}) == {}
    # At a constant price no job is held.
    assert decide_holds([work], hourly_curve(*[0.2] * 9), NOW, None, {}) == {}


def test_latest_safe_start_allows_for_estimate_error_and_slack() -> None:
    deadline = NOW + 10 * HOUR
    start = latest_safe_start(NOW, deadline, 2 * HOUR, 1.5, HOUR, 1.0)
    assert start == NOW + 6 * HOUR
    assert latest_safe_start(NOW, deadline, 2 * HOUR, 1.5, HOUR, 0.5) == NOW + 3 * HOUR
    assert latest_safe_start(NOW, deadline, 9 * HOUR, 1.5, HOUR, 1.0) == NOW


def test_later_deadlines_yield_when_a_window_is_full() -> None:
    costs = hourly_curve(0.30, 0.30, 0.10, 0.30, 0.12, 0.30, 0.30)
    early = [DeferrableJob(f"early {i}", 1.0, HOUR * 0.9, NOW + 3 * HOUR) for i in range(2)]
    late = DeferrableJob("late", 1.0, HOUR * 0.9, NOW + 6 * HOUR)
    holds = decide_holds([late, *early], costs, NOW, 2.0, {})
    assert {holds[w.job_id].until for w in early} == {NOW + 2 * HOUR}
    assert holds["late"].until == NOW + 4 * HOUR
    # The cheapest hour has capacity for two jobs: the others get other windows or start now.
    many = [DeferrableJob(f"w{i}", 1.0, HOUR * 0.9, NOW + 5 * HOUR) for i in range(12)]
    holds = decide_holds(many, costs, NOW, 2.0, {})
    taken: dict[datetime, int] = {}
    for hold in holds.values():
        taken[hold.until] = taken.get(hold.until, 0) + 1
    assert len(holds) < len(many) and max(taken.values()) <= 2


def test_alternating_forecast_does_not_move_holds() -> None:
    one = hourly_curve(0.30, 0.30, 0.100, 0.30, 0.104, 0.30)
    other = hourly_curve(0.30, 0.30, 0.104, 0.30, 0.100, 0.30)
    tracker = HoldTracker()
    work = DeferrableJob("a", 1.0, HOUR, NOW + 5 * HOUR)
    seen = set()
    for turn in range(6):
        decide_round(tracker, [work], other if turn % 2 else one, NOW + turn * timedelta(minutes=5))
        seen.add(tracker.holds["a"].until)
    assert seen == {NOW + 2 * HOUR}
    # A released job is not held again, even if a later hour becomes cheaper.
    decide_round(tracker, [work], one, NOW + 2 * HOUR)
    assert tracker.active_hold("a", NOW + 2 * HOUR) is None
    decide_round(tracker, [work], hourly_curve(0.3, 0.3, 0.3, 0.3, 0.01, 0.3), NOW + 2 * HOUR)
    assert tracker.active_hold("a", NOW + 2 * HOUR) is None


def test_lost_signal_releases_held_jobs() -> None:
    tracker = HoldTracker()
    work = DeferrableJob("a", 1.0, HOUR, NOW + 5 * HOUR)
    decide_round(tracker, [work], hourly_curve(0.3, 0.3, 0.1, 0.3, 0.3, 0.3), NOW)
    assert tracker.active_hold("a", NOW) is not None
    decide_round(tracker, [work], None, NOW + HOUR)
    assert tracker.active_hold("a", NOW + HOUR) is None


WORKS = st.lists(
    st.tuples(st.floats(0.5, 4.0), st.floats(0.1, 5.0), st.floats(-1.0, 9.0)), max_size=12
)


@given(
    WORKS,
    st.lists(st.floats(-0.2, 1.0), min_size=15, max_size=15),
    st.none() | st.floats(1.0, 6.0),
    st.floats(0.0, 8.0),
)
def test_holds_are_safe_no_dearer_and_within_capacity(
    drawn: list[tuple[float, float, float]], rates: list[float], capacity: float | None, past: float
) -> None:
    works = [
        DeferrableJob(f"w{i}", units, HOUR * hours, NOW + HOUR * latest)
        for i, (units, hours, latest) in enumerate(drawn)
    ]
    costs = hourly_curve(*rates)
    previous = {w.job_id: Hold(NOW + HOUR * past, w.latest, 0.5) for w in works[::2]}
    holds = decide_holds(works, costs, NOW, capacity, previous)
    for work in works:
        hold = holds.get(work.job_id)
        if hold is not None:
            assert NOW < hold.until <= work.latest
            cost = costs.cost(hold.until, work.duration)
            assert cost <= costs.cost(NOW, work.duration) + 1e-9
    if capacity is not None:
        for i in range(15):
            instant = NOW + i * HOUR
            used = sum(
                w.units for w in works if w.job_id in holds
                and holds[w.job_id].until <= instant < holds[w.job_id].until + w.duration
            )  # fmt: skip
            assert used <= capacity + 1e-9
