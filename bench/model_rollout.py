"""Explores every course of a small world in which the level of the stored state moves.

    python3 -m bench.model_rollout [--ends 2] [--leases 2] [--writes 2] [--turns 1]
    python3 -m bench.model_rollout --guards

Three controllers and the state service.  The decisions and transactions are the real ones
(``rollout/``).  Between two steps anything may happen or not: a controller looks, registers,
stands, as leader writes a record, asks the others who they are, moves the level; every transaction
is under way for as long as it likes, is applied late or never; a process ends, and comes back of
any version (one that knows of no levels, or levels to 1, or to 2); a lease runs out; the operators
allow less or more.  What is bounded is how often processes end, leases run out, records are written
and the operators turn.

Broken is a course in which
- somebody leads, or serves users, by a level that it does not know;
- a record is stored that whoever reads by the recorded levels would not look for;
- a token is not larger than all before it.

A guard that is switched off (``GUARDS``) must break one of these.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack
from functools import cache
from typing import Any, NamedTuple
from unittest import mock

import click
import msgspec

from micadeal.clock import seconds
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout import migration
from micadeal.rollout.feature_level import Build
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import PeerObservation, Process
from micadeal.schema.keys import LEADER, LEADER_LOCK_PREFIX, LEVEL, LOCK_HOLDER
from micadeal.wire.state import Condition, Delete, Item, Put

NOW = seconds(1000)
#: What a process may be: the highest level that it knows; none for a version before levels.
KINDS = (None, 1, 2)
DATA = "placed/"


class Controller(NamedTuple):
    kind: int | None
    process: int
    #: Revision of the store when it last looked, and what it saw; None: it did not yet.
    seen: tuple[Any, ...] | None = None
    #: It saw its own registration in force.
    registered: bool = False
    #: The token and fence of the term that it leads by; 0: none.
    token: int = 0
    fence: int = 0
    #: The process of each other controller that it heard as leader; -1: of no levels; None:
    #: nothing.
    heard: tuple[int | None, ...] = (None, None, None)


class Flight(NamedTuple):
    """A transaction under way."""

    by: int
    process: int
    conditions: tuple[tuple[str, int], ...]
    #: (key, value as bytes, None to drop; lease)
    changes: tuple[tuple[str, bytes | None, int | None], ...]
    wins: bool


class State(NamedTuple):
    revision: int
    #: (key, value, version, lease), in order.
    store: tuple[tuple[str, bytes, int, int | None], ...]
    nodes: tuple[Controller | None, ...]
    flights: frozenset[Flight]
    ceiling: int | None
    last_token: int
    leases: int
    ends: int
    expiries: int
    writes: int
    turns: int


@cache
def _read(entries: tuple[Any, ...]) -> LeaderLock:
    return leader_locks.read([Item(k, msgspec.json.decode(v), n) for k, v, n in entries], 0)


def _leader_lock(store: tuple[Any, ...], _: int) -> LeaderLock:
    return _read(
        tuple(entry[:3] for entry in store if entry[0].startswith((LEADER, LEADER_LOCK_PREFIX)))
    )


@cache
def _process(node: Controller) -> Process:
    assert node.kind is not None
    return Process(str(node.process), Build(f"to {node.kind}", 0, node.kind))


def _flight(
    i: int,
    node: Controller,
    conditions: list[Condition],
    changes: list[Put | Delete],
    wins: bool = False,
) -> Flight:
    return Flight(
        i,
        node.process,
        tuple((c.key, c.version) for c in conditions),
        tuple(
            (c.key, msgspec.json.encode(c.value), c.lease)
            if isinstance(c, Put)
            else (c.key, None, None)
            for c in changes
        ),
        wins,
    )


def _with(state: State, i: int, node: Controller | None, **more: Any) -> State:
    nodes = list(state.nodes)
    nodes[i] = node
    return state._replace(nodes=tuple(nodes), **more)


def _send(state: State, flight: Flight, **more: Any) -> State | None:
    if flight in state.flights or sum(f.by == flight.by for f in state.flights) >= 2:
        return None
    return state._replace(flights=state.flights | {flight}, **more)


def _apply(state: State, flight: Flight) -> State:
    state = state._replace(flights=state.flights - {flight})
    versions = {key: version for key, _, version, _ in state.store}
    if any(versions.get(key, 0) != version for key, version in flight.conditions):
        return state
    live = {lease for *_, lease in state.store if lease is not None}
    if not flight.wins and any(lease not in live for *_, lease in flight.changes if lease):
        # The lease is gone: 400.
        return state
    revision = state.revision + 1
    store = {entry[0]: entry for entry in state.store}
    for key, value, lease in flight.changes:
        if value is None:
            store.pop(key, None)
        else:
            store[key] = (key, value, revision, lease)
    state = state._replace(revision=revision, store=tuple(sorted(store.values())))
    node = state.nodes[flight.by]
    if flight.wins:
        if revision <= state.last_token:
            raise Broken("a token is used again")
        state = state._replace(last_token=revision)
        if node is not None and node.process == flight.process:
            node = node._replace(token=revision, fence=revision, heard=(None,) * 3)
            state = _with(state, flight.by, node)
    return state


class Broken(Exception):
    pass


def _check(state: State) -> None:
    leader_lock = _leader_lock(state.store, state.revision)
    holder = None
    for _key, _value, _version, lease in state.store:
        holder = lease if lease is not None else holder
    for node in state.nodes:
        if node is None:
            continue
        leads = node.token and node.token == leader_lock.token and holder is not None
        if leads and (node.kind or 0) < leader_lock.level.level:
            raise Broken(f"one of kind {node.kind} leads by level {leader_lock.level.level}")
        if node.kind is not None and _serves(node) and node.kind < leader_lock.level.level:
            raise Broken(f"one of kind {node.kind} serves users by level {leader_lock.level.level}")
    for key, *_ in state.store:
        if key.startswith(DATA):
            layout = int(key.removeprefix(DATA))
            if not leader_lock.level.oldest <= layout <= leader_lock.level.level:
                raise Broken(f"a record of level {layout} under {leader_lock.level}")


def _serves(node: Controller) -> bool:
    if node.seen is None or not node.registered:
        return False
    return (
        leader_locks.refusal(_leader_lock(*node.seen), f"c{node.process // 10}", _process(node))
        is None
    )


def _next(state: State) -> Iterator[State | None]:
    for flight in state.flights:
        yield _apply(state, flight)
        yield state._replace(flights=state.flights - {flight})
    if state.expiries:
        yield _expire(state)
    if state.turns:
        yield state._replace(turns=state.turns - 1, ceiling=1 if state.ceiling is None else None)
        yield state._replace(turns=state.turns - 1, ceiling=0)
    for i, node in enumerate(state.nodes):
        if node is None:
            continue
        if state.ends:
            for kind in KINDS:
                yield _with(state, i, Controller(kind, node.process + 1), ends=state.ends - 1)
        if node.kind is None:
            yield from _old(state, i, node)
        elif node.token:
            yield from _lead(state, i, node)
        else:
            yield from _follow(state, i, node)


def _expire(state: State) -> State | None:
    """The lease of whoever holds the seat runs out; by its own clock it has stood down before."""
    leased = {lease for *_, lease in state.store if lease is not None}
    if not leased:
        return None
    store = tuple(entry for entry in state.store if entry[3] is None)
    nodes = tuple(n and n._replace(token=0, fence=0) for n in state.nodes)
    return state._replace(
        store=store, nodes=nodes, revision=state.revision + 1, expiries=state.expiries - 1
    )


def _old(state: State, i: int, node: Controller) -> Iterator[State | None]:
    if node.token:
        yield _write(state, i, node, 0)
    elif LEADER not in {key for key, *_ in state.store}:
        lease = state.leases + 1
        record = {"controller": f"c{i}", "lease": lease}
        yield _send(
            state,
            _flight(i, node, [Condition(LEADER, 0)], [Put(LEADER, record, lease)], wins=True),
            leases=lease,
        )


def _follow(state: State, i: int, node: Controller) -> Iterator[State | None]:
    name, now = f"c{i}", (state.store, state.revision)
    leader_lock = _leader_lock(*now)
    mine = leader_locks.registered(leader_lock, name, _process(node))
    if node.seen is None or _leader_lock(*node.seen) != leader_lock or mine != node.registered:
        yield _with(state, i, node._replace(seen=(_kept(state), state.revision), registered=mine))
    if node.seen is None:
        return
    leader_lock = _leader_lock(*node.seen)
    if not node.registered:
        yield _send(
            state,
            _flight(i, node, *leader_locks.registration(leader_lock, name, _process(node), 0.0)),
        )
        return
    if not leader_lock.taken and leader_locks.refusal(leader_lock, name, _process(node)) is None:
        lease = state.leases + 1
        sent = leader_locks.acquisition(leader_lock, name, lease)
        yield _send(state, _flight(i, node, *sent, wins=True), leases=lease)


def _kept(state: State) -> tuple[Any, ...]:
    return tuple(
        entry for entry in state.store if entry[0].startswith((LEADER, LEADER_LOCK_PREFIX))
    )


def _lead(state: State, i: int, node: Controller) -> Iterator[State | None]:
    leader_lock = _leader_lock(state.store, state.revision)
    if leader_lock.token != node.token:
        return
    if leader_lock.fence != node.fence:
        # What it holds for true is older than what is recorded until it looks.
        seen = (_kept(state), state.revision)
        yield _with(state, i, node._replace(fence=leader_lock.fence, seen=seen))
        known = _leader_lock(*node.seen) if node.seen else leader_lock
        yield _write(state, i, node, known.level.writes)
        return
    yield _write(state, i, node, leader_lock.level.writes)
    yield _rewrite(state, i, node, leader_lock)
    for j, other in enumerate(state.nodes):
        if j != i and other is not None:
            process = -1 if other.kind is None else other.process * 10 + other.kind
            if node.heard[j] != process:
                heard = (*node.heard[:j], process, *node.heard[j + 1 :])
                yield _with(state, i, node._replace(heard=heard))
    observations = {f"c{j}": _sight(process) for j, process in enumerate(node.heard) if j != i}
    layouts = [int(k.removeprefix(DATA)) for k, *_ in state.store if k.startswith(DATA)]
    migration_backlog = migration.MigrationBacklog(
        sum(layout < leader_lock.level.writes for layout in layouts),
        sum(layout > leader_lock.level.writes for layout in layouts),
    )
    found = migration.plan(
        leader_lock.level, _process(node), observations, state.ceiling, migration_backlog, NOW
    )
    if found.move is None:
        return
    names: list[str] = []
    if found.raises:
        if migration.confirm(found, leader_lock, f"c{i}", _process(node), observations):
            return
        names = [name for name in (f"c{i}", *observations) if name in leader_lock.members]
    lease = leader_lock.lease
    sent = leader_locks.level_change(leader_lock, found.move, f"c{i}", lease, node.token, names)
    yield _send(state, _flight(i, node, *sent))


def _sight(heard: int | None) -> PeerObservation:
    if heard is None:
        return PeerObservation()
    kind = heard % 10
    process = None if heard < 0 else Process(str(heard // 10), Build(f"to {kind}", 0, kind))
    return PeerObservation(process, seconds(900), NOW)


def _write(state: State, i: int, node: Controller, layout: int) -> State | None:
    if not state.writes:
        return None
    change: list[Put | Delete] = [Put(f"{DATA}{layout}", 1)]
    flight = _flight(i, node, [Condition(LEADER, node.fence)], change)
    return _send(state, flight, writes=state.writes - 1)


def _rewrite(state: State, i: int, node: Controller, leader_lock: LeaderLock) -> State | None:
    for key, _, version, _ in state.store:
        target = f"{DATA}{leader_lock.level.writes}"
        if key.startswith(DATA) and key != target:
            conditions = [Condition(LEADER, node.fence), Condition(key, version)]
            return _send(state, _flight(i, node, conditions, [Put(target, 1), Delete(key)]))
    return None


def start(
    ends: int = 1,
    leases: int = 1,
    writes: int = 1,
    turns: int = 0,
    third: int | None = None,
    level: int = 0,
) -> State:
    """The first leads at ``level``; the third is of the version ``third``."""
    nodes = (Controller(2, 0), Controller(2, 10), Controller(third, 20))
    store: list[tuple[str, bytes, int, int | None]] = []
    for i, node in enumerate(nodes):
        if node.kind is not None:
            _, changes = leader_locks.registration(
                leader_locks.read([], 0), f"c{i}", _process(node), 0.0
            )
            put = changes[0]
            assert isinstance(put, Put)
            store.append((put.key, msgspec.json.encode(put.value), i + 1, None))
    record = msgspec.json.encode({"controller": "c0", "lease": 1})
    store.append((LEADER, record, 4, None if level else 1))
    if level:
        value = {"level": level, "writes": level, "oldest": level}
        store.append((LOCK_HOLDER, record, 4, 1))
        store.append((LEVEL, msgspec.json.encode(value), 4, None))
    kept = tuple(sorted(store))
    served = [n if n.kind is None else n._replace(registered=True, seen=(kept, 4)) for n in nodes]
    served[0] = served[0]._replace(token=4, fence=4)
    return State(4, kept, tuple(served), frozenset(), None, 4, 1, ends, leases, writes, turns)


def explore(first: State, most: int = 50_000_000) -> tuple[int, str | None]:
    """How many states can be reached; what is broken in the first one that is."""
    seen = {first}
    front = deque([first])
    while front:
        state = front.popleft()
        try:
            for found in _next(state):
                if found is None or found in seen:
                    continue
                _check(found)
                seen.add(found)
                front.append(found)
        except Broken as problem:
            return len(seen), str(problem)
        if len(seen) >= most:
            break
    return len(seen), None


_moving: Any = leader_locks.level_change


def _moving_unfenced(leader_lock: LeaderLock, to: Any, *args: Any) -> Any:
    conditions, changes = _moving(leader_lock, to, *args)
    return conditions, [
        c for c in changes if c.key != LEADER or not leader_lock.fenced or not to.level
    ]


def _moving_leased(leader_lock: LeaderLock, to: Any, name: str, lease: int, *args: Any) -> Any:
    conditions, changes = _moving(leader_lock, to, name, lease, *args)
    return conditions, [
        Put(c.key, c.value, lease) if isinstance(c, Put) and c.key == LEADER else c for c in changes
    ]


def _moving_alone(*args: Any) -> Any:
    return _moving(*args[:-1], [])


def _raise_unsettled(record: Any, own: Any, observations: Any, *args: Any) -> Any:
    return _plan(record, own, {n: s for n, s in observations.items() if s.process}, *args)


_plan: Any = migration.plan
_NOTHING = migration.MigrationBacklog()

#: What is switched off, by what, and in which world it then breaks something.
Guard = tuple[dict[str, Any], dict[str, int]]
GUARDS: dict[str, Guard] = {
    "a raise depends on every member record": (
        {"micadeal.rollout.leader_lock.level_change": _moving_alone},
        {"ends": 1, "third": 2},
    ),
    "the process that was heard is the one recorded": (
        {"micadeal.rollout.migration.confirm": lambda *_: ()},
        {"ends": 1, "third": 2},
    ),
    "all others have shown the level, and are recorded with it": (
        {
            "micadeal.rollout.migration.plan": _raise_unsettled,
            "micadeal.rollout.migration.confirm": lambda *_: (),
        },
        {"third": 1},
    ),
    "the leader's record never vanishes": (
        {"micadeal.rollout.leader_lock.level_change": _moving_leased},
        {"ends": 1, "leases": 1, "third": 2},
    ),
    "who does not know the level neither stands nor serves": (
        {"micadeal.rollout.leader_lock.refusal": lambda *_: None},
        {"ends": 1, "third": 2},
    ),
    "a process is recorded before it serves": (
        {"micadeal.rollout.leader_lock.registered": lambda *_: True},
        {"ends": 1, "third": 2},
    ),
    "records of another layout are rewritten first": (
        {"micadeal.rollout.migration.MigrationBacklog": lambda *_: _NOTHING},
        {"writes": 1, "third": 2},
    ),
    "the fence moves with the level": (
        {"micadeal.rollout.leader_lock.level_change": _moving_unfenced},
        {"writes": 1, "third": 2, "level": 1},
    ),
}


def broken_without(guard: str) -> str | None:
    """What breaks without it; ``None``: nothing does."""
    patches, world = GUARDS[guard]
    first = start(**{"ends": 0, "leases": 0, "writes": 0, **world})
    with ExitStack() as stack:
        for target, instead in patches.items():
            stack.enter_context(mock.patch(target, instead))
        return explore(first, 500_000)[1]


@click.command()
@click.option("--ends", default=1, show_default=True, help="How often processes end.")
@click.option("--leases", default=1, show_default=True, help="How often leases run out.")
@click.option("--writes", default=1, show_default=True, help="Records written.")
@click.option("--turns", default=0, show_default=True, help="How often operators turn.")
@click.option("--guards", is_flag=True, help="Switch each guard off: it must break a rule.")
def main(ends: int, leases: int, writes: int, turns: int, guards: bool) -> None:
    began = time.monotonic()
    first = start(ends, leases, writes, turns)
    for guard in GUARDS if guards else ():
        print(f"{guard}: {broken_without(guard) or 'NOTHING BREAKS'}", flush=True)  # noqa: T201
    if not guards:
        states, broken = explore(first)
        spent = time.monotonic() - began
        print(f"{states} states, {broken or 'nothing is broken'}, {spent:.0f} s")  # noqa: T201


if __name__ == "__main__":
    main()
