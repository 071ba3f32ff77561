"""The leader's picture of jobs, machines and attempts, and what reports do to it.  No I/O.

The one question that everything here serves: may a task still be, or still come to be, on a
machine?  An attempt stays in the picture, and counts for limits, zones and room, until that is
certainly not so (docs/safety.md).
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from micadeal.clock import DRIFT, ZERO, monotonic_at, seconds
from micadeal.fleet.boot_times import BootTimes
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import Attempt, ExitedTask, HeartbeatId, Machine
from micadeal.fleet.reachability import UNRENEWED_LEASE_SHARE
from micadeal.jobs.dependencies import JobDependencies, JobEnd
from micadeal.jobs.model import Job
from micadeal.operator.platform import Team, Workers
from micadeal.wire.cloud import MachineType
from micadeal.wire.state import EndRecord, ImagesRecord, PlacedRecord
from micadeal.wire.users import Priority, Shape, Status, Submission
from micadeal.wire.workers import Command, CommandKind, Heartbeat, TaskState, TaskStatus

log = logging.getLogger(__name__)

#: Attempt numbers are the term's token times this, plus a counter: they grow over all leaders
#: and are never used twice, with nothing to write down.
ATTEMPTS_PER_TERM = 1 << 20
#: Beyond a worker's lease, for drift, late timers and a report that was on its way.
LEASE_MARGIN = seconds(1.5)
#: What the worker gets beyond the time a task needs to save.
GRACE_MARGIN = seconds(2)
#: Without news of a machine for so many report intervals, one that looks old is looked into.
NEWS_REPORTS = 1.5
#: A task of a service that has run for so long does not fail by a mistake of its job.
PROVEN = seconds(30)
#: Images whose size is remembered; the least lately submitted one is forgotten.
MOST_SIZES = 2000
#: Names of machines that are gone.
MOST_GONE = 20_000
_STATES = {state.value: state for state in TaskState}


def split_task(text: str) -> tuple[str, int]:
    job_id, _, index = text.rpartition("/")
    if not job_id or not index.isdigit():
        raise ValueError(f"not a task: {text!r}")
    return job_id, int(index)


def grace_to_save(job: Job) -> timedelta:
    """What a task needs to save when it is stopped; zero if it can't save."""
    return job.save_time + GRACE_MARGIN if job.can_save else ZERO


def lease_expiry(workers: Workers) -> timedelta:
    """After a silence of this length a worker's lease has certainly run out."""
    return workers.lease * (1 + 2 * DRIFT) + LEASE_MARGIN


def _proven(attempt: Attempt, now: timedelta) -> bool:
    return attempt.running_since is not None and now - attempt.running_since > PROVEN


class StaleTokenError(Exception):
    """A worker has seen the token of a later leader."""


@dataclass(slots=True)
class ClusterState:
    token: int
    workers: Workers
    teams: dict[str, Team]
    began: timedelta
    types: dict[str, MachineType] = field(default_factory=dict)
    image_sizes: dict[str, float] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    #: Jobs whose finished set must be written.
    finished_dirty: set[str] = field(default_factory=set)
    #: Attempts that no record in the state service names yet, in the order of their placing.
    unwritten: dict[Attempt, None] = field(default_factory=dict)
    #: Records of placements in the state service: what of each is still in the picture.
    records: dict[str, set[Attempt]] = field(default_factory=dict)
    #: Records that name something that is gone, and since when.
    shrunk: dict[str, timedelta] = field(default_factory=dict)
    #: Machines that should hear of a stop at once.
    direct: set[str] = field(default_factory=set)
    #: Machines that are to be asked what they have: their reports leave something open.
    asking: set[str] = field(default_factory=set)
    #: Something changed that a pass could make use of.
    changed: bool = True
    #: Names of machines that are certainly gone: a late report or list brings none back.
    gone: dict[str, timedelta] = field(default_factory=dict)
    #: What boots took lately.
    boot_times: BootTimes = field(default_factory=BootTimes)
    #: Sums over finished attempts, for the overview and the tests.
    events: Counter[str] = field(default_factory=Counter)
    #: Where timing is switched on: class of each task that ended, and the time that it took as a
    #: multiple of its estimate.
    ends: list[tuple[str, float]] | None = None
    #: Jobs of which all tasks ran, by the last word of the leader before.
    all_started: frozenset[str] = frozenset()
    #: Jobs that turned out to be over, and of which users have to be told so from now on.
    ended: list[str] = field(default_factory=list)
    #: Which of the jobs wait for which others.
    dependencies: JobDependencies = field(init=False)
    _attempts: int = 0

    def __post_init__(self) -> None:
        self.dependencies = JobDependencies(self.jobs)

    # -- jobs ------------------------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        self.jobs[job.id] = job
        self.image_sizes.pop(job.spec.image, None)
        self.image_sizes[job.spec.image] = job.spec.image_gb
        if len(self.image_sizes) > MOST_SIZES:
            del self.image_sizes[next(iter(self.image_sizes))]
        self.dependencies.add(job)
        self.changed = True

    def job_gone(self, job_id: str, now: timedelta) -> None:
        """The job's record was removed: it is done or cancelled, nothing of it may go on.

        Which of the two it is, for jobs that need it, is read from its end.
        """
        self.dependencies.look_again(job_id)
        job = self.jobs.get(job_id)
        if job is None or job.over:
            return
        job.over = True
        self.ended.append(job_id)
        self.dependencies.gone(job)
        self.changed = True
        for attempt in list(job.all_attempts()):
            self.stop(attempt, ZERO, now)
        self._forget_job(job)

    def job_ended(self, job_id: str, end: EndRecord, now: timedelta) -> None:
        """The job's end is recorded.  What is left of it on machines only has to exit."""
        job = self.jobs.get(job_id)
        if job is not None and end.status is Status.DONE:
            job.durable |= job.finished
        self.job_gone(job_id, now)
        self.dependencies.ended(
            job_id, JobEnd(end.status is Status.DONE, monotonic_at(end.ended_at, now))
        )
        self.changed = True

    def _forget_job(self, job: Job) -> None:
        if job.over and not job.attempts and self.jobs.pop(job.id, None) is not None:
            log.debug("nothing is left of %s", job.id)

    def next_number(self) -> int:
        self._attempts += 1
        return self.token * ATTEMPTS_PER_TERM + self._attempts

    # -- attempts --------------------------------------------------------------------------

    def place(self, job: Job, index: int, number: int, machine: Machine, now: timedelta) -> Attempt:
        attempt = Attempt(job.id, index, number, machine.name, now)
        self._adopt(job, machine, attempt)
        machine.images[job.spec.image] = now
        return attempt

    def _adopt(self, job: Job, machine: Machine, attempt: Attempt) -> None:
        machine.attempts[attempt.key] = attempt
        machine.idle_since = None
        machine.shape = None
        job.add(attempt)
        if attempt.record is None:
            self.unwritten[attempt] = None
        else:
            self.records[attempt.record].add(attempt)

    def release(self, attempt: Attempt, now: timedelta) -> None:
        """The attempt is certainly not on its machine, nor can it still come to be."""
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.attempts.pop(attempt.key, None)
            machine.shape = None
            if not machine.attempts:
                machine.idle_since = now
        self.unwritten.pop(attempt, None)
        if attempt.record is not None:
            self.records[attempt.record].discard(attempt)
            self.shrunk.setdefault(attempt.record, now)
        job = self.jobs.get(attempt.job_id)
        if job is not None:
            job.remove(attempt)
            self._forget_job(job)
        self.changed = True

    def stop(self, attempt: Attempt, grace: timedelta, now: timedelta) -> None:
        """Have an attempt stopped; the smaller grace of two wins."""
        if attempt.stop is not None and attempt.stop <= grace:
            return
        attempt.stop = grace
        if attempt.stop_since is None:
            attempt.stop_since = now
        if attempt.state is None and attempt.ordered is None and self._ours(attempt):
            # Its start was never sent to anybody, so there is nothing to stop.
            self.release(attempt, now)
            return
        self.direct.add(attempt.machine)

    def stop_job(self, job: Job, now: timedelta, save: bool) -> None:
        """Stop all of a job's attempts in one go, with grace to save if wanted."""
        grace = grace_to_save(job) if save else ZERO
        for attempt in list(job.all_attempts()):
            self.stop(attempt, grace, now)

    def _ours(self, attempt: Attempt) -> bool:
        return attempt.number >= self.token * ATTEMPTS_PER_TERM

    # -- loading what an earlier leader left ----------------------------------------------

    def load_placed(self, key: str, record: PlacedRecord, now: timedelta) -> None:
        """Take over a record of placements: all that it names may be on machines."""
        self.records.setdefault(key, set())
        if not record.machines:
            # Emptied by the leader before, which could not drop it.
            self.shrunk.setdefault(key, now)
        for entry in record.machines:
            machine = self.machines.get(entry.name)
            if machine is None:
                machine = self.machines[entry.name] = Machine(
                    entry.name, entry.address, entry.machine_type, entry.zone, entry.spot, now, now
                )
            # Records are immutable, so that of a later session is the later one.
            if entry.incarnation >= machine.incarnation:
                machine.incarnation, machine.address = entry.incarnation, entry.address
            for placed in entry.tasks:
                job = self._job_or_ghost(placed.job_id)
                attempt = Attempt(
                    placed.job_id, placed.index, placed.attempt, entry.name, now, record=key
                )
                attempt.started = placed.job_id in self.all_started
                if attempt.key in machine.attempts:
                    self.shrunk.setdefault(key, now)
                    continue
                self._adopt(job, machine, attempt)
                if job.over:
                    self.stop(attempt, ZERO, now)

    def load_images(self, record: ImagesRecord, now: timedelta) -> None:
        for name, images in record.machines.items():
            machine = self.machines.get(name)
            if machine is not None:
                for age, image in enumerate(images):
                    machine.images.setdefault(image, now - seconds(age + 1))
                machine.shape = None

    def load_ended(self, job_id: str, end: EndRecord) -> None:
        """A job that is over and may have tasks on machines: they count for its team still."""
        ghost = _ghost(job_id, end.team, end.cpus, end.gpus, end.memory_gb)
        self.jobs[job_id] = ghost

    def _job_or_ghost(self, job_id: str) -> Job:
        """A job that is over but has attempts left stays until they are gone."""
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = _ghost(job_id)
        return job

    # -- reports ---------------------------------------------------------------------------

    def on_heartbeat(
        self,
        heartbeat: Heartbeat,
        now: timedelta,
        is_heartbeat: bool,
        asked: timedelta | None = None,
    ) -> Machine | None:
        """Take a report in; ``checkin`` tells a worker's own report from an answer to a command,
        and ``asked`` when the question of that answer was put.

        None if it is of a machine that is gone for good, or older than one taken already: then it
        must not be answered as if it were news.
        """
        if heartbeat.token > self.token:
            raise StaleTokenError
        if heartbeat.machine in self.gone:
            return None
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._meet(heartbeat, now)
        reachability = machine.reachability
        if reachability.restarted or self._looks_older(machine, heartbeat):
            # Held up by the network, or a copy of what came long ago: its list of tasks is as old
            # as itself, and nothing is renewed, freed or woken by it.  Or the worker began anew.
            if reachability.proves_restart(asked):
                self._began_anew(machine, heartbeat, now)
            elif is_heartbeat and not reachability.restarted and self._no_news(machine, now):
                self.asking.add(machine.name)
            return None
        if machine.lost and heartbeat.incarnation == machine.incarnation:
            # Guards against copies that wake machines which are gone: with its lease over, a worker
            # that is there speaks of its next session.  What it shows still counts, see _tasks.
            is_heartbeat = False
        if machine.up_since is None:
            machine.up_since = now
            machine.idle_since = now
            if machine.boot_seen:
                self.boot_times.record_boot(machine, now)
            self.changed = True
        self._effects(machine, heartbeat, now, is_heartbeat)
        if heartbeat.incarnation > machine.incarnation:
            machine.exited.clear()
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.address = heartbeat.address
        knew = machine.has_our_token
        machine.has_our_token = heartbeat.token == self.token
        if machine.has_our_token and not knew:
            self.changed = True
        reachability.take(heartbeat.token, now)
        if asked is not None:
            reachability.probe_answered(asked)
        if is_heartbeat:
            machine.heard = now
            if machine.lost:
                machine.lost = False
                self.changed = True
        self._notice(machine, heartbeat, now)
        if reachability.receives_nothing:
            self._take_back(machine, now)
        self._tasks(machine, heartbeat, now, is_heartbeat)
        return machine

    def _looks_older(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Within one process of a worker all three only grow."""
        known = (machine.incarnation, machine.sequence)
        return (
            heartbeat.incarnation,
            heartbeat.sequence,
        ) <= known or heartbeat.token < machine.reachability.token

    def _no_news(self, machine: Machine, now: timedelta) -> bool:
        """Whether a message that looks old may be all that there will be: else it is a copy, and
        a flood of copies is no reason to ask hundreds of machines."""
        latest = machine.reachability.latest
        due = latest is None or now - latest > self.workers.heartbeat_interval * NEWS_REPORTS
        return due and machine.reachability.may_ask(now)

    def _began_anew(self, machine: Machine, heartbeat: Heartbeat, now: timedelta) -> None:
        """Guards against tasks that are thought to run for as long as the sequence of the new
        process is below that of the one before it, and against what copies of the latter would
        seem to show: what the answer does not show is gone, and the machine is given back."""
        if not machine.reachability.restarted:
            log.info("the worker of %s began anew", machine.name)
            machine.reachability.restarted = True
            machine.draining = "its worker began anew"
            machine.exited.clear()
        shown = {(task.task, task.attempt) for task in heartbeat.tasks}
        for attempt in list(machine.attempts.values()):
            if (attempt.task, attempt.number) in shown:
                self.stop(attempt, ZERO, now)
            elif self._ours(attempt) or heartbeat.token == self.token:
                # We order no start as long as reports look old.  A start of an earlier leader may
                # be on its way to a worker that does not know our token: the cloud makes certain.
                self._lose(machine, attempt, now)
        self.changed = True

    def _effects(
        self, machine: Machine, heartbeat: Heartbeat, now: timedelta, is_heartbeat: bool
    ) -> None:
        """What the report shows of our last answer: whether it reached the machine.

        Guards against a machine that swallows one start after the other.  An answer counts by its
        effect alone, never by having been sent (docs/safety.md).
        """
        reachability = machine.reachability
        ours = heartbeat.token == self.token
        starts = [a for a in machine.attempts.values() if a.state is None and a.ordered is not None]
        if (
            not starts
            and ours
            and machine.has_our_token
            and heartbeat.incarnation == machine.incarnation
        ):
            # Nothing was asked for that could show.
            return
        shown = {(task.task, task.attempt) for task in heartbeat.tasks}
        took = any((a.task, a.number) in shown for a in starts)
        if took or (ours and not machine.has_our_token):
            reachability.response_took_effect()
            return
        if not is_heartbeat or machine.heard is None:
            # It may have been made while the answer was on its way.
            return
        known = (machine.incarnation, machine.sequence)
        swallowed = any(a.ordered == known and a.stop is None for a in starts)
        ended = (
            heartbeat.incarnation > machine.incarnation
            and now - machine.heard < self.workers.lease * UNRENEWED_LEASE_SHARE
        )
        if swallowed or ended or not ours:
            reachability.response_had_no_effect(now)
            if reachability.may_ask(now):
                self.asking.add(machine.name)
            self.changed |= reachability.receives_nothing

    def _take_back(self, machine: Machine, now: timedelta) -> None:
        """Starts that a deaf machine has not shown go elsewhere, by the ways that are certain: once
        a newer report, sent after the answer with the start, does not show them.  A gang goes
        whole: what is left of it would wait in vain."""
        for attempt in list(machine.attempts.values()):
            if attempt.state is None and self._ours(attempt) and attempt.stop is None:
                self._member_gone(attempt, now)
                self.stop(attempt, ZERO, now)

    def _meet(self, heartbeat: Heartbeat, now: timedelta) -> Machine:
        """A machine nobody told us of: a late rental, or one rented by an earlier leader."""
        machine = Machine(
            heartbeat.machine,
            heartbeat.address,
            heartbeat.machine_type,
            heartbeat.zone,
            heartbeat.spot,
            now,
            now,
        )
        machine.confirmed = False
        self.machines[machine.name] = machine
        return machine

    def _notice(self, machine: Machine, heartbeat: Heartbeat, now: timedelta) -> None:
        if heartbeat.notice_s is None:
            machine.notice_end = None
            return
        if machine.notice_end is None:
            self.changed = True
        machine.notice_end = now + seconds(min(max(heartbeat.notice_s, 0.0), 1e6))

    def _tasks(
        self, machine: Machine, heartbeat: Heartbeat, now: timedelta, is_heartbeat: bool
    ) -> None:
        shown: set[tuple[str, int, int]] = set()
        exited: set[tuple[str, int]] = set()
        for task in heartbeat.tasks:
            try:
                job_id, index = split_task(task.task)
            except ValueError:
                log.warning("%s reports %r", machine.name, task.task)
                continue
            key = (job_id, index, task.attempt)
            shown.add(key)
            if task.state == TaskState.EXITED.value:
                exited.add((task.task, task.attempt))
                self._exited(machine, key, task, now)
            else:
                self._present(machine, key, _STATES.get(task.state, TaskState.RUNNING), now)
        for gone in [key for key in machine.exited if key not in exited]:
            del machine.exited[gone]
        for attempt in [a for key, a in machine.attempts.items() if key not in shown]:
            if self._absent_for_good(attempt, machine, is_heartbeat):
                if attempt.state is None:
                    self.release(attempt, now)
                else:
                    self._lose(machine, attempt, now)

    def _absent_for_good(self, attempt: Attempt, machine: Machine, is_heartbeat: bool) -> bool:
        """Whether an attempt that the newest report does not show can still come to be."""
        if attempt.state is not None:
            # It was there and is not any more: killed with its session, or forgotten.
            return True
        if not self._ours(attempt):
            # Its start could only come in an answer of an earlier leader.  The worker drops those
            # once it has seen our token; before that, a report that was held up by the network
            # proves nothing (two leaders, one late report: the task would run twice).
            return machine.has_our_token
        if attempt.ordered is None:
            return False
        if not is_heartbeat:
            # An answer to a command may be made while the answer with the start is on its way.
            return False
        # The worker has one report in flight.  This one was sent after the answer with the start
        # was taken or given up, and it does not show it.  Unless it is to be stopped, the start
        # is simply ordered again.
        return attempt.stop is not None and attempt.ordered < (
            machine.incarnation,
            machine.sequence,
        )

    def _present(
        self, machine: Machine, key: tuple[str, int, int], state: TaskState, now: timedelta
    ) -> None:
        attempt = machine.attempts.get(key)
        unknown = attempt is None
        if attempt is None:
            attempt = Attempt(*key, machine.name, now)
            self._adopt(self._job_or_ghost(key[0]), machine, attempt)
        if state is not attempt.state:
            if state is TaskState.RUNNING and attempt.running_since is None:
                attempt.running_since = now
                log.debug(
                    "%s of %s runs on %s %.1f s after it could, %.1f s after its placement",
                    attempt.task,
                    self.jobs[key[0]].spec.job_class,
                    machine.name,
                    (now - self.jobs[key[0]].ready).total_seconds(),
                    (now - attempt.placed).total_seconds(),
                )
                machine.shape = None
            attempt.state = state
        job = self.jobs[key[0]]
        if job.is_service and job.errors and _proven(attempt, now):
            # It is never done: that it runs takes back what failed on faulty machines.  Else a
            # replica that was lost later was not replaced as long as another one ran.
            job.errors.clear()
            job.retry_at = timedelta.min
        if not job.over:
            machine.images[job.spec.image] = now
        if unknown and (job.over or len(job.attempts[key[1]]) > 1 or key[1] in job.finished):
            # Only now that its state is known: one that nobody has reported is taken for never
            # started and leaves the picture at once.
            self.stop(attempt, ZERO, now)

    def _exited(
        self, machine: Machine, key: tuple[str, int, int], task: TaskStatus, now: timedelta
    ) -> None:
        job_id, index, _ = key
        done = task.why == "done"
        known = machine.exited.get((task.task, task.attempt))
        attempt = machine.attempts.get(key)
        machine.exited[(task.task, task.attempt)] = ExitedTask(job_id, index, done)
        if known is not None and attempt is None:
            return
        job = self.jobs.get(job_id)
        if job is not None and not job.over:
            if done:
                self._learn(job, attempt, now)
                self._done(job, index, machine, now)
            else:
                self._failed(job, machine, attempt, task, now)
        if attempt is not None:
            if not done:
                self._member_gone(attempt, now)
            self.release(attempt, now)

    def _learn(self, job: Job, attempt: Attempt | None, now: timedelta) -> None:
        since = None if attempt is None else attempt.running_since
        if self.ends is not None and since is not None and job.spec.estimate_s > 0:
            taken = (now - since).total_seconds()
            self.ends.append((job.spec.job_class, taken / job.spec.estimate_s))

    def _done(self, job: Job, index: int, machine: Machine, now: timedelta) -> None:
        if job.is_service or index >= job.spec.tasks:
            return
        machine.errors.clear()
        job.errors.clear()
        job.retry_at = timedelta.min
        job.last_progress = now
        # The tasks of a gang complete together: if one is done, every one is.
        indexes: Iterable[int] = range(job.spec.tasks) if job.is_gang else (index,)
        for finished in indexes:
            if finished not in job.finished:
                job.finish(finished)
                self.events["done"] += 1
        self.finished_dirty.add(job.id)
        self.changed = True

    def _failed(
        self,
        job: Job,
        machine: Machine,
        attempt: Attempt | None,
        task: TaskStatus,
        now: timedelta,
    ) -> None:
        cause = task.why or "unknown"
        self.events[cause] += 1
        if cause == "error":
            machine.errors.add(job.id)
            job.errors[machine.name] += 1
            # A job submitted with a mistake fails everywhere, stays below its share and would
            # retake each freed slot (design, "Consequences"): it waits longer each time.
            failures = sum(job.errors.values())
            if len(job.errors) > 1 or failures > 2:
                job.retry_at = now + min(seconds(2) * 2 ** min(failures - 2, 6), seconds(90))
        elif cause == "unknown":
            job.retry_at = now + seconds(2)

    def _member_gone(self, attempt: Attempt, now: timedelta) -> None:
        """A gang lost a task: its whole attempt is brought to an end before the next.

        Another attempt of the gang is none of its business: what an earlier attempt may have left
        somewhere, or a record that was carried out late names, ends without those that run.
        """
        job = self.jobs.get(attempt.job_id)
        if job is None or not job.is_gang or job.over or job.complete:
            return
        others = [a for a in job.all_attempts() if a is not attempt and a.number == attempt.number]
        if attempt.state is TaskState.SAVING or attempt.stop is not None:
            # An orderly stop: each task saves and exits by itself.
            others = [a for a in others if a.stop is None]
        for other in others:
            self.stop(other, ZERO, now)

    # -- orders ----------------------------------------------------------------------------

    def commands_for(self, machine: Machine, now: timedelta, full: bool) -> list[Command]:
        """What the answer to the machine's newest report says.  Starts only with ``full`` power,
        and only in such answers: the worker drops those that come late."""
        commands = self.stop_commands_for(machine)
        seen = (machine.incarnation, machine.sequence)
        if not full:
            return commands
        for (task, number), (job_id, index, done) in machine.exited.items():
            job = self.jobs.get(job_id)
            if not done or job is None or job.over or job.is_service or index in job.durable:
                commands.append(Command(CommandKind.FORGET, task, number))
        if not machine.has_our_token or machine.lost or machine.reachability.receives_nothing:
            return commands
        for attempt in machine.attempts.values():
            if not attempt.durable or not self._ours(attempt):
                continue
            if attempt.stop is None and attempt.state is None:
                attempt.ordered = HeartbeatId(*seen)
                commands.append(Command(CommandKind.START, attempt.task, attempt.number))
        return commands

    def stop_commands_for(self, machine: Machine) -> list[Command]:
        return [
            Command(CommandKind.STOP, a.task, a.number, a.stop.total_seconds())
            for a in machine.attempts.values()
            if a.stop is not None and (a.state is not None or not self._ours(a))
        ]

    # -- time ------------------------------------------------------------------------------

    @property
    def lease_expiry(self) -> timedelta:
        return lease_expiry(self.workers)

    def expire(self, now: timedelta) -> None:
        """Machines silent for longer than their lease: nothing is on them any more."""
        limit = self.lease_expiry
        for machine in list(self.machines.values()):
            # Only a worker that has shown our token: another leader can't have answered it since.
            latest = machine.reachability.latest
            if machine.lost or latest is None or not machine.has_our_token:
                continue
            if now - latest > limit:
                machine.lost = True
                self.changed = True
                log.info("%s is silent past its lease", machine.name)
                self._clear(machine, now)

    def machine_gone(self, name: str, now: timedelta) -> None:
        """The cloud has confirmed that the machine and everything on it are gone."""
        self.gone[name] = now
        if len(self.gone) > MOST_GONE:
            del self.gone[next(iter(self.gone))]
        machine = self.machines.get(name)
        if machine is None:
            return
        self._clear(machine, now)
        del self.machines[name]
        self.changed = True

    def _clear(self, machine: Machine, now: timedelta) -> None:
        for attempt in list(machine.attempts.values()):
            self._lose(machine, attempt, now)
        machine.exited.clear()

    def _lose(self, machine: Machine, attempt: Attempt, now: timedelta) -> None:
        """An attempt that was there, or could have come to be, certainly is not any more."""
        self.events["lost"] += 1
        self._member_gone(attempt, now)
        # The stop of other members may have released this one as well.
        if attempt.key in machine.attempts:
            self.release(attempt, now)

    # -- records ---------------------------------------------------------------------------

    def written(self, key: str, attempts: Iterable[Attempt], now: timedelta) -> None:
        """The state service holds a record under ``key`` that names these attempts."""
        entries = self.records.setdefault(key, set())
        for attempt in attempts:
            machine = self.machines.get(attempt.machine)
            if machine is None or machine.attempts.get(attempt.key) is not attempt:
                # Released while the record was being written.
                self.shrunk.setdefault(key, now)
                continue
            if attempt.record is not None and attempt.record != key:
                self.records[attempt.record].discard(attempt)
                self.shrunk.setdefault(attempt.record, now)
            attempt.record = key
            entries.add(attempt)
            self.unwritten.pop(attempt, None)

    def record_gone(self, key: str) -> None:
        """The state service holds no such record (any more): what it named must be written anew."""
        self.shrunk.pop(key, None)
        for attempt in self.records.pop(key, ()):
            attempt.record = None
            self.unwritten[attempt] = None

    # -- sums ------------------------------------------------------------------------------

    def left_of(self, job_id: str) -> bool:
        """Whether anything of a job may still be, or come to be, on a machine."""
        job = self.jobs.get(job_id)
        return job is not None and (not job.over or bool(job.attempts))

    def may_start(self, job_id: str) -> bool:
        """Whether a task of a job that is cancelled may still start."""
        job = self.jobs.get(job_id)
        return job is not None and (not job.over or job.may_start)

    def usage(self) -> dict[str, tuple[float, float]]:
        """(cpus, gpus) per team of everything that may be on a machine."""
        used: dict[str, list[float]] = {name: [0.0, 0.0] for name in self.teams}
        for job in self.jobs.values():
            count = sum(len(attempts) for attempts in job.attempts.values())
            if count and job.spec.team in used:
                entry = used[job.spec.team]
                entry[0] += count * job.spec.cpus
                entry[1] += count * job.spec.gpus
        return {name: (entry[0], entry[1]) for name, entry in used.items()}

    def held(self) -> Counter[InstanceOffer]:
        """Machines that we have of each offer."""
        return Counter(
            InstanceOffer(machine.machine_type, machine.zone, machine.spot)
            for machine in self.machines.values()
        )

    def zones_of(self, job: Job) -> Counter[str]:
        zones: Counter[str] = Counter()
        for attempt in job.all_attempts():
            machine = self.machines.get(attempt.machine)
            if machine is not None:
                zones[machine.zone] += 1
        return zones

    def live_jobs(self) -> Iterator[Job]:
        return (job for job in self.jobs.values() if not job.over)


def _ghost(
    job_id: str, team: str = "", cpus: float = 0.0, gpus: float = 0.0, memory_gb: float = 0.0
) -> Job:
    """Stands for a job that is over, of which a task may still be on a machine."""
    spec = Submission(
        job_id, "", team, Shape.ARRAY, Priority.LOW, 0, cpus, gpus, memory_gb, "", 0.0,
        False, False, False, 0.0, 0.0, 0.0,
    )  # fmt: skip
    return Job(spec, ZERO, 0, over=True)
