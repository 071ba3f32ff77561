"""Sends the leader's stop commands and probes directly to workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.controller.messages import DirectCommandResult
from micadeal.scheduling import reconciliation, worker_commands
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.workers import DirectCommands

#: Maximum number of direct commands in flight.
MAX_IN_FLIGHT = 24
#: Probes are sent only while fewer direct commands than this are in flight.  Probed machines may
#: be gone, and their timeouts must not delay stop commands to other machines.
MAX_IN_FLIGHT_FOR_PROBES = 12

#: Sends commands to a worker; called with its machine's name, its address and the commands.
SendCommands = Callable[[str, str, DirectCommands], Awaitable[None]]


class DirectCommandSender:
    """Sends the direct commands that the cluster state requests, one at a time per machine."""

    def __init__(
        self,
        cluster: ClusterState,
        token: int,
        send: SendCommands,
        background_tasks: BackgroundTasks,
    ) -> None:
        self._cluster = cluster
        self._token = token
        self._send = send
        self._background_tasks = background_tasks
        self._in_flight: set[str] = set()

    async def send_pending(self) -> None:
        """Send pending stop commands and probes within the limits on commands in flight.

        A stop command does no harm if it is executed late, so it need not wait for a heartbeat.  A
        probe is a direct command as well: any answer shows that the worker is reachable.
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
        """Process the result of one direct command.

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
