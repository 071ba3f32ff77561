"""Simulated deployments whose decisions `tests/test_decision_trace.py` compares to a golden file.

Each scenario runs a deployment and returns it with its trace.  The names of the functions are keys
of the golden file.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from micadeal.clock import seconds
from micadeal.operator.platform import Objective
from micadeal.operator.policy import TeamPolicy
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.state.limits import Limits
from tests.fakes.decision_jobs import GANG, LOW_PRIORITY, SERVICE, SHORT_TIMEOUTS, teams
from tests.fakes.decision_traffic import traffic
from tests.fakes.decision_world import ZONES, DecisionWorld
from tests.fakes.stepped_clock import SteppedTime


def no_more_machines(world: DecisionWorld) -> None:
    """Make the cloud refuse all rentals from now on."""
    for rig in ("box", "slab"):
        for zone in ZONES:
            world.capacity |= {(rig, zone, True): 0, (rig, zone, False): 0}


# -- small deployments -------------------------------------------------------------------------


def all_shapes(clock: SteppedTime) -> DecisionWorld:
    """Run an array, a gang, a service and a job without gpus, until idle machines are returned."""
    world = DecisionWorld(clock, teams(4, 4), objectives=(Objective("wait", "live", seconds(4)),))
    world.add_boxes(4)
    world.list_machines()
    world.run(2)
    world.submit("req-array", legs=7, loaners=True)
    world.submit("req-gang", **GANG, legs=2, crew="blue")
    world.submit("req-live", **SERVICE, legs=3)
    world.run(3)
    world.submit("req-cpus", accelerators=0.0, vcpus=10.0, legs=4, crew="blue", build="cpu-1")
    world.run(30)
    world.submit("req-later", legs=5, loaners=True, build="scan-2")
    world.run(15)
    world.cancel("req-live")
    world.run(70)
    return world


def below_guarantee(clock: SteppedTime) -> DecisionWorld:
    """Preempt the newest tasks of other teams for a starved team, tasks with checkpoints first."""
    world = DecisionWorld(clock, teams(0, 6, 2), SHORT_TIMEOUTS)
    world.add_boxes(4, spot=False)
    no_more_machines(world)
    world.list_machines()
    world.run(2)
    world.submit("req-old", legs=4, expect_s=200.0)
    world.run(11)
    world.submit("req-new", legs=3, expect_s=200.0, bookmark_s=0.0)
    world.submit("req-pair", **GANG, legs=1, expect_s=100.0, crew="green")
    world.run(3)
    world.submit("req-due", legs=4, crew="blue")
    world.submit("req-due-gang", **GANG, legs=2, crew="blue")
    world.run(45)
    return world


def production_first(clock: SteppedTime) -> DecisionWorld:
    """Preempt low-priority jobs for production without a delay, and free whole machines for it."""
    world = DecisionWorld(clock, teams(0, 2), SHORT_TIMEOUTS)
    world.add_boxes(3, spot=False)
    no_more_machines(world)
    world.list_machines()
    world.run(2)
    world.submit(
        "req-low", **{**LOW_PRIORITY, "loaners": False}, legs=5, expect_s=100.0, stow_s=3.0
    )
    world.submit("req-usual", legs=2, expect_s=100.0, bookmark_s=0.0)
    world.run(8)
    world.add_boxes(2, spot=False)
    world.list_machines()
    world.run(2)
    world.submit("req-low-gang", **{**GANG, "one_zone": False}, rank="low", legs=2, expect_s=99.0)
    world.run(5)
    world.submit("req-wide", **SERVICE, legs=2, crew="blue", accelerators=2.0, vcpus=12.0)
    world.submit("req-low-more", **{**LOW_PRIORITY, "loaners": False}, legs=4, crew="blue")
    world.run(12)
    world.submit("req-high", legs=2, rank="high", crew="blue")
    world.run(10)
    world.submit("req-wider", **SERVICE, legs=4, crew="blue", accelerators=2.0, vcpus=12.0)
    world.run(15)
    return world


def a_gang_gives_way(clock: SteppedTime) -> DecisionWorld:
    """Preempt a whole low-priority gang for production, and a standard gang for a guarantee."""
    world = DecisionWorld(clock, teams(0, 4), SHORT_TIMEOUTS)
    world.add_boxes(4, spot=False, zones=("north",))
    no_more_machines(world)
    world.list_machines()
    world.run(2)
    world.submit("req-low-gang", **GANG, rank="low", legs=2, expect_s=90.0)
    world.submit("req-usual-gang", **GANG, legs=2, expect_s=90.0, bookmark_s=0.0)
    world.run(8)
    world.submit("req-wide", **SERVICE, legs=1, crew="blue", accelerators=2.0, vcpus=12.0)
    world.run(8)
    world.submit("req-due", legs=4, crew="blue", expect_s=20.0)
    world.run(20)
    return world


def room_for_a_gang(clock: SteppedTime) -> DecisionWorld:
    """Reserve machines for a large gang while small jobs keep arriving."""
    world = DecisionWorld(clock, teams(2, 8), SHORT_TIMEOUTS)
    world.add_boxes(6, spot=False, zones=("north", "south"))
    no_more_machines(world)
    world.list_machines()
    world.run(2)
    for number in range(4):
        world.submit(f"req-small-{number}", legs=3, expect_s=4.0 + number * 3)
    world.run(2)
    world.submit("req-large", **GANG, legs=3, crew="blue", expect_s=8.0)
    for number in range(4, 16):
        world.submit(f"req-small-{number}", legs=2, expect_s=7.0)
        world.run(2)
    world.run(25)
    return world


def pipelines(clock: SteppedTime) -> DecisionWorld:
    """Run dependent jobs that inherit priorities and deadlines; one dependency is cancelled."""
    world = DecisionWorld(clock, teams(0, 0), SHORT_TIMEOUTS)
    world.add_boxes(3)
    world.list_machines()
    world.run(2)
    world.submit("req-a", legs=2, rank="low", expect_s=3.0)
    world.submit("req-b", legs=2, expect_s=3.0, waits_on=["req-a"])
    world.submit("req-c", **GANG, legs=1, rank="high", waits_on=["req-a", "req-b"], due_s=40.0)
    world.submit("req-x", legs=1, expect_s=30.0, crew="blue")
    world.submit("req-y", legs=1, waits_on=["req-x"], crew="blue")
    world.submit("req-z", legs=1, waits_on=["req-y", "req-c"])
    world.submit("req-other", legs=9, expect_s=3.0)
    world.run(6)
    world.cancel("req-x")
    world.run(20)
    world.submit("req-late", legs=1, waits_on=["req-a", "req-c"])
    world.submit("req-lost", legs=1, waits_on=["req-x"])
    world.submit("req-never", legs=1, waits_on=["req-unheard"])
    world.run(16)
    return world


def taken_by_the_cloud(clock: SteppedTime) -> DecisionWorld:
    """Reclaim spot machines: tasks save a checkpoint if the notice leaves time, else just stop."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS)
    world.add_boxes(6, spot=True)
    world.list_machines()
    world.run(2)
    world.submit("req-saves", legs=4, loaners=True, expect_s=60.0)
    world.submit("req-loses", legs=3, loaners=True, expect_s=60.0, bookmark_s=0.0, crew="blue")
    world.submit("req-short", legs=2, loaners=True, expect_s=5.0, bookmark_s=0.0)
    world.submit("req-gang", **GANG, legs=2, loaners=True, expect_s=60.0, crew="blue")
    world.run(5)
    for name, notice_s in zip(sorted(world.workers), (8.0, 8.0, 1.0, 12.0, 12.0), strict=False):
        world.give_reclaim_notice(name, notice_s)
    world.run(14)
    world.list_machines()
    world.run(1)
    world.list_machines()
    world.run(15)
    return world


def silent_machines(clock: SteppedTime) -> DecisionWorld:
    """Make machines unreachable: leases expire, machines recover or are returned."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS)
    world.add_boxes(7, spot=False)
    world.list_machines()
    world.run(2)
    world.submit("req-array", legs=6, expect_s=50.0)
    world.submit("req-gang", **GANG, legs=3, expect_s=50.0, crew="blue")
    world.submit("req-live", **SERVICE, legs=3, crew="blue")
    world.run(4)
    names = sorted(world.workers)
    for name in names[:3]:
        world.workers[name].unreachable = True
    world.workers[names[3]].receives_nothing = True
    world.submit("req-more", legs=4, expect_s=9.0, build="scan-3")
    world.run(19)
    world.workers[names[0]].unreachable = False
    world.run(60)
    return world


def failures(clock: SteppedTime) -> DecisionWorld:
    """Drain a faulty machine; a job that fails everywhere backs off, and none is rented for it."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS)
    world.add_boxes(5, spot=False)
    world.list_machines()
    faulty = sorted(world.workers)[1]
    world.workers[faulty].faulty = True
    world.run(2)
    world.fleet.failing_jobs.add("req-mistake")
    world.submit("req-mistake", legs=2, expect_s=4.0)
    world.submit("req-good", legs=4, expect_s=12.0)
    world.submit("req-fine", legs=3, expect_s=12.0, crew="blue", build="fine-1")
    world.submit("req-gang", **GANG, legs=2, crew="blue")
    world.run(40)
    world.fleet.failing_jobs.clear()
    world.run(40)
    return world


def cancelled(clock: SteppedTime) -> DecisionWorld:
    """Cancel jobs before and after their placement, before it is written, and while they run."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS)
    world.add_boxes(4, spot=False)
    world.list_machines()
    world.run(2)
    world.submit("req-unplaced", legs=2)
    world.cancel("req-unplaced")
    world.submit("req-unwritten", legs=2)
    world.run(1)
    world.cancel("req-unwritten")
    world.submit("req-starts", legs=2)
    world.run(3)
    world.cancel("req-starts")
    world.submit("req-runs", legs=3, expect_s=90.0)
    world.submit("req-gang", **GANG, legs=2, crew="blue", expect_s=90.0)
    world.run(6)
    world.cancel("req-runs")
    world.run(2)
    world.cancel("req-gang")
    world.run(10)
    return world


def scarce_machines(clock: SteppedTime) -> DecisionWorld:
    """Rent from a cloud with little capacity: partial grants, refusals, backoff, other types."""
    world = DecisionWorld(clock, teams(2, 2, limit=12.0), SHORT_TIMEOUTS)
    no_more_machines(world)
    world.capacity |= {("box", "north", True): 1, ("box", "south", True): 2}
    world.capacity |= {("box", "west", False): 2, ("box", "north", False): 1}
    world.list_machines()
    world.submit("req-spot", legs=9, loaners=True, expect_s=15.0)
    world.submit("req-gang", **GANG, legs=2, crew="blue", expect_s=15.0)
    world.submit("req-zone", legs=2, depot="north", crew="blue", expect_s=15.0)
    world.submit("req-cpus", accelerators=0.0, vcpus=20.0, rigs=["slab"], legs=1)
    world.run(45)
    world.capacity |= {("slab", "south", False): 1, ("box", "south", True): 3}
    world.run(45)
    return world


def lost_answers(clock: SteppedTime) -> DecisionWorld:
    """Lose answers to transactions that are or are not applied; merge records."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS, limits=Limits(150, 24, 8, 900))
    world.state.outcomes = {1: "never", 2: "unanswered", 4: "never", 5: "unanswered", 9: "never"}
    world.state.outcomes |= {12: "unanswered", 15: "never", 18: "unanswered", 22: "never"}
    world.add_boxes(6, spot=False)
    world.list_machines()
    world.run(2)
    for number in range(8):
        world.submit(
            f"req-{number}", legs=4, expect_s=3.0 + number, crew=("red", "blue")[number % 2]
        )
        world.run(2)
    world.run(30)
    return world


def later_layout(clock: SteppedTime) -> DecisionWorld:
    """Run at feature level 1: finished tasks in small parts, many machines lost with tasks."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS, level=FeatureLevel.FENCED)
    world.add_boxes(6, spot=True)
    world.list_machines()
    world.run(2)
    small: dict[str, Any] = {"vcpus": 1.0, "accelerators": 0.2, "loaners": True}
    world.submit("req-wide", **small, legs=90, expect_s=2.0)
    world.submit("req-long", **small, legs=20, expect_s=90.0, crew="blue")
    world.run(12)
    for name in sorted(world.workers)[:5]:
        # Lost without a notice: the lists show it before the leases expire.
        del world.workers[name]
    for _ in range(4):
        world.run(2)
        world.list_machines()
    world.run(50)
    return world


def new_leader(clock: SteppedTime) -> DecisionWorld:
    """Change the leader while jobs start and run, and change it again soon after."""
    world = DecisionWorld(clock, teams(4, 4), SHORT_TIMEOUTS)
    world.add_boxes(6, spot=False)
    world.list_machines()
    world.run(2)
    world.submit("req-array", legs=12, expect_s=5.0)
    world.submit("req-gang", **GANG, legs=2, expect_s=25.0, crew="blue")
    world.submit("req-live", **SERVICE, legs=3, crew="blue")
    world.submit("req-next", legs=3, waits_on=["req-array"])
    world.run(9)
    world.cancel("req-gang")
    world.workers[sorted(world.workers)[2]].unreachable = True
    world.change_leader()
    world.run(2)
    world.list_machines()
    world.run(8)
    world.submit("req-more", legs=6, expect_s=20.0)
    world.run(3)
    world.change_leader()
    world.list_machines()
    world.run(30)
    return world


def policies(clock: SteppedTime) -> DecisionWorld:
    """Apply weights, job and team limits, order by submission, spare capacity for an objective."""
    policy = replace(
        SHORT_TIMEOUTS,
        teams={
            "red": TeamPolicy(weight=3.0, order="submitted"),
            "blue": TeamPolicy(running_jobs=1, minimum_timeout=seconds(8)),
        },
    )
    objectives = (Objective("wait", "scan", seconds(4)),)
    world = DecisionWorld(clock, teams(0, 2, 2, limit=10.0), policy, objectives)
    world.add_boxes(5)
    world.list_machines()
    world.run(2)
    for number in range(12):
        crew = ("red", "blue", "green")[number % 3]
        rank = ("low", "standard", "high")[number % 4 % 3]
        world.submit(
            f"req-{number}", legs=2 + number % 3, crew=crew, rank=rank, loaners=number % 2 == 0,
            build=f"scan-{number % 4}", expect_s=4.0 + number % 5,
        )  # fmt: skip
        world.run(2)
    world.run(40)
    return world


# -- all scenarios ----------------------------------------------------------------------------

Scenario = Callable[[SteppedTime], DecisionWorld]
#: The golden file holds all events of these.
SMALL: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        all_shapes, below_guarantee, production_first, a_gang_gives_way, room_for_a_gang, pipelines,
        taken_by_the_cloud, silent_machines, failures, cancelled, scarce_machines, lost_answers,
        later_layout, new_leader, policies,
    )
}  # fmt: skip
#: The golden file holds counts and a hash for each step of these.
LARGE: dict[str, Scenario] = {
    "traffic_20": lambda clock: traffic(clock, 1, 20, 70, 2),
    "traffic_21": lambda clock: traffic(clock, 2, 21, 70, 2),
    "traffic_60": lambda clock: traffic(clock, 3, 60, 40, 4),
    "traffic_150": lambda clock: traffic(clock, 4, 150, 25, 8),
}
