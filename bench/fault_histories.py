"""Plays seeded histories in which faults coincide, in memory, on all cores.

    python3 -m bench.fault_histories --histories 320 [--first 0] [--workers 8]
    python3 -m bench.fault_histories --guards

Each pair of faults is played in turn, at instants drawn from the seed
(``tests/fakes/fault_histories.py``).  What breaks is printed with its seed; ``--seed`` plays one
history again, and ``--events FILE`` writes down every request that it sends: for the same seed
these are the same in every process.  With ``--split-jobs`` descriptions of jobs are stored in
parts.  The exit code is 1 if something broke.

``--guards`` disables the guards of the code in turn, and plays histories of the faults that each is
meant for until one breaks a rule.  The exit code is 1 if a guard broke nothing.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import click
import pytest

from micadeal.controller.api.cancellation_broadcast import CancellationBroadcaster
from micadeal.controller.api.confirmation import CancellationConfirmation
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.controller.leader import Leader
from micadeal.controller.outbound import OutboundCalls
from micadeal.controller.persistence.batches import WriteBatch
from micadeal.controller.record_loader import RecordLoader
from micadeal.fleet.machines import Machine
from micadeal.scheduling import machine_loss, reconciliation, reported_tasks, worker_commands
from micadeal.scheduling.cluster_state import ClusterState
from tests.fakes.fault_histories import PAIRS, History

Patch = Callable[[pytest.MonkeyPatch], None]


#: Of so many histories the last one draws its faults; the others take the pairs in turn.
DRAWN_EVERY = 4
#: Histories that may be played without a guard until something breaks.
MAX_HISTORIES_WITHOUT_GUARD = 400
#: Broken rules that are printed of one history.
MAX_SHOWN = 4


class Outcome(NamedTuple):
    """What one history did."""

    #: The seed and the faults, for a reader.
    line: str
    pair: tuple[str, ...]
    broken: list[str]
    #: For each confirmed cancellation how long after it, in seconds, the last task was gone.
    stop_delays_s: list[float]


class Unguarded(NamedTuple):
    """What broke without a guard."""

    guard: str
    #: How many histories it took; 0: nothing broke.
    histories: int
    broken: str


def faults_of(seed: int) -> tuple[str, ...]:
    """Return the pair of faults that this seed takes; none: it draws its own."""
    drawn = seed % DRAWN_EVERY == DRAWN_EVERY - 1
    return () if drawn else PAIRS[(seed - seed // DRAWN_EVERY) % len(PAIRS)]


def play(seed: int, split_jobs: bool) -> Outcome:
    """Play the history with this seed."""
    history = History(seed, faults_of(seed), split_jobs=split_jobs)
    broken = history.play()
    return Outcome(history.describe(), faults_of(seed), broken, history.stop_delays_s)


# -- guards that can be disabled; each function disables one ------------------------------------


def _elected_is_informed(patch: pytest.MonkeyPatch) -> None:
    begin = Leader.__init__

    def informed(self: Any, *args: Any, **named: Any) -> None:
        begin(self, *args, **named)
        self._authority.mark_cancellations_read(self._cluster.term_start)

    patch.setattr(Leader, "__init__", informed)


def _early_notices_lost(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RecordLoader, "job_cancelled", lambda self, job, now: self.job_ended(job, now))


def _lists_empty(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FollowerLeases, "add_cancellation", lambda self, job, now, age=None: False)
    patch.setattr(CancellationBroadcaster, "tell_leader", _nothing)


async def _nothing(*_: Any) -> bool:
    return True


def _tells_alone(patch: pytest.MonkeyPatch) -> None:
    async def alone(self: CancellationBroadcaster, job_id: str) -> CancellationConfirmation:
        return CancellationConfirmation(True, True)

    patch.setattr(CancellationBroadcaster, "broadcast", alone)


def _confirmed_while_tasks_may_start(patch: pytest.MonkeyPatch) -> None:
    broadcast = CancellationBroadcaster.broadcast

    async def no_start_possible(
        self: CancellationBroadcaster, job_id: str
    ) -> CancellationConfirmation:
        return (await broadcast(self, job_id))._replace(no_task_can_start=True)

    async def nothing_starts(self: CancellationBroadcaster, job_id: str) -> bool:
        return False

    patch.setattr(CancellationBroadcaster, "broadcast", no_start_possible)
    patch.setattr(CancellationBroadcaster, "may_tasks_start", nothing_starts)


def _writes_without_versions(patch: pytest.MonkeyPatch) -> None:
    write = OutboundCalls.write

    async def unconditional(self: Any, batch: WriteBatch, fence: int) -> None:
        await write(self, replace(batch, conditions=()), fence)

    patch.setattr(OutboundCalls, "write", unconditional)


def _stale_heartbeats_count(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(reconciliation, "_is_stale", lambda machine, heartbeat: False)


def _any_absence_frees(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        reported_tasks, "_is_certainly_gone", lambda cluster, attempt, machine, is_heartbeat: True
    )


def _silence_frees_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ClusterState,
        "lease_expiry",
        property(lambda self: self.workers.heartbeat_interval * 2),
        raising=True,
    )


def _silence_before_our_token_frees(patch: pytest.MonkeyPatch) -> None:
    def expire(cluster: ClusterState, now: timedelta) -> None:
        for machine in list(cluster.machines.values()):
            last_message_at = machine.reachability.last_message_at or cluster.term_start
            if not machine.lease_expired and now - last_message_at > cluster.workers.lease / 2:
                machine.lease_expired = True
                machine_loss.lose_all_attempts(cluster, machine, now)

    patch.setattr(machine_loss, "expire_leases", expire)


def _stops_are_not_repeated(patch: pytest.MonkeyPatch) -> None:
    def none(cluster: ClusterState, machine: Machine) -> list[Any]:
        return []

    patch.setattr(worker_commands, "stop_commands_for", none)


#: For each guard what disables it, and the faults that it is meant for.
GUARDS: dict[str, tuple[Patch, Sequence[str]]] = {
    "being elected is no knowledge of cancellations": (
        _elected_is_informed,
        ["gap at an election"],
    ),
    "notices override records read before": (_early_notices_lost, ["gap at an election"]),
    "cancellations are forwarded between controllers": (_lists_empty, ["gap"]),
    "others know of a cancellation before it is confirmed": (
        _tells_alone,
        ["gap", "follower crash", "machines out of reach"],
    ),
    "no task may start when a cancellation is confirmed": (
        _confirmed_while_tasks_may_start,
        ["gap", "follower crash"],
    ),
    "writes are conditional on versions": (_writes_without_versions, ["late writes", "hand over"]),
    "stale heartbeats change nothing": (_stale_heartbeats_count, ["late reports", "hand over"]),
    "only some absences end an attempt": (_any_absence_frees, ["late reports", "leader crash"]),
    "a lease has to be expired": (_silence_frees_at_once, ["machines out of reach"]),
    "only silence after our token counts": (
        _silence_before_our_token_frees,
        ["machines out of reach", "leader crash"],
    ),
    "stop commands are sent": (_stops_are_not_repeated, ["gap"]),
}


def unguarded(name: str) -> Unguarded:
    """Play histories without a guard until something breaks."""
    logging.disable(logging.CRITICAL)
    disable, kinds = GUARDS[name]
    for seed in range(MAX_HISTORIES_WITHOUT_GUARD):
        with pytest.MonkeyPatch.context() as patch:
            disable(patch)
            broken = History(seed, kinds).play()
        if broken:
            return Unguarded(name, seed + 1, broken[0])
    return Unguarded(name, 0, "nothing")


def play_without_guards(workers: int) -> int:
    """Disable each guard in turn and print what broke; return the exit code."""
    with ProcessPoolExecutor(workers) as pool:
        useless = 0
        for outcome in pool.map(unguarded, GUARDS):
            useless += not outcome.histories
            click.echo(f"without: {outcome.guard}: {outcome.broken} in history {outcome.histories}")
    return 1 if useless else 0


def play_one(seed: int, split_jobs: bool, events_file: Path | None) -> int:
    """Play one history in this process and print what broke; return the exit code."""
    history = History(seed, faults_of(seed), split_jobs=split_jobs)
    broken = history.play()
    if events_file is not None:
        events_file.write_text("".join(f"{event}\n" for event in history.events))
    click.echo(f"{history.describe()}: {'; '.join(broken[:MAX_SHOWN]) or 'nothing broke'}")
    return 1 if broken else 0


def play_all(seeds: Sequence[int], split_jobs: bool, workers: int) -> int:
    """Play histories and print what broke; return the exit code."""
    pairs: Counter[tuple[str, ...]] = Counter()
    stop_delays_s: list[float] = []
    broken = 0
    with ProcessPoolExecutor(workers) as pool:
        results = pool.map(partial(play, split_jobs=split_jobs), seeds)
        with click.progressbar(results, length=len(seeds), file=sys.stderr) as progress:
            for outcome in progress:
                pairs[outcome.pair] += 1
                stop_delays_s += outcome.stop_delays_s
                if outcome.broken:
                    broken += 1
                    click.echo(f"{outcome.line}: {'; '.join(outcome.broken[:MAX_SHOWN])}")
    played = sum(pairs[pair] > 0 for pair in PAIRS)
    longest = max(stop_delays_s, default=0.0)
    click.echo(
        f"{len(seeds)} histories, {broken} broke something; {played} of {len(PAIRS)} pairs; "
        f"{len(stop_delays_s)} confirmed cancellations, the last task gone at most "
        f"{longest:.1f} s after"
    )
    return 1 if broken else 0


@click.command()
@click.option("--histories", default=400, show_default=True)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--workers", default=8, show_default=True, help="Processes.")
@click.option("--seed", default=None, type=int, help="Play only the history with this seed.")
@click.option("--events", type=click.Path(path_type=Path), help="With --seed: write its requests.")
@click.option("--split-jobs", is_flag=True, help="Store descriptions of jobs in parts.")
@click.option("--guards", is_flag=True, help="Disable each guard in turn.")
def main(
    histories: int,
    first: int,
    workers: int,
    seed: int | None,
    events: Path | None,
    split_jobs: bool,
    guards: bool,
) -> None:
    """Print what broke, and how soon cancelled tasks were gone."""
    if events is not None and seed is None:
        raise click.UsageError("--events goes with --seed")
    if guards:
        sys.exit(play_without_guards(workers))
    if seed is not None:
        sys.exit(play_one(seed, split_jobs, events))
    sys.exit(play_all(range(first, first + histories), split_jobs, workers))


if __name__ == "__main__":
    main()
