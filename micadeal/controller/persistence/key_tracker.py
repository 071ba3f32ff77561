"""What one term's leader knows of the keys that the state service holds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, MutableSet
from dataclasses import dataclass, field

from micadeal.controller.persistence.batches import Operation
from micadeal.jobs.model import Job
from micadeal.ordered_set import OrderedSet
from micadeal.wire.state import Condition, Item, Put


@dataclass(slots=True)
class KeyTracker:
    """Owns the versions of all keys, and which keys are to be dropped or may change late.

    Every write depends on the version that is kept here.  A transaction whose answer was lost may
    be applied minutes later: it then finds a newer version and changes nothing.
    """

    #: Version last known of each key that exists.
    versions: dict[str, int] = field(default_factory=dict)
    pending_drops: MutableSet[str] = field(default_factory=OrderedSet)
    #: Keys of placement records that a lost transaction may still create: to be used again first.
    unconfirmed: list[str] = field(default_factory=list)
    #: All keys that were ever unconfirmed in this term.
    late_write_possible: set[str] = field(default_factory=set)

    def conditions(self, operations: Iterable[Operation]) -> tuple[Condition, ...]:
        """Return the conditions under which the operations may be applied."""
        return tuple(
            Condition(operation.key, self.versions.get(operation.key, 0))
            for operation in operations
        )

    def schedule_drop(self, key: str) -> None:
        """Have ``key`` dropped by a later batch."""
        self.pending_drops.add(key)

    def schedule_job_drops(self, job: Job | None) -> None:
        """Have the rest of a job's records dropped: finished tasks and parts of its description."""
        if job is not None:
            for key in sorted(job.record_keys):
                self.schedule_drop(key)

    def mark_unconfirmed(self, key: str) -> None:
        """Note that ``key`` does not exist, but may be created by a transaction under way."""
        self.unconfirmed.append(key)
        self.late_write_possible.add(key)

    def record_puts(self, operations: Iterable[Operation], revision: int) -> None:
        """Note the versions of keys that were written."""
        for operation in operations:
            if isinstance(operation, Put):
                self.versions[operation.key] = revision

    def record_drops(self, operations: Iterable[Operation]) -> None:
        """Forget the keys that were dropped."""
        for operation in operations:
            if not isinstance(operation, Put):
                self.forget(operation.key)

    def forget(self, key: str) -> None:
        """Note that ``key`` exists no more, or never changes again."""
        self.versions.pop(key, None)
        self.pending_drops.discard(key)

    def read_back(self, items: Mapping[str, Item | None]) -> None:
        """Take over the versions that were read after a transaction failed."""
        for key, item in items.items():
            if item is not None:
                self.versions[key] = item.version
            else:
                self.versions.pop(key, None)
