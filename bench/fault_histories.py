"""Plays seeded histories in which troubles meet, in memory, on all cores.

    python3 -m bench.fault_histories --histories 320 [--first 0] [--workers 8]
    python3 -m bench.fault_histories --guards

Each pair of faults comes in turn, at instants drawn from the seed
(tests/fakes/fault_histories.py).
What breaks is printed with its seed; ``--seed`` plays one again.  Exit code 1: something broke.

``--guards`` switches one guard of the code after the other off, and plays histories of the troubles
that it is meant for until one breaks.  Exit code 1: one broke nothing.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from datetime import timedelta
from typing import Any, NamedTuple

import click
import pytest

from micadeal.controller.api.cancellation_broadcast import CancellationBroadcaster
from micadeal.controller.api.jobs import CancellationConfirmation
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


class Outcome(NamedTuple):
    line: str
    pair: tuple[str, ...]
    broken: list[str]
    gone_after: list[float]


def play(seed: int) -> Outcome:
    # Every fourth one draws its troubles; the others take the pairs in turn.
    kinds = () if seed % 4 == 3 else PAIRS[(seed - seed // 4) % len(PAIRS)]
    history = History(seed, kinds)
    broken = history.play()
    return Outcome(history.line(), tuple(kinds), broken, history.gone_after)


# -- guards --------------------------------------------------------------------------------------


def _elected_is_informed(patch: pytest.MonkeyPatch) -> None:
    begin = Leader.__init__

    def informed(self: Any, *args: Any, **named: Any) -> None:
        begin(self, *args, **named)
        self._authority.mark_informed(self._cluster.term_start)

    patch.setattr(Leader, "__init__", informed)


def _early_notices_lost(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RecordLoader, "job_cancelled", lambda self, job, now: self.job_over(job, now))


def _lists_empty(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FollowerLeases, "note", lambda self, job, now, age=None: False)
    patch.setattr(CancellationBroadcaster, "tell_leader", _nothing)


async def _nothing(*_: Any) -> bool:
    return True


def _tells_alone(patch: pytest.MonkeyPatch) -> None:
    async def alone(self: CancellationBroadcaster, job_id: str) -> CancellationConfirmation:
        return CancellationConfirmation(True, True)

    patch.setattr(CancellationBroadcaster, "broadcast", alone)


def _told_while_tasks_may_start(patch: pytest.MonkeyPatch) -> None:
    broadcast = CancellationBroadcaster.broadcast

    async def settled(self: CancellationBroadcaster, job_id: str) -> CancellationConfirmation:
        return (await broadcast(self, job_id))._replace(no_task_can_start=True)

    async def nothing_starts(self: CancellationBroadcaster, job_id: str) -> bool:
        return False

    patch.setattr(CancellationBroadcaster, "broadcast", settled)
    patch.setattr(CancellationBroadcaster, "may_tasks_start", nothing_starts)


def _writes_without_versions(patch: pytest.MonkeyPatch) -> None:
    write = OutboundCalls.write

    async def unconditional(self: Any, batch: WriteBatch, fence: int) -> None:
        await write(self, replace(batch, conditions=()), fence)

    patch.setattr(OutboundCalls, "write", unconditional)


def _old_reports_are_news(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(reconciliation, "_looks_older", lambda machine, heartbeat: False)


def _any_absence_frees(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        reported_tasks, "_absent_for_good", lambda cluster, attempt, machine, is_heartbeat: True
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
            latest = machine.reachability.latest or cluster.term_start
            if not machine.lease_expired and now - latest > cluster.workers.lease / 2:
                machine.lease_expired = True
                machine_loss.lose_all_attempts(cluster, machine, now)

    patch.setattr(machine_loss, "expire_leases", expire)


def _stops_are_not_repeated(patch: pytest.MonkeyPatch) -> None:
    def none(cluster: ClusterState, machine: Machine) -> list[Any]:
        return []

    patch.setattr(worker_commands, "stop_commands_for", none)


#: Each guard's removal, and the troubles that it is meant for.
GUARDS: dict[str, tuple[Patch, Sequence[str]]] = {
    "being elected is no knowledge of cancellations": (
        _elected_is_informed,
        ["gap at an election"],
    ),
    "notices outlast records read before": (_early_notices_lost, ["gap at an election"]),
    "cancellations are passed on between controllers": (_lists_empty, ["gap"]),
    "others know of a cancellation before it is told": (
        _tells_alone,
        ["gap", "follower crash", "machines out of reach"],
    ),
    "no task may start when a cancellation is told": (
        _told_while_tasks_may_start,
        ["gap", "follower crash"],
    ),
    "writes depend on versions": (_writes_without_versions, ["late writes", "hand over"]),
    "old reports are no news": (_old_reports_are_news, ["late reports", "hand over"]),
    "only some absences free a task": (_any_absence_frees, ["late reports", "leader crash"]),
    "a lease has to be over": (_silence_frees_at_once, ["machines out of reach"]),
    "only silence after our token counts": (
        _silence_before_our_token_frees,
        ["machines out of reach", "leader crash"],
    ),
    "stops are ordered": (_stops_are_not_repeated, ["gap"]),
}


def unguarded(name: str) -> tuple[str, int, str]:
    """How many histories it takes until something breaks, and what; 0: nothing did."""
    logging.disable(logging.CRITICAL)
    switch_off, kinds = GUARDS[name]
    for seed in range(MOST_UNGUARDED):
        with pytest.MonkeyPatch.context() as patch:
            switch_off(patch)
            broken = History(seed, kinds).play()
        if broken:
            return name, seed + 1, broken[0]
    return name, 0, "nothing"


#: Histories that a guard's removal gets to break something.
MOST_UNGUARDED = 150


@click.command()
@click.option("--histories", default=400, show_default=True)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--workers", default=8, show_default=True, help="Processes.")
@click.option("--seed", default=None, type=int, help="Play this one alone.")
@click.option("--guards", is_flag=True, help="Switch each guard off in turn.")
def main(histories: int, first: int, workers: int, seed: int | None, guards: bool) -> None:
    """Print what broke, and how soon cancelled tasks were gone."""
    if guards:
        with ProcessPoolExecutor(workers) as pool:
            held = 0
            for name, count, broken in pool.map(unguarded, GUARDS):
                held += not count
                click.echo(f"without: {name}: {broken} in history {count}")
        sys.exit(1 if held else 0)
    seeds = range(first, first + histories) if seed is None else [seed]
    pairs: Counter[tuple[str, ...]] = Counter()
    gone: list[float] = []
    bad = 0
    with ProcessPoolExecutor(workers) as pool:
        results = pool.map(play, seeds)
        with click.progressbar(results, length=len(seeds), file=sys.stderr) as progress:
            for found in progress:
                pairs[found.pair] += 1
                gone += found.gone_after
                if found.broken:
                    bad += 1
                    click.echo(f"{found.line}: {'; '.join(found.broken[:4])}")
    missing = [pair for pair in PAIRS if not pairs[pair]]
    longest = max(gone, default=0.0)
    click.echo(
        f"{len(seeds)} histories, {bad} broke something; {len(PAIRS) - len(missing)} of "
        f"{len(PAIRS)} pairs; {len(gone)} confirmed cancellations, the last task gone at most "
        f"{longest:.1f} s after"
    )
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
