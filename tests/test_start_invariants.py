"""A start that would break a rule is withheld and reported, whoever has decided on it."""

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
from tests.test_cluster import cluster_with_ordered_start


def over(_: ClusterState, job: Job, __: Machine) -> None:
    # Whoever ends a job stops its attempts; this one was left out.
    job.ended = True


def on_another_machine(_: ClusterState, job: Job, __: Machine) -> None:
    job.add(Attempt(job.id, 0, 1, "another", seconds(0)))


def in_another_zone(_: ClusterState, job: Job, __: Machine) -> None:
    job.spec = msgspec.structs.replace(job.spec, zone="south")


def on_spot(_: ClusterState, job: Job, machine: Machine) -> None:
    job.spec = msgspec.structs.replace(job.spec, spot_allowed=False)
    machine.spot = True


def before_its_prerequisite(_: ClusterState, job: Job, __: Machine) -> None:
    job.unfinished_prerequisites.add("req-7")


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(change, marks=pytest.mark.violates_invariant(invariant))
        for change, invariant in (
            (over, Invariant.RAN_CANCELLED),
            (on_another_machine, Invariant.RAN_TWICE),
            (in_another_zone, Invariant.WRONG_PLACE),
            (on_spot, Invariant.WRONG_PLACE),
            (before_its_prerequisite, Invariant.TOO_EARLY),
        )
    ],
)
def test_start_that_would_break_a_rule_is_withheld(
    change: Callable[[ClusterState, Job, Machine], None],
) -> None:
    cluster, job, machine, attempt = cluster_with_ordered_start()
    change(cluster, job, machine)
    assert attempt.stop_grace is None
    assert commands_for(cluster, machine, full_authority=True) == []
