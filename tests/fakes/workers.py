"""In-memory workers that follow the protocol: heartbeats, tokens, leases, images, gangs."""

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
    """A job as known to the workers, which fetch its description themselves.

    ``run_s`` is the duration of a task, ``progress`` the part of it in the last checkpoint, both in
    seconds.  ``fails``: all its tasks fail.
    """

    spec: dict[str, Any]
    run_s: float
    progress: float = 0.0
    fails: bool = False


@dataclass
class TaskAttempt:
    """An attempt on a worker.  Times are in seconds on the monotonic clock."""

    task: str
    attempt: int
    commanded_at: float
    #: State and cause of the exit, with the values of the protocol.
    state: str = "pulling"
    why: str | None = None
    saved: bool = False
    #: When the pull of the image ends.
    ready_at: float = 0.0
    started: float | None = None
    #: When the checkpoint is saved; None until the attempt is being stopped.
    save_until: float | None = None

    @property
    def job_id(self) -> str:
        """The id of the job, taken from the id of the task."""
        return self.task.rpartition("/")[0]

    def heartbeat(self) -> dict[str, Any]:
        """Return the attempt as reported in heartbeats."""
        status: dict[str, Any] = {"leg": self.task, "try": self.attempt, "status": self.state}
        if self.why:
            status["cause"] = self.why
            status["saved"] = self.saved
        return status


TaskEventListener = Callable[[str, "FakeWorker", TaskAttempt], None]


@dataclass
class Fleet:
    """The state that all workers share: network, intervals, job descriptions, event listener."""

    network: FakeNetwork
    controllers: dict[str, str]
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    #: Called with "start", "done" or "exit", the worker and the attempt.
    on_task_event: TaskEventListener
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, FakeWorker] = field(default_factory=dict)
    fetch_gb_per_s: float = 1.0
    #: Names of the machines on which every task fails.
    faulty: set[str] = field(default_factory=set)

    def members(self, job_id: str, number: int) -> list[TaskAttempt]:
        """Return the tasks of one attempt of a gang that have not exited, on all machines."""
        return [
            member
            for worker in self.workers.values()
            for member in worker.tasks.values()
            if member.job_id == job_id and member.attempt == number and member.state != "exited"
        ]

    def tasks_on_machines(self, job_id: str | None = None) -> list[tuple[FakeWorker, TaskAttempt]]:
        """Return the attempts of one job, or of all, that have their image and have not exited."""
        return [
            (worker, attempt)
            for worker in self.workers.values()
            for attempt in worker.tasks.values()
            if attempt.state not in ("pulling", "exited") and job_id in (None, attempt.job_id)
        ]

    def with_dependencies(self, job_id: str) -> set[str]:
        """Return the job and its direct and indirect dependencies."""
        result: set[str] = set()
        to_visit = [job_id]
        while to_visit:
            name = to_visit.pop()
            if name not in result and name in self.jobs:
                result.add(name)
                to_visit += self.jobs[name].spec.get("waits_on") or ()
        return result


class FakeWorker:
    """The worker process of one machine."""

    def __init__(self, fleet: Fleet, name: str, address: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.address = fleet, name, address
        self.zone, self.spot = zone, spot
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], TaskAttempt] = {}
        self.images: set[str] = set()
        self.reclaim_expected_at: float | None = None
        #: A stalled worker sends and answers nothing, and its tasks make no progress.
        self.stalled = False
        self.alive = True
        #: Number of starts of the process; responses to an earlier process are ignored.
        self._process_starts = 1
        #: When the lease was last renewed.
        self.lease_renewed_at = monotonic().total_seconds()
        self._wake = curio.Event()
        self._token_reported_at = 0.0
        #: The controller that receives the heartbeats.
        self._controller = next(iter(fleet.controllers))

    # -- process ---------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve commands, send heartbeats and run tasks until the machine is removed."""
        self.fleet.network.serve(self.name, self.address, self._handle)
        await curio.spawn(self._heartbeat_loop, daemon=True)
        while self.alive:
            await curio.sleep(0.1)
            if self.alive:
                await self._step()

    def end(self) -> None:
        """Remove the machine and kill all its tasks."""
        self.alive = False
        self.tasks.clear()
        self.fleet.network.close(self.name)
        self.fleet.workers.pop(self.name, None)

    def restart(self) -> None:
        """Restart the machine without any downtime.

        All tasks and images are lost, and incarnation and sequence start again from their first
        values.
        """
        self.tasks.clear()
        self.images.clear()
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.lease_renewed_at = monotonic().total_seconds()
        self._process_starts += 1

    def expire_lease(self, now: float) -> bool:
        """Kill all tasks if the lease has expired; return whether it has."""
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
        for attempt in list(self.tasks.values()):
            await self._advance(attempt, now)

    async def _advance(self, attempt: TaskAttempt, now: float) -> None:
        job = self.fleet.jobs[attempt.job_id]
        if attempt.state == "pulling" and now >= attempt.ready_at:
            self.images.add(job.spec["build"])
            attempt.state = "waiting" if job.spec["shape"] == "gang" else "running"
            attempt.started = now
            self.fleet.on_task_event("start", self, attempt)
            await self._send_soon()
            if self.name in self.fleet.faulty or job.fails:
                await self._exit(attempt, "error")
                return
        if attempt.state == "waiting":
            await self._wait_for_gang(attempt, job, now)
        elif attempt.state == "running":
            await self._advance_running(attempt, job, now)
        elif (
            attempt.state == "flushing"
            and attempt.save_until is not None
            and now >= attempt.save_until
        ):
            assert attempt.started is not None
            job.progress = max(job.progress, attempt.save_until - attempt.started)
            attempt.saved = True
            await self._exit(attempt, "halted")

    async def _wait_for_gang(self, attempt: TaskAttempt, job: Job, now: float) -> None:
        members = self.fleet.members(attempt.job_id, attempt.attempt)
        if len(members) == job.spec["legs"] and all(
            member.state != "pulling" for member in members
        ):
            attempt.state = "running"
            attempt.started = now
            await self._send_soon()
        elif now - attempt.commanded_at > self.fleet.gang_wait_s:
            await self._exit(attempt, "alone")

    async def _advance_running(self, attempt: TaskAttempt, job: Job, now: float) -> None:
        assert attempt.started is not None
        if job.spec["shape"] == "gang":
            members = self.fleet.members(attempt.job_id, attempt.attempt)
            ended = any(
                other.why == "done"
                for worker in self.fleet.workers.values()
                for other in worker.tasks.values()
                if other.job_id == attempt.job_id and other.attempt == attempt.attempt
            )
            if len(members) < job.spec["legs"] and not ended:
                await self._exit(attempt, "mates_gone")
                return
        if job.spec["shape"] != "daemon" and now - attempt.started >= job.run_s - job.progress:
            self.fleet.on_task_event("done", self, attempt)
            await self._exit(attempt, "done")

    async def _exit(self, attempt: TaskAttempt, why: str) -> None:
        attempt.state, attempt.why = "exited", why
        self.fleet.on_task_event("exit", self, attempt)
        await self._send_soon()

    async def _send_soon(self) -> None:
        await self._wake.set()

    # -- heartbeats ------------------------------------------------------------------------

    def _next_heartbeat(self) -> dict[str, Any]:
        self.sequence += 1
        now = monotonic().total_seconds()
        return {
            "host": self.name, "addr": self.address, "rig": "box", "depot": self.zone,
            "loaners": self.spot, "shift": self.incarnation, "tick": self.sequence,
            "baton": self.token,
            "recall_s": None
            if self.reclaim_expected_at is None
            else max(self.reclaim_expected_at - now, 0.0),
            "legs": [attempt.heartbeat() for attempt in self.tasks.values()],
        }  # fmt: skip

    async def _heartbeat_loop(self) -> None:
        names = list(self.fleet.controllers)
        while self.alive:
            if self.stalled:
                await curio.sleep(0.2)
                continue
            self._wake.clear()
            sent_at, incarnation, process_start = (
                monotonic().total_seconds(),
                self.incarnation,
                self._process_starts,
            )
            status, body = await self._send(self._next_heartbeat())
            if process_start != self._process_starts:
                continue
            if status == 200:
                await self._apply_response(decode(dict, body), sent_at, incarnation)
                async with curio.ignore_after(self.fleet.report_s):
                    await self._wake.wait()
                await curio.sleep(max(0.0, 0.5 - (monotonic().total_seconds() - sent_at)))
                continue
            leader = decode(dict, body).get("dispatcher") if status == 421 and body else None
            if leader in self.fleet.controllers and leader != self._controller:
                self._controller = leader
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

    async def _apply_response(
        self, reply: dict[str, Any], sent_at: float, incarnation: int
    ) -> None:
        token = reply.get("baton", 0)
        if incarnation != self.incarnation or token < self.token or not self.alive:
            return
        await self._update_token(token)
        self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
        for command in reply["orders"]:
            await self._execute(command)

    async def _update_token(self, token: int) -> None:
        now = monotonic().total_seconds()
        if token > self.token:
            self.token = token
            if now - self._token_reported_at > self.fleet.lease_s / 2:
                self._token_reported_at = now
                await self._send_soon()

    async def _handle(self, request: Request) -> Answer:
        while self.stalled:
            await curio.sleep(0.2)
        message = decode(dict, request.body)
        if message["baton"] < self.token or message["shift"] != self.incarnation:
            return answer(409, self._next_heartbeat())
        await self._update_token(message["baton"])
        for command in message["orders"]:
            await self._execute(command)
        return answer(200, self._next_heartbeat())

    # -- commands --------------------------------------------------------------------------

    async def _execute(self, command: dict[str, Any]) -> None:
        key = (command["leg"], command["try"])
        attempt = self.tasks.get(key)
        if command["verb"] == "run":
            if attempt is None:
                await self._start(*key)
        elif attempt is None:
            return
        elif command["verb"] == "reap":
            if attempt.state == "exited":
                del self.tasks[key]
        elif attempt.state != "exited":
            await self._stop(attempt, command.get("wind_down_s") or 0.0)

    async def _start(self, task: str, number: int) -> None:
        now = monotonic().total_seconds()
        attempt = TaskAttempt(task, number, now)
        job = self.fleet.jobs[attempt.job_id]
        other_attempts = [
            other for other in self.tasks.values() if other.task == task and other.state != "exited"
        ]
        self.tasks[task, number] = attempt
        if other_attempts:
            await self._exit(attempt, "in_use")
            return
        if not self._has_capacity(job):
            await self._exit(attempt, "no_room")
            return
        cached = job.spec["build"] in self.images
        attempt.ready_at = now + (
            0.1 if cached else job.spec["image_gb"] / self.fleet.fetch_gb_per_s
        )
        await self._send_soon()

    def _has_capacity(self, job: Job) -> bool:
        for name, capacity in (("vcpus", 8.0), ("accelerators", 2.0), ("ram_gb", 64.0)):
            used = sum(
                self.fleet.jobs[attempt.job_id].spec[name]
                for attempt in self.tasks.values()
                if attempt.state != "exited"
            )
            if used > capacity + 1e-9:
                return False
        return True

    async def _stop(self, attempt: TaskAttempt, grace_s: float) -> None:
        job = self.fleet.jobs[attempt.job_id]
        now = monotonic().total_seconds()
        can_save = job.spec["bookmark_s"] > 0 and grace_s >= job.spec["stow_s"]
        if attempt.state == "running" and can_save:
            attempt.state = "flushing"
            attempt.save_until = now + job.spec["stow_s"]
            await self._send_soon()
        elif attempt.state != "flushing" or grace_s == 0:
            await self._exit(attempt, "halted")
