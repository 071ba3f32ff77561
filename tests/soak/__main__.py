"""Play seeded histories on real processes, several in parallel.

    python -m tests.soak --seeds 50 --jobs 8

Runs of real processes are not reproducible: a seed gives the same faults at the same times, but not
the same order of messages.  The exit code is 1 if a rule was broken.
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

#: Interval between the seeds that are played with many workers.
LARGE_SEED_INTERVAL = 10
LARGE_WORKERS = 300
MAX_PARALLEL_SEEDS = 24
POLL_INTERVAL_S = 0.2
#: A run that takes longer is treated as hung; the longest took about 170 s on a loaded machine.
MAX_SEED_S = 600.0
#: Time that a terminated run gets to end its controllers before it is killed.
TERMINATION_TIMEOUT_S = 30.0
JOB_ID = re.compile(r"req-\d+")


@dataclass(frozen=True, slots=True)
class Options:
    """How each seed is played; ``workers`` None: many workers in every tenth seed, else none."""

    workers: int | None
    fault_free_s: float
    log_folder: Path


def play(seed: int, options: Options) -> int:
    """Play one seed in this process and print its result; return the exit code."""
    folder = options.log_folder / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    workers = options.workers
    if workers is None:
        workers = LARGE_WORKERS if seed % LARGE_SEED_INTERVAL == 0 else 0
    history = SoakHistory(seed, folder, workers, options.fault_free_s)
    click.echo(f"{history.describe()}, {workers} more workers")
    started_at = time.monotonic()
    violations = history.play()
    forgotten = history.world.rules.forgotten
    (folder / "requests.log").write_text("\n".join(history.events))
    click.echo(
        f"  seed {seed}: {time.monotonic() - started_at:.0f} s,"
        f" {history.world.process_starts} processes,"
        f" {history.world.requests} requests, {history.status_request_count} questions,"
        f" longest unanswered {forgotten.longest_unanswered_s:.0f} s"
        f" ({forgotten.longest_unanswered_job}),"
        f" {len(history.world.answers.cancel_confirmed_at)} cancellations confirmed"
    )
    for violation in violations:
        click.echo(f"  seed {seed} BROKEN: {violation}")
        for job_id in JOB_ID.findall(violation):
            _write_job_history(job_id, folder)
    if violations:
        click.echo(f"  seed {seed}: logs of all controllers and all requests are in {folder}")
    return 1 if violations else 0


def _write_job_history(job_id: str, folder: Path) -> None:
    """Write a file with all log lines of controllers and all requests that name a job."""
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
    """One seed that is played in a separate process."""

    seed: int
    process: subprocess.Popen[bytes]
    #: A file, not a pipe: an unread pipe is full after 64 KiB and then blocks the process.
    output: Path
    started_at: float

    @classmethod
    def start(cls, seed: int, options: Options) -> _SeedRun:
        command = [sys.executable, "-m", "tests.soak", "--seed", str(seed)]
        command += ["--keep", str(options.log_folder), "--quiet", str(options.fault_free_s)]
        if options.workers is not None:
            command += ["--workers", str(options.workers)]
        options.log_folder.mkdir(parents=True, exist_ok=True)
        output = options.log_folder / f"seed-{seed}.output"
        with output.open("wb") as file:
            process = subprocess.Popen(command, cwd=ROOT, stdout=file, stderr=subprocess.STDOUT)
        return cls(seed, process, output, time.monotonic())

    def has_ended(self) -> bool:
        """Return whether the process has ended; terminate it if it takes too long."""
        if time.monotonic() - self.started_at > MAX_SEED_S:
            self._terminate()
        return self.process.poll() is not None

    def _terminate(self) -> None:
        """Terminate the process; it ends its controllers first."""
        self.process.terminate()
        try:
            self.process.wait(TERMINATION_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def play_all(seeds: list[int], jobs: int, options: Options) -> int:
    """Play each seed in a separate process, ``jobs`` in parallel; return how many failed."""
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


def _interrupt(*_: object) -> None:
    # Takes the same path as Ctrl-C, which ends all processes that were started.
    raise KeyboardInterrupt


@click.command()
@click.option("--seeds", type=click.IntRange(1, 10_000), default=2, help="How many seeds.")
@click.option("--first", type=click.IntRange(0), default=1, help="The first seed.")
@click.option("--seed", type=click.IntRange(0), help="Play just this seed.")
@click.option(
    "--workers", type=click.IntRange(0, 1000), help="Busy workers beside the usual dozen or two."
)
@click.option("--jobs", type=click.IntRange(1, MAX_PARALLEL_SEEDS), default=4, help="At once.")
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
    signal.signal(signal.SIGTERM, _interrupt)
    folder = keep or Path(tempfile.mkdtemp(prefix="micadeal-soak-"))
    options = Options(workers, fault_free_s, folder.resolve())
    if seed is not None:
        sys.exit(play(seed, options))
    started_at = time.monotonic()
    failed = play_all(list(range(first, first + seeds)), jobs, options)
    click.echo(
        f"{seeds} seeds in {time.monotonic() - started_at:.0f} s, {failed} with a rule broken"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
