"""Model checker for one machine whose messages are delayed, lost, duplicated or misleading.

    python3 -m bench.model_reachability [--depth 8]
    python3 -m bench.model_reachability --guards

The model has one worker, one task and one leader, whose view is the real ``ClusterState``.  Between
two steps of the clock, any of these may happen: the worker sends a heartbeat; heartbeats are
delayed and duplicated; responses are lost; the leader probes the worker and the answer is delayed;
the worker restarts; the task is placed and stopped.

The rule: every attempt that runs on the worker is in the leader's cluster state.

Each path is played from the start; paths that lead to the same state are merged.  If a guard of the
code is disabled (``GUARDS``), the rule must break.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, NamedTuple

import click

from bench.reachability_world import OPENING, Path, World
from micadeal.clock import seconds
from micadeal.fleet.machines import Attempt
from micadeal.fleet.reachability import Reachability
from micadeal.scheduling import cluster_state as clusters
from micadeal.scheduling import reconciliation, reported_tasks
from micadeal.scheduling.cluster_state import ClusterState


class Outcome(NamedTuple):
    """The result of a search."""

    states: int
    #: The first path that breaks the rule; None if none does.
    path: Path | None


def explore(depth: int) -> Outcome:
    """Visit all states that are reachable in ``depth`` moves, until the rule breaks."""
    paths: list[Path] = [()]
    seen: set[tuple[Any, ...]] = set()
    for _ in range(depth + 1):
        next_paths: list[Path] = []
        for path in paths:
            world = World()
            for move in (*OPENING, *path):
                world.play(move)
            if world.broken:
                return Outcome(len(seen), path)
            key = world.key()
            if key not in seen:
                seen.add(key)
                next_paths += [(*path, move) for move in world.moves()]
        paths = next_paths
    return Outcome(len(seen), None)


# -- guards that can be disabled ------------------------------------------------------------


def _never_older(*_: object) -> bool:
    return False


def _always_restarted(*_: object) -> bool:
    return True


def _any_absence(_: ClusterState, attempt: Attempt, *_others: object) -> bool:
    return attempt.start_sent_in is not None


def _first_message_only(self: Reachability, token: int, now: timedelta) -> None:
    self.token = max(self.token, token)
    self.last_message_at = now if self.last_message_at is None else self.last_message_at


#: For each guard: the class or module, the function in it, and the replacement that disables it.
GUARDS: dict[str, tuple[Any, str, Callable[..., Any]]] = {
    "a stale message changes nothing": (reconciliation, "_is_stale", _never_older),
    "only an answer to a probe proves a restart": (
        Reachability,
        "proves_restart",
        _always_restarted,
    ),
    "absence counts once no start is in flight": (
        reported_tasks,
        "_is_certainly_gone",
        _any_absence,
    ),
    "a lease counts from the newest message": (Reachability, "record_message", _first_message_only),
}


@contextmanager
def guard_disabled(guard: str) -> Iterator[None]:
    """Disable a guard."""
    owner, name, replacement = GUARDS[guard]
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    try:
        yield
    finally:
        setattr(owner, name, original)


@contextmanager
def reduced_lease_margin() -> Iterator[None]:
    """Lower the lease margin: the clock of the model advances in whole seconds."""
    original = clusters.LEASE_MARGIN
    clusters.LEASE_MARGIN = seconds(0.5)
    try:
        yield
    finally:
        clusters.LEASE_MARGIN = original


@click.command()
@click.option("--depth", default=8, show_default=True, help="Moves of a path.")
@click.option("--guards", is_flag=True, help="Disable each guard: it must break the rule.")
def main(depth: int, guards: bool) -> None:
    """Print the number of states, the time taken and the path that breaks the rule, if any."""
    with reduced_lease_margin():
        if not guards:
            _show("all guards", depth)
            return
        for guard in GUARDS:
            with guard_disabled(guard):
                _show(guard, depth)


def _show(name: str, depth: int) -> None:
    started_at = time.perf_counter()
    states, path = explore(depth)
    elapsed_s = time.perf_counter() - started_at
    result = "nothing broken" if path is None else " > ".join(move.value for move in path)
    click.echo(f"{name}: {states:,} states in {elapsed_s:.0f} s: {result}")


if __name__ == "__main__":
    main()
