"""Reads and checks the platform's settings file.

Error texts name fields as the file does.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from micadeal.clock import seconds
from micadeal.operator.settings_file import (
    AnnouncedStateLimits,
    ClusterSection,
    ObjectiveEntry,
    SettingsFile,
    StateServiceLimits,
    TeamEntry,
    WorkerTimes,
)
from micadeal.state.limits import Limits
from micadeal.wire.address import parse_address


class InvalidSettingsError(ValueError):
    """Invalid settings; the text is one line that names the missing or invalid field."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Another controller of the deployment."""

    name: str
    zone: str
    #: ``host:port`` of its listener for other controllers.
    address: str


@dataclass(frozen=True, slots=True)
class Team:
    """Guarantees and limits of a team; a limit of None means no limit."""

    name: str
    #: Guarantees in cores and accelerators.
    cpus: float = 0.0
    gpus: float = 0.0
    cpus_max: float | None = None
    gpus_max: float | None = None

    def guarantee(self, resource: str) -> float:
        """Return the guarantee for a resource, ``"gpus"`` or ``"cpus"``."""
        return self.gpus if resource == "gpus" else self.cpus

    def limit(self, resource: str) -> float | None:
        """Return the limit for a resource, ``"gpus"`` or ``"cpus"``; None: no limit."""
        return self.gpus_max if resource == "gpus" else self.cpus_max


@dataclass(frozen=True, slots=True)
class Workers:
    """Intervals and timeouts of workers, the same for all workers."""

    heartbeat_interval: timedelta
    #: A worker kills its tasks once its last answered heartbeat was sent longer ago than this.
    lease: timedelta
    #: A task of a gang exits if the gang is not complete within this time.
    gang_wait: timedelta
    #: Within this time the tasks of a gang detect that one of them is gone.
    gang_peer_timeout: timedelta
    #: After a user's cancellation was confirmed, all tasks of the job must be gone within this time
    #: (``ran_cancelled``).  Longer than the lease.
    cancel_timeout: timedelta


@dataclass(frozen=True, slots=True)
class Objective:
    """An objective for one class of jobs."""

    #: ``"wait"`` bounds the time until a job starts; other kinds are ignored.
    kind: str
    job_class: str
    #: Time within which the objective is to be met.
    target: timedelta


@dataclass(frozen=True, slots=True)
class Platform:
    """Valid settings of one controller and its deployment."""

    #: Name and zone of this controller.
    name: str
    zone: str
    #: Host and port of the listener for users and workers.
    api_address: tuple[str, int]
    #: Host and port of the listener for other controllers.
    peer_address: tuple[str, int]
    #: The other controllers of the deployment.
    peers: tuple[Peer, ...]
    cloud_address: str
    state_address: str
    #: All zones of the deployment.
    zones: tuple[str, ...]
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    workers: Workers
    #: Present limits of the state service.
    state_limits: Limits
    #: The stricter of each present limit and its announced successor.
    guaranteed_limits: Limits
    #: Limit of requests to the cloud's API, per second.
    cloud_rps: float
    #: Usual delay of the cloud's list of machines; at times the delay is twice that.
    list_lag: timedelta
    #: Most connections that this process may have open at a time.
    max_connections: int


def load(path: Path) -> Platform:
    """Read and check a settings file.

    Raises ``InvalidSettingsError`` for the first fault.
    """
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as problem:
        raise InvalidSettingsError(f"{path}: {problem}") from None
    return parse(text)


def parse(text: str) -> Platform:
    """Decode and check the text of a settings file.

    Raises ``InvalidSettingsError`` for the first fault.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), SettingsFile)
    except tomllib.TOMLDecodeError as problem:
        raise InvalidSettingsError(f"not TOML: {problem}") from None
    except msgspec.ValidationError as problem:
        raise InvalidSettingsError(str(problem).replace("`", "'")) from None
    return _platform(file)


# -- checks ------------------------------------------------------------------------------------


def _platform(file: SettingsFile) -> Platform:
    """Check and convert the file, in a fixed order so that the same fault is reported each time."""
    cluster = file.cluster
    _check_numbers(cluster)
    _check_zones(file)
    _check_timeouts(cluster.workers)
    teams = {team.name: _checked_team(team) for team in cluster.teams}
    state_limits = _state_limits(cluster.state)
    _check_addresses(file)
    return Platform(
        name=file.name,
        zone=file.zone,
        api_address=_address("api_addr", file.listen),
        peer_address=_address("mesh_addr", file.mesh),
        peers=_other_controllers(file),
        cloud_address=file.services.cloud,
        state_address=file.services.state,
        zones=tuple(cluster.zones),
        teams=teams,
        objectives=tuple(_objective(objective) for objective in cluster.objectives),
        workers=_workers(cluster.workers),
        state_limits=state_limits,
        guaranteed_limits=_guaranteed_limits(
            state_limits, cluster.state.next or AnnouncedStateLimits()
        ),
        cloud_rps=cluster.cloud.rps,
        list_lag=seconds(cluster.cloud.list_lag_s),
        max_connections=cluster.quota.max_connections,
    )


def _check_numbers(cluster: ClusterSection) -> None:
    workers, state = cluster.workers, cluster.state
    _check_positive(
        {
            "cluster.workers.report_s": workers.report_s,
            "cluster.workers.lease_s": workers.lease_s,
            "cluster.workers.gang_wait_s": workers.gang_wait_s,
            "cluster.workers.gang_peer_s": workers.gang_peer_s,
            "cluster.workers.cancel_s": workers.cancel_s,
            "cluster.state.rps": state.rps,
            "cluster.state.write_rps": state.write_rps,
            "cluster.state.value_kb": state.value_kb,
            "cluster.state.txn_ops": state.txn_ops,
            "cluster.cloud.rps": cluster.cloud.rps,
            "cluster.quota.max_connections": cluster.quota.max_connections,
        }
    )
    announced = msgspec.structs.asdict(state.next or AnnouncedStateLimits())
    _check_positive(
        {
            f"cluster.state.next.{name}": limit
            for name, limit in announced.items()
            if limit is not None
        }
    )


def _check_positive(values: Mapping[str, float]) -> None:
    """Check that values are finite and above 0; their keys are dotted names as in the file."""
    for name, value in values.items():
        if not (math.isfinite(value) and value > 0):
            raise InvalidSettingsError(f"{name} must be above 0, not {value}")


def _check_zones(file: SettingsFile) -> None:
    if not file.cluster.zones:
        raise InvalidSettingsError("cluster.zones must name at least one zone")
    if file.zone not in file.cluster.zones:
        raise InvalidSettingsError(f"domain {file.zone!r} is not one of cluster.zones")


def _check_timeouts(workers: WorkerTimes) -> None:
    if workers.lease_s >= workers.cancel_s:
        raise InvalidSettingsError("cluster.workers.cancel_s must be above cluster.workers.lease_s")


def _checked_team(team: TeamEntry) -> Team:
    """Check a team's guarantees and limits; a limit of 0 in the file means no limit."""
    for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
        value = getattr(team, name)
        if not (math.isfinite(value) and value >= 0):
            raise InvalidSettingsError(f"team {team.name!r}: {name} must not be negative")
    for name in ("cpus", "gpus"):
        limit = getattr(team, f"{name}_max")
        if limit and getattr(team, name) > limit:
            raise InvalidSettingsError(f"team {team.name!r}: {name} is above {name}_max")
    return Team(team.name, team.cpus, team.gpus, team.cpus_max or None, team.gpus_max or None)


def _state_limits(state: StateServiceLimits) -> Limits:
    return Limits(state.rps, state.write_rps, state.txn_ops, _bytes(state.value_kb))


def _guaranteed_limits(present: Limits, announced: AnnouncedStateLimits) -> Limits:
    """Return limits that hold before and after an announced change, whose time is not known."""
    value_bytes = present.value_bytes if announced.value_kb is None else _bytes(announced.value_kb)
    return present.stricter(
        Limits(
            announced.rps or present.requests_per_s,
            announced.write_rps or present.changes_per_s,
            announced.txn_ops or present.operations,
            value_bytes,
        )
    )


def _bytes(kilobytes: float) -> int:
    return int(kilobytes * 1024)


def _check_addresses(file: SettingsFile) -> None:
    _address("endpoints.cloud", file.services.cloud)
    _address("endpoints.state", file.services.state)
    for peer in file.peers:
        _address(f"seeds {peer.name!r}", peer.address)


def _address(name: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as problem:
        raise InvalidSettingsError(f"{name}: {problem}") from None


def _other_controllers(file: SettingsFile) -> tuple[Peer, ...]:
    """Return the listed controllers without this one."""
    return tuple(
        Peer(peer.name, peer.zone, peer.address) for peer in file.peers if peer.name != file.name
    )


def _objective(objective: ObjectiveEntry) -> Objective:
    return Objective(objective.kind, objective.job_class, seconds(objective.within_s))


def _workers(workers: WorkerTimes) -> Workers:
    return Workers(
        heartbeat_interval=seconds(workers.report_s),
        lease=seconds(workers.lease_s),
        gang_wait=seconds(workers.gang_wait_s),
        gang_peer_timeout=seconds(workers.gang_peer_s),
        cancel_timeout=seconds(workers.cancel_s),
    )
