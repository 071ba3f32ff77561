"""Rate and size limits of the state service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from micadeal.wire.codec import json_size

#: Lower bounds of the size limits that ``Limits.shrunk`` returns after repeated rejections.
MIN_VALUE_BYTES = 768
MIN_OPERATIONS = 2
#: The service allows this many conditions for each put or delete that it allows.
CONDITIONS_PER_OPERATION = 4


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the state service, which all controllers share."""

    #: Requests per second, watches and lease renewals included.
    requests_per_s: float
    #: Puts and deletes per second, those of failed transactions included.
    changes_per_s: float
    #: Puts and deletes in one transaction.
    operations: int
    #: Size of one value, counted as JSON text.
    value_bytes: int

    @property
    def conditions(self) -> int:
        """Number of conditions that one transaction may have."""
        return self.operations * CONDITIONS_PER_OPERATION

    def fits(self, value: Any) -> bool:
        """Return whether ``value`` is within the size limit of one value."""
        return json_size(value) <= self.value_bytes

    def stricter(self, other: Limits) -> Limits:
        """Return the lower limit of each kind."""
        return Limits(
            min(self.requests_per_s, other.requests_per_s),
            min(self.changes_per_s, other.changes_per_s),
            min(self.operations, other.operations),
            min(self.value_bytes, other.value_bytes),
        )

    def shrunk(self) -> Limits:
        """Return smaller size limits, after the service rejected a write within these.

        Guards against a write that is rejected permanently because the service counts sizes
        differently.
        """
        return Limits(
            self.requests_per_s,
            self.changes_per_s,
            max(self.operations - 1, MIN_OPERATIONS),
            max(self.value_bytes * 3 // 4, MIN_VALUE_BYTES),
        )
