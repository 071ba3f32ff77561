"""Records of placements: what the state service holds always names all that may be on a machine,
whatever becomes of a transaction."""

from __future__ import annotations

from dataclasses import dataclass, field
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
from micadeal.schema.decoding import read
from micadeal.state.limits import Limits
from micadeal.wire.codec import convert, decode, encode
from micadeal.wire.state import (
    Drop,
    FinishedRecord,
    Item,
    LevelRecord,
    MachineRecord,
    PlacedRecord,
    PlacedTask,
    Put,
    Transaction,
)
from micadeal.wire.users import Shape
from tests.fakes.random_clusters import Picture
from tests.fakes.world import World

LIMITS = Limits(150, 60, 16, 2048)


@dataclass
class Store:
    """The state service as far as the recorder's transactions go."""

    keys: dict[str, Item] = field(default_factory=dict)
    revision: int = 100

    def apply(self, changes: WriteBatch) -> int | None:
        for condition in changes.conditions:
            found = self.keys.get(condition.key)
            if (found.version if found else 0) != condition.version:
                return None
        self.revision += 1
        for operation in changes.operations:
            if isinstance(operation, Put):
                value = decode(dict, encode(operation.value))
                self.keys[operation.key] = Item(operation.key, value, self.revision)
            else:
                del self.keys[operation.key]
        return self.revision

    def read(self, changes: WriteBatch) -> dict[str, Item | None]:
        return {c.key: self.keys.get(c.key) for c in changes.conditions}

    def named(self) -> set[tuple[str, str, int, int]]:
        return {
            (entry.name, task.job_id, task.index, task.attempt)
            for key, item in self.keys.items()
            if key.startswith("placed/")
            for entry in convert(PlacedRecord, item.value).machines
            for task in entry.tasks
        }


def started(picture: Picture) -> set[tuple[str, str, int, int]]:
    """What may be on a machine: written down, so its start may have been ordered."""
    return {
        (name, a.job_id, a.index, a.number)
        for name, machine in picture.cluster.machines.items()
        for a in machine.attempts.values()
        if a.ordered is not None
    }


@pytest.mark.parametrize("seed", range(12))
def test_whatever_becomes_of_a_write_what_was_started_is_named(seed: int) -> None:
    """Guards ``ran_twice`` after a change of leaders: transactions are applied, refused, or get
    lost with their answer and are applied later or never, those that merge records among them."""
    picture = Picture(30, 8, seed)
    record_writer, store = RecordWriter(picture.cluster, LIMITS), Store()
    late: list[WriteBatch] = []
    for _ in range(120):
        picture.scheduler.run_cycle(picture.now)
        for batch in record_writer.next(picture.now):
            fate = picture.random.choice(["applied", "applied", "unanswered", "late", "never"])
            revision = None if fate in ("late", "never") else store.apply(batch)
            if fate == "late":
                late.append(batch)
            if fate == "applied" and revision is not None:
                record_writer.committed(batch, revision, picture.now)
            else:
                record_writer.failed(batch, store.read(batch), picture.now)
            assert started(picture) <= store.named()
        if late and picture.random.random() < 0.4:
            store.apply(late.pop(picture.random.randrange(len(late))))
        picture.now += seconds(1)
        for name in picture.cluster.machines:
            picture.heartbeat(name, done=picture.random.random() < 0.1)
        if picture.random.random() < 0.2:
            picture.submit()
        assert started(picture) <= store.named()
    assert len(started(picture)) > 10


@pytest.mark.parametrize("seed", range(12))
def test_no_late_transaction_leaves_a_record_that_its_leader_does_not_know(seed: int) -> None:
    """Guards against a team's limit that stays used until the next leader has heard of each machine
    that such a record names: a key is used again and dropped, and then an earlier transaction under
    it is carried out."""
    picture = Picture(30, 8, seed)
    record_writer, store = RecordWriter(picture.cluster, LIMITS), Store()
    late: list[WriteBatch] = []
    emptied: set[str] = set()
    for _ in range(160):
        picture.scheduler.run_cycle(picture.now)
        for batch in record_writer.next(picture.now):
            fate = picture.random.choice(["applied", "applied", "late"])
            revision = store.apply(batch) if fate == "applied" else None
            if fate == "late":
                late.append(batch)
            if revision is not None:
                record_writer.committed(batch, revision, picture.now)
            else:
                record_writer.failed(batch, store.read(batch), picture.now)
        if len(late) > 8:
            store.apply(late.pop(0))
        placed = {k: v.value["machines"] for k, v in store.keys.items() if k.startswith("placed/")}
        emptied |= {key for key, machines in placed.items() if not machines}
        known = {*picture.cluster.records, *record_writer._keys.unconfirmed}
        assert {key for key, machines in placed.items() if machines} <= known
        picture.now += seconds(1)
        for name in picture.cluster.machines:
            picture.heartbeat(name, done=picture.random.random() < 0.3)
        if picture.random.random() < 0.3:
            picture.submit()
    assert emptied
    # The next leader drops what is empty.
    now, after = picture.now, Picture(4, 1, seed)
    record_writer = RecordWriter(after.cluster, LIMITS)
    for key in emptied:
        record_writer.versions[key] = store.keys[key].version
        takeover.load_placements(
            after.cluster, key, convert(PlacedRecord, store.keys[key].value), now
        )
    dropped: set[str] = set()
    for _ in range(60):
        now += seconds(2)
        for batch in record_writer.next(now):
            dropped |= {o.key for o in batch.operations if isinstance(o, Drop)}
            record_writer.committed(batch, 10**6, now)
    assert emptied <= dropped


def test_records_of_the_earlier_layout_are_taken_over_and_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_twice`` after an upgrade: what an earlier version wrote down counts."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 2, rank="production", image_gb=0.1)
        await world.until(lambda: world.running(service) == 2)
        leader = world.leader()
        assert leader is not None
        for number in range(3):
            world.crash(number)
        by_machine: dict[str, MachineRecord] = {}
        for key in [key for key in world.state.keys if key.startswith("placed/")]:
            for m in convert(PlacedRecord, world.state.keys.pop(key)[0]).machines:
                old = by_machine.setdefault(
                    m.name,
                    MachineRecord(m.machine_type, m.zone, m.spot, m.address, m.incarnation, []),
                )
                old.tasks += [PlacedTask(t.job_id, t.index, t.attempt) for t in m.tasks]
        for name, record in by_machine.items():
            world.state.keys[f"machine/{name}"] = (decode(dict, encode(record)), 5, None)
        for key in [key for key in world.state.keys if key.startswith(("leader", "seat/"))]:
            del world.state.keys[key]  # it knew of no levels
        world.state.keys["machine/broken"] = ({"tasks": 7}, 6, None)
        for number in range(3):
            await world.start(number)
        await world.until(lambda: world.leader() is not None, limit=10)
        await world.run_job("array", 1, run_s=5.0)
        assert await world.cancel(service) == "cancelled"
        await world.until(
            lambda: not any(k.startswith("machine/i-") for k in world.state.keys), limit=60
        )

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_no_transaction_is_too_large_however_many_tasks_have_finished() -> None:
    """Guards against a batch that the state service refuses for ever: 64 KiB hold some ten full
    chunks of finished tasks, and fewer than the changes that a transaction may have."""
    picture = Picture(2, 0)
    for _ in range(30):
        job = picture.submit(shape=Shape.ARRAY, tasks=100_000)
        for index in range(0, 72_000, 3):
            job.finish(index)
        picture.cluster.finished_dirty.add(job.id)
    record_writer = RecordWriter(picture.cluster, Limits(200, 80, 32, 8192))
    record_writer.next(picture.now)
    written = 0
    for _ in range(200):
        picture.now += seconds(2)
        for batch in record_writer.next(picture.now):
            message = Transaction(list(batch.conditions), list(batch.operations))
            assert len(msgspec.json.encode(message)) < 64 * 1024
            written += len(batch.finished)
            record_writer.committed(batch, 1, picture.now)
    assert written == 90
    assert not picture.cluster.finished_dirty


class Histories(RuleBasedStateMachine):
    """Tasks finish, writes happen, are lost or fail, leaders follow each other, the level
    goes up and down, by the real decisions: whoever reads finds what was written."""

    def __init__(self) -> None:
        super().__init__()
        self.keys: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.level = LevelRecord()
        self.picture = Picture(1, 0)
        self.job = self.picture.submit(shape=Shape.ARRAY, tasks=60_000)
        self.record_writer = RecordWriter(self.picture.cluster, Limits(200, 80, 4, 8192))
        self.written: set[int] = set()

    @rule(
        first=st.sampled_from([0, 6, 3]), parts=st.sampled_from([6, 4, 1]), index=st.integers(0, 3)
    )
    def finish(self, first: int, parts: int, index: int) -> None:
        for part in range(first, first + parts):
            self.job.finish(part * 4_000 + index)
        self.picture.cluster.finished_dirty.add(self.job.id)

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
        self.written = set(self.job.durable)

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
    def step(self, ceiling: int) -> None:
        own = Process("p", Build("b", 0, 1))
        now = seconds(1000)
        observations = {"x": PeerObservation(own, seconds(900), now)}
        found = plan(
            self.level, own, observations, ceiling, self.record_writer.migration_backlog(), now
        )
        if found.move is not None:
            self.level = found.move
            self.record_writer.feature_level_changed(self.level)

    @rule()
    def next_leader(self) -> None:
        """Reads only what the level says that there is."""
        gone = ("done/", "machine/") if self.level.oldest >= 1 else ()
        finished = [
            Item(key, *found)
            for key, found in self.keys.items()
            if key.startswith(("done/", "finished/")) and not key.startswith(gone or "-")
        ]
        before = self.job
        self.picture = Picture(1, 0)
        self.job = self.picture.submit(shape=Shape.ARRAY, tasks=60_000)
        assert self.job.id == before.id
        self.record_writer = RecordWriter(
            self.picture.cluster, Limits(200, 80, 4, 8192), level=self.level
        )
        intake = RecordLoader(self.picture.scheduler, self.record_writer)
        for chunk in read(finished, FinishedRecord):
            intake._load_finished(chunk)
        assert self.written <= self.job.finished <= before.finished
        self.written = set(self.job.durable)

    @invariant()
    def layouts_are_as_the_level_says(self) -> None:
        assert not [k for k in self.keys if k.startswith("done/") and self.level.oldest >= 1]
        if self.level.level == 0:
            assert not [k for k in self.keys if k.startswith("finished/")]


TestHistories = Histories.TestCase
TestHistories.settings = settings(
    max_examples=120, stateful_step_count=30, deadline=None, derandomize=True
)


def test_up_and_down_and_up_again_in_one_term_loses_nothing() -> None:
    """Guards finished work: what a term wrote at a level before the last move is not taken for a
    copy of what it has written since."""
    history = Histories()
    history.finish(0, 6, 1)
    history.write(["done"] * 10)
    for ceiling in (1, 1, 0, 0, 1, 1):
        history.step(ceiling)
        history.write(["done"] * 10)
        history.layouts_are_as_the_level_says()
        history.finish(0, 6, ceiling + 2)
    history.write(["done"] * 10)
    history.next_leader()
    assert history.level.oldest == 1
    assert len(history.job.finished) == 18
