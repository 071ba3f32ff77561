"""A whole deployment in memory: controllers, machines, the cloud, the state service, a network."""

from __future__ import annotations

from typing import Any

import curio

from micadeal.controller.controller import Controller
from micadeal.operator.options import Options
from micadeal.operator.platform import parse
from micadeal.rollout.feature_level import Build
from tests.fakes import cloud as cloud_fake
from tests.fakes import state as state_fake
from tests.fakes.cloud import FakeCloud, Rented
from tests.fakes.deployment_settings import CHANGES_PER_S, LEASE_S, TEAMS, ZONES, settings
from tests.fakes.network import FakeNetwork, HostNetwork, HostProcess
from tests.fakes.previous_versions import EarlierNetwork, EarlierNode, UnlevelledNetwork
from tests.fakes.protocol_rules import ProtocolRules
from tests.fakes.state import FakeState
from tests.fakes.user_answers import UserAnswers
from tests.fakes.workers import FakeWorker, Fleet, TaskAttempt

CONTROLLER_ADDRESSES = {f"c{number}": f"10.0.0.{number + 1}:8080" for number in range(3)}
HEARTBEAT_INTERVAL_S = 2.0
#: How long a task of a gang waits for the others, and how often it asks for them.
GANG_WAIT_S, GANG_PEER_S = 50.0, 6.0


class Deployment:
    """Three controllers and the services around them; faults are injected from outside."""

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
        """Prepare a deployment; nothing runs yet.

        ``changes_per_s``: what the state service takes; None: the ordinary, and it counts none.
        ``announced_limits``: those that the state service announces.  ``cloud``: see ``FakeCloud``.
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
        """Start the state service and the cloud; check the rules from now on."""
        self.network.serve(state_fake.HOST, state_fake.ADDRESS, self.state.handle)
        self.network.serve(cloud_fake.HOST, cloud_fake.ADDRESS, self.cloud.handle)
        for work in (self.state.run, self._run_cloud_and_checks):
            await curio.spawn(work, daemon=True)

    async def _run_cloud_and_checks(self) -> None:
        while True:
            await curio.sleep(0.25)
            await self.cloud.step()
            self.rules.check_running_tasks()

    async def _boot(self, machine: Rented) -> None:
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
        """Return the attempts, of one job or of all, that have their image and did not exit."""
        return self.fleet.tasks_on_machines(job_id)

    def running(self, job_id: str) -> int:
        """Return how many tasks of a job run."""
        attempts = [attempt for _, attempt in self.tasks_on_machines(job_id)]
        return sum(1 for attempt in attempts if attempt.state == "running")

    # -- controllers -----------------------------------------------------------------------

    async def start(
        self,
        number: int,
        earlier: bool = False,
        before_levels: bool = False,
        build: Build | None = None,
        removed: int | None = None,
    ) -> None:
        """Start a controller.

        ``earlier``: it knows no more than the version in production before pipelines;
        ``before_levels``: than the last one before levels; ``build``: which levels it knows;
        ``removed``: a controller that its settings do not name.
        """
        name = f"c{number}"
        process = self._processes[name] = HostProcess()
        changes = self.state.changes_per_s or CHANGES_PER_S
        platform = parse(settings(number, self.teams, self.announced_limits, removed, changes))
        node: Controller
        if earlier or before_levels:
            kind = EarlierNetwork if earlier else UnlevelledNetwork
            network = kind(self.network, name, process)
            options = Options(renew_leases_as_follower=before_levels)
            node = EarlierNode(platform, network, options, renews_leases=before_levels)
        else:
            host = HostNetwork(self.network, name, process)
            options = Options(renew_leases_as_follower=self.renew_leases_as_follower)
            node = Controller(platform, host, options, build)
        self.nodes[number] = node
        await curio.spawn(node.run, daemon=True)

    def crash(self, number: int) -> None:
        """End a controller's process at once; what is left of it reaches nobody."""
        self._processes[f"c{number}"].on = False
        self.network.close(f"c{number}")

    def is_up(self, number: int) -> bool:
        """Return whether a controller's process runs."""
        return self._processes[f"c{number}"].on

    async def start_missing(self) -> None:
        """Start all controllers that do not run."""
        for number in range(len(CONTROLLER_ADDRESSES)):
            if not self.is_up(number):
                await self.start(number)

    # -- leadership, as recorded by the state service --------------------------------------

    def leader(self) -> int | None:
        """Return the number of the controller that leads, as recorded."""
        entry = self._lock_holder()
        return None if entry is None else int(entry[0]["controller"][1:])

    def term(self) -> int:
        """Return another number for each election won; 0: nobody leads."""
        entry = self._lock_holder()
        return 0 if entry is None else entry[1]

    def level(self) -> int:
        """Return the feature level in force, as recorded."""
        entry = self.state.keys.get("seat/level")
        return 0 if entry is None else int(entry[0]["level"])

    def _lock_holder(self) -> tuple[Any, int, int | None] | None:
        """Return the record of the leader and its revision."""
        return self.state.keys.get("seat/held" if self.level() else "leader")
