"""Faults of controllers: crashes, partitions and handovers of leadership."""

from __future__ import annotations

import curio

from tests.fakes.faults.context import FaultContext
from tests.fakes.network import HOLD, SILENT
from tests.fakes.world import CONTROLLERS


async def leader_isolated(context: FaultContext) -> None:
    """Partition the leader from the state service and the other controllers.

    Workers and users still reach it.  Some machines may reach no other controller.
    """
    leader = context.leader()
    pairs = [(f"c{leader}", f"c{n}") for n in range(CONTROLLERS) if n != leader]
    for worker in context.draw_workers(context.random.choice([0.0, 0.3])):
        pairs += [(worker.name, f"c{n}") for n in range(CONTROLLERS) if n != leader]
    mode = context.random.choice([SILENT, HOLD])
    await context.cut([*pairs, (f"c{leader}", "state")], mode, context.random.choice([5.0, 40.0]))


async def leader_crash(context: FaultContext) -> None:
    """Crash the leader and start it again."""
    await context.restart(context.leader(), context.random.choice([0.05, 0.7, 5.0]))


async def follower_crash(context: FaultContext) -> None:
    """Crash a follower and start it again."""
    number = (context.leader() + context.random.choice([1, 2])) % CONTROLLERS
    await context.restart(number, context.random.choice([0.05, 0.7, 5.0]))


async def all_crash(context: FaultContext) -> None:
    """Crash all controllers, and start one of them before the others."""
    first = context.random.randrange(CONTROLLERS)
    for number in range(CONTROLLERS):
        context.world.crash(number)
    await curio.sleep(context.random.choice([0.1, 0.9]))
    await context.world.start(first)
    await curio.sleep(context.random.choice([0.2, 5.0]))
    await context.world.start_missing()


async def leader_handover(context: FaultContext) -> None:
    """Shut down the leader gracefully, and its successor soon after."""
    for _ in range(2):
        leader = context.leader()
        if context.world.is_up(leader):
            await context.world.nodes[leader].shut_down()
        await context.restart(leader, 0.1)
        await curio.sleep(context.random.choice([0.3, 2.0]))
