"""Settings of an in-memory deployment: three controllers in three zones, and two teams."""

from __future__ import annotations

from tests.fakes import cloud as cloud_fake
from tests.fakes import state as state_fake

ZONES = ["north", "south", "west"]
#: How long a worker keeps its tasks running without a response to its heartbeats.
LEASE_S = 14.0
#: The last task of a job ends within this time of its cancellation confirmation.
CANCEL_S = 34.0
#: After this time every controller has been in contact with its peers for long enough to renew
#: leases as a follower.
FOLLOWERS_RENEW_AFTER_S = CANCEL_S + 4
#: Default limit of the state service: changes per second.
CHANGES_PER_S = 50.0
#: Limits that the state service announces for the future, lower than the current ones.
ANNOUNCED_STATE_LIMITS = """[cluster.state.next]
write_rps = 18.0
value_kb = 2.0
txn_ops = 5
"""


def settings(
    number: int,
    teams: str,
    announced_limits: str = "",
    removed: int | None = None,
    changes: float = CHANGES_PER_S,
) -> str:
    """Return the settings file of controller ``number``.

    ``teams`` and ``announced_limits`` are sections of the file.  ``removed`` is a controller that
    is missing from the list of seeds.  ``changes`` is the state service's limit of writes per
    second.
    """
    seeds = "".join(
        f'[[seeds]]\nmember = "c{i}"\ndomain = "{ZONES[i]}"\nendpoint = "10.0.0.{i + 1}:8081"\n'
        for i in range(3)
        if i not in (number, removed)
    )
    return f"""
member = "c{number}"
domain = "{ZONES[number]}"
api_addr = "10.0.0.{number + 1}:8080"
mesh_addr = "10.0.0.{number + 1}:8081"
{seeds}
[endpoints]
cloud = "{cloud_fake.ADDRESS}"
state = "{state_fake.ADDRESS}"
[cluster]
size = 3
zones = ["north", "south", "west"]
skew_ms = 250.0
{teams}
[cluster.workers]
report_s = 2.0
lease_s = {LEASE_S}
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = {CANCEL_S}
[cluster.state]
rps = 150.0
write_rps = {changes}
value_kb = 8.0
txn_ops = 16
{announced_limits}
[cluster.cloud]
rps = 5.0
list_lag_s = 3.0
[cluster.quota]
max_connections = 1500
"""


TEAMS = """
[[cluster.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
[[cluster.teams]]
name = "blue"
gpus = 4.0
gpus_max = 12.0
"""
