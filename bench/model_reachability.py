"""Model checker: one machine whose messages are late, lost, duplicated or deceptive.

    python3 -m bench.model_reachability [--depth 8]
    python3 -m bench.model_reachability --guards

The world has one worker, one task and one leader; the leader's view is the real ``ClusterState``.
Between two steps of the clock any of these may happen: the worker sends a heartbeat; heartbeats are
delayed and duplicated; responses are lost; the leader probes the worker and the answer is delayed;
the worker restarts; the task is placed and stopped.

The rule: what runs on the worker is in the leader's cluster state.

Paths are played from the start each time and told apart by the state that they lead to.  Each guard
of the code, when disabled (``GUARDS``), must break the rule.
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
    #: The first path that breaks the rule; None: none does.
    path: Path | None


def explore(depth: int) -> Outcome:
    """Visit all states that ``depth`` moves lead to, until the rule breaks."""
    paths: list[Path] = [()]
    seen: set[tuple[Any, ...]] = set()
    for _ in range(depth + 1):
        longer: list[Path] = []
        for path in paths:
            world = World()
            for move in (*OPENING, *path):
                world.play(move)
            if world.broken:
                return Outcome(len(seen), path)
            key = world.key()
            if key not in seen:
                seen.add(key)
                longer += [(*path, move) for move in world.moves()]
        paths = longer
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


#: For each guard the class or module and the function whose replacement disables it.
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
def without(guard: str) -> Iterator[None]:
    """Disable a guard."""
    owner, name, instead = GUARDS[guard]
    kept = getattr(owner, name)
    setattr(owner, name, instead)
    try:
        yield
    finally:
        setattr(owner, name, kept)


@contextmanager
def small_margin() -> Iterator[None]:
    """Lower the margin of a lease: the clock of this world moves in whole seconds."""
    kept = clusters.LEASE_MARGIN
    clusters.LEASE_MARGIN = seconds(0.5)
    try:
        yield
    finally:
        clusters.LEASE_MARGIN = kept


@click.command()
@click.option("--depth", default=8, show_default=True, help="Moves of a path.")
@click.option("--guards", is_flag=True, help="Disable each guard: it must break the rule.")
def main(depth: int, guards: bool) -> None:
    """Print the number of states, the time taken and the path that breaks the rule, if any."""
    with small_margin():
        if not guards:
            _show("all guards", depth)
            return
        for guard in GUARDS:
            with without(guard):
                _show(guard, depth)


def _show(name: str, depth: int) -> None:
    began = time.perf_counter()
    states, path = explore(depth)
    spent = time.perf_counter() - began
    result = "nothing broken" if path is None else " > ".join(move.value for move in path)
    click.echo(f"{name}: {states:,} states in {spent:.0f} s: {result}")


if __name__ == "__main__":
    main()
