"""What users send and receive."""

from __future__ import annotations

from enum import Enum

import msgspec


class Shape(Enum):
    ARRAY = "array"
    GANG = "gang"
    SERVICE = "daemon"


class Priority(Enum):
    PRODUCTION = "production"
    HIGH = "high"
    STANDARD = "standard"
    LOW = "low"


class Status(Enum):
    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Submission(
    msgspec.Struct,
    frozen=True,
    rename={
        "job_id": "name_id",
        "job_class": "lane",
        "team": "crew",
        "shape": "shape",
        "priority": "rank",
        "tasks": "legs",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "ram_gb",
        "image": "build",
        "machine_types": "rigs",
        "zone": "depot",
        "spread": "scatter",
        "spot_allowed": "loaners",
        "estimate_s": "expect_s",
        "checkpoint_s": "bookmark_s",
        "save_s": "stow_s",
        "deadline_s": "due_s",
        "prerequisites": "waits_on",
    },
):
    job_id: str
    job_class: str
    team: str
    shape: Shape
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot_allowed: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    machine_types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    #: Jobs that must be done before any task of this one starts.
    prerequisites: list[str] | None = None


class JobName(msgspec.Struct, rename={"job_id": "name_id"}):
    """Only the id of a submission."""

    job_id: str


class JobAnswer(msgspec.Struct, rename={"job_id": "name_id"}, omit_defaults=True):
    job_id: str
    status: Status
    done: int | None = None
    running: int | None = None
