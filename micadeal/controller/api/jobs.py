"""Answers users' requests on any controller, based on the state service alone.

No controller may contradict what another has answered.  So a job is reported as accepted,
cancelled or done only once that is recorded in the state service.  The answers "pending",
"running" and "unknown" are based on a read that begins after the request was received, since
another controller may have answered a newer status just before.  Final answers never change and
are cached.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.api.cancellation import JobCancellation
from micadeal.controller.api.cancellation_ages import CancellationAges
from micadeal.controller.api.confirmation import CancellationConfirmation, CancellationConfirmer
from micadeal.controller.api.dependencies import DependencyReader
from micadeal.controller.api.job_reader import JobReader, NeverAccepted
from micadeal.controller.api.known_answers import KnownAnswers
from micadeal.controller.api.status import JobStatus
from micadeal.controller.api.submission import JobSubmission
from micadeal.http.message import Answer
from micadeal.operator.platform import Team
from micadeal.state.service import StateService
from micadeal.wire.cloud import MachineType
from micadeal.wire.peers import Counts
from micadeal.wire.users import JobAnswer


class JobApi:
    """Submission, status and cancellation of jobs, and reports about jobs from controllers."""

    def __init__(
        self,
        state: StateService,
        teams: dict[str, Team],
        broadcast: Callable[[str], Awaitable[CancellationConfirmation]],
        cancel_timeout: timedelta,
        request_confirmation: Callable[[str], None],
    ) -> None:
        """Serve the users of one controller.

        ``broadcast`` announces a cancellation to the other controllers.  No task of a job is left
        ``cancel_timeout`` after its cancellation was confirmed.  ``request_confirmation`` asks
        other controllers through the state service to confirm a cancellation.
        """
        self._answers = KnownAnswers()
        self._cancellation_ages = CancellationAges()
        confirmer = CancellationConfirmer(
            self._answers, broadcast, cancel_timeout, self._cancellation_ages, request_confirmation
        )
        reader = JobReader(state, self._answers, confirmer)
        self._dependencies = DependencyReader(reader, self._answers, cancel_timeout)
        self._status = JobStatus(state, self._answers, reader, self._dependencies)
        self._cancellation = JobCancellation(state, self._answers, confirmer, self._status)
        self._submission = JobSubmission(
            state, teams, self._answers, self._status, self._dependencies
        )

    # -- requests --------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Answer:
        """Answer a submission."""
        return await self._submission.submit(body)

    async def status(self, job_id: str) -> Answer:
        """Answer a request for the status of a job."""
        return await self._status.status(job_id)

    async def cancel(self, job_id: str) -> Answer:
        """Answer a request to cancel a job."""
        return await self._cancellation.cancel(job_id)

    async def look_up(self, job_id: str) -> JobAnswer | NeverAccepted:
        """Return what a user may be answered about a job; ``StateServiceError`` if nothing."""
        return await self._status.look_up(job_id)

    # -- reports of leaders and other controllers ------------------------------------------

    @property
    def types(self) -> list[MachineType]:
        """The cloud's machine types; empty until they are known."""
        return list(self._submission.instance_offers.types.values())

    def set_catalog(self, types: list[MachineType]) -> None:
        """Store the cloud's machine types."""
        self._submission.instance_offers.types = {
            machine_type.name: machine_type for machine_type in types
        }

    def set_counts(self, counts: list[Counts], all_started: list[str]) -> None:
        """Store a leader's report of the jobs in progress."""
        self._answers.set_counts(counts, all_started)

    @property
    def counts(self) -> list[Counts]:
        """Task counts of the jobs in progress, from a leader's last report."""
        return self._answers.counts

    def all_started(self) -> frozenset[str]:
        """Return jobs whose unfinished tasks all run, by a leader's last report if it is recent."""
        return self._answers.all_started()

    def set_cancellations_propagated_until(self, until: timedelta | None) -> None:
        """Store the instant up to which cancellations are recorded for all dependent jobs."""
        self._dependencies.cancellations_propagated_until = until

    def note_ended(self, job_id: str) -> None:
        """Note that a job's end is recorded, by a report of the leader or another controller."""
        self._answers.note_ended(job_id)

    def cancellation_ages(self) -> dict[str, float]:
        """Return the age of each unconfirmed cancellation, in milliseconds."""
        return self._cancellation_ages.to_wire(monotonic())

    def merge_cancellation_ages(self, ages_ms: Mapping[str, float]) -> None:
        """Adopt the ages of cancellations that a peer has sent."""
        self._cancellation_ages.merge(ages_ms, monotonic())

    @property
    def last_cancel_answered_at(self) -> timedelta:
        """When a user was last answered "cancelled" here; initially the start of this process."""
        return self._answers.last_cancel_answered_at
