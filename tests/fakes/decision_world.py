"""A deployment in memory whose leader's decisions are written down in order.

Everything around the real scheduler and recorder is simulated in steps of one second: workers that
execute orders at once, a cloud that answers rentals and returns a step later, a state service that
commits transactions a step later.  The trace holds outside forms only (ids, names and encoded
messages), so it does not change when classes, fields or functions are renamed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from micadeal.clock import seconds
from micadeal.controller.messages import StateLoaded
from micadeal.controller.persistence.batches import WriteBatch
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.controller.record_loader import RecordLoader
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.fleet.machines import Machine
from micadeal.operator.platform import Objective, Team, Workers
from micadeal.operator.policy import Policy
from micadeal.rollout.feature_level import FeatureLevel
from micadeal.scheduling import reconciliation, worker_commands
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.scheduler import Scheduler
from micadeal.schema.decoding import read
from micadeal.state.limits import Limits
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.codec import convert, decode, encode
from micadeal.wire.state import (
    EndRecord,
    Event,
    FinishedRecord,
    ImagesRecord,
    Item,
    LevelRecord,
    PlacedRecord,
    ReturnedMachinesRecord,
    Transaction,
)
from micadeal.wire.workers import Command, DirectCommands, Heartbeat

Wire = dict[str, Any]
OfferKey = tuple[str, str, bool]

WORKERS = Workers(seconds(2), seconds(14), seconds(50), seconds(6), seconds(34))
LIMITS = Limits(150, 60, 16, 2048)
ZONES = ("north", "south", "west")
#: Time of day at the start of the steady clock.
EPOCH = 1_700_000_000.0
FIRST_TOKEN = 7
STEP = seconds(1)
BOX: Wire = {
    "sku": "box", "vcpus": 16.0, "accelerators": 2.0, "ram_gb": 64.0, "local_gb": 70.0,
    "fetch_gb_per_s": 0.6, "hourly": 7.0, "boot_s": 8.0, "depots": list(ZONES), "low_price": 2.5,
}  # fmt: skip
#: Without accelerators.
SLAB: Wire = {
    "sku": "slab", "vcpus": 32.0, "accelerators": 0.0, "ram_gb": 128.0, "local_gb": 70.0,
    "fetch_gb_per_s": 0.6, "hourly": 3.0, "boot_s": 6.0, "depots": list(ZONES), "low_price": 1.0,
}  # fmt: skip
SUBMISSION: Wire = {
    "lane": "scan", "crew": "red", "shape": "array", "rank": "standard", "legs": 1, "vcpus": 5.0,
    "accelerators": 1.0, "ram_gb": 20.0, "build": "scan-1", "image_gb": 6.0, "one_zone": False,
    "scatter": False, "loaners": False, "expect_s": 6.0, "bookmark_s": 30.0, "stow_s": 2.0,
}  # fmt: skip


class SortedSet(set[str]):
    """The order of a set of strings differs between processes; here it is that of the strings."""

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(super().__iter__()))


class FixedTime:
    """Stands for the module ``time``: the time of day follows the steps."""

    def __init__(self) -> None:
        self.now: timedelta = seconds(100)

    def time(self) -> float:
        return EPOCH + self.now.total_seconds()

    def monotonic(self) -> float:
        raise AssertionError("decisions are told the time")


@dataclass
class WorkerTask:
    job_id: str
    attempt: int
    since: float
    state: str = "pulling"
    why: str | None = None
    saved: bool = False
    until: float = 0.0


@dataclass
class SteppedWorker:
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
    silent: bool = False
    #: Sends and does not receive.
    receives_nothing: bool = False
    #: Every task fails on it.
    faulty: bool = False

    def heartbeat(self, now: float) -> Heartbeat:
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


def wire(message: Any) -> Any:
    """A message as others read it."""
    return decode(dict, encode(message))


class DecisionWorld:
    def __init__(
        self,
        clock: FixedTime,
        teams: dict[str, Team],
        policy: Policy | None = None,
        objectives: tuple[Objective, ...] = (),
        level: FeatureLevel = FeatureLevel.FIRST,
        limits: Limits = LIMITS,
    ) -> None:
        self._clock = clock
        self.now: timedelta = clock.now
        self.teams, self.objectives = teams, objectives
        self.policy = policy or Policy()
        self.limits = limits
        self.level = LevelRecord(level, level, FeatureLevel.FIRST)
        self.workers: dict[str, SteppedWorker] = {}
        self.jobs: dict[str, Wire] = {}
        #: Jobs whose tasks all fail.
        self.mistaken: set[str] = set()
        #: How many more machines the cloud has; without an entry, as many as are asked for.
        self.capacity: dict[OfferKey, int] = {}
        self.kept: dict[str, str] = {}
        #: What becomes of transactions, by their number: "unanswered", "never"; else applied.
        self.fates: dict[int, str] = {}
        self.store: dict[str, Item] = {}
        self.revision = 1000
        self.machines_made = 0
        self.events: list[list[Any]] = []
        self.steps: list[Wire] = []
        self.transactions = 0
        self._writes: list[tuple[int, WriteBatch, Transaction]] = []
        self._rentals: list[RentalRequest] = []
        self._returns: list[str] = []
        self.token = FIRST_TOKEN
        self._lead(self.now - seconds(20))

    def _lead(self, began: timedelta) -> None:
        self.cluster = ClusterState(self.token, WORKERS, self.teams, began)
        self.cluster.jobs_with_unwritten_results = SortedSet()
        self.cluster.pending_direct_commands = SortedSet()
        self.cluster.pending_probes = SortedSet()
        self.scheduler = Scheduler(
            self.cluster, InstanceOffers(), self.policy, self.objectives, began
        )
        types = [convert(MachineType, kind) for kind in (BOX, SLAB)]
        self.scheduler.set_catalog(types)
        self.record_writer = RecordWriter(self.cluster, self.limits, None, self.level)
        self.record_writer._keys.pending_drops = SortedSet()
        self.intake = RecordLoader(self.scheduler, self.record_writer)

    # -- what happens around the leader ----------------------------------------------------

    @property
    def time(self) -> float:
        return self.now.total_seconds()

    def boot(self, rig: str, zone: str, spot: bool, after: float = 0.0) -> str:
        self.machines_made += 1
        number = self.machines_made
        name, address = f"i-{number:04d}", f"10.1.{number >> 8}.{number & 255}:9000"
        up_at = self.time + after
        self.workers[name] = SteppedWorker(name, address, rig, zone, spot, up_at, renewed=up_at)
        return name

    def boxes(self, count: int, spot: bool | None = None, zones: tuple[str, ...] = ZONES) -> None:
        """Machines in the zones in turn; every second one is spot unless said otherwise."""
        for number in range(count):
            wanted = number % 2 == 1 if spot is None else spot
            self.boot("box", zones[number % len(zones)], wanted)

    def list_machines(self) -> None:
        """The leader reads the cloud's list of machines."""
        listed = [
            convert(
                ListedMachine,
                {
                    "name_id": w.name, "addr": w.address, "rig": w.rig, "depot": w.zone,
                    "loaners": w.spot, "held_s": 50.0,
                    "status": "running" if w.up_at <= self.time else "booting",
                },
            )
            for w in self.workers.values()
        ]  # fmt: skip
        self.scheduler.on_list(listed, self.now)

    def submit(self, job_id: str, **fields: Any) -> str:
        self.jobs[job_id] = spec = {**SUBMISSION, "name_id": job_id, **fields}
        self.revision += 1
        value = {"submission": spec, "submitted_at": EPOCH + self.time}
        self.store[f"job/{job_id}"] = Item(f"job/{job_id}", value, self.revision)
        event = convert(
            Event, {"put": f"job/{job_id}", "data": value, "version": 0, "stamp": self.revision}
        )
        self.intake.job_event(event, self.now, {})
        return job_id

    def cancel(self, job_id: str) -> None:
        """As the desk of another controller records it."""
        found = self.store.pop(f"job/{job_id}", None)
        if found is None:
            return
        self.revision += 1
        end = {"status": "cancelled", "ended_at": EPOCH + self.time}
        spec = self.jobs[job_id]
        end |= {"tasks": spec["legs"], "team": spec["crew"], "cpus": spec["vcpus"]}
        end |= {"gpus": spec["accelerators"], "memory_gb": spec["ram_gb"]}
        self.store[f"end/{job_id}"] = Item(f"end/{job_id}", end, self.revision)
        event = convert(Event, {"drop": f"job/{job_id}", "stamp": self.revision})
        self.intake.job_event(event, self.now, {})

    def give_notice(self, name: str, left: float) -> None:
        self.workers[name].taken_at = self.time + left

    def change_leader(self) -> None:
        """Another controller takes over from what the state service holds."""
        self.token += 1
        self._writes, self._rentals, self._returns = [], [], []
        self.kept = {}
        self._lead(self.now)
        items = sorted(self.store.values(), key=lambda item: item.key)

        def under(prefix: str) -> list[Item]:
            return [item for item in items if item.key.startswith(prefix)]

        placed = read(under("placed/"), PlacedRecord)
        named = {task.job_id for found in placed if found.record is not None
                 for entry in found.record.machines for task in entry.tasks}  # fmt: skip
        ended = {
            job_id: convert(EndRecord, self.store[f"end/{job_id}"].value)
            for job_id in sorted(named)
            if f"end/{job_id}" in self.store
        }
        finished = read(under("done/") + under("finished/"), FinishedRecord)
        images, draining = (
            read(under("images/"), ImagesRecord),
            read(under("leaving/"), ReturnedMachinesRecord),
        )
        loaded = StateLoaded(
            under("job/"), placed, images, draining, finished, [], ended, None, self.now
        )
        self.intake.take_over(loaded, self.now)
        # The settings of a deployment without an operator's script are the defaults.
        self.scheduler.policy = self.policy

    # -- one step --------------------------------------------------------------------------

    def run(self, count: int) -> None:
        for _ in range(count):
            self.step()

    def step(self) -> None:
        self.now += STEP
        self._clock.now = self.now
        self.events = []
        self._answers()
        for worker in list(self.workers.values()):
            self._work(worker)
        for worker in list(self.workers.values()):
            self._on_checkin(worker)
        self._read_ends()
        self.scheduler.tick(self.now)
        if self.scheduler.wants_cycle(self.now):
            self._pass()
        self._command()
        for changes in self.record_writer.next(self.now):
            self._write(changes)
        self._ask_cloud()
        self.steps.append({"at": self.time, "events": self.events})

    def _note(self, kind: str, *what: Any) -> None:
        self.events.append([kind, *what])

    def _answers(self) -> None:
        """What was asked of the state service and of the cloud in the step before."""
        writes, self._writes = self._writes, []
        for number, changes, transaction in writes:
            self._commit(number, changes, transaction)
        rentals, self._rentals = self._rentals, []
        for request in rentals:
            self._rent(request)
        returns, self._returns = self._returns, []
        if returns:
            for name in returns:
                self.workers.pop(name, None)
            self.scheduler.released(returns, self.now)

    def _pass(self) -> None:
        self.scheduler.run_cycle(self.now)
        plan = self.scheduler.plan
        for needy, victim in plan.kills:
            machines = sorted({entry[0] for entry in victim.frees})
            self._note("killed", needy, victim.job_id, victim.index, machines)
        for task in plan.placed:
            job_id, index, number = wire_list(task)
            self._note("placed", f"{job_id}/{index}", number, self._machine_of(job_id, index))
        kept = {m.name: m.reserved_for for m in self.cluster.machines.values() if m.reserved_for}
        if kept != self.kept:
            self.kept = kept
            self._note("kept", sorted(kept.items()))

    def _machine_of(self, job_id: str, index: int) -> str | None:
        job = self.cluster.jobs.get(job_id)
        attempts = job.attempts.get(index, []) if job is not None else []
        return attempts[-1].machine if attempts else None

    # -- state service ---------------------------------------------------------------------

    def _write(self, changes: WriteBatch) -> None:
        transaction = Transaction(list(changes.conditions), list(changes.operations))
        self.transactions += 1
        self._writes.append((self.transactions, changes, transaction))
        self._note("written", _canonical(wire(transaction)))

    def _commit(self, number: int, changes: WriteBatch, transaction: Transaction) -> None:
        fate = self.fates.get(number, "applied")
        sent = wire(transaction)
        versions = {key: item.version for key, item in self.store.items()}
        holds = all(versions.get(c["k"], 0) == c["stamp"] for c in sent["if"])
        applied = holds and fate != "never"
        if applied:
            self.revision += 1
            for change in sent["then"]:
                if "put" in change:
                    item = Item(change["put"], change["data"], self.revision)
                    self.store[item.key] = item
                else:
                    self.store.pop(change["drop"], None)
        if applied and fate == "applied":
            self.record_writer.committed(changes, self.revision, self.now)
            return
        found = {condition["k"]: self.store.get(condition["k"]) for condition in sent["if"]}
        self.record_writer.failed(changes, found, self.now)

    def _read_ends(self) -> None:
        for name in self.cluster.dependencies.ends_to_read(self.now):
            found = self.store.get(f"end/{name}")
            if found is None:
                self.cluster.dependencies.end_not_found(name, self.now)
            else:
                self.cluster.job_ended(name, convert(EndRecord, found.value), self.now)

    # -- cloud -----------------------------------------------------------------------------

    def _ask_cloud(self) -> None:
        for request in self.scheduler.rentals.values():
            if request not in self._rentals:
                self._rentals.append(request)
                self._note("rented", wire(request))
        if self.scheduler.releases and not self._returns:
            self._returns = sorted(self.scheduler.releases)[:100]
            self._note("returned", self._returns)

    def _rent(self, request: RentalRequest) -> None:
        asked = wire(request)
        offer = (asked["rig"], asked["depot"], asked["loaners"])
        left = self.capacity.get(offer, asked["how_many"])
        granted = min(left, asked["how_many"])
        if offer in self.capacity:
            self.capacity[offer] = left - granted
        if not granted:
            self.scheduler.rental_refused(request, self.now)
            return
        boot_s = (BOX if asked["rig"] == "box" else SLAB)["boot_s"]
        names = [self.boot(*offer, after=boot_s + i % 3) for i in range(granted)]
        self.scheduler.rented(request, names, self.now)

    # -- workers ---------------------------------------------------------------------------

    def _work(self, worker: SteppedWorker) -> None:
        if worker.taken_at is not None and self.time >= worker.taken_at:
            del self.workers[worker.name]
            return
        if self.time - worker.renewed > WORKERS.lease.total_seconds() and worker.token:
            worker.tasks.clear()
            worker.incarnation += 1
            worker.renewed = self.time
        for (task, _), held in worker.tasks.items():
            self._advance(worker, task, held)

    def _advance(self, worker: SteppedWorker, task: str, held: WorkerTask) -> None:
        spec = self.jobs[held.job_id]
        if held.state == "pulling" and self.time - held.since >= 1:
            if worker.faulty or held.job_id in self.mistaken:
                held.state, held.why = "exited", "error"
            else:
                held.state = "waiting" if spec["shape"] == "gang" else "running"
        if held.state == "waiting" and self._gang_stands(held):
            held.state = "running"
        if held.state == "running" and not held.until:
            held.until = self.time + spec["expect_s"]
        elif held.state == "running" and spec["shape"] != "daemon" and self.time >= held.until:
            held.state, held.why = "exited", "done"
        elif held.state == "flushing" and self.time >= held.until:
            held.state, held.why, held.saved = "exited", "halted", True

    def _gang_stands(self, held: WorkerTask) -> bool:
        members = [
            other
            for worker in self.workers.values()
            for other in worker.tasks.values()
            if other.job_id == held.job_id
            and other.attempt == held.attempt
            and other.state in ("waiting", "running")
        ]
        return bool(len(members) == self.jobs[held.job_id]["legs"])

    def _on_checkin(self, worker: SteppedWorker) -> None:
        if worker.silent or self.time < worker.up_at:
            return
        heartbeat = worker.heartbeat(self.time)
        commands = self.scheduler.on_heartbeat(heartbeat, self.now, is_heartbeat=True, full=True)
        if commands:
            self._note("ordered", worker.name, [wire(order) for order in commands])
        if commands is None or worker.receives_nothing:
            return
        worker.token, worker.renewed = self.token, self.time
        self._execute(worker, commands)

    def _command(self) -> None:
        for what in (self.cluster.pending_direct_commands, self.cluster.pending_probes):
            for name in list(what):
                what.discard(name)
                machine = self.cluster.machines.get(name)
                if machine is not None and machine.address:
                    self._command_one(name, machine)

    def _command_one(self, name: str, machine: Machine) -> None:
        message = DirectCommands(
            self.token,
            machine.incarnation,
            worker_commands.stop_commands_for(self.cluster, machine),
        )
        self._note("commanded", name, wire(message))
        machine.reachability.last_probe_at = self.now
        worker = self.workers.get(name)
        if worker is None or worker.silent or worker.receives_nothing or self.time < worker.up_at:
            machine.reachability.probe_unanswered(self.now)
            return
        if worker.incarnation == wire(message)["shift"]:
            worker.token = max(worker.token, self.token)
            self._execute(worker, message.commands)
        reconciliation.reconcile_heartbeat(
            self.cluster,
            worker.heartbeat(self.time),
            self.now,
            is_heartbeat=False,
            asked=self.now,
        )

    def _execute(self, worker: SteppedWorker, commands: list[Command]) -> None:
        for order in map(wire, commands):
            key = (order["leg"], order["try"])
            held = worker.tasks.get(key)
            if order["verb"] == "run":
                if held is None:
                    job_id = order["leg"].rpartition("/")[0]
                    worker.tasks[key] = WorkerTask(job_id, order["try"], self.time)
            elif held is None:
                continue
            elif order["verb"] == "reap":
                if held.state == "exited":
                    del worker.tasks[key]
            elif held.state != "exited":
                self._halt(held, order.get("wind_down_s") or 0.0)

    def _halt(self, held: WorkerTask, grace: float) -> None:
        spec = self.jobs[held.job_id]
        if held.state == "running" and spec["bookmark_s"] > 0 and grace >= spec["stow_s"]:
            held.state, held.until = "flushing", self.time + spec["stow_s"]
        elif held.state != "flushing" or grace == 0:
            held.state, held.why = "exited", "halted"


def wire_list(message: Any) -> list[Any]:
    return decode(list, encode(message))


def _canonical(transaction: Wire) -> Wire:
    """What is merged into one record of placements comes from sets without an order.

    Such a transaction also ends the records that are merged, by a drop or by emptying them.
    """
    changes = transaction["then"]
    records = [c["data"]["machines"] for c in changes if c.get("put", "").startswith("placed/")]
    if len(records) < len(changes) or not all(records):
        for machines in records:
            for entry in machines:
                entry[-1].sort()
            machines.sort()
    return transaction
