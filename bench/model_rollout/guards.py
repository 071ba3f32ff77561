"""Guards of the code that can be disabled; a rule must then break.

A guard is disabled by replacing functions of ``micadeal.rollout`` with versions without it.
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any
from unittest import mock

from bench.model_rollout.explorer import explore, initial_state
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout import migration
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.schema.keys import LEADER
from micadeal.wire.state import Put

#: Maximum number of states of a search without a guard.
MAX_STATES_WITHOUT_GUARD = 500_000

_level_change: Any = leader_locks.level_change
_plan: Any = migration.plan
_EMPTY_BACKLOG = migration.MigrationBacklog()


def _level_change_unfenced(leader_lock: LeaderLock, record: Any, *args: Any) -> Any:
    """Change the level without rewriting ``leader``."""
    conditions, changes = _level_change(leader_lock, record, *args)
    return conditions, [
        change
        for change in changes
        if change.key != LEADER or not leader_lock.fenced or not record.level
    ]


def _level_change_leased(
    leader_lock: LeaderLock, record: Any, name: str, lease: int, *args: Any
) -> Any:
    """Change the level and keep ``leader`` attached to the lease."""
    conditions, changes = _level_change(leader_lock, record, name, lease, *args)
    return conditions, [
        Put(change.key, change.value, lease)
        if isinstance(change, Put) and change.key == LEADER
        else change
        for change in changes
    ]


def _level_change_without_members(*args: Any) -> Any:
    """Change the level without conditions on the member records."""
    return _level_change(*args[:-1], [])


def _plan_without_unseen_peers(record: Any, own: Any, observations: Any, *args: Any) -> Any:
    """Plan without the peers whose process has not been observed."""
    seen_peers = {name: seen for name, seen in observations.items() if seen.process}
    return _plan(record, own, seen_peers, *args)


@dataclass(frozen=True, slots=True)
class Guard:
    """The replacements that disable a guard, and the model in which that breaks a rule."""

    #: Replacement of each function, by the function's qualified name.
    replacements: Mapping[str, Any]
    #: Arguments of ``initial_state``; the default of each number is 0.
    world: Mapping[str, int]


GUARDS: dict[str, Guard] = {
    "a raise depends on every member record": Guard(
        {"micadeal.rollout.leader_lock.level_change": _level_change_without_members},
        {"ends": 1, "third": 2},
    ),
    "the process that was heard is the one recorded": Guard(
        {"micadeal.rollout.migration.objections_to_raise": lambda *_: ()},
        {"ends": 1, "third": 2},
    ),
    "all others have shown the level, and are recorded with it": Guard(
        {
            "micadeal.rollout.migration.plan": _plan_without_unseen_peers,
            "micadeal.rollout.migration.objections_to_raise": lambda *_: (),
        },
        {"third": 1},
    ),
    "the leader's record never vanishes": Guard(
        {"micadeal.rollout.leader_lock.level_change": _level_change_leased},
        {"ends": 1, "leases": 1, "third": 2},
    ),
    "a process that does not know the level neither campaigns nor serves": Guard(
        {"micadeal.rollout.leader_lock.refusal": lambda *_: None},
        {"ends": 1, "third": 2},
    ),
    "a process is recorded before it serves": Guard(
        {"micadeal.rollout.leader_lock.registered": lambda *_: True},
        {"ends": 1, "third": 2},
    ),
    "records of another layout are rewritten first": Guard(
        {"micadeal.rollout.migration.MigrationBacklog": lambda *_: _EMPTY_BACKLOG},
        {"writes": 1, "third": 2},
    ),
    "the fence changes with the level": Guard(
        {"micadeal.rollout.leader_lock.level_change": _level_change_unfenced},
        {"writes": 1, "third": 2, "level": 1},
    ),
}


def broken_without(guard: str) -> str | None:
    """Return the rule that breaks without the guard; None if none breaks."""
    disabled = GUARDS[guard]
    first = initial_state(**{"ends": 0, "leases": 0, "writes": 0, **disabled.world})
    with ExitStack() as stack:
        for name, replacement in disabled.replacements.items():
            stack.enter_context(mock.patch(name, replacement))
        return explore(first, MAX_STATES_WITHOUT_GUARD).broken
