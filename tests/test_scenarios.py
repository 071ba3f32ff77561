"""Stories of whole deployments: three controllers, workers, cloud and state service in memory."""

from __future__ import annotations

import curio
import pytest

from micadeal.clock import monotonic
from tests.fakes import state as state_fake
from tests.fakes.world import LEASE_S, World


def test_an_array_a_gang_and_a_service_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        array = await world.run_job("array", 4, loaners=True)
        gang = await world.run_job("gang", 3, one_zone=True, crew="blue")
        service = await world.run_job("daemon", 2, scatter=True, rank="production")
        await world.until(lambda: world.running(service) == 2)
        await world.until_done(array)
        await world.until_done(gang)
        assert await world.status(service, 1) == "running"
        assert await world.cancel(service, 2) == "cancelled"
        await world.until(lambda: not world.held(service), limit=10)
        assert await world.status(service, 0) == "cancelled"
        await world.until(lambda: not world.cloud.machines, limit=200)

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_a_crashed_leader_is_replaced_and_nothing_runs_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        jobs = [await world.run_job("array", 3, run_s=30.0) for _ in range(2)]
        await world.until(lambda: sum(map(world.running, jobs)) >= 4)
        leader = world.leader()
        assert leader is not None
        world.crash(leader)
        late = await world.run_job("array", 1, crew="blue", run_s=5.0)
        await world.until(lambda: world.leader() not in (None, leader), limit=10)
        await curio.sleep(5)
        await world.start(leader)
        for job in [*jobs, late]:
            await world.until_done(job)

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_all_controllers_crash_while_work_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        job = await world.run_job("array", 4, run_s=40.0)
        service = await world.run_job("daemon", 1, rank="production", crew="blue")
        await world.until(lambda: world.running(job) == 4 and world.running(service) == 1)
        for number in range(3):
            world.crash(number)
        await curio.sleep(6)
        for number in range(3):
            await world.start(number)
        await curio.sleep(4)
        assert world.running(service) == 1
        await world.until_done(job)

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_running_work_outlives_an_outage_longer_than_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: the leader goes on answering its workers while all agree that nobody is served."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 2, rank="production")
        await world.until(lambda: world.running(service) == 2)
        world.state.outage = True
        await curio.sleep(40)
        assert world.running(service) == 2
        world.state.outage = False
        array = await world.run_job("array", 1, run_s=5.0)
        await world.until_done(array)
        assert world.running(service) == 2

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


@pytest.mark.parametrize("mode", ["silent", "hold"])
def test_a_leader_that_loses_the_state_service_alone_gives_way(
    monkeypatch: pytest.MonkeyPatch, mode: str
) -> None:
    """Guards: its held writes come through after its successor's and must change nothing; what
    is cancelled elsewhere meanwhile is gone in time although it still answers workers."""

    async def story(world: World) -> None:
        array = await world.run_job("array", 3, run_s=25.0)
        service = await world.run_job("daemon", 1, crew="blue", rank="production")
        await world.until(lambda: world.running(array) == 3 and world.running(service) == 1)
        leader = world.leader()
        assert leader is not None
        world.network.cut(f"c{leader}", "state", mode)
        more = world.job("array", 2, run_s=10.0)
        await curio.sleep(1)
        assert await world.cancel(service, (leader + 1) % 3) == "cancelled"
        await world.submit(more)
        await world.until(lambda: world.leader() not in (None, leader), limit=10)
        await curio.sleep(40)
        await world.network.heal(f"c{leader}", "state")
        await world.until_done(array)
        await world.until_done(more)
        assert await world.status(service) == "cancelled"

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_a_zone_cut_off_from_the_leader_is_served_over_another_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        service = await world.run_job("daemon", 3, scatter=True, rank="production")
        await world.until(lambda: world.running(service) == 3)
        leader = world.leader()
        assert leader is not None
        workers = [w for w, _ in world.held(service)]
        for worker in workers[:2]:
            world.network.cut(worker.name, f"c{leader}")
        await curio.sleep(45)
        assert world.running(service) == 3
        assert all(worker.incarnation == 1 for worker in workers)

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_what_a_leader_returned_right_before_its_crash_is_started_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second lease's wait: the records name tasks on machines that are gone, and
    the next leader could not tell them from machines that are only out of its sight."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 4, rank="production", accelerators=2.0)
        await world.until(lambda: world.running(service) == 4)
        await curio.sleep(5)
        for worker in world.fleet.workers.values():
            for number in range(3):
                world.network.cut(worker.name, f"c{number}")
        gone = set(world.fleet.workers)
        first = world.leader()
        assert first is not None
        world.crash(first)
        await world.until(lambda: gone <= set(world.cloud.releases), limit=30)
        await curio.sleep(1)
        second = world.leader()
        assert second is not None and not world.running(service)
        world.crash(second)
        assert await world.until(lambda: world.running(service) == 4, limit=30) < 12
        await curio.sleep(60)
        assert not [key for key in world.state.keys if key.startswith("leaving/")]

    World(boot_s=2.0).play(monkeypatch, story)


def test_a_new_leader_waits_for_machines_that_were_cut_off_before_it_led(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against machines being given up as never booted: they are listed as running, come back
    within the minute, and hold images."""

    async def story(world: World) -> None:
        first = await world.run_job("array", 4, run_s=70.0, accelerators=2.0)
        await world.until(lambda: world.running(first) == 4)
        await curio.sleep(10)
        apart = sorted({worker.name for worker, _ in world.held(first)})
        for name in apart:
            for number in range(3):
                world.network.cut(name, f"c{number}")
        # Their leases are over, what ran there is started elsewhere, and no record names it.
        await curio.sleep(LEASE_S + 14)
        leader = world.leader()
        assert leader is not None
        world.crash(leader)
        await curio.sleep(25)
        for name in apart:
            for number in range(3):
                await world.network.heal(name, f"c{number}")
        assert not set(apart) & set(world.cloud.releases)
        await world.until_done(first)

    World(boot_s=4.0).play(monkeypatch, story)


def test_a_worker_that_comes_while_the_next_leader_is_elected_is_answered_by_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against seconds without room after a crash: who is refused meanwhile goes on to a
    controller out of its reach, and waits for its time-out there."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 4, rank="production", accelerators=2.0)
        await world.until(lambda: world.running(service) == 4)
        first = world.leader()
        assert first is not None
        apart = (first + 2) % 3
        for worker in world.fleet.workers.values():
            world.network.cut(worker.name, f"c{apart}")
        world.network.cut(f"c{apart}", state_fake.HOST)
        await curio.sleep(10)
        world.crash(first)
        await world.until(lambda: world.leader() not in (None, first))
        elected = monotonic().total_seconds()
        met = {worker for worker, _ in world.held(service)}
        await world.until(lambda: all(worker.renewed > elected - 3 for worker in met))
        assert monotonic().total_seconds() - elected < 3

    World().play(monkeypatch, story)


def test_a_leader_that_loses_only_its_workers_keeps_their_leases_alive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a detour longer than a lease: a worker that comes from a leader which does not
    answer, and is sent back there, waits for two time-outs of 4 s."""

    async def story(world: World) -> None:
        # The longest interval that the protocol allows where reports come every three seconds.
        world.fleet.report_s = 3.75
        service = await world.run_job("daemon", 4, scatter=True, rank="production")
        await world.until(lambda: world.running(service) == 4)
        await curio.sleep(10)
        leader = world.leader()
        assert leader is not None
        workers = list(world.fleet.workers.values())
        for worker in workers:
            world.network.cut(worker.name, f"c{leader}")
        await curio.sleep(50)
        for worker in workers:
            await world.network.heal(worker.name, f"c{leader}")
        await curio.sleep(30)
        assert all(worker.incarnation == 1 for worker in workers)

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


@pytest.mark.parametrize("trouble", ["cut", "hang"])
def test_work_of_a_silent_machine_moves_once_its_lease_is_over(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    """Guards ``ran_twice``: not before the worker has certainly ended its tasks."""

    async def story(world: World) -> None:
        job = await world.run_job("array", 1, run_s=60.0)
        await world.until(lambda: world.running(job) == 1)
        worker, _ = world.held(job)[0]
        if trouble == "hang":
            worker.hanging = True
        else:
            for number in range(3):
                world.network.cut(worker.name, f"c{number}", "hold")
        await world.until(lambda: world.starts[f"{job}/0"] == 2, limit=60)
        worker.hanging = False
        for number in range(3):
            await world.network.heal(worker.name, f"c{number}")
        await world.until_done(job)

    World().play(monkeypatch, story)


def test_a_late_report_does_not_make_a_new_leader_start_a_task_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_twice``: a report from before the start, held by the network, reaches the next
    leader after the start.  It does not show the task, but it proves nothing: it was sent before
    its worker saw the new token."""

    async def story(world: World) -> None:
        for _ in range(2):
            await world.cloud.add("north", spot=False, up_in=0.5)
        await curio.sleep(8)
        leader = world.leader()
        assert leader is not None
        held = {name: worker._on_heartbeat() for name, worker in world.fleet.workers.items()}
        job = await world.run_job("array", 1, run_s=60.0, accelerators=2.0)
        await world.until(lambda: world.running(job) == 1)
        worker, _ = world.held(job)[0]
        # The worker can't be asked by the next leader: nothing but the old report speaks for it.
        others = [(leader + 1) % 3, (leader + 2) % 3]
        for other in others:
            world.network.cut(worker.name, f"c{other}")
        world.crash(leader)
        await world.until(lambda: world.leader() not in (None, leader), limit=10)
        now = world.leader()
        assert now is not None
        status, _ = await world.call(now, "POST", "/checkin", held[worker.name])
        assert status == 200
        await curio.sleep(8)
        assert world.starts[f"{job}/0"] == 1
        for other in others:
            await world.network.heal(worker.name, f"c{other}")
        await world.until_done(job)

    World().play(monkeypatch, story)


def test_a_cancelled_job_is_gone_though_its_machine_can_not_be_reached(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``ran_cancelled``, which the world watches."""

    async def story(world: World) -> None:
        job = await world.run_job("daemon", 2)
        await world.until(lambda: world.running(job) == 2)
        leader = world.leader()
        assert leader is not None
        for worker, _ in world.held(job):
            world.network.cut(worker.name, f"c{leader}")
        assert await world.cancel(job, (leader + 1) % 3) == "cancelled"
        world.crash(leader)
        await curio.sleep(45)
        assert not world.held(job)

    World().play(monkeypatch, story)


def test_a_cancellation_overtakes_a_start_on_its_way(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        warm = await world.run_job("daemon", 1, run_s=1.0)
        await world.until(lambda: world.running(warm) == 1)
        for wait in (0.0, 0.02, 0.1, 0.5, 1.0, 2.0):
            job = await world.run_job("array", 1, run_s=90.0)
            await curio.sleep(wait)
            assert await world.cancel(job, 1) == "cancelled"
            await curio.sleep(6)
            assert not world.held(job)

    World().play(monkeypatch, story)


def test_a_team_never_exceeds_its_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards ``quota`` (watched by the world), over a change of leaders and cancelled work."""

    async def story(world: World) -> None:
        jobs = [await world.run_job("array", 6, run_s=20.0) for _ in range(4)]
        await world.until(lambda: sum(map(world.running, jobs)) == 8)
        leader = world.leader()
        assert leader is not None
        assert await world.cancel(jobs[0], leader) == "cancelled"
        world.crash(leader)
        await curio.sleep(5)
        await world.start(leader)
        for job in jobs[1:]:
            await world.until_done(job)

    World().play(monkeypatch, story)


def test_a_gang_that_loses_a_machine_starts_again_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        gang = await world.run_job("gang", 3, run_s=40.0, one_zone=True, accelerators=2.0)
        await world.until(lambda: world.running(gang) == 3)
        world.cloud.take(world.held(gang)[0][0].name)
        await world.until(lambda: world.running(gang) == 3 and len(world.starts) == 3, limit=90)
        await world.until_done(gang)

    world = World().play(monkeypatch, story)
    assert set(world.starts.values()) == {2}


def test_a_spot_notice_saves_what_can_be_saved(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        job = await world.run_job("array", 1, run_s=60.0, loaners=True, bookmark_s=30.0, stow_s=2.0)
        await world.until(lambda: world.running(job) == 1)
        worker, _ = world.held(job)[0]
        assert worker.spot
        await curio.sleep(20)
        worker.notice_end = monotonic().total_seconds() + 15
        await curio.sleep(15)
        world.cloud.take(worker.name)
        await world.until_done(job)
        assert world.fleet.jobs[job].progress > 15

    World().play(monkeypatch, story)


def test_a_job_that_fails_everywhere_does_not_take_each_freed_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the weakness that the design names: it stays below its share for ever."""

    async def story(world: World) -> None:
        bad = await world.run_job("array", 8, fails=True, accelerators=2.0)
        good = [await world.run_job("array", 4, crew="blue", run_s=15.0) for _ in range(3)]
        for job in good:
            await world.until_done(job)
        await curio.sleep(60)
        assert await world.status(bad) in ("pending", "running")
        assert await world.cancel(bad) == "cancelled"

    world = World().play(monkeypatch, story)
    tries = sum(count for task, count in world.starts.items() if task.startswith("req-000001/"))
    assert 3 <= tries <= 16


def test_a_faulty_machine_is_given_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        keep = await world.run_job("daemon", 1, accelerators=1.0)
        await world.until(lambda: world.running(keep) == 1)
        worker, _ = world.held(keep)[0]
        world.fleet.faulty.add(worker.name)
        jobs = [await world.run_job("array", 1, crew="blue", run_s=10.0) for _ in range(3)]
        for job in jobs:
            await world.until_done(job)
        assert await world.cancel(keep) == "cancelled"
        await world.until(lambda: worker.name in world.cloud.releases, limit=30)

    World().play(monkeypatch, story)


def test_a_machine_that_never_boots_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        world.cloud.never_boot = {1}
        job = await world.run_job("array", 1, run_s=10.0)
        await world.until_done(job)
        assert "i-000001" in world.cloud.releases

    World().play(monkeypatch, story)


def test_refused_rentals_go_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        world.cloud.capacity.update({("north", True): 0, ("south", True): 0, ("west", True): 0})
        world.cloud.capacity.update({("north", False): 0, ("south", False): 1})
        job = await world.run_job("array", 6, run_s=10.0, loaners=True)
        await world.until_done(job)

    World().play(monkeypatch, story)


def test_an_unexpected_machine_is_used_or_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        await curio.sleep(5)
        name = await world.cloud.add("north", spot=False, up_in=1.0)
        await world.until(lambda: name in world.cloud.releases, limit=120)

    World().play(monkeypatch, story)


def test_production_takes_room_from_what_may_be_stopped(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        for _ in range(3):
            await world.cloud.add("north", spot=False, up_in=0.5)
        batch = await world.run_job("array", 6, run_s=300.0, bookmark_s=5.0, stow_s=1.0)
        await world.until(lambda: world.running(batch) == 6)
        live = await world.run_job("daemon", 1, rank="production", crew="blue")
        assert await world.until(lambda: world.running(live) == 1, limit=20) < 12

    World().play(monkeypatch, story)


def test_a_starved_team_gets_its_guarantee_and_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        for _ in range(4):
            await world.cloud.add("north", spot=False, up_in=0.5)
        greedy = await world.run_job("array", 8, run_s=400.0, crew="blue")
        await world.until(lambda: world.running(greedy) == 8)
        poor = await world.run_job("array", 8, run_s=400.0)
        await curio.sleep(10)
        assert world.running(poor) == 0
        await world.until(lambda: world.running(poor) == 4, limit=40)
        await curio.sleep(40)
        assert (world.running(poor), world.running(greedy)) == (4, 4)

    World().play(monkeypatch, story)


def test_a_wave_takes_spot_machines_while_all_controllers_crash(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        jobs = [await world.run_job("array", 4, run_s=25.0, loaners=True) for _ in range(2)]
        await world.until(lambda: sum(map(world.running, jobs)) >= 6)
        for number in range(3):
            world.crash(number)
        for name in [m.name for m in world.cloud.machines.values() if m.spot][:2]:
            world.cloud.take(name)
        await curio.sleep(5)
        for number in range(3):
            await world.start(number)
        for job in jobs:
            await world.until_done(job)

    World().play(monkeypatch, story)


def test_a_gang_in_one_zone_does_not_begin_again_elsewhere_while_a_task_may_be_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards ``wrong_place``: a silent member still holds the gang's zone until its lease is over,
    and the next attempt may be in another zone only then (watched by the world)."""

    async def story(world: World) -> None:
        world.cloud.capacity.update({("south", False): 0, ("west", False): 0})
        gang = await world.run_job("gang", 2, run_s=60.0, one_zone=True, accelerators=2.0)
        await world.until(lambda: world.running(gang) == 2)
        worker, _ = world.held(gang)[0]
        world.cloud.capacity.update({("north", False): 0, ("south", False): 4})
        for number in range(3):
            world.network.cut(worker.name, f"c{number}")
        world.cloud.take(world.held(gang)[1][0].name)
        await world.until_done(gang)
        # The silent machine has been given back meanwhile.
        assert {w.zone for w in world.fleet.workers.values()} == {"south"}

    world = World().play(monkeypatch, story)
    assert set(world.starts.values()) == {2}


def test_controllers_restarted_one_after_the_other_lose_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        service = await world.run_job("daemon", 2, scatter=True, rank="production")
        jobs = [await world.run_job("array", 3, run_s=25.0, loaners=True) for _ in range(2)]
        await world.until(lambda: world.running(service) == 2)
        for number in range(3):
            world.crash(number)
            jobs.append(await world.run_job("array", 1, run_s=5.0))
            await curio.sleep(5)
            await world.start(number)
            await curio.sleep(5)
        for job in jobs:
            await world.until_done(job)
        assert world.running(service) == 2

    world = World().play(monkeypatch, story)
    assert all(count == 1 for count in world.starts.values())


def test_a_held_write_of_an_earlier_leader_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the records: a task ends while the leader's way to the state service holds packets,
    so its write comes through when the job is long over."""

    async def story(world: World) -> None:
        world.cloud.capacity.update(dict.fromkeys(world.cloud.capacity, 0))
        for _ in range(2):
            await world.cloud.add("north", spot=False, up_in=0.5)
        job = await world.run_job("array", 3, run_s=12.0, image_gb=0.1, accelerators=2.0)
        await world.until(lambda: world.running(job) == 2)
        leader = world.leader()
        assert leader is not None
        await curio.sleep(11.2)
        assert not world.done
        world.network.cut(f"c{leader}", "state", "hold")
        await world.until(lambda: len(world.done) == 2, limit=2)
        await world.until(lambda: world.leader() not in (None, leader), limit=10)
        await world.until_done(job)
        await curio.sleep(20)
        await world.network.heal(f"c{leader}", "state")
        await curio.sleep(8)
        left = [key for key in world.state.keys if key.startswith(("done/", "machine/"))]
        assert left == []

    World().play(monkeypatch, story)


def test_a_greeting_that_was_refused_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a worker that stays with an earlier leader: the first greeting is refused,
    since the record names a session that is over."""

    async def story(world: World) -> None:
        service = await world.run_job("daemon", 1, rank="production", image_gb=0.1)
        await world.until(lambda: world.running(service) == 1)
        worker, _ = world.held(service)[0]
        leader = world.leader()
        assert leader is not None
        for key, (data, stamp, lease) in world.state.keys.items():
            if key.startswith("machine/"):
                world.state.keys[key] = ({**data, "session": 0}, stamp, lease)
        world.network.cut(f"c{leader}", "state")
        await world.until(lambda: world.leader() not in (None, leader), limit=10)
        entry = world.state.keys["leader"]
        await world.until(lambda: worker.token == entry[1], limit=6)
        assert world.running(service) == 1

    World().play(monkeypatch, story)


@pytest.mark.parametrize(("notice", "limit"), [(4.0, 10), (None, 14)])
def test_work_of_a_taken_machine_moves_before_its_lease_is_over(
    monkeypatch: pytest.MonkeyPatch, notice: float | None, limit: float
) -> None:
    """Guards against waiting for a lease of 14 s on a machine that was announced to go, or that
    the cloud lists no more: the cloud's word on its end is certain."""

    async def story(world: World) -> None:
        # By its owner's estimate it would be done before the machine goes, so it stays.
        job = await world.run_job("array", 1, run_s=60.0, expect_s=1.0, loaners=True, image_gb=0.5)
        await world.until(lambda: world.running(job) == 1)
        await curio.sleep(15)
        worker, _ = world.held(job)[0]
        if notice is not None:
            worker.notice_end = monotonic().total_seconds() + notice
            await curio.sleep(notice)
        world.cloud.take(worker.name)
        assert await world.until(lambda: world.running(job) == 1, limit=60) < limit
        await world.until_done(job)

    World(boot_s=2.0).play(monkeypatch, story)


def test_what_can_neither_save_nor_end_leaves_a_machine_that_is_to_be_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(world: World) -> None:
        long = await world.run_job("array", 1, run_s=90.0, loaners=True, expect_s=90.0)
        short = await world.run_job("array", 1, run_s=20.0, loaners=True, expect_s=20.0)
        await world.until(lambda: world.running(long) == 1 and world.running(short) == 1)
        worker, _ = world.held(long)[0]
        assert world.held(short)[0][0] is worker
        await curio.sleep(5)
        worker.notice_end = monotonic().total_seconds() + 25
        await curio.sleep(8)
        # The long one is on its way elsewhere, the short one goes on and ends in time.
        assert all(w is not worker for w, _ in world.held(long))
        assert world.running(short) == 1
        await world.until(lambda: world.running(long) == 1, limit=12)
        await world.until_done(short)
        world.cloud.take(worker.name)
        await world.until_done(long)

    world = World(boot_s=4.0).play(monkeypatch, story)
    assert sorted(world.starts.values()) == [1, 2]
