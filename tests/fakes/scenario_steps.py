"""Steps shared by scenarios that run a whole deployment (``World``)."""

from __future__ import annotations

import curio

from tests.fakes.network import REFUSE, SILENT
from tests.fakes.world import World, leader_of

CONTROLLERS = range(3)


async def new_leader(world: World, former: int) -> int:
    """Wait until another controller is the leader, and return its number."""
    await world.wait_until(lambda: world.leader() not in (None, former), limit=10)
    return leader_of(world)


def partition_from_controllers(world: World, machine: str, mode: str = SILENT) -> None:
    """Cut a machine off from all controllers."""
    for number in CONTROLLERS:
        world.network.cut(machine, f"c{number}", mode)


async def heal_to_controllers(world: World, machine: str) -> None:
    """Undo ``partition_from_controllers``; held requests are delivered."""
    for number in CONTROLLERS:
        await world.network.heal(machine, f"c{number}")


def assert_each_task_started_once(world: World) -> None:
    """Assert that no task was started more than once."""
    assert all(count == 1 for count in world.rules.starts.values())


async def fail_over(world: World, how: str) -> None:
    """Cause a failover; ``how`` names the way, as in the ids of the tests."""
    leader = leader_of(world)
    if how == "handed over":
        await world.nodes[leader].shut_down()
        world.crash(leader)
        await curio.sleep(1)
        await world.start(leader)
    elif how == "refused":
        world.network.cut(f"c{leader}", "state", REFUSE)
        await curio.sleep(8)
        await world.network.heal(f"c{leader}", "state")
    else:
        world.crash(leader)
        await curio.sleep(0.3 if how == "back within a second" else 5.0)
        await world.start(leader)
