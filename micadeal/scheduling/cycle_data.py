"""Inputs of a scheduling cycle, and the data that it passes on to preemption."""

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
    # Imported at run time only if deferral is switched on; other deployments start without it.
    from micadeal.scheduling.deferral import Deferral

#: Name of a team and of a resource.
TeamResource = tuple[str, str]


@dataclass(frozen=True, slots=True)
class CycleInputs:
    """Everything that one scheduling cycle depends on."""

    cluster: ClusterState
    instance_offers: InstanceOffers
    policy: Policy
    #: Starvation timers; kept between cycles and updated by preemption.
    timers: dict[TeamResource, StarvationTimer]
    now: timedelta
    #: Expected work, for which warm capacity is kept.
    expected: tuple[ExpectedWork, ...]
    #: Whether machines may be rented; False until the existing ones have been counted.
    may_rent: bool
    #: Machines in rental requests that the cloud has not answered; they count as booting.
    pending_rentals: Counter[InstanceOffer]
    #: Defers flexible work to better hours; None if deferral is switched off.
    deferral: Deferral | None = None
    #: Teams whose last start went to their longest waiting job; kept between cycles.
    served_by_age: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PlacementOutcome:
    """Outcome of placement, passed on to preemption, the last step of a cycle."""

    inputs: CycleInputs
    plan: Plan
    #: Number of machines in each zone, including those that are booting or planned.
    machines_by_zone: Counter[str]
    #: Jobs with tasks that found no capacity, in the order in which they were considered.
    unplaced: list[Job]
    #: Every spot offer was refused recently.
    spot_scarce: bool
