"""Explores courses of a small world: one machine whose messages are late, lost, copied, deceptive.

    python3 -m bench.model_reachability [--depth 8]
    python3 -m bench.model_reachability --guards

One worker, one task, one leader; the leader's view is the real ``ClusterState``.  Between two steps
of the clock anything may happen or not: the worker reports, reports wait and are copied, answers
are lost, the leader asks and its answer waits, the worker begins anew, the task is placed and
stopped.  The rule: what runs on the worker is in the leader's picture.  Courses are played from the
start each time, where the two have just met, and told apart by the state they lead to.  A guard
that is switched off (``GUARDS``) must break the rule.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import click

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Attempt, Machine
from micadeal.fleet.reachability import Reachability
from micadeal.jobs.model import Job
from micadeal.operator.platform import Workers
from micadeal.scheduling import cluster_state as clusters
from micadeal.scheduling import machine_loss, reconciliation, reported_tasks, worker_commands
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Priority, Shape, Submission
from micadeal.wire.workers import Command, CommandKind, Heartbeat, TaskStatus

TOKEN = 1
LEASE = 2
WORKERS = Workers(seconds(1), seconds(LEASE), seconds(50), seconds(6), seconds(34))
SPEC = Submission(
    "req-1", "c", "t", Shape.ARRAY, Priority.STANDARD, 1, 1.0, 1.0, 1.0, "i", 1.0,
    False, False, False, 1.0, 0.0, 0.0,
)  # fmt: skip
#: Enough for a lease to run out, twice.
MOST_TIME = 7
MOST_LIVES = 2
#: How each course begins: the worker has seen the token, and the leader knows that.
MEETING = ("report", "arrive", "answer", "report", "arrive", "second")


@dataclass
class World:
    """Plays one course."""

    now: int = 0
    cluster: ClusterState = field(init=False)
    job: Job = field(init=False)
    # The worker: its process, session, sequence, token, tasks, and since when its lease counts.
    life: int = 1
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    running: set[int] = field(default_factory=set)
    renewed: int = 0
    #: The report that waits for its answer: when it was sent.
    open_since: int | None = None
    #: Reports under way, and those that were taken and may come again.
    under_way: Heartbeat | None = None
    copy: Heartbeat | None = None
    #: The answer under way: orders, session, and the token.
    answer: tuple[list[Command], int] | None = None
    #: An answer to a question that waits: when it was asked, and what it says.
    told: tuple[int, Heartbeat] | None = None

    def __post_init__(self) -> None:
        self.cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
        self.job = Job(SPEC, ZERO, 1)
        self.cluster.add_job(self.job)

    # -- what may happen -------------------------------------------------------------------

    def moves(self) -> Iterator[str]:
        machine = self.machine
        if self.now < MOST_TIME:
            yield "second"
        if self.under_way is None:
            yield "report"
        else:
            yield "arrive"
            if self.copy is not None:
                yield "arrive_too"
        if self.copy is not None:
            yield "again"
        if self.answer is not None:
            yield "answer"
        if self.told is not None:
            yield "told"
        elif machine is not None:
            yield "ask"
        if self.life < MOST_LIVES:
            yield "anew"
        if machine is not None and machine.has_our_token and not self.job.attempts:
            yield "place"
        if any(a.stop is None for a in self.job.all_attempts()):
            yield "stop"

    def play(self, move: str) -> None:
        getattr(self, f"_{move}")()

    @property
    def machine(self) -> Machine | None:
        return self.cluster.machines.get("m")

    @property
    def at(self) -> timedelta:
        return seconds(self.now)

    @property
    def broken(self) -> bool:
        shown = {attempt.number for attempt in self.job.all_attempts()}
        return bool(self.running - shown)

    def key(self) -> tuple[Any, ...]:
        machine = self.machine
        base = self.sequence
        known: tuple[Any, ...] = ()
        if machine is not None:
            reachability = machine.reachability
            latest = None if reachability.latest is None else self.at - reachability.latest
            heard = None if machine.heard is None else self.at - machine.heard
            known = (
                machine.incarnation, machine.sequence - base, machine.has_our_token, machine.lost,
                latest,
                heard, reachability.token, reachability.missed, reachability.restarted,
                tuple((a.number, a.state, a.stop, a.ordered and (a.ordered[0], a.ordered[1] - base))
                      for a in machine.attempts.values()),
            )  # fmt: skip
        return (
            known, self.now, self.life, self.incarnation, self.token, tuple(sorted(self.running)),
            self.now - self.renewed, self.open_since, _told(self.under_way, base),
            _told(self.copy, base), self.answer and tuple(
                (o.verb, o.attempt) for o in self.answer[0]),
            self.answer and self.answer[1], self.told and (self.told[0], _told(self.told[1], base)),
        )  # fmt: skip

    # -- the worker ------------------------------------------------------------------------

    def _says(self) -> Heartbeat:
        self.sequence += 1
        tasks = [TaskStatus("req-1/0", n, "running") for n in sorted(self.running)]
        return Heartbeat(
            "m", "a", "box", "z", False, self.incarnation, self.sequence, self.token, None, tasks
        )

    def _report(self) -> None:
        """One report is open at a time: the answer to an earlier one is given up."""
        self.answer = None
        self.open_since = self.now
        self.under_way = self._says()

    def _answer(self) -> None:
        assert self.answer is not None and self.open_since is not None
        commands, incarnation = self.answer
        self.answer = None
        if incarnation != self.incarnation:
            return
        self.token = TOKEN
        self.renewed = max(self.renewed, self.open_since)
        for order in commands:
            if order.verb is CommandKind.START:
                self.running.add(order.attempt)
            elif order.verb is CommandKind.STOP:
                self.running.discard(order.attempt)

    def _anew(self) -> None:
        self.life += 1
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.running.clear()
        self.renewed = self.now
        self.answer = self.open_since = None

    def _second(self) -> None:
        self.now += 1
        if self.now - self.renewed > LEASE:
            self.running.clear()
            self.incarnation += 1
            self.renewed = self.now
        machine_loss.expire_leases(self.cluster, self.at)

    # -- the network and the leader --------------------------------------------------------

    def _arrive(self) -> None:
        assert self.under_way is not None
        heartbeat, self.under_way = self.under_way, None
        self.copy = heartbeat
        commands = self._taken(heartbeat)
        alive = heartbeat.incarnation == self.incarnation and heartbeat.sequence <= self.sequence
        if self.open_since is not None and alive:
            self.answer = (commands, heartbeat.incarnation)

    def _arrive_too(self) -> None:
        """The copy that comes late is that of an earlier one."""
        kept = self.copy
        self._arrive()
        self.copy = kept

    def _again(self) -> None:
        assert self.copy is not None
        self._taken(self.copy)

    def _taken(self, heartbeat: Heartbeat) -> list[Command]:
        machine = reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, self.at, is_heartbeat=True
        )
        if machine is None:
            return []
        return worker_commands.commands_for(self.cluster, machine, full_authority=True)

    def _ask(self) -> None:
        if self.machine is not None:
            self.token = max(self.token, TOKEN)
            self.told = (self.now, self._says())

    def _told(self) -> None:
        assert self.told is not None
        (asked, heartbeat), self.told = self.told, None
        reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, self.at, is_heartbeat=False, asked=seconds(asked)
        )

    def _place(self) -> None:
        machine = self.machine
        assert machine is not None
        if machine.draining is None and not machine.lost:
            self.cluster.place(self.job, 0, self.cluster.next_number(), machine, self.at)
            self.cluster.written("placed/1/0", list(self.cluster.unwritten), self.at)

    def _stop(self) -> None:
        for attempt in list(self.job.all_attempts()):
            self.cluster.stop(attempt, ZERO, self.at)


def _told(heartbeat: Heartbeat | None, base: int) -> tuple[Any, ...] | None:
    if heartbeat is None:
        return None
    tasks = tuple(task.attempt for task in heartbeat.tasks)
    return (heartbeat.incarnation, heartbeat.sequence - base, heartbeat.token, tasks)


def explore(depth: int) -> tuple[int, tuple[str, ...] | None]:
    """States reached within so many moves, and the first course that breaks the rule."""
    front: list[tuple[str, ...]] = [()]
    seen: set[tuple[Any, ...]] = set()
    for _ in range(depth + 1):
        following: list[tuple[str, ...]] = []
        for course in front:
            world = World()
            for move in (*MEETING, *course):
                world.play(move)
            if world.broken:
                return len(seen), course
            key = world.key()
            if key not in seen:
                seen.add(key)
                following += [(*course, move) for move in world.moves()]
        front = following
    return len(seen), None


# -- guards, each switched off ------------------------------------------------------------------


def _never_older(machine: Machine, heartbeat: Heartbeat) -> bool:
    return False


def _always_anew(self: Reachability, asked: timedelta | None) -> bool:
    return True


def _any_absence(
    cluster: ClusterState, attempt: Attempt, machine: Machine, is_heartbeat: bool
) -> bool:
    return attempt.ordered is not None


def _first_message_only(self: Reachability, token: int, now: timedelta) -> None:
    self.token = max(self.token, token)
    self.latest = now if self.latest is None else self.latest


GUARDS: dict[str, tuple[Any, str, Callable[..., Any]]] = {
    "what looks older is no news": (reconciliation, "_looks_older", _never_older),
    "only an answer proves that it began anew": (Reachability, "proves_restart", _always_anew),
    "absence counts once no start is under way": (reported_tasks, "_absent_for_good", _any_absence),
    "a lease counts from the newest message": (Reachability, "take", _first_message_only),
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    owner, name, instead = GUARDS[guard]
    kept = getattr(owner, name)
    setattr(owner, name, instead)
    try:
        yield
    finally:
        setattr(owner, name, kept)


@contextmanager
def small_margin() -> Iterator[None]:
    """The clock of this world moves in whole seconds: a margin of less than one will do."""
    kept = clusters.LEASE_MARGIN
    clusters.LEASE_MARGIN = seconds(0.5)
    try:
        yield
    finally:
        clusters.LEASE_MARGIN = kept


@click.command()
@click.option("--depth", default=8, show_default=True, help="Moves of a course.")
@click.option("--guards", is_flag=True, help="Switch each guard off: it must break the rule.")
def main(depth: int, guards: bool) -> None:
    with small_margin():
        for guard in GUARDS if guards else [None]:
            began = time.perf_counter()
            if guard is None:
                states, course = explore(depth)
            else:
                with without(guard):
                    states, course = explore(depth)
            took = time.perf_counter() - began
            found = " > ".join(course) if course else "nothing broken"
            click.echo(f"{guard or 'all guards'}: {states:,} states in {took:.0f} s: {found}")


if __name__ == "__main__":
    main()
