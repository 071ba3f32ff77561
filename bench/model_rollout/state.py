"""Controllers, transactions in flight and states of the small world, as hashable values."""

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

#: Versions of a process: the highest level that it knows; None: a version without feature levels.
KINDS = (None, 1, 2)
#: The first process of each controller has this number times the controller's index.
PROCESSES_PER_CONTROLLER = 10
#: Prefix of the keys of records; the rest of the key is the level of the record's layout.
DATA = "placed/"
CONTROLLER_COUNT = 3


class Entry(NamedTuple):
    """A key in the state service."""

    key: str
    value: bytes
    version: int
    #: The lease that it is attached to.
    lease: int | None


Store = tuple[Entry, ...]


class Snapshot(NamedTuple):
    """The entries of the leader lock as a controller read them."""

    entries: Store
    revision: int


class HeardProcess(NamedTuple):
    """A peer's process as a leader heard it."""

    process: int
    kind: int | None


#: Any process of a version without feature levels.
HEARD_OLD_VERSION = HeardProcess(-1, None)


class Controller(NamedTuple):
    """A controller and its present process."""

    kind: int | None
    process: int
    #: What it read last; None: nothing yet.
    seen: Snapshot | None = None
    #: It saw its own registration in force.
    registered: bool = False
    #: The token and the fence of the term that it leads; 0: it does not lead.
    token: int = 0
    fence: int = 0
    #: The process of each other controller that it heard as leader.
    heard: tuple[HeardProcess | None, ...] = (None,) * CONTROLLER_COUNT


class KeyVersion(NamedTuple):
    """A condition of a transaction; version 0: the key does not exist."""

    key: str
    version: int


class Change(NamedTuple):
    """A change of a transaction; value None: the key is dropped."""

    key: str
    value: bytes | None
    lease: int | None


class InFlight(NamedTuple):
    """A transaction in flight."""

    controller: int
    process: int
    conditions: tuple[KeyVersion, ...]
    changes: tuple[Change, ...]
    #: It makes its controller the leader.
    wins: bool


class State(NamedTuple):
    """The whole world at one moment."""

    revision: int
    #: In order of keys.
    store: Store
    controllers: tuple[Controller, ...]
    in_flight: frozenset[InFlight]
    #: The highest level that the operators allow; None: any.
    ceiling: int | None
    last_token: int
    #: The last lease that was opened.
    last_lease: int
    # How often each of these may still happen.
    ends: int
    expiries: int
    writes: int
    turns: int


def name_of(index: int) -> str:
    """Return the name of a controller."""
    return f"c{index}"


@cache
def process_of(controller: Controller) -> Process:
    """Return the process of a controller whose version knows feature levels."""
    assert controller.kind is not None
    return Process(str(controller.process), build_of(controller.kind))


def build_of(kind: int) -> Build:
    """Return the build that knows the levels up to ``kind``."""
    return Build(f"to {kind}", 0, kind)


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
