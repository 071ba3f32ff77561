"""Validates submissions: malformed ones (400) and those that can never run (422).  No I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence

from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.operator.platform import Team
from micadeal.placement.machine_capacity import EPSILON
from micadeal.wire.codec import MessageFormatError, decode
from micadeal.wire.users import JobName, Shape, Submission

JOB_ID = re.compile(r"req-[0-9]{1,32}\Z")
MAX_TASKS = 100_000
#: In characters, for the name of a class, team, image, zone or machine type.
MAX_NAME_LENGTH = 200
#: Slightly above what the state service can store for one job.
MAX_PREREQUISITES = 1000


class MalformedJobError(ValueError):
    """A malformed submission; the text says what is wrong (status 400)."""


class UnschedulableJobError(ValueError):
    """A submission that can never run; the text says why (status 422)."""


def parse(body: bytes) -> Submission:
    """Decode a submission and check its fields.

    Raises ``MalformedJobError`` for the first fault, in the order of the checks.
    """
    try:
        spec = decode(Submission, body)
    except MessageFormatError as problem:
        raise MalformedJobError(str(problem)) from None
    if not JOB_ID.match(spec.job_id):
        raise MalformedJobError("not a job id")
    _check_amounts(spec)
    _check_names(spec)
    _check_prerequisites(spec.prerequisites or ())
    return spec


def _check_amounts(spec: Submission) -> None:
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise MalformedJobError(f"number of tasks must be 1 to {MAX_TASKS}")
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


def _check_names(spec: Submission) -> None:
    zone = "-" if spec.zone is None else spec.zone
    for name in (spec.job_class, spec.team, spec.image, zone):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise MalformedJobError("an empty or overlong name")
    for name in spec.machine_types or ():
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise MalformedJobError("an empty or overlong machine type")


def _check_prerequisites(job_ids: Sequence[str]) -> None:
    if len(job_ids) > MAX_PREREQUISITES:
        raise MalformedJobError(f"at most {MAX_PREREQUISITES} jobs may be waited for")
    if not all(map(JOB_ID.match, job_ids)):
        raise MalformedJobError("waits_on must be a list of job ids")


def job_id_of(body: bytes) -> str | None:
    """Return the job id in a body whose other fields may be invalid; None if it has no valid id.

    With it, a repeated submission of a known job is answered without an error.
    """
    try:
        job_id = decode(JobName, body).job_id
    except MessageFormatError:
        return None
    return job_id if JOB_ID.match(job_id) else None


def check_schedulable(
    spec: Submission, teams: dict[str, Team], instance_offers: InstanceOffers
) -> None:
    """Check that a submission can run in a deployment with these teams and machine types.

    Raises ``UnschedulableJobError`` with the first reason why it can never run.
    """
    team = teams.get(spec.team)
    if team is None:
        raise UnschedulableJobError("unknown team")
    if spec.job_id in (spec.prerequisites or ()):
        raise UnschedulableJobError("it waits for itself")
    if not instance_offers.can_ever_fit(spec):
        raise UnschedulableJobError("a task fits no allowed machine type")
    # Gangs and services run all their tasks at the same time; an array may run one at a time.
    concurrent_tasks = 1 if spec.shape is Shape.ARRAY else spec.tasks
    for need, limit, name in (
        (spec.cpus, team.cpus_max, "cores"),
        (spec.gpus, team.gpus_max, "accelerators"),
    ):
        if limit is not None and concurrent_tasks * need > limit + EPSILON:
            raise UnschedulableJobError(f"more {name} than the team's limit")
