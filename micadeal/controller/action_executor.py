"""Executes the scheduler's decisions: worker commands, record writes, rentals and returns."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.controller.cpu_metrics import Activity, CpuMetrics
from micadeal.controller.direct_commands import DirectCommandSender
from micadeal.controller.messages import ReleaseCompleted, RentalCompleted, WriteCompleted
from micadeal.controller.outbound import OutboundCalls
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.scheduling.scheduler import Scheduler

#: Maximum number of machines returned by one request to the cloud.
MAX_MACHINES_PER_RELEASE = 100


class ActionExecutor:
    """Starts the requests of one term and processes their results.

    Each request runs as a background task.  At most one request per rental, and one request to
    return machines, is in flight at a time.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        record_writer: RecordWriter,
        outbound: OutboundCalls,
        direct_commands: DirectCommandSender,
        background_tasks: BackgroundTasks,
        cpu_metrics: CpuMetrics,
    ) -> None:
        self._scheduler = scheduler
        self._record_writer = record_writer
        self._outbound = outbound
        self._direct_commands = direct_commands
        self._background_tasks = background_tasks
        self._cpu_metrics = cpu_metrics
        self._rentals_in_flight: set[str] = set()
        self._release_in_flight = False

    async def execute(self, fence: int) -> None:
        """Start all requests that are due; writes are conditional on the version ``fence``."""
        await self._direct_commands.send_pending()
        for batch in self._record_writer.next(monotonic()):
            self._cpu_metrics.add(Activity.RECORD_CHANGES, times=len(batch.operations))
            await self._background_tasks.spawn(self._outbound.write, batch, fence)
        for request in list(self._scheduler.pending_rental_requests.values()):
            if request.request not in self._rentals_in_flight:
                self._rentals_in_flight.add(request.request)
                self._cpu_metrics.add(Activity.RENTALS)
                await self._background_tasks.spawn(self._outbound.rent, request)
        if self._scheduler.pending_returns and not self._release_in_flight:
            self._release_in_flight = True
            machine_names = sorted(self._scheduler.pending_returns)[:MAX_MACHINES_PER_RELEASE]
            await self._background_tasks.spawn(self._outbound.release, machine_names)

    def write_completed(self, message: WriteCompleted, now: timedelta) -> None:
        """Process the result of a write."""
        if message.rejected:
            self._record_writer.rejected(message.batch)
        if message.revision is not None:
            self._record_writer.committed(message.batch, message.revision, now)
        else:
            self._record_writer.failed(message.batch, message.current_items or {}, now)

    def rental_completed(self, message: RentalCompleted, now: timedelta) -> None:
        """Process the cloud's response to a rental."""
        self._rentals_in_flight.discard(message.request.request)
        if message.machine_names is None:
            self._scheduler.rental_refused(message.request, now)
        else:
            self._scheduler.rental_granted(message.request, message.machine_names, now)

    def release_completed(self, message: ReleaseCompleted, now: timedelta) -> None:
        """Process the cloud's response to a return of machines."""
        self._release_in_flight = False
        if message.accepted:
            self._scheduler.return_confirmed(message.machine_names, now)
