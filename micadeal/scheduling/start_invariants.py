"""Protocol invariants that are checked again before a start command is sent.

The scheduler's decisions already follow them.  A start that violates one nevertheless is withheld
and reported.
"""

from __future__ import annotations

from typing import NamedTuple

from micadeal.fleet.machines import Attempt, Machine
from micadeal.invariants import Invariant
from micadeal.placement.machine_capacity import placement_allowed
from micadeal.scheduling.cluster_state import ClusterState


class StartViolation(NamedTuple):
    """An invariant that a start would violate, and how."""

    invariant: Invariant
    reason: str


def find_start_violation(
    cluster: ClusterState, machine: Machine, attempt: Attempt
) -> StartViolation | None:
    """Return the invariant that the start of an attempt would violate, or None."""
    job = cluster.jobs.get(attempt.job_id)
    if job is None or job.ended:
        return StartViolation(Invariant.RAN_CANCELLED, "start of a job that is over")
    if any(other is not attempt for other in job.attempts.get(attempt.index, ())):
        return StartViolation(
            Invariant.RAN_TWICE, "start while another attempt may be on a machine"
        )
    if not placement_allowed(job.spec, machine.machine_type, machine.zone, machine.spot):
        return StartViolation(Invariant.WRONG_PLACE, f"start on {machine.name}, in {machine.zone}")
    if job.unfinished_prerequisites:
        return StartViolation(
            Invariant.TOO_EARLY, f"start before {min(job.unfinished_prerequisites)} is done"
        )
    return None
