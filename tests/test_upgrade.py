"""Upgrades: each version reads what the other writes, and limits may drop at any time."""

from __future__ import annotations

import hashlib
from typing import Any

import curio
import msgspec
import pytest

from micadeal.clock import ZERO, seconds
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.jobs.model import TASKS_PER_CHUNK, TASKS_PER_SMALL_CHUNK, Job, encode_bit_set
from micadeal.schema.job_records import join_parts, part_keys, split_record
from micadeal.state.limits import Limits
from micadeal.wire import peers
from micadeal.wire import state as records
from micadeal.wire.codec import decode, encode, json_size
from micadeal.wire.users import Shape, Status
from tests.fakes.deployment_settings import ANNOUNCED_STATE_LIMITS
from tests.fakes.previous_versions import drop_fields
from tests.fakes.random_clusters import RandomDeployment
from tests.fakes.records_of_previous_versions import ENCODED_RECORDS
from tests.fakes.submissions import spec
from tests.fakes.world import World

MESSAGE_TYPES: dict[str, Any] = {
    "leader": records.LeaderRecord,
    "job": records.JobRecord,
    "job_plain": records.JobRecord,
    "end_done": records.EndRecord,
    "end_cancelled": records.EndRecord,
    "finished": records.FinishedRecord,
    "placed": records.PlacedRecord,
    "images": records.ImagesRecord,
    "settings": records.SettingsRecord,
    "ping": peers.Ping,
    "pong": peers.Pong,
    "notice": peers.CancellationNotice,
    "relay": peers.Relay,
    "relayed": peers.Relayed,
    "why": peers.WhyAnswer,
    "overview": peers.Overview,
}
SMALL_TASK: dict[str, Any] = {"image_gb": 0.1, "accelerators": 0.0, "run_s": 5.0}
LOW_LIMITS = Limits(150, 18, 5, 2048)


@pytest.mark.parametrize("name", ENCODED_RECORDS)
def test_messages_and_records_round_trip_through_earlier_version(name: str) -> None:
    """An earlier version's bytes decode; encoded again, they mean the same to that version."""
    earlier_bytes = bytes.fromhex(ENCODED_RECORDS[name])
    message = decode(MESSAGE_TYPES[name], earlier_bytes)
    encoded_again = decode(Any, encode(message))
    assert drop_fields(encoded_again) == decode(Any, earlier_bytes)


def test_earlier_version_loses_only_dependency_fields() -> None:
    job = decode(records.JobRecord, bytes.fromhex(ENCODED_RECORDS["job"]))
    assert job.submission.prerequisites is None
    later_submission = msgspec.structs.replace(job.submission, prerequisites=["req-000001"])
    record = records.JobRecord(later_submission, job.submitted_at)
    read_by_earlier = decode(records.JobRecord, encode(drop_fields(decode(Any, encode(record)))))
    assert read_by_earlier == job
    # Split records, which are written only under lower limits, must not decode as whole ones.
    parts = split_record(record, Limits(150, 18, 5, 256))
    assert parts is not None and len(parts) > 1
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(decode(Any, encode(parts[0].value)), records.JobRecord)
    values = [decode(Any, encode(put.value)) for put in parts]
    assert join_parts(values[0], values[1:]) == record
    assert part_keys(values[0], later_submission.job_id) == [put.key for put in parts[1:]]


def test_rolling_upgrade_with_crashes_and_lower_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """The version in production is replaced on one controller after the other.

    Controllers of the old version restart in between, and leaders of both versions alternate.  Then
    limits drop, and dependent jobs are submitted.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 2, rank="production", crew="blue")
        array = await world.run_job("array", 4, run_s=60.0, loaners=True)
        await world.wait_until(lambda: world.running(service) == 2 and world.running(array) >= 2)
        versions = dict.fromkeys(range(3), True)

        async def restart(number: int) -> None:
            world.crash(number)
            await curio.sleep(5)
            await world.start(number, before_dependencies=versions[number])
            await curio.sleep(5)

        for number in range(3):
            leader = world.leader()
            assert leader is not None
            await restart(leader)  # restarts with the same version
            versions[number] = False
            await restart(number)
            await world.run_job("array", 1, run_s=3.0)
        world.state.txn_ops, world.state.value_bytes = 5, 2048
        jobs = [await world.run_job("array", 6, crew="blue", **SMALL_TASK)]
        for _ in range(2):
            jobs.append(await world.run_job("array", 3, waits_on=[jobs[-1]], **SMALL_TASK))
        await restart(world.leader() or 0)
        for job in [*jobs, array]:
            await world.wait_until_done(job)
        assert world.running(service) == 2

    world = World(announced_limits=ANNOUNCED_STATE_LIMITS).play(
        monkeypatch, scenario, before_dependencies=True
    )
    assert all(count == 1 for count in world.rules.starts.values())
    assert world.state.oversized_transactions == 0


def test_largest_jobs_survive_lower_limits_and_failover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards finished tasks, and against a write that is refused permanently.

    Limits drop after large chunks of finished tasks were stored and the job was accepted.
    """
    names = [hashlib.sha256(str(n).encode()).hexdigest()[:28] for n in range(200)]

    async def scenario(world: World) -> None:
        large_job = await world.run_job("array", 30_000, crew="blue", vcpus=4.0, **SMALL_TASK)
        for number in range(3):
            world.crash(number)
        # Store large chunks as an earlier version did, or this version before the limits dropped.
        stored_indices = [index for index in range(29_980) if index % 2_000 != 1_999]
        for chunk in range(2):
            bits = encode_bit_set(
                [i for i in stored_indices if i // TASKS_PER_CHUNK == chunk],
                chunk * TASKS_PER_CHUNK,
            )
            world.state.keys[f"done/{large_job}/{chunk}"] = (
                {"bits": bits},
                world.state.revision,
                None,
            )
        world.rules.finished_tasks |= {f"{large_job}/{index}" for index in stored_indices}
        world.state.txn_ops, world.state.value_bytes = 5, 2048
        for number in range(3):
            await world.start(number)
        await curio.sleep(3)
        split_job = await world.run_job("array", 1, rigs=["box", *names], **SMALL_TASK)
        assert f"part/{split_job}/1" in world.state.keys
        await world.wait_until(lambda: len(world.rules.finished_tasks) > len(stored_indices) + 12)
        await world.wait_until(
            lambda: any(k.startswith(f"finished/{large_job}/") for k in world.state.keys)
        )
        await world.wait_until_done(split_job)
        leader = world.leader()
        assert leader is not None
        world.crash(leader)
        loaded_job = Job(spec(tasks=30_000), ZERO, 1)
        small_chunks = [key for key in world.state.keys if key.startswith(f"finished/{large_job}/")]
        for key in small_chunks:
            bits = world.state.keys[key][0]["bits"]
            loaded_job.load_finished_chunk(
                int(key.rpartition("/")[2]) * TASKS_PER_SMALL_CHUNK, bits
            )
        assert len(loaded_job.finished) > len(small_chunks)
        await curio.sleep(5)
        await world.start(leader)
        await world.wait_until_done(large_job)
        assert all(world.rules.starts[f"{large_job}/{index}"] <= 1 for index in loaded_job.finished)
        assert not any(world.rules.starts[f"{large_job}/{index}"] for index in stored_indices)
        await curio.sleep(30)
        assert not [k for k in world.state.keys if k.startswith(("done/", "finished/", "part/"))]

    world = World(announced_limits=ANNOUNCED_STATE_LIMITS, capacity=2).play(monkeypatch, scenario)
    assert world.state.oversized_transactions < 12


@pytest.mark.parametrize("operations", [5, 2])
def test_record_writer_keeps_limits_for_large_gangs(operations: int) -> None:
    """Guards against records of placements, images or finished tasks that exceed the limits.

    The gang runs on hundreds of machines, and names are not ASCII.
    """
    deployment = RandomDeployment(520, 0, 3)
    job = deployment.submit(
        shape=Shape.GANG, tasks=250, one_zone=False, spread=False, gpus=2.0, cpus=14.0,
        memory_gb=51.0, image="görüntü-" + "ü" * 40, spot_allowed=False, team=deployment.teams[0],
    )  # fmt: skip
    limits = Limits(150, 18, operations, 2048)
    record_writer = RecordWriter(deployment.cluster, limits)
    deployment.scheduler.run_cycle(deployment.now)
    assert len(job.attempts) == 250
    for _ in range(400):
        deployment.now += seconds(0.5)
        for batch in record_writer.next(deployment.now):
            assert len(batch.operations) <= operations
            for operation in batch.operations:
                if isinstance(operation, records.Put):
                    assert json_size(operation.value) <= 2048
            record_writer.committed(batch, 1, deployment.now)
    assert not deployment.cluster.unwritten_placements
    assert all(attempt.recorded for attempt in job.all_attempts())


def test_rejected_record_size_is_not_retried() -> None:
    """Guards against endless 400 responses if the state service measures sizes differently."""
    deployment = RandomDeployment(40, 60, 5)
    record_writer = RecordWriter(deployment.cluster, LOW_LIMITS)
    max_size = 900
    refused = 0
    deployment.scheduler.run_cycle(deployment.now)
    for _ in range(600):
        deployment.now += seconds(0.5)
        for batch in record_writer.next(deployment.now):
            sizes = [json_size(o.value) for o in batch.operations if isinstance(o, records.Put)]
            if any(size > max_size for size in sizes):
                refused += 1
                record_writer.rejected(batch)
                record_writer.failed(batch, {c.key: None for c in batch.conditions}, deployment.now)
            else:
                record_writer.committed(batch, 1, deployment.now)
    assert 0 < refused < 12
    assert not deployment.cluster.unwritten_placements


def test_end_record_states_outcome() -> None:
    end = decode(records.EndRecord, bytes.fromhex(ENCODED_RECORDS["end_done"]))
    assert end.status is Status.DONE and end.ended_at == 1790000100.5
