"""A generated night with flexible jobs: prices, forecasts and jobs, the same for the same seed."""

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

#: When each night begins; times within a night count from there.
BEGIN = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
DURATION = timedelta(hours=12)
HOUR = timedelta(hours=1)
#: Prices are constant within a quarter of an hour.
QUARTER = timedelta(minutes=15)
#: Quarters for which prices are generated: the night and a day after it.
QUARTERS = 4 * 36
MACHINE_TYPE = MachineType("box", 16.0, 4.0, 64.0, 70.0, 0.6, 1.0, 45.0, ["north"], None)
FLEXIBLE_CLASS = "nightly"
OTHER_CLASS = "daily"
JOB_COUNT = 30
FLEXIBLE_COUNT = 20
#: Nights before, whose run times are known.
EARLIER_NIGHTS = 2


@dataclass
class NightJob:
    """A job of the night: when it is submitted, and how long its tasks really run."""

    submission: Submission
    at: timedelta
    run_time: timedelta

    @property
    def is_flexible(self) -> bool:
        """Whether it may be deferred."""
        return self.submission.job_class == FLEXIBLE_CLASS

    @property
    def deadline(self) -> timedelta:
        """When it has to be complete."""
        assert self.submission.deadline_s is not None
        return self.at + seconds(self.submission.deadline_s)


class Night:
    """Prices with a trough, a wrong forecast, and jobs with wrong estimates."""

    def __init__(self, seed: int, machines: int = 12, wrong: float = 1.6) -> None:
        """Generate a night.

        ``machines``: how many can be rented at once; ``wrong``: the worst estimate is too low by
        this factor.
        """
        self.machines = machines
        self._wrong = wrong
        self._random = random.Random(seed)
        draw = self._random
        cheapest_hour = draw.uniform(3.0, 7.0)
        trough = [_trough(quarter, cheapest_hour) for quarter in range(QUARTERS)]
        self.prices = [price + draw.gauss(0, 0.01) for price in trough]
        self.forecast = [price + draw.gauss(0, 0.015) for price in self.prices]
        #: When the feed falls silent, in nights in which it does.
        self.feed_lost_at = draw.uniform(0.5, 8.0) * HOUR
        self.jobs = sorted(self._jobs(), key=lambda job: job.at)

    def _jobs(self) -> Iterator[NightJob]:
        for number in range(JOB_COUNT):
            yield self._job(number)

    def _job(self, number: int) -> NightJob:
        draw = self._random
        flexible = number < FLEXIBLE_COUNT
        estimate_s = draw.uniform(0.2, 1.5) * 3600
        at = seconds(draw.uniform(0, 2 * 3600 if flexible else 10 * 3600))
        deadline_s = draw.uniform(4, 11) * 3600 if flexible else estimate_s * 4 + 3600
        submission = Submission(
            job_id=f"req-{number:06d}",
            job_class=FLEXIBLE_CLASS if flexible else OTHER_CLASS,
            team="red" if number % 2 else "blue",
            shape=Shape.ARRAY,
            priority=Priority.STANDARD,
            tasks=draw.randrange(1, 5),
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
        # Half of all estimates are within a fifth; some are wrong by half and more.
        factor = draw.choice([1.0, draw.uniform(0.8, 1.2), draw.uniform(0.5, self._wrong)])
        return NightJob(submission, at, seconds(estimate_s * factor))

    def earlier_errors(self) -> list[tuple[str, float]]:
        """Return class and factor of estimate of each task that ended in the nights before."""
        jobs = [job for _ in range(EARLIER_NIGHTS) for job in self._jobs()]
        return [
            (job.submission.job_class, job.run_time / seconds(job.submission.estimate_s))
            for job in jobs
            for _ in range(job.submission.tasks)
        ]

    def price(self, at: timedelta) -> float:
        """Return the price at a time of the night."""
        return self.prices[min(max(at // QUARTER, 0), len(self.prices) - 1)]

    def cost(self, start: timedelta, duration: timedelta) -> float:
        """Return the cost of one task that runs from ``start`` on: price times hours."""
        total, at, end = 0.0, start, start + duration
        while at < end:
            until = min((at // QUARTER + 1) * QUARTER, end)
            total += self.price(at) * ((until - at) / HOUR)
            at = until
        return total

    def series(self, at: timedelta) -> Series:
        """Return the feed's series at a time: measured up to then, a forecast beyond."""
        known = at // QUARTER + 1
        now = BEGIN + at
        values = tuple(self.prices[:known] + self.forecast[known:])
        valid_until = now + 2 * HOUR
        return Series(
            "north", Quantity.PRICE, "EUR/kWh", "bench", now, valid_until, now, BEGIN, QUARTER,
            values,
        )  # fmt: skip


def _trough(quarter: int, cheapest_hour: float) -> float:
    """Return the price of a quarter of an hour without noise."""
    return 0.12 - 0.10 * math.cos((quarter / 4 - cheapest_hour) / 12 * 2 * math.pi)
