# ruff: noqa: PLR2004, T201 - a script
"""One job is submitted with a mistake: does a job of another team start?  See claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
#: What was sent, answered and run; written anew by each run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import Site, User, job, now, run_case  # noqa: E402

#: The site of the practice tests, with two of its five teams.
CLUSTER = """
[cluster]
skew_ms = 250.0
[[cluster.teams]]
name = "content-desk"
gpus = 16.0
gpus_max = 64.0
[[cluster.teams]]
name = "support-line"
gpus = 16.0
gpus_max = 56.0
[cluster.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 34.0
[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 16
[cluster.cloud]
rps = 5.0
list_lag_s = 4.0
[cluster.quota]
core_share = 0.6
ram_mb = 146.0
max_connections = 1500
"""
HARBOR_16 = {
    "sku": "harbor-16", "vcpus": 16.0, "accelerators": 2.0, "ram_gb": 64.0, "local_gb": 70.0,
    "fetch_gb_per_s": 0.6, "hourly": 7.19, "low_price": 2.64, "boot_s": 45.0,
    "depots": ["erie-east", "toledo-north", "duluth-west"],
}  # fmt: skip
MACHINES = 4
#: What a client sends that doesn't know the size of the image: the largest 64-bit integer.
MISTAKEN_GB = float(2**63)
IMAGE_GB = 6.0
#: The bound of the rule.
LEFT_WAITING_S = 90.0


async def main(trouble: bool) -> int:
    """Play the case; 1: the job of the other team was left waiting, 0: it started."""
    site = Site(RECORD, CLUSTER, HARBOR_16, HARBOR_16["depots"], boot_s=1.0)
    try:
        for number in range(MACHINES):
            await site.cloud.add(HARBOR_16["depots"][number % 3], spot=False)
        await site.begin()
        if not await site.wait_ready(15.0):
            return 2
        await asyncio.sleep(4.0)
        user = User(site)
        rescore = {"vcpus": 6.0, "accelerators": 1.0, "ram_gb": 24.0, "expect_s": 100.0}
        first = job(
            "req-000001", crew="content-desk", build="img-07",
            image_gb=MISTAKEN_GB if trouble else IMAGE_GB, rank="high", **rescore,
        )  # fmt: skip
        # A sound worker would not come to the end of the fetch.
        status, _ = await user.send(0, "POST", "/work", first, 5.0)
        site.jobs["req-000001"], site.run_s["req-000001"] = first, 100.0
        if trouble and status == 400:
            site.record.write("result: the job with the mistake was refused")
        await asyncio.sleep(2.0)
        later = "req-000002"
        if not await user.submit(
            job(later, crew="support-line", build="img-08", image_gb=0.6, **rescore), 30.0
        ):
            return 2
        waits_from = now()
        while now() - waits_from <= LEFT_WAITING_S:
            if any(event[1:3] == ("start", f"{later}/0") for event in site.task_events):
                site.record.write(f"result: {later} started")
                return 0
            await asyncio.sleep(0.2)
        idle = sum(not worker.tasks for worker in site.cloud.workers.values())
        line = (
            f"{later}: {await user.poll(later)} after {now() - waits_from:.1f} s, while {idle} of"
            f" {len(site.cloud.workers)} machines have no task"
        )
        site.record.write("result: " + line)
        print(line)
        return 1
    finally:
        site.end()


run_case(main)
