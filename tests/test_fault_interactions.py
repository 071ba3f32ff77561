"""Two faults at once, in scenarios with several machines (docs/fault-interactions.md)."""

from __future__ import annotations

import curio
import pytest

from micadeal.http.message import Request
from micadeal.wire.codec import decode
from tests.fakes import state as state_fake
from tests.fakes.deployment_settings import CANCEL_S, FOLLOWERS_RENEW_AFTER_S, LEASE_S
from tests.fakes.fault_histories import PAIRS, History
from tests.fakes.network import HOLD, REFUSE, SILENT
from tests.fakes.world import World, leader_of


async def start_two_jobs(world: World) -> tuple[str, str]:
    """Start a service to keep and a job to cancel; wait until followers may renew their leases."""
    service = await world.run_job("daemon", 3, scatter=True, rank="production")
    cancelled_job = await world.run_job("daemon", 4, crew="blue")
    await world.wait_until(
        lambda: world.running(service) == 3 and world.running(cancelled_job) == 4
    )
    await curio.sleep(FOLLOWERS_RENEW_AFTER_S)
    return service, cancelled_job


async def wait_through_outage(world: World, service: str, cancelled_job: str) -> None:
    """Begin an outage of the state service and wait until the cancel timeout has passed."""
    world.state.outage = True
    await curio.sleep(CANCEL_S + 8)
    assert not world.tasks_on_machines(cancelled_job)
    assert world.running(service) == 3


@pytest.mark.parametrize("seed", range(40))
def test_random_fault_histories_break_no_rule_and_serve_every_accepted_job(
    seed: int,
) -> None:
    """Play some histories of ``python -m bench.fault_histories``: gaps, pairs of other faults."""
    kinds = [("gap",), ("gap at an election",), PAIRS[seed * 37 % len(PAIRS)], ()][seed % 4]
    assert History(seed, kinds).play() == []


# -- gap: the state service refuses the leader, a cancellation is confirmed, an outage begins ------


@pytest.mark.parametrize("delay_s", [1.5, 60.0])
def test_a_leader_that_is_still_loading_learns_of_a_cancellation(
    monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> None:
    """Guards ``ran_cancelled``: the notice reaches a leader that has not loaded its records yet.

    Its reads, sent before the job was cancelled, are answered late, or not at all during the
    outage.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        crashed = leader_of(world)

        def delay_job_reads(source: str, address: str, request: Request) -> float:
            reads_jobs = request.path == "/keys" and "starts=job/" in request.query
            return delay_s if reads_jobs and address == state_fake.ADDRESS else 0.0

        world.network.answer_delay = delay_job_reads
        world.crash(crashed)
        await world.wait_until(lambda: world.leader() not in (None, crashed))
        leader = leader_of(world)
        await curio.sleep(0.1)
        assert await world.cancel(cancelled_job, 3 - crashed - leader) == "cancelled"
        await curio.sleep(1.3)
        world.network.cut(f"c{leader}", "state", REFUSE)
        await curio.sleep(0.3)
        await wait_through_outage(world, service, cancelled_job)

    World().play(monkeypatch, scenario)


@pytest.mark.parametrize("reaches_peers", [True, False])
def test_a_leader_without_state_service_resigns_when_a_later_leader_pings(
    monkeypatch: pytest.MonkeyPatch, reaches_peers: bool
) -> None:
    """Two leaders answer workers, since the earlier one can't read that it was replaced.

    The earlier leader learns this from the later leader's ping and redirects workers.  If it is
    also cut off from its peers, it stops answering workers early enough for jobs cancelled through
    the later leader.  One worker reaches no other controller.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        old = leader_of(world)
        world.network.cut(f"c{old}", "state", REFUSE)
        if not reaches_peers:
            for other in range(3):
                if other != old:
                    world.network.cut(f"c{old}", f"c{other}")
        worker = world.tasks_on_machines(cancelled_job)[0][0]
        for other in range(3):
            if other != old:
                world.network.cut(worker.name, f"c{other}")
        await world.wait_until(lambda: world.leader() not in (None, old))
        leader = leader_of(world)
        assert await world.cancel(cancelled_job, leader) == "cancelled"
        if reaches_peers:
            await world.wait_until(lambda: world.nodes[old]._leader.name == f"c{leader}", limit=4)
        await curio.sleep(CANCEL_S)
        assert not world.tasks_on_machines(cancelled_job)
        if reaches_peers:
            # The token reached the worker through a relay between controllers.
            assert worker.token == world.state.keys["seat/held"][1]
        await world.wait_until(lambda: world.running(service) == 3)

    World().play(monkeypatch, scenario)


def test_a_leader_without_state_service_goes_on_while_a_later_one_is_loading(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards running tasks: the outage begins with the later leader's first reads.

    The later leader has just started, so it can't rely on cancellation lists either.  In fault
    histories with gaps at elections 250 tasks ended at the same time.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        old = leader_of(world)
        world.network.answer_delay = lambda source, address, request: (
            60.0 if request.path == "/keys" and "starts=job/" in request.query else 0.0
        )
        later, other = (old + 1) % 3, (old + 2) % 3
        world.crash(later)
        await curio.sleep(1)
        await world.start(later)
        await curio.sleep(3)
        for number in (old, other):
            world.network.cut(f"c{number}", "state", REFUSE)
        await world.wait_until(lambda: world.leader() == later)
        assert await world.cancel(cancelled_job, later) == "cancelled"
        await wait_through_outage(world, service, cancelled_job)
        await world.network.heal_all()
        world.state.outage = False
        await curio.sleep(LEASE_S)
        assert {world.rules.starts[f"{service}/{index}"] for index in range(3)} == {1}

    World().play(monkeypatch, scenario)


def test_a_just_started_leader_answers_by_its_peers_cancellation_lists(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards running tasks: a leader elected after a crash can read no records in an outage.

    Its peers have kept cancellation lists for long enough.  The leader has just started, so it
    infers this from the start times of the peers' processes.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        old = leader_of(world)
        later, other = (old + 1) % 3, (old + 2) % 3
        world.network.answer_delay = lambda source, address, request: (
            60.0 if request.path == "/keys" and "starts=job/" in request.query else 0.0
        )
        world.crash(later)
        await curio.sleep(1)
        await world.start(later)
        await curio.sleep(3)
        assert await world.cancel(cancelled_job, other) == "cancelled"
        world.network.cut(f"c{other}", "state", REFUSE)
        world.crash(old)
        await world.wait_until(lambda: world.leader() == later)
        world.state.outage = True
        await curio.sleep(6)
        await world.start(old)
        await curio.sleep(CANCEL_S + 2)
        assert not world.tasks_on_machines(cancelled_job)
        assert world.running(service) == 3

    World().play(monkeypatch, scenario)


def test_a_cancellation_before_an_outage_right_after_all_controllers_restarted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards running tasks: no cancellation list is complete shortly after a restart.

    The leader's last answered watch was opened before this cancellation.  Still the leader knows
    all cancellations: those that are on no list were recorded before that watch was opened.  In
    fault histories with gaps at elections 366 tasks ended at the same time.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        for number in range(3):
            world.crash(number)
        await curio.sleep(0.3)
        for number in range(3):
            await world.start(number)
        await world.wait_until(lambda: world.leader() is not None)
        await curio.sleep(1)
        leader = leader_of(world)
        assert await world.cancel(cancelled_job, (leader + 1) % 3) == "cancelled"
        await wait_through_outage(world, service, cancelled_job)
        world.state.outage = False
        await curio.sleep(LEASE_S)
        assert {world.rules.starts[f"{service}/{index}"] for index in range(3)} == {1}

    World().play(monkeypatch, scenario)


def test_a_delayed_settings_write_does_not_undo_a_newer_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The delayed write gets no answer in time, and is applied after the newer one."""

    async def scenario(world: World) -> None:
        await world.wait_until(lambda: world.leader() is not None)
        world.network.delivery_delay = lambda source, address, request: (
            6.0 if request.path == "/txn" and b"older" in request.body else None
        )
        assert (await world.call(0, "POST", "/settings", {"script": "# older"}))[0] == 503
        assert (await world.call(1, "POST", "/settings", {"script": "# newer"}))[0] == 200
        await curio.sleep(10)
        status, reply = await world.call(2, "GET", "/settings")
        assert (status, reply["script"]) == (200, "# newer")

    World().play(monkeypatch, scenario)


# -- failover while machines are unreachable, or don't receive the next leader's answers -----------


@pytest.mark.parametrize("unreachable_s", [4.5, LEASE_S + 14])
@pytest.mark.parametrize("fault", ["out of reach", "receives nothing", "held"])
def test_failover_while_machines_with_long_tasks_are_unreachable(
    monkeypatch: pytest.MonkeyPatch, fault: str, unreachable_s: float
) -> None:
    """No task is lost within a lease; after the lease each is started at most once more.

    The job that is cancelled meanwhile ends in time.  The machines are used again, or returned.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        array = await world.run_job("array", 3, run_s=50.0, crew="red")
        await world.wait_until(lambda: world.running(array) == 3)
        leader = leader_of(world)
        machines = {
            w.name
            for w, _ in (
                *world.tasks_on_machines(array),
                *world.tasks_on_machines(cancelled_job)[:2],
            )
        }
        pairs = [(name, f"c{n}") for name in machines for n in range(3)]
        if fault == "receives nothing":
            world.network.receives_nothing |= machines
        else:
            for pair in pairs:
                world.network.cut(*pair, HOLD if fault == "held" else SILENT)
        world.crash(leader)
        await curio.sleep(2)
        assert await world.cancel(cancelled_job, (leader + 1) % 3) == "cancelled"
        await curio.sleep(unreachable_s - 2)
        world.network.receives_nothing.clear()
        for pair in pairs:
            await world.network.heal(*pair)
        await world.wait_until_done(array)
        await world.wait_until(
            lambda: world.running(service) == 3 and not world.tasks_on_machines(cancelled_job)
        )
        later_job = await world.run_job("array", 4, run_s=5.0, crew="blue")
        await world.wait_until_done(later_job)
        start_counts = {world.rules.starts[f"{array}/{index}"] for index in range(3)}
        assert start_counts == {1} if unreachable_s < LEASE_S else start_counts <= {1, 2}

    World().play(monkeypatch, scenario)


# -- repeated failovers ----------------------------------------------------------------------------


@pytest.mark.parametrize("down_s", [0.05, 0.6])
def test_failovers_within_a_second_start_no_task_twice(
    monkeypatch: pytest.MonkeyPatch, down_s: float
) -> None:
    """Leaders hand over, other controllers crash during the elections, and finally all crash.

    Later processes ignore attempts, tokens, held heartbeats and answers of earlier ones.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        jobs = [await world.run_job("array", 2, run_s=45.0, crew="red") for _ in range(2)]
        for number in (0, 1, 2, 0):
            leader = leader_of(world)
            await world.nodes[leader].shut_down()
            world.crash(leader)
            await curio.sleep(down_s)
            await world.start(leader)
            await curio.sleep(0.2)
            # Crash another controller during the election that follows.
            other = (leader + 1 + number % 2) % 3
            world.crash(other)
            await curio.sleep(down_s)
            await world.start(other)
            await world.wait_until(lambda: world.leader() is not None, limit=10)
        for number in range(3):
            world.crash(number)
        await world.start(1)
        await world.wait_until(lambda: world.leader() == 1, limit=10)
        # No other controller is up: the cancellation is confirmed only after its tasks have ended.
        assert await world.cancel(cancelled_job, 1) is None or not world.tasks_on_machines(
            cancelled_job
        )
        await world.start(0)
        await world.start(2)
        await curio.sleep(2)
        assert await world.cancel(cancelled_job, 0) == "cancelled"
        for job in jobs:
            await world.wait_until_done(job)
        assert world.running(service) == 3 and not world.tasks_on_machines(cancelled_job)

    world = World().play(monkeypatch, scenario)
    assert max(world.rules.starts.values()) == 1


# -- delayed transactions --------------------------------------------------------------------------


@pytest.mark.parametrize(
    "kind", ["job/", "end/", "placed/", "finished/", "images/", "seat/", "leader"]
)
def test_delayed_transactions_of_each_kind_break_no_rule(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """Half of the transactions that write a key of the kind are applied late, after newer ones.

    The late ones get no answer.  Meanwhile the leader changes twice and a job is cancelled.
    """

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        writes = 0

        def delay_write(source: str, address: str, request: Request) -> float | None:
            nonlocal writes
            if request.path != "/txn":
                return None
            changes = decode(dict, request.body)["then"]
            if not any(c.get("put", c.get("drop", "")).startswith(kind) for c in changes):
                return None
            writes += 1
            return 3.0 + writes % 9 if writes % 2 else None

        world.network.delivery_delay = delay_write
        jobs = [
            await world.run_job("array", 3, run_s=4.0 + 9 * n, crew="red", image_gb=0.5)
            for n in range(3)
        ]
        await curio.sleep(6)
        for _ in range(2):
            leader = leader_of(world)
            world.crash(leader)
            await curio.sleep(0.7)
            await world.start(leader)
            await world.wait_until(lambda: world.leader() is not None, limit=30)
            await curio.sleep(6)
        for attempt in range(30):
            if await world.cancel(cancelled_job, attempt % 3):
                break
            await curio.sleep(1)
        for job in jobs:
            await world.wait_until_done(job)
        assert writes
        await world.wait_until(lambda: not world.tasks_on_machines(cancelled_job), limit=CANCEL_S)
        await curio.sleep(15)
        for number in range(3):
            assert await world.status(cancelled_job, number) == "cancelled"
            assert {await world.status(job, number) for job in jobs} == {"done"}
        assert world.running(service) == 3

    World().play(monkeypatch, scenario)


# -- delayed commands ------------------------------------------------------------------------------


def test_delayed_commands_stop_only_what_they_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Stop commands arrive after their reason has passed, even under a later leader."""

    async def scenario(world: World) -> None:
        service, cancelled_job = await start_two_jobs(world)
        gang = await world.run_job("gang", 2, run_s=30.0, bookmark_s=5.0, stow_s=1.0, crew="red")
        await world.wait_until(lambda: world.running(gang) == 2)
        leader = leader_of(world)
        machines = sorted({w.name for w, _ in world.tasks_on_machines()})
        for name in machines:
            world.network.cut(name, f"c{leader}", HOLD)
        for worker in list(world.fleet.workers.values())[::2]:
            worker.stalled = True
        assert await world.cancel(cancelled_job, (leader + 1) % 3) == "cancelled"
        await curio.sleep(9)
        world.crash(leader)
        await curio.sleep(2)
        await world.start(leader)
        for name in machines:
            await world.network.heal(name, f"c{leader}")
        for worker in world.fleet.workers.values():
            worker.stalled = False
        await world.wait_until(lambda: not world.tasks_on_machines(cancelled_job), limit=8)
        await world.wait_until_done(gang)
        await world.wait_until(lambda: world.running(service) == 3)

    World().play(monkeypatch, scenario)


# -- tasks that end at long intervals --------------------------------------------------------------


def test_a_job_whose_tasks_end_under_three_leaders_is_done_once_all_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """``done`` is answered once the last task has ended, and not before.

    Machines keep results, records of results are written late, and tasks run again where the
    machine is gone.
    """

    async def scenario(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        job = await world.run_job("array", 3, run_s=9.0, crew="blue")
        await world.wait_until(lambda: world.running(job) == 3)
        # The other two tasks take longer; the machine of one of them is stalled meanwhile.
        slow_workers = [worker for worker, _ in world.tasks_on_machines(job)][1:]
        slow_workers[1].stalled = True
        first_leader = leader_of(world)
        await world.wait_until(lambda: f"{job}/0" in world.rules.finished_tasks, limit=20)
        world.network.delivery_delay = lambda source, address, request: (
            7.0 if request.path == "/txn" and b"finished/" in request.body else None
        )
        await curio.sleep(2)
        world.crash(first_leader)
        await world.start(first_leader)
        tasks_at_failover = world.tasks_on_machines(job)
        assert await world.status(job, (first_leader + 1) % 3) != "done"
        await curio.sleep(4)
        slow_workers[1].stalled = False
        await world.wait_until(lambda: world.leader() is not None, limit=10)
        second_leader = leader_of(world)
        await world.wait_until(
            lambda: (
                not world.tasks_on_machines(job)
                or len(world.tasks_on_machines(job)) < len(tasks_at_failover)
            )
        )
        world.crash(second_leader)
        await curio.sleep(1)
        await world.start(second_leader)
        world.network.delivery_delay = None
        await world.wait_until_done(job)
        for number in range(3):
            assert await world.status(job, number) == "done"
        assert world.running(service) == 3

    World().play(monkeypatch, scenario)
