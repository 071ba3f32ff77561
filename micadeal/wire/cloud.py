"""The cloud's catalog, rentals and machine list."""

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
    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    boot_s: float
    zones: list[str]
    spot_price: float | None = None


class Catalog(msgspec.Struct, rename={"types": "rigs"}):
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
    request: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
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
    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    status: str
    age_s: float


class MachineList(msgspec.Struct, rename={"machines": "hosts", "more": "has_next"}):
    machines: list[ListedMachine]
    more: bool = False
