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
    """A placement record that a batch writes, and the attempts in it."""

    key: str
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class FinishedTasksWrite:
    """Finished tasks of a job that a batch writes."""

    job_id: str
    tasks: frozenset[int]


@dataclass(frozen=True, slots=True)
class JobEndWrite:
    """The end of a job that a batch writes."""

    job_id: str
    record: EndRecord


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Operations committed together, on condition of the last known versions of their keys."""

    operations: tuple[Operation, ...]
    conditions: tuple[Condition, ...]
    urgency: Urgency
    placed: tuple[PlacementWrite, ...] = ()
    finished: tuple[FinishedTasksWrite, ...] = ()
    #: The end that this batch writes; such a batch writes nothing for other jobs.
    job_end: JobEndWrite | None = None
    #: Whether a value fits the service's present limits, but not the guaranteed ones.
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
        """How many more operations fit into the batch."""
        return self.max_operations - len(self.operations)

    @property
    def is_empty(self) -> bool:
        """Whether the batch has no operations yet."""
        return not self.operations

    def put(self, key: str, record: Any) -> None:
        """Add a put of ``record`` under ``key``."""
        self.operations.append(Put(key, record))

    def delete(self, key: str) -> None:
        """Add a delete of ``key``."""
        self.operations.append(Delete(key))

    def build(self, conditions: tuple[Condition, ...], urgency: Urgency) -> WriteBatch:
        """Return the batch with all operations that were added."""
        return WriteBatch(
            tuple(self.operations),
            conditions,
            urgency,
            tuple(self.placed),
            tuple(self.finished),
            needs_present_limits=self.needs_present_limits,
        )
