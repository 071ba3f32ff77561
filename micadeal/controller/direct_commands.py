"""Stop commands and probes that the leader sends straight to workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.controller.messages import DirectCommandResult
from micadeal.scheduling import reconciliation, worker_commands
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.workers import DirectCommands

#: Direct commands in flight at once.
MAX_IN_FLIGHT = 24
#: Probes are sent only while fewer direct commands than this are in flight.  The machines probed
#: may be gone, and waiting for their timeouts must not delay stop commands to others.
MAX_IN_FLIGHT_FOR_PROBES = 12

#: Sends commands to the worker of a machine at an address.
Send = Callable[[str, str, DirectCommands], Awaitable[None]]


class DirectCommandSender:
    """Sends the direct commands that the cluster state asks for, one at a time to each machine."""

    def __init__(
        self, cluster: ClusterState, token: int, send: Send, background_tasks: BackgroundTasks
    ) -> None:
        self._cluster = cluster
        self._token = token
        self._send = send
        self._background_tasks = background_tasks
        self._in_flight: set[str] = set()

    async def send_pending(self) -> None:
        """Send stop commands and probes, as far as the limits on commands in flight allow.

        Stop commands may be executed late without harm, so they don't wait for a heartbeat.  A
        probe is the same message: the worker's answer shows whether it is reachable.
        """
        cluster = self._cluster
        for machine_names, max_in_flight in (
            (cluster.pending_direct_commands, MAX_IN_FLIGHT),
            (cluster.pending_probes, MAX_IN_FLIGHT_FOR_PROBES),
        ):
            for name in list(machine_names):
                if len(self._in_flight) >= max_in_flight:
                    break
                machine = cluster.machines.get(name)
                if machine is None or not machine.address:
                    machine_names.discard(name)
                    continue
                if name in self._in_flight:
                    continue
                machine_names.discard(name)
                self._in_flight.add(name)
                machine.reachability.last_probe_at = monotonic()
                message = DirectCommands(
                    self._token,
                    machine.incarnation,
                    worker_commands.stop_commands_for(cluster, machine),
                )
                await self._background_tasks.spawn(self._send, name, machine.address, message)

    def complete(self, result: DirectCommandResult, now: timedelta) -> None:
        """Take in the outcome of one direct command.

        Raises ``StaleTokenError`` if the worker has seen the token of a later leader.
        """
        self._in_flight.discard(result.machine)
        if result.heartbeat is not None:
            reconciliation.reconcile_heartbeat(
                self._cluster,
                result.heartbeat,
                now,
                is_heartbeat=False,
                command_sent_at=result.sent_at,
            )
            return
        machine = self._cluster.machines.get(result.machine)
        if machine is not None:
            machine.reachability.probe_unanswered(result.sent_at)
