"""The log of refused user requests; accepted jobs are never answered 404."""

from __future__ import annotations

import logging
from typing import Any

import curio
import pytest

from micadeal.clock import monotonic, seconds
from micadeal.controller.api import answer_log
from micadeal.controller.api.answer_log import MAX_LINES_PER_PERIOD, AnswerLog, UserRequest
from micadeal.http.message import answer, error
from micadeal.invariants import Invariant
from tests.fakes.world import World

JOB = "req-000001"


def test_refusals_say_which_job_status_and_reason(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1)
        assert (await world.call(1, "GET", "/work/req-999999"))[0] == 404
        assert (await world.call(1, "POST", "/work", {"name_id": "req-77"}))[0] == 400
        impossible = {**world.fleet.jobs[world.job()].spec, "crew": "green"}
        assert (await world.call(1, "POST", "/work", impossible))[0] == 422
        world.state.outage = True
        assert await world.status(job, 1) is None
        await curio.sleep(40)
        assert await world.status(job, 1) is None
        world.state.outage = False
        await curio.sleep(5)
        _, overview = await world.call(1, "GET", "/overview")
        assert (
            "c1 refused 2 of its users' requests since its start: status, status 503"
            in (overview["notes"])
        )
        assert any(f"answered no question about {job}" in note for note in overview["notes"])
        assert await world.status(job, 1) is not None
        _, overview = await world.call(1, "GET", "/overview")
        assert not any("answered no question" in note for note in overview["notes"])

    with caplog.at_level(logging.INFO):
        World().play(monkeypatch, scenario)
    lines = [line for line in caplog.messages if line.startswith("user refused: ")]
    for prefix in (
        "job=req-999999 request=status status=404 controller=c1 reason=neither a record nor an end",
        "job=req-77 request=submission status=400 controller=c1 reason=",
        "job=req-000002 request=submission status=422 controller=c1 reason=",
        "job=req-000001 request=status status=503 controller=c1 reason=503",
    ):
        assert any(line.startswith(f"user refused: {prefix}") for line in lines), (prefix, lines)


def test_refusals_of_one_kind_are_logged_up_to_a_limit_and_the_rest_is_counted(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    now = monotonic() + seconds(100)
    monkeypatch.setattr(answer_log, "monotonic", lambda: now)
    answers = AnswerLog("c0")
    with caplog.at_level(logging.INFO):
        for _ in range(MAX_LINES_PER_PERIOD + 7):
            answers.record(UserRequest.STATUS, JOB, error(503, "x"))
        answers.record(UserRequest.SUBMISSION, None, error(400, "y"))
        assert len(caplog.messages) == MAX_LINES_PER_PERIOD + 1
        now += seconds(11)
        answers.record(UserRequest.STATUS, JOB, error(503, "x"))
    assert caplog.messages[-2:] == [
        "user refusals not logged: request=status status=503 count=7 controller=c0",
        f"user refused: job={JOB} request=status status=503 controller=c0 reason=x",
    ]


def test_longest_unanswered_job_is_the_one_whose_requests_began_to_fail_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = monotonic()
    monkeypatch.setattr(answer_log, "monotonic", lambda: now)
    answers = AnswerLog("c0")
    assert answers.longest_unanswered(now) is None
    for job_id in ("req-1", "req-2"):
        answers.record(UserRequest.STATUS, job_id, error(503, "x"))
        now += seconds(40)
    assert answers.longest_unanswered(now) == ("req-1", seconds(80))
    answers.record(UserRequest.STATUS, "req-1", answer(200))
    assert answers.longest_unanswered(now) == ("req-2", seconds(40))


@pytest.mark.violates_invariant(Invariant.FORGOTTEN)
def test_accepted_job_whose_records_are_gone_is_not_answered_404(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``forgotten``: the answer is 503, and an error is logged.

    A user was answered 201, so a missing record does not prove that the job is unknown.
    """

    async def scenario(world: World) -> None:
        job = world.job("array", 1)
        await curio.sleep(4)
        assert await world.submit_once(job, 1) == 201
        world.rules.unreadable_jobs.add(job)
        del world.state.keys[f"job/{job}"]
        fields: dict[str, Any]
        for fields in ({"legs": 0}, {"crew": "green"}):
            assert await world.submit_once(job, 1, **fields) == 503
        assert (await world.call(1, "GET", f"/work/{job}"))[0] == 503
        assert (await world.call(1, "POST", f"/work/{job}/abort"))[0] == 503

    World().play(monkeypatch, scenario)
