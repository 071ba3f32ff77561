"""Jobs, machines and attempts as the leader knows them, and their simple transitions.  No I/O.

All of it serves one question: may a task still be on a machine, or may it still be started there?
An attempt stays in the state, and counts towards limits, zones and capacity, until that is
certainly not so (docs/safety.md).

The modules that work on this state: ``takeover`` loads what earlier leaders recorded,
``reconciliation`` takes in heartbeats (with ``reported_tasks`` and ``response_effects``),
``worker_commands`` says what workers are told, ``attempts`` and ``machine_loss`` handle attempts
and machines that are gone.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Iterator, MutableSet
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import DRIFT, ZERO, monotonic_at, seconds
from micadeal.fleet.boot_times import BootTimes
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import Attempt, Machine
from micadeal.jobs.dependencies import JobDependencies, JobEnd
from micadeal.jobs.model import Job
from micadeal.operator.platform import Team, Workers
from micadeal.ordered_set import OrderedSet
from micadeal.wire.cloud import MachineType
from micadeal.wire.state import EndRecord
from micadeal.wire.users import Priority, Shape, Status, Submission

log = logging.getLogger(__name__)

#: Attempt numbers are the leader's token times this, plus a counter: they grow over all leaders and
#: are never used twice, without anything being written down.
ATTEMPTS_PER_TERM = 1 << 20
#: Beyond a worker's lease, for drift, late timers and a heartbeat that was on its way.
LEASE_MARGIN = seconds(1.5)
#: What the worker gets beyond the time that a task needs to save its checkpoint.
GRACE_MARGIN = seconds(2)
#: Images whose size is remembered; the least lately submitted one is forgotten.
MAX_IMAGE_SIZES = 2000


def grace_to_save(job: Job) -> timedelta:
    """Return the grace period a stopped task needs to save; zero if it can't save."""
    return job.save_time + GRACE_MARGIN if job.can_save else ZERO


def lease_expiry(workers: Workers) -> timedelta:
    """Return the length of a silence after which a worker's lease has certainly expired."""
    return workers.lease * (1 + 2 * DRIFT) + LEASE_MARGIN


class StaleTokenError(Exception):
    """A worker has shown the fencing token of a later leader: this one must resign."""

    def __init__(self, machine: str, shown: int, own: int) -> None:
        self.machine = machine
        self.shown = shown
        self.own = own
        super().__init__(f"{machine} shows token {shown}, ours is {own}")


@dataclass(slots=True)
class ClusterState:
    """What one leader knows of the cluster during its term; not shared between terms."""

    #: The leader's fencing token.
    token: int
    #: Timing of heartbeats and leases.
    workers: Workers
    #: Teams with their limits, by name.
    teams: dict[str, Team]
    #: When the term began.
    term_start: timedelta
    #: Machine types of the cloud's catalog, by name.
    types: dict[str, MachineType] = field(default_factory=dict)
    #: Sizes in GB of images of jobs that were submitted lately.
    image_sizes: dict[str, float] = field(default_factory=dict)
    #: All jobs that are alive, and those that are over but may have tasks on machines.
    jobs: dict[str, Job] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    #: Jobs whose set of finished tasks must be written.
    jobs_with_unwritten_results: MutableSet[str] = field(default_factory=OrderedSet)
    #: Attempts that no record in the state service names yet, in the order of their placement.
    unwritten: dict[Attempt, None] = field(default_factory=dict)
    #: Keys of placement records in the state service, with the attempts of each that remain.
    records: dict[str, OrderedSet[Attempt]] = field(default_factory=dict)
    #: Records that name attempts which are gone, and since when.
    stale_records: dict[str, timedelta] = field(default_factory=dict)
    #: Machines that are to get their stop commands at once.
    pending_direct_commands: MutableSet[str] = field(default_factory=OrderedSet)
    #: Machines that are to be probed, since their heartbeats leave something open.
    pending_probes: MutableSet[str] = field(default_factory=OrderedSet)
    #: Whether something changed that a scheduling cycle could make use of.
    changed: bool = True
    #: Machines that are certainly gone, since when: a late heartbeat or list brings none back.
    removed_machines: dict[str, timedelta] = field(default_factory=dict)
    #: How long boots took lately.
    boot_times: BootTimes = field(default_factory=BootTimes)
    #: Where deferral is switched on: job class of each task that completed, and its run time as a
    #: multiple of its estimate.  None: nothing is collected.
    completed_run_times: list[tuple[str, float]] | None = None
    #: Jobs of which all tasks ran, by the last report of the previous leader.
    all_started: frozenset[str] = frozenset()
    #: Jobs that turned out to be over, of which users are still to be told.
    unannounced_ends: list[str] = field(default_factory=list)
    #: Which jobs wait for which others.
    dependencies: JobDependencies = field(init=False)
    _attempts: int = 0

    def __post_init__(self) -> None:
        self.dependencies = JobDependencies(self.jobs)

    @property
    def lease_expiry(self) -> timedelta:
        """Length of a silence after which a worker's lease has certainly expired."""
        return lease_expiry(self.workers)

    # -- jobs ------------------------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        """Add a job that has just become known."""
        self.jobs[job.id] = job
        self.image_sizes.pop(job.spec.image, None)
        self.image_sizes[job.spec.image] = job.spec.image_gb
        if len(self.image_sizes) > MAX_IMAGE_SIZES:
            del self.image_sizes[next(iter(self.image_sizes))]
        self.dependencies.add(job)
        self.changed = True

    def job_gone(self, job_id: str, now: timedelta) -> None:
        """Take in that the job's record was removed: it is done or cancelled, so all of it stops.

        Which of the two it is, for jobs that depend on it, is read from its end.
        """
        self.dependencies.retry_end(job_id)
        job = self.jobs.get(job_id)
        if job is None or job.over:
            return
        job.over = True
        self.unannounced_ends.append(job_id)
        self.dependencies.remove(job)
        self.changed = True
        for attempt in list(job.all_attempts()):
            self.stop(attempt, ZERO, now)
        self._forget_if_gone(job)

    def job_ended(self, job_id: str, end: EndRecord, now: timedelta) -> None:
        """Take in that the job's end is recorded: its tasks on machines only have to exit."""
        job = self.jobs.get(job_id)
        if job is not None and end.status is Status.DONE:
            job.durable |= job.finished
        self.job_gone(job_id, now)
        self.dependencies.record_end(
            job_id, JobEnd(end.status is Status.DONE, monotonic_at(end.ended_at, now))
        )
        self.changed = True

    def job_or_placeholder(self, job_id: str) -> Job:
        """Return the job, or a placeholder for one that is over but has a task on a machine."""
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = placeholder_job(job_id)
        return job

    def _forget_if_gone(self, job: Job) -> None:
        if job.over and not job.attempts and self.jobs.pop(job.id, None) is not None:
            log.debug("job forgotten: job=%s", job.id)

    # -- attempts --------------------------------------------------------------------------

    def next_number(self) -> int:
        """Return a new attempt number."""
        self._attempts += 1
        return self.token * ATTEMPTS_PER_TERM + self._attempts

    def is_ours(self, attempt: Attempt) -> bool:
        """Tell whether this leader placed the attempt, as opposed to an earlier one."""
        return attempt.number >= self.token * ATTEMPTS_PER_TERM

    def place(self, job: Job, index: int, number: int, machine: Machine, now: timedelta) -> Attempt:
        """Assign a task to a machine.  It is started once a record names the attempt."""
        attempt = Attempt(job.id, index, number, machine.name, now)
        self.adopt(job, machine, attempt)
        machine.images[job.spec.image] = now
        return attempt

    def adopt(self, job: Job, machine: Machine, attempt: Attempt) -> None:
        """Add an attempt that was placed, was recorded by an earlier leader, or was reported."""
        machine.attempts[attempt.key] = attempt
        machine.idle_since = None
        machine.free_capacity = None
        job.add(attempt)
        if attempt.record is None:
            self.unwritten[attempt] = None
        else:
            self.records[attempt.record].add(attempt)

    def release(self, attempt: Attempt, now: timedelta) -> None:
        """Remove an attempt that is certainly not on its machine and can't be started there."""
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.attempts.pop(attempt.key, None)
            machine.free_capacity = None
            if not machine.attempts:
                machine.idle_since = now
        self.unwritten.pop(attempt, None)
        if attempt.record is not None:
            self.records[attempt.record].discard(attempt)
            self.stale_records.setdefault(attempt.record, now)
        job = self.jobs.get(attempt.job_id)
        if job is not None:
            job.remove(attempt)
            self._forget_if_gone(job)
        self.changed = True

    def stop(self, attempt: Attempt, grace: timedelta, now: timedelta) -> None:
        """Have an attempt stopped; of two grace periods the shorter one counts."""
        if attempt.stop is not None and attempt.stop <= grace:
            return
        attempt.stop = grace
        if attempt.stop_since is None:
            attempt.stop_since = now
        if attempt.state is None and attempt.ordered is None and self.is_ours(attempt):
            # Its start was never sent to anybody, so there is nothing to stop.
            self.release(attempt, now)
            return
        self.pending_direct_commands.add(attempt.machine)

    def stop_job(self, job: Job, now: timedelta, save: bool) -> None:
        """Stop all attempts of a job; with ``save``, give them time to save a checkpoint."""
        grace = grace_to_save(job) if save else ZERO
        for attempt in list(job.all_attempts()):
            self.stop(attempt, grace, now)

    # -- placement records -----------------------------------------------------------------

    def placements_written(self, key: str, attempts: Iterable[Attempt], now: timedelta) -> None:
        """Take in that the state service holds a record under ``key`` naming these attempts."""
        remaining = self.records.setdefault(key, OrderedSet())
        for attempt in attempts:
            machine = self.machines.get(attempt.machine)
            if machine is None or machine.attempts.get(attempt.key) is not attempt:
                # Released while the record was being written.
                self.stale_records.setdefault(key, now)
                continue
            if attempt.record is not None and attempt.record != key:
                self.records[attempt.record].discard(attempt)
                self.stale_records.setdefault(attempt.record, now)
            attempt.record = key
            remaining.add(attempt)
            self.unwritten.pop(attempt, None)

    def record_gone(self, key: str) -> None:
        """Take in that the state service holds no such record: its attempts are written anew."""
        self.stale_records.pop(key, None)
        for attempt in self.records.pop(key, OrderedSet()):
            attempt.record = None
            self.unwritten[attempt] = None

    # -- queries ---------------------------------------------------------------------------

    def has_remaining_tasks(self, job_id: str) -> bool:
        """Tell whether a task of the job may be on a machine, or may still be started."""
        job = self.jobs.get(job_id)
        return job is not None and (not job.over or bool(job.attempts))

    def may_start(self, job_id: str) -> bool:
        """Tell whether a task of a cancelled job may still start."""
        job = self.jobs.get(job_id)
        return job is not None and (not job.over or job.may_start)

    def usage(self) -> dict[str, tuple[float, float]]:
        """Return (CPUs, GPUs) by team of everything that may be on a machine."""
        used: dict[str, list[float]] = {name: [0.0, 0.0] for name in self.teams}
        for job in self.jobs.values():
            count = sum(len(attempts) for attempts in job.attempts.values())
            if count and job.spec.team in used:
                amounts = used[job.spec.team]
                amounts[0] += count * job.spec.cpus
                amounts[1] += count * job.spec.gpus
        return {name: (amounts[0], amounts[1]) for name, amounts in used.items()}

    def held(self) -> Counter[InstanceOffer]:
        """Return how many machines of each offer are known."""
        return Counter(
            InstanceOffer(machine.machine_type, machine.zone, machine.spot)
            for machine in self.machines.values()
        )

    def zones_of(self, job: Job) -> Counter[str]:
        """Return how many attempts of the job each zone has."""
        zones: Counter[str] = Counter()
        for attempt in job.all_attempts():
            machine = self.machines.get(attempt.machine)
            if machine is not None:
                zones[machine.zone] += 1
        return zones

    def live_jobs(self) -> Iterator[Job]:
        """Yield the jobs that are neither done nor cancelled."""
        return (job for job in self.jobs.values() if not job.over)


def placeholder_job(
    job_id: str, team: str = "", cpus: float = 0.0, gpus: float = 0.0, memory_gb: float = 0.0
) -> Job:
    """Return a stand-in for a job that is over, of which a task may still be on a machine.

    ``team`` and amounts, where known: what each of its tasks counts for.
    """
    spec = Submission(
        job_id, "", team, Shape.ARRAY, Priority.LOW, 0, cpus, gpus, memory_gb, "", 0.0,
        False, False, False, 0.0, 0.0, 0.0,
    )  # fmt: skip
    return Job(spec, ZERO, 0, over=True)
