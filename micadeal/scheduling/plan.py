"""What a scheduling pass finds and asks for."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.jobs.model import Job
from micadeal.operator.policy import Policy
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.sharing.starvation import StarvationTimer
from micadeal.sharing.victims import Victim
from micadeal.wire.state import PlacedTask
from micadeal.wire.users import Submission


@dataclass(slots=True)
class TeamState:
    """What a pass knows of one team and one resource."""

    minimum: float
    weight: float
    used: float = 0.0
    demand: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Plan:
    placed: list[PlacedTask] = field(default_factory=list)
    rentals: Counter[InstanceOffer] = field(default_factory=Counter)
    #: Machines, up or booting, on which room is held for something that waits.
    held: set[str] = field(default_factory=set)
    #: For spare room: machines that are kept though nothing waits for them.
    spare: set[str] = field(default_factory=set)
    #: For which job, and what.
    kills: list[tuple[str, Victim]] = field(default_factory=list)
    teams: dict[str, dict[str, TeamState]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Expected:
    """Work of a class that is likely to come before a machine could be rented for it."""

    spec: Submission
    tasks: int
    #: Images that jobs of the class asked for lately.
    images: frozenset[str] = frozenset()


@dataclass(slots=True)
class Findings:
    """What a pass leaves to its last step, the choice of victims (``Preemption``)."""

    cluster: ClusterState
    policy: Policy
    timers: dict[tuple[str, str], StarvationTimer]
    now: timedelta
    plan: Plan
    #: How many rooms there are in each zone.
    present: Counter[str]
    #: Jobs with tasks that found no room, in the order in which they were asked.
    unplaced: list[Job]
    #: Every spot offer was refused lately.
    spot_scarce: bool
