"""Records of machines that are returned to the cloud while tasks are still on them.

Without them the next leader, if this one ends before the placement records of these tasks are
merged, waits a lease for machines that no longer exist.
"""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import seconds, utc_now
from micadeal.controller.persistence.batches import BatchDraft
from micadeal.controller.persistence.value_sizes import VALUE_OVERHEAD, max_json_size
from micadeal.controller.persistence.writer_context import WriterContext
from micadeal.schema.decoding import VersionedRecord
from micadeal.schema.keys import LEAVING
from micadeal.wire.state import ReturnedMachinesRecord

#: So many machines returned at once are worth a record.
MIN_MACHINES = 3
#: How long a record is kept: after this time placement records name these tasks no more.
RETENTION = seconds(40)


class ReturnedMachinesWriter:
    """Names machines that are being returned for the next leader, and drops old records."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        #: Keys of the records, and when each was written or read.
        self._recorded_at: dict[str, timedelta] = {}
        #: All machines that this term has named.
        self._named: set[str] = set()

    def load(self, loaded: VersionedRecord[ReturnedMachinesRecord], now: timedelta) -> list[str]:
        """Return the machines that an earlier leader was returning less than 40 s ago."""
        self._keys.versions[loaded.key] = loaded.version
        self._recorded_at[loaded.key] = now
        record = loaded.record
        if record is None or utc_now().timestamp() - record.at >= RETENTION.total_seconds():
            return []
        return record.machines

    def add_record(self, draft: BatchDraft, now: timedelta) -> None:
        """Add a record of machines that are returned, if there are many; drop old ones."""
        names = self._unnamed_machines()
        if len(names) >= MIN_MACHINES:
            capacity = self._context.limits.guaranteed.value_bytes - VALUE_OVERHEAD
            while names and sum(map(max_json_size, names)) > capacity:
                names.pop()
            self._named.update(names)
            key = f"{LEAVING}{self._cluster.token}/{len(self._named)}"
            self._recorded_at[key] = now
            draft.put(key, ReturnedMachinesRecord(utc_now().timestamp(), names))
        for key, since in list(self._recorded_at.items()):
            if now - since > RETENTION:
                del self._recorded_at[key]
                self._keys.schedule_drop(key)

    def _unnamed_machines(self) -> list[str]:
        return [
            name
            for name, machine in self._cluster.machines.items()
            if machine.release_requested is not None
            and machine.attempts
            and name not in self._named
        ]
