"""Plays seeded in-memory histories in which several faults coincide, in parallel processes.

    python3 -m bench.fault_histories --histories 320 [--first 0] [--workers 8]
    python3 -m bench.fault_histories --guards

The histories take all pairs of faults in turn, at instants drawn from the seed
(``tests/fakes/fault_histories.py``).  Violations are printed with their seed.  ``--seed`` repeats
one history; ``--events FILE`` also writes all requests that it sends, which are the same in every
process.  With ``--split-jobs`` descriptions of jobs are stored in parts.  The exit code is 1 if a
rule was broken.

``--guards`` disables each guard of the code in turn and plays histories with the faults that the
guard protects against until one breaks a rule.  The exit code is 1 if no rule was broken without
some guard.
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


#: One history in this number draws its faults; the others take the pairs in turn.
DRAWN_FAULTS_INTERVAL = 4
#: Maximum number of histories played without a guard until a rule breaks.
MAX_HISTORIES_WITHOUT_GUARD = 400
#: Maximum number of violations printed for one history.
MAX_PRINTED_VIOLATIONS = 4


class Outcome(NamedTuple):
    """The result of one history."""

    #: Description for users: the seed and the faults.
    line: str
    pair: tuple[str, ...]
    violations: list[str]
    #: For each confirmed cancellation, the time until the last task had ended, in seconds.
    stop_delays_s: list[float]


class GuardCheck(NamedTuple):
    """The result of the histories that were played without a guard."""

    guard: str
    #: Number of histories until a rule broke; 0: none broke.
    histories: int
    #: The first violation of the last history.
    violation: str


def faults_of(seed: int) -> tuple[str, ...]:
    """Return the pair of faults of this seed; empty if the history draws its faults."""
    faults_drawn = seed % DRAWN_FAULTS_INTERVAL == DRAWN_FAULTS_INTERVAL - 1
    return () if faults_drawn else PAIRS[(seed - seed // DRAWN_FAULTS_INTERVAL) % len(PAIRS)]


def play(seed: int, split_jobs: bool) -> Outcome:
    """Play the history with this seed."""
    history = History(seed, faults_of(seed), split_jobs=split_jobs)
    violations = history.play()
    return Outcome(history.describe(), faults_of(seed), violations, history.stop_delays_s)


# -- functions that each disable one guard ------------------------------------------------------


def _election_counts_as_informed(patch: pytest.MonkeyPatch) -> None:
    original_init = Leader.__init__

    def init_as_informed(self: Any, *args: Any, **kwargs: Any) -> None:
        original_init(self, *args, **kwargs)
        self._authority.mark_cancellations_read(self._cluster.term_start)

    patch.setattr(Leader, "__init__", init_as_informed)


def _early_notices_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RecordLoader, "job_cancelled", lambda self, job, now: self.job_ended(job, now))


def _cancellation_lists_empty(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FollowerLeases, "add_cancellation", lambda self, job, now, age=None: False)
    patch.setattr(CancellationBroadcaster, "tell_leader", _report_success)


async def _report_success(*_: Any) -> bool:
    return True


def _confirmed_without_peers(patch: pytest.MonkeyPatch) -> None:
    async def confirm_alone(self: CancellationBroadcaster, job_id: str) -> CancellationConfirmation:
        return CancellationConfirmation(True, True)

    patch.setattr(CancellationBroadcaster, "broadcast", confirm_alone)


def _confirmed_while_tasks_may_start(patch: pytest.MonkeyPatch) -> None:
    broadcast = CancellationBroadcaster.broadcast

    async def no_start_possible(
        self: CancellationBroadcaster, job_id: str
    ) -> CancellationConfirmation:
        return (await broadcast(self, job_id))._replace(no_task_can_start=True)

    async def no_start_reported(self: CancellationBroadcaster, job_id: str) -> bool:
        return False

    patch.setattr(CancellationBroadcaster, "broadcast", no_start_possible)
    patch.setattr(CancellationBroadcaster, "may_tasks_start", no_start_reported)


def _writes_without_versions(patch: pytest.MonkeyPatch) -> None:
    write = OutboundCalls.write

    async def unconditional(self: Any, batch: WriteBatch, fence: int) -> None:
        await write(self, replace(batch, conditions=()), fence)

    patch.setattr(OutboundCalls, "write", unconditional)


def _stale_heartbeats_accepted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(reconciliation, "_is_stale", lambda machine, heartbeat: False)


def _any_absence_ends_attempts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        reported_tasks, "_is_certainly_gone", lambda cluster, attempt, machine, is_heartbeat: True
    )


def _leases_expire_early(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ClusterState,
        "lease_expiry",
        property(lambda self: self.workers.heartbeat_interval * 2),
        raising=True,
    )


def _silence_before_term_expires_leases(patch: pytest.MonkeyPatch) -> None:
    def expire(cluster: ClusterState, now: timedelta) -> None:
        for machine in list(cluster.machines.values()):
            last_message_at = machine.reachability.last_message_at or cluster.term_start
            if not machine.lease_expired and now - last_message_at > cluster.workers.lease / 2:
                machine.lease_expired = True
                machine_loss.lose_all_attempts(cluster, machine, now)

    patch.setattr(machine_loss, "expire_leases", expire)


def _stop_commands_not_sent(patch: pytest.MonkeyPatch) -> None:
    def no_commands(cluster: ClusterState, machine: Machine) -> list[Any]:
        return []

    patch.setattr(worker_commands, "stop_commands_for", no_commands)


#: For each guard, the function that disables it and the faults that it protects against.
GUARDS: dict[str, tuple[Patch, Sequence[str]]] = {
    "being elected is no knowledge of cancellations": (
        _election_counts_as_informed,
        ["gap at an election"],
    ),
    "notices override records read before": (_early_notices_ignored, ["gap at an election"]),
    "cancellations are forwarded between controllers": (_cancellation_lists_empty, ["gap"]),
    "others know of a cancellation before it is confirmed": (
        _confirmed_without_peers,
        ["gap", "follower crash", "machines out of reach"],
    ),
    "no task may start when a cancellation is confirmed": (
        _confirmed_while_tasks_may_start,
        ["gap", "follower crash"],
    ),
    "writes are conditional on versions": (_writes_without_versions, ["late writes", "hand over"]),
    "stale heartbeats change nothing": (_stale_heartbeats_accepted, ["late reports", "hand over"]),
    "only some absences end an attempt": (
        _any_absence_ends_attempts,
        ["late reports", "leader crash"],
    ),
    "a lease has to be expired": (_leases_expire_early, ["machines out of reach"]),
    "only silence after our token counts": (
        _silence_before_term_expires_leases,
        ["machines out of reach", "leader crash"],
    ),
    "stop commands are sent": (_stop_commands_not_sent, ["gap"]),
}


def check_guard(name: str) -> GuardCheck:
    """Play histories without a guard until one breaks a rule."""
    logging.disable(logging.CRITICAL)
    disable, fault_kinds = GUARDS[name]
    for seed in range(MAX_HISTORIES_WITHOUT_GUARD):
        with pytest.MonkeyPatch.context() as patch:
            disable(patch)
            violations = History(seed, fault_kinds).play()
        if violations:
            return GuardCheck(name, seed + 1, violations[0])
    return GuardCheck(name, 0, "nothing")


def check_all_guards(workers: int) -> int:
    """Disable each guard in turn and print which rule breaks; return the exit code."""
    with ProcessPoolExecutor(workers) as pool:
        ineffective = 0
        for outcome in pool.map(check_guard, GUARDS):
            ineffective += not outcome.histories
            click.echo(
                f"without: {outcome.guard}: {outcome.violation} in history {outcome.histories}"
            )
    return 1 if ineffective else 0


def play_one(seed: int, split_jobs: bool, events_file: Path | None) -> int:
    """Play one history in this process and print its violations; return the exit code."""
    history = History(seed, faults_of(seed), split_jobs=split_jobs)
    violations = history.play()
    if events_file is not None:
        events_file.write_text("".join(f"{event}\n" for event in history.events))
    click.echo(
        f"{history.describe()}: {'; '.join(violations[:MAX_PRINTED_VIOLATIONS]) or 'nothing broke'}"
    )
    return 1 if violations else 0


def play_all(seeds: Sequence[int], split_jobs: bool, workers: int) -> int:
    """Play histories and print their violations; return the exit code."""
    pairs: Counter[tuple[str, ...]] = Counter()
    stop_delays_s: list[float] = []
    failed = 0
    with ProcessPoolExecutor(workers) as pool:
        results = pool.map(partial(play, split_jobs=split_jobs), seeds)
        with click.progressbar(results, length=len(seeds), file=sys.stderr) as progress:
            for outcome in progress:
                pairs[outcome.pair] += 1
                stop_delays_s += outcome.stop_delays_s
                if outcome.violations:
                    failed += 1
                    click.echo(
                        f"{outcome.line}: {'; '.join(outcome.violations[:MAX_PRINTED_VIOLATIONS])}"
                    )
    played = sum(pairs[pair] > 0 for pair in PAIRS)
    longest = max(stop_delays_s, default=0.0)
    click.echo(
        f"{len(seeds)} histories, {failed} broke something; {played} of {len(PAIRS)} pairs; "
        f"{len(stop_delays_s)} confirmed cancellations, the last task gone at most "
        f"{longest:.1f} s after"
    )
    return 1 if failed else 0


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
        sys.exit(check_all_guards(workers))
    if seed is not None:
        sys.exit(play_one(seed, split_jobs, events))
    sys.exit(play_all(range(first, first + histories), split_jobs, workers))


if __name__ == "__main__":
    main()
