"""Workers that execute commands at once and whose tasks advance in steps of one second."""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeal.wire.codec import convert
from micadeal.wire.workers import Command, Heartbeat
from tests.fakes.wire_forms import Wire, wire

#: How long an image is fetched.
PULL_S = 1.0


@dataclass
class WorkerTask:
    """An attempt that a worker holds; times are seconds on the monotonic clock."""

    job_id: str
    attempt: int
    since: float
    #: State and cause of exit, as the protocol spells them.
    state: str = "pulling"
    why: str | None = None
    saved: bool = False
    #: When it ends, or when its checkpoint is saved.
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
    renewed: float = 0.0
    tasks: dict[tuple[str, int], WorkerTask] = field(default_factory=dict)
    #: The cloud takes it then.
    taken_at: float | None = None
    #: Neither sends nor receives.
    unreachable: bool = False
    #: Sends and does not receive.
    receives_nothing: bool = False
    #: Every task fails on it.
    faulty: bool = False

    def heartbeat(self, now: float) -> Heartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        tasks: list[Wire] = []
        for (task, attempt), held in self.tasks.items():
            shown: Wire = {"leg": task, "try": attempt, "status": held.state}
            if held.why is not None:
                shown |= {"cause": held.why, "saved": held.saved}
            tasks.append(shown)
        return convert(
            Heartbeat,
            {
                "host": self.name, "addr": self.address, "rig": self.rig, "depot": self.zone,
                "loaners": self.spot, "shift": self.incarnation, "tick": self.sequence,
                "baton": self.token, "legs": tasks,
                "recall_s": None if self.taken_at is None else max(self.taken_at - now, 0.0),
            },
        )  # fmt: skip

    def expire_lease(self, now: float, lease_s: float) -> None:
        """Drop all tasks if no response has arrived for the time of a lease."""
        if now - self.renewed > lease_s and self.token:
            self.tasks.clear()
            self.incarnation += 1
            self.renewed = now

    def can_be_commanded(self, now: float) -> bool:
        """Return whether direct commands reach it."""
        return not (self.unreachable or self.receives_nothing or now < self.up_at)


class SteppedFleet:
    """All workers, and the jobs whose tasks they run."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self.workers: dict[str, SteppedWorker] = {}
        #: Submissions by the job's id, as users send them.
        self.jobs: dict[str, Wire] = {}
        #: Jobs whose tasks all fail.
        self.failing_jobs: set[str] = set()
        self._machines_made = 0

    def add(self, rig: str, zone: str, spot: bool, up_at: float) -> str:
        """Add a machine that is up from a time on; return its name."""
        self._machines_made += 1
        number = self._machines_made
        name, address = f"i-{number:04d}", f"10.1.{number >> 8}.{number & 255}:9000"
        self.workers[name] = SteppedWorker(name, address, rig, zone, spot, up_at, renewed=up_at)
        return name

    def step(self, now: float) -> None:
        """Let all machines and their tasks advance."""
        for worker in list(self.workers.values()):
            if worker.taken_at is not None and now >= worker.taken_at:
                del self.workers[worker.name]
                continue
            worker.expire_lease(now, self._lease_s)
            for attempt in worker.tasks.values():
                self._advance(worker, attempt, now)

    def _advance(self, worker: SteppedWorker, attempt: WorkerTask, now: float) -> None:
        spec = self.jobs[attempt.job_id]
        if attempt.state == "pulling" and now - attempt.since >= PULL_S:
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
        """Return whether all tasks of a gang's attempt are on machines."""
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
        """Let a worker execute commands of the leader."""
        for command in map(wire, commands):
            key = (command["leg"], command["try"])
            held = worker.tasks.get(key)
            if command["verb"] == "run":
                if held is None:
                    job_id = command["leg"].rpartition("/")[0]
                    worker.tasks[key] = WorkerTask(job_id, command["try"], now)
            elif held is None:
                continue
            elif command["verb"] == "reap":
                if held.state == "exited":
                    del worker.tasks[key]
            elif held.state != "exited":
                self._stop(held, command.get("wind_down_s") or 0.0, now)

    def _stop(self, attempt: WorkerTask, grace_s: float, now: float) -> None:
        """Stop an attempt, after a checkpoint if there is time for it."""
        spec = self.jobs[attempt.job_id]
        saves = spec["bookmark_s"] > 0 and grace_s >= spec["stow_s"]
        if attempt.state == "running" and saves:
            attempt.state, attempt.until = "flushing", now + spec["stow_s"]
        elif attempt.state != "flushing" or grace_s == 0:
            attempt.exit("halted")
