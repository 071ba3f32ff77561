"""Each rule of the protocol is found broken by the checker of scenarios, histories and the soak."""

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
        self.fleet = Fleet(FakeNetwork(1), {"c0": "10.0.0.1:8080"}, 2.0, 14.0, 50.0, 6.0, self.note)
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

    def note(self, event: str, worker: FakeWorker, attempt: TaskAttempt) -> None:
        self.rules.on_task_event(event, worker, attempt)

    def start(self, machine: str, index: int, number: int = 1) -> None:
        """Start a task as a worker does once it has its image."""
        attempt = TaskAttempt(f"{JOB}/{index}", number, 0.0, state="running")
        worker = self.fleet.workers[machine]
        worker.tasks[attempt.task, number] = attempt
        self.note("start", worker, attempt)

    def answer(self, status: str, before: str | None = None) -> None:
        """Answer a question of the user."""
        self.rules.check_answer(JOB, before, status)
        self.rules.check_status(JOB, status)

    def broken(self) -> set[str]:
        """Return the names of the rules found broken."""
        return {violation.split()[0].rstrip(":") for violation in self.rules.violations}


def test_tasks_that_follow_the_rules_are_not_reported() -> None:
    deployment = Deployment()
    deployment.start("m1", 0)
    deployment.start("m1", 1)
    deployment.rules.check_running_tasks()
    deployment.answer("running")
    assert deployment.broken() == set()


def test_ran_twice() -> None:
    deployment = Deployment(loaners=True)
    deployment.start("m1", 0)
    deployment.start("m2", 0, number=2)
    assert deployment.broken() == {"ran_twice"}


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
    assert deployment.broken() == set()
    deployment.start("m2", 1)
    assert deployment.broken() == {"wrong_place"}


def test_quota() -> None:
    deployment = Deployment(accelerators=4.5)
    deployment.start("m1", 0)
    deployment.rules.check_running_tasks()
    assert deployment.broken() == set()
    deployment.start("m1", 1)
    deployment.rules.check_running_tasks()
    assert deployment.broken() == {"quota"}


def test_ran_cancelled_and_start_after_the_confirmation(monkeypatch: pytest.MonkeyPatch) -> None:
    deployment = Deployment()
    deployment.start("m1", 0)
    deployment.answers.cancel_requested.add(JOB)
    deployment.answer("cancelled")
    deployment.rules.check_running_tasks()
    assert deployment.broken() == set()
    later = monotonic().total_seconds() + CANCEL_S + 1
    monkeypatch.setattr("tests.fakes.protocol_rules.now_s", lambda: later)
    deployment.rules.check_running_tasks()
    assert deployment.broken() == {"ran_cancelled"}
    deployment.start("m1", 1)
    assert deployment.broken() == {"ran_cancelled", "started_cancelled"}


def test_not_done() -> None:
    deployment = Deployment()
    deployment.start("m1", 0)
    deployment.answer("done")
    assert deployment.broken() == {"not_done"}


def test_went_back() -> None:
    deployment = Deployment()
    deployment.answer("done")
    deployment.answer("running", before="done")
    assert deployment.broken() == {"went_back"}
    deployment = Deployment()
    deployment.answer("cancelled")
    assert deployment.broken() == {"went_back"}


def test_invented_and_forgotten() -> None:
    deployment = Deployment()
    deployment.rules.check_known(RequestKind.STATUS, "req-999999", 404, 0.0)
    assert deployment.broken() == set()
    deployment.rules.check_known(RequestKind.STATUS, "req-999999", 200, 0.0)
    assert deployment.broken() == {"invented"}
    deployment.rules.accept(JOB)
    deployment.rules.check_known(RequestKind.STATUS, JOB, 404, 0.0)
    assert deployment.broken() == {"invented", "forgotten"}
