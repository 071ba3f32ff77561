"""Batches of writes, each committed by the state service in one transaction."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from micadeal.fleet.machines import Attempt
from micadeal.state.service import Urgency
from micadeal.wire.state import Condition, Delete, EndRecord, Put

Operation = Put | Delete


@dataclass(frozen=True, slots=True)
class PlacementWrite:
    """A record of placements that a batch writes, and the attempts that it names."""

    key: str
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class FinishedTasksWrite:
    """Finished tasks of one job that a batch writes."""

    job_id: str
    tasks: frozenset[int]


@dataclass(frozen=True, slots=True)
class JobEndWrite:
    """The end of one job that a batch writes."""

    job_id: str
    record: EndRecord


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Operations that are committed together, under the versions last known of their keys."""

    operations: tuple[Operation, ...]
    conditions: tuple[Condition, ...]
    urgency: Urgency
    placed: tuple[PlacementWrite, ...] = ()
    finished: tuple[FinishedTasksWrite, ...] = ()
    #: The job that this batch ends; such a batch holds nothing else.
    job_end: JobEndWrite | None = None
    #: A value fits the service's present limits, but not the guaranteed ones.
    needs_present_limits: bool = False


@dataclass(slots=True)
class BatchDraft:
    """Collects the operations of one batch."""

    max_operations: int
    operations: list[Operation] = field(default_factory=list)
    placed: list[PlacementWrite] = field(default_factory=list)
    finished: list[FinishedTasksWrite] = field(default_factory=list)
    needs_present_limits: bool = False

    @property
    def remaining(self) -> int:
        """How many more operations the batch may hold."""
        return self.max_operations - len(self.operations)

    @property
    def is_empty(self) -> bool:
        """Whether nothing was added yet."""
        return not self.operations

    def put(self, key: str, record: Any) -> None:
        """Add a record to be written under ``key``."""
        self.operations.append(Put(key, record))

    def drop(self, key: str) -> None:
        """Add a key to be dropped."""
        self.operations.append(Delete(key))

    def build(self, conditions: tuple[Condition, ...], urgency: Urgency) -> WriteBatch:
        """Return the batch of all that was added."""
        return WriteBatch(
            tuple(self.operations),
            conditions,
            urgency,
            tuple(self.placed),
            tuple(self.finished),
            needs_present_limits=self.needs_present_limits,
        )
