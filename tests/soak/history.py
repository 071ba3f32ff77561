"""A seeded history on real processes: the faults of those in memory, and some of processes."""

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

#: How often the user of each job asks, in seconds.
POLL_INTERVAL_S = 5.0
#: A connection to a controller is kept for so many questions, unless one fails.
QUESTIONS_PER_CONNECTION = 10
#: Users that stay at one controller as long as it is ready, whatever it answers.
KEPT_CONNECTIONS_SHARE = 0.5
PROBE_TIMEOUT = seconds(1)
#: Between the ends of leaders, or of controllers, in a series, in seconds.
SERIES_INTERVALS_S = (6.0, 10.0, 14.0)
#: How long a cut lasts, in seconds.
CUT_DURATIONS_S = (3.0, 12.0, 30.0)
#: How long a controller is without its peers: up to longer than users may go without an answer.
ISOLATION_DURATIONS_S = (12.0, 30.0, 95.0)
#: Jobs that depend on others, and how often one is submitted, in seconds.
MAX_DEPENDENT_JOBS = 8
DEPENDENT_JOB_INTERVAL_S = 7.0


async def pause(context: FaultContext) -> None:
    """Let a controller's process stand still while its clocks run on."""
    world = context.world
    assert isinstance(world, SoakWorld)
    process = world.controllers[context.random.randrange(CONTROLLERS)]
    duration_s = context.random.choice([1.0, 6.0, 16.0])
    process.pause()
    await curio.sleep(duration_s)
    process.resume()


async def leaders_in_series(context: FaultContext) -> None:
    """End leader after leader."""
    interval_s = context.random.choice(SERIES_INTERVALS_S)
    for _ in range(4):
        await context.restart(context.leader(), context.random.choice([0.1, 3.0]))
        await curio.sleep(interval_s)


async def restarts_in_turn(context: FaultContext) -> None:
    """Restart one controller after the other, twice."""
    interval_s = context.random.choice(SERIES_INTERVALS_S)
    for number in range(2 * CONTROLLERS):
        await context.restart(number % CONTROLLERS, context.random.choice([0.1, 5.0]))
        await curio.sleep(interval_s)


async def cuts_between_any(context: FaultContext) -> None:
    """Cut a few pairs of hosts of any kind, each for a time of its own."""
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


async def controller_without_peers(context: FaultContext) -> None:
    """Cut one controller off from both others; the state service, users and workers reach it."""
    number = context.random.randrange(CONTROLLERS)
    pairs = [(f"c{number}", f"c{other}") for other in range(CONTROLLERS) if other != number]
    mode = context.random.choice([CutMode.SILENT, CutMode.HOLD])
    await context.cut(pairs, mode, context.random.choice(ISOLATION_DURATIONS_S))


CATALOGUE: dict[str, Fault] = {
    **FAULTS,
    "pause": pause,
    "controller without peers": controller_without_peers,
    "cuts between any": cuts_between_any,
    "leaders in series": leaders_in_series,
    "restarts in turn": restarts_in_turn,
}


class SoakHistory(History):
    """One seeded history; every accepted job is asked about throughout."""

    world: SoakWorld

    def __init__(self, seed: int, folder: Path, workers: int, fault_free_s: float) -> None:
        """Draw a history.  ``workers``: machines that a service keeps busy, besides all others."""
        super().__init__(
            seed,
            catalogue=CATALOGUE,
            world_type=partial(SoakWorld, folder, workers=workers),
            split_jobs=seed % 2 == 1,
        )
        self.fault_free_s = fault_free_s
        self._workers = workers
        self._user_draws = random.Random(f"users {seed}")
        self.questions = 0

    async def _scenario(self, world: World) -> None:
        asking = await curio.spawn(self._ask_about_all, daemon=True)
        submitting = await curio.spawn(self._submit_dependent_jobs, daemon=True)
        if self._workers:
            self.jobs.append(
                await world.run_job(
                    "daemon", self._workers, crew="large", accelerators=2.0, image_gb=0.1
                )
            )
        await super()._scenario(world)
        await submitting.cancel()
        await asking.cancel()

    async def _submit_dependent_jobs(self) -> None:
        """Submit jobs that need earlier ones, which may be cancelled; they need little room."""
        dependent: list[str] = []
        while len(dependent) < MAX_DEPENDENT_JOBS:
            await curio.sleep(DEPENDENT_JOB_INTERVAL_S)
            needed = [
                job_id
                for job_id in sorted(self.world.answers.accepted)
                if self.world.fleet.jobs[job_id].spec["shape"] != "daemon"
            ]
            if needed:
                names = self._user_draws.sample(needed, min(2, len(needed)))
                small = {"accelerators": 0.0, "vcpus": 1.0, "ram_gb": 1.0, "image_gb": 0.1}
                dependent.append(
                    await self.world.run_job("array", 1, run_s=2.0, waits_on=names, **small)
                )

    async def _ask_about_all(self) -> None:
        """Let the user of each accepted job ask every few seconds, and strangers now and then."""
        users: set[str] = set()
        while True:
            for job_id in sorted(self.world.answers.accepted - users):
                users.add(job_id)
                await curio.spawn(self._ask_about, job_id, daemon=True)
            stranger = f"req-9{self._user_draws.randrange(10**5):05d}"
            number = self._user_draws.randrange(CONTROLLERS)
            await curio.spawn(self.world.status, stranger, number, daemon=True)
            await curio.sleep(1)

    async def _ask_about(self, job_id: str) -> None:
        number = self._user_draws.randrange(CONTROLLERS)
        keeps_connection = self._user_draws.random() < KEPT_CONNECTIONS_SHARE
        asked = 0
        while True:
            began = now_s()
            answered = await self.world.status(job_id, number) is not None
            self.questions += 1
            asked += 1
            if keeps_connection:
                # The load balancer ends connections of a controller that is not ready.
                moves = not answered and not await self._is_ready(number)
            else:
                moves = not answered or asked % QUESTIONS_PER_CONNECTION == 0
            if moves:
                number = (number + self._user_draws.choice([1, 2])) % CONTROLLERS
            await curio.sleep(max(0.0, began + POLL_INTERVAL_S - now_s()))

    async def _is_ready(self, number: int) -> bool:
        status, _ = await self.world.call(number, "GET", "/ready", timeout=PROBE_TIMEOUT)
        return status == HTTPStatus.OK
