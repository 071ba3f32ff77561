"""Rules of the protocol that are checked while the program runs.

A violation is logged and counted, and whoever finds it withholds the one answer or command in
question.  The process goes on.  Every test in which one occurs fails.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class Invariant(StrEnum):
    """A rule, by its name in the protocol."""

    FORGOTTEN = "forgotten"
    RAN_CANCELLED = "ran_cancelled"
    RAN_TWICE = "ran_twice"
    WRONG_PLACE = "wrong_place"
    TOO_EARLY = "too_early"


#: How often each rule would have been broken in this process.
violations: Counter[Invariant] = Counter()


def report_violation(invariant: Invariant, key: str, reason: str) -> None:
    """Log and count that a rule would have been broken for ``key``, a job or a task."""
    violations[invariant] += 1
    log.error("invariant violated: rule=%s key=%s reason=%s", invariant.value, key, reason)
