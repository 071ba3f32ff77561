"""Plays a night with the real scheduler, a simulated cloud and simulated workers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, timedelta

from bench.night import DURATION, HOUR, MACHINE_TYPE, NIGHT_START, QUARTER_HOUR, Night
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
#: A simulation ends after this time even if jobs are left.
MAX_DURATION = DURATION * 2
WORKERS = Workers(seconds(20), seconds(140), seconds(500), seconds(60), seconds(340))
TEAMS = {name: Team(name, 0.0, 8.0, None, 40.0) for name in ("red", "blue")}
ZONE = MACHINE_TYPE.zones[0]
TOKEN = 1


@dataclass
class Outcome:
    """The result of one night."""

    #: Number of jobs that missed their deadlines.
    missed_deadlines: int
    #: Cost of the flexible jobs: price times hours times tasks.
    cost: float


class Simulation:
    """The simulation of one night with one scheduler."""

    def __init__(self, night: Night, deferral_enabled: bool, feed_fails: bool) -> None:
        """Prepare a night.

        ``deferral_enabled``: flexible jobs may be deferred; ``feed_fails``: the price feed fails
        at ``Night.feed_fails_at``.
        """
        self._night = night
        cluster = ClusterState(TOKEN, WORKERS, TEAMS, seconds(0))
        policy = Policy(flexible={"nightly": Flexible()})
        self._scheduler = Scheduler(cluster, InstanceOffers(), policy, [], seconds(0))
        self._scheduler.set_catalog([MACHINE_TYPE])
        if deferral_enabled:
            self._scheduler.deferral = Deferral(cluster, UTC, seconds(5))
            self._scheduler.deferral.record_run_times(night.previous_estimate_errors())
        self._record_writer = RecordWriter(cluster, Limits(1000, 1000, 100, 65536))
        self._feed_end = night.feed_fails_at if feed_fails else timedelta.max
        self._last_feed_at: timedelta | None = None
        self._jobs = {job.submission.job_id: job for job in night.jobs}
        #: When each booting machine is up, and the heartbeat sequence number of each that is up.
        self._booting: dict[str, timedelta] = {}
        self._up: dict[str, int] = {}
        self._rented_count = 0
        self._started: dict[tuple[str, int], timedelta] = {}
        self._ended: dict[str, timedelta] = {}
        self._cost = 0.0

    def run(self) -> Outcome:
        """Play the night until all jobs have ended or the time is up."""
        now = seconds(0)
        to_submit = list(self._night.jobs)
        while now < MAX_DURATION and (to_submit or len(self._ended) < len(self._jobs)):
            while to_submit and to_submit[0].submitted_at <= now:
                job = to_submit.pop(0)
                self._scheduler.job_added(Job(job.submission, job.submitted_at, 1), now)
            self._send_series(now)
            self._simulate_cloud(now)
            for name in list(self._up):
                self._heartbeat(name, now)
            self._schedule(now)
            now += STEP
        missed_deadlines = sum(
            self._ended.get(name, MAX_DURATION) > job.deadline for name, job in self._jobs.items()
        )
        return Outcome(missed_deadlines, self._cost)

    def _send_series(self, now: timedelta) -> None:
        """Pass the feed's series to the scheduler every quarter of an hour until the feed fails."""
        deferral = self._scheduler.deferral
        due = self._last_feed_at is None or now - self._last_feed_at >= QUARTER_HOUR
        if deferral and now < self._feed_end and due:
            self._last_feed_at = now
            deferral.add_series(self._night.series(now))

    def _schedule(self, now: timedelta) -> None:
        """Run a scheduling cycle and treat all its records as written."""
        self._scheduler.tick(now)
        self._scheduler.refresh_deferral(now, NIGHT_START + now)
        self._scheduler.run_cycle(now)
        while batches := self._record_writer.next(now):
            for batch in batches:
                self._record_writer.committed(batch, 1, now)

    def _simulate_cloud(self, now: timedelta) -> None:
        """Rent, boot, return and list machines."""
        scheduler = self._scheduler
        for request in list(scheduler.pending_rental_requests.values()):
            available = self._night.machines - len(self._up) - len(self._booting)
            count = min(request.count, available)
            names = [f"i-{self._rented_count + number:06d}" for number in range(count)]
            self._rented_count += len(names)
            if names:
                scheduler.rental_granted(request, names, now)
                booted_at = now + seconds(MACHINE_TYPE.boot_s)
                self._booting |= dict.fromkeys(names, booted_at)
            else:
                scheduler.rental_refused(request, now)
        for name in [name for name, booted_at in self._booting.items() if booted_at <= now]:
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
        """Let a worker start and end tasks, and process its heartbeat."""
        cluster = self._scheduler.cluster
        machine = cluster.machines.get(name)
        if machine is None:
            return
        self._up[name] += 1
        tasks = [
            self._step_task(attempt, now)
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

    def _step_task(self, attempt: Attempt, now: timedelta) -> TaskStatus:
        """Run a task for one more step and return its status."""
        job = self._jobs[attempt.job_id]
        started = self._started.setdefault((attempt.job_id, attempt.index), now)
        status = TaskStatus(attempt.task, attempt.number, "running")
        if now - started >= job.run_time:
            status.state, status.why = "exited", "done"
            self._ended[attempt.job_id] = now
        if job.is_flexible:
            self._cost += self._night.price(now) * (STEP / HOUR)
        return status
