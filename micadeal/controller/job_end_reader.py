"""Reads the ends of jobs that other jobs depend on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.background_tasks import BackgroundTasks
from micadeal.jobs.dependencies import JobDependencies

#: Maximum number of reads in flight.
MAX_IN_FLIGHT = 6


class JobEndReader:
    """Starts the reads of one term, and tracks which cancellations have reached all dependents.

    Only unknown ends that a live job depends on are read, so the work does not grow with the number
    of past jobs.  A job that depends on an unknown end does not run until that end is read.
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
        self.cancellations_propagated_until: timedelta | None = None

    def completed(self, job_id: str) -> None:
        """Record that a read has completed."""
        self._in_flight.discard(job_id)

    async def read_pending(self, rescan: bool, cancellations_read_until: timedelta | None) -> None:
        """Start pending reads within the limit on reads in flight.

        With ``rescan``, ends to read are determined even if no dependency has changed.  Every
        cancellation recorded before ``cancellations_read_until`` is known.
        """
        dependencies = self._dependencies
        if rescan or dependencies.changed:
            self._pending = [
                job_id
                for job_id in dependencies.ends_to_read(monotonic())
                if job_id not in self._in_flight
            ]
            if not (self._pending or self._in_flight or dependencies.cancelled_by_dependency):
                # All jobs that were cancelled before the last answered watch was opened, and all
                # their dependents, are recorded as cancelled.
                self.cancellations_propagated_until = cancellations_read_until
        while self._pending and len(self._in_flight) < MAX_IN_FLIGHT:
            job_id = self._pending.pop()
            if job_id not in self._in_flight:
                self._in_flight.add(job_id)
                await self._background_tasks.spawn(self._read_end, job_id)
