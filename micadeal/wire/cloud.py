"""Messages between a controller and the cloud: machine types, rentals and the machine list."""

from __future__ import annotations

import msgspec


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "sku",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "ram_gb",
        "cache_gb": "local_gb",
        "price": "hourly",
        "spot_price": "low_price",
        "zones": "depots",
    },
):
    """A type of machine in the cloud's ``Catalog``, with its current prices.

    ``cpus``, ``gpus`` and ``memory_gb`` are the amounts that tasks can use on such a machine.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    #: Space for images.
    cache_gb: float
    fetch_gb_per_s: float
    #: Price per hour as an on-demand machine.
    price: float
    #: Usual time from the rental request until the machine has booted.
    boot_s: float
    #: Zones that offer it.
    zones: list[str]
    #: Price per hour as a spot machine; None: not offered as one.
    spot_price: float | None = None


class Catalog(msgspec.Struct, rename={"types": "rigs"}):
    """The cloud's answer to ``GET /catalog``."""

    types: list[MachineType]


class RentalRequest(
    msgspec.Struct,
    frozen=True,
    rename={
        "request": "hire",
        "machine_type": "rig",
        "zone": "depot",
        "spot": "loaners",
        "count": "how_many",
    },
):
    """A controller's request for machines, sent to ``POST /rentals``."""

    #: Unique name of the request; repeating it under the same name rents no more machines.
    request: str
    machine_type: str
    zone: str
    spot: bool
    #: Machines wanted, at most 50; the cloud may rent fewer.
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
    """Names of machines.

    The cloud's answer to a ``RentalRequest`` (the rented machines), and a controller's request to
    ``POST /rentals/release`` (the machines to return, at most 100).
    """

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "name_id",
        "address": "addr",
        "machine_type": "rig",
        "zone": "depot",
        "spot": "loaners",
        "age_s": "held_s",
    },
):
    """A rented machine in the cloud's ``MachineList``."""

    name: str
    #: ``host:port`` of its worker.
    address: str
    machine_type: str
    zone: str
    spot: bool
    #: ``booting``, ``running`` or ``failed``.
    status: str
    #: Time from the rental request to the time that the list describes.
    age_s: float


class MachineList(msgspec.Struct, rename={"machines": "hosts", "more": "has_next"}):
    """One page of the cloud's answer to ``GET /rentals``, sorted by name; it may be out of date."""

    machines: list[ListedMachine]
    #: Whether another page follows.
    more: bool = False
