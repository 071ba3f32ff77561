"""The decisions of a scheduling cycle."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.sharing.victims import Victim
from micadeal.wire.state import PlacedTask
from micadeal.wire.users import Submission


@dataclass(slots=True)
class TeamState:
    """A team's entitlement, usage and demand in a cycle, in booked units of one resource."""

    guarantee: float
    weight: float
    used: float = 0.0
    demand: float = 0.0
    share: float = 0.0


class PlannedPreemption(NamedTuple):
    """A victim and the job for which it is preempted."""

    preemptor: str
    victim: Victim


@dataclass(slots=True)
class Plan:
    """The decisions of one cycle; the scheduler and its caller carry them out."""

    placed: list[PlacedTask] = field(default_factory=list)
    #: Machines to rent, by offer.
    rentals: Counter[InstanceOffer] = field(default_factory=Counter)
    #: Names of machines, up or booting, with capacity reserved for pending work.
    reserved: set[str] = field(default_factory=set)
    #: Names of machines kept as warm capacity for expected work.
    warm: set[str] = field(default_factory=set)
    preemptions: list[PlannedPreemption] = field(default_factory=list)
    #: Team states by resource and team name.
    teams: dict[str, dict[str, TeamState]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """Work of a class that is likely to arrive before a machine could be rented for it."""

    spec: Submission
    tasks: int
    #: Images of recent jobs of the class.
    images: frozenset[str] = frozenset()
