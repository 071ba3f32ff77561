"""An in-memory deployment that traces the decisions of its leader in order.

Scheduler and record writer are real.  The rest is simulated in steps of one second: workers execute
commands immediately, the cloud answers rentals and returns one step later, and the state service
commits transactions one step later.  The trace holds only ids, names and encoded messages, so it
does not change when classes, fields or functions are renamed.
"""

from __future__ import annotations

from collections.abc import Iterator
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
from micadeal.schema.decoding import decode_items
from micadeal.schema.job_listing import JobListing
from micadeal.state.limits import Limits
from micadeal.wire.cloud import ListedMachine, MachineType, RentalRequest
from micadeal.wire.codec import convert
from micadeal.wire.state import (
    EndRecord,
    FinishedRecord,
    ImagesRecord,
    LevelRecord,
    PlacedRecord,
    ReturnedMachinesRecord,
    Transaction,
)
from micadeal.wire.workers import DirectCommands
from tests.fakes.stepped_clock import EPOCH, STEP, SteppedTime
from tests.fakes.stepped_state import SteppedState
from tests.fakes.stepped_workers import SteppedFleet, SteppedWorker
from tests.fakes.wire_forms import Wire, canonical, wire, wire_list

OfferKey = tuple[str, str, bool]

WORKERS = Workers(seconds(2), seconds(14), seconds(50), seconds(6), seconds(34))
LIMITS = Limits(150, 60, 16, 2048)
ZONES = ("north", "south", "west")
FIRST_TOKEN = 7
BOX: Wire = {
    "sku": "box", "vcpus": 16.0, "accelerators": 2.0, "ram_gb": 64.0, "local_gb": 70.0,
    "fetch_gb_per_s": 0.6, "hourly": 7.0, "boot_s": 8.0, "depots": list(ZONES), "low_price": 2.5,
}  # fmt: skip
#: A machine type without accelerators.
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
    """A set that iterates in sorted order; the order of a plain set differs between processes."""

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(super().__iter__()))


class DecisionWorld:
    """One leader with simulated workers, cloud and state service; ``steps`` is its trace."""

    def __init__(
        self,
        clock: SteppedTime,
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
        self.fleet = SteppedFleet(WORKERS.lease.total_seconds())
        self.workers = self.fleet.workers
        self.jobs = self.fleet.jobs
        self.state = SteppedState()
        #: Machines that the cloud has left, by offer; an offer without an entry is unlimited.
        self.capacity: dict[OfferKey, int] = {}
        #: Reserved machines, and the job that each is reserved for.
        self.reserved: dict[str, str] = {}
        self.events: list[list[Any]] = []
        self.steps: list[Wire] = []
        #: Transactions sent so far.
        self.transactions = 0
        self._writes: list[tuple[int, WriteBatch, Transaction]] = []
        self._rentals: list[RentalRequest] = []
        self._returns: list[str] = []
        self.token = FIRST_TOKEN
        self._begin_term(self.now - seconds(20))

    def _begin_term(self, began_at: timedelta) -> None:
        """Begin the term of a leader that has not loaded any records yet."""
        self.cluster = ClusterState(self.token, WORKERS, self.teams, began_at)
        self.cluster.jobs_with_unwritten_results = SortedSet()
        self.cluster.pending_direct_commands = SortedSet()
        self.cluster.pending_probes = SortedSet()
        self.scheduler = Scheduler(
            self.cluster, InstanceOffers(), self.policy, self.objectives, began_at
        )
        types = [convert(MachineType, fields) for fields in (BOX, SLAB)]
        self.scheduler.set_catalog(types)
        self.record_writer = RecordWriter(self.cluster, self.limits, None, self.level)
        self.record_writer._keys.pending_deletes = SortedSet()
        self.record_loader = RecordLoader(self.scheduler, self.record_writer)

    # -- events outside the leader ---------------------------------------------------------

    @property
    def time(self) -> float:
        """Return the monotonic time in seconds."""
        return self.now.total_seconds()

    def add_machine(self, rig: str, zone: str, spot: bool, after: float = 0.0) -> str:
        """Add a machine that is up ``after`` seconds from now, and return its name."""
        return self.fleet.add(rig, zone, spot, self.time + after)

    def add_boxes(
        self, count: int, spot: bool | None = None, zones: tuple[str, ...] = ZONES
    ) -> None:
        """Add machines to the zones in turn; with ``spot`` None, every second one is spot."""
        for number in range(count):
            is_spot = number % 2 == 1 if spot is None else spot
            self.add_machine("box", zones[number % len(zones)], is_spot)

    def list_machines(self) -> None:
        """Pass the cloud's list of machines to the leader."""
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
        self.scheduler.apply_machine_list(listed, self.now)

    def submit(self, job_id: str, **fields: Any) -> str:
        """Submit a job through another controller; return its id."""
        self.jobs[job_id] = spec = {**SUBMISSION, "name_id": job_id, **fields}
        value = {"submission": spec, "submitted_at": EPOCH + self.time}
        self.record_loader.job_event(self.state.submit_job(job_id, value), self.now, {})
        return job_id

    def cancel(self, job_id: str) -> None:
        """Cancel a job through another controller, unless the job has ended."""
        spec = self.jobs[job_id]
        end = {
            "status": "cancelled", "ended_at": EPOCH + self.time, "tasks": spec["legs"],
            "team": spec["crew"], "cpus": spec["vcpus"], "gpus": spec["accelerators"],
            "memory_gb": spec["ram_gb"],
        }  # fmt: skip
        event = self.state.cancel_job(job_id, end)
        if event is not None:
            self.record_loader.job_event(event, self.now, {})

    def give_reclaim_notice(self, name: str, notice_s: float) -> None:
        """Announce that the cloud reclaims a machine ``notice_s`` seconds from now."""
        self.workers[name].reclaimed_at = self.time + notice_s

    def change_leader(self) -> None:
        """Let another controller take over; it loads its records from the state service."""
        self.token += 1
        self._writes, self._rentals, self._returns = [], [], []
        self.reserved = {}
        self._begin_term(self.now)
        items = self.state.items_with_prefix
        placed = decode_items(items("placed/"), PlacedRecord)
        placed_jobs = {task.job_id for loaded in placed if loaded.record is not None
                       for entry in loaded.record.machines for task in entry.tasks}  # fmt: skip
        ended = {
            job_id: convert(EndRecord, self.state.items[f"end/{job_id}"].value)
            for job_id in sorted(placed_jobs)
            if f"end/{job_id}" in self.state.items
        }
        finished = decode_items(items("done/") + items("finished/"), FinishedRecord)
        images, draining = (
            decode_items(items("images/"), ImagesRecord),
            decode_items(items("leaving/"), ReturnedMachinesRecord),
        )
        message = StateLoaded(
            JobListing(items("job/"), self.state.revision),
            placed,
            images,
            draining,
            finished,
            [],
            ended,
            None,
            self.now,
        )
        self.record_loader.take_over(message, self.now)
        # No operator's script is stored, so taking over has set the default policy.
        self.scheduler.policy = self.policy

    # -- one step --------------------------------------------------------------------------

    def run(self, count: int) -> None:
        """Simulate ``count`` steps."""
        for _ in range(count):
            self.step()

    def step(self) -> None:
        """Advance by one second: answers, machines, heartbeats, a scheduling cycle, requests."""
        self.now += STEP
        self._clock.now = self.now
        self.events = []
        self._deliver_answers()
        self.fleet.step(self.time)
        for worker in list(self.workers.values()):
            self._send_heartbeat(worker)
        self._read_ends()
        self.scheduler.tick(self.now)
        if self.scheduler.cycle_due(self.now):
            self._run_cycle()
        self._send_direct_commands()
        for changes in self.record_writer.next(self.now):
            self._write(changes)
        self._ask_cloud()
        self.steps.append({"at": self.time, "events": self.events})

    def _trace(self, kind: str, *details: Any) -> None:
        """Add an event to the trace of the current step."""
        self.events.append([kind, *details])

    def _deliver_answers(self) -> None:
        """Deliver the answers of state service and cloud to requests of the previous step."""
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
            self.scheduler.return_confirmed(returns, self.now)

    def _run_cycle(self) -> None:
        """Run a scheduling cycle and trace its decisions."""
        self.scheduler.run_cycle(self.now)
        plan = self.scheduler.plan
        for preemptor, victim in plan.preemptions:
            machines = sorted({entry[0] for entry in victim.freed})
            self._trace("killed", preemptor, victim.job_id, victim.index, machines)
        for task in plan.placed:
            job_id, index, number = wire_list(task)
            self._trace("placed", f"{job_id}/{index}", number, self._machine_of(job_id, index))
        reserved = {
            machine.name: machine.reserved_for
            for machine in self.cluster.machines.values()
            if machine.reserved_for
        }
        if reserved != self.reserved:
            self.reserved = reserved
            self._trace("kept", sorted(reserved.items()))

    def _machine_of(self, job_id: str, index: int) -> str | None:
        job = self.cluster.jobs.get(job_id)
        attempts = job.attempts.get(index, []) if job is not None else []
        return attempts[-1].machine if attempts else None

    # -- state service ---------------------------------------------------------------------

    def _write(self, changes: WriteBatch) -> None:
        transaction = Transaction(list(changes.conditions), list(changes.operations))
        self.transactions += 1
        self._writes.append((self.transactions, changes, transaction))
        self._trace("written", canonical(wire(transaction)))

    def _commit(self, number: int, changes: WriteBatch, transaction: Transaction) -> None:
        """Commit a transaction at the state service and inform the leader of the result."""
        sent = wire(transaction)
        if self.state.commit(number, sent):
            self.record_writer.committed(changes, self.state.revision, self.now)
            return
        stored = self.state.read(condition["k"] for condition in sent["if"])
        self.record_writer.failed(changes, stored, self.now)

    def _read_ends(self) -> None:
        """Read the ends of jobs that other jobs wait for."""
        for name in self.cluster.dependencies.ends_to_read(self.now):
            item = self.state.items.get(f"end/{name}")
            if item is None:
                self.cluster.dependencies.end_not_found(name, self.now)
            else:
                self.cluster.job_ended(name, convert(EndRecord, item.value), self.now)

    # -- cloud -----------------------------------------------------------------------------

    def _ask_cloud(self) -> None:
        """Send new requests for rentals and returns; they are answered in the next step."""
        for request in self.scheduler.pending_rental_requests.values():
            if request not in self._rentals:
                self._rentals.append(request)
                self._trace("rented", wire(request))
        if self.scheduler.pending_returns and not self._returns:
            self._returns = sorted(self.scheduler.pending_returns)[:100]
            self._trace("returned", self._returns)

    def _rent(self, request: RentalRequest) -> None:
        """Grant the machines that are left, or refuse if there are none."""
        fields = wire(request)
        offer = (fields["rig"], fields["depot"], fields["loaners"])
        left = self.capacity.get(offer, fields["how_many"])
        granted = min(left, fields["how_many"])
        if offer in self.capacity:
            self.capacity[offer] = left - granted
        if not granted:
            self.scheduler.rental_refused(request, self.now)
            return
        boot_s = (BOX if fields["rig"] == "box" else SLAB)["boot_s"]
        names = [self.add_machine(*offer, after=boot_s + i % 3) for i in range(granted)]
        self.scheduler.rental_granted(request, names, self.now)

    # -- workers ---------------------------------------------------------------------------

    def _send_heartbeat(self, worker: SteppedWorker) -> None:
        """Send a worker's heartbeat to the leader and execute the commands of the response."""
        if worker.unreachable or self.time < worker.up_at:
            return
        heartbeat = worker.heartbeat(self.time)
        commands = self.scheduler.on_heartbeat(
            heartbeat, self.now, is_heartbeat=True, full_authority=True
        )
        if commands:
            self._trace("ordered", worker.name, [wire(command) for command in commands])
        if commands is None or worker.receives_nothing:
            return
        worker.token, worker.lease_renewed_at = self.token, self.time
        self.fleet.execute(worker, commands, self.time)

    def _send_direct_commands(self) -> None:
        """Send pending direct commands and probes without waiting for heartbeats."""
        for pending in (self.cluster.pending_direct_commands, self.cluster.pending_probes):
            for name in list(pending):
                pending.discard(name)
                machine = self.cluster.machines.get(name)
                if machine is not None and machine.address:
                    self._send_direct_command(name, machine)

    def _send_direct_command(self, name: str, machine: Machine) -> None:
        message = DirectCommands(
            self.token,
            machine.incarnation,
            worker_commands.stop_commands_for(self.cluster, machine),
        )
        self._trace("commanded", name, wire(message))
        machine.reachability.last_probe_at = self.now
        worker = self.workers.get(name)
        if worker is None or not worker.can_be_commanded(self.time):
            machine.reachability.probe_unanswered(self.now)
            return
        if worker.incarnation == wire(message)["shift"]:
            worker.token = max(worker.token, self.token)
            self.fleet.execute(worker, message.commands, self.time)
        reconciliation.reconcile_heartbeat(
            self.cluster,
            worker.heartbeat(self.time),
            self.now,
            is_heartbeat=False,
            command_sent_at=self.now,
        )
