"""Delay scheduling (source, 4.8), with the image in the place of the data."""

from __future__ import annotations

from micadeal.clock import seconds
from micadeal.jobs.model import Job
from micadeal.scheduling.pending_reasons import WAITS_FOR_IMAGE
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import Picture

SCAN = {
    "job_class": "scan", "shape": Shape.ARRAY, "priority": Priority.STANDARD, "tasks": 1,
    "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0, "spread": False, "one_zone": False,
    "spot_allowed": True, "image": "wanted", "image_gb": 12.0, "estimate_s": 50.0,
}  # fmt: skip


def busy(machines_with_image: int) -> Picture:
    """Spot machines that hold the image and are full, and one that is free and does not."""
    picture = Picture(2 * machines_with_image + 2, 0)
    job = picture.submit(**(SCAN | {"tasks": 2 * machines_with_image, "estimate_s": 30.0}))
    picture.scheduler.run_cycle(picture.now)
    assert len(picture.scheduler.plan.placed) == 2 * machines_with_image
    picture.cluster.written("placed/7/1", list(job.all_attempts()), picture.now)
    for _ in range(2):
        for name in picture.cluster.machines:
            picture.heartbeat(name)
    picture.now += seconds(30)
    for name in picture.cluster.machines:
        picture.heartbeat(name)
    return picture


def placed(picture: Picture, job: Job) -> bool:
    picture.scheduler.run_cycle(picture.now)
    return bool(job.attempts)


def test_a_job_waits_for_its_image_only_where_room_is_about_to_come() -> None:
    """12 GB at 0.6 GB/s are 20 s of fetching: worth 10 s of waiting if a task is likely to end."""
    few = busy(1)
    assert placed(few, few.submit(**SCAN)) is True
    many = busy(20)
    job = many.submit(**SCAN)
    assert placed(many, job) is False
    assert job.reasons[WAITS_FOR_IMAGE] == 1
    many.now += seconds(9)
    for name in many.cluster.machines:
        many.heartbeat(name)
    assert placed(many, job) is False
    many.now += seconds(2)
    for name in many.cluster.machines:
        many.heartbeat(name)
    assert placed(many, job) is True


def test_no_more_tasks_wait_than_room_is_likely_to_come_for() -> None:
    """Guards against a large array that leaves free machines empty."""
    picture = busy(20)
    job = picture.submit(**(SCAN | {"tasks": 20}))
    picture.scheduler.run_cycle(picture.now)
    # 40 tasks of 30 s each: some 13 are likely to end in 10 s, the others need not wait.
    assert len(job.attempts) == 2


def test_a_service_does_not_wait_for_its_image() -> None:
    picture = busy(20)
    live = {"shape": Shape.SERVICE, "priority": Priority.PRODUCTION, "spot_allowed": True}
    assert placed(picture, picture.submit(**(SCAN | live))) is True
