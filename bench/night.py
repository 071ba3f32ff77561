"""A generated night with flexible jobs; a seed always gives the same prices, forecasts and jobs."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from micadeal.clock import seconds
from micadeal.timing.series import Quantity, Series
from micadeal.wire.cloud import MachineType
from micadeal.wire.users import Priority, Shape, Submission

#: Start of each night; all times within a night are relative to it.
NIGHT_START = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
DURATION = timedelta(hours=12)
HOUR = timedelta(hours=1)
#: Prices are constant within a quarter of an hour.
QUARTER_HOUR = timedelta(minutes=15)
#: Number of quarters of an hour that have prices: the night and the day after it.
QUARTER_COUNT = 4 * 36
MACHINE_TYPE = MachineType("box", 16.0, 4.0, 64.0, 70.0, 0.6, 1.0, 45.0, ["north"], None)
FLEXIBLE_CLASS = "nightly"
OTHER_CLASS = "daily"
JOB_COUNT = 30
FLEXIBLE_COUNT = 20
#: Number of previous nights whose run times are known.
PREVIOUS_NIGHTS = 2


@dataclass
class NightJob:
    """A job of the night, the time of its submission and the actual run time of its tasks."""

    submission: Submission
    submitted_at: timedelta
    run_time: timedelta

    @property
    def is_flexible(self) -> bool:
        """Whether the job may be deferred."""
        return self.submission.job_class == FLEXIBLE_CLASS

    @property
    def deadline(self) -> timedelta:
        """The time by which the job must be complete."""
        assert self.submission.deadline_s is not None
        return self.submitted_at + seconds(self.submission.deadline_s)


class Night:
    """Prices with a minimum, an inaccurate forecast, and jobs with inaccurate estimates."""

    def __init__(self, seed: int, machines: int = 12, worst_estimate_factor: float = 1.6) -> None:
        """Generate a night.

        ``machines``: number that can be rented at the same time; ``worst_estimate_factor``: the
        largest ratio of a run time to its estimate.
        """
        self.machines = machines
        self._worst_estimate_factor = worst_estimate_factor
        self._random = random.Random(seed)
        rng = self._random
        cheapest_hour = rng.uniform(3.0, 7.0)
        smooth_prices = [
            _price_without_noise(quarter, cheapest_hour) for quarter in range(QUARTER_COUNT)
        ]
        self.prices = [price + rng.gauss(0, 0.01) for price in smooth_prices]
        self.forecast = [price + rng.gauss(0, 0.015) for price in self.prices]
        #: When the price feed fails, in simulations in which it does.
        self.feed_fails_at = rng.uniform(0.5, 8.0) * HOUR
        self.jobs = sorted(self._jobs(), key=lambda job: job.submitted_at)

    def _jobs(self) -> Iterator[NightJob]:
        for number in range(JOB_COUNT):
            yield self._job(number)

    def _job(self, number: int) -> NightJob:
        rng = self._random
        is_flexible = number < FLEXIBLE_COUNT
        estimate_s = rng.uniform(0.2, 1.5) * 3600
        submitted_at = seconds(rng.uniform(0, 2 * 3600 if is_flexible else 10 * 3600))
        deadline_s = rng.uniform(4, 11) * 3600 if is_flexible else estimate_s * 4 + 3600
        submission = Submission(
            job_id=f"req-{number:06d}",
            job_class=FLEXIBLE_CLASS if is_flexible else OTHER_CLASS,
            team="red" if number % 2 else "blue",
            shape=Shape.ARRAY,
            priority=Priority.STANDARD,
            tasks=rng.randrange(1, 5),
            cpus=4.0,
            gpus=1.0,
            memory_gb=8.0,
            image=f"img-{number % 4}",
            image_gb=4.0,
            machine_types=None,
            zone=None,
            one_zone=False,
            spread=False,
            spot_allowed=False,
            estimate_s=estimate_s,
            checkpoint_s=0.0,
            save_s=0.0,
            deadline_s=deadline_s,
        )
        # Two thirds of the estimates are off by at most 20 %, the others by up to half or more.
        factor = rng.choice(
            [1.0, rng.uniform(0.8, 1.2), rng.uniform(0.5, self._worst_estimate_factor)]
        )
        return NightJob(submission, submitted_at, seconds(estimate_s * factor))

    def previous_estimate_errors(self) -> list[tuple[str, float]]:
        """Return class and ratio of run time to estimate of each task of the previous nights."""
        jobs = [job for _ in range(PREVIOUS_NIGHTS) for job in self._jobs()]
        return [
            (job.submission.job_class, job.run_time / seconds(job.submission.estimate_s))
            for job in jobs
            for _ in range(job.submission.tasks)
        ]

    def price(self, at: timedelta) -> float:
        """Return the price at a time of the night."""
        return self.prices[min(max(at // QUARTER_HOUR, 0), len(self.prices) - 1)]

    def cost(self, start: timedelta, duration: timedelta) -> float:
        """Return the cost of one task that runs from ``start``: price times hours."""
        total, at, end = 0.0, start, start + duration
        while at < end:
            until = min((at // QUARTER_HOUR + 1) * QUARTER_HOUR, end)
            total += self.price(at) * ((until - at) / HOUR)
            at = until
        return total

    def series(self, at: timedelta) -> Series:
        """Return the feed's series at a time: measured prices until then, a forecast after it."""
        measured_count = at // QUARTER_HOUR + 1
        now = NIGHT_START + at
        values = tuple(self.prices[:measured_count] + self.forecast[measured_count:])
        valid_until = now + 2 * HOUR
        return Series(
            "north", Quantity.PRICE, "EUR/kWh", "bench", now, valid_until, now, NIGHT_START,
            QUARTER_HOUR, values,
        )  # fmt: skip


def _price_without_noise(quarter: int, cheapest_hour: float) -> float:
    """Return the price of a quarter of an hour without noise."""
    return 0.12 - 0.10 * math.cos((quarter / 4 - cheapest_hour) / 12 * 2 * math.pi)
