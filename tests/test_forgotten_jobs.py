"""The checker of the rule ``forgotten``: answers that violate it in each way or just comply."""

from __future__ import annotations

import pytest

from tests.fakes.forgotten_jobs import ForgottenJobs, RequestKind, Violation, ViolationKind

POLL_S = 5.0
ALONE_S, AFTER_FAULTS_S = 90.0, 75.0


def checker(*accepted: str) -> ForgottenJobs:
    jobs = ForgottenJobs()
    for job_id in accepted:
        jobs.accept(job_id)
    return jobs


def ask(jobs: ForgottenJobs, job_id: str, status: int, now: float) -> Violation | None:
    return jobs.record(RequestKind.STATUS, job_id, status, now, now)


def violated_kinds(
    jobs: ForgottenJobs, until: float, others: list[list[int]]
) -> list[ViolationKind]:
    """Poll ``lost``, which is never answered, and other jobs; return the kinds of violations.

    ``others``: for each other job, the HTTP statuses with which it is answered in turn.
    """
    violated = []
    for number in range(int(until / POLL_S) + 1):
        now = number * POLL_S
        for index, statuses in enumerate(others):
            status = statuses[number % len(statuses)]
            assert ask(jobs, f"other-{index}", status, now) is None
        violation = ask(jobs, "lost", 503, now)
        if violation is not None:
            assert violation.job_id == "lost" and violation.at == now
            violated.append(violation.kind)
    return violated


@pytest.mark.parametrize("kind", RequestKind)
def test_404_for_an_accepted_job_is_a_violation_for_every_request(kind: RequestKind) -> None:
    jobs = checker("kept")
    violation = jobs.record(kind, "kept", 404, 1.0, 2.0)
    assert violation is not None and violation.kind is ViolationKind.NOT_FOUND
    assert str(violation) == f"forgotten kept: answered 404, to a {kind.value}"
    assert jobs.record(kind, "never-accepted", 404, 1.0, 2.0) is None


@pytest.mark.parametrize("status", [400, 422])
def test_refusal_of_a_repeated_submission_is_a_violation(status: int) -> None:
    jobs = checker("kept")
    violation = jobs.record(RequestKind.SUBMISSION, "kept", status, 1.0, 2.0)
    assert violation is not None and violation.kind is ViolationKind.REFUSED
    assert jobs.record(RequestKind.SUBMISSION, "new", status, 1.0, 2.0) is None


@pytest.mark.parametrize("status", [0, 200, 201, 429, 503, 504])
def test_other_answers_to_a_repeated_submission_are_allowed(status: int) -> None:
    assert checker("kept").record(RequestKind.SUBMISSION, "kept", status, 1.0, 2.0) is None


def test_job_unanswered_for_90_s_while_most_others_are_answered_is_a_violation() -> None:
    others, statuses = ["other-0", "other-1"], [[200], [503, 200, 0]]
    assert violated_kinds(checker("lost", *others), ALONE_S - POLL_S, statuses) == []
    assert violated_kinds(checker("lost", *others), ALONE_S, statuses) == [
        ViolationKind.UNANSWERED_ALONE
    ]


def test_job_unanswered_while_most_others_are_not_answered_either_is_allowed() -> None:
    others = ["other-0", "other-1"]
    assert (
        violated_kinds(checker("lost", *others), 2 * AFTER_FAULTS_S, [[503, 200, 0], [0, 503, 200]])
        == []
    )


def test_one_answer_restarts_the_time_limit() -> None:
    jobs = checker("lost", "other-0")
    assert violated_kinds(jobs, ALONE_S - POLL_S, [[200]]) == []
    assert ask(jobs, "lost", 200, ALONE_S - 1) is None
    assert ask(jobs, "other-0", 200, ALONE_S) is None
    assert ask(jobs, "lost", 503, ALONE_S) is None
    assert ask(jobs, "other-0", 200, 2 * ALONE_S) is None
    assert ask(jobs, "lost", 503, 2 * ALONE_S - 1) is None
    violation = ask(jobs, "lost", 503, 2 * ALONE_S)
    assert violation is not None and violation.kind is ViolationKind.UNANSWERED_ALONE
    assert jobs.longest_unanswered_s == ALONE_S
    assert jobs.longest_unanswered_job == "lost"


def test_job_unanswered_for_75_s_after_all_faults_is_a_violation_regardless_of_others() -> None:
    jobs = checker("lost", "other-0")
    jobs.end_faults(10.0)
    violated = violated_kinds(jobs, 10.0 + AFTER_FAULTS_S, [[200]])
    assert violated == [ViolationKind.UNANSWERED_AFTER_FAULTS]
    alone = checker("lost")
    alone.end_faults(0.0)
    assert violated_kinds(alone, AFTER_FAULTS_S - POLL_S, []) == []
    alone.begin_faults()
    assert ask(alone, "lost", 0, AFTER_FAULTS_S) is None


def test_failed_cancellations_do_not_count_as_status_requests() -> None:
    jobs = checker("kept", "other")
    for now in (0.0, 50.0, 100.0):
        ask(jobs, "other", 200, now)
        assert jobs.record(RequestKind.CANCELLATION, "kept", 503, now, now) is None
