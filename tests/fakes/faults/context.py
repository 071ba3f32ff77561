"""What faults of a history act on: a deployment, its users' jobs and one source of randomness."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio

from micadeal.clock import seconds
from micadeal.http.message import HttpError, Request
from tests.fakes.deployment import CONTROLLER_ADDRESSES
from tests.fakes.deployment_settings import CANCEL_S
from tests.fakes.kernel import now_s
from tests.fakes.workers import FakeWorker
from tests.fakes.world import CONTROLLERS, World

#: How long a repeated request waits for its answer.
REPEAT_TIMEOUT = seconds(4)


class FaultContext:
    """A world in which faults happen, and steps that several faults share."""

    def __init__(self, world: World, draw: random.Random) -> None:
        self.world = world
        #: All draws of a history, in one order.
        self.random = draw
        self.jobs: list[str] = []
        #: Jobs that users cancel, or have cancelled; not those that turned out to be done.
        self.cancelling: set[str] = set()
        #: Jobs whose last task has ended, as far as faults have noticed.
        self.ended: set[str] = set()
        #: Confirmed cancellations: how long after it the last task was gone, in seconds.
        self.stop_delays_s: list[float] = []

    # -- draws -----------------------------------------------------------------------------

    def chance(self, share: float) -> bool:
        """Draw True with a probability of ``share``."""
        return self.random.random() < share

    def leader(self) -> int:
        """Return the controller that leads, or draw one if nobody does."""
        leader = self.world.leader()
        return self.random.randrange(CONTROLLERS) if leader is None else leader

    def draw_workers(self, share: float) -> list[FakeWorker]:
        """Draw workers, each with a probability of ``share``."""
        workers = sorted(self.world.fleet.workers.values(), key=lambda worker: worker.name)
        return [worker for worker in workers if self.random.random() < share]

    # -- users -----------------------------------------------------------------------------

    async def cancel(self, job: str, after: float = 0.0) -> None:
        """Cancel a job until that is confirmed, and measure when its last task is gone."""
        await curio.sleep(after)
        while (status := await self.world.cancel(job, self.random.randrange(CONTROLLERS))) is None:
            await curio.sleep(1)
        if status == "done":
            self.cancelling.remove(job)
            return
        confirmed_at = now_s()
        await self.world.wait_until(
            lambda: not self.world.tasks_on_machines(job), limit=CANCEL_S + 5
        )
        self.stop_delays_s.append(now_s() - confirmed_at)

    async def spawn_cancel(self, job: str, after: float = 0.0) -> None:
        """Start to cancel a job, ``after`` seconds from now."""
        self.cancelling.add(job)
        await curio.spawn(self.cancel, job, after, daemon=True)

    async def submit_malformed(self, fields: dict[str, Any], number: int) -> None:
        """Submit a job that can't run, or makes no sense: no controller may ever accept it."""
        job = self.world.job(**fields)
        status = await self.world.submit_once(job, number)
        if status not in (0, 400, 422, 503):
            self.world.rules.violations.append(f"accepted {job} with {fields}: {status}")

    # -- network and processes -------------------------------------------------------------

    async def deliver(self, requests: list[Request], number: int) -> None:
        """Send requests to one controller, one after the other, as long as it is there."""
        address = CONTROLLER_ADDRESSES[f"c{number}"]
        for request in requests:
            try:
                await self.world.network.request("copies", address, request, REPEAT_TIMEOUT)
            except HttpError:
                return

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


Fault = Callable[[FaultContext], Awaitable[None]]
