"""A gang that can never run is accepted."""

from __future__ import annotations

from pathlib import Path

import curio
from case_world import CaseError, CaseWorld, main, trouble

ACCEPTED = (200, 201)
UNSCHEDULABLE = 422
OBSERVE_S = 60.0


async def scenario(world: CaseWorld) -> list[str]:
    """Submit a gang that must be spread over zones, and stay in one of them."""
    await world.begin(["north", "south"])
    zone = "north" if trouble() else None
    gang = world.job("gang", 4, run_s=3.0, image_gb=0.2, scatter=True, depot=zone)
    status = await world.submit_once(gang, 1)
    if status == UNSCHEDULABLE:
        return []
    if status not in ACCEPTED:
        raise CaseError(f"the submission got {status}")
    deadline = world.now() + OBSERVE_S
    while world.now() < deadline and not world.all_tasks_done(gang):
        await curio.sleep(5)
        await world.status(gang, 2)
    if world.rules.starts:
        return []
    return [f"{gang} was accepted, but at most 2 of its 4 tasks may be in its only zone"]


main(Path(__file__).parent, scenario)
