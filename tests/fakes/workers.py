"""Workers that behave as the protocol says: heartbeats, tokens, leases, images, gangs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from micadeal.clock import monotonic, seconds
from micadeal.http.message import Answer, HttpError, Request, answer
from micadeal.wire.codec import decode, encode
from tests.fakes.network import FakeNetwork

HEARTBEAT_TIMEOUT = seconds(4)


@dataclass
class Job:
    """A job as workers know it; they fetch its description by themselves.

    ``run_s``: how long a task runs; ``progress``: what its last checkpoint holds of that.
    """

    spec: dict[str, Any]
    run_s: float
    progress: float = 0.0
    fails: bool = False


@dataclass
class TaskAttempt:
    """An attempt that a worker holds; times are seconds on the monotonic clock."""

    task: str
    attempt: int
    since: float
    #: State and cause of exit, as the protocol spells them.
    state: str = "pulling"
    why: str | None = None
    saved: bool = False
    #: When its image is fetched.
    ready_at: float = 0.0
    started: float | None = None
    #: When its checkpoint will be saved, once it is to be stopped.
    save_until: float | None = None

    @property
    def job_id(self) -> str:
        """The job's id, from the task's."""
        return self.task.rpartition("/")[0]

    def heartbeat(self) -> dict[str, Any]:
        """Return the attempt as heartbeats show it."""
        shown: dict[str, Any] = {"leg": self.task, "try": self.attempt, "status": self.state}
        if self.why:
            shown["cause"] = self.why
            shown["saved"] = self.saved
        return shown


Watcher = Callable[[str, "FakeWorker", TaskAttempt], None]


@dataclass
class Fleet:
    """What all workers share: the network, timing, the job descriptions, who watches."""

    network: FakeNetwork
    controllers: dict[str, str]
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    #: Called with "start", "done" or "exit", the worker and the attempt.
    on_task_event: Watcher
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, FakeWorker] = field(default_factory=dict)
    fetch_gb_per_s: float = 1.0
    #: Machines on which every task fails.
    faulty: set[str] = field(default_factory=set)

    def members(self, job_id: str, attempt: int) -> list[TaskAttempt]:
        """Return the tasks of a gang's attempt that have not exited, on all machines."""
        return [
            held
            for worker in self.workers.values()
            for held in worker.tasks.values()
            if held.job_id == job_id and held.attempt == attempt and held.state != "exited"
        ]

    def tasks_on_machines(self, job_id: str | None = None) -> list[tuple[FakeWorker, TaskAttempt]]:
        """Return the attempts, of one job or of all, that have their image and did not exit."""
        return [
            (worker, attempt)
            for worker in self.workers.values()
            for attempt in worker.tasks.values()
            if attempt.state not in ("pulling", "exited") and job_id in (None, attempt.job_id)
        ]

    def with_dependencies(self, job_id: str) -> set[str]:
        """Return the job and all jobs that it waits on, directly or through others."""
        found: set[str] = set()
        to_visit = [job_id]
        while to_visit:
            name = to_visit.pop()
            if name not in found and name in self.jobs:
                found.add(name)
                to_visit += self.jobs[name].spec.get("waits_on") or ()
        return found


class FakeWorker:
    """The worker process of one machine."""

    def __init__(self, fleet: Fleet, name: str, address: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.address = fleet, name, address
        self.zone, self.spot = zone, spot
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], TaskAttempt] = {}
        self.images: set[str] = set()
        self.reclaim_expected_at: float | None = None
        #: It neither sends nor answers anything, and its tasks make no progress.
        self.stalled = False
        self.alive = True
        #: Counts processes: responses to what an earlier one sent reach nobody.
        self.lives = 1
        #: From when its lease counts.
        self.lease_renewed_at = monotonic().total_seconds()
        self._wake = curio.Event()
        self._token_reported = 0.0
        #: The controller that it sends heartbeats to.
        self._controller = next(iter(fleet.controllers))

    # -- process ---------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve commands, send heartbeats and run tasks until the machine ends."""
        self.fleet.network.serve(self.name, self.address, self._handle)
        await curio.spawn(self._heartbeat_loop, daemon=True)
        while self.alive:
            await curio.sleep(0.1)
            if self.alive:
                await self._step()

    def end(self) -> None:
        """End the machine with everything on it."""
        self.alive = False
        self.tasks.clear()
        self.fleet.network.close(self.name)
        self.fleet.workers.pop(self.name, None)

    def restart(self) -> None:
        """Restart the machine within an instant.

        All tasks and images are gone; incarnation and sequence count from the start.
        """
        self.tasks.clear()
        self.images.clear()
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.lease_renewed_at = monotonic().total_seconds()
        self.lives += 1

    def expire_lease(self, now: float) -> bool:
        """Kill all tasks if the lease has run out; return whether it has."""
        if now - self.lease_renewed_at <= self.fleet.lease_s:
            return False
        self.tasks.clear()
        self.incarnation += 1
        self.lease_renewed_at = now
        return True

    async def _step(self) -> None:
        now = monotonic().total_seconds()
        if self.expire_lease(now):
            await self._send_soon()
        if self.stalled:
            return
        for held in list(self.tasks.values()):
            await self._advance(held, now)

    async def _advance(self, held: TaskAttempt, now: float) -> None:
        job = self.fleet.jobs[held.job_id]
        if held.state == "pulling" and now >= held.ready_at:
            self.images.add(job.spec["build"])
            held.state = "waiting" if job.spec["shape"] == "gang" else "running"
            held.started = now
            self.fleet.on_task_event("start", self, held)
            await self._send_soon()
            if self.name in self.fleet.faulty or job.fails:
                await self._exit(held, "error")
                return
        if held.state == "waiting":
            await self._wait_for_gang(held, job, now)
        elif held.state == "running":
            await self._advance_running(held, job, now)
        elif held.state == "flushing" and held.save_until is not None and now >= held.save_until:
            assert held.started is not None
            job.progress = max(job.progress, held.save_until - held.started)
            held.saved = True
            await self._exit(held, "halted")

    async def _wait_for_gang(self, held: TaskAttempt, job: Job, now: float) -> None:
        members = self.fleet.members(held.job_id, held.attempt)
        if len(members) == job.spec["legs"] and all(
            member.state != "pulling" for member in members
        ):
            held.state = "running"
            held.started = now
            await self._send_soon()
        elif now - held.since > self.fleet.gang_wait_s:
            await self._exit(held, "alone")

    async def _advance_running(self, held: TaskAttempt, job: Job, now: float) -> None:
        assert held.started is not None
        if job.spec["shape"] == "gang":
            members = self.fleet.members(held.job_id, held.attempt)
            ended = any(
                other.why == "done"
                for worker in self.fleet.workers.values()
                for other in worker.tasks.values()
                if other.job_id == held.job_id and other.attempt == held.attempt
            )
            if len(members) < job.spec["legs"] and not ended:
                await self._exit(held, "mates_gone")
                return
        if job.spec["shape"] != "daemon" and now - held.started >= job.run_s - job.progress:
            self.fleet.on_task_event("done", self, held)
            await self._exit(held, "done")

    async def _exit(self, held: TaskAttempt, why: str) -> None:
        held.state, held.why = "exited", why
        self.fleet.on_task_event("exit", self, held)
        await self._send_soon()

    async def _send_soon(self) -> None:
        await self._wake.set()

    # -- heartbeats ------------------------------------------------------------------------

    def _on_heartbeat(self) -> dict[str, Any]:
        self.sequence += 1
        now = monotonic().total_seconds()
        return {
            "host": self.name, "addr": self.address, "rig": "box", "depot": self.zone,
            "loaners": self.spot, "shift": self.incarnation, "tick": self.sequence,
            "baton": self.token,
            "recall_s": None
            if self.reclaim_expected_at is None
            else max(self.reclaim_expected_at - now, 0.0),
            "legs": [held.heartbeat() for held in self.tasks.values()],
        }  # fmt: skip

    async def _heartbeat_loop(self) -> None:
        names = list(self.fleet.controllers)
        while self.alive:
            if self.stalled:
                await curio.sleep(0.2)
                continue
            self._wake.clear()
            sent, incarnation, life = monotonic().total_seconds(), self.incarnation, self.lives
            status, body = await self._send(self._on_heartbeat())
            if life != self.lives:
                continue
            if status == 200:
                await self._take_response(decode(dict, body), sent, incarnation)
                async with curio.ignore_after(self.fleet.report_s):
                    await self._wake.wait()
                await curio.sleep(max(0.0, 0.5 - (monotonic().total_seconds() - sent)))
                continue
            named = decode(dict, body).get("dispatcher") if status == 421 and body else None
            if named in self.fleet.controllers and named != self._controller:
                self._controller = named
                await curio.sleep(0.2)
            else:
                self._controller = names[(names.index(self._controller) + 1) % len(names)]
                await curio.sleep(1)

    async def _send(self, heartbeat: dict[str, Any]) -> tuple[int, bytes]:
        request = Request("POST", "/checkin", "", encode(heartbeat))
        address = self.fleet.controllers[self._controller]
        try:
            return await self.fleet.network.request(self.name, address, request, HEARTBEAT_TIMEOUT)
        except HttpError:
            return 0, b""

    async def _take_response(self, reply: dict[str, Any], sent: float, incarnation: int) -> None:
        token = reply.get("baton", 0)
        if incarnation != self.incarnation or token < self.token or not self.alive:
            return
        await self._take_token(token)
        self.lease_renewed_at = max(self.lease_renewed_at, sent)
        for command in reply["orders"]:
            await self._execute(command)

    async def _take_token(self, token: int) -> None:
        now = monotonic().total_seconds()
        if token > self.token:
            self.token = token
            if now - self._token_reported > self.fleet.lease_s / 2:
                self._token_reported = now
                await self._send_soon()

    async def _handle(self, request: Request) -> Answer:
        while self.stalled:
            await curio.sleep(0.2)
        message = decode(dict, request.body)
        if message["baton"] < self.token or message["shift"] != self.incarnation:
            return answer(409, self._on_heartbeat())
        await self._take_token(message["baton"])
        for command in message["orders"]:
            await self._execute(command)
        return answer(200, self._on_heartbeat())

    # -- commands --------------------------------------------------------------------------

    async def _execute(self, command: dict[str, Any]) -> None:
        key = (command["leg"], command["try"])
        held = self.tasks.get(key)
        if command["verb"] == "run":
            if held is None:
                await self._start(*key)
        elif held is None:
            return
        elif command["verb"] == "reap":
            if held.state == "exited":
                del self.tasks[key]
        elif held.state != "exited":
            await self._stop(held, command.get("wind_down_s") or 0.0)

    async def _start(self, task: str, attempt: int) -> None:
        now = monotonic().total_seconds()
        held = TaskAttempt(task, attempt, now)
        job = self.fleet.jobs[held.job_id]
        others = [
            other for other in self.tasks.values() if other.task == task and other.state != "exited"
        ]
        self.tasks[task, attempt] = held
        if others:
            await self._exit(held, "in_use")
            return
        if not self._has_capacity(job):
            await self._exit(held, "no_room")
            return
        cached = job.spec["build"] in self.images
        held.ready_at = now + (0.1 if cached else job.spec["image_gb"] / self.fleet.fetch_gb_per_s)
        await self._send_soon()

    def _has_capacity(self, job: Job) -> bool:
        for name, capacity in (("vcpus", 8.0), ("accelerators", 2.0), ("ram_gb", 64.0)):
            used = sum(
                self.fleet.jobs[held.job_id].spec[name]
                for held in self.tasks.values()
                if held.state != "exited"
            )
            if used > capacity + 1e-9:
                return False
        return True

    async def _stop(self, held: TaskAttempt, grace: float) -> None:
        job = self.fleet.jobs[held.job_id]
        now = monotonic().total_seconds()
        saves = job.spec["bookmark_s"] > 0 and grace >= job.spec["stow_s"]
        if held.state == "running" and saves:
            held.state = "flushing"
            held.save_until = now + job.spec["stow_s"]
            await self._send_soon()
        elif held.state != "flushing" or grace == 0:
            await self._exit(held, "halted")
