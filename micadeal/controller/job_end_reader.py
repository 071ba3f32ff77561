"""Reads how the jobs that others depend on have ended."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.jobs.dependencies import JobDependencies

#: Reads in flight at once.
MAX_IN_FLIGHT = 6


class JobEndReader:
    """Starts the reads for one term, and knows which cancellations have reached all dependents.

    Only ends that a live job names and that are not known are read, so the work does not grow with
    the jobs of the past.  Whatever depends on an end that is not known is held back meanwhile.
    """

    def __init__(
        self,
        dependencies: JobDependencies,
        read_end: Callable[[str], Awaitable[None]],
        background_tasks: BackgroundTasks,
    ) -> None:
        self._dependencies = dependencies
        self._read_end = read_end
        self._background_tasks = background_tasks
        self._in_flight: set[str] = set()
        self._pending: list[str] = []
        #: Every job that depends on one cancelled before this instant is recorded as cancelled.
        self.cascaded_until: timedelta | None = None

    def completed(self, job_id: str) -> None:
        """Note that a read has been answered."""
        self._in_flight.discard(job_id)

    async def read_pending(self, rescan: bool, informed: timedelta | None) -> None:
        """Start reads, as far as the limit on reads in flight allows.

        ``rescan``: look for ends to read even if no dependency has changed; ``informed``: every
        cancellation recorded before that is known.
        """
        dependencies = self._dependencies
        if rescan or dependencies.changed:
            self._pending = [
                job_id
                for job_id in dependencies.ends_to_read(monotonic())
                if job_id not in self._in_flight
            ]
            if not (self._pending or self._in_flight or dependencies.cancelled_by_dependency):
                # Whatever was cancelled before the last answered watch was opened is recorded as
                # cancelled, with all that depends on it.
                self.cascaded_until = informed
        while self._pending and len(self._in_flight) < MAX_IN_FLIGHT:
            job_id = self._pending.pop()
            if job_id not in self._in_flight:
                self._in_flight.add(job_id)
                await self._background_tasks.spawn(self._read_end, job_id)
