"""The checker of scenarios, fault histories and the soak detects a violation of each rule."""

from __future__ import annotations

from typing import Any

import pytest

from micadeal.clock import monotonic
from tests.fakes.deployment_settings import CANCEL_S
from tests.fakes.forgotten_jobs import RequestKind
from tests.fakes.network import FakeNetwork
from tests.fakes.protocol_rules import ProtocolRules
from tests.fakes.user_answers import UserAnswers
from tests.fakes.workers import FakeWorker, Fleet, Job, TaskAttempt

JOB = "req-000001"


class Deployment:
    """Two machines, one job and its user, without any controller."""

    def __init__(self, **fields: Any) -> None:
        self.fleet = Fleet(
            FakeNetwork(1), {"c0": "10.0.0.1:8080"}, 2.0, 14.0, 50.0, 6.0, self.on_task_event
        )
        self.answers = UserAnswers()
        self.rules = ProtocolRules(self.fleet, self.answers)
        spec = {
            "legs": 2, "shape": "array", "crew": "red", "accelerators": 1.0, "loaners": False,
            "depot": None, "one_zone": False, "scatter": False,
        }  # fmt: skip
        self.fleet.jobs[JOB] = Job({**spec, **fields}, 20.0)
        for name, zone in (("m1", "north"), ("m2", "south")):
            worker = FakeWorker(self.fleet, name, "10.1.0.1:9000", zone, spot=name == "m2")
            self.fleet.workers[name] = worker

    def on_task_event(self, event: str, worker: FakeWorker, attempt: TaskAttempt) -> None:
        self.rules.on_task_event(event, worker, attempt)

    def start(self, machine: str, task_index: int, attempt_number: int = 1) -> None:
        """Start a task as a worker does once it has the task's image."""
        attempt = TaskAttempt(f"{JOB}/{task_index}", attempt_number, 0.0, state="running")
        worker = self.fleet.workers[machine]
        worker.tasks[attempt.task, attempt_number] = attempt
        self.on_task_event("start", worker, attempt)

    def answer(self, status: str, previous: str | None = None) -> None:
        """Answer a status request of the user; ``previous``: the answer to an earlier one."""
        self.rules.check_answer(JOB, previous, status)
        self.rules.check_status(JOB, status)

    def violated_rules(self) -> set[str]:
        """Return the names of the rules that the checker reported as violated."""
        return {violation.split()[0].rstrip(":") for violation in self.rules.violations}


def test_tasks_that_follow_the_rules_are_not_reported() -> None:
    deployment = Deployment()
    deployment.start("m1", 0)
    deployment.start("m1", 1)
    deployment.rules.check_running_tasks()
    deployment.answer("running")
    assert deployment.violated_rules() == set()


def test_ran_twice() -> None:
    deployment = Deployment(loaners=True)
    deployment.start("m1", 0)
    deployment.start("m2", 0, attempt_number=2)
    assert deployment.violated_rules() == {"ran_twice"}


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"loaners": True, "depot": "north"},
        {"loaners": True, "one_zone": True},
    ],
)
def test_wrong_place(fields: dict[str, Any]) -> None:
    deployment = Deployment(**fields)
    deployment.start("m1", 0)
    assert deployment.violated_rules() == set()
    deployment.start("m2", 1)
    assert deployment.violated_rules() == {"wrong_place"}


def test_quota() -> None:
    deployment = Deployment(accelerators=4.5)
    deployment.start("m1", 0)
    deployment.rules.check_running_tasks()
    assert deployment.violated_rules() == set()
    deployment.start("m1", 1)
    deployment.rules.check_running_tasks()
    assert deployment.violated_rules() == {"quota"}


def test_ran_cancelled_and_started_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    deployment = Deployment()
    deployment.start("m1", 0)
    deployment.answers.cancel_requested.add(JOB)
    deployment.answer("cancelled")
    deployment.rules.check_running_tasks()
    assert deployment.violated_rules() == set()
    later = monotonic().total_seconds() + CANCEL_S + 1
    monkeypatch.setattr("tests.fakes.protocol_rules.now_s", lambda: later)
    deployment.rules.check_running_tasks()
    assert deployment.violated_rules() == {"ran_cancelled"}
    deployment.start("m1", 1)
    assert deployment.violated_rules() == {"ran_cancelled", "started_cancelled"}


def test_not_done() -> None:
    deployment = Deployment()
    deployment.start("m1", 0)
    deployment.answer("done")
    assert deployment.violated_rules() == {"not_done"}


def test_went_back() -> None:
    deployment = Deployment()
    deployment.answer("done")
    deployment.answer("running", previous="done")
    assert deployment.violated_rules() == {"went_back"}
    deployment = Deployment()
    deployment.answer("cancelled")
    assert deployment.violated_rules() == {"went_back"}


def test_invented_and_forgotten() -> None:
    deployment = Deployment()
    deployment.rules.check_known(RequestKind.STATUS, "req-999999", 404, 0.0)
    assert deployment.violated_rules() == set()
    deployment.rules.check_known(RequestKind.STATUS, "req-999999", 200, 0.0)
    assert deployment.violated_rules() == {"invented"}
    deployment.rules.accept(JOB)
    deployment.rules.check_known(RequestKind.STATUS, JOB, 404, 0.0)
    assert deployment.violated_rules() == {"invented", "forgotten"}
