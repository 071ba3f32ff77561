"""Evidence from machines' messages, the model of these rules, and malformed heartbeats."""

from __future__ import annotations

import pytest

from bench.model_reachability import GUARDS, explore, guard_disabled, reduced_lease_margin
from micadeal.clock import seconds
from micadeal.fleet.reachability import MAX_EXCUSED_FAILURES, UNREACHABLE_AFTER, Reachability
from tests.fakes.world import World, leader_of
from tests.test_reachability import workers_running

# -- evidence from messages ----------------------------------------------------------------


def test_only_the_answer_to_a_probe_after_the_newest_message_proves_a_restart() -> None:
    reachability = Reachability()
    reachability.record_message(7, seconds(10))
    assert not reachability.proves_restart(None)
    assert not reachability.proves_restart(seconds(9))
    assert not reachability.proves_restart(seconds(10))
    assert reachability.proves_restart(seconds(11))


def test_missing_effects_make_a_machine_unreachable_and_answered_probes_end_that() -> None:
    reachability = Reachability()
    reachability.response_had_no_effect(seconds(1))
    assert not reachability.receives_no_responses
    reachability.probe_unanswered(seconds(0))
    assert not reachability.receives_no_responses
    reachability.probe_unanswered(seconds(2))
    assert reachability.receives_no_responses
    assert reachability.no_responses_for(seconds(5)) == seconds(4)
    reachability.probe_answered(seconds(6))
    assert (
        not reachability.receives_no_responses
        and reachability.ineffective_responses < UNREACHABLE_AFTER
    )
    for _ in range(MAX_EXCUSED_FAILURES):
        reachability.response_had_no_effect(seconds(7))
    reachability.probe_answered(seconds(8))
    assert reachability.receives_no_responses
    reachability.response_took_effect()
    assert not reachability.receives_no_responses


def test_model_of_one_worker_keeps_the_rule_and_breaks_it_without_each_guard() -> None:
    with reduced_lease_margin():
        _, counterexample = explore(6)
        assert counterexample is None
        for guard in GUARDS:
            with guard_disabled(guard):
                _, counterexample = explore(7)
                assert counterexample is not None, guard


# -- malformed heartbeats ------------------------------------------------------------------


@pytest.mark.parametrize(
    "malformed",
    [
        {"host": ""},
        {"shift": -1},
        {"tick": -5},
        {"baton": "x"},
        {"recall_s": float("nan")},
        {"recall_s": float("inf")},
        {"legs": [{"leg": "req-000001/0", "try": -1, "status": "running"}]},
        {"legs": 7},
        {"shift": None},
    ],
)
def test_malformed_heartbeat_is_refused_without_effect(
    monkeypatch: pytest.MonkeyPatch, malformed: dict[str, object]
) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=20.0)
        await world.wait_until(lambda: world.running(job) == 1)
        worker = workers_running(world, job)[0]
        heartbeat = worker._next_heartbeat() | malformed
        for number in range(3):
            assert (await world.call(number, "POST", "/checkin", heartbeat))[0] == 400
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)


def test_unknown_task_states_and_task_ids_have_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, run_s=20.0)
        await world.wait_until(lambda: world.running(job) == 1)
        worker = workers_running(world, job)[0]
        unknown_tasks = [
            {"leg": "no task", "try": 1, "status": "running"},
            {"leg": "req-999999/0", "try": 1, "status": "dreaming"},
        ]
        heartbeat = worker._next_heartbeat()
        heartbeat["legs"] = heartbeat["legs"] + unknown_tasks
        assert (await world.call(leader_of(world), "POST", "/checkin", heartbeat))[0] == 200
        await world.wait_until_done(job)

    World().play(monkeypatch, scenario)
