"""Records of placements: which attempts may be on which machines.

The state service limits keys written, not bytes.  So what a scheduling cycle places goes into one
record under a new key, however many machines it is on.  A record is never changed: it is dropped
when nothing that it names is left, or in the transaction that names the rest of it elsewhere.
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

#: A record that names attempts which are gone is merged after this time.
MERGE_DELAY = seconds(4)
#: One that still names more attempts than this is merged after ``LARGE_MERGE_DELAY``: that costs
#: as much and frees less.
SMALL_RECORD_ATTEMPTS = 8
LARGE_MERGE_DELAY = MERGE_DELAY * 3
#: Placement records in one transaction: it may hold 64 KiB, and each value some of that.
MAX_RECORDS = 4
#: Merging takes one operation for a record that ends, and one for what is left of it.
MERGE_OPERATIONS = 2


class PlacementWriter:
    """Writes placement records, and merges those that name attempts which are gone."""

    def __init__(self, context: WriterContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._keys = context.keys
        self._keys_created = 0

    def next_batch(self) -> WriteBatch:
        """Return a batch that names attempts which no record names yet; there must be some."""
        draft = BatchDraft(min(MAX_RECORDS, self._context.limits.guaranteed.operations))
        for chunk in self._unwritten_chunks():
            self._put(draft, chunk)
            if draft.remaining <= 0:
                break
        return draft.build(self._keys.conditions(draft.operations), Urgency.PLACEMENT)

    def add_merges(self, draft: BatchDraft, now: timedelta) -> None:
        """Drop records of which nothing is left, and merge what is left of others into one.

        Otherwise a new leader would have to look for attempts that are long gone.
        """
        merged = self._new_chunk()
        for key, since in list(self._cluster.stale_records.items()):
            if draft.remaining < MERGE_OPERATIONS:
                break
            left = self._cluster.records[key]
            small = len(left) <= SMALL_RECORD_ATTEMPTS
            if now - since < (MERGE_DELAY if small else LARGE_MERGE_DELAY):
                continue
            if not merged.add_all(left):
                if not merged.attempts:
                    # It fills a value by itself: writing it again would not make it shorter.
                    continue
                break
            self._remove(draft, key)
        if merged.attempts:
            self._put(draft, merged)

    def committed(self, batch: WriteBatch, now: timedelta) -> None:
        """Take over what a batch has written, dropped or emptied."""
        # New records first, then those that named the same attempts before.
        for write in batch.placed:
            self._cluster.placements_written(write.key, write.attempts, now)
        written = {write.key for write in batch.placed}
        for operation in batch.operations:
            emptied = operation.key.startswith(PLACED) and operation.key not in written
            if isinstance(operation, Delete) or emptied:
                self._cluster.placement_record_missing(operation.key)

    def failed(self, batch: WriteBatch, items: Mapping[str, Item | None], now: timedelta) -> None:
        """Take over what the service holds after a batch failed, or had an unknown outcome."""
        for write in batch.placed:
            item = items.get(write.key)
            if item is None:
                self._keys.mark_unconfirmed(write.key)
            else:
                self._take_existing(write, item, now)
        for key, item in items.items():
            if item is None and key in self._cluster.records:
                self._cluster.placement_record_missing(key)

    def _take_existing(self, write: PlacementWrite, item: Item, now: timedelta) -> None:
        """Take over a record that exists, perhaps by an earlier transaction under its key.

        A damaged one is left where it is, and its attempts are written under another key.
        """
        record = decode_item(item, PlacedRecord)
        if record is None:
            return
        existing = {(entry.name, task) for entry in record.machines for task in entry.tasks}
        named = [
            attempt
            for attempt in write.attempts
            if (attempt.machine, attempt.placed_task) in existing
        ]
        self._cluster.placements_written(write.key, named, now)
        if len(named) < len(existing):
            self._cluster.stale_records.setdefault(write.key, now)

    def _put(self, draft: BatchDraft, chunk: PlacementChunk) -> None:
        key = self._new_key()
        draft.put(key, chunk.record())
        draft.placed.append(PlacementWrite(key, tuple(chunk.attempts)))

    def _remove(self, draft: BatchDraft, key: str) -> None:
        """Drop or empty a record of placements.

        Guards a team's limit, and the wait of a lease, under the next leader: a key that was used
        twice is emptied instead of dropped, since the earlier transaction depends on its absence
        and would leave a record that this leader does not know of.  The next leader drops it.
        """
        if key in self._keys.late_write_possible:
            draft.put(key, PlacedRecord([]))
        else:
            draft.drop(key)

    def _new_key(self) -> str:
        """Return a key for a new record.

        One whose write had an unknown outcome is used again first, under the version it was read
        with: otherwise a late transaction could leave a record that no leader knows of.
        """
        if self._keys.unconfirmed:
            return self._keys.unconfirmed.pop()
        self._keys_created += 1
        return f"{PLACED}{self._cluster.token}/{self._keys_created}"

    def _unwritten_chunks(self) -> Iterator[PlacementChunk]:
        """Yield the attempts that no record names, in chunks that fit into a value each."""
        chunk = self._new_chunk()
        for attempt in self._cluster.unwritten:
            if not chunk.add(attempt):
                yield chunk
                chunk = self._new_chunk()
                chunk.add(attempt)
        if chunk.attempts:
            yield chunk

    def _new_chunk(self) -> PlacementChunk:
        value_bytes = self._context.limits.guaranteed.value_bytes
        return PlacementChunk(self._cluster, value_bytes - VALUE_OVERHEAD)
