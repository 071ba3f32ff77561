"""Transactions in flight, and their effect on the store."""

from __future__ import annotations

from typing import Any

import msgspec

from bench.model_rollout.rules import RuleBrokenError
from bench.model_rollout.state import (
    CONTROLLER_COUNT,
    Change,
    Controller,
    Entry,
    InFlight,
    KeyVersion,
    State,
    Store,
    with_controller,
)
from micadeal.wire.state import Condition, Delete, Put

#: Maximum number of transactions in flight of one controller.
MAX_IN_FLIGHT = 2


def transaction(
    index: int,
    controller: Controller,
    conditions: list[Condition],
    changes: list[Put | Delete],
    is_election: bool = False,
) -> InFlight:
    """Return a transaction of a controller; ``is_election``: it elects the controller as leader."""
    return InFlight(
        index,
        controller.process,
        tuple(KeyVersion(condition.key, condition.version) for condition in conditions),
        tuple(_encoded(change) for change in changes),
        is_election,
    )


def _encoded(change: Put | Delete) -> Change:
    if isinstance(change, Delete):
        return Change(change.key, None, None)
    return Change(change.key, msgspec.json.encode(change.value), change.lease)


def send(state: State, sent: InFlight, **more: Any) -> State | None:
    """Return the state with a transaction in flight; None: it can't be sent now."""
    of_controller = sum(other.controller == sent.controller for other in state.in_flight)
    if sent in state.in_flight or of_controller >= MAX_IN_FLIGHT:
        return None
    return state._replace(in_flight=state.in_flight | {sent}, **more)


def lose(state: State, sent: InFlight) -> State:
    """Return the state after the loss of a transaction."""
    return state._replace(in_flight=state.in_flight - {sent})


def apply(state: State, sent: InFlight) -> State:
    """Return the state after the state service executed a transaction.

    Raises ``RuleBrokenError`` if a fencing token is not larger than all earlier ones.
    """
    state = lose(state, sent)
    versions = {entry.key: entry.version for entry in state.store}
    if any(versions.get(key, 0) != version for key, version in sent.conditions):
        return state
    live_leases = {entry.lease for entry in state.store if entry.lease is not None}
    if not sent.is_election and any(
        change.lease not in live_leases for change in sent.changes if change.lease
    ):
        # The service answers 400: no such lease.
        return state
    revision = state.revision + 1
    state = state._replace(revision=revision, store=_changed(state.store, sent, revision))
    return _with_elected(state, sent) if sent.is_election else state


def _changed(store: Store, sent: InFlight, revision: int) -> Store:
    entries = {entry.key: entry for entry in store}
    for key, value, lease in sent.changes:
        if value is None:
            entries.pop(key, None)
        else:
            entries[key] = Entry(key, value, revision, lease)
    return tuple(sorted(entries.values()))


def _with_elected(state: State, sent: InFlight) -> State:
    """Return the state in which the sender leads, if its process is still the same."""
    token = state.revision
    if token <= state.last_token:
        raise RuleBrokenError("a token is used again")
    state = state._replace(last_token=token)
    controller = state.controllers[sent.controller]
    if controller.process != sent.process:
        return state
    leader = controller._replace(token=token, fence=token, observed=(None,) * CONTROLLER_COUNT)
    return with_controller(state, sent.controller, leader)
