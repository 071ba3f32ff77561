"""Faults of machines: stalled, restarted or unreachable ones, late and repeated heartbeats."""

from __future__ import annotations

from collections.abc import Iterable

import curio

from micadeal.http.message import Request
from tests.fakes.deployment import CONTROLLER_ADDRESSES
from tests.fakes.faults.context import FaultContext
from tests.fakes.network import HOLD, SILENT
from tests.fakes.world import CONTROLLERS

#: Heartbeats that are kept for the next leader.
MAX_KEPT = 200


async def _affect_machines_for_a_while(context: FaultContext, hosts: set[str]) -> None:
    """Add some machines to ``hosts``, the set of those with a network fault, for a while."""
    names = {worker.name for worker in context.draw_workers(0.4)}
    hosts |= names
    await curio.sleep(context.random.choice([4.0, 25.0]))
    hosts -= names


async def machines_receive_nothing(context: FaultContext) -> None:
    """Let some machines receive nothing, while what they send arrives."""
    await _affect_machines_for_a_while(context, context.world.network.receives_nothing)


async def machines_send_nothing(context: FaultContext) -> None:
    """Lose the requests of some machines, while they receive and answer."""
    await _affect_machines_for_a_while(context, context.world.network.sends_nothing)


async def machines_stall(context: FaultContext) -> None:
    """Let some machines make no progress and answer nothing."""
    workers = context.draw_workers(0.4)
    for worker in workers:
        worker.stalled = True
    await curio.sleep(context.random.choice([2.0, 9.0, 20.0]))
    for worker in workers:
        worker.stalled = False


async def machines_unreachable(context: FaultContext) -> None:
    """Interrupt the network between some machines and the leader."""
    leader = context.leader()
    mode = context.random.choice([SILENT, HOLD])
    pairs = [(worker.name, f"c{leader}") for worker in context.draw_workers(0.5)]
    await context.cut(pairs, mode, context.random.choice([5.0, 30.0]))


async def workers_restart(context: FaultContext) -> None:
    """Restart some machines within an instant."""
    for worker in context.draw_workers(0.3):
        worker.restart()


async def delayed_heartbeats(context: FaultContext) -> None:
    """Deliver copies of heartbeats seconds later, some at other controllers."""

    def duplicates(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and context.random.random() < 0.3:
            other = CONTROLLER_ADDRESSES[f"c{context.random.randrange(CONTROLLERS)}"]
            yield context.random.uniform(2, 25), context.random.choice([address, other])

    context.world.network.duplicates = duplicates
    await curio.sleep(25)
    context.world.network.duplicates = None


async def heartbeats_for_the_next_leader(context: FaultContext) -> None:
    """Keep copies of heartbeats until another leads; then deliver them to all controllers."""
    kept: list[Request] = []

    def keep(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and len(kept) < MAX_KEPT and context.chance(0.3):
            kept.append(request)
        return ()

    context.world.network.duplicates = keep
    term = context.world.term()
    for _ in range(300):
        await curio.sleep(0.1)
        if context.world.term() not in (0, term):
            break
    context.world.network.duplicates = None
    for number in range(CONTROLLERS):
        await curio.spawn(context.deliver, kept, number, daemon=True)
