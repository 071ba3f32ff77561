"""Structure of the platform's settings file (TOML).

The ``rename`` maps translate between field names and the names in the file, where these differ.
``operator/platform.py`` checks and converts the values.
"""

from __future__ import annotations

import msgspec


class PeerEntry(msgspec.Struct, rename={"name": "member", "zone": "domain", "address": "endpoint"}):
    """A controller of the deployment."""

    name: str
    zone: str
    address: str


class ServiceAddresses(msgspec.Struct):
    """Addresses of the platform's services, as ``host:port``."""

    cloud: str
    state: str


class TeamEntry(msgspec.Struct):
    """Guarantees and limits of a team; a limit of 0 means no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class ObjectiveEntry(msgspec.Struct, rename={"job_class": "class"}):
    """An objective for one class of jobs."""

    kind: str
    job_class: str = ""
    within_s: float = 0.0
    share: float = 0.0


class WorkerTimes(msgspec.Struct):
    """Intervals and timeouts of workers."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class AnnouncedStateLimits(msgspec.Struct):
    """Announced future limits of the state service; a missing limit does not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateServiceLimits(msgspec.Struct):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: AnnouncedStateLimits | None = None


class CloudLimits(msgspec.Struct):
    """Limits of the cloud's API."""

    rps: float
    list_lag_s: float


class ControllerQuota(msgspec.Struct, rename={"core_share": "core_share", "memory_mb": "ram_mb"}):
    """Resources that one controller may use."""

    max_connections: int
    core_share: float = 1.0
    memory_mb: float = 0.0


class ClusterSection(msgspec.Struct, rename={"controllers": "size"}):
    """Settings that are the same for all controllers of the deployment."""

    controllers: int
    zones: list[str]
    workers: WorkerTimes
    state: StateServiceLimits
    cloud: CloudLimits
    quota: ControllerQuota
    skew_ms: float = 0.0
    teams: list[TeamEntry] = []
    objectives: list[ObjectiveEntry] = []


class SettingsFile(
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
    """The whole file."""

    name: str
    zone: str
    listen: str
    mesh: str
    services: ServiceAddresses
    cluster: ClusterSection
    peers: list[PeerEntry] = []
