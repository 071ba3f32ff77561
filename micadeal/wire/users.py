"""Messages between users and controllers: submitting, querying and cancelling jobs."""

from __future__ import annotations

from enum import Enum

import msgspec


class Shape(Enum):
    """How the tasks of a job run together."""

    #: Independent tasks; each runs to completion.
    ARRAY = "array"
    #: All tasks run at the same time, or none of them.
    GANG = "gang"
    #: Replicas that run until the job is cancelled.
    SERVICE = "daemon"


class Priority(Enum):
    """Priority of a job, highest first."""

    PRODUCTION = "production"
    HIGH = "high"
    STANDARD = "standard"
    LOW = "low"


class Status(Enum):
    """State of a job as reported to its user; the last two are final."""

    #: No task runs.
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
    """A job's description, sent by a user to ``POST /work``; also part of a ``JobRecord``."""

    #: Chosen by the user; a retry uses the same id.
    job_id: str
    #: Class of the job; the objectives in the platform's settings name the classes they apply to.
    job_class: str
    team: str
    shape: Shape
    priority: Priority
    #: Number of tasks, numbered from 0.
    tasks: int
    #: Resources that each task uses on its machine.
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    #: All tasks must be in the same zone.
    one_zone: bool
    #: At most half of the tasks, rounded up, may be in one zone.
    spread: bool
    #: Whether it may use spot machines.
    spot_allowed: bool
    #: The owner's estimate of a task's run time without the image fetch; 0 for services.
    estimate_s: float
    #: Interval of progress after which a running task saves a checkpoint; 0: it saves none.
    checkpoint_s: float
    #: Time that a task needs to save when it is stopped.
    save_s: float
    #: Allowed machine types; None: any.
    machine_types: list[str] | None = None
    #: The only allowed zone; None: any.
    zone: str | None = None
    #: Time from the submission by which the job should be complete; None: no deadline.
    deadline_s: float | None = None
    #: Ids of jobs that must be done before any task of this one starts.
    prerequisites: list[str] | None = None


class JobName(msgspec.Struct, rename={"job_id": "name_id"}):
    """The id of a ``Submission``, read on its own if the rest is malformed."""

    job_id: str


class JobAnswer(msgspec.Struct, rename={"job_id": "name_id"}, omit_defaults=True):
    """A controller's answer to a user's submission, query or cancellation."""

    job_id: str
    status: Status
    #: Numbers of finished and of running tasks, for display; None: not known.
    done: int | None = None
    running: int | None = None
