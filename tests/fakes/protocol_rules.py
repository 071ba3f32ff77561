"""The protocol's rules, checked while a deployment in memory runs.

Each check appends what is violated to ``ProtocolRules.violations``; the text starts with the name
of the rule.
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

#: Gpus of a team by which rounding may exceed its limit.
ROUNDING = 1e-9


class ProtocolRules:
    """Checks starts of tasks, running tasks and answers to users; collects violations."""

    def __init__(self, fleet: Fleet, answers: UserAnswers) -> None:
        self._fleet = fleet
        self._answers = answers
        self.violations: list[str] = []
        #: Whether questions about accepted jobs are answered.
        self.forgotten = ForgottenJobs()
        #: How often each task was started.
        self.starts: Counter[str] = Counter()
        #: Tasks that ran to their end.
        self.finished_tasks: set[str] = set()
        #: Jobs of whose end nothing can be read any more: nobody can say which answer is theirs.
        self.unreadable_jobs: set[str] = set()
        #: Gpus that each team may use at once.
        self.team_limits = {"red": 8.0, "blue": 12.0}

    def all_tasks_done(self, job_id: str) -> bool:
        """Return whether all tasks of a job have ended; a gang ends with its first one."""
        spec = self._fleet.jobs[job_id].spec
        ended = (f"{job_id}/{index}" in self.finished_tasks for index in range(spec["legs"]))
        return any(ended) if spec["shape"] == "gang" else all(ended)

    # -- starts ----------------------------------------------------------------------------

    def on_task_event(self, event: str, worker: FakeWorker, attempt: TaskAttempt) -> None:
        """Take note of an event of the fleet; check a start."""
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
        """Check ``too_early``: a task starts after all that its job waits on is done."""
        for name in self._fleet.jobs[attempt.job_id].spec.get("waits_on") or ():
            if not self.all_tasks_done(name):
                self.violations.append(f"too_early {attempt.task}: {name} is not done")

    def _check_not_cancelled(self, attempt: TaskAttempt) -> None:
        """Check ``started_cancelled``: no task starts after its cancellation was confirmed."""
        confirmed_at = self._answers.cancel_confirmed_at.get(attempt.job_id)
        if confirmed_at is not None:
            after = now_s() - confirmed_at
            self.violations.append(
                f"started_cancelled {attempt.task}: {after:.2f} s after its user was told"
            )

    def _check_runs_once(self, attempt: TaskAttempt) -> None:
        """Check ``ran_twice``: a task is on one machine at a time."""
        machines = [
            worker
            for worker, other in self._fleet.tasks_on_machines()
            if other.task == attempt.task
        ]
        if len(machines) > 1:
            self.violations.append(f"ran_twice {attempt.task}")

    def _check_spot_allowed(self, worker: FakeWorker, attempt: TaskAttempt) -> None:
        """Check ``wrong_place``: only jobs that allow it run on spot machines."""
        if worker.spot and not self._fleet.jobs[attempt.job_id].spec["loaners"]:
            self.violations.append(f"wrong_place {attempt.task}: spot")

    def _check_requested_zone(self, worker: FakeWorker, attempt: TaskAttempt) -> None:
        """Check ``wrong_place``: a job bound to a zone runs there."""
        if self._fleet.jobs[attempt.job_id].spec["depot"] not in (None, worker.zone):
            self.violations.append(f"wrong_place {attempt.task}: zone")

    def _check_zones_of_job(self, attempt: TaskAttempt) -> None:
        """Check ``wrong_place``: jobs run in one zone, or spread over zones, if they ask for it."""
        spec = self._fleet.jobs[attempt.job_id].spec
        tasks = self._fleet.tasks_on_machines(attempt.job_id)
        zones = Counter(worker.zone for worker, _ in tasks)
        if spec["one_zone"] and len(zones) > 1:
            self.violations.append(f"wrong_place {attempt.task}: two zones")
        if spec["scatter"] and max(zones.values()) > (spec["legs"] + 1) // 2:
            self.violations.append(f"wrong_place {attempt.task}: not spread")

    # -- running tasks ---------------------------------------------------------------------

    def check_running_tasks(self) -> None:
        """Check the rules that hold at every moment."""
        attempts = [attempt for _, attempt in self._fleet.tasks_on_machines()]
        self._check_cancelled_are_gone(attempts)
        self._check_quota(attempts)

    def _check_cancelled_are_gone(self, attempts: Iterable[TaskAttempt]) -> None:
        """Check ``ran_cancelled``: tasks are gone in time after a confirmed cancellation.

        That of their job, or of one that it waits on.
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

    def check_answer(self, job_id: str, before: str | None, status: str) -> None:
        """Check ``went_back``: no answer contradicts one given to an earlier question."""
        violation = self._answers.record(job_id, before, status)
        if violation is not None:
            self.violations.append(violation)

    def accept(self, job_id: str) -> None:
        """Take note that a user was answered that a job is accepted."""
        self._answers.accepted.add(job_id)
        self.forgotten.accept(job_id)

    def check_known(self, kind: RequestKind, job_id: str, status: int, asked_at: float) -> None:
        """Check ``forgotten`` and ``invented`` by an answer's HTTP status; 0: there was none."""
        if kind is RequestKind.STATUS and status == HTTPStatus.OK and self.never_submitted(job_id):
            self.violations.append(f"invented {job_id}")
        violation = self.forgotten.record(kind, job_id, status, asked_at, now_s())
        if violation is not None and job_id not in self.unreadable_jobs:
            self.violations.append(str(violation))

    def never_submitted(self, job_id: str) -> bool:
        """Return whether no user has described a job of this id."""
        return job_id not in self._fleet.jobs

    def check_status(self, job_id: str, status: str) -> None:
        """Check the answer to a question about a job against what happened on machines."""
        if status == "done":
            self._check_is_done(job_id)
        if status == "cancelled":
            self._check_cancel_was_requested(job_id)
        if status in ("pending", "running"):
            self._check_not_orphaned(job_id)

    def _check_is_done(self, job_id: str) -> None:
        """Check ``not_done``: what is answered as done has run to its end."""
        if self.starts and not self.all_tasks_done(job_id):
            self.violations.append(f"not_done {job_id}")

    def _check_cancel_was_requested(self, job_id: str) -> None:
        """Check ``went_back``: only what users cancelled, or what waits on it, is cancelled."""
        if not self._fleet.with_dependencies(job_id) & self._answers.cancel_requested:
            self.violations.append(f"went_back: {job_id} was not cancelled by its user")

    def _check_not_orphaned(self, job_id: str) -> None:
        """Check ``orphaned``: a job ends in time after one that it waits on was cancelled."""
        confirmed = self._answers.cancel_confirmed_at
        names = self._fleet.with_dependencies(job_id)
        since = min((at for name in names if (at := confirmed.get(name))), default=None)
        if since is not None and now_s() > since + CANCEL_S:
            self.violations.append(f"orphaned {job_id}")
