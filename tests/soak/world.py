"""A deployment whose controllers are real processes; users and services are in-memory fakes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio

from micadeal.clock import monotonic
from micadeal.rollout.feature_level import Build
from tests.fakes import cloud as cloud_fake
from tests.fakes import state as state_fake
from tests.fakes.deployment import CONTROLLER_ADDRESSES
from tests.fakes.deployment_settings import TEAMS, settings
from tests.fakes.workers import FakeWorker, Fleet, TaskAttempt
from tests.fakes.world import CONTROLLERS, World
from tests.soak.controller_process import ROOT, ControllerProcess
from tests.soak.relays import Relays, free_address

OPTIONS = ROOT / "deploy" / "run.toml"
WATCH_INTERVAL_S = 0.5
#: Number of attempts to end all tasks of a kernel; tasks that end may start others.
MAX_SHUTDOWN_ATTEMPTS = 20
#: A team with a high limit, whose service keeps many machines busy.
LARGE_TEAM = """
[[cluster.teams]]
name = "large"
gpus = 0.0
gpus_max = 2000.0
"""


class LeaseExpiringFleet(Fleet):
    """Fake workers whose leases are expired by the clock whenever their tasks are listed.

    The workers' own timers may fire late when the process of the fakes is slow.
    """

    def tasks_on_machines(self, job_id: str | None = None) -> list[tuple[FakeWorker, TaskAttempt]]:
        """Return the attempts that are on machines whose leases have not expired."""
        now = monotonic().total_seconds()
        for worker in list(self.workers.values()):
            worker.expire_lease(now)
        return super().tasks_on_machines(job_id)


class SoakWorld(World):
    """Starts and ends processes where the in-memory world starts and ends objects."""

    fleet_type = LeaseExpiringFleet

    def __init__(self, folder: Path, seed: int, workers: int, **deployment: Any) -> None:
        """Prepare a deployment that writes its files into ``folder``; nothing runs yet."""
        super().__init__(seed, teams=TEAMS + LARGE_TEAM, capacity=10 + workers, **deployment)
        self.rules.team_limits["large"] = 2000.0
        self._folder = folder
        self._relays = Relays(self.network)
        self._addresses = {f"c{n}": (free_address(), free_address()) for n in range(CONTROLLERS)}
        self.controllers: dict[int, ControllerProcess] = {}
        #: Processes started so far.
        self.process_starts = 0

    # -- processes -------------------------------------------------------------------------

    async def start(
        self,
        number: int,
        before_dependencies: bool = False,
        before_levels: bool = False,
        build: Build | None = None,
        removed: int | None = None,
    ) -> None:
        """Start a controller's process and wait until it listens."""
        name = f"c{number}"
        api, mesh = self._addresses[name]
        settings_text = settings(number, self.teams, self.announced_limits)
        replacements = {f"10.0.0.{number + 1}:8080": api, f"10.0.0.{number + 1}:8081": mesh}
        for address in (state_fake.ADDRESS, cloud_fake.ADDRESS, *self._peers_of(number)):
            replacements[address] = await self._relays.real_address(name, address)
        for address, replacement in replacements.items():
            settings_text = settings_text.replace(f'"{address}"', f'"{replacement}"')
        settings_file = self._folder / f"{name}.toml"
        settings_file.write_text(settings_text)
        options = OPTIONS if self.renew_leases_as_follower else None
        process = ControllerProcess(name, settings_file, self._folder / f"{name}.log", options)
        self.controllers[number] = process
        self.nodes[number] = process  # type: ignore[assignment]
        self.process_starts += 1
        await process.wait_until_listening(api)
        if process is self.controllers[number] and process.running:
            self.network.serve(name, CONTROLLER_ADDRESSES[name], self._relays.forwarder(name, api))
            peer_address = f"10.0.0.{number + 1}:8081"
            self.network.serve(name, peer_address, self._relays.forwarder(name, mesh))

    def _peers_of(self, number: int) -> list[str]:
        return [f"10.0.0.{other + 1}:8081" for other in range(CONTROLLERS) if other != number]

    def crash(self, number: int) -> None:
        """Kill a controller's process."""
        self.controllers[number].kill()
        self.network.close(f"c{number}")

    def is_up(self, number: int) -> bool:
        """Return whether a controller's process is running."""
        return number in self.controllers and self.controllers[number].running

    def end_all(self) -> None:
        """End all processes that this world has started."""
        for process in self.controllers.values():
            process.resume()
            process.kill()

    async def _watch_processes(self) -> None:
        while True:
            for process in self.controllers.values():
                if process.ended_unexpectedly:
                    self.rules.violations.append(f"ended by itself: {process.name}")
                    process.kill()
            await curio.sleep(WATCH_INTERVAL_S)

    # -- play ------------------------------------------------------------------------------

    def play(
        self,
        monkeypatch: Any,
        scenario: Callable[[World], Awaitable[None]],
        before_dependencies: bool = False,
    ) -> World:
        """Run a scenario in real time; fail if a rule of the protocol was broken."""

        async def main() -> None:
            try:
                await curio.spawn(self._watch_processes, daemon=True)
                await self._play(scenario, before_dependencies)
            finally:
                # End the processes before the servers: no process may connect during shutdown.
                self.end_all()

        kernel = curio.Kernel()
        try:
            kernel.run(main)
        finally:
            _shut_down(kernel)
        return self._without_violations()

    @property
    def requests(self) -> int:
        """Number of requests that passed between processes."""
        return self._relays.requests


def _shut_down(kernel: curio.Kernel) -> None:
    """End all tasks of a kernel, including those that other tasks start while they end."""
    for _ in range(MAX_SHUTDOWN_ATTEMPTS):
        try:
            kernel.run(shutdown=True)
        except AssertionError:
            # Curio raises this if tasks were started meanwhile: the next attempt ends them.
            continue
        return
    raise RuntimeError("tasks keep starting other tasks during the shutdown")
