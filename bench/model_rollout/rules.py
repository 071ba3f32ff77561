"""Rules that must hold in every state of the model."""

from __future__ import annotations

from bench.model_rollout.state import (
    PROCESSES_PER_CONTROLLER,
    RECORD_PREFIX,
    Controller,
    State,
    controller_name,
    process_of,
    read_lock,
)
from micadeal.rollout import leader_lock as leader_locks


class RuleBrokenError(Exception):
    """A rule does not hold."""


def check(state: State) -> None:
    """Raise ``RuleBrokenError`` if a rule does not hold in ``state``."""
    leader_lock = read_lock(state.store)
    level = leader_lock.level
    is_lock_held = any(entry.lease is not None for entry in state.store)
    for controller in state.controllers:
        leads = controller.token and controller.token == leader_lock.token and is_lock_held
        if leads and (controller.highest_level or 0) < level.level:
            raise RuleBrokenError(
                f"one of kind {controller.highest_level} leads by level {level.level}"
            )
        if (
            controller.highest_level is not None
            and _serves_users(controller)
            and controller.highest_level < level.level
        ):
            raise RuleBrokenError(
                f"one of kind {controller.highest_level} serves users by level {level.level}"
            )
    for entry in state.store:
        if entry.key.startswith(RECORD_PREFIX):
            layout = int(entry.key.removeprefix(RECORD_PREFIX))
            if not level.oldest <= layout <= level.level:
                raise RuleBrokenError(f"a record of level {layout} under {level}")


def _serves_users(controller: Controller) -> bool:
    """Return whether a controller serves users according to its last read of the leader lock."""
    if controller.seen is None or not controller.registered:
        return False
    leader_lock = read_lock(controller.seen.entries)
    name = controller_name(controller.process // PROCESSES_PER_CONTROLLER)
    return leader_locks.refusal(leader_lock, name, process_of(controller)) is None
