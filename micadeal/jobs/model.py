"""The leader's model of a job: its submission, task attempts and finished tasks."""

from __future__ import annotations

import base64
import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Attempt
from micadeal.sharing.order import RANK
from micadeal.wire.users import Priority, Shape, Submission

#: Tasks per chunk of the finished set under ``done/``: 3000 bytes, 4000 as base64.
TASKS_PER_CHUNK = 24_000
#: Tasks per chunk under ``finished/``, used if a ``done/`` chunk is too large for the state
#: service: 500 bytes, 668 as base64.
TASKS_PER_SMALL_CHUNK = 4_000
#: Upper bound of deadlines and estimates, so that their sums stay within ``timedelta``.
MAX_DURATION_S = 1e9
#: Once a job has failed on this many machines, the job is suspected rather than the machines.
SUSPECT_MACHINES = 2


@dataclass(slots=True, eq=False)
class Job:
    """One job and the state of its tasks.

    Only the leader's actor, which owns it, changes it.  All instants are on this process's
    monotonic clock.  A task is identified by its index, from 0 to ``spec.tasks - 1``.
    """

    #: The submission as the user sent it; it never changes.
    spec: Submission
    #: Instant of submission; negative if the job is older than this process.
    submitted_at: timedelta
    #: Version of the job's record in the state service, for compare-and-swap.
    version: int
    #: Tasks that ended successfully, as far as the leader knows.
    finished: set[int] = field(default_factory=set)
    #: Finished tasks that are known to be stored in the state service.
    recorded_finished: set[int] = field(default_factory=set)
    #: Keys of the chunks of the finished set that are, or may be, stored in the state service.
    record_keys: set[str] = field(default_factory=set)
    #: Attempts that may be on a machine, by task, whether the task is finished or not.
    attempts: dict[int, list[Attempt]] = field(default_factory=dict)
    #: The state service no longer lists the job: none of its tasks may be started any more.
    ended: bool = False
    #: Errors of this job since the last success of one of its tasks, by machine.
    errors: Counter[str] = field(default_factory=Counter)
    #: After an error, no task of the job is placed before this instant.
    retry_at: timedelta = timedelta.min
    #: When a task of the job last ended successfully.
    last_progress: timedelta = ZERO
    #: Since when the job has declined machines without its image (delay scheduling); None if its
    #: last start was on a machine that holds it.
    delayed_since: timedelta | None = None
    #: Why tasks were not placed in the last scheduling cycle: number of tasks by reason.
    reasons: Counter[str] = field(default_factory=Counter)
    #: Ids of the prerequisites that are not recorded done (``jobs/dependencies.py``).
    unfinished_prerequisites: set[str] = field(default_factory=set)
    #: A prerequisite was cancelled: the end of this job is about to be recorded.
    cancelled_by_dependency: bool = False
    #: Start of the waiting time: the submission, or the end of the last prerequisite.
    ready_at: timedelta = field(init=False)
    #: Best (lowest) priority rank of the job itself and its dependents.
    rank: int = field(init=False)
    #: Id of the dependent whose rank the job has inherited; None if the rank is its own.
    rank_inherited_from: str | None = None
    #: Latest finish, by the job's own deadline and the latest starts of its dependents; None if
    #: there is no deadline among them.
    latest: timedelta | None = field(init=False)
    #: All tasks below this index have had an attempt or are finished.
    _next_new_index: int = 0
    #: Heap of tasks that have lost all their attempts; entries may be stale.
    _returned_indexes: list[int] = field(default_factory=list)
    #: Number of finished tasks that still have attempts.  ``add``, ``remove`` and ``finish`` keep
    #: it up to date, since every scheduling cycle reads it.
    _finished_with_attempts: int = 0

    def __post_init__(self) -> None:
        self.ready_at, self.rank, self.latest = self.submitted_at, self.own_rank, self.own_latest

    @property
    def id(self) -> str:
        """Job id, as chosen by the user."""
        return self.spec.job_id

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must run at the same time."""
        return self.spec.shape is Shape.GANG

    @property
    def is_service(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return self.spec.shape is Shape.SERVICE

    @property
    def production(self) -> bool:
        """Whether the job counts as production, by its own rank or an inherited one."""
        return self.rank == RANK[Priority.PRODUCTION]

    @property
    def own_rank(self) -> int:
        """Rank of the submission's priority."""
        return RANK[self.spec.priority]

    @property
    def own_latest(self) -> timedelta | None:
        """Instant of the submission's deadline; None if it has none."""
        deadline = self.spec.deadline_s
        return (
            None if deadline is None else self.submitted_at + seconds(min(deadline, MAX_DURATION_S))
        )

    @property
    def latest_start(self) -> timedelta | None:
        """Latest start with which the job finishes by ``latest``, by the user's estimate."""
        if self.latest is None:
            return None
        return self.latest - seconds(min(self.spec.estimate_s, MAX_DURATION_S))

    @property
    def blocked(self) -> bool:
        """Whether no task may start, because a prerequisite is not recorded done."""
        return bool(self.unfinished_prerequisites) or self.cancelled_by_dependency

    @property
    def order(self) -> tuple[int, timedelta, str]:
        """Sort key within a team: rank, then age.

        Age counts from when the job became ready, or from its latest start if that is earlier, so
        that the job and its dependents meet their deadlines.  The id makes the order total.
        """
        start = self.latest_start
        since = self.ready_at if start is None else min(self.ready_at, start)
        return (self.rank, since, self.spec.job_id)

    @property
    def resource(self) -> str:
        """Resource in which the job's usage is accounted: ``"gpus"`` or ``"cpus"``."""
        return "gpus" if self.spec.gpus > 0 else "cpus"

    @property
    def units(self) -> float:
        """Amount of ``resource`` that one task uses."""
        return self.spec.gpus if self.spec.gpus > 0 else self.spec.cpus

    @property
    def save_time(self) -> timedelta:
        """Time that a task needs to save a checkpoint when it is stopped."""
        return seconds(self.spec.save_s)

    @property
    def can_save(self) -> bool:
        """Whether tasks write checkpoints."""
        return self.spec.checkpoint_s > 0

    @property
    def not_started(self) -> bool:
        """Whether no task is finished or on a machine."""
        return not self.attempts and not self.finished

    @property
    def suspected_faulty(self) -> bool:
        """Whether the job failed on several machines with no success since.

        Most likely the fault is its own, and its errors are no evidence against the machines.
        """
        return len(self.errors) >= SUSPECT_MACHINES

    def runs_on_other_machine(self, machine: str, since: timedelta) -> bool:
        """Tell whether a task has been running on another machine since ``since`` or earlier."""
        return any(
            attempt.machine != machine
            and attempt.running_since is not None
            and attempt.running_since <= since
            for attempt in self.all_attempts()
        )

    def waiting_count(self) -> int:
        """Count tasks that wait to be placed; none while the job is blocked."""
        return 0 if self.ended or self.blocked else self.unassigned_count()

    def unassigned_count(self) -> int:
        """Count tasks that are neither finished nor possibly on a machine."""
        return (
            self.spec.tasks - len(self.finished) - len(self.attempts) + self._finished_with_attempts
        )

    def running_count(self) -> int:
        """Count tasks with a running attempt."""
        return sum(
            1 for attempts in self.attempts.values() if any(attempt.running for attempt in attempts)
        )

    @property
    def may_start(self) -> bool:
        """Whether a placed task may still start.

        Its start command may be in flight, its image fetch may be in progress, or no heartbeat has
        reported it yet.
        """
        return any(attempt.may_still_start for attempt in self.all_attempts())

    def all_attempts(self) -> Iterator[Attempt]:
        """Iterate over all attempts that may be on a machine."""
        for attempts in self.attempts.values():
            yield from attempts

    def next_waiting(self) -> int | None:
        """Return the next waiting task, None if there is none.

        Tasks that lost their attempts come before tasks that never had one, and lower indexes
        first.  The task remains next until an attempt of it is added.
        """
        if self.blocked:
            return None
        while self._returned_indexes and not self._is_waiting(self._returned_indexes[0]):
            heapq.heappop(self._returned_indexes)
        if self._returned_indexes:
            return self._returned_indexes[0]
        while self._next_new_index < self.spec.tasks and not self._is_waiting(self._next_new_index):
            self._next_new_index += 1
        return self._next_new_index if self._next_new_index < self.spec.tasks else None

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that may be on a machine from now on."""
        attempts = self.attempts.get(attempt.index)
        if attempts is None:
            attempts = self.attempts[attempt.index] = []
            self._finished_with_attempts += attempt.index in self.finished
        attempts.append(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that is no longer on a machine.

        If it was the last one of its task, the task waits again unless it is finished.
        """
        others = [other for other in self.attempts.get(attempt.index, ()) if other is not attempt]
        if others:
            self.attempts[attempt.index] = others
            return
        if self.attempts.pop(attempt.index, None) is None:
            return
        if attempt.index in self.finished:
            self._finished_with_attempts -= 1
        else:
            heapq.heappush(self._returned_indexes, attempt.index)

    def finish(self, index: int) -> None:
        """Record that a task ended successfully; idempotent."""
        if index not in self.finished:
            self.finished.add(index)
            self._finished_with_attempts += index in self.attempts

    @property
    def complete(self) -> bool:
        """Whether all tasks are finished; a service never is."""
        return not self.is_service and len(self.finished) >= self.spec.tasks

    def finished_in_chunk(self, start: int, size: int) -> frozenset[int]:
        """Return the finished tasks in the chunk of ``size`` tasks that begins with ``start``."""
        return frozenset(index for index in self.finished if start <= index < start + size)

    def _is_waiting(self, index: int) -> bool:
        return index not in self.finished and index not in self.attempts

    def load_finished_chunk(self, start: int, text: str) -> None:
        """Load a stored chunk of the finished set that begins with task ``start``.

        ``text`` is in the format of ``encode_bit_set``.  Bits beyond the last task are ignored.
        """
        for byte_index, byte in enumerate(base64.b64decode(text)):
            for bit in range(8):
                index = start + byte_index * 8 + bit
                if byte >> bit & 1 and index < self.spec.tasks:
                    self.finish(index)
                    self.recorded_finished.add(index)


def encode_bit_set(indexes: Iterable[int], start: int) -> str:
    """Encode task indexes as a bit set in base64.

    Bit 0 of the first byte stands for task ``start``; no index may be below ``start``.
    """
    bits = bytearray()
    for index in indexes:
        # Chunks are large: divmod would take one and a half times as long as shift and mask.
        byte_index = (index - start) >> 3
        if byte_index >= len(bits):
            bits.extend(bytes(byte_index + 1 - len(bits)))
        bits[byte_index] |= 1 << ((index - start) & 7)
    return base64.b64encode(bits).decode()
