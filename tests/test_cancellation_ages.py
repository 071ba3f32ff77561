"""Ages of cancellations: the age that a peer reports may be too low but never too high."""

from __future__ import annotations

import math

import pytest

from micadeal.clock import seconds
from micadeal.controller.api.cancellation_ages import MAX_JOBS, CancellationAges

JOB = "req-000001"


def test_age_counts_from_the_first_note() -> None:
    ages = CancellationAges()
    assert ages.age(JOB, seconds(5)) is None
    assert ages.note(JOB, seconds(5))
    assert not ages.note(JOB, seconds(9))
    assert ages.age(JOB, seconds(15)) == seconds(10)


def test_greater_age_reported_by_a_peer_is_adopted() -> None:
    first, second = CancellationAges(), CancellationAges()
    first.note(JOB, seconds(100))
    second.note(JOB, seconds(3))
    second.merge(first.to_wire(seconds(120)), seconds(4))
    assert second.age(JOB, seconds(5)) == seconds(21)
    # A message that the network delayed by a minute, and one that reports a lower age.
    second.merge(first.to_wire(seconds(120)), seconds(64))
    second.merge({JOB: 10.0}, seconds(64))
    assert second.age(JOB, seconds(64)) == seconds(80)


@pytest.mark.parametrize("age_ms", [-1.0, math.nan, math.inf, 1e300])
def test_invalid_ages_and_job_ids_are_ignored(age_ms: float) -> None:
    ages = CancellationAges()
    ages.merge({JOB: age_ms, "not an id": 5.0}, seconds(50))
    assert ages.to_wire(seconds(50)) == {}


def test_number_and_age_of_sent_cancellations_are_bounded() -> None:
    ages = CancellationAges()
    ages.note(JOB, seconds(0))
    assert ages.to_wire(seconds(600)) == {JOB: 600_000.0}
    assert ages.to_wire(seconds(601)) == {}
    for number in range(2 * MAX_JOBS):
        ages.note(f"req-{number:06d}", seconds(700))
    assert len(ages.to_wire(seconds(700))) == MAX_JOBS
