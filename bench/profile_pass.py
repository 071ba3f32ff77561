"""Measures where a leader's processor time goes on a generated cluster of many machines.

    python3 -m bench.profile_pass [--machines 700] [--jobs 200] [--held 10000] [--profile]

A tool for maintainers: its times depend on the machine it runs on.  ``tests/test_scale.py`` checks
by counts, which don't, that the work does not grow too fast with the cluster.
"""

from __future__ import annotations

import cProfile
import pstats
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from statistics import median

import click

from micadeal.clock import seconds
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.operator.policy import Flexible
from micadeal.scheduling.deferral import MAX_JOBS_PER_REFRESH, Deferral
from micadeal.state.limits import Limits
from micadeal.timing.series import Quantity, Series
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import RandomDeployment

#: Start of the price series of ``measure_deferral``: an evening.
SERIES_START = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
#: Prices per kWh of a day, and the hours of the series with the low price: those of the night.
HIGH_PRICE, LOW_PRICE = 0.3, 0.1
LOW_PRICE_HOURS = range(5, 10)
#: Number of scheduling cycles measured without, and again with, a queue of deferred jobs.
CYCLES = 20
MAX_PROFILE_LINES = 25


def print_time(label: str, repetitions: int, call: Callable[[], object]) -> None:
    """Print the mean processor time of one call of ``call``."""
    started_at = time.process_time()
    for _ in range(repetitions):
        call()
    mean_ms = (time.process_time() - started_at) * 1000 / repetitions
    click.echo(f"{label:<44}{mean_ms:10.2f} ms")


class Measurement:
    """A generated cluster, and the parts of a leader's work that are measured on it."""

    def __init__(self, machines: int, jobs: int) -> None:
        self.generated = RandomDeployment(machines, jobs)
        self.scheduler = self.generated.scheduler
        self.cluster = self.generated.cluster
        self.record_writer = RecordWriter(self.cluster, Limits(150, 25, 16, 8192))

    def cycle(self) -> None:
        """Run one scheduling cycle."""
        self.cluster.changed = True
        self.scheduler.tick(self.generated.now)
        self.scheduler.run_cycle(self.generated.now)

    def write(self) -> None:
        """Request the records to write and treat them as written."""
        for batch in self.record_writer.next(self.generated.now):
            self.record_writer.committed(batch, 1, self.generated.now)

    def tick(self) -> None:
        """Run the scheduler's periodic work without a scheduling cycle."""
        self.scheduler.tick(self.generated.now)

    def send_all_heartbeats(self) -> None:
        """Process one heartbeat of each machine."""
        self.generated.now += seconds(0.01)
        for name in self.cluster.machines:
            self.generated.heartbeat(name)

    def measure_scheduling(self) -> None:
        """Measure a cycle on an empty cluster, then cycles on a full one."""
        print_time("first cycle: everything waits", 1, self.cycle)
        waiting_count = sum(job.waiting_count() for job in self.cluster.live_jobs())
        placed_count = sum(len(machine.attempts) for machine in self.cluster.machines.values())
        click.echo(f"  {placed_count} tasks placed, {waiting_count} wait")
        self.generated.now += seconds(1)
        print_time("cycle: full, the rest waits", 3, self.cycle)

    def measure_records(self) -> None:
        """Measure the search for records to write, with and without any to write."""
        print_time("records: one call", 200, self.write)
        for machine in self.cluster.machines.values():
            attempts = list(machine.attempts.values())
            self.cluster.placements_written("placed/7/0", attempts, self.generated.now)
        print_time("records: one call, nothing to write", 20, self.write)

    def measure_heartbeats(self) -> None:
        """Measure heartbeats of all machines, a tick, and a cycle after some tasks have ended."""
        names = list(self.cluster.machines)
        print_time(f"{len(names)} heartbeats taken in", 2, self.send_all_heartbeats)
        print_time("tick without a cycle", 20, self.tick)
        for name in names[::10]:
            self.generated.heartbeat(name, done=1)
        print_time("cycle: some tasks have ended", 1, self.cycle)

    def measure_deferral(self, job_count: int) -> None:
        """Measure cycles without and with ``job_count`` deferred jobs, and the window search."""
        scheduler = self.scheduler
        deferral = Deferral(self.cluster, UTC, seconds(5))
        deferral.add_series(_prices())
        deferral.record_run_times([("nightly", 1.0)] * 100)
        scheduler.policy = replace(scheduler.policy, flexible={"nightly": Flexible()})
        times_without = [self._cycle_time() for _ in range(CYCLES)]
        for number in range(job_count):
            self.generated.submit(
                job_class="nightly", tasks=1, shape=Shape.ARRAY, priority=Priority.LOW,
                team="team-0", gpus=0.1, deadline_s=36_000.0 + number,
                estimate_s=600.0 + number % 7 * 600,
            )  # fmt: skip
        scheduler.deferral = deferral
        refreshes = job_count // MAX_JOBS_PER_REFRESH + 1
        print_time(
            "windows: one turn",
            refreshes,
            lambda: scheduler.refresh_deferral(self.generated.now, SERIES_START),
        )
        deferred_count = scheduler.state_counts(self.generated.now)["held"]
        times_with = [self._cycle_time() for _ in range(CYCLES)]
        ratio = median(times_with) / median(times_without)
        click.echo(
            f"  {deferred_count} deferred; a cycle takes {ratio:.2f} times what it took without"
        )

    def _cycle_time(self) -> float:
        started_at = time.process_time()
        self.cycle()
        return time.process_time() - started_at


def _prices() -> Series:
    day = timedelta(days=1)
    prices = tuple(LOW_PRICE if hour in LOW_PRICE_HOURS else HIGH_PRICE for hour in range(24))
    return Series(
        "north", Quantity.PRICE, "EUR/kWh", "bench", SERIES_START, SERIES_START + day, SERIES_START,
        SERIES_START, timedelta(hours=1), prices,
    )  # fmt: skip


@contextmanager
def profile_if(enabled: bool) -> Iterator[None]:
    """Print the most expensive functions of the ``with`` block if ``enabled``."""
    if not enabled:
        yield
        return
    with cProfile.Profile() as profiler:
        yield
    pstats.Stats(profiler).sort_stats("tottime").print_stats(MAX_PROFILE_LINES)


@click.command()
@click.option("--machines", default=700, show_default=True)
@click.option("--jobs", default=200, show_default=True)
@click.option("--held", default=0, help="Jobs deferred to a better hour beside the others.")
@click.option("--profile", is_flag=True, help="List the costliest functions as well.")
def main(machines: int, jobs: int, held: int, profile: bool) -> None:
    """Measure the parts of a leader's work."""
    measurement = Measurement(machines, jobs)
    with profile_if(profile):
        measurement.measure_scheduling()
        measurement.measure_records()
        measurement.measure_heartbeats()
        if held:
            measurement.measure_deferral(held)


if __name__ == "__main__":
    main()
