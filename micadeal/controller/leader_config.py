"""What the leader's actor is created with."""

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
    """What a leader shares with the controller that it belongs to."""

    platform: Platform
    state: StateService
    cloud: Cloud
    network: Network
    feature_levels: FeatureLevels
    #: Of lease renewal by followers; None: no follower ever renews leases.
    renewal_timing: RenewalTiming | None
    #: Called when another leader is found to exist.
    resign: Callable[[], None]
    #: Called with the id of each job that turns out to be done or cancelled.
    on_job_ended: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class InitialKnowledge:
    """What the controller knows already as its term begins."""

    #: Empty: the catalog has not been read yet.
    machine_types: list[MachineType]
    #: Jobs on this controller's list of cancellations.
    cancelled_jobs: tuple[str, ...]
    #: Jobs of which every task ran, as the previous leader said last.
    all_started: frozenset[str]
