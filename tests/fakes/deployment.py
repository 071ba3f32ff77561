"""An in-memory deployment: controllers, machines, the cloud, the state service and a network."""

from __future__ import annotations

from typing import Any

import curio

from micadeal.controller.controller import Controller
from micadeal.operator.options import Options
from micadeal.operator.platform import parse
from micadeal.rollout.feature_level import Build
from tests.fakes import cloud as cloud_fake
from tests.fakes import state as state_fake
from tests.fakes.cloud import FakeCloud, RentedMachine
from tests.fakes.deployment_settings import CHANGES_PER_S, LEASE_S, TEAMS, ZONES, settings
from tests.fakes.network import FakeNetwork, HostNetwork, HostProcess
from tests.fakes.previous_versions import (
    ControllerBeforeLevels,
    NetworkBeforeDependencies,
    NetworkBeforeLevels,
)
from tests.fakes.protocol_rules import ProtocolRules
from tests.fakes.state import FakeState
from tests.fakes.user_answers import UserAnswers
from tests.fakes.workers import FakeWorker, Fleet, TaskAttempt

CONTROLLER_ADDRESSES = {f"c{number}": f"10.0.0.{number + 1}:8080" for number in range(3)}
HEARTBEAT_INTERVAL_S = 2.0
#: How long a task of a gang waits for the others, and how often it polls for them.
GANG_WAIT_S, GANG_PEER_S = 50.0, 6.0


class Deployment:
    """Three controllers and the services that they use; tests inject the faults."""

    fleet_type = Fleet

    def __init__(
        self,
        seed: int = 1,
        teams: str = TEAMS,
        announced_limits: str = "",
        renew_leases_as_follower: bool = True,
        changes_per_s: float | None = None,
        **cloud: Any,
    ) -> None:
        """Prepare a deployment without starting anything.

        ``changes_per_s`` is the write rate that the state service enforces.  With None it enforces
        no rate, and controllers keep to ``CHANGES_PER_S``.  ``announced_limits`` holds the limits
        that the state service announces, as TOML.  ``cloud`` is passed on to ``FakeCloud``.
        """
        self.renew_leases_as_follower = renew_leases_as_follower
        self.network = FakeNetwork(seed)
        self.state = FakeState()
        self.state.changes_per_s = changes_per_s
        self.teams = teams
        self.announced_limits = announced_limits
        self.fleet = self.fleet_type(
            self.network,
            dict(CONTROLLER_ADDRESSES),
            HEARTBEAT_INTERVAL_S,
            LEASE_S,
            GANG_WAIT_S,
            GANG_PEER_S,
            self._on_task_event,
        )
        self.cloud = FakeCloud(ZONES, self._boot, self._kill, **cloud)
        self.answers = UserAnswers()
        self.rules = ProtocolRules(self.fleet, self.answers)
        self.nodes: dict[int, Controller] = {}
        self._processes: dict[str, HostProcess] = {}

    # -- services and machines -------------------------------------------------------------

    async def start_services(self) -> None:
        """Start the state service and the cloud, and the periodic check of the rules."""
        self.network.serve(state_fake.HOST, state_fake.ADDRESS, self.state.handle)
        self.network.serve(cloud_fake.HOST, cloud_fake.ADDRESS, self.cloud.handle)
        for main in (self.state.run, self._run_cloud_and_checks):
            await curio.spawn(main, daemon=True)

    async def _run_cloud_and_checks(self) -> None:
        while True:
            await curio.sleep(0.25)
            await self.cloud.step()
            self.rules.check_running_tasks()

    async def _boot(self, machine: RentedMachine) -> None:
        worker = FakeWorker(self.fleet, machine.name, machine.address, machine.zone, machine.spot)
        self.fleet.workers[machine.name] = worker
        await curio.spawn(worker.run, daemon=True)

    def _kill(self, name: str) -> None:
        worker = self.fleet.workers.get(name)
        if worker is not None:
            worker.end()

    def _on_task_event(self, event: str, worker: FakeWorker, attempt: TaskAttempt) -> None:
        self.rules.on_task_event(event, worker, attempt)

    def tasks_on_machines(self, job_id: str | None = None) -> list[tuple[FakeWorker, TaskAttempt]]:
        """Return the attempts of one job, or of all, that have their image and have not exited."""
        return self.fleet.tasks_on_machines(job_id)

    def running(self, job_id: str) -> int:
        """Return the number of running tasks of a job."""
        attempts = [attempt for _, attempt in self.tasks_on_machines(job_id)]
        return sum(1 for attempt in attempts if attempt.state == "running")

    # -- controllers -----------------------------------------------------------------------

    async def start(
        self,
        number: int,
        before_dependencies: bool = False,
        before_levels: bool = False,
        build: Build | None = None,
        removed: int | None = None,
    ) -> None:
        """Start a controller.

        ``before_dependencies``: it behaves like the last version before dependent jobs.
        ``before_levels``: it behaves like the last version before feature levels.  ``build``: the
        levels that it knows.  ``removed``: a controller that its settings do not list.
        """
        name = f"c{number}"
        process = self._processes[name] = HostProcess()
        changes = self.state.changes_per_s or CHANGES_PER_S
        platform = parse(settings(number, self.teams, self.announced_limits, removed, changes))
        node: Controller
        if before_dependencies or before_levels:
            network_type = NetworkBeforeDependencies if before_dependencies else NetworkBeforeLevels
            network = network_type(self.network, name, process)
            options = Options(renew_leases_as_follower=before_levels)
            node = ControllerBeforeLevels(platform, network, options, renews_leases=before_levels)
        else:
            host = HostNetwork(self.network, name, process)
            options = Options(renew_leases_as_follower=self.renew_leases_as_follower)
            node = Controller(platform, host, options, build)
        self.nodes[number] = node
        await curio.spawn(node.run, daemon=True)

    def crash(self, number: int) -> None:
        """End a controller's process immediately; its pending requests reach no other host."""
        self._processes[f"c{number}"].running = False
        self.network.close(f"c{number}")

    def is_up(self, number: int) -> bool:
        """Return whether a controller's process is running."""
        return self._processes[f"c{number}"].running

    async def start_missing(self) -> None:
        """Start all controllers that are not running."""
        for number in range(len(CONTROLLER_ADDRESSES)):
            if not self.is_up(number):
                await self.start(number)

    # -- leadership, as stored in the state service ----------------------------------------

    def leader(self) -> int | None:
        """Return the number of the recorded leader, or None."""
        lock = self._leader_lock()
        return None if lock is None else int(lock[0]["controller"][1:])

    def term(self) -> int:
        """Return a number that is unique to the current term, or 0 without a leader."""
        lock = self._leader_lock()
        return 0 if lock is None else lock[1]

    def level(self) -> int:
        """Return the recorded feature level."""
        entry = self.state.keys.get("seat/level")
        return 0 if entry is None else int(entry[0]["level"])

    def _leader_lock(self) -> tuple[Any, int, int | None] | None:
        """Return the leader lock: value, version and lease, or None if no leader holds it."""
        return self.state.keys.get("seat/held" if self.level() else "leader")
