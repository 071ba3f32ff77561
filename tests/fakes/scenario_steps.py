"""Steps that scenarios on a whole deployment (``World``) have in common."""

from __future__ import annotations

from tests.fakes.network import SILENT
from tests.fakes.world import World

CONTROLLERS = range(3)


def current_leader(world: World) -> int:
    """Return the number of the controller that leads, which there must be."""
    leader = world.leader()
    assert leader is not None
    return leader


async def new_leader(world: World, former: int) -> int:
    """Wait until another controller leads, and return its number."""
    await world.wait_until(lambda: world.leader() not in (None, former), limit=10)
    return current_leader(world)


def partition_from_controllers(world: World, machine: str, mode: str = SILENT) -> None:
    """Cut a machine off from all controllers."""
    for number in CONTROLLERS:
        world.network.cut(machine, f"c{number}", mode)


async def heal_to_controllers(world: World, machine: str) -> None:
    """Undo ``partition_from_controllers``; what the network held is delivered."""
    for number in CONTROLLERS:
        await world.network.heal(machine, f"c{number}")


def assert_each_task_started_once(world: World) -> None:
    """Assert that no task was started again."""
    assert all(count == 1 for count in world.rules.starts.values())
