"""A start command that would break a rule is withheld and reported, whatever caused it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from micadeal.clock import seconds
from micadeal.fleet.machines import Attempt, Machine
from micadeal.invariants import Invariant
from micadeal.jobs.model import Job
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.worker_commands import commands_for
from tests.test_cluster import cluster_with_start_command


def mark_job_as_over(_: ClusterState, job: Job, __: Machine) -> None:
    # Ending a job normally stops all its attempts; here one attempt was missed.
    job.ended = True


def add_attempt_on_another_machine(_: ClusterState, job: Job, __: Machine) -> None:
    job.add(Attempt(job.id, 0, 1, "another", seconds(0)))


def require_another_zone(_: ClusterState, job: Job, __: Machine) -> None:
    job.spec = msgspec.structs.replace(job.spec, zone="south")


def forbid_spot_on_a_spot_machine(_: ClusterState, job: Job, machine: Machine) -> None:
    job.spec = msgspec.structs.replace(job.spec, spot_allowed=False)
    machine.spot = True


def add_unfinished_prerequisite(_: ClusterState, job: Job, __: Machine) -> None:
    job.unfinished_prerequisites.add("req-7")


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(change, marks=pytest.mark.violates_invariant(invariant))
        for change, invariant in (
            (mark_job_as_over, Invariant.RAN_CANCELLED),
            (add_attempt_on_another_machine, Invariant.RAN_TWICE),
            (require_another_zone, Invariant.WRONG_PLACE),
            (forbid_spot_on_a_spot_machine, Invariant.WRONG_PLACE),
            (add_unfinished_prerequisite, Invariant.TOO_EARLY),
        )
    ],
)
def test_start_command_that_would_break_a_rule_is_withheld(
    change: Callable[[ClusterState, Job, Machine], None],
) -> None:
    cluster, job, machine, attempt = cluster_with_start_command()
    change(cluster, job, machine)
    assert attempt.stop_grace is None
    assert commands_for(cluster, machine, full_authority=True) == []
