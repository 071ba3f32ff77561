"""What the state service takes, and sizes as it counts them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from micadeal.wire.codec import json_size

#: However often the service calls something too large, records do not shrink below this.
LEAST_BYTES = 768
LEAST_OPERATIONS = 2


@dataclass(frozen=True, slots=True)
class Limits:
    """For all controllers together."""

    requests_per_s: float
    changes_per_s: float
    #: Puts and drops in one transaction.
    operations: int
    value_bytes: int

    @property
    def conditions(self) -> int:
        """Of one transaction."""
        return self.operations * 4

    def fits(self, value: Any) -> bool:
        return json_size(value) <= self.value_bytes

    def stricter(self, other: Limits) -> Limits:
        """The lower of each."""
        return Limits(
            min(self.requests_per_s, other.requests_per_s),
            min(self.changes_per_s, other.changes_per_s),
            min(self.operations, other.operations),
            min(self.value_bytes, other.value_bytes),
        )

    def shrunk(self) -> Limits:
        """After the service has called something too large that ought to fit.

        Guards against a write that is refused for ever, should it count otherwise than we do.
        """
        return Limits(
            self.requests_per_s,
            self.changes_per_s,
            max(self.operations - 1, LEAST_OPERATIONS),
            max(self.value_bytes * 3 // 4, LEAST_BYTES),
        )
