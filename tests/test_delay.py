"""Delay scheduling (design, 4.8), with the image in place of the input data."""

from __future__ import annotations

from micadeal.clock import seconds
from micadeal.jobs.model import Job
from micadeal.scheduling.pending_reasons import WAITS_FOR_IMAGE
from micadeal.wire.users import Priority, Shape
from tests.fakes.random_clusters import RandomDeployment

SCAN = {
    "job_class": "scan", "shape": Shape.ARRAY, "priority": Priority.STANDARD, "tasks": 1,
    "cpus": 5.0, "gpus": 1.0, "memory_gb": 20.0, "spread": False, "one_zone": False,
    "spot_allowed": True, "image": "wanted", "image_gb": 12.0, "estimate_s": 50.0,
}  # fmt: skip


def busy_deployment(machines_with_image: int) -> RandomDeployment:
    """Return one where spot machines that cache the image are full, and one without it is free."""
    deployment = RandomDeployment(2 * machines_with_image + 2, 0)
    job = deployment.submit(**(SCAN | {"tasks": 2 * machines_with_image, "estimate_s": 30.0}))
    deployment.scheduler.run_cycle(deployment.now)
    assert len(deployment.scheduler.plan.placed) == 2 * machines_with_image
    deployment.cluster.placements_written("placed/7/1", list(job.all_attempts()), deployment.now)
    for _ in range(2):
        for name in deployment.cluster.machines:
            deployment.heartbeat(name)
    deployment.now += seconds(30)
    for name in deployment.cluster.machines:
        deployment.heartbeat(name)
    return deployment


def runs_after_cycle(deployment: RandomDeployment, job: Job) -> bool:
    deployment.scheduler.run_cycle(deployment.now)
    return bool(job.attempts)


def test_a_job_waits_for_its_image_only_if_capacity_frees_soon() -> None:
    """Fetching 12 GB at 0.6 GB/s takes 20 s: a job waits up to 10 s if a task is likely to end."""
    few = busy_deployment(1)
    assert runs_after_cycle(few, few.submit(**SCAN)) is True
    many = busy_deployment(20)
    job = many.submit(**SCAN)
    assert runs_after_cycle(many, job) is False
    assert job.reasons[WAITS_FOR_IMAGE] == 1
    many.now += seconds(9)
    for name in many.cluster.machines:
        many.heartbeat(name)
    assert runs_after_cycle(many, job) is False
    many.now += seconds(2)
    for name in many.cluster.machines:
        many.heartbeat(name)
    assert runs_after_cycle(many, job) is True


def test_no_more_tasks_wait_than_capacity_is_expected_for() -> None:
    """Guards against a large array that leaves free machines empty."""
    deployment = busy_deployment(20)
    job = deployment.submit(**(SCAN | {"tasks": 20}))
    deployment.scheduler.run_cycle(deployment.now)
    # Of 40 tasks of 30 s each, about 13 are likely to end in 10 s: too few for 20 to wait.
    assert len(job.attempts) == 2


def test_a_service_does_not_wait_for_its_image() -> None:
    deployment = busy_deployment(20)
    live = {"shape": Shape.SERVICE, "priority": Priority.PRODUCTION, "spot_allowed": True}
    assert runs_after_cycle(deployment, deployment.submit(**(SCAN | live))) is True
