"""Deferral of flexible jobs in a cluster: windows, leader changes, settings, learned estimates."""

from __future__ import annotations

from datetime import UTC, timedelta
from typing import Any

import pytest

from micadeal.clock import seconds
from micadeal.operator.platform import Team
from micadeal.operator.policy import Flexible, Policy
from micadeal.operator.script import InvalidScriptError, evaluate, policy_from_values
from micadeal.scheduling import explanations
from micadeal.scheduling.deferral import Deferral
from micadeal.timing.cost_curve import CostCurve
from micadeal.timing.shift import (
    DeferrableJob,
    HoldTracker,
)
from micadeal.timing.signal import Profile
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import RandomDeployment
from tests.test_timing import (
    DRIFT,
    HOUR,
    NOW,
    UNLIMITED,
    decide_holds,
    decide_round,
    hourly_curve,
    points,
    read_document,
    series_document,
)

NIGHTLY = {
    "job_class": "nightly", "shape": Shape.ARRAY, "priority": Priority.STANDARD, "tasks": 2,
    "spot_allowed": False, "estimate_s": 3600.0, "deadline_s": 9 * 3600.0, "team": "team-0",
    "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0, "one_zone": False, "spread": False,
}  # fmt: skip
#: Cheap from the third to the fifth hour.
PRICES = points(0.30, 0.30, 0.30, 0.10, 0.10, 0.30, 0.30, 0.30, 0.30, 0.30, 0.30, 0.30)


def simulate_deferral(ended_tasks: int = 40, **policy: Any) -> RandomDeployment:
    """Return six free machines, a class with exact estimates and a price forecast."""
    simulation = RandomDeployment(6, 0)
    scheduler = simulation.scheduler
    scheduler.policy = Policy(flexible={"nightly": Flexible(slack=1.0)}, **policy)
    scheduler.deferral = deferral_with_prices(simulation, ended_tasks)
    return simulation


def deferral_with_prices(simulation: RandomDeployment, ended_tasks: int = 40) -> Deferral:
    deferral = Deferral(simulation.cluster, UTC, DRIFT)
    deferral.add_series(read_document(series_document(points=PRICES)))
    deferral.record_run_times([("nightly", 1.0)] * ended_tasks)
    return deferral


def advance(simulation: RandomDeployment, hours: float = 0.0) -> None:
    """Let hours pass, then report every machine, choose windows and run a scheduling cycle."""
    simulation.now += HOUR * hours
    for name in simulation.cluster.machines:
        simulation.heartbeat(name)
    simulation.scheduler.refresh_deferral(simulation.now, NOW + (simulation.now - seconds(100)))
    simulation.scheduler.run_cycle(simulation.now)


def test_held_job_has_no_demand_and_starts_in_its_window() -> None:
    simulation = simulate_deferral()
    advance(simulation)
    job = simulation.submit(**NIGHTLY)
    other = simulation.submit(**(NIGHTLY | {"job_class": "daily"}))
    advance(simulation)
    assert other.attempts and not job.attempts
    assert simulation.scheduler.plan.teams["gpus"]["team-0"].demand == 2.0
    explanation = explanations.why(simulation.scheduler, job.id, simulation.now)
    assert explanation is not None and explanation.reasons[0].reason == (
        "held for a better hour until 2026-12-01 23:00 UTC, to save 67%"
    )
    simulation.now += seconds(90)
    overview = explanations.overview(simulation.scheduler, "c0", simulation.now, True)
    assert overview.jobs["held"] == 1 and not overview.stuck
    advance(simulation, 2.9)
    assert not job.attempts
    advance(simulation, 0.1)
    assert len(job.attempts) == 2


def test_jobs_that_may_not_be_held_start_at_once() -> None:
    team_with_guarantee = Team("team-0", 0.0, 100.0, None, 200.0)
    for changes in (
        {"deadline_s": None},
        {"shape": Shape.SERVICE, "priority": Priority.PRODUCTION},
        {"priority": Priority.PRODUCTION},
        {"deadline_s": 2 * 3600.0},
    ):
        simulation = simulate_deferral()
        job = simulation.submit(**(NIGHTLY | changes))
        advance(simulation)
        assert job.attempts, changes
    # Too few tasks of its class have ended: the error of its estimates is unknown.
    few_samples = simulate_deferral(ended_tasks=5)
    job = few_samples.submit(**NIGHTLY)
    advance(few_samples)
    assert job.attempts
    # Its class has an objective for its waiting time.
    with_objective = simulate_deferral()
    job = with_objective.submit(**(NIGHTLY | {"job_class": "live"}))
    with_objective.scheduler.policy = Policy(flexible={"live": Flexible(slack=1.0)})
    assert with_objective.scheduler.deferral is not None
    with_objective.scheduler.deferral.record_run_times([("live", 1.0)] * 40)
    advance(with_objective)
    assert job.attempts
    # Its team is below its guarantee and waits for capacity.
    below_guarantee = simulate_deferral()
    below_guarantee.cluster.teams["team-0"] = team_with_guarantee
    below_guarantee.submit(**(NIGHTLY | {"job_class": "daily", "tasks": 40}))
    advance(below_guarantee)
    job = below_guarantee.submit(**NIGHTLY)
    advance(below_guarantee, 0.01)
    assert below_guarantee.scheduler.deferral is not None
    assert below_guarantee.scheduler.deferral.active_hold(job, below_guarantee.now) is not None
    advance(below_guarantee, 0.05)
    assert below_guarantee.scheduler.deferral.active_hold(job, below_guarantee.now) is None


def test_new_leader_decides_alike_and_holds_no_job_longer() -> None:
    simulation = simulate_deferral()
    job = simulation.submit(**NIGHTLY)
    advance(simulation)
    assert simulation.scheduler.deferral is not None
    first = simulation.scheduler.deferral.active_hold(job, simulation.now)
    assert first is not None
    # The next leader has the records and the series, but not the state of the first leader.
    simulation.scheduler.deferral = deferral_with_prices(simulation)
    advance(simulation, 0.5)
    second = simulation.scheduler.deferral.active_hold(job, simulation.now)
    assert second is not None
    assert (second.until, second.latest) == (first.until, first.latest)
    # A leader without a series holds no jobs.
    simulation.scheduler.deferral = Deferral(simulation.cluster, UTC, DRIFT)
    advance(simulation, 0.5)
    assert job.attempts


def test_slack_of_a_dependency_chain_counts_all_its_jobs() -> None:
    simulation = simulate_deferral()
    first = simulation.submit(**(NIGHTLY | {"deadline_s": 24 * 3600.0}))
    simulation.submit(**(NIGHTLY | {"prerequisites": [first.id], "deadline_s": 3.5 * 3600.0}))
    advance(simulation)
    assert simulation.scheduler.deferral is not None
    hold = simulation.scheduler.deferral.active_hold(first, simulation.now)
    # The second takes an hour, so the first must end an hour before its deadline.
    assert hold is None or hold.latest < NOW + 1.5 * HOUR


def test_flexible_settings_are_validated() -> None:
    values, _ = evaluate('flexible = {"nightly": {"slack": 0.5, "carbon": 0.1}}\n', "policy.star")
    assert policy_from_values(values).flexible["nightly"] == Flexible(0.5, 1.0, 0.1)
    for invalid in ('{"slack": 1.5}', '{"money": -1}', '{"money": 0}', '{"window": 3}'):
        with pytest.raises(InvalidScriptError, match=r"policy\.star:2"):
            evaluate(f'refresh_s = 2\nflexible = {{"nightly": {invalid}}}\n', "policy.star")


def test_hold_that_expires_during_a_round_is_not_renewed() -> None:
    """Guards against a job that is held again although its window has begun.

    Windows are chosen for some jobs at a time, on a cost curve that is slightly older.
    """
    tracker = HoldTracker()
    work = DeferrableJob("a", 1.0, HOUR, NOW + 5 * HOUR)
    decide_round(tracker, [work], hourly_curve(0.3, 0.1, 0.3, 0.3, 0.3, 0.3), NOW)
    round_start = NOW + HOUR - timedelta(seconds=5)
    later = CostCurve([round_start + i * HOUR for i in range(7)], [0.3, 0.3, 0.3, 0.01, 0.3, 0.3])
    tracker.begin_round({"a"}, later, round_start, UNLIMITED)
    tracker.decide(work, NOW + HOUR)
    assert tracker.active_hold("a", NOW + HOUR) is None


def test_no_window_reaches_beyond_known_costs() -> None:
    work = DeferrableJob("a", 1.0, 2 * HOUR, NOW + 8 * HOUR)
    assert (
        decide_holds([work], hourly_curve(0.3, 0.3, 0.2, 0.01), NOW, None, {})["a"].until
        == NOW + 2 * HOUR
    )
    assert decide_holds([work], hourly_curve(0.3), NOW, None, {}) == {}


def test_profile_learns_measured_values_only() -> None:
    profile = Profile(UTC)
    profile.learn(read_document(series_document(measured_until=(NOW + HOUR).isoformat())))
    assert profile.at(NOW + HOUR / 2) == 0.30
    assert profile.at(NOW + HOUR) is None


def test_flexible_jobs_are_ordered_behind_jobs_that_cannot_wait() -> None:
    simulation = simulate_deferral()
    assert simulation.scheduler.deferral is not None
    # At a flat price no job is held, but the flexible job can still wait.
    simulation.scheduler.deferral.add_series(
        read_document(series_document(points=points(*[0.3] * 12)))
    )
    flexible = simulation.submit(**(NIGHTLY | {"tasks": 8}))
    daily = simulation.submit(
        **(NIGHTLY | {"job_class": "daily", "tasks": 8, "deadline_s": 36_000})
    )
    advance(simulation)
    assert simulation.scheduler.deferral.active_hold(flexible, simulation.now) is None
    assert len(daily.attempts) == 6 and not flexible.attempts


def test_array_that_needs_several_rounds_starts_earlier() -> None:
    simulation = simulate_deferral()
    advance(simulation)
    guarantee = int(simulation.cluster.teams["team-0"].gpus)
    job = simulation.submit(**(NIGHTLY | {"tasks": 3 * guarantee, "deadline_s": 8 * 3600.0}))
    simulation.submit(**(NIGHTLY | {"job_class": "daily", "tasks": 1}))
    advance(simulation, 0.01)
    advance(simulation, 0.01)
    assert simulation.scheduler.deferral is not None
    hold = simulation.scheduler.deferral.active_hold(job, simulation.now)
    assert hold is not None and NOW + 4 * HOUR < hold.latest < NOW + 4.8 * HOUR


def test_estimate_errors_are_learned_from_ended_tasks() -> None:
    simulation = simulate_deferral(ended_tasks=19)
    job = simulation.submit(**NIGHTLY)
    advance(simulation)
    assert job.attempts
    simulation.cluster.placements_written("placed/7/1", list(job.all_attempts()), simulation.now)
    advance(simulation)
    advance(simulation)
    simulation.now += 2 * HOUR
    for name in simulation.cluster.machines:
        simulation.heartbeat(name, done=2)
    advance(simulation, 0.1)
    # Tasks took twice their estimate.  With a margin of a tenth, an hour counts as 2.2 hours.
    later = simulation.submit(**NIGHTLY)
    advance(simulation, 0.01)
    assert simulation.scheduler.deferral is not None
    hold = simulation.scheduler.deferral.active_hold(later, simulation.now)
    latest = NOW + (later.submitted_at - seconds(100)) + 9 * HOUR - 2.2 * HOUR
    assert hold is not None and latest - HOUR / 10 < hold.latest < latest + HOUR / 20
