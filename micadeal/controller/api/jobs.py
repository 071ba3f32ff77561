"""Answers users on any controller, from the state service alone.

An answer must never be taken back by another controller.  So a job is called accepted, cancelled or
done only once the state service holds that; and "pending", "running" or "unknown" rest on a read
that began after the question came, since another controller may have answered something newer a
moment ago.  Final answers never change and are remembered.
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
    """Submission, status and cancellation, and what other controllers report of jobs."""

    def __init__(
        self,
        state: StateService,
        teams: dict[str, Team],
        broadcast: Callable[[str], Awaitable[CancellationConfirmation]],
        cancel_timeout: timedelta,
        ask_others: Callable[[str], None],
    ) -> None:
        """Serve the users of one controller.

        ``broadcast`` makes a cancellation known to the other controllers; ``cancel_timeout`` after
        a cancellation was confirmed no task of the job is left; ``ask_others`` asks controllers
        that can't be told directly to confirm a cancellation in our place.
        """
        self._answers = KnownAnswers()
        self._cancellation_ages = CancellationAges()
        confirmer = CancellationConfirmer(
            self._answers, broadcast, cancel_timeout, self._cancellation_ages, ask_others
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
        """Return what a user may be told of a job now; raise ``StateServiceError`` if nothing."""
        return await self._status.look_up(job_id)

    # -- reports of leaders and other controllers ------------------------------------------

    @property
    def types(self) -> list[MachineType]:
        """The cloud's machine types; empty as long as they are not known."""
        return list(self._submission.instance_offers.types.values())

    def set_catalog(self, types: list[MachineType]) -> None:
        """Take over the cloud's machine types."""
        self._submission.instance_offers.types = {kind.name: kind for kind in types}

    def set_counts(self, counts: list[Counts], all_started: list[str]) -> None:
        """Take over what a leader reports of jobs in progress."""
        self._answers.set_counts(counts, all_started)

    @property
    def counts(self) -> list[Counts]:
        """Counts of jobs in progress, as a leader reported them last."""
        return self._answers.counts

    def all_started(self) -> frozenset[str]:
        """Return the jobs all of whose tasks run, by a leader's last report if it is not old."""
        return self._answers.all_started()

    def set_cascaded(self, until: timedelta | None) -> None:
        """Take over up to when cancellations have reached all jobs after them."""
        self._dependencies.propagated_until = until

    def over(self, job_id: str) -> None:
        """Note that a job's end is recorded, as another controller or the leader reports."""
        self._answers.note_ended(job_id)

    def cancellation_ages(self) -> dict[str, float]:
        """Return for how many milliseconds enough controllers have known of cancellations."""
        return self._cancellation_ages.to_wire(monotonic())

    def merge_cancellation_ages(self, ages_ms: Mapping[str, float]) -> None:
        """Take over what a peer says on how long enough controllers have known."""
        self._cancellation_ages.merge(ages_ms, monotonic())

    @property
    def last_cancel(self) -> timedelta:
        """When a user was last answered "cancelled" here, or when this process was started."""
        return self._answers.last_cancel
