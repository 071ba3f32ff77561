"""Tracks, for one term, the versions of the keys in the state service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, MutableSet
from dataclasses import dataclass, field

from micadeal.controller.persistence.batches import Operation
from micadeal.jobs.model import Job
from micadeal.ordered_set import OrderedSet
from micadeal.wire.state import Condition, Item, Put


@dataclass(slots=True)
class KeyTracker:
    """Owns the known versions of all keys, the pending deletes and the keys in doubt.

    Every write has the condition that the key still has the version tracked here.  So a transaction
    whose answer was lost, and which may be applied minutes later, finds a newer version and changes
    nothing.
    """

    #: Last known version of each key that exists.
    versions: dict[str, int] = field(default_factory=dict)
    pending_deletes: MutableSet[str] = field(default_factory=OrderedSet)
    #: Keys of placement records that a transaction without an answer may still create.  New
    #: records use these keys first.
    unconfirmed: list[str] = field(default_factory=list)
    #: All keys that were ever unconfirmed in this term.
    late_write_possible: set[str] = field(default_factory=set)

    def conditions(self, operations: Iterable[Operation]) -> tuple[Condition, ...]:
        """Return the conditions that the keys of the operations have their last known versions."""
        return tuple(
            Condition(operation.key, self.versions.get(operation.key, 0))
            for operation in operations
        )

    def schedule_delete(self, key: str) -> None:
        """Schedule the deletion of ``key`` in a later batch."""
        self.pending_deletes.add(key)

    def schedule_job_deletes(self, job: Job | None) -> None:
        """Schedule the deletion of a job's finished tasks and parts of its description."""
        if job is not None:
            for key in sorted(job.record_keys):
                self.schedule_delete(key)

    def mark_unconfirmed(self, key: str) -> None:
        """Note that ``key`` does not exist, but a transaction in flight may still create it."""
        self.unconfirmed.append(key)
        self.late_write_possible.add(key)

    def record_puts(self, operations: Iterable[Operation], revision: int) -> None:
        """Store the new versions of the keys that were put."""
        for operation in operations:
            if isinstance(operation, Put):
                self.versions[operation.key] = revision

    def record_deletes(self, operations: Iterable[Operation]) -> None:
        """Forget the keys that were deleted."""
        for operation in operations:
            if not isinstance(operation, Put):
                self.forget(operation.key)

    def forget(self, key: str) -> None:
        """Remove ``key``, which does not exist any more or will never change again."""
        self.versions.pop(key, None)
        self.pending_deletes.discard(key)

    def record_read(self, items: Mapping[str, Item | None]) -> None:
        """Store the versions that were read after a transaction failed."""
        for key, item in items.items():
            if item is not None:
                self.versions[key] = item.version
            else:
                self.versions.pop(key, None)
