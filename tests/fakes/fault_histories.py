"""Seeded histories: faults that meet at random instants, over a deployment in memory.

The same seed plays the same history.  The world watches the protocol's rules; at the end all that
was accepted and not cancelled has to run to its end, and no answer is missing.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from itertools import combinations
from typing import Any

import curio
import pytest

from micadeal.clock import monotonic, seconds
from micadeal.http.message import HttpError, Request
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import CANCEL_S, FOLLOWERS_RENEW_AFTER_S
from tests.fakes.network import HOLD, REFUSE, SILENT
from tests.fakes.workers import FakeWorker
from tests.fakes.world import World

#: Faults of a history begin within this time, in seconds.
FAULT_WINDOW_S = 12.0
#: What is left when all faults are over has to be done within this time.
RECOVERY_TIMEOUT_S = 240.0

Fault = Callable[["History"], Awaitable[None]]


@dataclass(frozen=True)
class ScheduledFault:
    """One fault of a history, and when it starts, in seconds."""

    at: float
    kind: str


class History:
    """One seeded history; ``play`` runs it in a world of its own."""

    def __init__(self, seed: int, kinds: Iterable[str] = ()) -> None:
        """``kinds``: the faults; none: two or three are drawn."""
        self.seed = seed
        self.random = random.Random(seed)
        drawn = list(kinds) or self.random.sample(sorted(FAULTS), self.random.choice([2, 2, 3]))
        self.faults = [
            ScheduledFault(self.random.uniform(0, FAULT_WINDOW_S), kind) for kind in drawn
        ]
        # Some deployments have it switched off.
        self.world = World(seed, renew_leases_as_follower=self.random.random() < 0.8, boot_s=3.0)
        self.jobs: list[str] = []
        self.cancelling: set[str] = set()
        #: Jobs whose last task has ended, and how often users looked closely.
        self.ended: set[str] = set()
        self.looks = 0
        self._faults_in_progress = 0
        #: Confirmed cancellations: how long after it the last task was gone.
        self.gone_after: list[float] = []

    def line(self) -> str:
        """Describe the history in one line."""
        faults = ", ".join(f"{t.kind} at {t.at:.1f}" for t in sorted(self.faults, key=_start_time))
        switched = "" if self.world.renew_leases_as_follower else ", nobody stands in"
        return f"seed {self.seed}: {faults}{switched}"

    def play(self) -> list[str]:
        """Run the history; return the rules that it broke."""
        with pytest.MonkeyPatch.context() as patch:
            try:
                self.world.play(patch, self._scenario)
            except AssertionError as problem:
                return list(dict.fromkeys(self.world.rules.violations)) or [
                    str(problem).split("\n")[0]
                ]
        return []

    # -- the day ---------------------------------------------------------------------------

    async def _scenario(self, world: World) -> None:
        for shape, legs, run_s, crew in (
            ("daemon", 3, 0.0, "red"),
            ("gang", 2, 70.0, "blue"),
            ("array", 3, 55.0, "blue"),
            ("daemon", 2, 0.0, "blue"),
        ):
            await self._submit(shape, legs, run_s, crew)
        await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
        users = await curio.spawn(self._act_as_users, daemon=True)
        for fault in sorted(self.faults, key=_start_time):
            await curio.spawn(self._run_fault, fault, daemon=True)
        await curio.sleep(FAULT_WINDOW_S + 1)
        await world.wait_until(lambda: not self._faults_in_progress, limit=120)
        await users.cancel()
        await self._heal()
        await self._check_all_served()

    async def _run_fault(self, fault: ScheduledFault) -> None:
        self._faults_in_progress += 1
        try:
            await curio.sleep(fault.at)
            await FAULTS[fault.kind](self)
        finally:
            self._faults_in_progress -= 1

    async def _act_as_users(self) -> None:
        """Submit, poll and cancel, each time at some controller."""
        while True:
            await curio.sleep(self.random.uniform(0.3, 1.5))
            chance = self.random.random()
            if chance < 0.2 and len(self.jobs) < 14:
                # No more services: what is never done would keep the rest off its team's limit.
                shape = self.random.choice(["array", "array", "gang"])
                legs = self.random.choice([1, 2, 3])
                run_s = self.random.choice([2.0, 8.0, 40.0])
                await curio.spawn(self._submit, shape, legs, run_s, "red", daemon=True)
            elif chance < 0.45 and self.jobs:
                job = self.random.choice(self.jobs)
                if job not in self.cancelling and len(self.cancelling) < 7:
                    self.cancelling.add(job)
                    await curio.spawn(self.cancel, job, daemon=True)
            elif self.jobs:
                job = self.random.choice(self.jobs)
                await curio.spawn(self.world.status, job, self.random.randrange(3), daemon=True)

    async def _submit(self, shape: str, legs: int, run_s: float, crew: str) -> None:
        fields: dict[str, Any] = {"crew": crew}
        if shape == "gang":
            fields |= {"one_zone": True, "bookmark_s": 5.0, "stow_s": 1.0}
        if shape == "daemon":
            fields |= {"scatter": True, "rank": "production"}
        if run_s:
            fields["run_s"] = run_s
        job = self.world.job(shape, legs, **fields)
        await self.world.submit(job)
        self.jobs.append(job)

    async def cancel(self, job: str, after: float = 0.0) -> None:
        """Cancel a job until that is confirmed, and measure when its last task is gone."""
        await curio.sleep(after)
        while (said := await self.world.cancel(job, self.random.randrange(3))) is None:
            await curio.sleep(1)
        if said == "done":
            self.cancelling.remove(job)
            return
        told = monotonic().total_seconds()
        await self.world.wait_until(
            lambda: not self.world.tasks_on_machines(job), limit=CANCEL_S + 5
        )
        self.gone_after.append(monotonic().total_seconds() - told)

    async def _heal(self) -> None:
        self.world.state.outage = False
        await self.world.network.heal_all()
        for worker in self.world.fleet.workers.values():
            worker.stalled = False
            self.world.network.sends_nothing.discard(worker.name)
        for number in range(3):
            if not self.world.is_up(number):
                await self.world.start(number)

    async def _check_all_served(self) -> None:
        """Every accepted job that its user does not cancel runs to its end."""
        await curio.sleep(1)
        for job in self.jobs:
            if job in self.cancelling:
                until = monotonic().total_seconds() + RECOVERY_TIMEOUT_S
                while job in self.cancelling and self.world.answers.latest.get(job) != "cancelled":
                    assert monotonic().total_seconds() < until, f"{job} is never told cancelled"
                    await curio.sleep(0.5)
            elif self.world.fleet.jobs[job].spec["shape"] == "daemon":
                legs = self.world.fleet.jobs[job].spec["legs"]
                until = monotonic().total_seconds() + RECOVERY_TIMEOUT_S
                while self.world.running(job) != legs:
                    assert monotonic().total_seconds() < until, f"{job} does not run in full"
                    await curio.sleep(0.5)
            else:
                await self.world.wait_until_done(job, RECOVERY_TIMEOUT_S)

    # -- what faults need ----------------------------------------------------------------

    def chance(self, share: float) -> bool:
        """Draw True with a probability of ``share``."""
        return self.random.random() < share

    async def deliver(self, requests: list[Request], number: int) -> None:
        """To one controller, one after the other, as long as it is there."""
        for request in requests:
            address = f"10.0.0.{number + 1}:8080"
            try:
                await self.world.network.request("copies", address, request, seconds(4))
            except HttpError:
                return

    async def submit_malformed(self, fields: dict[str, Any], number: int) -> None:
        """Submit a job that can't run, or makes no sense: no controller may ever accept it."""
        job = self.world.job(**fields)
        status = await self.world.submit_once(job, number)
        if status not in (0, 400, 422, 503):
            self.world.rules.violations.append(f"accepted {job} with {fields}: {status}")

    def leader(self) -> int:
        """The one that leads, or some other if nobody does."""
        found = self.world.leader()
        return self.random.randrange(3) if found is None else found

    def some(self, share: float) -> list[FakeWorker]:
        """Draw workers, each with a probability of ``share``."""
        workers = sorted(self.world.fleet.workers.values(), key=lambda worker: worker.name)
        return [worker for worker in workers if self.random.random() < share]

    async def cut(self, pairs: Iterable[tuple[str, str]], mode: str, for_s: float) -> None:
        """Interrupt the network between pairs of hosts for a time."""
        pairs = list(pairs)
        for pair in pairs:
            self.world.network.cut(*pair, mode)
        await curio.sleep(for_s)
        for pair in pairs:
            await self.world.network.heal(*pair)

    async def restart(self, number: int, after: float) -> None:
        """Crash a controller and start it again ``after`` seconds later."""
        if self.world.is_up(number):
            self.world.crash(number)
            await curio.sleep(after)
            if not self.world.is_up(number):
                await self.world.start(number)


def _start_time(fault: ScheduledFault) -> float:
    return fault.at


# -- the faults ------------------------------------------------------------------------------


async def _leader_refused_by_state(history: History) -> None:
    for_s = history.random.choice([1.0, 2.5, 4.0, 14.0])
    await history.cut([(f"c{history.leader()}", "state")], REFUSE, for_s)


async def _outage(history: History) -> None:
    history.world.state.outage = True
    await curio.sleep(history.random.choice([3.0, 10.0, CANCEL_S + 10]))
    history.world.state.outage = False


async def _gap(history: History) -> None:
    """The leader alone is refused, others confirm cancellations, then nobody has the service."""
    await _cancel_unknown_to_leader_then_outage(history, history.leader())


async def _gap_at_election(history: History) -> None:
    """The same for a leader that was elected a moment ago, and reads its records slowly."""
    gone = history.leader()
    late_by = history.random.choice([0.0, 0.4, 1.5, 30.0])

    def slow(source: str, address: str, request: Request) -> float:
        reads = request.path == "/keys" and address == state_fake.ADDRESS
        return late_by if reads and "starts=job/" in request.query else 0.0

    history.world.network.answer_delay = slow
    await curio.spawn(history.restart, gone, 5.0, daemon=True)
    for _ in range(100):
        await curio.sleep(0.05)
        if history.world.leader() not in (None, gone):
            break
    await curio.sleep(history.random.uniform(0, 0.3))
    await _cancel_unknown_to_leader_then_outage(history, history.leader())
    history.world.network.answer_delay = None


async def _cancel_unknown_to_leader_then_outage(history: History, leader: int) -> None:
    draw = history.random
    others = [f"c{n}" for n in range(3) if n != leader]
    for_s = draw.choice([1.0, 2.5, 6.0, 14.0, 50.0])
    await curio.spawn(history.cut, [(f"c{leader}", "state")], REFUSE, for_s, daemon=True)
    if draw.random() < 0.3:
        pairs = [(f"c{leader}", other) for other in others]
        await curio.spawn(history.cut, pairs, SILENT, for_s, daemon=True)
    for job in draw.sample(history.jobs, min(3, len(history.jobs))):
        if job not in history.cancelling:
            history.cancelling.add(job)
            await curio.spawn(history.cancel, job, draw.uniform(0, 4), daemon=True)
    await curio.sleep(draw.choice([0.1, 0.5, 1.5, 2.9, 3.2, 4.5]))
    if draw.random() < 0.3:
        await curio.spawn(history.restart, int(draw.choice(others)[1:]), 0.4, daemon=True)
    history.world.state.outage = True
    await curio.sleep(CANCEL_S + 10)
    history.world.state.outage = False


async def _leader_isolated(history: History) -> None:
    """Cut from the state service and the other controllers, not from workers and users; some
    machines may be on its side."""
    leader = history.leader()
    pairs = [(f"c{leader}", f"c{n}") for n in range(3) if n != leader]
    for worker in history.some(history.random.choice([0.0, 0.3])):
        pairs += [(worker.name, f"c{n}") for n in range(3) if n != leader]
    mode = history.random.choice([SILENT, HOLD])
    await history.cut([*pairs, (f"c{leader}", "state")], mode, history.random.choice([5.0, 40.0]))


async def _leader_crash(history: History) -> None:
    await history.restart(history.leader(), history.random.choice([0.05, 0.7, 5.0]))


async def _follower_crash(history: History) -> None:
    number = (history.leader() + history.random.choice([1, 2])) % 3
    await history.restart(number, history.random.choice([0.05, 0.7, 5.0]))


async def _all_crash(history: History) -> None:
    first = history.random.randrange(3)
    for number in range(3):
        history.world.crash(number)
    await curio.sleep(history.random.choice([0.1, 0.9]))
    await history.world.start(first)
    await curio.sleep(history.random.choice([0.2, 5.0]))
    for number in range(3):
        if not history.world.is_up(number):
            await history.world.start(number)


async def _hand_over(history: History) -> None:
    """Over and back: the leader ends in good order, and so does the next a moment later."""
    for _ in range(2):
        leader = history.leader()
        if history.world.is_up(leader):
            await history.world.nodes[leader].retire()
        await history.restart(leader, 0.1)
        await curio.sleep(history.random.choice([0.3, 2.0]))


async def _add_machines_for_a_while(history: History, hosts: set[str]) -> None:
    """Some machines are for a while."""
    names = {worker.name for worker in history.some(0.4)}
    hosts |= names
    await curio.sleep(history.random.choice([4.0, 25.0]))
    hosts -= names


async def _machines_receive_nothing(history: History) -> None:
    await _add_machines_for_a_while(history, history.world.network.receives_nothing)


async def _machines_hang(history: History) -> None:
    workers = history.some(0.4)
    for worker in workers:
        worker.stalled = True
    await curio.sleep(history.random.choice([2.0, 9.0, 20.0]))
    for worker in workers:
        worker.stalled = False


async def _machines_unreachable(history: History) -> None:
    leader = history.leader()
    mode = history.random.choice([SILENT, HOLD])
    pairs = [(worker.name, f"c{leader}") for worker in history.some(0.5)]
    await history.cut(pairs, mode, history.random.choice([5.0, 30.0]))


async def _delayed_writes(history: History) -> None:
    def late(source: str, address: str, request: Request) -> float | None:
        if request.path != "/txn" or history.random.random() > 0.3:
            return None
        return history.random.uniform(2, 12)

    history.world.network.delivery_delay = late
    await curio.sleep(25)
    history.world.network.delivery_delay = None


async def _delayed_heartbeats(history: History) -> None:
    def copies(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and history.random.random() < 0.3:
            place = f"10.0.0.{history.random.randrange(3) + 1}:8080"
            yield history.random.uniform(2, 25), history.random.choice([address, place])

    history.world.network.duplicates = copies
    await curio.sleep(25)
    history.world.network.duplicates = None


async def _slow_state(history: History) -> None:
    def slow(source: str, address: str, request: Request) -> float:
        if address != state_fake.ADDRESS:
            return 0.0
        return history.random.choice([0.0, 0.2, 0.6, 1.8, 2.5])

    history.world.network.answer_delay = slow
    await curio.sleep(15)
    history.world.network.answer_delay = None


async def _workers_restart(history: History) -> None:
    for worker in history.some(0.3):
        worker.begin_anew()


async def _machines_send_nothing(history: History) -> None:
    await _add_machines_for_a_while(history, history.world.network.sends_nothing)


async def _responses_lost(history: History) -> None:
    def lost(source: str, address: str, request: Request) -> bool:
        return address == state_fake.ADDRESS and request.method != "GET" and history.chance(0.3)

    history.world.network.answer_lost = lost
    await curio.sleep(25)
    history.world.network.answer_lost = None


async def _heartbeats_for_the_next_leader(history: History) -> None:
    """Copies are kept until another leads, and then come to all controllers at once."""
    kept: list[Request] = []

    def keep(source: str, address: str, request: Request) -> Iterable[tuple[float, str]]:
        if request.path == "/checkin" and len(kept) < 200 and history.chance(0.3):
            kept.append(request)
        return ()

    history.world.network.duplicates = keep
    term = history.world.term()
    for _ in range(300):
        await curio.sleep(0.1)
        if history.world.term() not in (0, term):
            break
    history.world.network.duplicates = None
    for number in range(3):
        await curio.spawn(history.deliver, kept, number, daemon=True)


async def _cancel_several_at_once(history: History) -> None:
    """Some that run are called off within a fifth of a second, and machines of theirs hang."""
    running = [job for job in history.jobs if history.world.running(job)]
    hang_s = history.random.choice([0.0, 6.0, 18.0])
    machines = []
    for job in history.random.sample(running, min(3, len(running))):
        if job not in history.cancelling:
            machines += [worker for worker, _ in history.world.tasks_on_machines(job)]
            history.cancelling.add(job)
            await curio.spawn(history.cancel, job, history.random.uniform(0, 0.2), daemon=True)
    if hang_s:
        for worker in machines[:8]:
            worker.stalled = True
        await curio.sleep(hang_s)
        for worker in machines[:8]:
            worker.stalled = False


async def _cancel_at_end(history: History) -> None:
    """Some are called off at the moment at which their last task ends."""
    for _ in range(2500):
        await curio.sleep(0.01)
        for job in history.jobs:
            if job not in history.ended and history.world.all_tasks_done(job):
                history.ended.add(job)
                if job not in history.cancelling and history.chance(0.7):
                    history.cancelling.add(job)
                    await curio.spawn(history.cancel, job, daemon=True)


async def _concurrent_queries(history: History) -> None:
    """All are asked within milliseconds after a job was accepted, ended or cancelled."""
    world = history.world
    seen: dict[str, tuple[Any, ...]] = {}
    for _ in range(2500):
        await curio.sleep(0.01)
        for job in history.jobs:
            state = (world.answers.latest_at.get(job), world.all_tasks_done(job))
            if seen.get(job) != state:
                seen[job] = state
                for _ in range(2):
                    await curio.spawn(world.query_all_controllers, job, daemon=True)
                history.looks += 1


async def _malformed_requests(history: History) -> None:
    """Repeats with other content, cancellations of what is done, jobs that can't run."""
    world, draw = history.world, history.random
    odd: list[dict[str, Any]] = [{"legs": 0}, {"crew": "green"}, {"vcpus": 99.0}, {"rank": 7}]
    odd += [{"depot": "east"}, {"rigs": ["cart"]}, {"shape": "gang", "legs": 90}]
    for _ in range(20):
        await curio.sleep(draw.uniform(0.3, 1.5))
        for job in draw.sample(history.jobs, min(2, len(history.jobs))):
            fields = draw.choice([{}, *odd])
            await curio.spawn(
                partial(world.submit_once, job, draw.randrange(3), **fields), daemon=True
            )
            if world.answers.latest.get(job) == "done":
                await curio.spawn(world.cancel, job, draw.randrange(3), daemon=True)
        await curio.spawn(
            history.submit_malformed, draw.choice(odd), draw.randrange(3), daemon=True
        )


FAULTS: dict[str, Fault] = {
    "leader refused": _leader_refused_by_state,
    "outage": _outage,
    "gap": _gap,
    "gap at an election": _gap_at_election,
    "leader apart": _leader_isolated,
    "leader crash": _leader_crash,
    "follower crash": _follower_crash,
    "all crash": _all_crash,
    "hand over": _hand_over,
    "deaf machines": _machines_receive_nothing,
    "hung machines": _machines_hang,
    "machines out of reach": _machines_unreachable,
    "late writes": _delayed_writes,
    "late reports": _delayed_heartbeats,
    "slow state service": _slow_state,
    "workers anew": _workers_restart,
    "mute machines": _machines_send_nothing,
    "answers lost": _responses_lost,
    "reports for the next leader": _heartbeats_for_the_next_leader,
    "cancelled at once": _cancel_several_at_once,
    "cancelled at the end": _cancel_at_end,
    "close looks": _concurrent_queries,
    "odd requests": _malformed_requests,
}

#: All pairs of faults, in a fixed order.
PAIRS = list(combinations(sorted(FAULTS), 2))
