"""Where a leader's processor time goes on a made-up picture of a large deployment.

    python3 -m bench.profile_pass [--machines 700] [--jobs 200] [--profile]

A tool for maintainers: its seconds are this machine's and mean nothing elsewhere.  What must not
grow is guarded by counts in `tests/test_scale.py`.
"""

from __future__ import annotations

import cProfile
import pstats
import time
from collections.abc import Callable

import click

from micadeal.clock import seconds
from micadeal.controller.records import Recorder
from micadeal.state.limits import Limits
from tests.fakes.picture import Picture


def timed(what: str, times: int, work: Callable[[], object]) -> None:
    began = time.process_time()
    for _ in range(times):
        work()
    spent = (time.process_time() - began) * 1000 / times
    click.echo(f"{what:<44}{spent:10.2f} ms")


@click.command()
@click.option("--machines", default=700, show_default=True)
@click.option("--jobs", default=200, show_default=True)
@click.option("--profile", is_flag=True, help="List the costliest functions as well.")
def main(machines: int, jobs: int, profile: bool) -> None:
    """Time the parts of a leader's work."""
    picture = Picture(machines, jobs)
    scheduler, cluster = picture.scheduler, picture.cluster
    recorder = Recorder(cluster, Limits(150, 25, 16, 8192))
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()

    def step() -> None:
        cluster.changed = True
        scheduler.tick(picture.now)
        scheduler.run_pass(picture.now)

    timed("first pass: all waits", 1, step)
    waiting = sum(job.waiting_count() for job in cluster.live_jobs())
    placed = sum(len(m.attempts) for m in cluster.machines.values())
    click.echo(f"  {placed} tasks placed, {waiting} wait")
    picture.now += seconds(1)
    timed("pass: full, the rest waits", 3, step)

    def write() -> None:
        for batch in recorder.next(picture.now):
            recorder.committed(batch, 1, picture.now)

    timed("records: one call", 200, write)
    for machine in cluster.machines.values():
        cluster.written("placed/7/0", list(machine.attempts.values()), picture.now)
    timed("records: one call, nothing to write", 20, write)
    names = list(cluster.machines)

    def report_all() -> None:
        picture.now += seconds(0.01)
        for name in names:
            picture.report(name)

    timed(f"{machines} reports taken in", 2, report_all)
    timed("tick without a pass", 20, lambda: scheduler.tick(picture.now))
    for name in names[::10]:
        picture.report(name, done=1)
    timed("pass: some tasks have ended", 1, step)
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


if __name__ == "__main__":
    main()
