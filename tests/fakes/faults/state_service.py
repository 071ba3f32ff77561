"""Faults of the state service: refusals, outages, lost answers, delayed writes and answers."""

from __future__ import annotations

import curio

from micadeal.http.message import Request
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import CANCEL_S
from tests.fakes.faults.context import FaultContext
from tests.fakes.network import REFUSE, SILENT
from tests.fakes.world import CONTROLLERS


async def leader_refused_by_state(context: FaultContext) -> None:
    """Refuse only the requests of the leader."""
    duration_s = context.random.choice([1.0, 2.5, 4.0, 14.0])
    await context.cut([(f"c{context.leader()}", "state")], REFUSE, duration_s)


async def outage(context: FaultContext) -> None:
    """Refuse all requests for a while."""
    context.world.state.outage = True
    await curio.sleep(context.random.choice([3.0, 10.0, CANCEL_S + 10]))
    context.world.state.outage = False


async def outage_after_unknown_cancels(context: FaultContext) -> None:
    """Refuse only the leader while followers confirm cancellations; then refuse all requests."""
    await _cancel_unknown_to_leader_then_outage(context, context.leader())


async def outage_after_election(context: FaultContext) -> None:
    """Refuse a newly elected leader that loads its records slowly; then refuse all requests."""
    former = context.leader()
    read_delay_s = context.random.choice([0.0, 0.4, 1.5, 30.0])

    def delay(source: str, address: str, request: Request) -> float:
        reads = request.path == "/keys" and address == state_fake.ADDRESS
        return read_delay_s if reads and "starts=job/" in request.query else 0.0

    context.world.network.answer_delay = delay
    await curio.spawn(context.restart, former, 5.0, daemon=True)
    for _ in range(100):
        await curio.sleep(0.05)
        if context.world.leader() not in (None, former):
            break
    await curio.sleep(context.random.uniform(0, 0.3))
    await _cancel_unknown_to_leader_then_outage(context, context.leader())
    context.world.network.answer_delay = None


async def _cancel_unknown_to_leader_then_outage(context: FaultContext, leader: int) -> None:
    """Cancel jobs at followers while the leader is refused, then refuse all requests.

    Sometimes the leader is also partitioned from the followers, or one of them restarts.
    """
    draw = context.random
    followers = [f"c{n}" for n in range(CONTROLLERS) if n != leader]
    duration_s = draw.choice([1.0, 2.5, 6.0, 14.0, 50.0])
    await curio.spawn(context.cut, [(f"c{leader}", "state")], REFUSE, duration_s, daemon=True)
    if draw.random() < 0.3:
        pairs = [(f"c{leader}", follower) for follower in followers]
        await curio.spawn(context.cut, pairs, SILENT, duration_s, daemon=True)
    for job in draw.sample(context.jobs, min(3, len(context.jobs))):
        if job not in context.cancelling:
            await context.spawn_cancel(job, draw.uniform(0, 4))
    await curio.sleep(draw.choice([0.1, 0.5, 1.5, 2.9, 3.2, 4.5]))
    if draw.random() < 0.3:
        await curio.spawn(context.restart, int(draw.choice(followers)[1:]), 0.4, daemon=True)
    context.world.state.outage = True
    await curio.sleep(CANCEL_S + 10)
    context.world.state.outage = False


async def delayed_writes(context: FaultContext) -> None:
    """Apply some transactions seconds later and drop their answers."""

    def delay(source: str, address: str, request: Request) -> float | None:
        if request.path != "/txn" or context.random.random() > 0.3:
            return None
        return context.random.uniform(2, 12)

    context.world.network.delivery_delay = delay
    await curio.sleep(25)
    context.world.network.delivery_delay = None


async def slow_state(context: FaultContext) -> None:
    """Delay the answers of the state service."""

    def delay(source: str, address: str, request: Request) -> float:
        if address != state_fake.ADDRESS:
            return 0.0
        return context.random.choice([0.0, 0.2, 0.6, 1.8, 2.5])

    context.world.network.answer_delay = delay
    await curio.sleep(15)
    context.world.network.answer_delay = None


async def responses_lost(context: FaultContext) -> None:
    """Lose answers of the state service to writes that it has applied."""

    def lost(source: str, address: str, request: Request) -> bool:
        return address == state_fake.ADDRESS and request.method != "GET" and context.chance(0.3)

    context.world.network.answer_lost = lost
    await curio.sleep(25)
    context.world.network.answer_lost = None
