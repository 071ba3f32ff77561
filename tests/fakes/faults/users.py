"""User requests at critical moments: cancellations, concurrent queries, malformed requests."""

from __future__ import annotations

from functools import partial
from typing import Any

import curio

from tests.fakes.faults.context import FaultContext
from tests.fakes.world import CONTROLLERS

#: Limit of the machines of cancelled jobs that stall together.
MAX_STALLED = 8
#: Interval and number of the checks for the end or another change of a job.
CHECK_INTERVAL_S = 0.01
CHECKS = 2500


async def cancel_several_at_once(context: FaultContext) -> None:
    """Cancel running jobs within a fifth of a second, and stall some of their machines."""
    running = [job for job in context.jobs if context.world.running(job)]
    stall_s = context.random.choice([0.0, 6.0, 18.0])
    machines = []
    for job in context.random.sample(running, min(3, len(running))):
        if job not in context.cancelling:
            machines += [worker for worker, _ in context.world.tasks_on_machines(job)]
            await context.spawn_cancel(job, context.random.uniform(0, 0.2))
    stalled = machines[:MAX_STALLED]
    if stall_s:
        for worker in stalled:
            worker.stalled = True
        await curio.sleep(stall_s)
        for worker in stalled:
            worker.stalled = False


async def cancel_at_end(context: FaultContext) -> None:
    """Cancel jobs at the moment when their last task ends."""
    for _ in range(CHECKS):
        await curio.sleep(CHECK_INTERVAL_S)
        for job in context.jobs:
            if job not in context.ended and context.world.all_tasks_done(job):
                context.ended.add(job)
                if job not in context.cancelling and context.chance(0.7):
                    await context.spawn_cancel(job)


async def concurrent_queries(context: FaultContext) -> None:
    """Query all controllers within milliseconds after a job is accepted, ended or cancelled."""
    world = context.world
    seen: dict[str, tuple[Any, ...]] = {}
    for _ in range(CHECKS):
        await curio.sleep(CHECK_INTERVAL_S)
        for job in context.jobs:
            progress = (world.answers.latest_at.get(job), world.all_tasks_done(job))
            if seen.get(job) != progress:
                seen[job] = progress
                for _ in range(2):
                    await curio.spawn(world.query_all_controllers, job, daemon=True)


async def malformed_requests(context: FaultContext) -> None:
    """Resubmit jobs with different content, submit jobs that can't run, and cancel ended jobs."""
    world, draw = context.world, context.random
    invalid: list[dict[str, Any]] = [{"legs": 0}, {"crew": "green"}, {"vcpus": 99.0}, {"rank": 7}]
    invalid += [{"depot": "east"}, {"rigs": ["cart"]}, {"shape": "gang", "legs": 90}]
    for _ in range(20):
        await curio.sleep(draw.uniform(0.3, 1.5))
        for job in draw.sample(context.jobs, min(2, len(context.jobs))):
            fields = draw.choice([{}, *invalid])
            await curio.spawn(
                partial(world.submit_once, job, draw.randrange(CONTROLLERS), **fields), daemon=True
            )
            if world.answers.latest.get(job) == "done":
                await curio.spawn(world.cancel, job, draw.randrange(CONTROLLERS), daemon=True)
        await curio.spawn(
            context.submit_malformed, draw.choice(invalid), draw.randrange(CONTROLLERS), daemon=True
        )
