"""The leader's records while transactions are applied, lost or applied late.

The stored records always name all attempts that may be on a machine, and no finished task is lost
when the layout of records changes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from micadeal.clock import seconds
from micadeal.controller.persistence.batches import WriteBatch
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.controller.record_loader import RecordLoader
from micadeal.rollout.feature_level import Build
from micadeal.rollout.membership import PeerObservation, Process
from micadeal.rollout.migration import plan
from micadeal.scheduling import takeover
from micadeal.schema.decoding import decode_items
from micadeal.state.limits import Limits
from micadeal.wire.codec import convert, decode, encode
from micadeal.wire.state import (
    Delete,
    FinishedRecord,
    Item,
    LevelRecord,
    MachineRecord,
    PlacedMachine,
    PlacedRecord,
    PlacedTask,
    Put,
    Transaction,
)
from micadeal.wire.users import Shape
from tests.fakes.random_clusters import RandomDeployment
from tests.fakes.world import World

LIMITS = Limits(150, 60, 16, 2048)


@dataclass
class Store:
    """The part of the state service that the record writer's transactions need."""

    keys: dict[str, Item] = field(default_factory=dict)
    revision: int = 100

    def apply(self, batch: WriteBatch) -> int | None:
        for condition in batch.conditions:
            stored_item = self.keys.get(condition.key)
            if (stored_item.version if stored_item else 0) != condition.version:
                return None
        self.revision += 1
        for operation in batch.operations:
            if isinstance(operation, Put):
                value = decode(dict, encode(operation.value))
                self.keys[operation.key] = Item(operation.key, value, self.revision)
            else:
                del self.keys[operation.key]
        return self.revision

    def read(self, batch: WriteBatch) -> dict[str, Item | None]:
        return {c.key: self.keys.get(c.key) for c in batch.conditions}

    def recorded_attempts(self) -> set[tuple[str, str, int, int]]:
        return {
            (entry.name, task.job_id, task.index, task.attempt)
            for record in self.placements().values()
            for entry in record.machines
            for task in entry.tasks
        }

    def placements(self) -> dict[str, PlacedRecord]:
        """Return the records of placements, including empty ones."""
        return {
            key: convert(PlacedRecord, item.value)
            for key, item in self.keys.items()
            if key.startswith("placed/")
        }


def started_attempts(deployment: RandomDeployment) -> set[tuple[str, str, int, int]]:
    """Return the attempts whose start was commanded: they may be on a machine."""
    return {
        (name, a.job_id, a.index, a.number)
        for name, machine in deployment.cluster.machines.items()
        for a in machine.attempts.values()
        if a.start_sent_in is not None
    }


@pytest.mark.parametrize("seed", range(12))
def test_records_name_all_started_attempts_whatever_the_outcome_of_writes(seed: int) -> None:
    """Guards ``ran_twice`` after a change of leaders.

    Transactions are applied, refused, or not answered and then applied immediately, later or never.
    Some of them merge records.
    """
    deployment = RandomDeployment(30, 8, seed)
    record_writer, store = RecordWriter(deployment.cluster, LIMITS), Store()
    delayed_batches: list[WriteBatch] = []
    for _ in range(120):
        deployment.scheduler.run_cycle(deployment.now)
        for batch in record_writer.next(deployment.now):
            outcome = deployment.random.choice(
                ["applied", "applied", "unanswered", "late", "never"]
            )
            revision = None if outcome in ("late", "never") else store.apply(batch)
            if outcome == "late":
                delayed_batches.append(batch)
            if outcome == "applied" and revision is not None:
                record_writer.committed(batch, revision, deployment.now)
            else:
                record_writer.failed(batch, store.read(batch), deployment.now)
            assert started_attempts(deployment) <= store.recorded_attempts()
        if delayed_batches and deployment.random.random() < 0.4:
            store.apply(delayed_batches.pop(deployment.random.randrange(len(delayed_batches))))
        deployment.now += seconds(1)
        for name in deployment.cluster.machines:
            deployment.heartbeat(name, done=deployment.random.random() < 0.1)
        if deployment.random.random() < 0.2:
            deployment.submit()
        assert started_attempts(deployment) <= store.recorded_attempts()
    assert len(started_attempts(deployment)) > 10


def test_damaged_record_read_back_after_a_write_leaves_its_attempts_to_another_key(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A placement record is damaged between a write without an answer and its reading back.

    Guards against an error while the outcome is handled ("message failed: actor=Leader
    message=WriteCompleted"), after which the leader still listed records that the same batch had
    dropped.  Only this place decoded a stored record without handling damage.
    """
    deployment = RandomDeployment(30, 8, 1)
    record_writer, store = RecordWriter(deployment.cluster, LIMITS), Store()
    deployment.scheduler.run_cycle(deployment.now)
    (batch,) = [b for b in record_writer.next(deployment.now) if b.placed]
    key = batch.placed[0].key
    store.apply(batch)
    damaged = Item(key, {"machines": "none"}, store.keys[key].version)
    record_writer.failed(batch, {**store.read(batch), key: damaged}, deployment.now)
    assert f"unreadable record: key={key}" in caplog.text
    assert set(batch.placed[0].attempts) <= set(deployment.cluster.unwritten_placements)
    next_batches = [b for b in record_writer.next(deployment.now) if b.placed]
    assert key not in {write.key for b in next_batches for write in b.placed}
    revision = store.apply(next_batches[0])
    assert revision is not None
    record_writer.committed(next_batches[0], revision, deployment.now)
    assert all(
        a.record not in (None, key) for write in next_batches[0].placed for a in write.attempts
    )


@pytest.mark.parametrize("seed", range(12))
def test_late_transactions_leave_no_record_unknown_to_the_leader(seed: int) -> None:
    """Guards against a stored record that the leader does not know, which uses up a team's limit.

    A key is reused and dropped, and then an earlier transaction under it is applied.  The next
    leader would count the record's tasks until each machine that it names has sent a heartbeat.
    """
    deployment = RandomDeployment(30, 8, seed)
    record_writer, store = RecordWriter(deployment.cluster, LIMITS), Store()
    delayed_batches: list[WriteBatch] = []
    emptied: set[str] = set()
    for _ in range(160):
        deployment.scheduler.run_cycle(deployment.now)
        for batch in record_writer.next(deployment.now):
            outcome = deployment.random.choice(["applied", "applied", "late"])
            revision = store.apply(batch) if outcome == "applied" else None
            if outcome == "late":
                delayed_batches.append(batch)
            if revision is not None:
                record_writer.committed(batch, revision, deployment.now)
            else:
                record_writer.failed(batch, store.read(batch), deployment.now)
        if len(delayed_batches) > 8:
            store.apply(delayed_batches.pop(0))
        placements = store.placements()
        empty = {key for key, record in placements.items() if not record.machines}
        emptied |= empty
        known = {*deployment.cluster.records, *record_writer._keys.unconfirmed}
        assert placements.keys() - empty <= known
        deployment.now += seconds(1)
        for name in deployment.cluster.machines:
            deployment.heartbeat(name, done=deployment.random.random() < 0.3)
        if deployment.random.random() < 0.3:
            deployment.submit()
    assert emptied
    assert emptied <= dropped_by_next_leader(emptied, store, deployment.now, seed)


def dropped_by_next_leader(keys: set[str], store: Store, now: timedelta, seed: int) -> set[str]:
    """Return the keys that a leader drops after loading the placement records under ``keys``."""
    cluster = RandomDeployment(4, 1, seed).cluster
    record_writer = RecordWriter(cluster, LIMITS)
    for key in keys:
        record_writer.versions[key] = store.keys[key].version
        takeover.load_placements(cluster, key, store.placements()[key], now)
    dropped: set[str] = set()
    for _ in range(60):
        now += seconds(2)
        for batch in record_writer.next(now):
            dropped |= {o.key for o in batch.operations if isinstance(o, Delete)}
            record_writer.committed(batch, 10**6, now)
    return dropped


def in_old_layout(machine: PlacedMachine) -> MachineRecord:
    """Return the machine's record in the layout of the first versions, without tasks."""
    return MachineRecord(
        machine.machine_type, machine.zone, machine.spot, machine.address, machine.incarnation, []
    )


def test_placements_of_the_old_layout_are_loaded_and_rewritten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_twice`` after an upgrade: records of an earlier version still count."""

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 2, rank="production", image_gb=0.1)
        await world.wait_until(lambda: world.running(service) == 2)
        leader = world.leader()
        assert leader is not None
        for number in range(3):
            world.crash(number)
        by_machine: dict[str, MachineRecord] = {}
        for key in [key for key in world.state.keys if key.startswith("placed/")]:
            for entry in convert(PlacedRecord, world.state.keys.pop(key)[0]).machines:
                machine_record = by_machine.setdefault(entry.name, in_old_layout(entry))
                machine_record.tasks += [
                    PlacedTask(t.job_id, t.index, t.attempt) for t in entry.tasks
                ]
        for name, record in by_machine.items():
            world.state.keys[f"machine/{name}"] = (decode(dict, encode(record)), 5, None)
        for key in [key for key in world.state.keys if key.startswith(("leader", "seat/"))]:
            del world.state.keys[key]  # the first versions knew of no feature levels
        world.state.keys["machine/broken"] = ({"tasks": 7}, 6, None)
        for number in range(3):
            await world.start(number)
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        await world.run_job("array", 1, run_s=5.0)
        assert await world.cancel(service) == "cancelled"
        await world.wait_until(
            lambda: not any(k.startswith("machine/i-") for k in world.state.keys), limit=60
        )

    world = World().play(monkeypatch, scenario)
    assert all(count == 1 for count in world.rules.starts.values())


def test_transactions_stay_below_64_kib_however_many_tasks_finished() -> None:
    """Guards against a batch that the state service refuses permanently.

    64 KiB hold about ten full chunks of finished tasks, fewer than the operations that a
    transaction may have.
    """
    deployment = RandomDeployment(2, 0)
    for _ in range(30):
        job = deployment.submit(shape=Shape.ARRAY, tasks=100_000)
        for index in range(0, 72_000, 3):
            job.finish(index)
        deployment.cluster.jobs_with_unwritten_results.add(job.id)
    record_writer = RecordWriter(deployment.cluster, Limits(200, 80, 32, 8192))
    record_writer.next(deployment.now)
    written = 0
    for _ in range(200):
        deployment.now += seconds(2)
        for batch in record_writer.next(deployment.now):
            message = Transaction(list(batch.conditions), list(batch.operations))
            assert len(msgspec.json.encode(message)) < 64 * 1024
            written += len(batch.finished)
            record_writer.committed(batch, 1, deployment.now)
    assert written == 90
    assert not deployment.cluster.jobs_with_unwritten_results


class RecordHistories(RuleBasedStateMachine):
    """Tasks finish, writes succeed, fail or lose their answer, leaders and the level change.

    By the real decisions.  Whoever reads finds what was written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.keys: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.level = LevelRecord()
        self.picture = RandomDeployment(1, 0)
        self.job = self.picture.submit(shape=Shape.ARRAY, tasks=60_000)
        self.record_writer = RecordWriter(self.picture.cluster, Limits(200, 80, 4, 8192))
        self.written: set[int] = set()

    @rule(
        first=st.sampled_from([0, 6, 3]), parts=st.sampled_from([6, 4, 1]), index=st.integers(0, 3)
    )
    def finish(self, first: int, parts: int, index: int) -> None:
        for part in range(first, first + parts):
            self.job.finish(part * 4_000 + index)
        self.picture.cluster.jobs_with_unwritten_results.add(self.job.id)

    @rule(
        outcomes=st.sampled_from(
            [["done"] * 10, ["done"], ["lost", "done"], ["refused", "done", "done"]]
        )
    )
    def write(self, outcomes: list[str]) -> None:
        for outcome in outcomes:
            self.picture.now += seconds(1.5)
            for batch in self.record_writer.next(self.picture.now):
                assert batch.job_end is None
                if outcome != "refused":
                    self._apply(batch)
                if outcome == "done":
                    self.record_writer.committed(batch, self.revision, self.picture.now)
                else:
                    found = {
                        c.key: Item(c.key, *self.keys[c.key]) if c.key in self.keys else None
                        for c in batch.conditions
                    }
                    self.record_writer.failed(batch, found, self.picture.now)
        self.written = set(self.job.recorded_finished)

    def _apply(self, batch: WriteBatch) -> None:
        for condition in batch.conditions:
            assert self.keys.get(condition.key, (None, 0))[1] == condition.version
        self.revision += 1
        for operation in batch.operations:
            if isinstance(operation, Put):
                value = decode(dict, encode(operation.value))
                self.keys[operation.key] = (value, self.revision)
            else:
                self.keys.pop(operation.key, None)

    @rule(ceiling=st.sampled_from([0, 1]))
    def change_level(self, ceiling: int) -> None:
        """Take the next step of the level that is planned under this highest allowed level."""
        own = Process("p", Build("b", 0, 1))
        now = seconds(1000)
        observations = {"x": PeerObservation(own, seconds(900), now)}
        backlog = self.record_writer.migration_backlog()
        next_step = plan(self.level, own, observations, ceiling, backlog, now)
        if next_step.next_record is not None:
            self.level = next_step.next_record
            self.record_writer.feature_level_changed(self.level)

    @rule()
    def next_leader(self) -> None:
        """A new leader reads only the layouts that may be stored at this level."""
        prefixes = ("finished/",) if self.level.oldest >= 1 else ("done/", "finished/")
        finished = [
            Item(key, *stored) for key, stored in self.keys.items() if key.startswith(prefixes)
        ]
        before = self.job
        self.picture = RandomDeployment(1, 0)
        self.job = self.picture.submit(shape=Shape.ARRAY, tasks=60_000)
        assert self.job.id == before.id
        self.record_writer = RecordWriter(
            self.picture.cluster, Limits(200, 80, 4, 8192), level=self.level
        )
        record_loader = RecordLoader(self.picture.scheduler, self.record_writer)
        for chunk in decode_items(finished, FinishedRecord):
            record_loader._load_finished(chunk)
        assert self.written <= self.job.finished <= before.finished
        self.written = set(self.job.recorded_finished)

    @invariant()
    def stored_layouts_match_the_level(self) -> None:
        if self.level.oldest >= 1:
            assert not [key for key in self.keys if key.startswith("done/")]
        if self.level.level == 0:
            assert not [key for key in self.keys if key.startswith("finished/")]


TestRecordHistories = RecordHistories.TestCase
TestRecordHistories.settings = settings(
    max_examples=120, stateful_step_count=30, deadline=None, derandomize=True
)


def test_finished_tasks_survive_raising_and_lowering_the_level_in_one_term() -> None:
    """Guards finished tasks: records from before a level change are not copies of later ones.

    Within one term the level is raised, lowered and raised again, with results in between.
    """
    history = RecordHistories()
    history.finish(0, 6, 1)
    history.write(["done"] * 10)
    for ceiling in (1, 1, 0, 0, 1, 1):
        history.change_level(ceiling)
        history.write(["done"] * 10)
        history.stored_layouts_match_the_level()
        history.finish(0, 6, ceiling + 2)
    history.write(["done"] * 10)
    history.next_leader()
    assert history.level.oldest == 1
    assert len(history.job.finished) == 18
