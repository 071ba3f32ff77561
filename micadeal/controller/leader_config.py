"""Configuration and initial knowledge of the leader's actor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from micadeal.controller.feature_levels import FeatureLevels
from micadeal.fleet.cloud import Cloud
from micadeal.http.network import Network
from micadeal.leadership.follower_leases import RenewalTiming
from micadeal.operator.platform import Platform
from micadeal.state.service import StateService
from micadeal.wire.cloud import MachineType


@dataclass(frozen=True, slots=True)
class LeaderConfig:
    """Objects that the leader's actor shares with its controller."""

    platform: Platform
    state: StateService
    cloud: Cloud
    network: Network
    feature_levels: FeatureLevels
    #: Timing of lease renewal by followers; None: followers never renew leases.
    renewal_timing: RenewalTiming | None
    #: Called when the actor finds that another leader exists.
    resign: Callable[[], None]
    #: Called with the id of each job found to be done or cancelled.
    on_job_ended: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class InitialKnowledge:
    """What the controller already knows when its term begins."""

    #: Empty: the catalog has not been read yet.
    machine_types: list[MachineType]
    #: Jobs on this controller's list of cancellations.
    cancelled_jobs: tuple[str, ...]
    #: Jobs whose unfinished tasks all ran, according to the previous leader's last report.
    all_started: frozenset[str]
