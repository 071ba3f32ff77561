"""Seeded histories: faults that coincide at random times in an in-memory deployment.

The same seed gives the same history.  The world checks the rules of the protocol.  At the end each
accepted job has to run to its end, or its cancellation has to be confirmed.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import combinations
from typing import Any

import curio
import pytest

from micadeal.http.message import Request
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS, FOLLOWERS_RENEW_AFTER_S
from tests.fakes.faults import controllers, machines, state_service, users
from tests.fakes.faults.context import Fault, FaultContext
from tests.fakes.kernel import now_s
from tests.fakes.submissions import SMALL_VALUE_BYTES, STORED_IN_PARTS
from tests.fakes.world import CONTROLLERS, World

#: The faults of a history begin within this time.
FAULT_WINDOW_S = 12.0
#: The faults of a history end within this time.
FAULTS_TIMEOUT_S = 120.0
#: Each remaining job has to finish within this time after all faults.
RECOVERY_TIMEOUT_S = 240.0
#: Limits per history, so that all jobs can finish in time.
MAX_JOBS = 14
MAX_CANCELLATIONS = 7

#: Length of the digest of a request's body in the events, in characters.
EVENT_DIGEST_LENGTH = 12

#: Faults by name.  Seeds draw from the sorted names, so renaming a fault changes the histories.
FAULTS: dict[str, Fault] = {
    "leader refused": state_service.leader_refused_by_state,
    "outage": state_service.outage,
    "gap": state_service.outage_after_unknown_cancels,
    "gap at an election": state_service.outage_after_election,
    "leader apart": controllers.leader_isolated,
    "leader crash": controllers.leader_crash,
    "follower crash": controllers.follower_crash,
    "all crash": controllers.all_crash,
    "hand over": controllers.leader_handover,
    "deaf machines": machines.machines_receive_nothing,
    "hung machines": machines.machines_stall,
    "machines out of reach": machines.machines_unreachable,
    "late writes": state_service.delayed_writes,
    "late reports": machines.delayed_heartbeats,
    "slow state service": state_service.slow_state,
    "workers anew": machines.workers_restart,
    "mute machines": machines.machines_send_nothing,
    "answers lost": state_service.responses_lost,
    "reports for the next leader": machines.heartbeats_for_the_next_leader,
    "cancelled at once": users.cancel_several_at_once,
    "cancelled at the end": users.cancel_at_end,
    "close looks": users.concurrent_queries,
    "odd requests": users.malformed_requests,
}

#: All pairs of faults, in a fixed order.
PAIRS = list(combinations(sorted(FAULTS), 2))


@dataclass(frozen=True)
class ScheduledFault:
    """One fault of a history; ``at`` is its start in seconds after the quiet phase."""

    at: float
    name: str


class History(FaultContext):
    """One seeded history; ``play`` runs it in a new world."""

    def __init__(
        self,
        seed: int,
        kinds: Iterable[str] = (),
        catalogue: Mapping[str, Fault] = FAULTS,
        world_type: Callable[..., World] = World,
        split_jobs: bool = False,
    ) -> None:
        """Draw a history.

        ``kinds`` are the names of its faults; if empty, two or three are drawn from ``catalogue``.
        ``split_jobs``: job descriptions exceed the size limit of values and are stored in parts.
        """
        self.seed = seed
        self._catalogue = catalogue
        draw = random.Random(seed)
        names = list(kinds) or draw.sample(sorted(catalogue), draw.choice([2, 2, 3]))
        self.faults = [ScheduledFault(draw.uniform(0, FAULT_WINDOW_S), name) for name in names]
        # Deployments may disable the option.
        renew_leases_as_follower = draw.random() < 0.8
        announced_limits = ANNOUNCED_STATE_LIMITS if split_jobs else ""
        world = world_type(
            seed,
            renew_leases_as_follower=renew_leases_as_follower,
            boot_s=3.0,
            announced_limits=announced_limits,
        )
        self._split_jobs = split_jobs
        if split_jobs:
            world.state.value_bytes = SMALL_VALUE_BYTES
        super().__init__(world, draw)
        self._faults_in_progress = 0
        #: Duration of the phase without faults at the start.
        self.fault_free_s = FOLLOWERS_RENEW_AFTER_S
        #: One line per request sent: time, source, address, method, target and digest of the body.
        self.events: list[str] = []
        world.network.on_sent = self._record_request

    def describe(self) -> str:
        """Describe the history in one line."""
        faults = ", ".join(f"{f.name} at {f.at:.1f}" for f in sorted(self.faults, key=_start_time))
        renewal = "" if self.world.renew_leases_as_follower else ", followers renew no leases"
        return f"seed {self.seed}: {faults}{renewal}"

    def _record_request(self, source: str, address: str, request: Request) -> None:
        body = hashlib.sha256(request.body).hexdigest()[:EVENT_DIGEST_LENGTH]
        target = f"{request.path}?{request.query}" if request.query else request.path
        self.events.append(
            f"{now_s():.6f} {source} {address} {request.method} {target} bytes={body}"
        )

    def play(self) -> list[str]:
        """Run the history; return the violations, each starting with the name of its rule."""
        with pytest.MonkeyPatch.context() as patch:
            try:
                self.world.play(patch, self._scenario)
            except AssertionError as failure:
                violations = list(dict.fromkeys(self.world.rules.violations))
                return violations or [str(failure).split("\n")[0]]
        return []

    async def _scenario(self, world: World) -> None:
        for shape, tasks, run_s, team in (
            ("daemon", 3, 0.0, "red"),
            ("gang", 2, 70.0, "blue"),
            ("array", 3, 55.0, "blue"),
            ("daemon", 2, 0.0, "blue"),
        ):
            await self._submit(shape, tasks, run_s, team)
        await curio.sleep(self.fault_free_s)
        acting_users = await curio.spawn(self._act_as_users, daemon=True)
        for fault in sorted(self.faults, key=_start_time):
            await curio.spawn(self._run_fault, fault, daemon=True)
        await curio.sleep(FAULT_WINDOW_S + 1)
        await world.wait_until(lambda: not self._faults_in_progress, limit=FAULTS_TIMEOUT_S)
        await acting_users.cancel()
        await self._heal()
        await self._check_all_served()

    async def _run_fault(self, fault: ScheduledFault) -> None:
        self._faults_in_progress += 1
        try:
            await curio.sleep(fault.at)
            await self._catalogue[fault.name](self)
        finally:
            self._faults_in_progress -= 1

    async def _heal(self) -> None:
        """End all faults and start all controllers that are down."""
        self.world.state.outage = False
        await self.world.network.heal_all()
        for worker in self.world.fleet.workers.values():
            worker.stalled = False
        await self.world.start_missing()

    # -- users -----------------------------------------------------------------------------

    async def _act_as_users(self) -> None:
        """Submit, poll and cancel jobs, each time at a random controller."""
        while True:
            await curio.sleep(self.random.uniform(0.3, 1.5))
            chance = self.random.random()
            if chance < 0.2 and len(self.jobs) < MAX_JOBS:
                # No services: they never end and would use up the team's limit.
                shape = self.random.choice(["array", "array", "gang"])
                tasks = self.random.choice([1, 2, 3])
                run_s = self.random.choice([2.0, 8.0, 40.0])
                await curio.spawn(self._submit, shape, tasks, run_s, "red", daemon=True)
            elif chance < 0.45 and self.jobs:
                job = self.random.choice(self.jobs)
                if job not in self.cancelling and len(self.cancelling) < MAX_CANCELLATIONS:
                    await self.spawn_cancel(job)
            elif self.jobs:
                job = self.random.choice(self.jobs)
                number = self.random.randrange(CONTROLLERS)
                await curio.spawn(self.world.status, job, number, daemon=True)

    async def _submit(self, shape: str, tasks: int, run_s: float, team: str) -> None:
        """Submit a job until it is accepted; with ``run_s`` 0 it has the default duration."""
        fields: dict[str, Any] = {"crew": team}
        if self._split_jobs:
            fields |= STORED_IN_PARTS
        if shape == "gang":
            fields |= {"one_zone": True, "bookmark_s": 5.0, "stow_s": 1.0}
        if shape == "daemon":
            fields |= {"scatter": True, "rank": "production"}
        if run_s:
            fields["run_s"] = run_s
        job = self.world.job(shape, tasks, **fields)
        await self.world.submit(job)
        self.jobs.append(job)

    # -- checks at the end -----------------------------------------------------------------

    async def _check_all_served(self) -> None:
        """Check that each accepted job runs to its end, or is cancelled on request of its user."""
        await curio.sleep(1)
        for job in self.jobs:
            if job in self.cancelling:
                await self._check_cancelled(job)
            elif self.world.fleet.jobs[job].spec["shape"] == "daemon":
                await self._check_all_tasks_running(job)
            else:
                await self.world.wait_until_done(job, RECOVERY_TIMEOUT_S)

    async def _check_cancelled(self, job: str) -> None:
        """Check that a cancellation is confirmed, unless the job was already done."""
        await self._wait_for_recovery(
            lambda: job not in self.cancelling or self.world.answers.latest.get(job) == "cancelled",
            f"{job} is never confirmed as cancelled",
        )

    async def _check_all_tasks_running(self, job: str) -> None:
        """Check that all tasks of a service are running."""
        tasks = self.world.fleet.jobs[job].spec["legs"]
        await self._wait_for_recovery(
            lambda: self.world.running(job) == tasks, f"{job} does not run all its tasks"
        )

    async def _wait_for_recovery(self, condition: Callable[[], bool], message: str) -> None:
        """Wait until a condition holds; fail with ``message`` after ``RECOVERY_TIMEOUT_S``."""
        deadline = now_s() + RECOVERY_TIMEOUT_S
        while not condition():
            assert now_s() < deadline, message
            await curio.sleep(0.5)


def _start_time(fault: ScheduledFault) -> float:
    return fault.at
