"""Rules of the protocol that are checked at run time.

A violation is logged and counted, and the code that detects it withholds the answer or command in
question.  The process continues.  Every test in which a violation occurs fails.
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


#: Number of detected violations in this process, by rule.
violations: Counter[Invariant] = Counter()


def report_violation(invariant: Invariant, key: str, reason: str) -> None:
    """Log and count a violation that was prevented for ``key``, a job or a task."""
    violations[invariant] += 1
    log.error("invariant violated: rule=%s key=%s reason=%s", invariant.value, key, reason)
