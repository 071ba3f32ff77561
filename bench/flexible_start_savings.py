"""Nights with and without timing, in virtual time: the real scheduler, a cloud and workers of a few lines.

    python3 -m bench.flexible_start_savings --nights 50 [--lost] [--machines 5] [--wrong 3.0] [--jobs 8]

Each seeded night has prices with a trough, a forecast that is off, estimates that are off, and flexible jobs beside
ones that are not.  It is played without and with holds, and compared with a bound that no scheduler could beat: a
linear program that knows all prices and run times in advance (needs scipy).  ``--lost``: the feed falls silent at a
random time.  All of it is simulated.
"""  # noqa: E501

from __future__ import annotations

import argparse
import math
import random
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from statistics import mean

from micadeal.clock import seconds
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.fleet.instance_offers import InstanceOffers
from micadeal.jobs.model import Job
from micadeal.operator.platform import Team, Workers
from micadeal.operator.policy import Flexible, Policy
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.deferral import Deferral
from micadeal.scheduling.scheduler import Scheduler
from micadeal.state.limits import Limits
from micadeal.timing.series import Quantity, Series
from micadeal.wire.cloud import ListedMachine, MachineType
from micadeal.wire.users import Priority, Shape, Submission
from micadeal.wire.workers import Heartbeat, TaskStatus

BEGIN = datetime(2026, 12, 1, 20, 0, tzinfo=UTC)
STEP = seconds(20)
NIGHT = timedelta(hours=12)
HOUR = timedelta(hours=1)
QUARTER = timedelta(minutes=15)
WORKERS = Workers(seconds(20), seconds(140), seconds(500), seconds(60), seconds(340))
BOX = MachineType("box", 16.0, 4.0, 64.0, 70.0, 0.6, 1.0, 45.0, ["north"], None)


@dataclass
class Asked:
    """A job of the night: when it comes, and what it really takes."""

    spec: Submission
    at: timedelta
    actual: timedelta


@dataclass
class Outcome:
    missed: int
    #: Of flexible work: price times hours times units.
    cost: float


class Night:
    def __init__(self, seed: int, machines: int = 12, wrong: float = 1.6) -> None:
        """``wrong``: the worst estimate is too low by this factor."""
        self.machines = machines
        self.wrong = wrong
        self.random = random.Random(seed)
        chance = self.random
        low = chance.uniform(3.0, 7.0)
        swing = [0.12 - 0.10 * math.cos((i / 4 - low) / 12 * 2 * math.pi) for i in range(4 * 36)]
        self.prices = [price + chance.gauss(0, 0.01) for price in swing]
        self.forecast = [price + chance.gauss(0, 0.015) for price in self.prices]
        self.lost_at = chance.uniform(0.5, 8.0) * HOUR
        self.asked = sorted(self._jobs(), key=lambda job: job.at)

    def _jobs(self) -> Iterable[Asked]:
        chance = self.random
        for number in range(30):
            flexible = number < 20
            estimate = chance.uniform(0.2, 1.5) * 3600
            at = seconds(chance.uniform(0, 2 * 3600 if flexible else 10 * 3600))
            due = chance.uniform(4, 11) * 3600 if flexible else estimate * 4 + 3600
            spec = Submission(
                job_id=f"req-{number:06d}", job_class="nightly" if flexible else "daily",
                team="red" if number % 2 else "blue", shape=Shape.ARRAY, priority=Priority.STANDARD,
                tasks=chance.randrange(1, 5), cpus=4.0, gpus=1.0, memory_gb=8.0,
                image=f"img-{number % 4}", image_gb=4.0, machine_types=None, zone=None,
                one_zone=False, spread=False, spot_allowed=False, estimate_s=estimate,
                checkpoint_s=0.0, save_s=0.0, deadline_s=due,
            )  # fmt: skip
            # Half of all estimates are within a fifth; some are wrong by half and more.
            off = chance.choice([1.0, chance.uniform(0.8, 1.2), chance.uniform(0.5, self.wrong)])
            yield Asked(spec, at, seconds(estimate * off))

    def earlier(self) -> list[tuple[str, float]]:
        """What ended in the two nights before: other jobs, whose estimates are off alike."""
        jobs = [job for _ in range(2) for job in self._jobs()]
        return [
            (job.spec.job_class, job.actual / seconds(job.spec.estimate_s))
            for job in jobs
            for _ in range(job.spec.tasks)
        ]

    def price(self, at: timedelta) -> float:
        return self.prices[min(max(at // QUARTER, 0), len(self.prices) - 1)]

    def series(self, at: timedelta) -> Series:
        """What the feed says then: measured up to now, a forecast beyond."""
        known = at // QUARTER + 1
        now = BEGIN + at
        return Series(
            "north", Quantity.PRICE, "EUR/kWh", "bench", now, now + 2 * HOUR, now, BEGIN, QUARTER,
            tuple(self.prices[:known] + self.forecast[known:]),
        )  # fmt: skip


class Play:
    """One night under one scheduler."""

    def __init__(self, night: Night, timing: bool, lost: bool) -> None:
        self.night = night
        teams = {name: Team(name, 0.0, 8.0, None, 40.0) for name in ("red", "blue")}
        cluster = ClusterState(1, WORKERS, teams, seconds(0))
        policy = Policy(flexible={"nightly": Flexible()})
        self.scheduler = Scheduler(cluster, InstanceOffers(), policy, [], seconds(0))
        self.scheduler.set_catalog([BOX])
        if timing:
            self.scheduler.deferral = Deferral(cluster, UTC, seconds(5))
            self.scheduler.deferral.learn(night.earlier())
        self.record_writer = RecordWriter(cluster, Limits(1000, 1000, 100, 65536))
        self.until = night.lost_at if lost else timedelta.max
        self.jobs = {job.spec.job_id: job for job in night.asked}
        self.booting: dict[str, timedelta] = {}
        self.up: dict[str, int] = {}
        self.started: dict[tuple[str, int], timedelta] = {}
        self.ended: dict[str, timedelta] = {}
        self.count = 0
        self.cost = 0.0

    def run(self) -> Outcome:
        now = seconds(0)
        coming = list(self.night.asked)
        fed: timedelta | None = None
        limit = NIGHT * 2
        while now < limit and (coming or len(self.ended) < len(self.jobs)):
            while coming and coming[0].at <= now:
                job = coming.pop(0)
                self.scheduler.job_added(Job(job.spec, job.at, 1), now)
            deferral = self.scheduler.deferral
            if deferral and now < self.until and (fed is None or now - fed >= QUARTER):
                fed = now
                deferral.take(self.night.series(now))
            self._cloud(now)
            for name in list(self.up):
                self._on_heartbeat(name, now)
            self.scheduler.tick(now)
            self.scheduler.refresh_deferral(now, BEGIN + now)
            self.scheduler.run_cycle(now)
            while batches := self.record_writer.next(now):
                for batch in batches:
                    self.record_writer.committed(batch, 1, now)
            now += STEP
        missed = 0
        for job in self.jobs.values():
            assert job.spec.deadline_s is not None
            due = job.at + seconds(job.spec.deadline_s)
            missed += self.ended.get(job.spec.job_id, limit) > due
        return Outcome(missed, self.cost)

    def _cloud(self, now: timedelta) -> None:
        scheduler = self.scheduler
        for request in list(scheduler.rentals.values()):
            free = self.night.machines - len(self.up) - len(self.booting)
            names = [f"i-{self.count + i:06d}" for i in range(min(request.count, free))]
            self.count += len(names)
            if names:
                scheduler.rented(request, names, now)
                self.booting |= {name: now + seconds(BOX.boot_s) for name in names}
            else:
                scheduler.rental_refused(request, now)
        for name in [name for name, ready in self.booting.items() if ready <= now]:
            del self.booting[name]
            self.up[name] = 0
        gone = sorted(scheduler.releases)
        for name in gone:
            self.up.pop(name, None)
            self.booting.pop(name, None)
        scheduler.released(gone, now)
        listed = [
            ListedMachine(name, f"10.0.0.1:{9000 + i}", "box", "north", False, "running", 0.0)
            for i, name in enumerate(self.up)
        ]
        scheduler.on_list(listed, now)

    def _on_heartbeat(self, name: str, now: timedelta) -> None:
        machine = self.scheduler.cluster.machines.get(name)
        if machine is None:
            return
        self.up[name] += 1
        tasks: list[TaskStatus] = []
        for attempt in list(machine.attempts.values()):
            if attempt.ordered is None:
                continue
            key = (attempt.job_id, attempt.index)
            asked = self.jobs[attempt.job_id]
            begun = self.started.setdefault(key, now)
            heartbeat = TaskStatus(attempt.task, attempt.number, "running")
            if now - begun >= asked.actual:
                heartbeat.state, heartbeat.why = "exited", "done"
                self.ended[attempt.job_id] = now
            if asked.spec.job_class == "nightly":
                self.cost += self.night.price(now) * (STEP / HOUR)
            tasks.append(heartbeat)
        report_in = Heartbeat(
            name, machine.address or "10.0.0.1:9000", "box", "north", False, 1, self.up[name], 1,
            None, tasks,
        )  # fmt: skip
        self.scheduler.on_heartbeat(report_in, now, is_heartbeat=True, full=True)
        for job in list(self.scheduler.cluster.live_jobs()):
            if job.complete:
                self.scheduler.cluster.job_gone(job.id, now)


def bound(night: Night) -> float:
    """What flexible work costs at least, knowing everything: a linear relaxation by quarters."""
    from scipy.optimize import linprog
    from scipy.sparse import lil_matrix

    flexible = [job for job in night.asked if job.spec.job_class == "nightly"]
    choices: list[tuple[int, int, float]] = []
    for number, job in enumerate(flexible):
        assert job.spec.deadline_s is not None
        first = math.floor(job.at / QUARTER)
        last = (job.at + seconds(job.spec.deadline_s) - job.actual) // QUARTER
        for slot in range(first, max(last, first) + 1):
            # The cheapest start within the quarter, so that the bound stays one.
            cost = min(
                _cost(night, QUARTER * slot + QUARTER * part / 4, job.actual) for part in range(5)
            )
            choices.append((number, slot, cost * job.spec.tasks))
    slots = 4 * 36
    equal = lil_matrix((len(flexible), len(choices)))
    capacity = lil_matrix((slots, len(choices)))
    for column, (number, slot, _) in enumerate(choices):
        equal[number, column] = 1.0
        # Only slots that every start within the quarter covers wholly.
        for covered in range(slot + 1, min(slot + flexible[number].actual // QUARTER, slots)):
            capacity[covered, column] = flexible[number].spec.tasks
    found = linprog(
        [cost for _, _, cost in choices], A_ub=capacity.tocsr(),
        b_ub=[night.machines * BOX.gpus] * slots, A_eq=equal.tocsr(), b_eq=[1.0] * len(flexible),
    )  # fmt: skip
    # No schedule may exist that keeps every deadline: then there is no bound to compare with.
    return float(found.fun) if found.status == 0 else math.nan


def _cost(night: Night, start: timedelta, duration: timedelta) -> float:
    total, at = 0.0, start
    while at < start + duration:
        upto = min((at // QUARTER + 1) * QUARTER, start + duration)
        total += night.price(at) * ((upto - at) / HOUR)
        at = upto
    return total


def play(seed: int, lost: bool, machines: int, wrong: float) -> tuple[int, Outcome, Outcome, float]:
    night = Night(seed, machines, wrong)
    return (
        seed,
        Play(night, False, lost).run(),
        Play(night, True, lost).run(),
        bound(night),
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nights", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--machines", type=int, default=12)
    parser.add_argument("--wrong", type=float, default=1.6)
    parser.add_argument("--lost", action="store_true")
    asked = parser.parse_args()
    seeds = range(asked.first, asked.first + asked.nights)
    with ProcessPoolExecutor(asked.jobs) as pool:
        rows = list(
            pool.map(
                play,
                seeds,
                [asked.lost] * len(seeds),
                [asked.machines] * len(seeds),
                [asked.wrong] * len(seeds),
            )
        )
    write = sys.stdout.write
    write("night  missed without/with  cost without  with  bound\n")
    for seed, without, timed, least in rows:
        write(
            f"{seed:5}  {without.missed:7} {timed.missed:4}  {without.cost:17.3f} "
            f"{timed.cost:5.3f} {least:6.3f}\n"
        )
    worse = [seed for seed, without, timed, _ in rows if timed.missed > without.missed]
    saved = mean(1 - timed.cost / without.cost for _, without, timed, _ in rows)
    bounded = [1 - least / w.cost for _, w, _, least in rows if not math.isnan(least)]
    most = f"{mean(bounded):.1%}" if bounded else "unknown"
    missed = sum(w.missed for _, w, _, _ in rows), sum(t.missed for _, _, t, _ in rows)
    write(f"saved {saved:.1%} of at most {most}; missed {missed[0]} without, {missed[1]} with; ")
    write(f"more missed in nights {worse}\n")


if __name__ == "__main__":
    main()
