"""A seeded history on real processes: the in-memory faults and further faults of processes."""

from __future__ import annotations

import random
from functools import partial
from http import HTTPStatus
from pathlib import Path

import curio

from micadeal.clock import seconds
from tests.fakes.fault_histories import FAULTS, History
from tests.fakes.faults.context import Fault, FaultContext
from tests.fakes.kernel import now_s
from tests.fakes.network import CutMode
from tests.fakes.world import CONTROLLERS, World
from tests.soak.world import SoakWorld

#: Interval at which the user of each job requests its status, in seconds.
POLL_INTERVAL_S = 5.0
#: Number of requests after which a user switches to another controller.  It switches earlier if a
#: request fails.
REQUESTS_PER_CONTROLLER = 10
#: Share of the users that stay with one controller while it is ready, even if requests fail.
STICKY_USERS_SHARE = 0.5
PROBE_TIMEOUT = seconds(1)
#: Intervals between the restarts of leaders, or of controllers, in a series, in seconds.
SERIES_INTERVALS_S = (6.0, 10.0, 14.0)
#: Durations of a cut between two hosts, in seconds.
CUT_DURATIONS_S = (3.0, 12.0, 30.0)
#: Durations of the isolation of a controller from its peers, in seconds.  The longest exceeds the
#: time that users may go without an answer.
ISOLATION_DURATIONS_S = (12.0, 30.0, 95.0)
#: Number of jobs that depend on others, and the interval between their submissions, in seconds.
MAX_DEPENDENT_JOBS = 8
DEPENDENT_JOB_INTERVAL_S = 7.0


async def pause(context: FaultContext) -> None:
    """Pause a controller's process for a while; its clocks continue."""
    world = context.world
    assert isinstance(world, SoakWorld)
    process = world.controllers[context.random.randrange(CONTROLLERS)]
    duration_s = context.random.choice([1.0, 6.0, 16.0])
    process.pause()
    await curio.sleep(duration_s)
    process.resume()


async def leader_failures_in_series(context: FaultContext) -> None:
    """Restart the current leader four times in a row."""
    interval_s = context.random.choice(SERIES_INTERVALS_S)
    for _ in range(4):
        await context.restart(context.leader(), context.random.choice([0.1, 3.0]))
        await curio.sleep(interval_s)


async def rolling_restarts(context: FaultContext) -> None:
    """Restart all controllers one after the other, twice."""
    interval_s = context.random.choice(SERIES_INTERVALS_S)
    for number in range(2 * CONTROLLERS):
        await context.restart(number % CONTROLLERS, context.random.choice([0.1, 5.0]))
        await curio.sleep(interval_s)


async def random_cuts(context: FaultContext) -> None:
    """Cut random controllers off from random hosts; each cut has its own duration."""
    hosts = [f"c{number}" for number in range(CONTROLLERS)]
    others = [*hosts, "state", "cloud", "user", *sorted(context.world.fleet.workers)]
    for _ in range(context.random.choice([2, 4])):
        host = context.random.choice(hosts)
        other = context.random.choice([name for name in others if name != host])
        mode = context.random.choice(list(CutMode))
        duration_s = context.random.choice(CUT_DURATIONS_S)
        await curio.spawn(context.cut, [(host, other)], mode, duration_s, daemon=True)
        await curio.sleep(context.random.uniform(0.0, 6.0))
    await curio.sleep(max(CUT_DURATIONS_S))


async def controller_isolated_from_peers(context: FaultContext) -> None:
    """Cut one controller off from its peers, but not from other hosts."""
    number = context.random.randrange(CONTROLLERS)
    pairs = [(f"c{number}", f"c{other}") for other in range(CONTROLLERS) if other != number]
    mode = context.random.choice([CutMode.SILENT, CutMode.HOLD])
    await context.cut(pairs, mode, context.random.choice(ISOLATION_DURATIONS_S))


CATALOGUE: dict[str, Fault] = {
    **FAULTS,
    "pause": pause,
    "controller without peers": controller_isolated_from_peers,
    "cuts between any": random_cuts,
    "leaders in series": leader_failures_in_series,
    "restarts in turn": rolling_restarts,
}


class SoakHistory(History):
    """One seeded history; users poll the status of every accepted job throughout."""

    world: SoakWorld

    def __init__(self, seed: int, folder: Path, workers: int, fault_free_s: float) -> None:
        """Draw a history; ``workers``: number of additional machines that a service keeps busy."""
        super().__init__(
            seed,
            catalogue=CATALOGUE,
            world_type=partial(SoakWorld, folder, workers=workers),
            split_jobs=seed % 2 == 1,
        )
        self.fault_free_s = fault_free_s
        self._extra_workers = workers
        self._user_rng = random.Random(f"users {seed}")
        self.status_request_count = 0

    async def _scenario(self, world: World) -> None:
        polling = await curio.spawn(self._poll_all_jobs, daemon=True)
        submitting = await curio.spawn(self._submit_dependent_jobs, daemon=True)
        if self._extra_workers:
            self.jobs.append(
                await world.run_job(
                    "daemon", self._extra_workers, crew="large", accelerators=2.0, image_gb=0.1
                )
            )
        await super()._scenario(world)
        await submitting.cancel()
        await polling.cancel()

    async def _submit_dependent_jobs(self) -> None:
        """Submit small jobs that wait for earlier ones, which may be cancelled."""
        dependent: list[str] = []
        while len(dependent) < MAX_DEPENDENT_JOBS:
            await curio.sleep(DEPENDENT_JOB_INTERVAL_S)
            prerequisites = [
                job_id
                for job_id in sorted(self.world.answers.accepted)
                if self.world.fleet.jobs[job_id].spec["shape"] != "daemon"
            ]
            if prerequisites:
                names = self._user_rng.sample(prerequisites, min(2, len(prerequisites)))
                small = {"accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0, "image_gb": 0.1}
                dependent.append(
                    await self.world.run_job("array", 1, run_s=2.0, waits_on=names, **small)
                )

    async def _poll_all_jobs(self) -> None:
        """Start a polling user for each accepted job, and poll an unknown job every second."""
        polled_jobs: set[str] = set()
        while True:
            for job_id in sorted(self.world.answers.accepted - polled_jobs):
                polled_jobs.add(job_id)
                await curio.spawn(self._poll_job, job_id, daemon=True)
            unknown_job = f"req-9{self._user_rng.randrange(10**5):05d}"
            number = self._user_rng.randrange(CONTROLLERS)
            await curio.spawn(self.world.status, unknown_job, number, daemon=True)
            await curio.sleep(1)

    async def _poll_job(self, job_id: str) -> None:
        number = self._user_rng.randrange(CONTROLLERS)
        is_sticky = self._user_rng.random() < STICKY_USERS_SHARE
        request_count = 0
        while True:
            started_at = now_s()
            is_answered = await self.world.status(job_id, number) is not None
            self.status_request_count += 1
            request_count += 1
            if is_sticky:
                # The load balancer closes the connections of a controller that is not ready.
                switches_controller = not is_answered and not await self._is_ready(number)
            else:
                switches_controller = (
                    not is_answered or request_count % REQUESTS_PER_CONTROLLER == 0
                )
            if switches_controller:
                number = (number + self._user_rng.choice([1, 2])) % CONTROLLERS
            await curio.sleep(max(0.0, started_at + POLL_INTERVAL_S - now_s()))

    async def _is_ready(self, number: int) -> bool:
        status, _ = await self.world.call(number, "GET", "/ready", timeout=PROBE_TIMEOUT)
        return status == HTTPStatus.OK
