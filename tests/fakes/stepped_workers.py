"""Workers that execute commands immediately and advance their tasks in steps of one second."""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeal.wire.codec import convert
from micadeal.wire.workers import Command, Heartbeat
from tests.fakes.wire_forms import Wire, wire

#: Duration of an image pull.
PULL_S = 1.0


@dataclass
class WorkerTask:
    """An attempt on a worker.  Times are in seconds on the monotonic clock."""

    job_id: str
    attempt: int
    started_at: float
    #: State and cause of the exit, with the values of the protocol.
    state: str = "pulling"
    why: str | None = None
    saved: bool = False
    #: When the attempt ends, or when its checkpoint is saved.
    until: float = 0.0

    def exit(self, why: str) -> None:
        """End the attempt with a cause."""
        self.state, self.why = "exited", why


@dataclass
class SteppedWorker:
    """The worker process of one machine."""

    name: str
    address: str
    rig: str
    zone: str
    spot: bool
    up_at: float
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    lease_renewed_at: float = 0.0
    tasks: dict[tuple[str, int], WorkerTask] = field(default_factory=dict)
    #: When the cloud reclaims the machine; None if no notice was given.
    reclaimed_at: float | None = None
    #: The machine neither sends nor receives.
    unreachable: bool = False
    #: The machine sends heartbeats but receives nothing.
    receives_nothing: bool = False
    #: Every task fails on this machine.
    faulty: bool = False

    def heartbeat(self, now: float) -> Heartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        tasks: list[Wire] = []
        for (task, number), attempt in self.tasks.items():
            status: Wire = {"leg": task, "try": number, "status": attempt.state}
            if attempt.why is not None:
                status |= {"cause": attempt.why, "saved": attempt.saved}
            tasks.append(status)
        return convert(
            Heartbeat,
            {
                "host": self.name, "addr": self.address, "rig": self.rig, "depot": self.zone,
                "loaners": self.spot, "shift": self.incarnation, "tick": self.sequence,
                "baton": self.token, "legs": tasks,
                "recall_s": None
                if self.reclaimed_at is None
                else max(self.reclaimed_at - now, 0.0),
            },
        )  # fmt: skip

    def expire_lease(self, now: float, lease_s: float) -> None:
        """Drop all tasks if no response has arrived for the duration of a lease."""
        if now - self.lease_renewed_at > lease_s and self.token:
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = now

    def can_be_commanded(self, now: float) -> bool:
        """Return whether direct commands reach the worker."""
        return not (self.unreachable or self.receives_nothing or now < self.up_at)


class SteppedFleet:
    """All workers, and the descriptions of the jobs that they run."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self.workers: dict[str, SteppedWorker] = {}
        #: Submissions in the format of the user API, by job id.
        self.jobs: dict[str, Wire] = {}
        #: Ids of the jobs whose tasks all fail.
        self.failing_jobs: set[str] = set()
        self._machines_added = 0

    def add(self, rig: str, zone: str, spot: bool, up_at: float) -> str:
        """Add a machine that is up from ``up_at`` on, and return its name."""
        self._machines_added += 1
        number = self._machines_added
        name, address = f"i-{number:04d}", f"10.1.{number >> 8}.{number & 255}:9000"
        self.workers[name] = SteppedWorker(
            name, address, rig, zone, spot, up_at, lease_renewed_at=up_at
        )
        return name

    def step(self, now: float) -> None:
        """Advance all machines and their tasks to ``now``."""
        for worker in list(self.workers.values()):
            if worker.reclaimed_at is not None and now >= worker.reclaimed_at:
                del self.workers[worker.name]
                continue
            worker.expire_lease(now, self._lease_s)
            for attempt in worker.tasks.values():
                self._advance(worker, attempt, now)

    def _advance(self, worker: SteppedWorker, attempt: WorkerTask, now: float) -> None:
        spec = self.jobs[attempt.job_id]
        if attempt.state == "pulling" and now - attempt.started_at >= PULL_S:
            if worker.faulty or attempt.job_id in self.failing_jobs:
                attempt.exit("error")
            else:
                attempt.state = "waiting" if spec["shape"] == "gang" else "running"
        if attempt.state == "waiting" and self._gang_is_complete(attempt):
            attempt.state = "running"
        if attempt.state == "running" and not attempt.until:
            attempt.until = now + spec["expect_s"]
        elif attempt.state == "running" and spec["shape"] != "daemon" and now >= attempt.until:
            attempt.exit("done")
        elif attempt.state == "flushing" and now >= attempt.until:
            attempt.exit("halted")
            attempt.saved = True

    def _gang_is_complete(self, attempt: WorkerTask) -> bool:
        """Return whether all tasks of a gang's attempt wait or run on machines."""
        members = [
            other
            for worker in self.workers.values()
            for other in worker.tasks.values()
            if other.job_id == attempt.job_id
            and other.attempt == attempt.attempt
            and other.state in ("waiting", "running")
        ]
        return bool(len(members) == self.jobs[attempt.job_id]["legs"])

    def execute(self, worker: SteppedWorker, commands: list[Command], now: float) -> None:
        """Execute commands of the leader on a worker."""
        for command in map(wire, commands):
            key = (command["leg"], command["try"])
            attempt = worker.tasks.get(key)
            if command["verb"] == "run":
                if attempt is None:
                    job_id = command["leg"].rpartition("/")[0]
                    worker.tasks[key] = WorkerTask(job_id, command["try"], now)
            elif attempt is None:
                continue
            elif command["verb"] == "reap":
                if attempt.state == "exited":
                    del worker.tasks[key]
            elif attempt.state != "exited":
                self._stop(attempt, command.get("wind_down_s") or 0.0, now)

    def _stop(self, attempt: WorkerTask, grace_s: float, now: float) -> None:
        """Stop an attempt, after saving a checkpoint if the grace period allows it."""
        spec = self.jobs[attempt.job_id]
        can_save = spec["bookmark_s"] > 0 and grace_s >= spec["stow_s"]
        if attempt.state == "running" and can_save:
            attempt.state, attempt.until = "flushing", now + spec["stow_s"]
        elif attempt.state != "flushing" or grace_s == 0:
            attempt.exit("halted")
