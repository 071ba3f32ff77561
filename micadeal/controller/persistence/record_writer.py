"""What the leader has to write down, in batches, with the order of urgency.  No I/O.

Every change depends on the version last known of its key.  A transaction whose answer was lost may
be applied minutes later: it then finds a newer version and changes nothing.

The state service limits keys written, not bytes.  So what a step places goes into one record under
a new key, however many machines it is on.  A record is never changed: it is dropped when nothing
that it names is left, or in the transaction that names the rest of it elsewhere.
"""

from __future__ import annotations

import logging
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import seconds, utc_now
from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.model import CHUNK, SMALL_CHUNK, Job, to_bits
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.rollout.migration import MigrationBacklog
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.schema.decoding import VersionedRecord
from micadeal.schema.keys import (
    DONE,
    ENDS,
    FINISHED,
    IMAGES,
    JOBS,
    LEAVING,
    OLD_PLACED,
    PLACED,
    job_of,
)
from micadeal.state.limits import Limits
from micadeal.state.service import Urgency
from micadeal.wire.codec import MessageFormatError, convert
from micadeal.wire.state import (
    Condition,
    Drop,
    EndRecord,
    FinishedRecord,
    ImagesRecord,
    Item,
    LeavingRecord,
    LevelRecord,
    PlacedMachine,
    PlacedRecord,
    Put,
)
from micadeal.wire.users import Status

log = logging.getLogger(__name__)

#: A record that names what is gone is rewritten when it has been so for this long.
LAZY = seconds(4)
#: One that still names more than this is rewritten later: that costs the same and spares less.
FEW = 8
#: Finished tasks of a job are gathered for this long before its set is written.
GATHER = seconds(1)
#: Records of placements in one transaction: it may hold 64 KiB, each value some of that.
MOST_PLACED = 4
#: Bytes of finished sets in one transaction, for the same reason: a larger one is refused for ever.
MOST_BITS = 32_000
#: Pages of the images that machines hold, how often one is written at most, images per machine.
IMAGE_PAGES = 48
IMAGES_EVERY = seconds(20)
MOST_IMAGES = 12
#: So many machines with tasks that are returned at once are written down for the next leader, and
#: for how long: then records name what is left of them no more.
MANY_LEAVING = 3
LEAVING_TIME = seconds(40)
#: A record of another layout is rewritten no more often than this.
REWRITE_EVERY = seconds(0.5)
#: Ends of jobs under way at once.
MOST_ENDING = 4


@dataclass(frozen=True, slots=True)
class WriteBatch:
    operations: tuple[Put | Drop, ...]
    conditions: tuple[Condition, ...]
    urgency: Urgency
    #: Records of placements in this batch, and what each names.
    placed: tuple[tuple[str, tuple[Attempt, ...]], ...] = ()
    #: (job, finished tasks of it that the batch writes)
    finished: tuple[tuple[str, frozenset[int]], ...] = ()
    #: The job that this batch ends, and how.
    ends: tuple[str, EndRecord] | None = None
    #: It holds a value that fits the service's present limits only, not those announced.
    daring: bool = False


@dataclass(slots=True)
class _Chunk:
    """Attempts that go into one value; sizes are counted from above."""

    most: int
    attempts: list[Attempt] = field(default_factory=list)
    _names: set[str] = field(default_factory=set)
    _size: int = 0

    def takes(self, attempt: Attempt, machine: Machine) -> bool:
        """Add one more, if there is room for it; the first one always goes in."""
        size = _json_size(attempt.job_id) + 36
        if machine.name not in self._names:
            size += 70 + sum(
                map(_json_size, (machine.name, machine.address, machine.machine_type, machine.zone))
            )
        if self.attempts and self._size + size > self.most:
            return False
        self.attempts.append(attempt)
        self._names.add(machine.name)
        self._size += size
        return True

    def takes_all(self, more: Iterable[tuple[Attempt, Machine]]) -> bool:
        """Add all of them or none."""
        count, names, size = len(self.attempts), set(self._names), self._size
        for attempt, machine in more:
            if not self.takes(attempt, machine):
                del self.attempts[count:]
                self._names, self._size = names, size
                return False
        return True


class RecordWriter:
    """Chooses what to write next.

    Under way at once are one batch of placements, one of what can wait, and a few job ends: a
    batch that waits for the rate limit must not hold up placements.

    ``limits`` are those kept to.  What earlier versions could read only as a value that is larger
    is written so as long as the service takes it, that is within ``present``.
    """

    def __init__(
        self,
        cluster: ClusterState,
        limits: Limits,
        present: Limits | None = None,
        level: LevelRecord | None = None,
    ) -> None:
        """``level``: which layouts are written, and whether later ones are written back."""
        self._cluster = cluster
        self._limits = limits
        self._present = present or limits
        self.versions: dict[str, int] = {}
        self._drops: set[str] = set()
        self._placing = False
        self._lazying = False
        self._ending: set[str] = set()
        self._number = 0
        self._unsure: list[str] = []
        #: Keys under which a transaction of this term may still be carried out.
        self._doubtful: set[str] = set()
        self._gathering: dict[str, timedelta] = {}
        self._lazy_due = timedelta(0)
        self._pages: dict[str, tuple[ImagesRecord, timedelta]] = {}
        #: Records of machines that are returned, and since when; all names in them.
        self._leaving: dict[str, timedelta] = {}
        self._left: set[str] = set()
        self._level = level or LevelRecord()
        #: Parts of finished sets that this term has written since the level last moved.
        self._carried: set[str] = set()
        self._rewrite_due = timedelta(0)

    @property
    def _writes(self) -> int:
        return self._level.writes

    def feature_level_changed(self, level: LevelRecord) -> None:
        if level.writes != self._writes:
            self._carried.clear()
        self._level = level

    @property
    def busy(self) -> bool:
        """Whether anything of what has happened is not written yet."""
        waiting = self._cluster.unwritten or self._cluster.finished_dirty
        return bool(waiting or self._placing or self._lazying or self._ending)

    def migration_backlog(self) -> MigrationBacklog:
        """Records in layouts other than those written now, as far as the next step needs them."""
        if self._level.level == self._level.oldest:
            return MigrationBacklog()
        keys = [key for key in self.versions if key.startswith((DONE, FINISHED, OLD_PLACED))]
        small = sum(key.startswith(FINISHED) for key in keys)
        if self._writes >= FeatureLevel.FENCED:
            return MigrationBacklog(older=len(keys) - small)
        stuck = sum(not self._pieces(key) for key in keys if key.startswith(FINISHED))
        return MigrationBacklog(newer=small, stuck=stuck)

    def drop(self, key: str) -> None:
        self._drops.add(key)

    def load_images(self, key: str, record: ImagesRecord, now: timedelta) -> None:
        self._pages[key] = (record, now)

    def load_leaving(self, found: VersionedRecord[LeavingRecord], now: timedelta) -> list[str]:
        """Machines that an earlier leader was about to return, if that was a moment ago."""
        self.versions[found.key] = found.version
        self._leaving[found.key] = now
        record = found.record
        if record is None or utc_now().timestamp() - record.at >= LEAVING_TIME.total_seconds():
            return []
        return record.machines

    def next(self, now: timedelta) -> list[WriteBatch]:
        batches = self._ends()
        if not self._placing and self._cluster.unwritten:
            self._placing = True
            batches.append(self._placements())
        if not self._lazying and now >= self._lazy_due:
            self._lazy_due = now + seconds(0.25)
            batch = self._lazy(now)
            if batch is not None:
                self._lazying = True
                batches.append(batch)
        return batches

    def refused(self, changes: WriteBatch) -> None:
        """The service called the batch too large.  The same is never asked again."""
        if changes.daring:
            self._present = self._limits
        else:
            self._limits = self._present = self._limits.shrunk()
        log.warning("a batch is too large for the state service, smaller ones from now on")

    # -- ends of jobs ----------------------------------------------------------------------

    def _ends(self) -> list[WriteBatch]:
        """Ends of jobs: first those that follow from a cancellation, then what others wait for."""
        dependencies = self._cluster.dependencies
        batches: list[WriteBatch] = []
        for job in dependencies.cancelled_by_dependency.values():
            if len(self._ending) >= MOST_ENDING:
                return batches
            if job.id not in self._ending:
                batches.append(self._end(job, Status.CANCELLED))
        complete: list[Job] = []
        for job_id in list(self._cluster.finished_dirty):
            found = self._cluster.jobs.get(job_id)
            if found is None or found.over:
                self._cluster.finished_dirty.discard(job_id)
            elif found.complete and job_id not in self._ending:
                complete.append(found)
        complete.sort(key=lambda job: not dependencies.needed(job.id))
        for job in complete[: MOST_ENDING - len(self._ending)]:
            batches.append(self._end(job, Status.DONE))
        return batches

    def _end(self, job: Job, status: Status) -> WriteBatch:
        self._ending.add(job.id)
        end = EndRecord.of(status, job.spec, utc_now().timestamp())
        operations: list[Put | Drop] = [Put(f"{ENDS}{job.id}", end), Drop(f"{JOBS}{job.id}")]
        capacity = self._limits.operations - len(operations)
        operations += [Drop(key) for key in sorted(job.record_keys)[:capacity]]
        conditions = (Condition(f"{JOBS}{job.id}", job.version), Condition(f"{ENDS}{job.id}", 0))
        return WriteBatch(tuple(operations), conditions, Urgency.END, ends=(job.id, end))

    # -- placements ------------------------------------------------------------------------

    def _new_key(self) -> str:
        """A key for a record of placements.

        One whose writing had an unknown outcome is used again first, under the version it was
        found with: otherwise a late transaction could leave a record that nobody knows of.
        """
        if self._unsure:
            return self._unsure.pop()
        self._number += 1
        return f"{PLACED}{self._cluster.token}/{self._number}"

    def _placements(self) -> WriteBatch:
        placed: list[tuple[str, tuple[Attempt, ...]]] = []
        most = min(MOST_PLACED, self._limits.operations)
        for chunk in self._chunks(self._cluster.unwritten):
            placed.append((self._new_key(), chunk))
            if len(placed) >= most:
                break
        operations = tuple(Put(key, self._record(chunk)) for key, chunk in placed)
        return WriteBatch(
            operations, self._conditions(operations), Urgency.PLACEMENT, tuple(placed)
        )

    def _chunks(self, attempts: Iterable[Attempt]) -> Iterator[tuple[Attempt, ...]]:
        """Attempts in parts that fit into a value each."""
        chunk = self._new_chunk()
        for attempt in attempts:
            machine = self._cluster.machines[attempt.machine]
            if not chunk.takes(attempt, machine):
                yield tuple(chunk.attempts)
                chunk = self._new_chunk()
                chunk.takes(attempt, machine)
        if chunk.attempts:
            yield tuple(chunk.attempts)

    def _new_chunk(self) -> _Chunk:
        return _Chunk(self._limits.value_bytes - 64)

    def _record(self, attempts: Iterable[Attempt]) -> PlacedRecord:
        entries: dict[str, PlacedMachine] = {}
        for attempt in attempts:
            entry = entries.get(attempt.machine)
            if entry is None:
                machine = self._cluster.machines[attempt.machine]
                entry = entries[attempt.machine] = PlacedMachine(
                    machine.name,
                    machine.address,
                    machine.machine_type,
                    machine.zone,
                    machine.spot,
                    machine.incarnation,
                    [],
                )
            entry.tasks.append(attempt.placed_task)
        return PlacedRecord(list(entries.values()))

    def _conditions(self, operations: Iterable[Put | Drop]) -> tuple[Condition, ...]:
        return tuple(
            Condition(operation.key, self.versions.get(operation.key, 0))
            for operation in operations
        )

    # -- what can wait ---------------------------------------------------------------------

    def _lazy(self, now: timedelta) -> WriteBatch | None:
        operations: list[Put | Drop] = []
        finished: list[tuple[str, frozenset[int]]] = []
        placed: list[tuple[str, tuple[Attempt, ...]]] = []
        # A third of a second's worth: the bucket refills while the batch is under way.
        most = min(self._limits.operations, max(4, int(self._limits.changes_per_s / 3)))
        self._returns(now, operations)
        daring = self._finished(now, operations, finished, most)
        if len(operations) + 2 <= most:
            self._merge(now, operations, placed, most)
        for key in list(self._drops):
            if len(operations) >= most:
                break
            if self.versions.get(key, 0):
                operations.append(Drop(key))
            else:
                self._drops.discard(key)
        if not operations:
            daring = self._rewrite(now, operations, finished, most)
        if not operations:
            self._images(now, operations)
        if not operations:
            return None
        return WriteBatch(
            tuple(operations),
            self._conditions(operations),
            Urgency.REST,
            tuple(placed),
            tuple(finished),
            daring=daring,
        )

    def _returns(self, now: timedelta, operations: list[Put | Drop]) -> None:
        """Machines with tasks that are being returned, many at once.

        Without it the next leader, if this one is gone before the records of their tasks are
        rewritten, waits a lease for machines that no longer exist.
        """
        names = [
            name
            for name, machine in self._cluster.machines.items()
            if machine.release_requested is not None and machine.attempts and name not in self._left
        ]
        if len(names) >= MANY_LEAVING:
            capacity = self._limits.value_bytes - 64
            while names and sum(map(_json_size, names)) > capacity:
                names.pop()
            self._left.update(names)
            key = f"{LEAVING}{self._cluster.token}/{len(self._left)}"
            self._leaving[key] = now
            operations.append(Put(key, LeavingRecord(utc_now().timestamp(), names)))
        for key, since in list(self._leaving.items()):
            if now - since > LEAVING_TIME:
                del self._leaving[key]
                self._drops.add(key)

    def _finished(
        self,
        now: timedelta,
        operations: list[Put | Drop],
        finished: list[tuple[str, frozenset[int]]],
        most: int,
    ) -> bool:
        """Parts of finished sets; whether one of them fits the service's present limits only."""
        size = 0
        daring = False
        for job_id in list(self._cluster.finished_dirty):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.over or job.complete:
                self._gathering.pop(job_id, None)
                continue
            if now - self._gathering.setdefault(job_id, now) < GATHER:
                continue
            if not job.finished - job.durable:
                self._cluster.finished_dirty.discard(job_id)
                del self._gathering[job_id]
                continue
            for key, indexes, record in self._parts(job):
                size += len(record.bits)
                if len(operations) >= most or size > MOST_BITS:
                    return daring
                operations.append(Put(key, record))
                daring = daring or not self._limits.fits(record)
                job.record_keys.add(key)
                finished.append((job.id, indexes))
            self._gathering[job_id] = now
        return daring

    def _parts(self, job: Job) -> Iterator[tuple[str, frozenset[int], FinishedRecord]]:
        """What must be written of a finished set: in the chunks that all versions read, and in
        smaller ones where such a chunk would be too large."""
        fresh = job.finished - job.durable
        for chunk in sorted({index // CHUNK for index in fresh}):
            indexes = job.with_timeout(chunk * CHUNK, CHUNK)
            record = FinishedRecord(to_bits(indexes, chunk * CHUNK))
            if self._writes < FeatureLevel.FENCED and self._present.fits(record):
                yield f"{DONE}{job.id}/{chunk}", indexes, record
                continue
            for small in sorted({index // SMALL_CHUNK for index in fresh & indexes}):
                indexes = job.with_timeout(small * SMALL_CHUNK, SMALL_CHUNK)
                record = FinishedRecord(to_bits(indexes, small * SMALL_CHUNK))
                yield f"{FINISHED}{job.id}/{small}", indexes, record

    def _pieces(self, key: str) -> list[tuple[str, frozenset[int], FinishedRecord]]:
        """What a part of a finished set in another layout becomes in the one written now; nothing
        if its job is over, or if it fits no value."""
        prefix, job_id, chunk = key.split("/")
        job = self._cluster.jobs.get(job_id)
        if job is None or job.over or not chunk.isdigit():
            return []
        if prefix + "/" == DONE:
            start, size, into, target = int(chunk) * CHUNK, CHUNK, SMALL_CHUNK, FINISHED
        else:
            start, size, into, target = int(chunk) * SMALL_CHUNK, SMALL_CHUNK, CHUNK, DONE
        found = []
        for number in sorted({index // into for index in job.with_timeout(start, size)}):
            indexes = job.with_timeout(number * into, into)
            record = FinishedRecord(to_bits(indexes, number * into))
            if not self._present.fits(record):
                return []
            found.append((f"{target}{job_id}/{number}", indexes, record))
        return found

    def _rewrite(
        self,
        now: timedelta,
        operations: list[Put | Drop],
        finished: list[tuple[str, frozenset[int]]],
        most: int,
    ) -> bool:
        """One record of another layout, when nothing else is to be written; whether a value fits
        the service's present limits only.

        All that it holds is written in the present layout first, and it is dropped after: whoever
        reads in between finds both, which say the same.  The next leader finds what is left.
        """
        if now < self._rewrite_due:
            return False
        self._rewrite_due = now + REWRITE_EVERY
        if self._writes >= FeatureLevel.FENCED:
            for key in self._cluster.records:
                if key.startswith(OLD_PLACED):
                    # As if something of it were gone: it is merged into a shared record.
                    self._cluster.shrunk.setdefault(key, now)
        elif self._level.level == self._writes:
            # Small parts are there where a value of the first layout was too large.
            return False
        old = DONE if self._writes >= FeatureLevel.FENCED else FINISHED
        daring = False
        for key in [key for key in self.versions if key.startswith(old)]:
            pieces = self._pieces(key)
            missing = [piece for piece in pieces if piece[0] not in self._carried]
            for target, indexes, record in missing[: most - 1]:
                operations.append(Put(target, record))
                job_id = job_of(target)
                self._cluster.jobs[job_id].record_keys.add(target)
                finished.append((job_id, indexes))
                daring = daring or not self._limits.fits(record)
            if pieces and not missing:
                operations.append(Drop(key))
            if operations:
                return daring
        return daring

    def _merge(
        self,
        now: timedelta,
        operations: list[Put | Drop],
        placed: list[tuple[str, tuple[Attempt, ...]]],
        most: int,
    ) -> None:
        """Drop records of which nothing is left; what is left of others goes into one record.

        Otherwise a new leader would have to ask for what is long gone.
        """
        records = self._cluster.records
        rest = self._new_chunk()
        for key, since in list(self._cluster.shrunk.items()):
            if len(operations) + 2 > most:
                break
            left = records[key]
            if now - since < (LAZY if len(left) <= FEW else LAZY * 3):
                continue
            if not rest.takes_all((a, self._cluster.machines[a.machine]) for a in left):
                if not rest.attempts:
                    # It fills a value by itself: written anew it would be no shorter.
                    continue
                break
            operations.append(self._end_of(key))
        if rest.attempts:
            key = self._new_key()
            operations.append(Put(key, self._record(rest.attempts)))
            placed.append((key, tuple(rest.attempts)))

    def _end_of(self, key: str) -> Put | Drop:
        """What ends a record of placements.

        Guards a team's limit, and the wait of a lease, under the next leader: a key that was used
        twice is emptied instead of dropped, since the earlier transaction depends on its absence
        and would leave a record that we don't know of.  The next leader drops it.
        """
        return Put(key, PlacedRecord([])) if key in self._doubtful else Drop(key)

    def _images(self, now: timedelta, operations: list[Put | Drop]) -> None:
        """One page of the images on machines, if one is due and has changed."""
        pages: list[dict[str, list[str]]] = [{} for _ in range(IMAGE_PAGES)]
        for number in range(IMAGE_PAGES):
            key = f"{IMAGES}{number}"
            last = self._pages.get(key)
            if last is not None and now - last[1] < IMAGES_EVERY:
                continue
            if not any(pages):
                for machine in self._cluster.machines.values():
                    if machine.images:
                        latest = sorted(
                            machine.images, key=lambda name: machine.images[name], reverse=True
                        )
                        page = zlib.crc32(machine.name.encode()) % IMAGE_PAGES
                        pages[page][machine.name] = latest[:MOST_IMAGES]
            size, kept = 32, dict[str, list[str]]()
            for name, images in pages[number].items():
                size += _json_size(name) + sum(map(_json_size, images)) + 4
                if size > self._limits.value_bytes:
                    break
                kept[name] = images
            record = ImagesRecord(kept)
            # The order of use changes all the time and is not worth a change of its own.
            unchanged = last is not None and _as_sets(last[0]) == _as_sets(record)
            self._pages[key] = (record, now)
            if not unchanged and (kept or self.versions.get(key, 0)):
                operations.append(Put(key, record))
                return

    # -- outcomes --------------------------------------------------------------------------

    def committed(self, changes: WriteBatch, revision: int, now: timedelta) -> None:
        for operation in changes.operations:
            if isinstance(operation, Put):
                self.versions[operation.key] = revision
                if operation.key.startswith((DONE, FINISHED)):
                    self._carried.add(operation.key)
        if changes.ends is not None:
            job_id, end = changes.ends
            job = self._cluster.jobs.get(job_id)
            for operation in changes.operations:
                self.versions.pop(operation.key, None)
                self._drops.discard(operation.key)
            self._ending.discard(job_id)
            self.job_over(job)
            self._cluster.job_ended(job_id, end, now)
            return
        self._settled(changes)
        # What is named anew first, then the records that named it before.
        for key, attempts in changes.placed:
            self._cluster.written(key, attempts, now)
        named = {key for key, _ in changes.placed}
        for operation in changes.operations:
            if isinstance(operation, Put):
                if operation.key.startswith(PLACED) and operation.key not in named:
                    self._cluster.record_gone(operation.key)
            else:
                self.versions.pop(operation.key, None)
                self._drops.discard(operation.key)
                self._cluster.record_gone(operation.key)
                if operation.key.startswith((DONE, FINISHED)):
                    job = self._cluster.jobs.get(job_of(operation.key))
                    if job is not None:
                        job.record_keys.discard(operation.key)
        for job_id, indexes in changes.finished:
            job = self._cluster.jobs.get(job_id)
            if job is not None and not job.over:
                job.durable |= indexes
                continue
            for operation in changes.operations:
                # The job has ended while this was under way: nothing else would drop it.
                if job_of(operation.key) == job_id:
                    self.drop(operation.key)

    def failed(self, changes: WriteBatch, found: dict[str, Item | None], now: timedelta) -> None:
        """Not executed, or unknown: ``found`` is what the service holds now."""
        if changes.ends is not None:
            # If the job is gone from the service it is over, one way or the other; the watch
            # of jobs tells the cluster.
            job_id, _ = changes.ends
            self._ending.discard(job_id)
            item = found.get(f"{ENDS}{job_id}")
            job = self._cluster.jobs.get(job_id)
            if job is not None and item is not None:
                self.job_over(job)
                try:
                    self._cluster.job_ended(job_id, convert(EndRecord, item.value), now)
                except MessageFormatError as problem:
                    log.error("unreadable record %s: %s", item.key, problem)
                    self._cluster.job_gone(job_id, now)
            return
        self._settled(changes)
        for key, item in found.items():
            if item is not None:
                self.versions[key] = item.version
            else:
                self.versions.pop(key, None)
        for key, attempts in changes.placed:
            item = found.get(key)
            if item is None:
                self._unsure.append(key)
                self._doubtful.add(key)
                continue
            # Applied after all, perhaps by an earlier transaction under the same key.
            named = {
                (entry.name, task)
                for entry in convert(PlacedRecord, item.value).machines
                for task in entry.tasks
            }
            there = [a for a in attempts if (a.machine, a.placed_task) in named]
            self._cluster.written(key, there, now)
            if len(there) < len(named):
                self._cluster.shrunk.setdefault(key, now)
        for key, item in found.items():
            if item is None and key in self._cluster.records:
                self._cluster.record_gone(key)

    def job_over(self, job: Job | None) -> None:
        """What is left of its finished set, and of its description, is to be dropped."""
        if job is not None:
            for key in job.record_keys:
                self.drop(key)

    def _settled(self, changes: WriteBatch) -> None:
        if changes.urgency is Urgency.PLACEMENT:
            self._placing = False
        else:
            self._lazying = False


def _json_size(text: str) -> int:
    """Bytes of a text in JSON and of what separates it from the next one, at most."""
    return len(text) + 4 if text.isascii() else len(text) * 12 + 4


def _as_sets(record: ImagesRecord) -> dict[str, set[str]]:
    return {name: set(images) for name, images in record.machines.items()}
