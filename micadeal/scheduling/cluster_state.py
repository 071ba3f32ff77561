"""Jobs, machines and attempts as the leader knows them, and their state transitions.

This module does no I/O.  The state answers one question: may a task still be on a machine, or may
it still be started there?  An attempt stays in the state, and counts towards limits, zones and
capacity, until both are certainly ruled out (docs/safety.md).

Other modules work on this state:

- ``takeover`` loads what earlier leaders recorded;
- ``reconciliation`` applies heartbeats, with ``reported_tasks`` and ``response_effects``;
- ``worker_commands`` derives the commands for workers;
- ``attempts`` and ``machine_loss`` remove attempts and machines that are gone.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Iterator, MutableSet
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import MAX_CLOCK_DRIFT, ZERO, monotonic_at, seconds
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

#: An attempt number is the leader's fencing token times this, plus a counter.  Numbers therefore
#: increase from term to term and are never reused, without being stored.
ATTEMPTS_PER_TERM = 1 << 20
#: Added to a worker's lease for clock drift, late timers and a heartbeat in transit.
LEASE_MARGIN = seconds(1.5)
#: Added to the time that a task needs to save its checkpoint.
GRACE_MARGIN = seconds(2)
#: Maximum number of images whose sizes are kept; the least recently submitted one is dropped first.
MAX_IMAGE_SIZES = 2000


def grace_to_save(job: Job) -> timedelta:
    """Return the grace period that a stopped task needs to save; zero if it can't save."""
    return job.save_time + GRACE_MARGIN if job.can_save else ZERO


def lease_expiry(workers: Workers) -> timedelta:
    """Return how long a worker must be silent for its lease to have certainly expired."""
    return workers.lease * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN


class StaleTokenError(Exception):
    """A worker has seen the fencing token of a later leader, so this leader must resign."""

    def __init__(self, machine: str, seen_token: int, own_token: int) -> None:
        self.machine = machine
        self.seen_token = seen_token
        self.own_token = own_token
        super().__init__(f"{machine} has seen token {seen_token}; own token is {own_token}")


@dataclass(slots=True)
class ClusterState:
    """One leader's view of the cluster during its term; never shared between terms."""

    #: Fencing token of this leader.
    token: int
    #: Timing of heartbeats and leases.
    workers: Workers
    #: Teams with their limits, by name.
    teams: dict[str, Team]
    #: Start of the term.
    term_start: timedelta
    #: Machine types of the cloud's catalog, by name.
    types: dict[str, MachineType] = field(default_factory=dict)
    #: Sizes in GB of the images of recently submitted jobs.
    image_sizes: dict[str, float] = field(default_factory=dict)
    #: Live jobs, and jobs that are over but may still have tasks on machines.
    jobs: dict[str, Job] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    #: Jobs whose set of finished tasks must be written to the state service.
    jobs_with_unwritten_results: MutableSet[str] = field(default_factory=OrderedSet)
    #: Attempts that no record in the state service names yet, in order of placement.
    unwritten_placements: dict[Attempt, None] = field(default_factory=dict)
    #: Remaining attempts of each placement record in the state service, by its key.
    records: dict[str, OrderedSet[Attempt]] = field(default_factory=dict)
    #: Placement records that name removed attempts, with the time of the first removal.
    stale_records: dict[str, timedelta] = field(default_factory=dict)
    #: Machines to send a direct command to, with their stop commands and the fencing token.
    pending_direct_commands: MutableSet[str] = field(default_factory=OrderedSet)
    #: Machines to probe, because their heartbeats leave their state unclear.
    pending_probes: MutableSet[str] = field(default_factory=OrderedSet)
    #: Whether anything changed that a scheduling cycle could act on.
    changed: bool = True
    #: Machines that are certainly gone, with the time of removal.  A late heartbeat or cloud list
    #: does not add them again.
    removed_machines: dict[str, timedelta] = field(default_factory=dict)
    #: Durations of recent boots.
    boot_times: BootTimes = field(default_factory=BootTimes)
    #: Job class of each completed task, and its run time as a multiple of its estimate.  Collected
    #: only while deferral is switched on; None otherwise.
    completed_run_times: list[tuple[str, float]] | None = None
    #: Jobs whose unfinished tasks all ran, according to the previous leader's last report.
    fully_started_jobs: frozenset[str] = frozenset()
    #: Jobs that are over, whose ends the leader has not reported to its controller yet.
    unreported_ends: list[str] = field(default_factory=list)
    #: Dependencies between jobs.
    dependencies: JobDependencies = field(init=False)
    _attempt_count: int = 0

    def __post_init__(self) -> None:
        self.dependencies = JobDependencies(self.jobs)

    @property
    def lease_expiry(self) -> timedelta:
        """How long a worker must be silent for its lease to have certainly expired."""
        return lease_expiry(self.workers)

    # -- jobs ------------------------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        """Add a newly known job."""
        self.jobs[job.id] = job
        self.image_sizes.pop(job.spec.image, None)
        self.image_sizes[job.spec.image] = job.spec.image_gb
        if len(self.image_sizes) > MAX_IMAGE_SIZES:
            del self.image_sizes[next(iter(self.image_sizes))]
        self.dependencies.add(job)
        self.changed = True

    def job_record_removed(self, job_id: str, now: timedelta) -> None:
        """Stop all tasks of a job that is done or cancelled, as the removal of its record shows.

        The record of the job's end shows dependent jobs which of the two it is.
        """
        self.dependencies.retry_end(job_id)
        job = self.jobs.get(job_id)
        if job is None or job.ended:
            return
        job.ended = True
        self.unreported_ends.append(job_id)
        self.dependencies.remove(job)
        self.changed = True
        for attempt in list(job.all_attempts()):
            self.stop(attempt, ZERO, now)
        self._remove_if_gone(job)

    def job_ended(self, job_id: str, end: EndRecord, now: timedelta) -> None:
        """Apply the recorded end of a job, and stop its tasks on machines."""
        job = self.jobs.get(job_id)
        if job is not None and end.status is Status.DONE:
            job.recorded_finished |= job.finished
        self.job_record_removed(job_id, now)
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

    def _remove_if_gone(self, job: Job) -> None:
        if job.ended and not job.attempts and self.jobs.pop(job.id, None) is not None:
            log.debug("ended job removed from memory: job=%s", job.id)

    # -- attempts --------------------------------------------------------------------------

    def next_number(self) -> int:
        """Return a new attempt number."""
        self._attempt_count += 1
        return self.token * ATTEMPTS_PER_TERM + self._attempt_count

    def placed_by_this_leader(self, attempt: Attempt) -> bool:
        """Tell whether this leader placed the attempt, rather than an earlier one."""
        return attempt.number >= self.token * ATTEMPTS_PER_TERM

    def place(self, job: Job, index: int, number: int, machine: Machine, now: timedelta) -> Attempt:
        """Assign a task to a machine; it is started only once a record names the attempt."""
        attempt = Attempt(job.id, index, number, machine.name, now)
        self.add_attempt(job, machine, attempt)
        machine.images[job.spec.image] = now
        return attempt

    def add_attempt(self, job: Job, machine: Machine, attempt: Attempt) -> None:
        """Add an attempt: newly placed, recorded by an earlier leader, or reported by a worker."""
        machine.attempts[attempt.key] = attempt
        machine.idle_since = None
        machine.free_capacity = None
        job.add(attempt)
        if attempt.record is None:
            self.unwritten_placements[attempt] = None
        else:
            self.records[attempt.record].add(attempt)

    def remove_attempt(self, attempt: Attempt, now: timedelta) -> None:
        """Remove an attempt that is certainly not on its machine and can't be started there."""
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.attempts.pop(attempt.key, None)
            machine.free_capacity = None
            if not machine.attempts:
                machine.idle_since = now
        self.unwritten_placements.pop(attempt, None)
        if attempt.record is not None:
            self.records[attempt.record].discard(attempt)
            self.stale_records.setdefault(attempt.record, now)
        job = self.jobs.get(attempt.job_id)
        if job is not None:
            job.remove(attempt)
            self._remove_if_gone(job)
        self.changed = True

    def stop(self, attempt: Attempt, grace: timedelta, now: timedelta) -> None:
        """Request the stop of an attempt; a further request can only shorten the grace period."""
        if attempt.stop_grace is not None and attempt.stop_grace <= grace:
            return
        attempt.stop_grace = grace
        if attempt.stop_since is None:
            attempt.stop_since = now
        if (
            attempt.state is None
            and attempt.start_sent_in is None
            and self.placed_by_this_leader(attempt)
        ):
            # Its start command was never sent, so there is nothing to stop.
            self.remove_attempt(attempt, now)
            return
        self.pending_direct_commands.add(attempt.machine)

    def stop_job(self, job: Job, now: timedelta, save: bool) -> None:
        """Stop all attempts of a job; ``save`` gives them time to save a checkpoint."""
        grace = grace_to_save(job) if save else ZERO
        for attempt in list(job.all_attempts()):
            self.stop(attempt, grace, now)

    # -- placement records -----------------------------------------------------------------

    def placements_written(self, key: str, attempts: Iterable[Attempt], now: timedelta) -> None:
        """Note that the state service holds a record under ``key`` naming these attempts."""
        remaining = self.records.setdefault(key, OrderedSet())
        for attempt in attempts:
            machine = self.machines.get(attempt.machine)
            if machine is None or machine.attempts.get(attempt.key) is not attempt:
                # Removed while the record was being written.
                self.stale_records.setdefault(key, now)
                continue
            if attempt.record is not None and attempt.record != key:
                self.records[attempt.record].discard(attempt)
                self.stale_records.setdefault(attempt.record, now)
            attempt.record = key
            remaining.add(attempt)
            self.unwritten_placements.pop(attempt, None)

    def placement_record_missing(self, key: str) -> None:
        """Note that there is no record under ``key``: its remaining attempts are written again."""
        self.stale_records.pop(key, None)
        for attempt in self.records.pop(key, OrderedSet()):
            attempt.record = None
            self.unwritten_placements[attempt] = None

    # -- queries ---------------------------------------------------------------------------

    def has_remaining_tasks(self, job_id: str) -> bool:
        """Tell whether a task of the job may be on a machine, or may still be started."""
        job = self.jobs.get(job_id)
        return job is not None and (not job.ended or bool(job.attempts))

    def may_start(self, job_id: str) -> bool:
        """Tell whether a task of a cancelled job may still start."""
        job = self.jobs.get(job_id)
        return job is not None and (not job.ended or job.may_start)

    def usage(self) -> dict[str, tuple[float, float]]:
        """Return the (CPUs, GPUs) by team of everything that may be on a machine."""
        used: dict[str, list[float]] = {name: [0.0, 0.0] for name in self.teams}
        for job in self.jobs.values():
            count = sum(len(attempts) for attempts in job.attempts.values())
            if count and job.spec.team in used:
                amounts = used[job.spec.team]
                amounts[0] += count * job.spec.cpus
                amounts[1] += count * job.spec.gpus
        return {name: (amounts[0], amounts[1]) for name, amounts in used.items()}

    def machines_by_offer(self) -> Counter[InstanceOffer]:
        """Return the number of known machines of each offer."""
        return Counter(
            InstanceOffer(machine.machine_type, machine.zone, machine.spot)
            for machine in self.machines.values()
        )

    def zones_of(self, job: Job) -> Counter[str]:
        """Return the number of the job's attempts in each zone."""
        zones: Counter[str] = Counter()
        for attempt in job.all_attempts():
            machine = self.machines.get(attempt.machine)
            if machine is not None:
                zones[machine.zone] += 1
        return zones

    def live_jobs(self) -> Iterator[Job]:
        """Yield the jobs that are neither done nor cancelled."""
        return (job for job in self.jobs.values() if not job.ended)


def placeholder_job(
    job_id: str, team: str = "", cpus: float = 0.0, gpus: float = 0.0, memory_gb: float = 0.0
) -> Job:
    """Return a stand-in for a job that is over but may still have tasks on machines.

    ``team`` and the amounts, where known, are what each of its tasks counts for.
    """
    spec = Submission(
        job_id, "", team, Shape.ARRAY, Priority.LOW, 0, cpus, gpus, memory_gb, "", 0.0,
        False, False, False, 0.0, 0.0, 0.0,
    )  # fmt: skip
    return Job(spec, ZERO, 0, ended=True)
