"""Checks of submissions: what is malformed (400) and what can never run (422).  Pure."""

from __future__ import annotations

import math
import re

from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.operator.platform import Team
from micadeal.placement.bin_packing import EPSILON
from micadeal.wire.codec import MessageFormatError, decode
from micadeal.wire.users import JobName, Shape, Submission

JOB_ID = re.compile(r"req-[0-9]{1,32}\Z")
MOST_TASKS = 100_000
LONGEST_NAME = 200
#: Some more than the state service can hold of one job in any case.
MOST_PREREQUISITES = 1000


class MalformedJobError(ValueError):
    """400: what is wrong."""


class UnschedulableJobError(ValueError):
    """422: why it can never run."""


def parse(body: bytes) -> Submission:
    try:
        spec = decode(Submission, body)
    except MessageFormatError as problem:
        raise MalformedJobError(str(problem)) from None
    if not JOB_ID.match(spec.job_id):
        raise MalformedJobError("not a job id")
    if not 1 <= spec.tasks <= MOST_TASKS:
        raise MalformedJobError(f"number of tasks must be 1 to {MOST_TASKS}")
    amounts = {
        "cores": spec.cpus,
        "accelerators": spec.gpus,
        "memory": spec.memory_gb,
        "image size": spec.image_gb,
        "estimate": spec.estimate_s,
        "checkpoint interval": spec.checkpoint_s,
        "save time": spec.save_s,
        "deadline": spec.deadline_s or 0.0,
    }
    for name, value in amounts.items():
        if not (math.isfinite(value) and value >= 0):
            raise MalformedJobError(f"{name} must be a number and not below 0")
    if spec.cpus == 0 and spec.gpus == 0:
        raise MalformedJobError("a task must take cores or accelerators")
    zone = "-" if spec.zone is None else spec.zone
    for text in (spec.job_class, spec.team, spec.image, zone):
        if not 0 < len(text) <= LONGEST_NAME:
            raise MalformedJobError("an empty or overlong name")
    if spec.machine_types is not None and not all(
        0 < len(name) <= LONGEST_NAME for name in spec.machine_types
    ):
        raise MalformedJobError("an empty or overlong machine type")
    names = spec.prerequisites or ()
    if len(names) > MOST_PREREQUISITES:
        raise MalformedJobError(f"at most {MOST_PREREQUISITES} jobs may be waited for")
    if not all(map(JOB_ID.match, names)):
        raise MalformedJobError("waits_on must be a list of job ids")
    return spec


def job_id_of(body: bytes) -> str | None:
    """The id in a body whose other fields may be invalid: a repeat of a known job is no error."""
    try:
        job_id = decode(JobName, body).job_id
    except MessageFormatError:
        return None
    return job_id if JOB_ID.match(job_id) else None


def check_possible(
    spec: Submission, teams: dict[str, Team], instance_offers: InstanceOffers
) -> None:
    team = teams.get(spec.team)
    if team is None:
        raise UnschedulableJobError("unknown team")
    if spec.job_id in (spec.prerequisites or ()):
        raise UnschedulableJobError("it waits for itself")
    if not instance_offers.can_ever_fit(spec):
        raise UnschedulableJobError("a task fits no allowed machine type")
    tasks = 1 if spec.shape is Shape.ARRAY else spec.tasks
    for need, limit, name in (
        (spec.cpus, team.cpus_max, "cores"),
        (spec.gpus, team.gpus_max, "accelerators"),
    ):
        if limit is not None and tasks * need > limit + EPSILON:
            raise UnschedulableJobError(f"more {name} than the team's limit")
