"""Carbon and tariff timing: what is taken from a feed, and what is held until when."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from micadeal.clock import seconds
from micadeal.operator.platform import Team
from micadeal.operator.policy import Flexible, Policy
from micadeal.operator.script import InvalidScriptError, evaluate, policy_from_values
from micadeal.scheduling import explanations
from micadeal.scheduling.deferral import Deferral
from micadeal.timing import series as read
from micadeal.timing.cost_curve import CostCurve
from micadeal.timing.series import Quality, Quantity, Series, SignalError, read_series
from micadeal.timing.shift import Hold, Keeper, Pools, Work, latest_safe_start
from micadeal.timing.signal import Profile, Signal, cost_curve
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import Picture

NOW = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
HOUR = timedelta(hours=1)
DRIFT = timedelta(seconds=5)
ROOMY = Pools({})


def document(**changes: Any) -> dict[str, Any]:
    found: dict[str, Any] = {
        "zone": "north", "quantity": "price", "unit": "EUR/kWh", "source": "the grid",
        "issued": NOW.isoformat(), "valid_until": (NOW + 12 * HOUR).isoformat(),
        "measured_until": NOW.isoformat(), "interval_s": 3600,
        "points": [
            {"start": (NOW + i * HOUR).isoformat(), "value": v}
            for i, v in enumerate([0.30, 0.28, 0.10, 0.08, 0.08, 0.20, 0.30, 0.35])
        ],
    }  # fmt: skip
    return found | changes


def take(changed: dict[str, Any], last: Series | None = None) -> Series:
    body = msgspec.json.encode(changed)
    return read_series(body, "north", Quantity(changed["quantity"]), NOW, DRIFT, last)


def points(*values: float, first: datetime = NOW, apart: timedelta = HOUR) -> list[dict[str, Any]]:
    return [{"start": (first + i * apart).isoformat(), "value": v} for i, v in enumerate(values)]


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"points": points(0.3) + points(0.2, first=NOW + 2 * HOUR)}, read.SeriesGapError),
        ({"points": points(0.3) + points(0.2, first=NOW + HOUR / 2)}, read.SeriesOverlapError),
        ({"points": points(0.3, 0.2)[::-1]}, read.SeriesOverlapError),
        ({"points": []}, read.MalformedSeriesError),
        ({"points": points(*[0.1] * 2017, apart=timedelta(minutes=1))}, read.MalformedSeriesError),
        ({"unit": "EUR/MWh"}, read.UnitMismatchError),
        ({"quantity": "carbon"}, read.UnitMismatchError),
        (
            {"quantity": "carbon", "unit": "gCO2/kWh", "points": points(-1.0)},
            read.InvalidValueError,
        ),
        ({"zone": "south"}, read.SeriesMismatchError),
        ({"issued": "2026-12-01T20:00:00"}, read.InvalidTimeError),
        ({"issued": (NOW + HOUR).isoformat()}, read.InvalidTimeError),
        ({"points": points(0.1, first=NOW + timedelta(days=365))}, read.InvalidTimeError),
        ({"interval_s": 0}, read.InvalidTimeError),
        ({"points": points(0.3, 0.2, first=NOW - 5 * HOUR)}, read.SeriesExpiredError),
        ({"valid_until": (NOW - HOUR).isoformat()}, read.SeriesExpiredError),
        ({"points": points(30.0, 28.0, 10.0)}, read.StepChangeError),
        ({"points": points(0.003, 0.001)}, read.StepChangeError),
    ],
)
def test_a_bad_series_is_refused_by_name(changes: dict[str, Any], error: type[SignalError]) -> None:
    last = take(document())
    with pytest.raises(error):
        take(document(**changes), None if changes.get("quantity") else last)


def test_what_is_legal_is_taken() -> None:
    last = take(document())
    negative = take(document(points=points(-0.05, 0.10, 0.20)), last)
    assert negative.at(NOW) == (-0.05, Quality.FORECAST)
    # The same instants written in another zone, over the night in which clocks go back there.
    berlin = ZoneInfo("Europe/Berlin")
    first = datetime(2026, 10, 24, 22, 0, tzinfo=UTC)
    body = msgspec.json.encode(
        document(
            issued=first.isoformat(), valid_until=(first + 9 * HOUR).isoformat(),
            points=[
                {"start": (first + i * HOUR).astimezone(berlin).isoformat(), "value": 0.1 * i}
                for i in range(8)
            ],
        )
    )  # fmt: skip
    found = read_series(body, "north", Quantity.PRICE, first, DRIFT)
    assert found.start == first and len(found.values) == 8 and found.end == first + 8 * HOUR


@given(st.integers(0, 2000), st.binary(max_size=6))
def test_a_damaged_body_is_refused_and_nothing_else(cut: int, dirt: bytes) -> None:
    body = msgspec.json.encode(document())
    damaged = body[: cut % len(body)] + dirt
    with pytest.raises(SignalError):
        read_series(damaged, "north", Quantity.PRICE, NOW, DRIFT)


def test_a_signal_that_goes_missing_falls_back_by_staleness() -> None:
    signal = Signal(Profile(UTC))
    # A measured day teaches the profile; then a forecast for the night comes, and no more after it.
    day = document(
        points=points(*[0.2] * 20, 0.4, 0.4, 0.4, 0.4, first=NOW - 23 * HOUR),
        measured_until=(NOW + HOUR).isoformat(),
    )
    signal.take(take(day))
    signal.take(take(document(valid_until=(NOW + 4 * HOUR).isoformat())))
    assert signal.at(NOW + 2 * HOUR, NOW) == (0.10, Quality.FORECAST)
    late = NOW + 5 * HOUR
    assert signal.at(late, late) == (0.2, Quality.PROFILE)
    unknown = Signal(Profile(UTC))
    assert unknown.at(late, late) is None
    assert cost_curve([(signal, 1.0), (unknown, 1.0)], late, late + HOUR) is None
    curve = cost_curve([(signal, 1.0), (unknown, 0.0)], late, late + 2 * HOUR)
    assert curve is not None and curve.cost(late, HOUR) == pytest.approx(0.2)


def test_a_profile_follows_local_time_over_a_change_of_clocks() -> None:
    profile = Profile(ZoneInfo("Europe/Berlin"))
    before = datetime(2026, 10, 24, 0, 0, tzinfo=UTC)
    night = Series(
        "north", Quantity.PRICE, "EUR/kWh", "", before, before + 24 * HOUR, before + 24 * HOUR,
        before, HOUR, tuple(0.1 if i in (0, 1, 2) else 0.3 for i in range(24)),
    )  # fmt: skip
    profile.learn(night)
    profile.learn(night)
    # Cheap from 2 to 5 by the clock on the wall: an hour later in UTC once clocks went back.
    assert profile.at(datetime(2026, 10, 24, 0, 30, tzinfo=UTC)) == 0.1
    assert profile.at(datetime(2026, 10, 25, 3, 30, tzinfo=UTC)) == 0.1
    assert profile.at(datetime(2026, 10, 25, 4, 30, tzinfo=UTC)) == 0.3


def refresh(
    keeper: Keeper, works: list[Work], night: CostCurve | None, now: datetime, pools: Pools = ROOMY
) -> None:
    keeper.begin({work.job_id for work in works}, night, now, pools)
    for work in sorted(works, key=lambda work: work.latest):
        keeper.consider(work, now)


def plan(
    works: list[Work], night: CostCurve | None, now: datetime, capacity: float | None,
    former: dict[str, Hold],
) -> dict[str, Hold]:  # fmt: skip
    keeper = Keeper()
    keeper.holds = {name: hold for name, hold in former.items() if now < hold.until}
    refresh(keeper, works, night, now, Pools({} if capacity is None else {"": capacity}))
    return keeper.holds


def curve(*rates: float) -> CostCurve:
    return CostCurve([NOW + i * HOUR for i in range(len(rates) + 1)], list(rates))


def test_the_cheapest_window_that_is_safe_is_taken() -> None:
    night = curve(0.30, 0.28, 0.10, 0.08, 0.08, 0.20, 0.30, 0.01, 0.01)
    work = Work("a", 1.0, 2 * HOUR, NOW + 5 * HOUR)
    hold = plan([work], night, NOW, None, {})["a"]
    assert hold.until == NOW + 3 * HOUR and hold.saving == pytest.approx(1 - 0.16 / 0.58)
    # Of a window that opens too late to finish in nothing is used.
    short = Work("b", 1.0, 2 * HOUR, NOW + HOUR / 2)
    assert plan([short], night, NOW, None, {})["b"].until == NOW + HOUR / 2
    assert plan([Work("c", 1.0, HOUR, NOW)], night, NOW, None, {}) == {}
    assert plan([work], None, NOW, None, {}) == {}
    # A flat price holds nothing.
    assert plan([work], curve(*[0.2] * 9), NOW, None, {}) == {}


def test_slack_is_what_is_left_for_an_estimate_that_is_wrong() -> None:
    deadline = NOW + 10 * HOUR
    start = latest_safe_start(NOW, deadline, 2 * HOUR, 1.5, HOUR, 1.0)
    assert start == NOW + 6 * HOUR
    assert latest_safe_start(NOW, deadline, 2 * HOUR, 1.5, HOUR, 0.5) == NOW + 3 * HOUR
    assert latest_safe_start(NOW, deadline, 9 * HOUR, 1.5, HOUR, 1.0) == NOW


def test_later_deadlines_give_way_where_a_window_is_full() -> None:
    night = curve(0.30, 0.30, 0.10, 0.30, 0.12, 0.30, 0.30)
    early = [Work(f"early {i}", 1.0, HOUR * 0.9, NOW + 3 * HOUR) for i in range(2)]
    late = Work("late", 1.0, HOUR * 0.9, NOW + 6 * HOUR)
    holds = plan([late, *early], night, NOW, 2.0, {})
    assert {holds[w.job_id].until for w in early} == {NOW + 2 * HOUR}
    assert holds["late"].until == NOW + 4 * HOUR
    # All want one hour, and most can't have it: the rest is spread, or begins at once.
    many = [Work(f"w{i}", 1.0, HOUR * 0.9, NOW + 5 * HOUR) for i in range(12)]
    holds = plan(many, night, NOW, 2.0, {})
    taken: dict[datetime, int] = {}
    for hold in holds.values():
        taken[hold.until] = taken.get(hold.until, 0) + 1
    assert len(holds) < len(many) and max(taken.values()) <= 2


def test_a_forecast_that_flips_moves_nothing() -> None:
    one = curve(0.30, 0.30, 0.100, 0.30, 0.104, 0.30)
    other = curve(0.30, 0.30, 0.104, 0.30, 0.100, 0.30)
    keeper = Keeper()
    work = Work("a", 1.0, HOUR, NOW + 5 * HOUR)
    seen = set()
    for turn in range(6):
        refresh(keeper, [work], other if turn % 2 else one, NOW + turn * timedelta(minutes=5))
        seen.add(keeper.holds["a"].until)
    assert seen == {NOW + 2 * HOUR}
    # What was let go is not held again, however cheap a later hour becomes.
    refresh(keeper, [work], one, NOW + 2 * HOUR)
    assert keeper.held("a", NOW + 2 * HOUR) is None
    refresh(keeper, [work], curve(0.3, 0.3, 0.3, 0.3, 0.01, 0.3), NOW + 2 * HOUR)
    assert keeper.held("a", NOW + 2 * HOUR) is None


def test_a_signal_that_is_lost_releases_what_is_held() -> None:
    keeper = Keeper()
    work = Work("a", 1.0, HOUR, NOW + 5 * HOUR)
    refresh(keeper, [work], curve(0.3, 0.3, 0.1, 0.3, 0.3, 0.3), NOW)
    assert keeper.held("a", NOW) is not None
    refresh(keeper, [work], None, NOW + HOUR)
    assert keeper.held("a", NOW + HOUR) is None


WORKS = st.lists(
    st.tuples(st.floats(0.5, 4.0), st.floats(0.1, 5.0), st.floats(-1.0, 9.0)), max_size=12
)


@given(
    WORKS,
    st.lists(st.floats(-0.2, 1.0), min_size=15, max_size=15),
    st.none() | st.floats(1.0, 6.0),
    st.floats(0.0, 8.0),
)
def test_no_hold_lasts_longer_than_is_safe_costs_more_or_overfills(
    rough: list[tuple[float, float, float]], rates: list[float], capacity: float | None, past: float
) -> None:
    works = [
        Work(f"w{i}", units, HOUR * hours, NOW + HOUR * latest)
        for i, (units, hours, latest) in enumerate(rough)
    ]
    night = curve(*rates)
    former = {w.job_id: Hold(NOW + HOUR * past, w.latest, 0.5) for w in works[::2]}
    holds = plan(works, night, NOW, capacity, former)
    for work in works:
        hold = holds.get(work.job_id)
        if hold is not None:
            assert NOW < hold.until <= work.latest
            start = night.cost(hold.until, work.duration)
            assert start <= night.cost(NOW, work.duration) + 1e-9
    if capacity is not None:
        for i in range(15):
            instant = NOW + i * HOUR
            held = sum(
                w.units for w in works if w.job_id in holds
                and holds[w.job_id].until <= instant < holds[w.job_id].until + w.duration
            )  # fmt: skip
            assert held <= capacity + 1e-9


NIGHTLY = {
    "job_class": "nightly", "shape": Shape.ARRAY, "priority": Priority.STANDARD, "tasks": 2,
    "spot_allowed": False, "estimate_s": 3600.0, "deadline_s": 9 * 3600.0, "team": "team-0",
    "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0, "one_zone": False, "spread": False,
}  # fmt: skip
#: Cheap from the third to the fifth hour.
PRICES = points(0.30, 0.30, 0.30, 0.10, 0.10, 0.30, 0.30, 0.30, 0.30, 0.30, 0.30, 0.30)


def dusk(ends: int = 40, **policy: Any) -> Picture:
    """Six free machines; a class whose estimates are good; a night's forecast."""
    picture = Picture(6, 0)
    scheduler = picture.scheduler
    scheduler.policy = Policy(flexible={"nightly": Flexible(slack=1.0)}, **policy)
    scheduler.holding = evening(picture, ends)
    return picture


def evening(picture: Picture, ends: int = 40) -> Deferral:
    holding = Deferral(picture.cluster, UTC, DRIFT)
    holding.take(take(document(points=PRICES)))
    holding.learn([("nightly", 1.0)] * ends)
    return holding


def go(picture: Picture, hours: float = 0.0) -> None:
    """Some hours later: every machine reports, windows are chosen, a pass is made."""
    picture.now += HOUR * hours
    for name in picture.cluster.machines:
        picture.heartbeat(name)
    picture.scheduler.hold(picture.now, NOW + (picture.now - seconds(100)))
    picture.scheduler.run_cycle(picture.now)


def test_a_held_job_holds_nothing_and_starts_in_its_window() -> None:
    picture = dusk()
    go(picture)
    job = picture.submit(**NIGHTLY)
    other = picture.submit(**(NIGHTLY | {"job_class": "daily"}))
    go(picture)
    assert other.attempts and not job.attempts
    assert picture.scheduler.plan.teams["gpus"]["team-0"].demand == 2.0
    said = explanations.why(picture.scheduler, job.id, picture.now)
    assert said is not None and said.reasons[0].reason == (
        "held for a better hour until 2026-12-01 23:00 UTC, to save 67%"
    )
    picture.now += seconds(90)
    seen = explanations.overview(picture.scheduler, "c0", picture.now, True)
    assert seen.jobs["held"] == 1 and not seen.stuck
    go(picture, 2.9)
    assert not job.attempts
    go(picture, 0.1)
    assert len(job.attempts) == 2


def test_who_may_not_be_held_starts_at_once() -> None:
    short = Team("team-0", 0.0, 100.0, None, 200.0)
    for changes in (
        {"deadline_s": None},
        {"shape": Shape.SERVICE, "priority": Priority.PRODUCTION},
        {"priority": Priority.PRODUCTION},
        {"deadline_s": 2 * 3600.0},
    ):
        picture = dusk()
        job = picture.submit(**(NIGHTLY | changes))
        go(picture)
        assert job.attempts, changes
    # Nobody knows how wrong its estimates are; somebody waits for its class.
    few = dusk(ends=5)
    job = few.submit(**NIGHTLY)
    go(few)
    assert job.attempts
    watched = dusk()
    job = watched.submit(**(NIGHTLY | {"job_class": "live"}))
    watched.scheduler.policy = Policy(flexible={"live": Flexible(slack=1.0)})
    assert watched.scheduler.holding is not None
    watched.scheduler.holding.learn([("live", 1.0)] * 40)
    go(watched)
    assert job.attempts
    # Its team waits for room below its guarantee.
    poor = dusk()
    poor.cluster.teams["team-0"] = short
    poor.submit(**(NIGHTLY | {"job_class": "daily", "tasks": 40}))
    go(poor)
    job = poor.submit(**NIGHTLY)
    go(poor, 0.01)
    assert poor.scheduler.holding is not None
    assert poor.scheduler.holding.held(job, poor.now) is not None
    go(poor, 0.05)
    assert poor.scheduler.holding.held(job, poor.now) is None


def test_a_new_leader_decides_alike_and_holds_nothing_longer() -> None:
    picture = dusk()
    job = picture.submit(**NIGHTLY)
    go(picture)
    assert picture.scheduler.holding is not None
    first = picture.scheduler.holding.held(job, picture.now)
    assert first is not None
    # The next one has the records and the series, and not what the first remembered.
    picture.scheduler.holding = evening(picture)
    go(picture, 0.5)
    second = picture.scheduler.holding.held(job, picture.now)
    assert second is not None
    assert (second.until, second.latest) == (first.until, first.latest)
    # One that has no series holds nothing.
    picture.scheduler.holding = Deferral(picture.cluster, UTC, DRIFT)
    go(picture, 0.5)
    assert job.attempts


def test_the_slack_of_a_chain_is_that_of_all_its_jobs() -> None:
    picture = dusk()
    first = picture.submit(**(NIGHTLY | {"deadline_s": 24 * 3600.0}))
    picture.submit(**(NIGHTLY | {"prerequisites": [first.id], "deadline_s": 3.5 * 3600.0}))
    go(picture)
    assert picture.scheduler.holding is not None
    hold = picture.scheduler.holding.held(first, picture.now)
    # The second takes an hour, so the first must end an hour before its deadline.
    assert hold is None or hold.latest < NOW + 1.5 * HOUR


def test_settings_for_flexible_work_are_checked() -> None:
    values, _ = evaluate('flexible = {"nightly": {"slack": 0.5, "carbon": 0.1}}\n', "policy.star")
    assert policy_from_values(values).flexible["nightly"] == Flexible(0.5, 1.0, 0.1)
    for wrong in ('{"slack": 1.5}', '{"money": -1}', '{"money": 0}', '{"window": 3}'):
        with pytest.raises(InvalidScriptError, match=r"policy\.star:2"):
            evaluate(f'refresh_s = 2\nflexible = {{"nightly": {wrong}}}\n', "policy.star")


def test_a_hold_that_ends_while_windows_are_chosen_is_over() -> None:
    """Guards against a job that is held again though its hour has come: windows are chosen for some
    jobs at a time, on a curve that is a little older."""
    keeper = Keeper()
    work = Work("a", 1.0, HOUR, NOW + 5 * HOUR)
    refresh(keeper, [work], curve(0.3, 0.1, 0.3, 0.3, 0.3, 0.3), NOW)
    begun = NOW + HOUR - timedelta(seconds=5)
    later = CostCurve([begun + i * HOUR for i in range(7)], [0.3, 0.3, 0.3, 0.01, 0.3, 0.3])
    keeper.begin({"a"}, later, begun, ROOMY)
    keeper.consider(work, NOW + HOUR)
    assert keeper.held("a", NOW + HOUR) is None


def test_no_window_reaches_beyond_what_is_known() -> None:
    work = Work("a", 1.0, 2 * HOUR, NOW + 8 * HOUR)
    assert plan([work], curve(0.3, 0.3, 0.2, 0.01), NOW, None, {})["a"].until == NOW + 2 * HOUR
    assert plan([work], curve(0.3), NOW, None, {}) == {}


def test_a_profile_learns_what_was_measured_and_no_guess() -> None:
    profile = Profile(UTC)
    profile.learn(take(document(measured_until=(NOW + HOUR).isoformat())))
    assert profile.at(NOW + HOUR / 2) == 0.30
    assert profile.at(NOW + HOUR) is None


def test_flexible_work_goes_behind_what_can_not_wait() -> None:
    picture = dusk()
    assert picture.scheduler.holding is not None
    # A flat price: nothing is held, but it still has time.
    picture.scheduler.holding.take(take(document(points=points(*[0.3] * 12))))
    flexible = picture.submit(**(NIGHTLY | {"tasks": 8}))
    daily = picture.submit(**(NIGHTLY | {"job_class": "daily", "tasks": 8, "deadline_s": 36_000}))
    go(picture)
    assert picture.scheduler.holding.held(flexible, picture.now) is None
    assert len(daily.attempts) == 6 and not flexible.attempts


def test_an_array_that_takes_several_rounds_must_start_sooner() -> None:
    picture = dusk()
    go(picture)
    guarantee = int(picture.cluster.teams["team-0"].gpus)
    job = picture.submit(**(NIGHTLY | {"tasks": 3 * guarantee, "deadline_s": 8 * 3600.0}))
    picture.submit(**(NIGHTLY | {"job_class": "daily", "tasks": 1}))
    go(picture, 0.01)
    go(picture, 0.01)
    assert picture.scheduler.holding is not None
    hold = picture.scheduler.holding.held(job, picture.now)
    assert hold is not None and NOW + 4 * HOUR < hold.latest < NOW + 4.8 * HOUR


def test_the_error_of_estimates_is_learned_from_what_ends() -> None:
    picture = dusk(ends=19)
    job = picture.submit(**NIGHTLY)
    go(picture)
    assert job.attempts
    picture.cluster.written("placed/7/1", list(job.all_attempts()), picture.now)
    go(picture)
    go(picture)
    picture.now += 2 * HOUR
    for name in picture.cluster.machines:
        picture.heartbeat(name, done=2)
    go(picture, 0.1)
    # Twice its estimate, and a tenth more: an hour is counted as 2.2.
    later = picture.submit(**NIGHTLY)
    go(picture, 0.01)
    assert picture.scheduler.holding is not None
    hold = picture.scheduler.holding.held(later, picture.now)
    latest = NOW + (later.submitted - seconds(100)) + 9 * HOUR - 2.2 * HOUR
    assert hold is not None and latest - HOUR / 10 < hold.latest < latest + HOUR / 20
