"""Free capacity at the start of a scheduling cycle: machines up, booting, or requested."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.instance_offers import InstanceOffer
from micadeal.fleet.machines import FreeCapacity, Machine
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.cloud import MachineType

#: A machine without a heartbeat for this many heartbeat intervals gets no new work.
MAX_MISSED_HEARTBEATS = 2.6


def heartbeat_timeout(cluster: ClusterState) -> timedelta:
    """Return for how long after its last heartbeat a machine still gets new work."""
    return cluster.workers.heartbeat_interval * MAX_MISSED_HEARTBEATS


def build_capacities(
    cluster: ClusterState, now: timedelta, pending_rentals: Counter[InstanceOffer]
) -> list[MachineCapacity]:
    """Return the capacities of machines that are up, booting, or requested from the cloud."""
    timeout = heartbeat_timeout(cluster)
    capacities: list[MachineCapacity] = []
    for machine in cluster.machines.values():
        kind = cluster.types.get(machine.machine_type)
        if (
            kind is None
            or machine.draining
            or machine.lease_expired
            or machine.reclaim_expected_at is not None
        ):
            continue
        usable = machine.usable(now, timeout)
        if usable or _may_become_usable(cluster, machine, kind, timeout, now):
            capacities.append(_machine_capacity(cluster, machine, kind, usable, len(capacities)))
    for offer, count in pending_rentals.items():
        kind = cluster.types.get(offer.machine_type)
        if kind is not None:
            for number in range(count):
                name = f"asked for {offer.zone} {offer.spot} {number}"
                capacities.append(empty_capacity(name, offer, kind, len(capacities), planned=False))
    return capacities


def _may_become_usable(
    cluster: ClusterState, machine: Machine, kind: MachineType, timeout: timedelta, now: timedelta
) -> bool:
    """Return whether capacity may be reserved on a machine that can't get work yet."""
    if machine.up:
        return not machine.has_current_token and not _token_overdue(machine, now, timeout)
    # If the machine's boot is overdue, pending work gets capacity elsewhere.  If the machine comes
    # up after all, it is used or returned.
    return not cluster.boot_times.is_late(machine, seconds(kind.boot_s), now)


def _token_overdue(machine: Machine, now: timedelta, timeout: timedelta) -> bool:
    """Return whether a machine that has sent messages should have shown this leader's token by now.

    An overdue machine does not receive this leader's answers, or it is gone and its messages were
    delayed by the network.
    """
    return (
        machine.reachability.receives_no_responses
        or machine.up_since is None
        or now - machine.up_since > timeout
    )


def empty_capacity(
    name: str, offer: InstanceOffer, kind: MachineType, order: int, planned: bool
) -> MachineCapacity:
    """Return the capacity of a machine that is not up yet."""
    return MachineCapacity(
        name,
        offer.machine_type,
        offer.zone,
        offer.spot,
        kind.cpus,
        kind.gpus,
        kind.memory_gb,
        up=False,
        planned=planned,
        order=order,
    )


def _machine_capacity(
    cluster: ClusterState, machine: Machine, kind: MachineType, usable: bool, order: int
) -> MachineCapacity:
    free = machine.free_capacity
    if free is None:
        # Computed again only after a change on the machine (``ClusterState`` clears it).
        free = machine.free_capacity = _free_capacity(cluster, machine, kind)
    # Positional arguments for speed: this runs for every machine in every cycle.
    return MachineCapacity(
        machine.name,
        machine.machine_type,
        machine.zone,
        machine.spot,
        free.cpus,
        free.gpus,
        free.memory_gb,
        usable,
        False,
        free.images,
        free.fetching,
        free.tasks,
        free.on_demand_tasks,
        0,
        order,
        machine.reserved_for if machine.preempted_for is None else machine.preempted_for.job_id,
        machine.preempted_for is None and machine.reserved_for is not None,
    )


def _free_capacity(cluster: ClusterState, machine: Machine, kind: MachineType) -> FreeCapacity:
    cpus, gpus, memory_gb = kind.cpus, kind.gpus, kind.memory_gb
    on_demand_tasks = 0
    fetching: set[str] = set()
    for attempt in machine.attempts.values():
        spec = cluster.jobs[attempt.job_id].spec
        cpus -= spec.cpus
        gpus -= spec.gpus
        memory_gb -= spec.memory_gb
        if not spec.spot_allowed:
            on_demand_tasks += 1
        if attempt.running_since is None and spec.image in machine.images:
            fetching.add(spec.image)
    return FreeCapacity(
        cpus,
        gpus,
        memory_gb,
        len(machine.attempts),
        on_demand_tasks,
        frozenset(_cached_images(cluster, machine, kind) - fetching),
        frozenset(fetching),
    )


def _cached_images(cluster: ClusterState, machine: Machine, kind: MachineType) -> set[str]:
    """Return the images that the machine's cache still holds, judged by the known sizes."""
    cached: set[str] = set()
    total = 0.0
    for image in sorted(machine.images, key=lambda name: machine.images[name], reverse=True):
        total += cluster.image_sizes.get(image, 0.0)
        if total > kind.cache_gb > 0:
            break
        cached.add(image)
    return cached
