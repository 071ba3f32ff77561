"""Decisions of rolling upgrades: presence, levels, damaged leader locks, and their model."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from bench.model_rollout import GUARDS, broken_without, explore, initial_state
from micadeal.clock import ZERO, seconds
from micadeal.controller.feature_level_updater import FeatureLevelUpdater
from micadeal.controller.feature_levels import FeatureLevels
from micadeal.controller.messages import FeatureLevelChanged, MigrationStatus
from micadeal.leadership.term import Term
from micadeal.rollout import leader_lock as leader_locks
from micadeal.rollout.feature_level import Build
from micadeal.rollout.membership import (
    ELECTION_DELAY,
    PeerObservation,
    Presence,
    Process,
    election_delay,
    presence,
)
from micadeal.rollout.migration import MIN_PRESENCE, MigrationBacklog, plan
from micadeal.wire.state import Item, LeaderRecord, LevelRecord
from tests.fakes.kernel import run_stepped

# -- decisions ---------------------------------------------------------------------------------

OWN_PROCESS = Process("own", Build("b", 0, 2))
NOW = seconds(1000)


def observed(
    process: Process | None, since: float, last_answer: float = 0.5, **fields: Any
) -> PeerObservation:
    return PeerObservation(process, NOW - seconds(since), NOW - seconds(last_answer), **fields)


def test_presence_is_dated_by_pings_and_distinguishes_partition_from_crash() -> None:
    process, restarted_process = Process("1", Build("b")), Process("2", Build("b"))
    observation = PeerObservation().with_answer(
        process, seconds(10), seconds(10.1), seconds(5), ZERO, ["z"]
    )
    assert observation.first_asked_at == seconds(10) and observation.started_at == seconds(5.1)
    # An answer to an earlier ping is ignored.
    assert observation.with_answer(restarted_process, seconds(9), seconds(12)) is observation
    assert observation.with_answer(process, seconds(12), seconds(12.1)).present_for(
        seconds(12.5)
    ) == seconds(2)
    restarted = observation.with_answer(restarted_process, seconds(13), seconds(13.1))
    assert restarted.restarts == 1 and restarted.present_for(seconds(13.2)) == ZERO
    observations = {
        "x": observation,
        "y": observation.with_answer(process, seconds(19), seconds(19)),
        "z": PeerObservation(),
    }
    presences = {name: presence(name, observations, seconds(20)) for name in observations}
    assert presences == {"x": Presence.UNREACHABLE, "y": Presence.PRESENT, "z": Presence.UNSEEN}
    reaching_x = observations["y"].with_answer(process, seconds(20), seconds(20), reaches=["x"])
    assert presence("x", {**observations, "y": reaching_x}, seconds(20)) is Presence.SEEN_BY_OTHERS


def test_free_lock_is_left_to_recently_started_processes() -> None:
    old, recent = NOW - seconds(500), NOW - seconds(30)

    def delay(own_started_at: Any, **fields: Any) -> Any:
        values = {"started_at": recent, "state_age": ZERO, **fields}
        observation = observed(Process("2", fields.pop("build", Build("b", 0, 2))), 20, **values)
        return election_delay(OWN_PROCESS, own_started_at, [observation], seconds(3), NOW)

    assert delay(old) == ELECTION_DELAY
    assert delay(recent) == ZERO
    assert delay(old, state_age=seconds(9)) == ZERO  # the other process could not be elected
    assert election_delay(OWN_PROCESS, old, [PeerObservation()], seconds(3), NOW) == ZERO


def test_plan_raises_level_if_all_know_it_and_lowers_in_steps() -> None:
    peer = Process("p", Build("b", 0, 2))
    present_s = MIN_PRESENCE.total_seconds() + 1

    def step(
        record: LevelRecord,
        highest_allowed_level: int | None = None,
        migration_backlog: Any = MigrationBacklog(),
        **changed: Any,
    ) -> Any:
        observations = {"x": observed(peer, present_s), "y": observed(peer, present_s), **changed}
        return plan(
            record, OWN_PROCESS, observations, highest_allowed_level, migration_backlog, NOW
        )

    assert step(LevelRecord()).next_record.level == 2
    assert step(LevelRecord(), 1).next_record.level == 1
    mixed = step(LevelRecord(), y=observed(Process("q", Build("a", 0, 1)), present_s))
    assert mixed.next_record.level == 1 and mixed.next_record.oldest == 0
    for observation in (
        observed(peer, 1),
        observed(peer, present_s, last_answer=9),
        observed(None, present_s),
        PeerObservation(),
    ):
        assert step(LevelRecord(), y=observation).next_record is None
    raised = LevelRecord(2, 2, 0)
    assert step(raised, migration_backlog=MigrationBacklog(older=3)).next_record is None
    assert step(raised).next_record.oldest == 2
    # A later build leads: migration to the level in force does not wait for the peers.
    next_step = plan(
        LevelRecord(1, 1, 0), OWN_PROCESS, {"x": PeerObservation()}, None, MigrationBacklog(), NOW
    )
    assert next_step.next_record == LevelRecord(1, 1, 1) and "never seen" in next_step.waits[0]
    lowering = step(LevelRecord(2, 2, 2), 1).next_record
    assert (lowering.level, lowering.writes, lowering.oldest) == (2, 1, 1)
    assert step(lowering, 1, MigrationBacklog(newer=2)).next_record is None
    assert "can't be written back" in step(lowering, 1, MigrationBacklog(newer=2, stuck=1)).waits[0]
    assert step(lowering, 1).next_record.level == 1
    # A lowering is reversed before its last step.
    assert step(lowering).next_record.writes == 2
    later_process = Process("n", Build("n", 1, 2))
    assert (
        "writes no level below 1" in step(raised, 0, y=observed(later_process, present_s)).waits[0]
    )


def test_level_change_is_dropped_if_level_changed_since_plan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards stored records: a leader's write with unknown outcome may be applied late."""
    level = LevelRecord(1, 1, 0)
    feature_levels = FeatureLevels("c0", [], NOW)
    feature_levels.on_leader_lock_read(
        leader_locks.LeaderLock(4, LeaderRecord("c0", 1), level=level, versions={"leader": 4})
    )
    changed_lock = leader_locks.LeaderLock(
        9, LeaderRecord("c0", 1, 4), level=LevelRecord(1, 0, 0), versions={"leader": 9}
    )
    committed: list[Any] = []
    messages: list[Any] = []

    class State:
        async def commit(self, *changes: Any) -> int:
            committed.append(changes)
            return 10

    async def main() -> None:
        async def ask(*_: Any) -> MigrationStatus:
            return MigrationStatus(MigrationBacklog(), None)

        async def tell(message: Any) -> None:
            messages.append(message)

        async def read_changed_lock(_: Any) -> leader_locks.LeaderLock:
            return changed_lock

        monkeypatch.setattr(
            "micadeal.controller.feature_level_updater.read_leader_lock", read_changed_lock
        )
        state: Any = State()
        term = Term(4, 1, NOW, NOW, 4)
        await FeatureLevelUpdater(feature_levels, state, term, ask, tell)._step()

    run_stepped(main, monkeypatch)
    assert messages == [FeatureLevelChanged(changed_lock.level, 9)]
    assert committed == []


def test_leader_lock_names_damaged_records() -> None:
    process = Process("p1", Build("b", 0, 1))
    conditions, changes = leader_locks.registration(leader_locks.read([], 0), "c0", process, 5.0)
    assert conditions[0].version == 0
    member = Item("seat/member/c0", msgspec.to_builtins(changes[0].value), 3)  # type: ignore[union-attr]
    leader_lock = leader_locks.read([member], 3)
    assert leader_locks.registered(leader_lock, "c0", process) and not leader_lock.taken
    assert leader_locks.refusal(leader_lock, "c0", process) is None
    assert "another process" in str(
        leader_locks.refusal(leader_lock, "c0", Process("p2", process.build))
    )
    for value in ({"level": 2, "writes": 2, "oldest": 3}, {"level": "x"}, 7, None):
        damaged = leader_locks.read([member, Item("seat/level", value, 4)], 4)
        assert damaged.damaged == ("seat/level",)
        assert "can't be read" in str(leader_locks.refusal(damaged, "c0", process))
    later = leader_locks.read(
        [member, Item("seat/level", {"level": 2, "writes": 2, "oldest": 2}, 4)], 4
    )
    assert "level 2 is in force" in str(leader_locks.refusal(later, "c0", process))
    skipped = Process("p1", Build("n", 1, 2))
    assert "are still stored" in str(skipped.build.refusal(LevelRecord(1, 1, 0)))


@pytest.mark.parametrize(
    "world",
    [
        {"ends": 1, "leases": 0, "writes": 1},
        {"ends": 1, "leases": 0, "writes": 0, "third": 2},
        {"ends": 0, "leases": 0, "writes": 1, "turns": 1, "third": 2},
    ],
    ids=str,
)
def test_model_has_no_execution_that_breaks_a_rule(world: dict[str, int]) -> None:
    states, broken = explore(initial_state(**world))
    assert broken is None
    assert states > 30


@pytest.mark.parametrize("guard", GUARDS)
def test_model_without_each_guard_breaks_a_rule(guard: str) -> None:
    assert broken_without(guard) is not None
