"""Controllers, transactions in flight and states of the model, as hashable values."""

from __future__ import annotations

from functools import cache
from typing import Any, NamedTuple

import msgspec

from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout.feature_level import Build
from micadeal.rollout.leader_lock import LeaderLock
from micadeal.rollout.membership import Process
from micadeal.schema.keys import LEADER, LEADER_LOCK_PREFIX
from micadeal.wire.state import Item

#: The versions of a process, each by the highest level that it knows; None: one without levels.
HIGHEST_LEVELS = (None, 1, 2)
#: The first process of a controller has this number times the controller's index as its id.
PROCESSES_PER_CONTROLLER = 10
#: Prefix of the keys of records; the rest of a key is the level of the record's layout.
RECORD_PREFIX = "placed/"
CONTROLLER_COUNT = 3


class Entry(NamedTuple):
    """A key in the state service."""

    key: str
    value: bytes
    version: int
    #: The lease that the key is attached to; None: no lease.
    lease: int | None


Store = tuple[Entry, ...]


class Snapshot(NamedTuple):
    """The entries of the leader lock that a controller has read."""

    entries: Store
    revision: int


class ObservedProcess(NamedTuple):
    """A peer's process as observed by a leader."""

    process: int
    highest_level: int | None


#: Any process of a version without feature levels.
OBSERVED_OLD_VERSION = ObservedProcess(-1, None)


class Controller(NamedTuple):
    """A controller and its current process."""

    highest_level: int | None
    process: int
    #: Its last read of the leader lock; None: it has read nothing yet.
    seen: Snapshot | None = None
    #: It has read a member record with its own process.
    registered: bool = False
    #: The token and the fence of the term that it leads; 0: it does not lead.
    token: int = 0
    fence: int = 0
    #: The process of each other controller that it has observed as leader.
    observed: tuple[ObservedProcess | None, ...] = (None,) * CONTROLLER_COUNT


class KeyVersion(NamedTuple):
    """A condition of a transaction; version 0: the key does not exist."""

    key: str
    version: int


class Change(NamedTuple):
    """A change of a transaction; value None: the key is deleted."""

    key: str
    value: bytes | None
    lease: int | None


class InFlight(NamedTuple):
    """A transaction in flight."""

    controller: int
    process: int
    conditions: tuple[KeyVersion, ...]
    changes: tuple[Change, ...]
    #: The transaction elects its controller as leader.
    is_election: bool


class State(NamedTuple):
    """The state of the whole model at one instant."""

    revision: int
    #: Sorted by key.
    store: Store
    controllers: tuple[Controller, ...]
    in_flight: frozenset[InFlight]
    #: The highest level that the operators allow; None: any.
    ceiling: int | None
    last_token: int
    #: The last lease that was opened.
    last_lease: int
    # Remaining numbers of restarts, lease expiries, records written and changes of the ceiling.
    ends: int
    expiries: int
    writes: int
    turns: int


def controller_name(index: int) -> str:
    """Return the name of a controller."""
    return f"c{index}"


@cache
def process_of(controller: Controller) -> Process:
    """Return the process of a controller whose version knows feature levels."""
    assert controller.highest_level is not None
    return Process(str(controller.process), build_of(controller.highest_level))


def build_of(highest_level: int) -> Build:
    """Return the build that knows the levels up to ``highest_level``."""
    return Build(f"to {highest_level}", 0, highest_level)


def lock_entries(store: Store) -> Store:
    """Return the entries that belong to the leader lock."""
    return tuple(entry for entry in store if entry.key.startswith((LEADER, LEADER_LOCK_PREFIX)))


def read_lock(store: Store) -> LeaderLock:
    """Decode the leader lock from a store or a snapshot's entries."""
    return _decode(tuple(entry[:3] for entry in lock_entries(store)))


@cache
def _decode(entries: tuple[tuple[str, bytes, int], ...]) -> LeaderLock:
    items = [Item(key, msgspec.json.decode(value), version) for key, value, version in entries]
    return leader_locks.read(items, 0)


def with_controller(state: State, index: int, controller: Controller, **more: Any) -> State:
    """Return the state with one controller, and other fields, replaced."""
    controllers = list(state.controllers)
    controllers[index] = controller
    return state._replace(controllers=tuple(controllers), **more)
