"""Workers, from the protocol: reports, tokens, sessions, leases, images, gangs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from micadeal.clock import monotonic, seconds
from micadeal.http.message import Answer, HttpError, Request, answer
from micadeal.wire.codec import decode, encode
from tests.fakes.network import FakeNetwork

REPORT_TIME = seconds(4)


@dataclass
class Job:
    """What a worker fetches by itself: the job's description."""

    spec: dict[str, Any]
    run_s: float
    progress: float = 0.0
    fails: bool = False


@dataclass
class Held:
    task: str
    attempt: int
    since: float
    state: str = "pulling"
    why: str | None = None
    saved: bool = False
    ready_at: float = 0.0
    started: float | None = None
    save_until: float | None = None

    @property
    def job_id(self) -> str:
        return self.task.rpartition("/")[0]

    def heartbeat(self) -> dict[str, Any]:
        shown: dict[str, Any] = {"leg": self.task, "try": self.attempt, "status": self.state}
        if self.why:
            shown["cause"] = self.why
            shown["saved"] = self.saved
        return shown


Watcher = Callable[[str, "FakeWorker", Held], None]


@dataclass
class Fleet:
    """What the machines share: the job descriptions, who watches, which gangs stand."""

    network: FakeNetwork
    controllers: dict[str, str]
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    watch: Watcher
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, FakeWorker] = field(default_factory=dict)
    fetch_gb_per_s: float = 1.0
    faulty: set[str] = field(default_factory=set)

    def members(self, job_id: str, attempt: int) -> list[Held]:
        return [
            held
            for worker in self.workers.values()
            for held in worker.tasks.values()
            if held.job_id == job_id and held.attempt == attempt and held.state != "exited"
        ]


class FakeWorker:
    def __init__(self, fleet: Fleet, name: str, address: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.address = fleet, name, address
        self.zone, self.spot = zone, spot
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Held] = {}
        self.images: set[str] = set()
        self.notice_end: float | None = None
        self.hanging = False
        self.alive = True
        #: Answers to what an earlier process sent reach nobody.
        self.lives = 1
        self.renewed = monotonic().total_seconds()
        self._wake = curio.Event()
        self._token_told = 0.0
        self._at = next(iter(fleet.controllers))

    # -- life ------------------------------------------------------------------------------

    async def run(self) -> None:
        self.fleet.network.serve(self.name, self.address, self._handle)
        await curio.spawn(self._report_loop, daemon=True)
        while self.alive:
            await curio.sleep(0.1)
            if self.alive:
                await self._step()

    def end(self) -> None:
        self.alive = False
        self.tasks.clear()
        self.fleet.network.close(self.name)
        self.fleet.workers.pop(self.name, None)

    def begin_anew(self) -> None:
        """The machine was off and is on again, within an instant: all is gone, and session and
        sequence count from the start."""
        self.tasks.clear()
        self.images.clear()
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.renewed = monotonic().total_seconds()
        self.lives += 1

    async def _step(self) -> None:
        now = monotonic().total_seconds()
        if now - self.renewed > self.fleet.lease_s:
            self.tasks.clear()
            self.incarnation += 1
            self.renewed = now
            await self._change()
        if self.hanging:
            return
        for held in list(self.tasks.values()):
            await self._advance(held, now)

    async def _advance(self, held: Held, now: float) -> None:
        job = self.fleet.jobs[held.job_id]
        if held.state == "pulling" and now >= held.ready_at:
            self.images.add(job.spec["build"])
            held.state = "waiting" if job.spec["shape"] == "gang" else "running"
            held.started = now
            self.fleet.watch("start", self, held)
            await self._change()
            if self.name in self.fleet.faulty or job.fails:
                await self._exit(held, "error")
                return
        if held.state == "waiting":
            await self._gang_waits(held, job, now)
        elif held.state == "running":
            await self._runs(held, job, now)
        elif held.state == "flushing" and held.save_until is not None and now >= held.save_until:
            assert held.started is not None
            job.progress = max(job.progress, held.save_until - held.started)
            held.saved = True
            await self._exit(held, "halted")

    async def _gang_waits(self, held: Held, job: Job, now: float) -> None:
        members = self.fleet.members(held.job_id, held.attempt)
        if len(members) == job.spec["legs"] and all(m.state != "pulling" for m in members):
            held.state = "running"
            held.started = now
            await self._change()
        elif now - held.since > self.fleet.gang_wait_s:
            await self._exit(held, "alone")

    async def _runs(self, held: Held, job: Job, now: float) -> None:
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
            self.fleet.watch("done", self, held)
            await self._exit(held, "done")

    async def _exit(self, held: Held, why: str) -> None:
        held.state, held.why = "exited", why
        self.fleet.watch("exit", self, held)
        await self._change()

    async def _change(self) -> None:
        await self._wake.set()

    # -- reports ---------------------------------------------------------------------------

    def _on_heartbeat(self) -> dict[str, Any]:
        self.sequence += 1
        now = monotonic().total_seconds()
        return {
            "host": self.name, "addr": self.address, "rig": "box", "depot": self.zone,
            "loaners": self.spot, "shift": self.incarnation, "tick": self.sequence,
            "baton": self.token,
            "recall_s": None if self.notice_end is None else max(self.notice_end - now, 0.0),
            "legs": [held.heartbeat() for held in self.tasks.values()],
        }  # fmt: skip

    async def _report_loop(self) -> None:
        names = list(self.fleet.controllers)
        while self.alive:
            if self.hanging:
                await curio.sleep(0.2)
                continue
            self._wake.clear()
            sent, incarnation, life = monotonic().total_seconds(), self.incarnation, self.lives
            status, body = await self._send(self._on_heartbeat())
            if life != self.lives:
                continue
            if status == 200:
                await self._take(decode(dict, body), sent, incarnation)
                async with curio.ignore_after(self.fleet.report_s):
                    await self._wake.wait()
                await curio.sleep(max(0.0, 0.5 - (monotonic().total_seconds() - sent)))
                continue
            named = decode(dict, body).get("dispatcher") if status == 421 and body else None
            if named in self.fleet.controllers and named != self._at:
                self._at = named
                await curio.sleep(0.2)
            else:
                self._at = names[(names.index(self._at) + 1) % len(names)]
                await curio.sleep(1)

    async def _send(self, heartbeat: dict[str, Any]) -> tuple[int, bytes]:
        request = Request("POST", "/checkin", "", encode(heartbeat))
        address = self.fleet.controllers[self._at]
        try:
            return await self.fleet.network.request(self.name, address, request, REPORT_TIME)
        except HttpError:
            return 0, b""

    async def _take(self, reply: dict[str, Any], sent: float, incarnation: int) -> None:
        token = reply.get("baton", 0)
        if incarnation != self.incarnation or token < self.token or not self.alive:
            return
        await self._see(token)
        self.renewed = max(self.renewed, sent)
        for order in reply["orders"]:
            await self._execute(order)

    async def _see(self, token: int) -> None:
        now = monotonic().total_seconds()
        if token > self.token:
            self.token = token
            if now - self._token_told > self.fleet.lease_s / 2:
                self._token_told = now
                await self._change()

    async def _handle(self, request: Request) -> Answer:
        while self.hanging:
            await curio.sleep(0.2)
        message = decode(dict, request.body)
        if message["baton"] < self.token or message["shift"] != self.incarnation:
            return answer(409, self._on_heartbeat())
        await self._see(message["baton"])
        for order in message["orders"]:
            await self._execute(order)
        return answer(200, self._on_heartbeat())

    # -- orders ----------------------------------------------------------------------------

    async def _execute(self, order: dict[str, Any]) -> None:
        key = (order["leg"], order["try"])
        held = self.tasks.get(key)
        if order["verb"] == "run":
            if held is None:
                await self._start(*key)
        elif held is None:
            return
        elif order["verb"] == "reap":
            if held.state == "exited":
                del self.tasks[key]
        elif held.state != "exited":
            await self._halt(held, order.get("wind_down_s") or 0.0)

    async def _start(self, task: str, attempt: int) -> None:
        now = monotonic().total_seconds()
        held = Held(task, attempt, now)
        job = self.fleet.jobs[held.job_id]
        others = [h for h in self.tasks.values() if h.task == task and h.state != "exited"]
        self.tasks[task, attempt] = held
        if others:
            await self._exit(held, "in_use")
            return
        if not self._has_room(job):
            await self._exit(held, "no_room")
            return
        cached = job.spec["build"] in self.images
        held.ready_at = now + (0.1 if cached else job.spec["image_gb"] / self.fleet.fetch_gb_per_s)
        await self._change()

    def _has_room(self, job: Job) -> bool:
        for name, most in (("vcpus", 8.0), ("accelerators", 2.0), ("ram_gb", 64.0)):
            used = sum(
                self.fleet.jobs[h.job_id].spec[name]
                for h in self.tasks.values()
                if h.state != "exited"
            )
            if used > most + 1e-9:
                return False
        return True

    async def _halt(self, held: Held, grace: float) -> None:
        job = self.fleet.jobs[held.job_id]
        now = monotonic().total_seconds()
        saves = job.spec["bookmark_s"] > 0 and grace >= job.spec["stow_s"]
        if held.state == "running" and saves:
            held.state = "flushing"
            held.save_until = now + job.spec["stow_s"]
            await self._change()
        elif held.state != "flushing" or grace == 0:
            await self._exit(held, "halted")
