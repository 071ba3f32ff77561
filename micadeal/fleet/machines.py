"""The leader's model of machines and of the task attempts that may be on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from micadeal.clock import ZERO
from micadeal.fleet.reachability import Reachability
from micadeal.wire.state import PlacedTask
from micadeal.wire.workers import TaskState

#: Job id, index of the task in its job, attempt number.  A plain tuple for speed: each heartbeat
#: looks up one key per reported task.
AttemptKey = tuple[str, int, int]

#: Task id as workers write it (``<job id>/<index>``) and attempt number.
ReportedTask = tuple[str, int]


class HeartbeatId(NamedTuple):
    """Identifies a heartbeat of one worker process; later heartbeats compare greater."""

    incarnation: int
    sequence: int


class ExitedTask(NamedTuple):
    """An exited task, which its worker reports until the leader commands it to forget the task."""

    job_id: str
    #: Index of the task in its job.
    task_index: int
    #: Whether it completed, as opposed to having failed or having been stopped.
    done: bool


class PreemptionHold(NamedTuple):
    """Keeps a machine for the job for which tasks on it were preempted."""

    job_id: str
    #: When the machine becomes available to other jobs at the latest.
    until: timedelta


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a task; it may be on its machine or may still be started there."""

    job_id: str
    #: Index of the task in its job.
    index: int
    #: Attempt number: the leader's fencing token times 2^20, plus a counter.  Unique, and
    #: increasing across leaders.
    number: int
    #: Name of the machine that the attempt is assigned to.
    machine: str
    #: When the attempt was placed, or when this leader first saw it.
    placed_at: timedelta
    #: Key of the record in the state service that names the attempt.  None: not written yet, so
    #: the worker must not be commanded to start it.
    record: str | None = None
    #: State in the newest heartbeat that reported the attempt; None: no heartbeat has.
    state: TaskState | None = None
    #: The last heartbeat whose response commanded the start; None: this leader has never
    #: commanded it.
    start_sent_in: HeartbeatId | None = None
    #: Grace period of the requested stop; None: no stop was requested.
    stop_grace: timedelta | None = None
    #: When the stop was first requested.
    stop_since: timedelta | None = None
    #: When this leader first saw it running.
    running_since: timedelta | None = None
    #: Whether the previous leader had reported all tasks of the job as running.
    reported_started: bool = False

    @property
    def may_still_start(self) -> bool:
        """Whether the task may still start: it is not known to have fetched its image or to run."""
        return not self.reported_started and self.state in (None, TaskState.FETCHING)

    @property
    def key(self) -> AttemptKey:
        """Key of the attempt in ``Machine.attempts``."""
        return (self.job_id, self.index, self.number)

    @property
    def task(self) -> str:
        """Task id as workers write it."""
        return f"{self.job_id}/{self.index}"

    @property
    def recorded(self) -> bool:
        """Whether a record in the state service names the attempt, so that it may be started."""
        return self.record is not None

    @property
    def running(self) -> bool:
        """Whether the newest heartbeat that reported the attempt reported it as running."""
        return self.state is TaskState.RUNNING

    @property
    def placed_task(self) -> PlacedTask:
        """The attempt in the form in which records in the state service name it."""
        return PlacedTask(self.job_id, self.index, self.number)


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Free capacity of a machine, and the images that it holds or fetches."""

    cpus: float
    gpus: float
    memory_gb: float
    #: Number of attempts that may be on the machine.
    tasks: int
    #: Number of these attempts whose jobs do not allow spot machines.
    on_demand_tasks: int
    #: Images that it holds, not counting those being fetched.
    images: frozenset[str]
    fetching: frozenset[str]


@dataclass(slots=True, eq=False)
class Machine:
    """A machine that is rented or has sent a heartbeat, and its state as the leader knows it."""

    name: str
    #: Address of its worker; empty while it is unknown.
    address: str
    machine_type: str
    zone: str
    spot: bool
    #: When this leader first learned of the machine.
    known_since: timedelta
    #: When it was rented: the earliest instant that any source gives.
    rented_at: timedelta

    # -- newest heartbeat ------------------------------------------------------------------

    #: Incarnation (worker session) and sequence number of the newest message.
    incarnation: int = 0
    sequence: int = 0
    #: Receipt of the newest heartbeat, not counting answers to commands.
    last_heartbeat_at: timedelta | None = None
    #: Evidence from its messages about the connection in both directions.
    reachability: Reachability = field(default_factory=Reachability)
    #: Whether a record of an earlier leader names the machine, the cloud lists it, or this leader
    #: rented it.  False: only heartbeats name it.
    confirmed: bool = True
    #: Whether its worker has shown this leader's fencing token.  From then on the worker ignores
    #: earlier leaders.
    has_current_token: bool = False
    #: Receipt of its first message; None: it is still booting or silent.
    up_since: timedelta | None = None
    #: When the cloud reclaims the machine, by the reclaim notice that its worker passed on.
    reclaim_expected_at: timedelta | None = None

    # -- tasks -----------------------------------------------------------------------------

    #: Attempts that may be on the machine or may still be started there.
    attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    #: Exited tasks that heartbeats still report.
    exited: dict[ReportedTask, ExitedTask] = field(default_factory=dict)
    #: Images that the machine is likely to hold, with the instant of their last use.
    images: dict[str, timedelta] = field(default_factory=dict)
    #: Set while the machine is kept for a job for which tasks on it were preempted.
    preempted_for: PreemptionHold | None = None
    #: Id of the job that the machine is reserved for.  Other jobs may use it only if they are
    #: production jobs.
    reserved_for: str | None = None

    # -- removal ---------------------------------------------------------------------------

    #: Why the machine is drained: it gets no new tasks and is returned once it is empty.  None: it
    #: is not drained.
    draining: str | None = None
    #: When its return to the cloud was requested.
    release_requested: timedelta | None = None
    #: Whether its lease expired while it was silent: no task is on it, but its worker may send
    #: heartbeats again.
    lease_expired: bool = False
    #: Since when there has been no attempt on it.
    idle_since: timedelta | None = None
    #: Ids of the jobs that failed on it since a task last completed on it.
    errors: set[str] = field(default_factory=set)

    # -- cloud -----------------------------------------------------------------------------

    #: Whether this leader has seen it boot: the leader rented it, or the cloud listed it as
    #: booting.
    boot_seen: bool = False
    #: Whether the cloud has listed it as failed.
    listed_failed: bool = False
    #: Whether the cloud has listed it as running, whether or not its worker has sent a message.
    listed_running: bool = False
    #: Cached free capacity; None: attempts or images have changed since it was computed.
    free_capacity: FreeCapacity | None = None
    #: Whether any of the cloud's lists has named it.
    listed: bool = False
    #: How many lists in a row, up to the newest one, have not named it.
    absent_list_count: int = 0

    @property
    def up(self) -> bool:
        """Whether its worker has sent any message."""
        return self.up_since is not None

    def usable(self, now: timedelta, heartbeat_timeout: timedelta) -> bool:
        """Tell whether the machine may get new tasks.

        Its worker must have shown this leader's token, be reachable, and have sent a heartbeat
        within ``heartbeat_timeout``.  The machine must be neither drained nor about to be
        reclaimed, and its lease must not have expired.
        """
        return (
            self.has_current_token
            and self.draining is None
            and not self.reachability.receives_no_responses
            and not self.lease_expired
            and self.reclaim_expected_at is None
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at <= heartbeat_timeout
        )

    def age(self, now: timedelta) -> timedelta:
        """Return the time since the machine was rented."""
        return max(now - self.rented_at, ZERO)
