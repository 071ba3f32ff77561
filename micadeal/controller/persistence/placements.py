"""Writes placement records: which attempts may be on which machines.

The state service limits the rate of keys written, not of bytes.  So the placements of a scheduling
cycle go into one record under a new key, regardless of the number of machines.  A record is never
changed.  It is deleted when all of its attempts are gone, or in the transaction that moves the
remaining ones to another record.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.controller.persistence.batches import BatchDraft, PlacementWrite, WriteBatch
from micadeal.controller.persistence.placement_chunks import PlacementChunk
from micadeal.controller.persistence.value_sizes import VALUE_OVERHEAD
from micadeal.controller.persistence.writer_context import WriterContext
from micadeal.schema.decoding import decode_item
from micadeal.schema.keys import PLACED
from micadeal.state.service import Urgency
from micadeal.wire.state import Delete, Item, PlacedRecord

#: A stale record, some of whose attempts are gone, is merged after this time.
MERGE_DELAY = seconds(4)
#: A stale record with more remaining attempts than this is merged after ``LARGE_MERGE_DELAY``: its
#: merge costs as many operations and removes less.
SMALL_RECORD_ATTEMPTS = 8
LARGE_MERGE_DELAY = MERGE_DELAY * 3
#: Placement records in one transaction, whose total size is limited to 64 KiB.
MAX_RECORDS = 4
#: A merge takes one operation to remove a record, and one to write its remaining attempts.
MERGE_OPERATIONS = 2


class PlacementWriter:
    """Writes placement records, and merges those some of whose attempts are gone."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        self._keys_created = 0

    def next_batch(self) -> WriteBatch:
        """Return a batch that records unwritten attempts; there must be at least one."""
        draft = BatchDraft(min(MAX_RECORDS, self._context.limits.guaranteed.operations))
        for chunk in self._unwritten_chunks():
            self._put(draft, chunk)
            if draft.remaining <= 0:
                break
        return draft.build(self._keys.conditions(draft.operations), Urgency.PLACEMENT)

    def add_merges(self, draft: BatchDraft, now: timedelta) -> None:
        """Delete records whose attempts are all gone, and merge what remains of others into one.

        Otherwise a new leader would have to look for attempts that are long gone.
        """
        merged = self._new_chunk()
        for key, since in list(self._cluster.stale_records.items()):
            if draft.remaining < MERGE_OPERATIONS:
                break
            remaining = self._cluster.records[key]
            is_small = len(remaining) <= SMALL_RECORD_ATTEMPTS
            if now - since < (MERGE_DELAY if is_small else LARGE_MERGE_DELAY):
                continue
            if not merged.add_all(remaining):
                if not merged.attempts:
                    # It fills a value by itself, so that rewriting it would save nothing.
                    continue
                break
            self._remove(draft, key)
        if merged.attempts:
            self._put(draft, merged)

    def committed(self, batch: WriteBatch, now: timedelta) -> None:
        """Apply what a batch has written, deleted or emptied."""
        # New records first, then those that listed the same attempts before.
        for write in batch.placed:
            self._cluster.placements_written(write.key, write.attempts, now)
        written = {write.key for write in batch.placed}
        for operation in batch.operations:
            emptied = operation.key.startswith(PLACED) and operation.key not in written
            if isinstance(operation, Delete) or emptied:
                self._cluster.placement_record_missing(operation.key)

    def failed(self, batch: WriteBatch, items: Mapping[str, Item | None], now: timedelta) -> None:
        """Adopt what the service holds after a batch failed or had an unknown outcome."""
        for write in batch.placed:
            item = items.get(write.key)
            if item is None:
                self._keys.mark_unconfirmed(write.key)
            else:
                self._adopt_existing(write, item, now)
        for key, item in items.items():
            if item is None and key in self._cluster.records:
                self._cluster.placement_record_missing(key)

    def _adopt_existing(self, write: PlacementWrite, item: Item, now: timedelta) -> None:
        """Adopt a record that exists, perhaps written by an earlier transaction on the same key.

        A damaged record is left as it is, and its attempts are written under another key.
        """
        record = decode_item(item, PlacedRecord)
        if record is None:
            return
        existing = {(entry.name, task) for entry in record.machines for task in entry.tasks}
        recorded = [
            attempt
            for attempt in write.attempts
            if (attempt.machine, attempt.placed_task) in existing
        ]
        self._cluster.placements_written(write.key, recorded, now)
        if len(recorded) < len(existing):
            self._cluster.stale_records.setdefault(write.key, now)

    def _put(self, draft: BatchDraft, chunk: PlacementChunk) -> None:
        key = self._new_key()
        draft.put(key, chunk.record())
        draft.placed.append(PlacementWrite(key, tuple(chunk.attempts)))

    def _remove(self, draft: BatchDraft, key: str) -> None:
        """Delete a placement record, or empty it if a delayed write to its key is possible.

        Guards a team's limit, and the wait for a lease, under the next leader: a key that was used
        twice is emptied, not deleted.  The earlier transaction has the condition that the key is
        absent; after a delete it could still be applied, and leave a record unknown to this leader.
        The next leader deletes the empty record.
        """
        if key in self._keys.late_write_possible:
            draft.put(key, PlacedRecord([]))
        else:
            draft.delete(key)

    def _new_key(self) -> str:
        """Return a key for a new record.

        A key whose write had an unknown outcome is reused first, on condition of the version read
        afterwards: otherwise a delayed transaction could leave a record that no leader knows of.
        """
        if self._keys.unconfirmed:
            return self._keys.unconfirmed.pop()
        self._keys_created += 1
        return f"{PLACED}{self._cluster.token}/{self._keys_created}"

    def _unwritten_chunks(self) -> Iterator[PlacementChunk]:
        """Yield the unwritten attempts in chunks that each fit into a value."""
        chunk = self._new_chunk()
        for attempt in self._cluster.unwritten_placements:
            if not chunk.add(attempt):
                yield chunk
                chunk = self._new_chunk()
                chunk.add(attempt)
        if chunk.attempts:
            yield chunk

    def _new_chunk(self) -> PlacementChunk:
        value_bytes = self._context.limits.guaranteed.value_bytes
        return PlacementChunk(self._cluster, value_bytes - VALUE_OVERHEAD)
