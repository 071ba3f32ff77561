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
    """A type of machine in the cloud's ``Catalog``, with its present prices.

    ``cpus``, ``gpus`` and ``memory_gb`` are what tasks can take of such a machine.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    #: Space for images.
    cache_gb: float
    fetch_gb_per_s: float
    #: Per hour, as an ordinary machine.
    price: float
    #: Usual time from the rental request until the machine is up.
    boot_s: float
    #: Where it is offered.
    zones: list[str]
    #: Per hour, as a spot machine; None: not offered as one.
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
    """What a controller sends to ``POST /rentals`` to rent machines."""

    #: The request's unique name: repeated with the same one, it rents nothing more.
    request: str
    machine_type: str
    zone: str
    spot: bool
    #: Machines wanted, at most 50; the cloud may rent fewer.
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
    """Names of machines.

    The cloud's answer to a ``RentalRequest`` (those rented), and what a controller sends to
    ``POST /rentals/release`` (those to delete, at most 100).
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
    #: Since the rental request, at the time that the list describes.
    age_s: float


class MachineList(msgspec.Struct, rename={"machines": "hosts", "more": "has_next"}):
    """One page of the cloud's answer to ``GET /rentals``, in order of names; it lags."""

    machines: list[ListedMachine]
    #: Whether another page follows.
    more: bool = False
