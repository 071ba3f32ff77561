"""Records machines that are returned to the cloud while attempts are still on them.

If this leader's term ends before the placement records of these attempts are merged, the next
leader reads which machines were returned.  Otherwise it would wait for leases to expire on machines
that no longer exist.
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

#: Minimum number of machines being returned for which a record is written.
MIN_MACHINES = 3
#: How long a record is kept: by then no placement record contains these attempts any more.
RETENTION = seconds(40)


class ReturnedMachinesWriter:
    """Records machines that are being returned, for the next leader, and deletes old records."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        #: When each record was written or read, by key.
        self._recorded_at: dict[str, timedelta] = {}
        #: All machines that this term has recorded.
        self._recorded: set[str] = set()

    def load(self, loaded: VersionedRecord[ReturnedMachinesRecord], now: timedelta) -> list[str]:
        """Adopt a record; return its machines if it is younger than ``RETENTION``."""
        self._keys.versions[loaded.key] = loaded.version
        self._recorded_at[loaded.key] = now
        record = loaded.record
        if record is None or utc_now().timestamp() - record.at >= RETENTION.total_seconds():
            return []
        return record.machines

    def add_record(self, draft: BatchDraft, now: timedelta) -> None:
        """Add a record of machines being returned if there are enough; delete old records."""
        names = self._unrecorded_machines()
        if len(names) >= MIN_MACHINES:
            capacity = self._context.limits.guaranteed.value_bytes - VALUE_OVERHEAD
            while names and sum(map(max_json_size, names)) > capacity:
                names.pop()
            self._recorded.update(names)
            key = f"{LEAVING}{self._cluster.token}/{len(self._recorded)}"
            self._recorded_at[key] = now
            draft.put(key, ReturnedMachinesRecord(utc_now().timestamp(), names))
        for key, since in list(self._recorded_at.items()):
            if now - since > RETENTION:
                del self._recorded_at[key]
                self._keys.schedule_delete(key)

    def _unrecorded_machines(self) -> list[str]:
        return [
            name
            for name, machine in self._cluster.machines.items()
            if machine.release_requested is not None
            and machine.attempts
            and name not in self._recorded
        ]
