"""What a scheduling cycle decides."""

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
    """What a cycle knows of one team, in booked units of one resource."""

    minimum: float
    weight: float
    used: float = 0.0
    demand: float = 0.0
    share: float = 0.0


class Kill(NamedTuple):
    """A victim, and the job that it is preempted for."""

    preemptor: str
    victim: Victim


@dataclass(slots=True)
class Plan:
    """The decisions of one cycle; the scheduler and its caller carry them out."""

    placed: list[PlacedTask] = field(default_factory=list)
    #: Machines to rent, by offer.
    rentals: Counter[InstanceOffer] = field(default_factory=Counter)
    #: Machines, up or booting, with capacity reserved for pending work.
    reserved: set[str] = field(default_factory=set)
    #: Machines kept as warm capacity for work that is expected.
    warm: set[str] = field(default_factory=set)
    kills: list[Kill] = field(default_factory=list)
    #: By resource and team name.
    teams: dict[str, dict[str, TeamState]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """Work of a class that is likely to arrive before a machine could be rented for it."""

    spec: Submission
    tasks: int
    #: Images that jobs of the class asked for lately.
    images: frozenset[str] = frozenset()
