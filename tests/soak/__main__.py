"""Play seeded histories on real processes, several at a time.

    python -m tests.soak --seeds 50 --jobs 8

Real processes don't repeat exactly: a seed gives the same faults at the same times, not the same
order of messages.  The exit code is 1 if a rule was broken.
"""

from __future__ import annotations

import re
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click

from tests.fakes.deployment_settings import FOLLOWERS_RENEW_AFTER_S
from tests.soak.controller_process import ROOT
from tests.soak.history import SoakHistory

#: Every so many seeds one is played with many workers.
LARGE_EVERY = 10
LARGE_WORKERS = 300
MAX_JOBS_AT_ONCE = 24
POLL_INTERVAL_S = 0.2
#: A seed that takes longer stands still: the longest took some 170 s beside other load.
MAX_SEED_S = 600.0
#: How long it may then take to end its controllers.
END_TIMEOUT_S = 30.0
JOB_ID = re.compile(r"req-\d+")


@dataclass(frozen=True, slots=True)
class Options:
    """How each seed is played; ``workers`` None: many in every tenth."""

    workers: int | None
    fault_free_s: float
    keep: Path


def play(seed: int, options: Options) -> int:
    """Play one seed in this process, and print what came of it; return the exit code."""
    folder = options.keep / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    workers = options.workers
    if workers is None:
        workers = LARGE_WORKERS if seed % LARGE_EVERY == 0 else 0
    history = SoakHistory(seed, folder, workers, options.fault_free_s)
    click.echo(f"{history.describe()}, {workers} more workers")
    began = time.monotonic()
    broken = history.play()
    forgotten = history.world.rules.forgotten
    (folder / "requests.log").write_text("\n".join(history.events))
    click.echo(
        f"  seed {seed}: {time.monotonic() - began:.0f} s, {history.world.starts} processes,"
        f" {history.world.requests} requests, {history.questions} questions,"
        f" longest unanswered {forgotten.longest_unanswered_s:.0f} s"
        f" ({forgotten.longest_unanswered_job}),"
        f" {len(history.world.answers.cancel_confirmed_at)} cancellations confirmed"
    )
    for violation in broken:
        click.echo(f"  seed {seed} BROKEN: {violation}")
        for job_id in JOB_ID.findall(violation):
            _write_history_of(job_id, folder)
    if broken:
        click.echo(f"  seed {seed}: logs of all controllers and all requests are in {folder}")
    return 1 if broken else 0


def _write_history_of(job_id: str, folder: Path) -> None:
    """Collect what the logs of all controllers say of a job, and the requests that name it."""
    lines = [
        f"{log.stem}: {line}"
        for log in sorted(folder.glob("c*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if job_id in line
    ]
    requests = (folder / "requests.log").read_text().splitlines()
    lines += [line for line in requests if job_id in line]
    (folder / f"{job_id}.history").write_text("\n".join(lines))


@dataclass(frozen=True, slots=True)
class _SeedRun:
    """One seed that is played in a process of its own."""

    seed: int
    process: subprocess.Popen[bytes]
    #: Not a pipe: one that nobody reads is full after 64 KiB, and then the process stands still.
    output: Path
    began: float

    @classmethod
    def start(cls, seed: int, options: Options) -> _SeedRun:
        command = [sys.executable, "-m", "tests.soak", "--seed", str(seed)]
        command += ["--keep", str(options.keep), "--quiet", str(options.fault_free_s)]
        if options.workers is not None:
            command += ["--workers", str(options.workers)]
        options.keep.mkdir(parents=True, exist_ok=True)
        output = options.keep / f"seed-{seed}.output"
        with output.open("wb") as file:
            process = subprocess.Popen(command, cwd=ROOT, stdout=file, stderr=subprocess.STDOUT)
        return cls(seed, process, output, time.monotonic())

    def has_ended(self) -> bool:
        """Return whether the process has ended; one that takes too long is ended."""
        if time.monotonic() - self.began > MAX_SEED_S:
            self._end()
        return self.process.poll() is not None

    def _end(self) -> None:
        """End the process; it ends its controllers first."""
        self.process.terminate()
        try:
            self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def play_all(seeds: list[int], jobs: int, options: Options) -> int:
    """Play seeds in processes of their own, ``jobs`` at once; return how many broke a rule."""
    waiting = list(seeds)
    running: list[_SeedRun] = []
    failed = 0
    try:
        while waiting or running:
            while waiting and len(running) < jobs:
                running.append(_SeedRun.start(waiting.pop(0), options))
            time.sleep(POLL_INTERVAL_S)
            for run in [run for run in running if run.has_ended()]:
                running.remove(run)
                click.echo(run.output.read_text(errors="replace"), nl=False)
                if run.process.returncode:
                    click.echo(f"  seed {run.seed}: exit code {run.process.returncode}")
                    failed += 1
    finally:
        for run in running:
            run.process.terminate()
        for run in running:
            run.process.wait()
    return failed


def _end(*_: object) -> None:
    # As on Ctrl-C, so that what was started is ended.
    raise KeyboardInterrupt


@click.command()
@click.option("--seeds", type=click.IntRange(1, 10_000), default=2, help="How many seeds.")
@click.option("--first", type=click.IntRange(0), default=1, help="The first seed.")
@click.option("--seed", type=click.IntRange(0), help="Play just this seed.")
@click.option(
    "--workers", type=click.IntRange(0, 1000), help="Busy workers beside the usual dozen or two."
)
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS_AT_ONCE), default=4, help="At once.")
@click.option(
    "--quiet",
    "fault_free_s",
    type=click.FloatRange(0, 600),
    default=FOLLOWERS_RENEW_AFTER_S,
    help="Seconds before the first fault.",
)
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Folder for logs.")
def main(
    seeds: int,
    first: int,
    seed: int | None,
    workers: int | None,
    jobs: int,
    fault_free_s: float,
    keep: Path | None,
) -> None:
    """Play seeded faults on real processes over loopback and check the protocol's rules."""
    signal.signal(signal.SIGTERM, _end)
    folder = keep or Path(tempfile.mkdtemp(prefix="micadeal-soak-"))
    options = Options(workers, fault_free_s, folder.resolve())
    if seed is not None:
        sys.exit(play(seed, options))
    began = time.monotonic()
    failed = play_all(list(range(first, first + seeds)), jobs, options)
    click.echo(f"{seeds} seeds in {time.monotonic() - began:.0f} s, {failed} with a rule broken")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
