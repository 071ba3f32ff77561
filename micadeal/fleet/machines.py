"""Machines and the attempts that may be on them, as the leader knows them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import ZERO
from micadeal.fleet.reachability import Reachability
from micadeal.wire.state import PlacedTask
from micadeal.wire.workers import TaskState

AttemptKey = tuple[str, int, int]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a task that may be on a machine."""

    job_id: str
    index: int
    number: int
    machine: str
    placed: timedelta
    #: Key of the record in the state service that names it: it may be started.
    record: str | None = None
    #: Last reported state; None: never shown by a report.
    state: TaskState | None = None
    #: (session, sequence) of the last report in whose answer its start was ordered.
    ordered: tuple[int, int] | None = None
    #: Not None: to be stopped, with this grace.
    stop: timedelta | None = None
    stop_since: timedelta | None = None
    running_since: timedelta | None = None
    #: It ran under the leader before, by that one's word.
    started: bool = False

    @property
    def may_still_start(self) -> bool:
        """Its task may start yet: it is on its machine from when it has its image."""
        return not self.started and self.state in (None, TaskState.FETCHING)

    @property
    def key(self) -> AttemptKey:
        return (self.job_id, self.index, self.number)

    @property
    def task(self) -> str:
        return f"{self.job_id}/{self.index}"

    @property
    def durable(self) -> bool:
        return self.record is not None

    @property
    def running(self) -> bool:
        return self.state is TaskState.RUNNING

    @property
    def placed_task(self) -> PlacedTask:
        return PlacedTask(self.job_id, self.index, self.number)


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """What is free on a machine, and which images it holds or fetches."""

    cpus: float
    gpus: float
    memory_gb: float
    tasks: int
    bound_tasks: int
    images: frozenset[str]
    fetching: frozenset[str]


@dataclass(slots=True, eq=False)
class Machine:
    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    #: When we first knew of it, and its age then as far as known.
    known_since: timedelta
    rented: timedelta
    incarnation: int = 0
    sequence: int = 0
    #: Receipt of its newest report.
    heard: timedelta | None = None
    #: What its messages prove about our contact with it.
    reachability: Reachability = field(default_factory=Reachability)
    #: A record of an earlier leader names it, the cloud lists it, or we rented it: it is not known
    #: from reports alone.
    confirmed: bool = True
    #: Its worker has shown our token: answers of older leaders are lost on it.
    has_our_token: bool = False
    up_since: timedelta | None = None
    notice_end: timedelta | None = None
    attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    #: Exited tasks still shown by reports: (task, attempt) -> (job id, index, done).
    exited: dict[tuple[str, int], tuple[str, int, bool]] = field(default_factory=dict)
    #: Images seen on it, by last use.
    images: dict[str, timedelta] = field(default_factory=dict)
    #: For which job tasks were stopped here, and until when others keep off.
    preempted_for: tuple[str, timedelta] | None = None
    #: The job for which room is gathered here: only production work is added for others.
    reserved_for: str | None = None
    #: Gets no new work; returned when empty.
    draining: str | None = None
    release_requested: timedelta | None = None
    #: Silent past its lease: nothing is on it, but it may come back.
    lost: bool = False
    idle_since: timedelta | None = None
    #: Jobs that failed on it since something last succeeded on it.
    errors: set[str] = field(default_factory=set)
    #: We know when its boot began: we rented it, or the cloud's list had it as booting.
    boot_seen: bool = False
    listed_failed: bool = False
    #: The cloud says that it has booted, whether or not we have heard of it.
    listed_running: bool = False
    #: What a pass derives from the attempts and images on it, kept until one of them changes.
    shape: FreeCapacity | None = None
    #: Has been in a list; how many lists in a row have missed it since.
    listed: bool = False
    missing_lists: int = 0

    @property
    def up(self) -> bool:
        return self.up_since is not None

    def usable(self, now: timedelta, silence: timedelta) -> bool:
        """May get new work: up, ours, not leaving, heard from lately, and it hears us."""
        return (
            self.has_our_token
            and self.draining is None
            and not self.reachability.receives_nothing
            and not self.lost
            and self.notice_end is None
            and self.heard is not None
            and now - self.heard <= silence
        )

    def age(self, now: timedelta) -> timedelta:
        return max(now - self.rented, ZERO)
