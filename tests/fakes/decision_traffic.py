"""Random traffic whose decisions are pinned: the same seed plays the same."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from micadeal.clock import seconds
from micadeal.operator.platform import Objective
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.state.limits import Limits
from tests.fakes.decision_jobs import GANG, LOW, QUICK, SERVICE, teams
from tests.fakes.decision_world import ZONES, DecisionWorld
from tests.fakes.stepped_clock import FixedTime


def traffic(clock: FixedTime, seed: int, machines: int, steps: int, arrivals: int) -> DecisionWorld:
    """Play random jobs on machines that fail in all ways, the same for the same seed."""
    draw = random.Random(seed)
    policy = replace(QUICK, reserve_after=seconds(8))
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
    """Submit a job with drawn fields."""
    number = len(world.jobs) + 1
    fields: dict[str, Any] = draw.choice(
        [
            {**SERVICE, "legs": draw.choice([2, 3])},
            {**GANG, "legs": draw.choice([1, 2, 4, 8])},
            {**LOW, "legs": draw.randrange(1, 30)},
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
    """Draw what fails in one step: machines, transactions, or nothing; cancel a job at times."""
    names = sorted(world.workers)
    if not names:
        return
    if draw.random() < 0.1:
        world.give_notice(draw.choice(names), draw.choice([2.0, 6.0, 12.0]))
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
