"""A job waits for a machine that never comes up, beside an idle machine with room for it."""

from __future__ import annotations

from pathlib import Path

from case_world import CaseError, CaseWorld, main, trouble

TEAMS = """
[[cluster.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
[[cluster.teams]]
name = "blue"
gpus = 4.0
gpus_max = 12.0
[[cluster.objectives]]
kind = "wait"
class = "live"
within_s = 6.0
share = 0.82
"""
BOOT_S = 45.0
#: "usually 0.6 to 1.5 times `boot_s`"
BOOT_FACTOR = 0.6
LONGEST_WAIT_S = 90.0
MACHINES = 2


async def scenario(world: CaseWorld) -> list[str]:
    """Fill one machine with a service, keep one warm for it, and submit a job for spot machines."""
    world.cloud.boot_time_factor = BOOT_FACTOR
    await world.begin(["north", "south"])
    service = await world.run_job(
        "daemon", MACHINES, crew="blue", image_gb=0.5, rank="production", lane="live"
    )
    await world.wait_for(lambda: world.running(service) == MACHINES, 20, "the service runs")
    if len({worker.name for worker, _ in world.tasks_on_machines(service)}) != 1:
        raise CaseError("the service runs on two machines")
    if trouble():
        world.cloud.never_boot = {MACHINES + 1}
    wanted = await world.run_job("array", 1, run_s=3.0, image_gb=0.5, loaners=True)
    waited = await world.longest_wait(wanted, LONGEST_WAIT_S, 2)
    leader = world.leader()
    if leader is None:
        raise CaseError("no leader")
    await world.call(leader, "GET", f"/why/{wanted}")
    world.note(f"machines of the cloud: {sorted(world.cloud.machines.values(), key=str)}")
    if waited <= LONGEST_WAIT_S:
        return []
    return [f"{wanted} waits for {waited:.0f} s while a machine has room for it"]


main(Path(__file__).parent / "record.txt", scenario, teams=TEAMS, boot_s=BOOT_S)
