"""Where a leader's processor time goes on a made-up picture of a large deployment.

    python3 -m bench.profile_pass [--machines 700] [--jobs 200] [--held 10000] [--profile]

A tool for maintainers: its seconds are this machine's and mean nothing elsewhere.  What must not
grow is guarded by counts in `tests/test_scale.py`.
"""

from __future__ import annotations

import cProfile
import pstats
import time
from collections.abc import Callable
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from statistics import median

import click

from micadeal.clock import seconds
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.operator.policy import Flexible
from micadeal.scheduling.deferral import AT_ONCE, Deferral
from micadeal.state.limits import Limits
from micadeal.timing.series import Quantity, Series
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import RandomDeployment


def timed(what: str, times: int, work: Callable[[], object]) -> None:
    began = time.process_time()
    for _ in range(times):
        work()
    spent = (time.process_time() - began) * 1000 / times
    click.echo(f"{what:<44}{spent:10.2f} ms")


def hold_many(picture: RandomDeployment, held: int, step: Callable[[], None]) -> None:
    """Passes without and with a held queue, turn by turn, and what choosing its windows takes."""
    scheduler = picture.scheduler
    utc_now = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
    deferral = Deferral(picture.cluster, UTC, seconds(5))
    prices = tuple(0.3 if hour < 5 or hour > 9 else 0.1 for hour in range(24))
    day = timedelta(days=1)
    deferral.take(
        Series("north", Quantity.PRICE, "EUR/kWh", "bench", utc_now, utc_now + day, utc_now,
               utc_now,
               timedelta(hours=1), prices)
    )  # fmt: skip
    deferral.learn([("nightly", 1.0)] * 100)
    scheduler.policy = replace(scheduler.policy, flexible={"nightly": Flexible()})
    without: list[float] = []
    beside: list[float] = []

    def turn(spent: list[float]) -> None:
        began = time.process_time()
        step()
        spent.append(time.process_time() - began)

    for _ in range(20):
        turn(without)
    for number in range(held):
        picture.submit(
            job_class="nightly", tasks=1, shape=Shape.ARRAY, priority=Priority.LOW, team="team-0",
            gpus=0.1, deadline_s=36_000.0 + number, estimate_s=600.0 + number % 7 * 600,
        )  # fmt: skip
    scheduler.deferral = deferral
    turns = held // AT_ONCE + 1
    timed("windows: one turn", turns, lambda: scheduler.hold(picture.now, utc_now))
    counted = scheduler.state_counts(picture.now)["held"]
    for _ in range(20):
        turn(beside)
    ratio = median(beside) / median(without)
    click.echo(f"  {counted} held; a pass takes {ratio:.2f} times what it took without them")


@click.command()
@click.option("--machines", default=700, show_default=True)
@click.option("--jobs", default=200, show_default=True)
@click.option("--held", default=0, help="Jobs held for a better hour beside the others.")
@click.option("--profile", is_flag=True, help="List the costliest functions as well.")
def main(machines: int, jobs: int, held: int, profile: bool) -> None:
    """Time the parts of a leader's work."""
    picture = RandomDeployment(machines, jobs)
    scheduler, cluster = picture.scheduler, picture.cluster
    record_writer = RecordWriter(cluster, Limits(150, 25, 16, 8192))
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()

    def step() -> None:
        cluster.changed = True
        scheduler.tick(picture.now)
        scheduler.run_cycle(picture.now)

    timed("first pass: all waits", 1, step)
    waiting = sum(job.waiting_count() for job in cluster.live_jobs())
    placed = sum(len(m.attempts) for m in cluster.machines.values())
    click.echo(f"  {placed} tasks placed, {waiting} wait")
    picture.now += seconds(1)
    timed("pass: full, the rest waits", 3, step)

    def write() -> None:
        for batch in record_writer.next(picture.now):
            record_writer.committed(batch, 1, picture.now)

    timed("records: one call", 200, write)
    for machine in cluster.machines.values():
        cluster.written("placed/7/0", list(machine.attempts.values()), picture.now)
    timed("records: one call, nothing to write", 20, write)
    names = list(cluster.machines)

    def report_all() -> None:
        picture.now += seconds(0.01)
        for name in names:
            picture.heartbeat(name)

    timed(f"{machines} reports taken in", 2, report_all)
    timed("tick without a pass", 20, lambda: scheduler.tick(picture.now))
    for name in names[::10]:
        picture.heartbeat(name, done=1)
    timed("pass: some tasks have ended", 1, step)
    if held:
        hold_many(picture, held, step)
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


if __name__ == "__main__":
    main()
