"""A job as the leader knows it."""

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
CHUNK = 24_000
#: And under ``finished/``, for where that is too large: 500 bytes, 668 as base64.
SMALL_CHUNK = 4_000


@dataclass(slots=True, eq=False)
class Job:
    """``attempts`` holds everything that may be on a machine, finished or not."""

    spec: Submission
    #: Instant of submission on this process's steady clock (before its start: negative).
    submitted: timedelta
    version: int
    finished: set[int] = field(default_factory=set)
    durable: set[int] = field(default_factory=set)
    #: Keys of the parts of the finished set that the state service holds, or may hold.
    record_keys: set[str] = field(default_factory=set)
    attempts: dict[int, list[Attempt]] = field(default_factory=dict)
    #: No longer in the state service's list of jobs: nothing of it may start any more.
    over: bool = False
    #: Errors of this job since its last success, by machine.
    errors: Counter[str] = field(default_factory=Counter)
    retry_at: timedelta = timedelta.min
    last_progress: timedelta = ZERO
    #: Since when it passes on machines without its image; None: it last started on one with it.
    passed_since: timedelta | None = None
    reasons: Counter[str] = field(default_factory=Counter)
    #: Jobs that it names and that are not recorded done (``jobs/dependencies.py``).
    needs: set[str] = field(default_factory=set)
    #: It needs a cancelled job: its own end is about to be recorded.
    cancelled_by_dependency: bool = False
    #: From when its times count: its submission, or the end of the last job that it needs.
    ready: timedelta = field(init=False)
    #: Its own priority, or the highest of the jobs that need it, and which of them has that.
    rank: int = field(init=False)
    lifted_by: str | None = None
    #: Latest sensible finish, by its own deadline and by the estimates of what follows.
    latest: timedelta | None = field(init=False)
    _fresh: int = 0
    _returned: list[int] = field(default_factory=list)
    #: Tasks that are finished and have attempts left: counted along, since passes ask often.
    _both: int = 0

    def __post_init__(self) -> None:
        self.ready, self.rank, self.latest = self.submitted, self.own_rank, self.own_latest

    @property
    def id(self) -> str:
        return self.spec.job_id

    @property
    def is_gang(self) -> bool:
        return self.spec.shape is Shape.GANG

    @property
    def is_service(self) -> bool:
        return self.spec.shape is Shape.SERVICE

    @property
    def production(self) -> bool:
        return self.rank == RANK[Priority.PRODUCTION]

    @property
    def own_rank(self) -> int:
        return RANK[self.spec.priority]

    @property
    def own_latest(self) -> timedelta | None:
        deadline = self.spec.deadline_s
        return None if deadline is None else self.submitted + seconds(min(deadline, 1e9))

    @property
    def latest_start(self) -> timedelta | None:
        if self.latest is None:
            return None
        return self.latest - seconds(min(self.spec.estimate_s, 1e9))

    @property
    def blocked(self) -> bool:
        """Nothing of it may start: a job that it needs is not recorded done."""
        return bool(self.needs) or self.cancelled_by_dependency

    @property
    def order(self) -> tuple[int, timedelta, str]:
        """In-team order by default: priority, then the time from which it could run, or should have
        run for what follows to be in time."""
        start = self.latest_start
        since = self.ready if start is None else min(self.ready, start)
        return (self.rank, since, self.spec.job_id)

    @property
    def resource(self) -> str:
        return "gpus" if self.spec.gpus > 0 else "cpus"

    @property
    def units(self) -> float:
        """Slots that one task books, in the job's resource."""
        return self.spec.gpus if self.spec.gpus > 0 else self.spec.cpus

    @property
    def save_time(self) -> timedelta:
        return seconds(self.spec.save_s)

    @property
    def can_save(self) -> bool:
        return self.spec.checkpoint_s > 0

    @property
    def unbegun(self) -> bool:
        return not self.attempts and not self.finished

    @property
    def suspect(self) -> bool:
        """It failed on several machines and has never got anywhere since: most likely its own
        mistake, which says nothing of the machines."""
        return len(self.errors) > 1

    def runs_apart(self, machine: str, since: timedelta) -> bool:
        """Whether a task of it runs on another machine, and has run there since then."""
        return any(
            a.machine != machine and a.running_since is not None and a.running_since <= since
            for a in self.all_attempts()
        )

    def waiting_count(self) -> int:
        """Tasks that wait for room; none as long as the job waits for others."""
        return 0 if self.over or self.blocked else self.left_count()

    def left_count(self) -> int:
        """Tasks that are neither finished nor may be on a machine."""
        return self.spec.tasks - len(self.finished) - len(self.attempts) + self._both

    def running_count(self) -> int:
        return sum(
            1 for attempts in self.attempts.values() if any(attempt.running for attempt in attempts)
        )

    @property
    def may_start(self) -> bool:
        """Whether a task that was placed may start yet: that may be under way, its image is being
        fetched, or nothing was heard of it."""
        return any(attempt.may_still_start for attempt in self.all_attempts())

    def all_attempts(self) -> Iterator[Attempt]:
        for attempts in self.attempts.values():
            yield from attempts

    def _waits(self, index: int) -> bool:
        return index not in self.finished and index not in self.attempts

    def next_waiting(self) -> int | None:
        """The lowest task that waits; it stays in the queue until an attempt is added."""
        if self.blocked:
            return None
        while self._returned and not self._waits(self._returned[0]):
            heapq.heappop(self._returned)
        if self._returned:
            return self._returned[0]
        while self._fresh < self.spec.tasks and not self._waits(self._fresh):
            self._fresh += 1
        return self._fresh if self._fresh < self.spec.tasks else None

    def add(self, attempt: Attempt) -> None:
        attempts = self.attempts.get(attempt.index)
        if attempts is None:
            attempts = self.attempts[attempt.index] = []
            self._both += attempt.index in self.finished
        attempts.append(attempt)

    def remove(self, attempt: Attempt) -> None:
        rest = [other for other in self.attempts.get(attempt.index, ()) if other is not attempt]
        if rest:
            self.attempts[attempt.index] = rest
            return
        if self.attempts.pop(attempt.index, None) is None:
            return
        if attempt.index in self.finished:
            self._both -= 1
        else:
            heapq.heappush(self._returned, attempt.index)

    def finish(self, index: int) -> None:
        if index not in self.finished:
            self.finished.add(index)
            self._both += index in self.attempts

    @property
    def complete(self) -> bool:
        return not self.is_service and len(self.finished) >= self.spec.tasks

    def with_timeout(self, start: int, size: int) -> frozenset[int]:
        """Finished tasks of a chunk."""
        return frozenset(index for index in self.finished if start <= index < start + size)

    def load_bits(self, start: int, text: str) -> None:
        for place, byte in enumerate(base64.b64decode(text)):
            for bit in range(8):
                index = start + place * 8 + bit
                if byte >> bit & 1 and index < self.spec.tasks:
                    self.finish(index)
                    self.durable.add(index)


def to_bits(indexes: Iterable[int], start: int) -> str:
    bits = bytearray()
    for index in indexes:
        byte = (index - start) >> 3
        if byte >= len(bits):
            bits.extend(bytes(byte + 1 - len(bits)))
        bits[byte] |= 1 << ((index - start) & 7)
    return base64.b64encode(bits).decode()
