"""What operators ask of the leader: why a job waits, and the state of things at a glance."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.machines import Machine
from micadeal.jobs.model import Job
from micadeal.scheduling.scheduler import Scheduler
from micadeal.wire.peers import MachineLine, Overview, StuckJob, TeamLine, WhyAnswer, WhyLine

#: A job that has waited this long with nothing started, or fails again and again, is stuck.
STUCK_AFTER = seconds(60)
MOST_STUCK = 20
#: Machines, or jobs that another waits for, that are named at a time.
MOST_NAMED = 5


def why(scheduler: Scheduler, job_id: str, now: timedelta) -> WhyAnswer | None:
    job = scheduler.cluster.jobs.get(job_id)
    if job is None or job.over:
        return None
    running = job.running_count()
    waiting = job.left_count()
    return WhyAnswer(
        job_id,
        "running" if running else "pending",
        job.spec.team,
        len(job.finished),
        running,
        len(job.attempts) - running,
        waiting,
        max((now - job.submitted).total_seconds(), 0.0),
        [WhyLine(reason, tasks) for reason, tasks in _reasons(scheduler, job, now)],
    )


def _reasons(scheduler: Scheduler, job: Job, now: timedelta) -> list[tuple[str, int]]:
    lines: list[tuple[str, int]] = _prerequisites(scheduler, job)
    if job.lifted_by is not None:
        lines.append((f"it has the priority of {job.lifted_by}, which needs it", 0))
    if job.blocked:
        return lines
    hold = scheduler.holding.held(job, now) if scheduler.holding is not None else None
    if hold is not None:
        until = hold.until.strftime("%Y-%m-%d %H:%M UTC")
        latest = hold.latest.strftime("%H:%M UTC")
        lines.append((f"held for a better hour until {until}, to save {hold.saving:.0%}", 0))
        lines.append(
            (f"starts sooner if its window fills up or its price is lost; by {latest} anyway", 0)
        )
        return lines
    for reason, tasks in job.reasons.most_common():
        lines.append((reason, tasks))
    gathered = scheduler.gathering.sets.get(job.id)
    if gathered is not None:
        where = f" in {gathered.zone}" if gathered.zone else ""
        text = f"{len(gathered.machines)} machines{where} are kept for it as they come free"
        lines.append((text, 0))
    if job.errors:
        failures = sum(job.errors.values())
        text = f"it failed {failures} times on {len(job.errors)} machines"
        if job.suspect:
            text += ", most likely by its own mistake"
        if job.retry_at > now:
            text += f"; next try in {(job.retry_at - now).total_seconds():.0f} s"
        lines.append((text, 0))
    starting: Counter[str] = Counter()
    for attempt in job.all_attempts():
        if attempt.stop is not None:
            starting["is being stopped"] += 1
        elif attempt.state is None:
            starting["placed; its machine has not confirmed the start yet"] += 1
        elif attempt.state.value == "pulling":
            starting["its machine fetches the image"] += 1
        elif attempt.state.value == "waiting":
            starting["waits for the other tasks of the gang to have their image"] += 1
    lines += starting.most_common()
    paused = scheduler.instance_offers.any_paused(now)
    if paused and job.waiting_count():
        places = ", ".join(
            f"{offer.machine_type} {'spot' if offer.spot else 'ordinary'} in {offer.zone}"
            for offer in sorted(paused, key=lambda o: (o.machine_type, o.zone, o.spot))
        )
        lines.append((f"the cloud refused lately: {places}", 0))
    return lines


def _prerequisites(scheduler: Scheduler, job: Job) -> list[tuple[str, int]]:
    """What a job waits for: those that run first, a few by name, the others as a count."""
    if job.cancelled_by_dependency:
        return [("a job that it needs is cancelled, and it is being cancelled with it", 0)]
    found: list[tuple[int, str, str]] = []
    for name in job.needs:
        before = scheduler.cluster.jobs.get(name)
        if before is None or before.over:
            found.append((2, name, f"waits for {name}, whose end is being looked up"))
            continue
        running = before.running_count()
        tasks = before.spec.tasks
        if running:
            text = f"running {running} of {tasks}"
        elif before.blocked:
            text = "which waits for others itself"
        else:
            text = "of which nothing runs yet"
        if before.finished:
            text += f", {len(before.finished)} done"
        found.append((0 if running else 1, name, f"waits for {name}, {text}"))
    found.sort()
    lines = [(text, 0) for _, _, text in found[:MOST_NAMED]]
    if len(found) > MOST_NAMED:
        lines.append((f"waits for {len(found) - MOST_NAMED} more jobs", 0))
    return lines


def overview(scheduler: Scheduler, leader: str, now: timedelta, reachability: bool) -> Overview:
    cluster = scheduler.cluster
    stuck, stuck_in_all = _stuck(scheduler, now)
    return Overview(
        leader,
        cluster.token,
        (now - cluster.began).total_seconds(),
        reachability,
        _teams(scheduler),
        dict(scheduler.state_counts(now)),
        stuck,
        _machines(scheduler, now),
        _notes(scheduler, now),
        stuck_in_all,
    )


def _teams(scheduler: Scheduler) -> list[TeamLine]:
    cluster = scheduler.cluster
    usage = cluster.usage()
    lines: list[TeamLine] = []
    for resource, states in scheduler.plan.teams.items():
        for name, state in states.items():
            jobs = [
                j
                for j in cluster.live_jobs()
                if j.spec.team == name and j.resource == resource and not j.blocked
            ]
            used = usage[name][1 if resource == "gpus" else 0]
            if not jobs and not state.minimum and not used:
                continue
            running = sum(1 for job in jobs if job.attempts)
            lines.append(
                TeamLine(
                    name,
                    resource,
                    used,
                    state.minimum,
                    cluster.teams[name].limit(resource) or 0.0,
                    state.share,
                    state.demand,
                    len(jobs) - running,
                    running,
                )
            )
    return lines


def _stuck(scheduler: Scheduler, now: timedelta) -> tuple[list[StuckJob], int]:
    """The jobs stuck longest, and how many are stuck in all."""
    found: list[tuple[timedelta, Job]] = []
    for job in scheduler.cluster.live_jobs():
        waited = now - max(job.ready, job.last_progress)
        failing = sum(job.errors.values()) > 2
        if failing or (waited >= STUCK_AFTER and not job.attempts and job.waiting_count()):
            if scheduler.holding is not None and scheduler.holding.held(job, now) is not None:
                # It waits because it may, and ``why`` tells until when.
                continue
            found.append((waited, job))
    found.sort(key=lambda entry: (-entry[0], entry[1].id))
    lines: list[StuckJob] = []
    for waited, job in found[:MOST_STUCK]:
        reasons = _reasons(scheduler, job, now)
        text = reasons[0][0] if reasons else "not looked at yet"
        lines.append(
            StuckJob(job.id, job.spec.team, job.spec.job_class, waited.total_seconds(), text)
        )
    return lines, len(found)


def _machines(scheduler: Scheduler, now: timedelta) -> list[MachineLine]:
    cluster = scheduler.cluster
    groups: dict[tuple[str, str, bool], list[Machine]] = {}
    for machine in cluster.machines.values():
        groups.setdefault((machine.machine_type, machine.zone, machine.spot), []).append(machine)
    lines: list[MachineLine] = []
    silence = cluster.workers.heartbeat_interval * 3
    for (kind, zone, spot), machines in sorted(groups.items()):
        line = MachineLine(kind, zone, spot, 0, 0, 0, 0, 0.0, 0.0)
        for machine in machines:
            if not machine.up:
                line.booting += 1
                continue
            if machine.draining or machine.notice_end is not None:
                line.draining += 1
            elif machine.heard is None or now - machine.heard > silence:
                line.silent += 1
            else:
                line.up += 1
            if (found := cluster.types.get(kind)) is not None:
                line.gpus += found.gpus
            for attempt in machine.attempts.values():
                line.gpus_used += cluster.jobs[attempt.job_id].spec.gpus
        lines.append(line)
    return lines


def _notes(scheduler: Scheduler, now: timedelta) -> list[str]:
    notes: list[str] = []
    for offer in scheduler.instance_offers.any_paused(now):
        kind = "spot" if offer.spot else "ordinary"
        notes.append(f"the cloud refused {offer.machine_type} ({kind}) in {offer.zone} lately")
    faulty: list[str] = []
    taken: list[str] = []
    receives_nothing: list[str] = []
    late: list[str] = []
    boot_times, types = scheduler.cluster.boot_times, scheduler.cluster.types
    for machine in scheduler.cluster.machines.values():
        if machine.draining == "faulty":
            faulty.append(machine.name)
        elif machine.notice_end is not None:
            taken.append(machine.name)
        elif machine.reachability.receives_nothing:
            receives_nothing.append(machine.name)
        elif (
            not machine.up
            and (rig := types.get(machine.machine_type)) is not None
            and boot_times.late(machine, seconds(rig.boot_s), now)
        ):
            late.append(machine.name)
    if receives_nothing:
        notes.append(f"report, but don't hear us, and get nothing new: {_named(receives_nothing)}")
    if late:
        notes.append(f"boot for much longer than others did: {_named(late)}")
    if faulty:
        notes.append(f"failed tasks of several jobs and are being emptied: {_named(faulty)}")
    if taken:
        notes.append(f"about to be taken by the cloud: {_named(taken)}")
    return sorted(notes)


def _named(machines: list[str]) -> str:
    """A few names and a count: a wave takes dozens at once."""
    names = ", ".join(sorted(machines)[:MOST_NAMED])
    more = len(machines) - MOST_NAMED
    return f"{names} and {more} more" if more > 0 else names
