"""Checks of the rules of the protocol while an in-memory deployment runs.

Each check appends its violations to ``ProtocolRules.violations``.  The text of a violation starts
with the name of the rule.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from http import HTTPStatus

from tests.fakes.deployment_settings import CANCEL_S
from tests.fakes.forgotten_jobs import ForgottenJobs, RequestKind
from tests.fakes.kernel import now_s
from tests.fakes.user_answers import UserAnswers
from tests.fakes.workers import FakeWorker, Fleet, TaskAttempt

#: Tolerance in gpus for rounding errors in a team's usage.
ROUNDING = 1e-9


class ProtocolRules:
    """Checks starts of tasks, running tasks and answers to users; collects violations."""

    def __init__(self, fleet: Fleet, answers: UserAnswers) -> None:
        self._fleet = fleet
        self._answers = answers
        self.violations: list[str] = []
        #: Checks that questions about accepted jobs are answered.
        self.forgotten = ForgottenJobs()
        #: Number of starts of each task.
        self.starts: Counter[str] = Counter()
        #: Tasks that ran to their end.
        self.finished_tasks: set[str] = set()
        #: Jobs whose end record is unreadable, so no controller can answer questions about them.
        self.unreadable_jobs: set[str] = set()
        #: Gpus that each team may use at once.
        self.team_limits = {"red": 8.0, "blue": 12.0}

    def all_tasks_done(self, job_id: str) -> bool:
        """Return whether all tasks of a job are done; a gang is done with its first task."""
        spec = self._fleet.jobs[job_id].spec
        done = (f"{job_id}/{index}" in self.finished_tasks for index in range(spec["legs"]))
        return any(done) if spec["shape"] == "gang" else all(done)

    # -- starts ----------------------------------------------------------------------------

    def on_task_event(self, event: str, worker: FakeWorker, attempt: TaskAttempt) -> None:
        """Record an event of the fleet, and check it if it is a start."""
        if event == "done":
            self.finished_tasks.add(attempt.task)
        if event != "start":
            return
        self.starts[attempt.task] += 1
        self._check_dependencies_done(attempt)
        self._check_not_cancelled(attempt)
        self._check_runs_once(attempt)
        self._check_spot_allowed(worker, attempt)
        self._check_requested_zone(worker, attempt)
        self._check_zones_of_job(attempt)

    def _check_dependencies_done(self, attempt: TaskAttempt) -> None:
        """Check ``too_early``: a task starts only after all dependencies of its job are done."""
        for name in self._fleet.jobs[attempt.job_id].spec.get("waits_on") or ():
            if not self.all_tasks_done(name):
                self.violations.append(f"too_early {attempt.task}: {name} is not done")

    def _check_not_cancelled(self, attempt: TaskAttempt) -> None:
        """Check ``started_cancelled``: no task starts after its cancellation was confirmed."""
        confirmed_at = self._answers.cancel_confirmed_at.get(attempt.job_id)
        if confirmed_at is not None:
            after = now_s() - confirmed_at
            self.violations.append(
                f"started_cancelled {attempt.task}: {after:.2f} s after the confirmation"
            )

    def _check_runs_once(self, attempt: TaskAttempt) -> None:
        """Check ``ran_twice``: a task runs on at most one machine at a time."""
        machines = [
            worker
            for worker, other in self._fleet.tasks_on_machines()
            if other.task == attempt.task
        ]
        if len(machines) > 1:
            self.violations.append(f"ran_twice {attempt.task}")

    def _check_spot_allowed(self, worker: FakeWorker, attempt: TaskAttempt) -> None:
        """Check ``wrong_place``: only jobs that allow spot machines run on them."""
        if worker.spot and not self._fleet.jobs[attempt.job_id].spec["loaners"]:
            self.violations.append(f"wrong_place {attempt.task}: spot")

    def _check_requested_zone(self, worker: FakeWorker, attempt: TaskAttempt) -> None:
        """Check ``wrong_place``: a job that requests a zone runs in that zone."""
        if self._fleet.jobs[attempt.job_id].spec["depot"] not in (None, worker.zone):
            self.violations.append(f"wrong_place {attempt.task}: zone")

    def _check_zones_of_job(self, attempt: TaskAttempt) -> None:
        """Check ``wrong_place``: jobs run in one zone, or spread over zones, if they request it."""
        spec = self._fleet.jobs[attempt.job_id].spec
        tasks = self._fleet.tasks_on_machines(attempt.job_id)
        zones = Counter(worker.zone for worker, _ in tasks)
        if spec["one_zone"] and len(zones) > 1:
            self.violations.append(f"wrong_place {attempt.task}: two zones")
        if spec["scatter"] and max(zones.values()) > (spec["legs"] + 1) // 2:
            self.violations.append(f"wrong_place {attempt.task}: not spread")

    # -- running tasks ---------------------------------------------------------------------

    def check_running_tasks(self) -> None:
        """Check the rules that must hold at any time."""
        attempts = [attempt for _, attempt in self._fleet.tasks_on_machines()]
        self._check_cancelled_have_stopped(attempts)
        self._check_quota(attempts)

    def _check_cancelled_have_stopped(self, attempts: Iterable[TaskAttempt]) -> None:
        """Check ``ran_cancelled``: tasks stop in time after a cancellation confirmation.

        The confirmation may be for their own job or for a dependency.
        """
        now = now_s()
        confirmed_at = self._answers.cancel_confirmed_at
        for attempt in attempts:
            for name in self._fleet.with_dependencies(attempt.job_id):
                if now > confirmed_at.get(name, now) + CANCEL_S:
                    self.violations.append(f"ran_cancelled {attempt.task}")

    def _check_quota(self, attempts: Iterable[TaskAttempt]) -> None:
        """Check ``quota``: no team uses more gpus than its limit."""
        used: Counter[str] = Counter()
        for attempt in attempts:
            spec = self._fleet.jobs[attempt.job_id].spec
            used[spec["crew"]] += spec["accelerators"]
        for team, limit in self.team_limits.items():
            if used[team] > limit + ROUNDING:
                self.violations.append(f"quota {team}")

    # -- answers to users ------------------------------------------------------------------

    def check_answer(self, job_id: str, known_status: str | None, status: str) -> None:
        """Check ``went_back``: no answer contradicts the answer to an earlier question."""
        violation = self._answers.record(job_id, known_status, status)
        if violation is not None:
            self.violations.append(violation)

    def accept(self, job_id: str) -> None:
        """Record that a user was informed of the acceptance of a job."""
        self._answers.accepted.add(job_id)
        self.forgotten.accept(job_id)

    def check_known(self, kind: RequestKind, job_id: str, status: int, asked_at: float) -> None:
        """Check ``forgotten`` and ``invented`` by HTTP status; 0 means no answer."""
        if kind is RequestKind.STATUS and status == HTTPStatus.OK and self.never_submitted(job_id):
            self.violations.append(f"invented {job_id}")
        violation = self.forgotten.record(kind, job_id, status, asked_at, now_s())
        if violation is not None and job_id not in self.unreadable_jobs:
            self.violations.append(str(violation))

    def never_submitted(self, job_id: str) -> bool:
        """Return whether no user has submitted a job with this id."""
        return job_id not in self._fleet.jobs

    def check_status(self, job_id: str, status: str) -> None:
        """Check the answer to a question about a job against the events on machines."""
        if status == "done":
            self._check_is_done(job_id)
        if status == "cancelled":
            self._check_cancel_was_requested(job_id)
        if status in ("pending", "running"):
            self._check_not_orphaned(job_id)

    def _check_is_done(self, job_id: str) -> None:
        """Check ``not_done``: a job that is reported as done has run to its end."""
        if self.starts and not self.all_tasks_done(job_id):
            self.violations.append(f"not_done {job_id}")

    def _check_cancel_was_requested(self, job_id: str) -> None:
        """Check ``went_back``: only jobs that users cancel, and their dependents, are cancelled."""
        if not self._fleet.with_dependencies(job_id) & self._answers.cancel_requested:
            self.violations.append(f"went_back: {job_id} was not cancelled by its user")

    def _check_not_orphaned(self, job_id: str) -> None:
        """Check ``orphaned``: a job ends in time after a dependency was cancelled."""
        confirmed = self._answers.cancel_confirmed_at
        names = self._fleet.with_dependencies(job_id)
        since = min((at for name in names if (at := confirmed.get(name))), default=None)
        if since is not None and now_s() > since + CANCEL_S:
            self.violations.append(f"orphaned {job_id}")
