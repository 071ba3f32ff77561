"""One accepted submission keeps every later leader from taking over."""

from __future__ import annotations

from pathlib import Path

import curio
from case_world import CaseError, CaseWorld, main, trouble

#: A share of a core that is above 0, so it is accepted.
TINY_SHARE = 1e-310
#: "no job is left waiting for 90 s while a machine that fits has room"
LONGEST_WAIT_S = 90.0
RESTART_S = 5.0


async def scenario(world: CaseWorld) -> list[str]:
    """Submit one odd job; then the leader crashes and comes back."""
    await world.begin(["north", "south"])
    service = await world.run_job("daemon", 1, crew="blue", image_gb=0.5, rank="production")
    await world.wait_for(lambda: world.running(service) == 1, 20, "the service runs")
    share = TINY_SHARE if trouble() else 1.0
    odd = world.job("gang", 1, run_s=2.0, vcpus=share, accelerators=0.0, ram_gb=0.0)
    await world.submit_once(odd, 1)
    await curio.sleep(1)
    leader = world.leader()
    if leader is None:
        raise CaseError("no leader")
    world.crash(leader)
    world.note(f"c{leader} ends (SIGKILL)")
    wanted = world.job("array", 1, run_s=3.0, image_gb=0.5, crew="blue")
    await curio.sleep(RESTART_S)
    await world.start(leader)
    world.note(f"c{leader} is started again")
    await world.submit(wanted)
    waited = await world.longest_wait(wanted, LONGEST_WAIT_S, 2)
    if waited <= LONGEST_WAIT_S:
        return []
    return [f"{wanted} waits for {waited:.0f} s while a machine has room for it"]


main(Path(__file__).parent / "record.txt", scenario)
