"""Random traffic for the decision traces, reproducible by its seed."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from micadeal.clock import seconds
from micadeal.operator.platform import Objective
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.state.limits import Limits
from tests.fakes.decision_jobs import GANG, LOW_PRIORITY, SERVICE, SHORT_TIMEOUTS, teams
from tests.fakes.decision_world import ZONES, DecisionWorld
from tests.fakes.stepped_clock import SteppedTime


def traffic(
    clock: SteppedTime, seed: int, machines: int, steps: int, arrivals: int
) -> DecisionWorld:
    """Run random jobs on machines with random faults; the same seed gives the same trace."""
    draw = random.Random(seed)
    policy = replace(SHORT_TIMEOUTS, reserve_after=seconds(8))
    objectives = (Objective("wait", "live", seconds(4)),)
    world = DecisionWorld(
        clock,
        teams(machines * 0.8, machines * 0.4, 0),
        policy,
        objectives,
        FeatureLevel.FENCED if seed % 2 else FeatureLevel.FIRST,
        Limits(150, 120, 32, 8192),
    )
    world.add_boxes(machines)
    for zone in ZONES:
        world.capacity |= {("box", zone, True): 9, ("box", zone, False): 6}
    world.list_machines()
    world.run(2)
    for step in range(steps):
        for _ in range(draw.randrange(arrivals + 1) if step < steps * 2 // 3 else 0):
            _submit_random_job(world, draw)
        _inject_random_faults(world, draw)
        if step % 8 == 7:
            world.list_machines()
        world.run(1)
    return world


def _submit_random_job(world: DecisionWorld, draw: random.Random) -> None:
    """Submit a job with random fields."""
    number = len(world.jobs) + 1
    fields: dict[str, Any] = draw.choice(
        [
            {**SERVICE, "legs": draw.choice([2, 3])},
            {**GANG, "legs": draw.choice([1, 2, 4, 8])},
            {**LOW_PRIORITY, "legs": draw.randrange(1, 30)},
            {"legs": draw.randrange(1, 30), "loaners": True},
            {"legs": draw.randrange(1, 12), "rank": "high"},
            {"legs": draw.randrange(1, 6), "accelerators": 0.0, "vcpus": 6.0, "build": "cpu-1"},
        ]
    )
    fields |= {
        "crew": draw.choice(["red", "blue", "green"]),
        "expect_s": draw.choice([3.0, 6.0, 15.0]),
    }
    fields["stow_s"] = draw.choice([1.0, 2.0, 4.0])
    if draw.random() < 0.3:
        fields["bookmark_s"] = 0.0
    if draw.random() < 0.2:
        fields["build"] = f"{fields.get('build', 'scan-1')}-{draw.randrange(5)}"
    if world.jobs and draw.random() < 0.15:
        fields["waits_on"] = [draw.choice(list(world.jobs))]
    if draw.random() < 0.1:
        fields["due_s"] = 30.0
    job_id = world.submit(f"req-{number:04d}", **fields)
    if draw.random() < 0.05:
        world.fleet.failing_jobs.add(job_id)


def _inject_random_faults(world: DecisionWorld, draw: random.Random) -> None:
    """Draw the faults of one step and apply them: machines, transactions, a cancelled job."""
    names = sorted(world.workers)
    if not names:
        return
    if draw.random() < 0.1:
        world.give_reclaim_notice(draw.choice(names), draw.choice([2.0, 6.0, 12.0]))
    if draw.random() < 0.08:
        world.workers[draw.choice(names)].unreachable = True
    if draw.random() < 0.15:
        world.workers[draw.choice(names)].unreachable = False
    if draw.random() < 0.05:
        world.workers[draw.choice(names)].receives_nothing = True
    if draw.random() < 0.05:
        world.workers[draw.choice(names)].faulty = True
    if world.jobs and draw.random() < 0.15:
        world.cancel(draw.choice(list(world.jobs)))
    if draw.random() < 0.2:
        world.state.outcomes[world.transactions + 1] = draw.choice(["never", "unanswered"])
