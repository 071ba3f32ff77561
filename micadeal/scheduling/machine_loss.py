"""Handles machines whose lease has expired, and machines that the cloud has removed."""

from __future__ import annotations

import logging
from datetime import timedelta

from micadeal.fleet.machines import Machine
from micadeal.scheduling.attempts import lose_attempt
from micadeal.scheduling.cluster_state import ClusterState

log = logging.getLogger(__name__)

#: Maximum number of names of removed machines that are kept; the oldest is dropped first.
MAX_REMOVED_MACHINES = 20_000


def expire_leases(cluster: ClusterState, now: timedelta) -> None:
    """Release the attempts on machines that were silent for longer than their lease.

    This covers only workers that have shown this leader's token: no other leader can have renewed
    their lease since.
    """
    limit = cluster.lease_expiry
    for machine in list(cluster.machines.values()):
        last_message_at = machine.reachability.last_message_at
        if machine.lease_expired or last_message_at is None or not machine.has_current_token:
            continue
        if now - last_message_at > limit:
            machine.lease_expired = True
            cluster.changed = True
            log.info(
                "lease expired: machine=%s zone=%s attempts=%d",
                machine.name,
                machine.zone,
                len(machine.attempts),
            )
            lose_all_attempts(cluster, machine, now)


def remove_machine(cluster: ClusterState, name: str, now: timedelta) -> None:
    """Remove a machine, and all on it, after the cloud has confirmed that it is gone."""
    cluster.removed_machines[name] = now
    if len(cluster.removed_machines) > MAX_REMOVED_MACHINES:
        del cluster.removed_machines[next(iter(cluster.removed_machines))]
    machine = cluster.machines.get(name)
    if machine is None:
        return
    lose_all_attempts(cluster, machine, now)
    del cluster.machines[name]
    cluster.changed = True


def lose_all_attempts(cluster: ClusterState, machine: Machine, now: timedelta) -> None:
    """Remove all attempts that were on a machine, or could have been started there."""
    for attempt in list(machine.attempts.values()):
        lose_attempt(cluster, machine, attempt, now)
    machine.exited.clear()
