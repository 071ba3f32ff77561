"""Rooms of the leader's picture: what is free on machines up and booting, and on ones asked for."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import FreeCapacity, Machine
from micadeal.placement.bin_packing import MachineCapacity
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.cloud import MachineType

#: A machine that has not been heard of for so many report intervals gets no new work.
SILENT_HEARTBEATS = 2.6


def build_capacities(
    cluster: ClusterState, now: timedelta, pending: Counter[InstanceOffer]
) -> list[MachineCapacity]:
    """Rooms of machines that are up or booting, and of those asked for but not answered yet."""
    silence = cluster.workers.heartbeat_interval * SILENT_HEARTBEATS
    capacities: list[MachineCapacity] = []
    for machine in cluster.machines.values():
        kind = cluster.types.get(machine.machine_type)
        if kind is None or machine.draining or machine.lost or machine.notice_end is not None:
            continue
        usable = machine.usable(now, silence)
        if (
            not usable
            and machine.up
            and (machine.has_our_token or _unproven(machine, now, silence))
        ):
            continue
        if not machine.up and cluster.boot_times.late(machine, seconds(kind.boot_s), now):
            # What waits gets room elsewhere; if it comes after all, it is used or returned.
            continue
        capacities.append(_room(cluster, machine, kind, usable, len(capacities)))
    for offer, count in pending.items():
        kind = cluster.types.get(offer.machine_type)
        if kind is not None:
            for number in range(count):
                name = f"asked for {offer.zone} {offer.spot} {number}"
                capacities.append(empty_capacity(name, offer, kind, len(capacities), wish=False))
    return capacities


def _unproven(machine: Machine, now: timedelta, silence: timedelta) -> bool:
    """Whether a machine that has reported, but not shown our token, should have shown it by now: it
    does not hear us, or is gone and what came was held up by the network."""
    return (
        machine.reachability.receives_nothing
        or machine.up_since is None
        or now - machine.up_since > silence
    )


def empty_capacity(
    name: str, offer: InstanceOffer, kind: MachineType, order: int, wish: bool
) -> MachineCapacity:
    return MachineCapacity(
        name,
        offer.machine_type,
        offer.zone,
        offer.spot,
        kind.cpus,
        kind.gpus,
        kind.memory_gb,
        up=False,
        wish=wish,
        order=order,
    )


def _room(
    cluster: ClusterState, machine: Machine, kind: MachineType, usable: bool, order: int
) -> MachineCapacity:
    shape = machine.shape
    if shape is None:
        # Derived anew only when something on the machine has changed (``ClusterState`` clears it).
        shape = machine.shape = _shape(cluster, machine, kind)
    return MachineCapacity(
        machine.name,
        machine.machine_type,
        machine.zone,
        machine.spot,
        shape.cpus,
        shape.gpus,
        shape.memory_gb,
        usable,
        False,
        shape.images,
        shape.fetching,
        shape.tasks,
        shape.bound_tasks,
        0,
        order,
        machine.reserved_for if machine.preempted_for is None else machine.preempted_for[0],
        machine.preempted_for is None and machine.reserved_for is not None,
    )


def _shape(cluster: ClusterState, machine: Machine, kind: MachineType) -> FreeCapacity:
    cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
    bound = 0
    fetching: set[str] = set()
    for attempt in machine.attempts.values():
        spec = cluster.jobs[attempt.job_id].spec
        cpus -= spec.cpus
        gpus -= spec.gpus
        memory -= spec.memory_gb
        if not spec.spot_allowed:
            bound += 1
        if attempt.running_since is None and spec.image in machine.images:
            fetching.add(spec.image)
    return FreeCapacity(
        cpus,
        gpus,
        memory,
        len(machine.attempts),
        bound,
        frozenset(_in_cache(cluster, machine, kind) - fetching),
        frozenset(fetching),
    )


def _in_cache(cluster: ClusterState, machine: Machine, kind: MachineType) -> set[str]:
    """Images that the machine still holds, as far as sizes seen in jobs tell."""
    kept: set[str] = set()
    total = 0.0
    for image in sorted(machine.images, key=lambda name: machine.images[name], reverse=True):
        total += cluster.image_sizes.get(image, 0.0)
        if total > kind.cache_gb > 0:
            break
        kept.add(image)
    return kept
