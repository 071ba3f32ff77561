"""Faults of machines: stalls, restarts, partitions, delayed and duplicated heartbeats."""

from __future__ import annotations

from collections.abc import Iterable

import curio

from micadeal.http.message import Request
from tests.fakes.deployment import CONTROLLER_ADDRESSES
from tests.fakes.faults.context import FaultContext
from tests.fakes.network import HOLD, SILENT
from tests.fakes.world import CONTROLLERS

#: Limit of the heartbeats stored for the next leader.
MAX_STORED_HEARTBEATS = 200


async def _add_machines_for_a_while(context: FaultContext, hosts: set[str]) -> None:
    """Add some machines for a while to ``hosts``, the set of hosts with a network fault."""
    names = {worker.name for worker in context.draw_workers(0.4)}
    hosts |= names
    await curio.sleep(context.random.choice([4.0, 25.0]))
    hosts -= names


async def machines_receive_nothing(context: FaultContext) -> None:
    """Drop everything sent to some machines; what they send arrives."""
    await _add_machines_for_a_while(context, context.world.network.receives_nothing)


async def machines_send_nothing(context: FaultContext) -> None:
    """Drop the requests of some machines; they still receive and answer requests."""
    await _add_machines_for_a_while(context, context.world.network.sends_nothing)


async def machines_stall(context: FaultContext) -> None:
    """Stall some machines: they make no progress and answer nothing."""
    workers = context.draw_workers(0.4)
    for worker in workers:
        worker.stalled = True
    await curio.sleep(context.random.choice([2.0, 9.0, 20.0]))
    for worker in workers:
        worker.stalled = False


async def machines_unreachable(context: FaultContext) -> None:
    """Partition some machines from the leader."""
    leader = context.leader()
    mode = context.random.choice([SILENT, HOLD])
    pairs = [(worker.name, f"c{leader}") for worker in context.draw_workers(0.5)]
    await context.cut(pairs, mode, context.random.choice([5.0, 30.0]))


async def workers_restart(context: FaultContext) -> None:
    """Restart some machines without any downtime."""
    for worker in context.draw_workers(0.3):
        worker.restart()


async def delayed_heartbeats(context: FaultContext) -> None:
    """Deliver duplicates of heartbeats seconds later, some of them to other controllers."""

    def duplicates(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and context.random.random() < 0.3:
            other = CONTROLLER_ADDRESSES[f"c{context.random.randrange(CONTROLLERS)}"]
            yield context.random.uniform(2, 25), context.random.choice([address, other])

    context.world.network.duplicates = duplicates
    await curio.sleep(25)
    context.world.network.duplicates = None


async def heartbeats_for_the_next_leader(context: FaultContext) -> None:
    """Store duplicates of heartbeats; after a failover send them to all controllers."""
    stored: list[Request] = []

    def store(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if (
            request.path == "/checkin"
            and len(stored) < MAX_STORED_HEARTBEATS
            and context.chance(0.3)
        ):
            stored.append(request)
        return ()

    context.world.network.duplicates = store
    term = context.world.term()
    for _ in range(300):
        await curio.sleep(0.1)
        if context.world.term() not in (0, term):
            break
    context.world.network.duplicates = None
    for number in range(CONTROLLERS):
        await curio.spawn(context.deliver, stored, number, daemon=True)
