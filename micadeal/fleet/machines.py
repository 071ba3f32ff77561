"""The leader's view of machines and of the task attempts that may be on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import ZERO
from micadeal.fleet.reachability import Reachability
from micadeal.wire.state import PlacedTask
from micadeal.wire.workers import TaskState

#: Job id, index of the task in its job, attempt number.  A plain tuple: heartbeats look up one key
#: for each task that they report.
AttemptKey = tuple[str, int, int]

#: Task id as workers spell it (``<job id>/<index>``) and attempt number.
ReportedTask = tuple[str, int]


class HeartbeatId(NamedTuple):
    """Identifies a heartbeat of one worker process; later heartbeats compare greater."""

    incarnation: int
    sequence: int


class ExitedTask(NamedTuple):
    """An exited task that its worker goes on reporting until it is told to forget it."""

    job_id: str
    #: Index of the task in its job.
    task_index: int
    #: Whether it completed, as opposed to having failed or having been stopped.
    done: bool


class PreemptionHold(NamedTuple):
    """For which job tasks were stopped on a machine, which is kept for that job meanwhile."""

    job_id: str
    #: When the machine is open to other jobs again at the latest.
    until: timedelta


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a task, which may be on a machine or may still be started there."""

    job_id: str
    #: Index of the task in its job.
    index: int
    #: Attempt number: the leader's fencing token times 2^20, plus a counter.  Unique, and growing
    #: over all leaders.
    number: int
    #: Name of the machine that the attempt is assigned to.
    machine: str
    #: When the attempt was placed, or when this leader learnt of it.
    placed: timedelta
    #: Key of the record in the state service that names the attempt; None: not written yet, so its
    #: start must not be ordered.
    record: str | None = None
    #: State in the newest heartbeat that showed the attempt; None: no heartbeat has shown it.
    state: TaskState | None = None
    #: The last heartbeat in whose response its start was ordered; None: this leader has never
    #: ordered it.
    ordered: HeartbeatId | None = None
    #: Grace period with which the attempt is to be stopped; None: it is not to be stopped.
    stop: timedelta | None = None
    #: When the stop was first requested.
    stop_since: timedelta | None = None
    #: When this leader first saw it running.
    running_since: timedelta | None = None
    #: Whether the previous leader had reported that all tasks of the job run.
    started: bool = False

    @property
    def may_still_start(self) -> bool:
        """Whether its task may yet start: it has not run, and its image may not be fetched."""
        return not self.started and self.state in (None, TaskState.FETCHING)

    @property
    def key(self) -> AttemptKey:
        """What identifies the attempt in ``Machine.attempts``."""
        return (self.job_id, self.index, self.number)

    @property
    def task(self) -> str:
        """Task id as workers spell it."""
        return f"{self.job_id}/{self.index}"

    @property
    def durable(self) -> bool:
        """Whether a record in the state service names the attempt: only then it may be started."""
        return self.record is not None

    @property
    def running(self) -> bool:
        """Whether the newest heartbeat that showed the attempt said that it runs."""
        return self.state is TaskState.RUNNING

    @property
    def placed_task(self) -> PlacedTask:
        """The attempt as a record in the state service names it."""
        return PlacedTask(self.job_id, self.index, self.number)


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """What is free on a machine, and which images it holds or fetches."""

    cpus: float
    gpus: float
    memory_gb: float
    #: Attempts that may be on the machine.
    tasks: int
    #: Those of them that could not be on a spot machine.
    bound_tasks: int
    #: Images that it holds, without those that are being fetched.
    images: frozenset[str]
    fetching: frozenset[str]


@dataclass(slots=True, eq=False)
class Machine:
    """A machine that is rented or was heard from, and what the leader knows of it."""

    name: str
    #: Address of its worker; empty as long as it is unknown.
    address: str
    machine_type: str
    zone: str
    spot: bool
    #: When this leader first learnt of the machine.
    known_since: timedelta
    #: When it was rented, as far as known: the earliest instant that anything suggests.
    rented: timedelta

    # -- newest heartbeat ------------------------------------------------------------------

    #: Incarnation (worker session) and sequence number of the newest message.
    incarnation: int = 0
    sequence: int = 0
    #: Receipt of the newest heartbeat that the worker sent by itself.
    heard: timedelta | None = None
    #: What its messages prove about the connection in both directions.
    reachability: Reachability = field(default_factory=Reachability)
    #: Whether a record of an earlier leader names the machine, the cloud lists it, or this leader
    #: rented it.  False: it is known from heartbeats alone.
    confirmed: bool = True
    #: Whether its worker has shown this leader's token: it ignores earlier leaders from then on.
    has_our_token: bool = False
    #: Receipt of its first message; None: it is still booting or silent.
    up_since: timedelta | None = None
    #: When the cloud takes the machine away, as announced by its worker.
    reclaim_expected_at: timedelta | None = None

    # -- tasks -----------------------------------------------------------------------------

    #: All that may be on the machine, or may still be started there.
    attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    #: Exited tasks that heartbeats still show.
    exited: dict[ReportedTask, ExitedTask] = field(default_factory=dict)
    #: Images that the machine is likely to hold, with the instant of their last use.
    images: dict[str, timedelta] = field(default_factory=dict)
    #: Set while the machine is kept for a job for which tasks were stopped here.
    preempted_for: PreemptionHold | None = None
    #: Id of the job that the machine is reserved for: of others, only production work is added.
    reserved_for: str | None = None

    # -- removal ---------------------------------------------------------------------------

    #: Why the machine gets no new work and is returned once it is empty; None: it is not drained.
    draining: str | None = None
    #: When its return to the cloud was requested.
    release_requested: timedelta | None = None
    #: Whether it was silent past its lease: nothing is on it, but it may come back.
    lease_expired: bool = False
    #: Since when no attempt is on it.
    idle_since: timedelta | None = None
    #: Jobs that failed on it since a task last completed on it.
    errors: set[str] = field(default_factory=set)

    # -- cloud -----------------------------------------------------------------------------

    #: Whether the start of its boot is known: this leader rented it, or the cloud listed it as
    #: booting.
    boot_seen: bool = False
    #: Whether the cloud has listed it as failed.
    listed_failed: bool = False
    #: Whether the cloud has listed it as running, heard from or not.
    listed_running: bool = False
    #: Free capacity as derived from attempts and images; None: one of them has changed since.
    free_capacity: FreeCapacity | None = None
    #: Whether it has been in a list of the cloud.
    listed: bool = False
    #: How many lists in a row have not named it since.
    missing_lists: int = 0

    @property
    def up(self) -> bool:
        """Whether any message of its worker has been received."""
        return self.up_since is not None

    def usable(self, now: timedelta, silence: timedelta) -> bool:
        """Tell whether the machine may get new work.

        It must be ours, not about to leave, reachable, and heard from within ``silence``.
        """
        return (
            self.has_our_token
            and self.draining is None
            and not self.reachability.receives_nothing
            and not self.lease_expired
            and self.reclaim_expected_at is None
            and self.heard is not None
            and now - self.heard <= silence
        )

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the machine was rented."""
        return max(now - self.rented, ZERO)
