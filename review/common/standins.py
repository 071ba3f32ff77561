# ruff: noqa: ANN401, ARG002, ARG005, C901, PLR0911, PLR0913, PLR2004, T201
"""Stand-ins for the platform around real controller processes, on loopback and the real clock.

Written from the users' pages: state service, cloud, workers and users.  Everything runs in one
asyncio process; the controllers are the project's own program, started with the command of the
deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))

import msgspec  # noqa: E402

LOOPBACK = "127.0.0.1"
#: Of bodies of requests, and of responses to workers and users, as JSON.
BODY_LIMIT = 64 * 1024
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


def now() -> float:
    """Return the time on the steady clock, in seconds."""
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Return free ports outside the range that Linux gives to outgoing connections."""
    rng = random.SystemRandom()
    found: list[int] = []
    while len(found) < count:
        port = rng.randrange(12_000, 32_000)
        if port in found:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        found.append(port)
    return found


class Record:
    """The file ``record.txt``: what was sent, answered and run, in order of time."""

    def __init__(self, path: Path) -> None:
        """Open the file anew."""
        self._file = path.open("w", buffering=1)
        self._start = now()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{now() - self._start:8.3f} {text}\n")


# -- HTTP --------------------------------------------------------------------------------------


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """A small HTTP/1.1 server with bodies in MessagePack."""

    def __init__(self, handler: Handler) -> None:
        """Serve with ``handler``, which gets method, path, query and decoded body."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                path, _, query = target.partition("?")
                body = msgspec.msgpack.decode(message[2]) if message[2] else None
                status, reply = await self._handler(method, path, dict(parse_qsl(query)), body)
                data = b"" if reply is None else msgspec.msgpack.encode(reply)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled only as the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class HttpClient:
    """One connection to one address, opened anew when it was closed."""

    def __init__(self, port: int) -> None:
        """``port``: on the loopback address."""
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def request(
        self, method: str, target: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Send a request; status 0 if there is no response in time."""
        try:
            return await asyncio.wait_for(self._exchange(method, target, body), timeout)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None

    async def _exchange(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(LOOPBACK, self._port)
        reader, writer = self._streams
        data = b"" if body is None else msgspec.msgpack.encode(body)
        head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        message = await _read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        status = int(message[0].split(" ")[1])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, msgspec.msgpack.decode(message[2]) if message[2] else None


class Proxy:
    """Passes bytes to another loopback port; notes when a request was answered."""

    def __init__(self, target_port: int, marker: bytes) -> None:
        """Note answers on connections whose last request contains ``marker``."""
        self._target_port, self._marker = target_port, marker
        self.port = 0
        self.answered_at = -1e9

    async def start(self) -> None:
        """Listen on a loopback port."""
        server = await asyncio.start_server(self._connect, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection(LOOPBACK, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        marked = [False]

        async def forward() -> None:
            while data := await reader.read(65536):
                marked[0] = self._marker in data
                back.write(data)
            back.close()

        async def backward() -> None:
            while data := await there.read(65536):
                writer.write(data)
                if marked[0]:
                    self.answered_at = now()
            writer.close()

        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(forward(), backward())
        back.close()
        writer.close()


# -- state service -----------------------------------------------------------------------------


class Bucket:
    """A token bucket with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        """``rate``: units per second."""
        self._rate, self._level, self._at = rate, rate, now()

    def take(self, units: float) -> bool:
        """Take units if there are enough."""
        at = now()
        self._level = min(self._rate, self._level + (at - self._at) * self._rate)
        self._at = at
        if self._level < units:
            return False
        self._level -= units
        return True


def _json_size(value: Any) -> int:
    return len(json.dumps(value))


class StateService:
    """The state service of the pages, with its limits; one port for each controller."""

    KEPT_CHANGES = 10_000
    PAGE_BYTES = 512 * 1024

    def __init__(self, limits: dict[str, Any], latency_s: float = 0.001) -> None:
        """``limits``: the section ``cluster.state`` of the settings."""
        self._limits = limits
        self._requests, self._writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self._latency_s = latency_s
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self._history: list[tuple[int, str, Any, bool]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_permit = 0
        self._changed = asyncio.Event()
        self.outage = False
        #: Requests by the port of the controller, and those refused with 429.
        self.requests, self.refused = 0, 0

    def handler(self, caller: str, log: Callable[[str, str, str, int], None] | None) -> Handler:
        """Return the handler of one controller's port."""

        async def handle(
            method: str, path: str, query: dict[str, str], body: Any
        ) -> tuple[int, Any]:
            status, reply = await self._handle(method, path, query, body)
            if log is not None:
                log(caller, method, path + (f"?{query['starts']}" if "starts" in query else ""),
                    status)  # fmt: skip
            return status, reply

        return handle

    async def run(self) -> None:
        """End leases."""
        while True:
            await asyncio.sleep(0.02)
            at = now()
            for permit, (ttl, ends) in list(self._leases.items()):
                if self.outage:
                    self._leases[permit] = (ttl, at + ttl)
                elif at > ends + 0.02:
                    self._end_lease(permit)

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        self.requests += 1
        if self._latency_s:
            await asyncio.sleep(self._latency_s)
        if path == "/changes":
            if not self._requests.take(1):
                self.refused += 1
                return 429, {"error": "too many"}
            return await self._changes(query)
        if self.outage:
            return 503, {"error": "trouble"}
        if not self._requests.take(1):
            self.refused += 1
            return 429, {"error": "too many"}
        if path == "/txn":
            return self._transact(body)
        if path.startswith("/keys/"):
            return self._get(unquote(path.removeprefix("/keys/")))
        if path == "/keys":
            return self._range(query)
        if path == "/leases":
            ttl = body["ttl_ms"] / 1000
            self._next_permit += 1
            self._leases[self._next_permit] = (ttl, now() + ttl)
            return 200, {"permit": self._next_permit}
        permit = int(path.split("/")[2])
        if permit not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(permit)
        else:
            ttl = self._leases[permit][0]
            self._leases[permit] = (ttl, now() + ttl)
        return 200, {}

    def _end_lease(self, permit: int) -> None:
        self._leases.pop(permit, None)
        gone = [key for key, (_, _, owner) in self.keys.items() if owner == permit]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.keys[key]
                self._history.append((self.ledger, key, None, True))
            self._wake()

    def _wake(self) -> None:
        del self._history[: -self.KEPT_CHANGES]
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    def _get(self, key: str) -> tuple[int, Any]:
        if key not in self.keys:
            return 404, {"ledger": self.ledger}
        data, stamp, permit = self.keys[key]
        return 200, {"k": key, "data": data, "stamp": stamp, "permit": permit}

    def _range(self, query: dict[str, str]) -> tuple[int, Any]:
        starts, after = query["starts"], query.get("after", "")
        names = [key for key in sorted(self.keys) if key.startswith(starts) and key > after]
        items, size = [], 0
        for key in names[: min(int(query.get("most", "200")), 1000)]:
            item = {"k": key, "data": self.keys[key][0], "stamp": self.keys[key][1]}
            size += _json_size(item)
            if items and size > self.PAGE_BYTES:
                break
            items.append(item)
        return 200, {"items": items, "has_next": len(items) < len(names), "ledger": self.ledger}

    def _transact(self, txn: dict[str, Any]) -> tuple[int, Any]:
        conditions, changes = txn["if"], txn.get("then") or []
        if changes and not self._writes.take(len(changes)):
            self.refused += 1
            return 429, {"error": "too many changes"}
        limit = self._limits["txn_ops"]
        if (
            len(changes) > limit
            or len(conditions) > 4 * limit
            or _json_size(txn) > 64 * 1024
            or any(
                _json_size(change["data"]) > self._limits["value_kb"] * 1024
                for change in changes
                if "put" in change
            )
        ):
            return 400, {"error": "too large"}
        if any(
            change.get("permit") is not None and change["permit"] not in self._leases
            for change in changes
        ):
            return 400, {"error": "no such lease"}
        failed = [
            item["k"]
            for item in conditions
            if (self.keys[item["k"]][1] if item["k"] in self.keys else 0) != item["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
            for change in changes:
                if "put" in change:
                    key = change["put"]
                    self.keys[key] = (change["data"], self.ledger, change.get("permit"))
                    self._history.append((self.ledger, key, change["data"], False))
                elif self.keys.pop(change["drop"], None) is not None:
                    self._history.append((self.ledger, change["drop"], None, True))
            self._wake()
        return 200, {"ledger": self.ledger}

    async def _changes(self, query: dict[str, str]) -> tuple[int, Any]:
        starts, after = query["starts"], int(query["after"])
        ends = now() + min(int(query.get("hold_ms", "0")), 60_000) / 1000
        while True:
            event = self._changed
            if not self.outage:
                full = len(self._history) >= self.KEPT_CHANGES
                if full and after < self._history[0][0] - 1:
                    return 410, {"error": "too old"}
                news = [
                    {"drop": key, "stamp": stamp}
                    if dropped
                    else {"put": key, "data": data, "stamp": stamp}
                    for stamp, key, data, dropped in self._newer(after)
                    if key.startswith(starts)
                ]
                if news or now() >= ends:
                    return 200, {"ledger": self.ledger, "news": news}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(event.wait(), 0.5 if self.outage else ends - now())

    def _newer(self, after: int) -> list[tuple[int, str, Any, bool]]:
        first = len(self._history)
        while first and self._history[first - 1][0] > after:
            first -= 1
        return self._history[first:]


# -- workers -----------------------------------------------------------------------------------


class Task:
    """One attempt on a worker."""

    def __init__(self, leg: str, attempt: int, ready_at: float) -> None:
        """``ready_at``: when its image is there."""
        self.leg, self.attempt, self.ready_at = leg, attempt, ready_at
        self.job, _, _ = leg.rpartition("/")
        self.status, self.cause = "pulling", ""
        self.started_at = 0.0
        #: Whether it takes its part of the machine.
        self.holds = False

    def report(self) -> dict[str, Any]:
        """Return the task as in a report."""
        fields: dict[str, Any] = {"leg": self.leg, "try": self.attempt, "status": self.status}
        if self.cause:
            fields["cause"] = self.cause
        return fields


class Worker:
    """The worker of one machine; runs tasks of arrays and services."""

    def __init__(self, site: Site, name: str, zone: str, spot: bool) -> None:
        """Prepare the worker; ``start`` runs it."""
        self._site, self.name, self.zone, self.spot = site, name, zone, spot
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        #: Tasks that take a part of the machine, and what they take.
        self._held: set[str] = set()
        self._used = {"vcpus": 0.0, "accelerators": 0.0, "ram_gb": 0.0}
        self._images: set[str] = set()
        self._fetches: dict[str, float] = {}
        self._lease_from = now()
        self._wake = asyncio.Event()
        self._token_told_at = -1e9
        self._server = HttpServer(self._handle)
        self._background: list[asyncio.Task[None]] = []
        self._node = 0
        #: When the last report was sent, and when the next is due if nothing changes.
        self.reported_at = self.next_report_at = now()

    @property
    def address(self) -> str:
        """The address for direct commands."""
        return f"{LOOPBACK}:{self._server.port}"

    async def listen(self) -> None:
        """Reserve the address."""
        await self._server.start()

    def start(self) -> None:
        """Begin to report."""
        self._lease_from = now()
        self._background = [
            asyncio.create_task(self._report_forever()),
            asyncio.create_task(self._step_forever()),
        ]

    async def end(self) -> None:
        """Remove the machine with all that is on it."""
        for task in self._background:
            task.cancel()
        for task in self.tasks.values():
            if task.status == "running":
                self._site.on_task("gone", self, task)
        self.tasks.clear()
        await self._server.stop()

    # -- tasks -----------------------------------------------------------------------------

    async def _step_forever(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            at = now()
            if at - self._lease_from > self._site.workers["lease_s"]:
                for task in self.tasks.values():
                    if task.status == "running":
                        self._site.on_task("lease_over", self, task)
                self.tasks.clear()
                self._held.clear()
                self._used = dict.fromkeys(self._used, 0.0)
                self._fetches.clear()
                self.shift += 1
                self._lease_from = at
                self._wake.set()
            for task in list(self.tasks.values()):
                self._advance(task, at)

    def _advance(self, task: Task, at: float) -> None:
        job = self._site.jobs[task.job]
        if task.status == "pulling" and at >= task.ready_at:
            self._images.add(job["build"])
            task.status, task.started_at = "running", at
            self._site.on_task("start", self, task)
            self._wake.set()
        elif task.status == "running":
            if self._site.fails(task):
                self._exit(task, "error")
            elif job["shape"] != "daemon" and at - task.started_at >= self._site.run_s[task.job]:
                self._exit(task, "done")

    def _hold(self, task: Task, sign: int) -> None:
        """Count what a task takes of the machine (1), or gives back (-1)."""
        (self._held.add if sign > 0 else self._held.discard)(task.leg)
        task.holds = sign > 0
        for name in self._used:
            self._used[name] += sign * self._site.jobs[task.job][name]

    def _exit(self, task: Task, cause: str) -> None:
        was_running = task.status == "running"
        if task.holds:
            self._hold(task, -1)
        task.status, task.cause = "exited", cause
        self._site.on_task(cause if was_running else f"{cause}_before_start", self, task)
        self._wake.set()

    def _execute(self, order: dict[str, Any]) -> None:
        key = (order["leg"], order["try"])
        task = self.tasks.get(key)
        verb = order["verb"]
        if verb == "run" and task is None:
            self._begin(*key)
        elif verb == "reap" and task is not None and task.status == "exited":
            del self.tasks[key]
        elif verb == "halt" and task is not None and task.status != "exited":
            self._exit(task, "halted")

    def _begin(self, leg: str, attempt: int) -> None:
        at = now()
        task = self.tasks[leg, attempt] = Task(leg, attempt, at)
        self._site.on_task("commanded", self, task)
        job = self._site.jobs.get(task.job)
        if job is None:
            self._exit(task, "unknown")
            return
        if leg in self._held:
            self._exit(task, "in_use")
            return
        if any(
            self._used[name] + job[name] > self._site.machine_type[name] + 1e-9
            for name in self._used
        ):
            self._exit(task, "no_room")
            return
        self._hold(task, 1)
        if job["build"] not in self._images:
            fetch_s = job["image_gb"] / self._site.machine_type["fetch_gb_per_s"]
            task.ready_at = self._fetches.setdefault(job["build"], at + fetch_s)
        self._wake.set()

    # -- messages --------------------------------------------------------------------------

    def _report(self) -> dict[str, Any]:
        self.tick += 1
        return {
            "host": self.name, "addr": self.address, "rig": self._site.machine_type["sku"],
            "depot": self.zone, "loaners": self.spot, "shift": self.shift, "tick": self.tick,
            "baton": self.baton, "recall_s": None,
            "legs": [task.report() for task in self.tasks.values()],
        }  # fmt: skip

    def _see_token(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            if now() - self._token_told_at > self._site.workers["lease_s"] / 2:
                self._token_told_at = now()
                self._wake.set()

    async def _report_forever(self) -> None:
        clients = [HttpClient(node.api_port) for node in self._site.nodes]
        names = [node.name for node in self._site.nodes]
        while True:
            self._wake.clear()
            sent_at = self.reported_at = now()
            shift = self.shift
            client = clients[self._node]
            report = self._report()
            status, reply = await client.request("POST", "/checkin", report, 4.0)
            self._site.on_report(self, report, status, reply)
            if status == 200 and _json_size(reply) > BODY_LIMIT:
                # More than the pages allow.
                status = 0
            if status == 200:
                if shift == self.shift and reply.get("baton", 0) >= self.baton:
                    self._see_token(reply["baton"])
                    self._lease_from = max(self._lease_from, sent_at)
                    for order in reply["orders"]:
                        self._execute(order)
                interval = self._site.workers["report_s"] * random.uniform(0.75, 1.25)
                self.next_report_at = now() + interval
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), interval)
                await asyncio.sleep(max(0.0, 0.5 - (now() - sent_at)))
                continue
            named = reply.get("dispatcher") if status == 421 and reply else None
            if named in names and names.index(named) != self._node:
                client.close()
                self._node = names.index(named)
                await asyncio.sleep(random.uniform(0.0, 0.5))
            else:
                self._node = (self._node + 1) % len(names)
                await asyncio.sleep(1.0)

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if path == "/inspect":
            return 200, self._report()
        if "baton" not in body or "shift" not in body:
            return 400, {"error": "baton and shift"}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self._report()
        self._see_token(body["baton"])
        for order in body["orders"]:
            self._execute(order)
        return 200, self._report()


# -- cloud -------------------------------------------------------------------------------------


class Cloud:
    """Rents machines of one type; boots them within seconds."""

    def __init__(self, site: Site, boot_s: float, capacity: int, lag_s: float) -> None:
        """``capacity``: machines in all; ``lag_s``: age of the list."""
        self._site, self._boot_s, self._capacity, self._lag_s = site, boot_s, capacity, lag_s
        self.workers: dict[str, Worker] = {}
        self._rented_at: dict[str, float] = {}
        self._up_at: dict[str, float] = {}
        self._by_hire: dict[str, list[str]] = {}
        self._count = 0
        self._lists: list[tuple[float, list[dict[str, Any]]]] = []

    async def add(self, zone: str, spot: bool) -> str:
        """Rent one machine."""
        self._count += 1
        name = f"i-{self._count:06d}"
        worker = self.workers[name] = Worker(self._site, name, zone, spot)
        await worker.listen()
        self._rented_at[name], self._up_at[name] = now(), now() + self._boot_s
        return name

    async def run(self) -> None:
        """Boot machines and keep the lists."""
        up: set[str] = set()
        while True:
            at = now()
            for name, worker in list(self.workers.items()):
                if name not in up and at >= self._up_at[name]:
                    up.add(name)
                    worker.start()
            self._lists.append((at, [self._entry(name, at) for name in sorted(self.workers)]))
            while len(self._lists) > 1 and self._lists[1][0] <= at - self._lag_s:
                del self._lists[0]
            await asyncio.sleep(0.2)

    def _entry(self, name: str, at: float) -> dict[str, Any]:
        worker = self.workers[name]
        return {
            "name_id": name, "addr": worker.address, "rig": self._site.machine_type["sku"],
            "depot": worker.zone, "loaners": worker.spot,
            "status": "running" if at >= self._up_at[name] else "booting",
            "held_s": at - self._rented_at[name],
        }  # fmt: skip

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Answer a request."""
        if path == "/catalog":
            return 200, {"rigs": [self._site.machine_type]}
        if path == "/rentals/release":
            for name in body["hosts"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    self._site.record.write(f"cloud: released {name}")
                    await worker.end()
            return 200, {}
        if method == "GET":
            at = now()
            entries = self._lists[0][1] if self._lists[0][0] <= at - self._lag_s else []
            after, most = query.get("after", ""), int(query.get("most", "500"))
            rest = [entry for entry in entries if entry["name_id"] > after]
            return 200, {"hosts": rest[:most], "has_next": len(rest) > most}
        if body["hire"] not in self._by_hire:
            count = min(body["how_many"], self._capacity - len(self.workers))
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = [await self.add(body["depot"], body["loaners"]) for _ in range(count)]
            self._by_hire[body["hire"]] = names
            self._site.record.write(f"cloud: rented {len(names)} for {body['hire']}")
        return 200, {"hosts": self._by_hire[body["hire"]]}


# -- controllers -------------------------------------------------------------------------------


class Node:
    """One controller process."""

    def __init__(self, name: str, zone: str, ports: list[int]) -> None:
        """``ports``: of the users' and of the controllers' side."""
        self.name, self.zone = name, zone
        self.api_port, self.mesh_port = ports
        #: Ports at which it finds others; proxies may stand there.
        self.state_port = self.cloud_port = 0
        self.seed_ports: dict[str, int] = {}
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def up(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Site:
    """A small deployment: three controllers and the stand-ins around them."""

    def __init__(
        self,
        record: Path,
        cluster: str,
        machine_type: dict[str, Any],
        zones: list[str],
        *,
        boot_s: float = 1.0,
        capacity: int = 40,
        latency_s: float = 0.001,
        log_state: bool = False,
    ) -> None:
        """``cluster``: the text of the settings from ``[cluster]`` on, without the zones.

        ``record``: the file that gets what was sent, answered and run.
        """
        self.record = Record(record)
        self.temp = Path(tempfile.mkdtemp(prefix="micadeal-review-"))
        self.cluster_text = cluster
        settings = tomllib.loads(cluster)["cluster"]
        self.workers = settings["workers"]
        self.machine_type = machine_type
        self.zones = zones
        self.state = StateService(settings["state"], latency_s)
        self.cloud = Cloud(self, boot_s, capacity, settings["cloud"]["list_lag_s"])
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.fails: Callable[[Task], bool] = lambda task: False
        ports = free_ports(6)
        self.nodes = [
            Node(f"dock-{n}", zones[n % len(zones)], ports[2 * n : 2 * n + 2]) for n in range(3)
        ]
        self._log_state = log_state
        self._background: list[asyncio.Task[Any]] = []
        #: (time, event, leg, attempt, machine) of every task event.
        self.task_events: list[tuple[float, str, str, int, str]] = []
        #: The way of one controller to another, by their names.
        self.proxies: dict[tuple[str, str], Proxy] = {}
        #: Called with each report and its answer.
        self.on_report: Callable[[Worker, dict[str, Any], int, Any], None] = (
            lambda worker, report, status, reply: None
        )
        self.listeners: list[Callable[[str, Worker, Task], None]] = []

    def on_task(self, event: str, worker: Worker, task: Task) -> None:
        """Note what happens to a task on a machine."""
        self.task_events.append((now(), event, task.leg, task.attempt, worker.name))
        self.record.write(f"task: {event} {task.leg} try={task.attempt} on {worker.name}")
        for listener in self.listeners:
            listener(event, worker, task)

    async def begin(self) -> None:
        """Start the stand-ins and the controllers."""

        def log(caller: str, method: str, path: str, status: int) -> None:
            if self._log_state:
                self.record.write(f"state: {caller} {method} {path} -> {status}")

        cloud = HttpServer(self.cloud.handle)
        await cloud.start()
        for node in self.nodes:
            state = HttpServer(self.state.handler(node.name, log))
            await state.start()
            node.state_port, node.cloud_port = state.port, cloud.port
        self.spawn(self.state.run())
        self.spawn(self.cloud.run())
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    proxy = self.proxies[node.name, other.name] = Proxy(
                        other.mesh_port, b"POST /ping"
                    )
                    await proxy.start()
                    node.seed_ports[other.name] = proxy.port
        for node in self.nodes:
            self.start_node(node)

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background."""
        self._background.append(asyncio.create_task(work))

    def start_node(self, node: Node) -> None:
        """Start a controller with the command of the deploy file."""
        settings = self.temp / f"{node.name}.toml"
        settings.write_text(self._settings(node))
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(settings)]
        if command[0] == "python3":
            command[0] = sys.executable
        log = (self.temp / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
        )  # fmt: skip
        log.close()
        self.record.write(f"process: {node.name} started")

    def _settings(self, node: Node) -> str:
        seeds = "".join(
            f'[[seeds]]\nmember = "{other.name}"\ndomain = "{other.zone}"\n'
            f'endpoint = "{LOOPBACK}:{node.seed_ports[other.name]}"\n'
            for other in self.nodes
            if other is not node
        )
        cluster = self.cluster_text.replace(
            "[cluster]", f"[cluster]\nsize = 3\nzones = {json.dumps(self.zones)}", 1
        )
        return (
            f'member = "{node.name}"\ndomain = "{node.zone}"\n'
            f'api_addr = "{LOOPBACK}:{node.api_port}"\nmesh_addr = "{LOOPBACK}:{node.mesh_port}"\n'
            f'{seeds}[endpoints]\ncloud = "{LOOPBACK}:{node.cloud_port}"\n'
            f'state = "{LOOPBACK}:{node.state_port}"\n{cluster}'
        )

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a controller that this script has started."""
        assert node.process is not None
        self.record.write(f"process: {number.name} to {node.name}")
        node.process.send_signal(number)
        if number is signal.SIGKILL:
            node.process.wait()

    def leader(self) -> Node | None:
        """Return the controller that the state service's lock names, for the choice of a victim."""
        record = self.state.keys.get("leader")
        held = "seat/held" in self.state.keys or (record is not None and record[2] is not None)
        if record is None or not held:
            return None
        return next((node for node in self.nodes if node.name == record[0]["controller"]), None)

    async def wait_ready(self, limit_s: float = 30.0) -> bool:
        """Wait until all controllers are ready and one leads."""
        ends = now() + limit_s
        while now() < ends:
            answers = [
                (await HttpClient(node.api_port).request("GET", "/ready", None, 1.0))[0]
                for node in self.nodes
            ]
            if answers == [200, 200, 200] and self.leader() is not None:
                self.record.write(f"ready; leader {self.leader().name}")  # type: ignore[union-attr]
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self) -> None:
        """End all processes."""
        for node in self.nodes:
            if node.up:
                assert node.process is not None
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for task in self._background:
            task.cancel()


class User:
    """A user who submits, polls and cancels over one node at a time."""

    def __init__(self, site: Site) -> None:
        """Choose a node at random, as the load balancer may."""
        self._site = site
        self._clients = [HttpClient(node.api_port) for node in site.nodes]

    async def send(self, node: int, method: str, target: str, body: Any, timeout: float) -> Any:
        """Send one request to a node and record it."""
        status, reply = await self._clients[node].request(method, target, body, timeout)
        name = f" {body['name_id']}" if body else ""
        self._site.record.write(
            f"user: {method} {target}{name} to {self._site.nodes[node].name}"
            f" -> {status} {json.dumps(reply)}"
        )
        return status, reply

    def _pick(self, avoid: int | None) -> int:
        up = [n for n, node in enumerate(self._site.nodes) if node.up and n != avoid]
        return random.choice(up or [0])

    async def submit(self, job: dict[str, Any], run_s: float, limit_s: float = 60.0) -> bool:
        """Submit until accepted; return whether it was."""
        self._site.jobs[job["name_id"]], self._site.run_s[job["name_id"]] = job, run_s
        ends, avoid = now() + limit_s, None
        while now() < ends:
            node = self._pick(avoid)
            status, _ = await self.send(node, "POST", "/work", job, 5.0)
            if status in (200, 201):
                return True
            avoid = node
            await asyncio.sleep(1.0)
        return False

    async def poll(self, job_id: str, node: int | None = None) -> str | None:
        """Return the status of a job; None without an answer."""
        node = self._pick(None) if node is None else node
        status, reply = await self.send(node, "GET", f"/work/{job_id}", None, 2.0)
        return reply["status"] if status == 200 else str(status) if status == 404 else None

    async def cancel(self, job_id: str, limit_s: float = 60.0, node: int | None = None) -> bool:
        """Cancel until it is answered."""
        ends, avoid = now() + limit_s, None
        while now() < ends:
            chosen = self._pick(avoid) if node is None else node
            status, _ = await self.send(chosen, "POST", f"/work/{job_id}/abort", None, 5.0)
            if status == 200:
                return True
            avoid = chosen
            await asyncio.sleep(1.0)
        return False


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    """Return a submission with all fields."""
    return {
        "name_id": job_id, "lane": "batch", "crew": "team", "shape": "array", "rank": "standard",
        "legs": 1, "vcpus": 1.0, "accelerators": 0.0, "ram_gb": 1.0, "build": "img-1",
        "image_gb": 0.5, "rigs": None, "depot": None, "one_zone": False, "scatter": False,
        "loaners": False, "expect_s": 10.0, "bookmark_s": 0.0, "stow_s": 0.0, "due_s": None,
        **fields,
    }  # fmt: skip


def run_case(main: Callable[[bool], Awaitable[int]], limit_s: float = 118.0) -> None:
    """Run a case and exit with its code: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> None:
        code = 2
        try:
            code = await asyncio.wait_for(main(trouble), limit_s)
        except TimeoutError:
            print("out of time")
        except Exception:
            traceback.print_exc()
        # All controllers have ended (``Site.end``); open connections need no orderly end.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)

    asyncio.run(limited())
