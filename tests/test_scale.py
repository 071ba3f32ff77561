"""Large deployments: caches change no decision, and the work of a scheduling cycle is bounded."""

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
from micadeal.placement.bin_packing import ZoneRule, choose_machine
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.scheduling import capacity_pool, explanations, gang_placement
from micadeal.scheduling.capacity_pool import CapacityPool
from micadeal.scheduling.plan import Plan
from micadeal.scheduling.scheduling_cycle import SchedulingCycle
from micadeal.state.limits import Limits
from micadeal.wire.codec import decode, encode
from micadeal.wire.state import Delete, Put
from micadeal.wire.users import Priority, Shape, Submission
from tests.fakes.random_clusters import ZONES, RandomDeployment

LIMITS = Limits(150, 25, 16, 8192)


# -- exhaustive search -------------------------------------------------------------------------


class ExhaustivePool(CapacityPool):
    """Ranks every machine for every task, in the order that the design specifies."""

    def best(self, job: Job) -> MachineCapacity | None:
        return choose_machine(job.spec, self.candidates(job), self.zone_rule(job), self.spot_scarce)

    def candidates(self, job: Job) -> list[MachineCapacity]:
        if len(job.errors) > capacity_pool.MAX_AVOIDED_MACHINES:
            return self.capacities
        return [
            capacity for capacity in self.capacities if capacity.name not in job.errors
        ] or self.capacities


def choose_gang_exhaustively(
    spec: Submission, capacities: Sequence[MachineCapacity], spot_scarce: bool
) -> list[MachineCapacity] | None:
    options: list[tuple[tuple[float, ...], list[MachineCapacity]]] = []
    zones = sorted({c.zone for c in capacities}) if spec.one_zone else [None]
    for zone in zones:
        chosen: list[MachineCapacity] = []
        rule = ZoneRule(spec)
        for _ in range(spec.tasks):
            capacity = choose_machine(
                spec, [c for c in capacities if zone in (None, c.zone)], rule, spot_scarce
            )
            if capacity is None:
                break
            capacity.book(spec)
            rule.zones[capacity.zone] += 1
            chosen.append(capacity)
        if len(chosen) == spec.tasks:
            stages = [2 if c.planned else 0 if c.up else 1 for c in chosen]
            missing_images = sum(1 for c in chosen if spec.image not in c.images)
            cost = (float(max(stages)), float(sum(1 for s in stages if s)), float(missing_images))
            options.append((cost, chosen))
        for capacity in chosen:
            capacity.unbook(spec)
    if not options:
        return None
    best = min(options, key=lambda option: option[0])[1]
    for capacity in best:
        capacity.book(spec)
    return best


def run_cycles(deployment: RandomDeployment) -> tuple[object, ...]:
    """Run cycles with heartbeats and ended tasks between them; return all their decisions."""
    decisions: list[object] = []
    for job in deployment.cluster.live_jobs():
        if deployment.random.random() < 0.2:
            # The job failed on some machines, and avoids them while there are others.
            job.errors.update(list(deployment.cluster.machines)[::2])
    for _ in range(3):
        deployment.scheduler.run_cycle(deployment.now)
        plan = deployment.scheduler.plan
        decisions.append([(p.job_id, p.index, p.attempt) for p in plan.placed])
        decisions.append(sorted((str(offer), n) for offer, n in plan.rentals.items()))
        decisions.append(sorted(plan.reserved))
        decisions.append({job.id: dict(job.reasons) for job in deployment.cluster.live_jobs()})
        record_writer = RecordWriter(deployment.cluster, LIMITS)
        while batches := record_writer.next(deployment.now):
            for batch in batches:
                record_writer.committed(batch, 1, deployment.now)
        deployment.now += seconds(3)
        for name in list(deployment.cluster.machines)[:: 1 + deployment.random.randrange(3)]:
            deployment.heartbeat(name)
            deployment.heartbeat(name, done=deployment.random.randrange(2))
        deployment.submit()
    placements = sorted((a.task, a.number, m.name) for m in deployment.cluster.machines.values()
                        for a in m.attempts.values())  # fmt: skip
    return (*decisions, placements)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.integers(0, 10_000), st.integers(0, 40), st.integers(1, 25), st.booleans())
def test_cached_rankings_place_as_an_exhaustive_search(
    seed: int, machines: int, jobs: int, scarce: bool
) -> None:
    """Guards the order of the design.

    Ranking machines once, and remembering what found no capacity, must change no decision.
    """

    def build() -> RandomDeployment:
        deployment = RandomDeployment(machines, jobs, seed)
        if scarce:
            for offer in [o for o in _offers(deployment) if o.spot]:
                deployment.scheduler.instance_offers.record_refusal(offer, 3, deployment.now)
        return deployment

    cached = run_cycles(build())
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("micadeal.scheduling.scheduling_cycle.CapacityPool", ExhaustivePool)
        patch.setattr(gang_placement, "choose_gang", choose_gang_exhaustively)
        exhaustive = run_cycles(build())
    assert cached == exhaustive


def _offers(deployment: RandomDeployment) -> list[InstanceOffer]:
    spec = deployment.submit(spot_allowed=True, gpus=1.0, cpus=1.0, memory_gb=1.0).spec
    return [
        offer
        for offer, _ in deployment.scheduler.instance_offers.available(
            spec, deployment.now, Counter()
        )
    ]


def refuse_rentals(deployment: RandomDeployment, *, spot: bool, existing: int) -> None:
    """Make the cloud refuse, in every zone, to rent more than the existing machines."""
    for zone in ZONES:
        offer = InstanceOffer("box", zone, spot)
        deployment.scheduler.instance_offers.record_refusal(offer, existing, deployment.now)


# -- work of one cycle -------------------------------------------------------------------------


def test_a_cycle_does_not_examine_every_machine_for_every_task() -> None:
    deployment = RandomDeployment(700, 200)
    waiting = sum(job.waiting_count() for job in deployment.cluster.live_jobs())
    examined: list[int] = []

    class CountingCycle(SchedulingCycle):
        def run(self) -> Plan:
            plan = super().run()
            examined.append(self.pool.examined)
            return plan

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("micadeal.scheduling.scheduler.SchedulingCycle", CountingCycle)
        deployment.scheduler.run_cycle(deployment.now)
        deployment.scheduler.run_cycle(deployment.now)
    # The exhaustive search examines each machine for each task.
    assert waiting > 3000
    assert examined[0] < 200 * 700 and examined[1] < 100 * 700


def write_all(record_writer: RecordWriter, deployment: RandomDeployment) -> list[WriteBatch]:
    written: list[WriteBatch] = []
    while batches := record_writer.next(deployment.now):
        for batch in batches:
            record_writer.committed(batch, len(written) + 1, deployment.now)
            written.append(batch)
    return written


def test_a_burst_of_placements_is_persisted_whole_in_few_operations() -> None:
    """Guards the limit on operations: with a record per machine, a large array took seconds."""
    deployment = RandomDeployment(400, 60)
    record_writer = RecordWriter(deployment.cluster, LIMITS)
    deployment.scheduler.run_cycle(deployment.now)
    placed = len(deployment.scheduler.plan.placed)
    written = [b for b in write_all(record_writer, deployment) if b.placed]
    assert placed > 400
    assert sum(len(batch.operations) for batch in written) <= placed / 40
    assert all(
        a.recorded for m in deployment.cluster.machines.values() for a in m.attempts.values()
    )
    # As tasks end, records are deleted or merged: only those of remaining attempts stay stored.
    stored: set[str] = {op.key for b in written for op in b.operations}
    for _ in range(40):
        for name in deployment.cluster.machines:
            deployment.heartbeat(name, done=1)
            deployment.heartbeat(name)
        deployment.now += seconds(5)
        for batch in write_all(record_writer, deployment):
            stored |= {op.key for op in batch.operations if isinstance(op, Put)}
            stored -= {op.key for op in batch.operations if isinstance(op, Delete)}
    needed = {a.record for m in deployment.cluster.machines.values() for a in m.attempts.values()}
    assert {key for key in stored if key.startswith("placed/")} == needed


def test_the_overview_of_a_large_failing_deployment_stays_short() -> None:
    """Guards the overview: the longest stuck jobs come first, and counts replace long lists."""
    deployment = RandomDeployment(300, 0)
    for name in list(deployment.cluster.machines)[:200]:
        deployment.cluster.machines[name].reclaim_expected_at = deployment.now + seconds(20)
    for number in range(150):
        deployment.now += seconds(0.1)
        deployment.submit(tasks=1, gpus=2.0, cpus=16.0, zone="north", image=f"img-{number}")
    for offer in _offers(deployment):
        deployment.scheduler.instance_offers.record_refusal(offer, 0, deployment.now + seconds(85))
    deployment.now += seconds(90)
    deployment.scheduler.run_cycle(deployment.now)
    overview = explanations.overview(
        deployment.scheduler, "c0", deployment.now, state_reachable=True
    )
    text = show_overview(decode(dict, encode(overview)))
    waits = [job.waiting_s for job in overview.stuck]
    assert waits == sorted(waits, reverse=True) and len(waits) == 20
    assert overview.stuck_in_all > 50
    assert f"and {overview.stuck_in_all - 20} more" in text
    assert "about to be taken by the cloud: i-000000" in text and "and 195 more" in text
    assert len(text.splitlines()) < 60


def test_nothing_is_preempted_on_machines_where_the_preemptor_failed() -> None:
    """Guards against tasks that are started and preempted again in every cycle.

    A production job is not placed again on a machine where it failed.
    """
    deployment = RandomDeployment(3, 0, 2)
    for _ in range(3):
        deployment.submit(
            shape=Shape.ARRAY, priority=Priority.LOW, spot_allowed=True, tasks=2, gpus=1.0,
            team=deployment.teams[0], spread=False, one_zone=False,
        )  # fmt: skip
    refuse_rentals(deployment, spot=True, existing=0)
    deployment.scheduler.run_cycle(deployment.now)
    service = deployment.submit(
        shape=Shape.SERVICE, priority=Priority.PRODUCTION, spot_allowed=False, tasks=1, gpus=1.0,
        team=deployment.teams[1], spread=False, one_zone=False,
    )  # fmt: skip
    on_demand = [m.name for m in deployment.cluster.machines.values() if not m.spot]
    assert all(deployment.cluster.machines[name].attempts for name in on_demand)
    service.errors.update(on_demand[:1])
    deployment.scheduler.run_cycle(deployment.now)
    preempted_on = {
        freed[0] for _, victim in deployment.scheduler.plan.preemptions for freed in victim.freed
    }
    assert preempted_on and on_demand[0] not in preempted_on


def test_nothing_is_preempted_on_an_on_demand_machine_that_only_victims_need() -> None:
    """Guards against preempting the same gang in every cycle.

    An array that may use spot uses an on-demand machine only if a task that must not run on spot is
    there.  If the gang on it were preempted, the array would not start there, and the gang would
    take its place again.
    """
    deployment = RandomDeployment(3, 0, 2)
    refuse_rentals(deployment, spot=False, existing=2)
    gang = deployment.submit(
        shape=Shape.GANG, priority=Priority.STANDARD, spot_allowed=False, tasks=2, one_zone=False,
        spread=False, cpus=14.0, gpus=2.0, memory_gb=50.0, team=deployment.teams[0],
    )  # fmt: skip
    deployment.scheduler.run_cycle(deployment.now)
    assert len(gang.attempts) == 2
    array = deployment.submit(
        shape=Shape.ARRAY, priority=Priority.STANDARD, spot_allowed=True, tasks=2, one_zone=False,
        spread=False, cpus=14.0, gpus=2.0, memory_gb=50.0, team=deployment.teams[1],
    )  # fmt: skip
    for name, guarantee in zip(deployment.teams, (0.0, 4.0), strict=False):
        deployment.cluster.teams[name] = Team(name, 0.0, guarantee, None, 6.0)
    preemptions = 0
    for _ in range(40):
        deployment.now += seconds(1)
        for name in deployment.cluster.machines:
            deployment.heartbeat(name)
        deployment.scheduler.run_cycle(deployment.now)
        preemptions += len(deployment.scheduler.plan.preemptions)
    assert len(array.attempts) == 1 and array.waiting_count() == 1
    assert preemptions == 0


def test_preempted_capacity_is_kept_for_the_preemptor() -> None:
    """Guards against preempting in every cycle while one of two victims still saves its progress.

    Otherwise the victim that has ended, or a similar task, would take the freed capacity again, and
    would be preempted again.
    """
    deployment = RandomDeployment(1, 0, 2)
    refuse_rentals(deployment, spot=False, existing=1)
    refuse_rentals(deployment, spot=True, existing=0)
    deployment.cluster.teams[deployment.teams[0]] = Team(deployment.teams[0], 0.0, 0.0, None, 6.0)
    fields: dict[str, object] = {
        "priority": Priority.LOW, "spot_allowed": False, "one_zone": False, "spread": False,
        "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0, "save_s": 5.0, "team": deployment.teams[0],
    }  # fmt: skip
    for _ in range(2):
        deployment.submit(**fields, shape=Shape.ARRAY, tasks=1)
    deployment.scheduler.run_cycle(deployment.now)
    record_writer, written = RecordWriter(deployment.cluster, LIMITS), 0
    for batch in record_writer.next(deployment.now):
        record_writer.committed(batch, 1, deployment.now)
        written += len(batch.placed)
    machine = next(iter(deployment.cluster.machines.values()))
    deployment.heartbeat(machine.name)
    deployment.heartbeat(machine.name)
    assert written == 1 and len(machine.attempts) == 2
    service = deployment.submit(
        **(fields | {"cpus": 10.0, "gpus": 2.0, "priority": Priority.PRODUCTION}),
        shape=Shape.SERVICE, tasks=1,
    )  # fmt: skip
    for _ in range(6):
        deployment.submit(**fields, shape=Shape.ARRAY, tasks=1)
    preemptions = 0
    for step in range(20):
        deployment.now += seconds(0.2)
        if step == 5:
            # One of the two victims has ended, the other one still saves its progress.
            deployment.cluster.remove_attempt(next(iter(machine.attempts.values())), deployment.now)
        if step == 15:
            deployment.cluster.remove_attempt(next(iter(machine.attempts.values())), deployment.now)
        deployment.scheduler.run_cycle(deployment.now)
        preemptions += len(deployment.scheduler.plan.preemptions)
    assert len(service.attempts) == 1
    assert preemptions == 2
