"""What must hold in every state."""

from __future__ import annotations

from bench.model_rollout.state import (
    DATA,
    PROCESSES_PER_CONTROLLER,
    Controller,
    State,
    name_of,
    process_of,
    read_lock,
)
from micadeal.rollout import leader_lock as leader_locks


class RuleBrokenError(Exception):
    """A rule does not hold."""


def check(state: State) -> None:
    """Raise ``RuleBrokenError`` if a rule does not hold in ``state``."""
    lock = read_lock(state.store)
    level = lock.level
    has_holder = any(entry.lease is not None for entry in state.store)
    for controller in state.controllers:
        leads = controller.token and controller.token == lock.token and has_holder
        if leads and (controller.kind or 0) < level.level:
            raise RuleBrokenError(f"one of kind {controller.kind} leads by level {level.level}")
        if controller.kind is not None and _serves(controller) and controller.kind < level.level:
            raise RuleBrokenError(
                f"one of kind {controller.kind} serves users by level {level.level}"
            )
    for entry in state.store:
        if entry.key.startswith(DATA):
            layout = int(entry.key.removeprefix(DATA))
            if not level.oldest <= layout <= level.level:
                raise RuleBrokenError(f"a record of level {layout} under {level}")


def _serves(controller: Controller) -> bool:
    """Return whether a controller serves users by what it read last."""
    if controller.seen is None or not controller.registered:
        return False
    lock = read_lock(controller.seen.entries)
    name = name_of(controller.process // PROCESSES_PER_CONTROLLER)
    return leader_locks.refusal(lock, name, process_of(controller)) is None
