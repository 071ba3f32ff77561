"""What a scheduling cycle is given, and what it hands on to preemption."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from micadeal.fleet.instance_offers import InstanceOffer, InstanceOffers
from micadeal.jobs.model import Job
from micadeal.operator.policy import Policy
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.plan import ExpectedWork, Plan
from micadeal.sharing.starvation import StarvationTimer

if TYPE_CHECKING:
    # Imported at run time only where timing is switched on: other deployments start without it.
    from micadeal.scheduling.deferral import Deferral

#: A team and a resource.
TeamResource = tuple[str, str]


@dataclass(frozen=True, slots=True)
class CycleInputs:
    """Everything that one cycle depends on."""

    cluster: ClusterState
    instance_offers: InstanceOffers
    policy: Policy
    #: Starvation timers; kept from cycle to cycle and updated by preemption.
    timers: dict[TeamResource, StarvationTimer]
    now: timedelta
    #: Work that warm capacity is kept for.
    expected: tuple[ExpectedWork, ...]
    #: Whether machines may be rented; not before the present ones are counted.
    may_rent: bool
    #: Machines asked for whose rental is not answered yet: they count as booting.
    pending_rentals: Counter[InstanceOffer]
    #: Defers flexible work to better hours; None where timing is switched off.
    deferral: Deferral | None = None
    #: Teams whose last start went to their longest waiting job; kept from cycle to cycle.
    served_by_age: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class CycleFindings:
    """What placement leaves to preemption, the last step of a cycle."""

    inputs: CycleInputs
    plan: Plan
    #: How many machines there are in each zone, with those that boot or are planned.
    machines_by_zone: Counter[str]
    #: Jobs with tasks that found no capacity, in the order in which they were considered.
    unplaced: list[Job]
    #: Every spot offer was refused lately.
    spot_scarce: bool
