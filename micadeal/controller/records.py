"""What the leader has to write down, in batches, with the order of urgency.  No I/O.

Every change depends on the version last known of its key.  A transaction whose answer was lost may
be applied minutes later: it then finds a newer version and changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import seconds, wall
from micadeal.controller.cluster import Cluster
from micadeal.fleet.model import Machine
from micadeal.jobs.model import Job
from micadeal.state.service import Limits, Urgency
from micadeal.wire.state import (
    Condition,
    Drop,
    EndRecord,
    FinishedRecord,
    PlacedTask,
    Put,
)
from micadeal.wire.users import Status

#: Records that only list too much are written when they have been so for this long.
LAZY = seconds(4)


@dataclass(frozen=True, slots=True)
class Changes:
    operations: tuple[Put | Drop, ...]
    conditions: tuple[Condition, ...]
    urgency: Urgency
    machines: tuple[tuple[str, frozenset[PlacedTask]], ...] = ()
    #: (job, finished tasks of it that the batch writes, chunk)
    finished: tuple[tuple[str, frozenset[int], int], ...] = ()
    #: The job that this batch ends.
    ends: str | None = None


class Recorder:
    """Chooses what to write next; one batch of records and a few job ends are under way at once."""

    def __init__(self, cluster: Cluster, limits: Limits) -> None:
        self._cluster = cluster
        self._limits = limits
        self.versions: dict[str, int] = {}
        self._drops: set[str] = set()
        self._busy = False
        self._ending: set[str] = set()
        self._stale_since: dict[str, timedelta] = {}

    def drop(self, key: str) -> None:
        self._drops.add(key)

    def next(self, now: timedelta) -> list[Changes]:
        batches = self._ends()
        if not self._busy:
            batch = self._batch(now)
            if batch is not None:
                self._busy = True
                batches.append(batch)
        return batches

    # -- ends of jobs ----------------------------------------------------------------------

    def _ends(self) -> list[Changes]:
        batches: list[Changes] = []
        for job_id in list(self._cluster.finished_dirty):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.over:
                self._cluster.finished_dirty.discard(job_id)
            elif job.complete and job_id not in self._ending and len(self._ending) < 4:
                self._ending.add(job_id)
                batches.append(self._end(job))
        return batches

    def _end(self, job: Job) -> Changes:
        end = EndRecord.of(Status.DONE, job.spec, wall().timestamp())
        operations: list[Put | Drop] = [Put(f"end/{job.id}", end), Drop(f"job/{job.id}")]
        room = self._limits.operations - len(operations)
        for chunk in sorted(job.chunks)[:room]:
            operations.append(Drop(f"done/{job.id}/{chunk}"))
        conditions = (Condition(f"job/{job.id}", job.version), Condition(f"end/{job.id}", 0))
        return Changes(tuple(operations), conditions, Urgency.PLACEMENT, ends=job.id)

    # -- records ---------------------------------------------------------------------------

    def _batch(self, now: timedelta) -> Changes | None:
        operations: list[Put | Drop] = []
        machines: list[tuple[str, frozenset[PlacedTask]]] = []
        finished: list[tuple[str, frozenset[int], int]] = []
        # A fifth of a second's worth: the bucket refills while the batch is under way.
        most = min(self._limits.operations, max(4, int(self._limits.changes_per_s / 3)))
        urgency = Urgency.REST
        for machine in self._cluster.machines.values():
            if len(operations) >= most:
                break
            if any(not attempt.durable for attempt in machine.attempts.values()):
                urgency = Urgency.PLACEMENT
                self._add_machine(machine, operations, machines)
        for job_id in list(self._cluster.finished_dirty):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.over or job.complete:
                continue
            chunks = self._cluster.chunks_to_write(job)
            if not chunks:
                self._cluster.finished_dirty.discard(job_id)
            for chunk in sorted(chunks):
                if len(operations) >= most:
                    break
                urgency = Urgency.PLACEMENT
                bits = job.chunk_bits(chunk)
                operations.append(Put(f"done/{job.id}/{chunk}", FinishedRecord(bits)))
                job.chunks.add(chunk)
                finished.append((job.id, frozenset(job.finished), chunk))
        if not operations:
            self._lazy(now, operations, machines, most)
        if not operations:
            return None
        conditions = tuple(
            Condition(key, self.versions.get(key, 0)) for key in map(_key, operations)
        )
        return Changes(tuple(operations), conditions, urgency, tuple(machines), tuple(finished))

    def _add_machine(
        self,
        machine: Machine,
        operations: list[Put | Drop],
        machines: list[tuple[str, frozenset[PlacedTask]]],
    ) -> None:
        wanted = machine.wanted_record()
        key = f"machine/{machine.name}"
        if wanted:
            operations.append(Put(key, self._cluster.record(machine)))
        else:
            operations.append(Drop(key))
        machines.append((machine.name, wanted))
        self._stale_since.pop(machine.name, None)

    def _lazy(
        self,
        now: timedelta,
        operations: list[Put | Drop],
        machines: list[tuple[str, frozenset[PlacedTask]]],
        most: int,
    ) -> None:
        """Records that list what is gone: a new leader would only find out by asking."""
        for machine in self._cluster.machines.values():
            if machine.recorded is None or machine.recorded == machine.wanted_record():
                self._stale_since.pop(machine.name, None)
                continue
            since = self._stale_since.setdefault(machine.name, now)
            if now - since >= LAZY and len(operations) < most:
                self._add_machine(machine, operations, machines)
        for key in list(self.versions):
            name = key.removeprefix("machine/")
            if key.startswith("machine/") and self.versions[key] and name in self._cluster.gone:
                self._drops.add(key)
        for key in list(self._drops):
            if len(operations) >= most:
                break
            if self.versions.get(key, 0):
                operations.append(Drop(key))
            else:
                self._drops.discard(key)

    # -- outcomes --------------------------------------------------------------------------

    def committed(self, changes: Changes, revision: int, now: timedelta) -> None:
        for operation in changes.operations:
            key = _key(operation)
            if isinstance(operation, Put):
                self.versions[key] = revision
            else:
                self.versions.pop(key, None)
                self._drops.discard(key)
        if changes.ends is not None:
            self._ending.discard(changes.ends)
            self.versions.pop(f"end/{changes.ends}", None)
            self._cluster.finished_dirty.discard(changes.ends)
            self._cluster.job_done(changes.ends, now)
            return
        self._busy = False
        for name, tasks in changes.machines:
            machine = self._cluster.machines.get(name)
            if machine is not None:
                self._cluster.recorded(machine, tasks)
        for job_id, indexes, chunk in changes.finished:
            job = self._cluster.jobs.get(job_id)
            if job is not None:
                job.mark_durable(indexes, chunk)

    def failed(self, changes: Changes, versions: dict[str, int], now: timedelta) -> None:
        """Not executed, or unknown: the versions say what the service holds now."""
        if changes.ends is not None:
            # If the job is gone from the service it is over, one way or the other; the watch
            # of jobs tells the cluster.
            self._ending.discard(changes.ends)
            job = self._cluster.jobs.get(changes.ends)
            if job is not None and versions.get(f"end/{changes.ends}", 0):
                self._cluster.job_done(changes.ends, now)
            return
        self._busy = False
        for key, version in versions.items():
            if version:
                self.versions[key] = version
            else:
                self.versions.pop(key, None)


def _key(operation: Put | Drop) -> str:
    return operation.key
