"""Loads into the cluster state what earlier leaders recorded in the state service."""

from __future__ import annotations

from datetime import timedelta

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Attempt, Machine
from micadeal.ordered_set import OrderedSet
from micadeal.scheduling.cluster_state import ClusterState, placeholder_job
from micadeal.wire.state import EndRecord, ImagesRecord, PlacedMachine, PlacedRecord, PlacedTask


def load_placements(cluster: ClusterState, key: str, record: PlacedRecord, now: timedelta) -> None:
    """Load a placement record: every attempt that it names may be on a machine."""
    cluster.records.setdefault(key, OrderedSet())
    if not record.machines:
        # Emptied by an earlier leader that could not delete it.
        cluster.stale_records.setdefault(key, now)
    for entry in record.machines:
        machine = _load_machine(cluster, entry, now)
        for placed in entry.tasks:
            _load_attempt(cluster, key, machine, placed, now)


def load_images(cluster: ClusterState, record: ImagesRecord, now: timedelta) -> None:
    """Load which images machines are likely to hold; the record lists the latest first."""
    for name, images in record.machines.items():
        machine = cluster.machines.get(name)
        if machine is not None:
            for age, image in enumerate(images):
                machine.images.setdefault(image, now - seconds(age + 1))
            machine.free_capacity = None


def load_ended_job(cluster: ClusterState, job_id: str, end: EndRecord) -> None:
    """Add a job that is over: its tasks that may be on machines still count for its team."""
    cluster.jobs[job_id] = placeholder_job(job_id, end.team, end.cpus, end.gpus, end.memory_gb)


def _load_machine(cluster: ClusterState, entry: PlacedMachine, now: timedelta) -> Machine:
    machine = cluster.machines.get(entry.name)
    if machine is None:
        machine = cluster.machines[entry.name] = Machine(
            entry.name, entry.address, entry.machine_type, entry.zone, entry.spot, now, now
        )
    # Records are immutable, so the one with the higher incarnation is the newer one.
    if entry.incarnation >= machine.incarnation:
        machine.incarnation, machine.address = entry.incarnation, entry.address
    return machine


def _load_attempt(
    cluster: ClusterState, key: str, machine: Machine, placed: PlacedTask, now: timedelta
) -> None:
    job = cluster.job_or_placeholder(placed.job_id)
    attempt = Attempt(placed.job_id, placed.index, placed.attempt, machine.name, now, record=key)
    attempt.reported_started = placed.job_id in cluster.fully_started_jobs
    if attempt.key in machine.attempts:
        # Another record names it already, so this one is redundant.
        cluster.stale_records.setdefault(key, now)
        return
    cluster.add_attempt(job, machine, attempt)
    if job.ended:
        cluster.stop(attempt, ZERO, now)
