"""Large deployments: the quick ways are held equal to plain ones, and counts guard the effort."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micadeal.cli.text_output import show_overview
from micadeal.clock import seconds
from micadeal.controller.persistence.batches import WriteBatch
from micadeal.controller.persistence.record_writer import RecordWriter
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.jobs.model import Job
from micadeal.operator.platform import Team
from micadeal.placement.bin_packing import ZoneRule, choose
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.scheduling import capacity_pool, explanations, gang_placement
from micadeal.scheduling.capacity_pool import CapacityPool
from micadeal.scheduling.plan import Plan
from micadeal.scheduling.scheduling_cycle import SchedulingCycle
from micadeal.state.limits import Limits
from micadeal.wire.codec import decode, encode
from micadeal.wire.state import Drop, Put
from micadeal.wire.users import Priority, Shape, Submission
from tests.fakes.random_clusters import Picture

LIMITS = Limits(150, 25, 16, 8192)


# -- the plain way -----------------------------------------------------------------------------


class PlainPool(CapacityPool):
    """Ranks every machine for every task, in the order of the design."""

    def best(self, job: Job) -> MachineCapacity | None:
        return choose(job.spec, self.candidates(job), self.zone_rule(job), self.spot_scarce)

    def candidates(self, job: Job) -> list[MachineCapacity]:
        if len(job.errors) > capacity_pool.MAX_AVOIDED_MACHINES:
            return self.capacities
        return [
            capacity for capacity in self.capacities if capacity.name not in job.errors
        ] or self.capacities


def plain_gang(
    spec: Submission, capacities: Sequence[MachineCapacity], batch: bool
) -> list[MachineCapacity] | None:
    found: list[tuple[tuple[float, ...], list[MachineCapacity]]] = []
    zones = sorted({r.zone for r in capacities}) if spec.one_zone else [None]
    for zone in zones:
        chosen: list[MachineCapacity] = []
        rule = ZoneRule(spec)
        for _ in range(spec.tasks):
            capacity = choose(spec, [r for r in capacities if zone in (None, r.zone)], rule, batch)
            if capacity is None:
                break
            capacity.book(spec)
            rule.zones[capacity.zone] += 1
            chosen.append(capacity)
        if len(chosen) == spec.tasks:
            stages = [2 if r.planned else 0 if r.up else 1 for r in chosen]
            missing = sum(1 for r in chosen if spec.image not in r.images)
            cost = (float(max(stages)), float(sum(1 for s in stages if s)), float(missing))
            found.append((cost, chosen))
        for capacity in chosen:
            capacity.unbook(spec)
    if not found:
        return None
    best = min(found, key=lambda entry: entry[0])[1]
    for capacity in best:
        capacity.book(spec)
    return best


def outcome(picture: Picture) -> tuple[object, ...]:
    """Two passes with reports and ends between them; all that they decided."""
    result: list[object] = []
    for job in picture.cluster.live_jobs():
        if picture.random.random() < 0.2:
            # It failed on some machines: as long as there are others, they are not for it.
            job.errors.update(list(picture.cluster.machines)[::2])
    for _ in range(3):
        picture.scheduler.run_cycle(picture.now)
        decided = picture.scheduler.plan
        result.append([(p.job_id, p.index, p.attempt) for p in decided.placed])
        result.append(sorted((str(offer), n) for offer, n in decided.rentals.items()))
        result.append(sorted(decided.reserved))
        result.append({job.id: dict(job.reasons) for job in picture.cluster.live_jobs()})
        record_writer = RecordWriter(picture.cluster, LIMITS)
        while batches := record_writer.next(picture.now):
            for batch in batches:
                record_writer.committed(batch, 1, picture.now)
        picture.now += seconds(3)
        for name in list(picture.cluster.machines)[:: 1 + picture.random.randrange(3)]:
            picture.heartbeat(name)
            picture.heartbeat(name, done=picture.random.randrange(2))
        picture.submit()
    where = sorted((a.task, a.number, m.name) for m in picture.cluster.machines.values()
                   for a in m.attempts.values())  # fmt: skip
    return (*result, where)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.integers(0, 10_000), st.integers(0, 40), st.integers(1, 25), st.booleans())
def test_the_quick_way_hands_out_as_the_plain_one(
    seed: int, machines: int, jobs: int, scarce: bool
) -> None:
    """Guards the order of the source: ranking once, and remembering what found no room, must
    change nothing of what is decided."""

    def build() -> Picture:
        picture = Picture(machines, jobs, seed)
        if scarce:
            for offer in [o for o in _offers(picture) if o.spot]:
                picture.scheduler.instance_offers.refused(offer, 3, picture.now)
        return picture

    quick = outcome(build())
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("micadeal.scheduling.scheduling_cycle.CapacityPool", PlainPool)
        patch.setattr(gang_placement, "choose_gang", plain_gang)
        plain = outcome(build())
    assert quick == plain


def _offers(picture: Picture) -> list[InstanceOffer]:
    spec = picture.submit(spot_allowed=True, gpus=1.0, cpus=1.0, memory_gb=1.0).spec
    return [
        offer
        for offer, _ in picture.scheduler.instance_offers.choices(spec, picture.now, Counter())
    ]


# -- effort ------------------------------------------------------------------------------------


def test_a_pass_does_not_look_at_every_room_for_every_task() -> None:
    picture = Picture(700, 200)
    waiting = sum(job.waiting_count() for job in picture.cluster.live_jobs())
    looked: list[int] = []

    class Counting(SchedulingCycle):
        def run(self) -> Plan:
            result = super().run()
            looked.append(self.pool.examined)
            return result

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("micadeal.scheduling.scheduler.SchedulingCycle", Counting)
        picture.scheduler.run_cycle(picture.now)
        picture.scheduler.run_cycle(picture.now)
    # The plain way: one look for each task and room.
    assert waiting > 3000
    assert looked[0] < 200 * 700 and looked[1] < 100 * 700


def write_all(record_writer: RecordWriter, picture: Picture) -> list[WriteBatch]:
    written: list[WriteBatch] = []
    while batches := record_writer.next(picture.now):
        for batch in batches:
            record_writer.committed(batch, len(written) + 1, picture.now)
            written.append(batch)
    return written


def test_a_burst_of_placements_takes_few_changes_and_none_is_left_behind() -> None:
    """Guards the limit on changes: a record for each machine took seconds for a large array."""
    picture = Picture(400, 60)
    record_writer = RecordWriter(picture.cluster, LIMITS)
    picture.scheduler.run_cycle(picture.now)
    placed = len(picture.scheduler.plan.placed)
    written = [b for b in write_all(record_writer, picture) if b.placed]
    assert placed > 400
    assert sum(len(batch.operations) for batch in written) <= placed / 40
    assert all(a.durable for m in picture.cluster.machines.values() for a in m.attempts.values())
    # As tasks end, records are dropped or merged: what is left names what is left.
    kept: set[str] = {op.key for b in written for op in b.operations}
    for _ in range(40):
        for name in picture.cluster.machines:
            picture.heartbeat(name, done=1)
            picture.heartbeat(name)
        picture.now += seconds(5)
        for batch in write_all(record_writer, picture):
            kept |= {op.key for op in batch.operations if isinstance(op, Put)}
            kept -= {op.key for op in batch.operations if isinstance(op, Drop)}
    left = {a.record for m in picture.cluster.machines.values() for a in m.attempts.values()}
    assert {key for key in kept if key.startswith("placed/")} == left


def test_the_overview_of_a_large_deployment_in_trouble_stays_readable() -> None:
    """Guards the morning status: the longest stuck first, with counts instead of endless lists."""
    picture = Picture(300, 0)
    for name in list(picture.cluster.machines)[:200]:
        picture.cluster.machines[name].notice_end = picture.now + seconds(20)
    for number in range(150):
        picture.now += seconds(0.1)
        picture.submit(tasks=1, gpus=2.0, cpus=16.0, zone="north", image=f"img-{number}")
    for offer in _offers(picture):
        picture.scheduler.instance_offers.refused(offer, 0, picture.now + seconds(85))
    picture.now += seconds(90)
    picture.scheduler.run_cycle(picture.now)
    found = explanations.overview(picture.scheduler, "c0", picture.now, reachability=True)
    text = show_overview(decode(dict, encode(found)))
    waits = [job.waiting_s for job in found.stuck]
    assert waits == sorted(waits, reverse=True) and len(waits) == 20
    assert found.stuck_in_all > 50
    assert f"and {found.stuck_in_all - 20} more" in text
    assert "about to be taken by the cloud: i-000000" in text and "and 195 more" in text
    assert len(text.splitlines()) < 60


def test_nothing_is_stopped_where_the_job_in_need_would_not_go() -> None:
    """Guards against a task that is started and stopped again in every pass: production work
    failed on a machine and keeps off it."""
    picture = Picture(3, 0, 2)
    for _ in range(3):
        picture.submit(
            shape=Shape.ARRAY, priority=Priority.LOW, spot_allowed=True, tasks=2, gpus=1.0,
            team=picture.teams[0], spread=False, one_zone=False,
        )  # fmt: skip
    picture.scheduler.instance_offers.refused(InstanceOffer("box", "north", True), 0, picture.now)
    picture.scheduler.instance_offers.refused(InstanceOffer("box", "south", True), 0, picture.now)
    picture.scheduler.instance_offers.refused(InstanceOffer("box", "west", True), 0, picture.now)
    picture.scheduler.run_cycle(picture.now)
    live = picture.submit(
        shape=Shape.SERVICE, priority=Priority.PRODUCTION, spot_allowed=False, tasks=1, gpus=1.0,
        team=picture.teams[1], spread=False, one_zone=False,
    )  # fmt: skip
    ordinary = [m.name for m in picture.cluster.machines.values() if not m.spot]
    assert all(picture.cluster.machines[name].attempts for name in ordinary)
    live.errors.update(ordinary[:1])
    picture.scheduler.run_cycle(picture.now)
    killed = {entry[0] for _, victim in picture.scheduler.plan.kills for entry in victim.frees}
    assert killed and ordinary[0] not in killed


def test_nothing_is_stopped_on_a_machine_that_is_not_worth_it_afterwards() -> None:
    """Guards against the same: a starved array that may use spot keeps off an ordinary machine
    once the gang that was bound to it is stopped there, and the gang takes its place again."""
    picture = Picture(3, 0, 2)
    for zone in ("north", "south", "west"):
        picture.scheduler.instance_offers.refused(InstanceOffer("box", zone, False), 2, picture.now)
    gang = picture.submit(
        shape=Shape.GANG, priority=Priority.STANDARD, spot_allowed=False, tasks=2, one_zone=False,
        spread=False, cpus=14.0, gpus=2.0, memory_gb=50.0, team=picture.teams[0],
    )  # fmt: skip
    picture.scheduler.run_cycle(picture.now)
    assert len(gang.attempts) == 2
    array = picture.submit(
        shape=Shape.ARRAY, priority=Priority.STANDARD, spot_allowed=True, tasks=2, one_zone=False,
        spread=False, cpus=14.0, gpus=2.0, memory_gb=50.0, team=picture.teams[1],
    )  # fmt: skip
    for name, guarantee in zip(picture.teams, (0.0, 4.0), strict=False):
        picture.cluster.teams[name] = Team(name, 0.0, guarantee, None, 6.0)
    kills = 0
    for _ in range(40):
        picture.now += seconds(1)
        for name in picture.cluster.machines:
            picture.heartbeat(name)
        picture.scheduler.run_cycle(picture.now)
        kills += len(picture.scheduler.plan.kills)
    assert len(array.attempts) == 1 and array.waiting_count() == 1
    assert kills == 0


def test_what_is_cleared_for_a_job_is_not_taken_by_others_meanwhile() -> None:
    """Guards against the same while a task beside the victim is still saving: the victim, or
    another of its like, would take the room again, and be stopped in every pass."""
    picture = Picture(1, 0, 2)
    for zone in ("north", "south", "west"):
        picture.scheduler.instance_offers.refused(InstanceOffer("box", zone, False), 1, picture.now)
        picture.scheduler.instance_offers.refused(InstanceOffer("box", zone, True), 0, picture.now)
    picture.cluster.teams[picture.teams[0]] = Team(picture.teams[0], 0.0, 0.0, None, 6.0)
    fields: dict[str, object] = {
        "priority": Priority.LOW, "spot_allowed": False, "one_zone": False, "spread": False,
        "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0, "save_s": 5.0, "team": picture.teams[0],
    }  # fmt: skip
    for _ in range(2):
        picture.submit(**fields, shape=Shape.ARRAY, tasks=1)
    picture.scheduler.run_cycle(picture.now)
    record_writer, written = RecordWriter(picture.cluster, LIMITS), 0
    for batch in record_writer.next(picture.now):
        record_writer.committed(batch, 1, picture.now)
        written += len(batch.placed)
    machine = next(iter(picture.cluster.machines.values()))
    picture.heartbeat(machine.name)
    picture.heartbeat(machine.name)
    assert written == 1 and len(machine.attempts) == 2
    live = picture.submit(
        **(fields | {"cpus": 10.0, "gpus": 2.0, "priority": Priority.PRODUCTION}),
        shape=Shape.SERVICE, tasks=1,
    )  # fmt: skip
    for _ in range(6):
        picture.submit(**fields, shape=Shape.ARRAY, tasks=1)
    kills = 0
    for step in range(20):
        picture.now += seconds(0.2)
        if step == 5:
            # One of the two has ended, the other one still saves.
            picture.cluster.release(next(iter(machine.attempts.values())), picture.now)
        if step == 15:
            picture.cluster.release(next(iter(machine.attempts.values())), picture.now)
        picture.scheduler.run_cycle(picture.now)
        kills += len(picture.scheduler.plan.kills)
    assert len(live.attempts) == 1
    assert kills == 2
