"""The settings file that the platform hands over (TOML), checked."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from micadeal.clock import seconds
from micadeal.state.limits import Limits
from micadeal.wire.address import parse_address


class InvalidSettingsError(ValueError):
    """One line that names what is missing or senseless."""


class _Peer(msgspec.Struct, rename={"name": "member", "zone": "domain", "address": "endpoint"}):
    name: str
    zone: str
    address: str


class _Services(msgspec.Struct):
    cloud: str
    state: str


class _Team(msgspec.Struct):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class _Objective(msgspec.Struct, rename={"job_class": "class"}):
    kind: str
    job_class: str = ""
    within_s: float = 0.0
    share: float = 0.0


class _Workers(msgspec.Struct):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class _NextState(msgspec.Struct):
    """Limits that the state service will have from some moment on; what is missing stays."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class _State(msgspec.Struct):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: _NextState | None = None


class _Cloud(msgspec.Struct):
    rps: float
    list_lag_s: float


class _Quota(msgspec.Struct, rename={"core_share": "core_share", "memory_mb": "ram_mb"}):
    max_connections: int
    core_share: float = 1.0
    memory_mb: float = 0.0


class _Cluster(msgspec.Struct, rename={"controllers": "size"}):
    controllers: int
    zones: list[str]
    workers: _Workers
    state: _State
    cloud: _Cloud
    quota: _Quota
    skew_ms: float = 0.0
    teams: list[_Team] = []
    objectives: list[_Objective] = []


class _File(
    msgspec.Struct,
    rename={
        "name": "member",
        "zone": "domain",
        "listen": "api_addr",
        "mesh": "mesh_addr",
        "peers": "seeds",
        "services": "endpoints",
    },
):
    name: str
    zone: str
    listen: str
    mesh: str
    services: _Services
    cluster: _Cluster
    peers: list[_Peer] = []


@dataclass(frozen=True, slots=True)
class Peer:
    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class Team:
    """Guarantees and limits; a limit of None means none."""

    name: str
    cpus: float = 0.0
    gpus: float = 0.0
    cpus_max: float | None = None
    gpus_max: float | None = None

    def minimum(self, resource: str) -> float:
        return self.gpus if resource == "gpus" else self.cpus

    def limit(self, resource: str) -> float | None:
        return self.gpus_max if resource == "gpus" else self.cpus_max


@dataclass(frozen=True, slots=True)
class Workers:
    heartbeat_interval: timedelta
    lease: timedelta
    gang_wait: timedelta
    gang_peer: timedelta
    cancel_timeout: timedelta


@dataclass(frozen=True, slots=True)
class Objective:
    kind: str
    job_class: str
    with_timeout: timedelta


@dataclass(frozen=True, slots=True)
class Platform:
    name: str
    zone: str
    listen: tuple[str, int]
    mesh: tuple[str, int]
    peers: tuple[Peer, ...]
    cloud_address: str
    state_address: str
    zones: tuple[str, ...]
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    workers: Workers
    #: The state service's limits, and the lower of each and of those that it has announced.
    state_limits: Limits
    sure_limits: Limits
    cloud_rps: float
    list_lag: timedelta
    max_connections: int


def load(path: Path) -> Platform:
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as problem:
        raise InvalidSettingsError(f"{path}: {problem}") from None
    return parse(text)


def parse(text: str) -> Platform:
    try:
        file = msgspec.convert(tomllib.loads(text), _File)
    except tomllib.TOMLDecodeError as problem:
        raise InvalidSettingsError(f"not TOML: {problem}") from None
    except msgspec.ValidationError as problem:
        raise InvalidSettingsError(str(problem).replace("`", "'")) from None
    return _check(file)


def _address(name: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as problem:
        raise InvalidSettingsError(f"{name}: {problem}") from None


def _positive(**values: float) -> None:
    for name, value in values.items():
        if not (math.isfinite(value) and value > 0):
            raise InvalidSettingsError(f"{name.replace('__', '.')} must be above 0, not {value}")


def _sure_limits(now: Limits, coming: _NextState) -> Limits:
    """What holds now and after the change announced, which comes without notice."""
    value_bytes = now.value_bytes if coming.value_kb is None else int(coming.value_kb * 1024)
    return now.stricter(
        Limits(
            coming.rps or now.requests_per_s,
            coming.write_rps or now.changes_per_s,
            coming.txn_ops or now.operations,
            value_bytes,
        )
    )


def _check(file: _File) -> Platform:
    cluster = file.cluster
    workers = cluster.workers
    _positive(
        cluster__workers__report_s=workers.report_s,
        cluster__workers__lease_s=workers.lease_s,
        cluster__workers__gang_wait_s=workers.gang_wait_s,
        cluster__workers__gang_peer_s=workers.gang_peer_s,
        cluster__workers__cancel_s=workers.cancel_s,
        cluster__state__rps=cluster.state.rps,
        cluster__state__write_rps=cluster.state.write_rps,
        cluster__state__value_kb=cluster.state.value_kb,
        cluster__state__txn_ops=cluster.state.txn_ops,
        cluster__cloud__rps=cluster.cloud.rps,
        cluster__quota__max_connections=cluster.quota.max_connections,
    )
    coming = cluster.state.next or _NextState()
    _positive(
        **{
            f"cluster__state__next__{name}": value
            for name, value in msgspec.structs.asdict(coming).items()
            if value is not None
        }
    )
    if not cluster.zones:
        raise InvalidSettingsError("cluster.zones must name at least one zone")
    if file.zone not in cluster.zones:
        raise InvalidSettingsError(f"domain {file.zone!r} is not one of cluster.zones")
    if workers.lease_s >= workers.cancel_s:
        raise InvalidSettingsError("cluster.workers.cancel_s must be above cluster.workers.lease_s")
    teams: dict[str, Team] = {}
    for team in cluster.teams:
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, name)
            if not (math.isfinite(value) and value >= 0):
                raise InvalidSettingsError(f"team {team.name!r}: {name} must not be negative")
        for name in ("cpus", "gpus"):
            most = getattr(team, name + "_max")
            if most and getattr(team, name) > most:
                raise InvalidSettingsError(f"team {team.name!r}: {name} is above {name}_max")
        teams[team.name] = Team(
            team.name, team.cpus, team.gpus, team.cpus_max or None, team.gpus_max or None
        )
    state = cluster.state
    limits = Limits(state.rps, state.write_rps, state.txn_ops, int(state.value_kb * 1024))
    _address("endpoints.cloud", file.services.cloud)
    _address("endpoints.state", file.services.state)
    for peer in file.peers:
        _address(f"seeds {peer.name!r}", peer.address)
    return Platform(
        name=file.name,
        zone=file.zone,
        listen=_address("api_addr", file.listen),
        mesh=_address("mesh_addr", file.mesh),
        peers=tuple(Peer(p.name, p.zone, p.address) for p in file.peers if p.name != file.name),
        cloud_address=file.services.cloud,
        state_address=file.services.state,
        zones=tuple(cluster.zones),
        teams=teams,
        objectives=tuple(
            Objective(o.kind, o.job_class, seconds(o.within_s)) for o in cluster.objectives
        ),
        workers=Workers(
            seconds(workers.report_s),
            seconds(workers.lease_s),
            seconds(workers.gang_wait_s),
            seconds(workers.gang_peer_s),
            seconds(workers.cancel_s),
        ),
        state_limits=limits,
        sure_limits=_sure_limits(limits, coming),
        cloud_rps=cluster.cloud.rps,
        list_lag=seconds(cluster.cloud.list_lag_s),
        max_connections=cluster.quota.max_connections,
    )
