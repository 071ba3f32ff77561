"""Rules of the protocol that are checked once more before a start command is sent.

The scheduler has decided by them already.  Whatever it missed is withheld here and reported.
"""

from __future__ import annotations

from typing import NamedTuple

from micadeal.fleet.machines import Attempt, Machine
from micadeal.invariants import Invariant
from micadeal.placement.machine_capacity import allowed
from micadeal.scheduling.cluster_state import ClusterState


class BrokenRule(NamedTuple):
    """A rule that a start would break, and how."""

    invariant: Invariant
    reason: str


def broken_rule(cluster: ClusterState, machine: Machine, attempt: Attempt) -> BrokenRule | None:
    """Return the rule that the start of an attempt would break; None: it breaks none."""
    job = cluster.jobs.get(attempt.job_id)
    if job is None or job.over:
        return BrokenRule(Invariant.RAN_CANCELLED, "start of a job that is over")
    if any(other is not attempt for other in job.attempts.get(attempt.index, ())):
        return BrokenRule(Invariant.RAN_TWICE, "start while another attempt may be on a machine")
    if not allowed(job.spec, machine.machine_type, machine.zone, machine.spot):
        return BrokenRule(Invariant.WRONG_PLACE, f"start on {machine.name}, in {machine.zone}")
    if job.unfinished_prerequisites:
        return BrokenRule(
            Invariant.TOO_EARLY, f"start before {min(job.unfinished_prerequisites)} is done"
        )
    return None
