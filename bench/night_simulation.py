"""Plays a night under the real scheduler, with a cloud and workers of a few lines."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, timedelta

from bench.night import BEGIN, DURATION, HOUR, MACHINE_TYPE, QUARTER, Night
from micadeal.clock import seconds
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.fleet.machines import Attempt
from micadeal.jobs.model import Job
from micadeal.operator.platform import Team, Workers
from micadeal.operator.policy import Flexible, Policy
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.deferral import Deferral
from micadeal.scheduling.scheduler import Scheduler
from micadeal.state.limits import Limits
from micadeal.wire.cloud import ListedMachine
from micadeal.wire.workers import Heartbeat, TaskStatus

STEP = seconds(20)
#: A night that is not over by then is given up.
LIMIT = DURATION * 2
WORKERS = Workers(seconds(20), seconds(140), seconds(500), seconds(60), seconds(340))
TEAMS = {name: Team(name, 0.0, 8.0, None, 40.0) for name in ("red", "blue")}
ZONE = MACHINE_TYPE.zones[0]
TOKEN = 1


@dataclass
class Outcome:
    """The result of one night."""

    #: Jobs that missed their deadlines.
    missed: int
    #: Of flexible work: price times hours times tasks.
    cost: float


class Simulation:
    """One night under one scheduler."""

    def __init__(self, night: Night, timing: bool, feed_lost: bool) -> None:
        """Prepare a night; ``timing``: flexible work may be deferred."""
        self._night = night
        cluster = ClusterState(TOKEN, WORKERS, TEAMS, seconds(0))
        policy = Policy(flexible={"nightly": Flexible()})
        self._scheduler = Scheduler(cluster, InstanceOffers(), policy, [], seconds(0))
        self._scheduler.set_catalog([MACHINE_TYPE])
        if timing:
            self._scheduler.deferral = Deferral(cluster, UTC, seconds(5))
            self._scheduler.deferral.record_run_times(night.earlier_errors())
        self._record_writer = RecordWriter(cluster, Limits(1000, 1000, 100, 65536))
        self._feed_until = night.feed_lost_at if feed_lost else timedelta.max
        self._fed: timedelta | None = None
        self._jobs = {job.submission.job_id: job for job in night.jobs}
        #: Machines that boot, and when they are up; those that are up, and their sequence numbers.
        self._booting: dict[str, timedelta] = {}
        self._up: dict[str, int] = {}
        self._rented = 0
        self._started: dict[tuple[str, int], timedelta] = {}
        self._ended: dict[str, timedelta] = {}
        self._cost = 0.0

    def run(self) -> Outcome:
        """Play the night to its end."""
        now = seconds(0)
        to_submit = list(self._night.jobs)
        while now < LIMIT and (to_submit or len(self._ended) < len(self._jobs)):
            while to_submit and to_submit[0].at <= now:
                job = to_submit.pop(0)
                self._scheduler.job_added(Job(job.submission, job.at, 1), now)
            self._feed(now)
            self._serve_cloud(now)
            for name in list(self._up):
                self._heartbeat(name, now)
            self._schedule(now)
            now += STEP
        missed = sum(
            self._ended.get(name, LIMIT) > job.deadline for name, job in self._jobs.items()
        )
        return Outcome(missed, self._cost)

    def _feed(self, now: timedelta) -> None:
        """Pass on the feed's series, four times an hour until the feed falls silent."""
        deferral = self._scheduler.deferral
        due = self._fed is None or now - self._fed >= QUARTER
        if deferral and now < self._feed_until and due:
            self._fed = now
            deferral.add_series(self._night.series(now))

    def _schedule(self, now: timedelta) -> None:
        """Let the scheduler decide, and take all records as written."""
        self._scheduler.tick(now)
        self._scheduler.refresh_deferral(now, BEGIN + now)
        self._scheduler.run_cycle(now)
        while batches := self._record_writer.next(now):
            for batch in batches:
                self._record_writer.committed(batch, 1, now)

    def _serve_cloud(self, now: timedelta) -> None:
        """Rent, boot, return and list machines."""
        scheduler = self._scheduler
        for request in list(scheduler.pending_rental_requests.values()):
            free = self._night.machines - len(self._up) - len(self._booting)
            count = min(request.count, free)
            names = [f"i-{self._rented + number:06d}" for number in range(count)]
            self._rented += len(names)
            if names:
                scheduler.rental_granted(request, names, now)
                ready = now + seconds(MACHINE_TYPE.boot_s)
                self._booting |= dict.fromkeys(names, ready)
            else:
                scheduler.rental_refused(request, now)
        for name in [name for name, ready in self._booting.items() if ready <= now]:
            del self._booting[name]
            self._up[name] = 0
        returned = sorted(scheduler.pending_returns)
        for name in returned:
            self._up.pop(name, None)
            self._booting.pop(name, None)
        scheduler.return_confirmed(returned, now)
        scheduler.apply_machine_list(self._listed(), now)

    def _listed(self) -> list[ListedMachine]:
        return [
            ListedMachine(
                name, f"10.0.0.1:{9000 + number}", MACHINE_TYPE.name, ZONE, False, "running", 0.0
            )
            for number, name in enumerate(self._up)
        ]

    def _heartbeat(self, name: str, now: timedelta) -> None:
        """Let a worker start and end tasks, and take in its heartbeat."""
        cluster = self._scheduler.cluster
        machine = cluster.machines.get(name)
        if machine is None:
            return
        self._up[name] += 1
        tasks = [
            self._run(attempt, now)
            for attempt in list(machine.attempts.values())
            if attempt.start_sent_in is not None
        ]
        heartbeat = Heartbeat(
            machine=name, address=machine.address or "10.0.0.1:9000",
            machine_type=MACHINE_TYPE.name, zone=ZONE, spot=False, incarnation=1,
            sequence=self._up[name], token=TOKEN, tasks=tasks,
        )  # fmt: skip
        self._scheduler.on_heartbeat(heartbeat, now, is_heartbeat=True, full_authority=True)
        for job in list(cluster.live_jobs()):
            if job.complete:
                cluster.job_record_removed(job.id, now)

    def _run(self, attempt: Attempt, now: timedelta) -> TaskStatus:
        """Let a task run for one more step, and return its status."""
        job = self._jobs[attempt.job_id]
        started = self._started.setdefault((attempt.job_id, attempt.index), now)
        status = TaskStatus(attempt.task, attempt.number, "running")
        if now - started >= job.run_time:
            status.state, status.why = "exited", "done"
            self._ended[attempt.job_id] = now
        if job.is_flexible:
            self._cost += self._night.price(now) * (STEP / HOUR)
        return status
