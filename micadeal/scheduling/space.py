"""Rooms of the leader's picture: what is free on machines up and booting, and on ones asked for."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from micadeal.clock import seconds
from micadeal.fleet.model import Machine, MachineShape
from micadeal.fleet.offers import Offer
from micadeal.placement.rooms import Room
from micadeal.scheduling.cluster import Cluster
from micadeal.wire.cloud import MachineType

#: A machine that has not been heard of for so many report intervals gets no new work.
SILENT_REPORTS = 2.6


def build_rooms(cluster: Cluster, now: timedelta, pending: Counter[Offer]) -> list[Room]:
    """Rooms of machines that are up or booting, and of those asked for but not answered yet."""
    silence = cluster.workers.report * SILENT_REPORTS
    rooms: list[Room] = []
    for machine in cluster.machines.values():
        kind = cluster.types.get(machine.machine_type)
        if kind is None or machine.leaving or machine.lost or machine.notice_end is not None:
            continue
        usable = machine.usable(now, silence)
        if not usable and machine.up and (machine.knows_us or _unproven(machine, now, silence)):
            continue
        if not machine.up and cluster.boots.late(machine, seconds(kind.boot_s), now):
            # What waits gets room elsewhere; if it comes after all, it is used or returned.
            continue
        rooms.append(_room(cluster, machine, kind, usable, len(rooms)))
    for offer, count in pending.items():
        kind = cluster.types.get(offer.machine_type)
        if kind is not None:
            for number in range(count):
                name = f"asked for {offer.zone} {offer.spot} {number}"
                rooms.append(empty_room(name, offer, kind, len(rooms), wish=False))
    return rooms


def _unproven(machine: Machine, now: timedelta, silence: timedelta) -> bool:
    """Whether a machine that has reported, but not shown our token, should have shown it by now: it
    does not hear us, or is gone and what came was held up by the network."""
    return machine.contact.deaf or machine.up_since is None or now - machine.up_since > silence


def empty_room(name: str, offer: Offer, kind: MachineType, order: int, wish: bool) -> Room:
    return Room(
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


def _room(cluster: Cluster, machine: Machine, kind: MachineType, usable: bool, order: int) -> Room:
    shape = machine.shape
    if shape is None:
        # Derived anew only when something on the machine has changed (``Cluster`` clears it).
        shape = machine.shape = _shape(cluster, machine, kind)
    return Room(
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
        machine.kept_for if machine.cleared_for is None else machine.cleared_for[0],
        machine.cleared_for is None and machine.kept_for is not None,
    )


def _shape(cluster: Cluster, machine: Machine, kind: MachineType) -> MachineShape:
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
    return MachineShape(
        cpus,
        gpus,
        memory,
        len(machine.attempts),
        bound,
        frozenset(_in_cache(cluster, machine, kind) - fetching),
        frozenset(fetching),
    )


def _in_cache(cluster: Cluster, machine: Machine, kind: MachineType) -> set[str]:
    """Images that the machine still holds, as far as sizes seen in jobs tell."""
    kept: set[str] = set()
    total = 0.0
    for image in sorted(machine.images, key=lambda name: machine.images[name], reverse=True):
        total += cluster.image_sizes.get(image, 0.0)
        if total > kind.cache_gb > 0:
            break
        kept.add(image)
    return kept
