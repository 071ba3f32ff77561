"""Initial states, and breadth-first search over all reachable states."""

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
    controller_name,
    process_of,
)
from micadeal.rollout import leader_lock as leader_locks
from micadeal.schema.keys import LEADER, LEVEL, LOCK_HOLDER
from micadeal.wire.state import Put

#: Revision of the election of the first controller.
_ELECTION_REVISION = 4
_FIRST_LEASE = 1
MAX_STATES = 50_000_000


class Outcome(NamedTuple):
    """The result of a search."""

    states: int
    #: The broken rule; None if none broke.
    broken: str | None


def initial_state(
    ends: int = 1,
    leases: int = 1,
    writes: int = 1,
    turns: int = 0,
    third: int | None = None,
    level: int = 0,
) -> State:
    """Return the initial state: the first controller leads at ``level``.

    ``third``: the highest level that the third controller knows.  ``ends``, ``leases``, ``writes``
    and ``turns`` are the numbers of restarts, lease expiries, records written and changes of the
    ceiling.
    """
    controllers = tuple(
        Controller(highest_level, index * PROCESSES_PER_CONTROLLER)
        for index, highest_level in enumerate((2, 2, third))
    )
    entries = _initial_store(controllers, level)
    seen = Snapshot(entries, _ELECTION_REVISION)
    registered_controllers = [
        controller
        if controller.highest_level is None
        else controller._replace(registered=True, seen=seen)
        for controller in controllers
    ]
    registered_controllers[0] = registered_controllers[0]._replace(
        token=_ELECTION_REVISION, fence=_ELECTION_REVISION
    )
    return State(
        revision=_ELECTION_REVISION,
        store=entries,
        controllers=tuple(registered_controllers),
        in_flight=frozenset(),
        ceiling=None,
        last_token=_ELECTION_REVISION,
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
        if controller.highest_level is not None
    ]
    leader = msgspec.json.encode({"controller": controller_name(0), "lease": _FIRST_LEASE})
    store.append(Entry(LEADER, leader, _ELECTION_REVISION, None if level else _FIRST_LEASE))
    if level:
        record = msgspec.json.encode({"level": level, "writes": level, "oldest": level})
        store.append(Entry(LOCK_HOLDER, leader, _ELECTION_REVISION, _FIRST_LEASE))
        store.append(Entry(LEVEL, record, _ELECTION_REVISION, None))
    return tuple(sorted(store))


def _member(index: int, controller: Controller) -> Entry:
    """Return the member record of a controller's first process."""
    _, changes = leader_locks.registration(
        leader_locks.read([], 0), controller_name(index), process_of(controller), 0.0
    )
    put = changes[0]
    assert isinstance(put, Put)
    return Entry(put.key, msgspec.json.encode(put.value), index + 1, None)


def explore(first: State, max_states: int = MAX_STATES) -> Outcome:
    """Visit all states, breadth first, until a rule breaks or ``max_states`` are reached."""
    seen = {first}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        try:
            for next_state in moves(state):
                if next_state is None or next_state in seen:
                    continue
                check(next_state)
                seen.add(next_state)
                queue.append(next_state)
        except RuleBrokenError as broken:
            return Outcome(len(seen), str(broken))
        if len(seen) >= max_states:
            break
    return Outcome(len(seen), None)
