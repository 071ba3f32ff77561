"""Initial states, and breadth-first search over all states that can be reached."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import msgspec

from bench.model_rollout.moves import moves
from bench.model_rollout.rules import RuleBrokenError, check
from bench.model_rollout.state import (
    PROCESSES_PER_CONTROLLER,
    Controller,
    Entry,
    Snapshot,
    State,
    Store,
    name_of,
    process_of,
)
from micadeal.rollout import leader_lock as leader_locks
from micadeal.schema.keys import LEADER, LEVEL, LOCK_HOLDER
from micadeal.wire.state import Put

#: Revision at which the first controller was elected.
_ELECTED = 4
_FIRST_LEASE = 1
MAX_STATES = 50_000_000


class Outcome(NamedTuple):
    """The result of a search."""

    states: int
    #: The rule that broke; None: none.
    broken: str | None


def start(
    ends: int = 1,
    leases: int = 1,
    writes: int = 1,
    turns: int = 0,
    third: int | None = None,
    level: int = 0,
) -> State:
    """Return the initial state: the first controller leads at ``level``.

    ``third``: the kind of the third controller.  ``ends``, ``leases``, ``writes``, ``turns``: how
    often processes end, leases expire, records are written and operators change the ceiling.
    """
    controllers = tuple(
        Controller(kind, index * PROCESSES_PER_CONTROLLER)
        for index, kind in enumerate((2, 2, third))
    )
    entries = _initial_store(controllers, level)
    seen = Snapshot(entries, _ELECTED)
    serving = [
        controller if controller.kind is None else controller._replace(registered=True, seen=seen)
        for controller in controllers
    ]
    serving[0] = serving[0]._replace(token=_ELECTED, fence=_ELECTED)
    return State(
        revision=_ELECTED,
        store=entries,
        controllers=tuple(serving),
        in_flight=frozenset(),
        ceiling=None,
        last_token=_ELECTED,
        last_lease=_FIRST_LEASE,
        ends=ends,
        expiries=leases,
        writes=writes,
        turns=turns,
    )


def _initial_store(controllers: tuple[Controller, ...], level: int) -> Store:
    """Return the store in which the first controller leads at ``level``."""
    store = [
        _member(index, controller)
        for index, controller in enumerate(controllers)
        if controller.kind is not None
    ]
    leader = msgspec.json.encode({"controller": name_of(0), "lease": _FIRST_LEASE})
    store.append(Entry(LEADER, leader, _ELECTED, None if level else _FIRST_LEASE))
    if level:
        record = msgspec.json.encode({"level": level, "writes": level, "oldest": level})
        store.append(Entry(LOCK_HOLDER, leader, _ELECTED, _FIRST_LEASE))
        store.append(Entry(LEVEL, record, _ELECTED, None))
    return tuple(sorted(store))


def _member(index: int, controller: Controller) -> Entry:
    """Return the member record of a controller's first process."""
    _, changes = leader_locks.registration(
        leader_locks.read([], 0), name_of(index), process_of(controller), 0.0
    )
    put = changes[0]
    assert isinstance(put, Put)
    return Entry(put.key, msgspec.json.encode(put.value), index + 1, None)


def explore(first: State, most: int = MAX_STATES) -> Outcome:
    """Visit all states, breadth first, until a rule breaks or ``most`` states are reached."""
    seen = {first}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        try:
            for following in moves(state):
                if following is None or following in seen:
                    continue
                check(following)
                seen.add(following)
                queue.append(following)
        except RuleBrokenError as broken:
            return Outcome(len(seen), str(broken))
        if len(seen) >= most:
            break
    return Outcome(len(seen), None)
