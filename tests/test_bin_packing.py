"""Bin packing: the choice of machines for tasks and gangs."""

from __future__ import annotations

from collections import Counter

from micadeal.placement.bin_packing import ZoneRule, choose_gang, choose_machine
from micadeal.placement.machine_capacity import MachineCapacity
from micadeal.wire.users import Shape
from tests.fakes.submissions import spec


def capacity(name: str, zone: str = "north", **fields: object) -> MachineCapacity:
    values: dict[str, object] = {"spot": False, "cpus": 8.0, "gpus": 2.0, "memory_gb": 64.0}
    values.update(fields)
    return MachineCapacity(name, "box", zone, **values)  # type: ignore[arg-type]


def test_machine_is_chosen_by_zone_rule_then_image_then_fullness() -> None:
    capacities = [
        capacity("a"),
        capacity("b", images=frozenset({"img"})),
        capacity("c", gpus=1.0, tasks=1),
    ]
    chosen = choose_machine(spec(), capacities, ZoneRule(spec()), False)
    assert chosen is not None and chosen.name == "b"
    spread = spec(spread=True, tasks=3)
    rule = ZoneRule(spread, Counter(north=2))
    assert choose_machine(spread, capacities, rule, False) is None
    assert choose_machine(spec(spot_allowed=True), capacities[:2], ZoneRule(spec()), False) is None
    assert choose_machine(spec(), [capacity("s", spot=True)], ZoneRule(spec()), False) is None


def test_gang_is_placed_whole_in_one_zone_or_not_at_all() -> None:
    gang = spec(shape=Shape.GANG, tasks=3, one_zone=True, gpus=2.0)
    northern = [capacity(f"n{number}") for number in range(2)]
    southern = [capacity(f"s{number}", "south") for number in range(3)]
    capacities = northern + southern
    chosen = choose_gang(gang, capacities, False)
    assert chosen is not None and {machine.zone for machine in chosen} == {"south"}
    assert choose_gang(gang, capacities, False) is None
    assert all(machine.gpus == 2.0 for machine in capacities if machine.zone == "north")
