"""Scale in: decides which machines are returned to the cloud, and why."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from micadeal.clock import seconds
from micadeal.fleet.machines import Machine
from micadeal.scheduling.capacity import MAX_MISSED_HEARTBEATS
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.plan import Plan

#: Shortest time that the cloud charges for (PROTOCOL, cloud): an earlier return saves nothing.
MINIMUM_CHARGE = seconds(60)
#: An idle machine is returned at most this long before the end of its minimum charge.
CHARGE_MARGIN = seconds(3)
#: An idle machine is kept for this share of its type's boot time: renting another one costs a boot
#: and the fetch of its images, and work waits for both.
IDLE_BOOT_TIME_SHARE = 0.5
#: Assumed boot times of unknown machine types: to give up a boot, and to return idle machines.
UNKNOWN_BOOT_S = 60.0
UNKNOWN_IDLE_BOOT_S = 30.0
#: A silent machine is returned this long after its lease expired.
UNREACHABLE_TIMEOUT = seconds(45)
#: A silent machine that may still run tasks is returned this long after its lease expired: only the
#: cloud's confirmation proves that the tasks have ended.
UNREACHABLE_WITH_TASKS_TIMEOUT = seconds(3)
#: Once the time given in its reclaim notice has passed, a machine counts as gone after this many
#: heartbeat intervals without a heartbeat.
RECLAIMED_TIMEOUT_HEARTBEATS = 1.5
#: A machine without heartbeats is returned if more than this many lists in a row do not name it.
MAX_MISSING_LISTS = 3
#: A machine that was never up must also have been known for longer than this.
UNLISTED_TIMEOUT = seconds(60)
#: A machine that is known from heartbeats alone is returned if it has not shown the current fencing
#: token within this many heartbeat intervals.
UNKNOWN_TIMEOUT_HEARTBEATS = 3
#: If more than this share of the machines, and at least ``MIN_UNREACHABLE``, do not receive
#: responses, the fault is most likely at this controller.
MAX_UNREACHABLE_SHARE = 0.5
MIN_UNREACHABLE = 3


class ReturnReason(StrEnum):
    """Why a machine is drained or returned, as written to the log."""

    RESTARTED = "its worker restarted"
    FAILED = "it failed"
    NO_HEARTBEAT_SINCE_FAILOVER = "no heartbeat since the failover"
    UNLISTED = "the cloud lists it no more"
    NO_HEARTBEAT = "no heartbeat"
    NOT_BOOTED = "it does not boot"
    RECLAIMED = "the cloud reclaimed it"
    UNKNOWN = "no record names it, and it does not answer"
    RECEIVES_NO_RESPONSES = "it reports, but does not receive answers"
    NO_HEARTBEAT_WITH_TASKS = "no heartbeat, and it may still run tasks"
    CANCELLATION_OVERDUE = "it does not stop a cancelled task"
    RECLAIM_NOTICE = "the cloud is about to reclaim it"
    IDLE = "it is idle"
    FAULTY = "faulty"
    RETURNED_EARLIER = "an earlier leader returned it"


class ScaleIn:
    """Decides at each tick whether a machine is to be returned."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        #: Read once, because each tick compares it for each machine.
        self._lease_expiry = cluster.lease_expiry
        #: Since when this process has observed machines without a gap.  Earlier silence may be the
        #: fault of this process.
        self._observing_since = now
        #: Whether most machines did not receive responses, as of the last tick.
        self._own_responses_lost = False

    def restart_silence_timers(self, now: timedelta) -> None:
        """Count silence of machines from ``now`` on: this process did not observe them before."""
        self._observing_since = now

    def note_reachability(self, reporting: int, unreachable: int) -> None:
        """Record how many machines sent heartbeats, and how many of these receive no responses.

        If most of them receive none, the fault is most likely at this controller.
        """
        self._own_responses_lost = (
            unreachable >= MIN_UNREACHABLE and unreachable > reporting * MAX_UNREACHABLE_SHARE
        )

    def return_reason(self, machine: Machine, plan: Plan, now: timedelta) -> str | None:
        """Return the first reason that applies for returning the machine, or None."""
        if machine.reachability.restarted:
            return ReturnReason.RESTARTED
        if machine.listed_failed and (machine.lease_expired or not machine.up):
            return ReturnReason.FAILED
        if not machine.up:
            return self._reason_not_up(machine, now)
        if (reason := self._reason_lost(machine, now)) is not None:
            return reason
        if (
            machine.last_heartbeat_at is None
            or now - machine.last_heartbeat_at > self._lease_expiry
        ):
            return self._reason_no_heartbeat(machine, now)
        return self._reason_in_contact(machine, plan, now)

    # -- machines that are not up ------------------------------------------------------------

    def _reason_not_up(self, machine: Machine, now: timedelta) -> str | None:
        if machine.attempts:
            # Recorded by an earlier leader and silent since: only the cloud can confirm their end.
            waited = now - self._observing_since
            limit = self._lease_expiry + UNREACHABLE_WITH_TASKS_TIMEOUT
            return ReturnReason.NO_HEARTBEAT_SINCE_FAILOVER if waited > limit else None
        if (
            machine.absent_list_count > MAX_MISSING_LISTS
            and now - machine.known_since > UNLISTED_TIMEOUT
        ):
            return ReturnReason.UNLISTED
        if machine.listed_running:
            # It has booted but is unreachable, as in a zone that was partitioned before this term.
            # It has the same timeout as a machine that has sent heartbeats.
            silence = now - max(self._observing_since, machine.known_since)
            limit = self._lease_expiry + UNREACHABLE_TIMEOUT
            return ReturnReason.NO_HEARTBEAT if silence > limit else None
        boot_time = self._boot_time(machine, UNKNOWN_BOOT_S)
        given_up = self._cluster.boot_times.has_timed_out(machine, boot_time, now)
        return ReturnReason.NOT_BOOTED if given_up else None

    def _boot_time(self, machine: Machine, default_s: float) -> timedelta:
        kind = self._cluster.types.get(machine.machine_type)
        return seconds(kind.boot_s if kind else default_s)

    # -- machines that are up ----------------------------------------------------------------

    def _reason_lost(self, machine: Machine, now: timedelta) -> str | None:
        """Return why a machine is of no use although its lease may still be valid, or None."""
        if self._is_probably_gone(machine, now):
            return ReturnReason.RECLAIMED
        if not machine.has_current_token and self._is_unknown(machine, now):
            return ReturnReason.UNKNOWN
        if machine.reachability.ineffective_responses and self._lease_expired_without_responses(
            machine, now
        ):
            return ReturnReason.RECEIVES_NO_RESPONSES
        return None

    def _is_probably_gone(self, machine: Machine, now: timedelta) -> bool:
        """Return whether a silent machine is most likely gone.

        Returning it is then better than waiting for its lease to expire: the cloud's confirmation
        is certain, and the machine's tasks start elsewhere sooner.
        """
        if machine.last_heartbeat_at is None or (
            machine.reclaim_expected_at is None and machine.absent_list_count <= 1
        ):
            return False
        silence = now - machine.last_heartbeat_at
        heartbeat = self._cluster.workers.heartbeat_interval
        if machine.reclaim_expected_at is not None and now > machine.reclaim_expected_at:
            return silence > heartbeat * RECLAIMED_TIMEOUT_HEARTBEATS
        return machine.absent_list_count > 1 and silence > heartbeat * MAX_MISSED_HEARTBEATS

    def _is_unknown(self, machine: Machine, now: timedelta) -> bool:
        """Return whether a machine known from heartbeats alone failed to show the current token.

        No record names a task on it, so no task is lost with it.
        """
        if machine.confirmed or machine.up_since is None:
            return False
        heartbeat = self._cluster.workers.heartbeat_interval
        return now - machine.up_since > heartbeat * UNKNOWN_TIMEOUT_HEARTBEATS

    def _lease_expired_without_responses(self, machine: Machine, now: timedelta) -> bool:
        """Return whether a machine's lease has expired because responses do not reach it.

        The content of the responses does not matter: the machine's tasks were moved or are lost.
        """
        return (
            machine.reachability.no_responses_for(now) > self._lease_expiry
            and not self._own_responses_lost
        )

    def _reason_no_heartbeat(self, machine: Machine, now: timedelta) -> str | None:
        last_message_at = (
            machine.reachability.last_message_at
            if machine.lease_expired
            else machine.last_heartbeat_at
        )
        silence = now - max(last_message_at or machine.up_since or now, self._observing_since)
        if (
            machine.absent_list_count > MAX_MISSING_LISTS
            or silence > self._lease_expiry + UNREACHABLE_TIMEOUT
        ):
            return ReturnReason.NO_HEARTBEAT
        if machine.attempts and silence > self._lease_expiry + UNREACHABLE_WITH_TASKS_TIMEOUT:
            return ReturnReason.NO_HEARTBEAT_WITH_TASKS
        return None

    def _reason_in_contact(self, machine: Machine, plan: Plan, now: timedelta) -> str | None:
        if not machine.attempts:
            return self._reason_empty(machine, plan, now)
        overdue = self._cancellation_overdue(machine, now)
        return ReturnReason.CANCELLATION_OVERDUE if overdue else None

    def _cancellation_overdue(self, machine: Machine, now: timedelta) -> bool:
        """Return whether a cancelled task did not stop in time, so the machine must be returned."""
        limit = self._cluster.workers.cancel_timeout - self._cluster.workers.lease
        for attempt in machine.attempts.values():
            job = self._cluster.jobs[attempt.job_id]
            if job.ended and attempt.stop_since and now - attempt.stop_since > limit:
                return True
        return False

    def _reason_empty(self, machine: Machine, plan: Plan, now: timedelta) -> str | None:
        """Return why a machine without tasks is returned, or None; update its idle time."""
        if machine.reclaim_expected_at is not None:
            return ReturnReason.RECLAIM_NOTICE
        if machine.draining is not None:
            return machine.draining
        if machine.name in plan.reserved or machine.name in plan.warm:
            machine.idle_since = now
            return None
        idle = now - (machine.idle_since or now)
        if machine.idle_since is None:
            machine.idle_since = now
        idle_timeout = self._boot_time(machine, UNKNOWN_IDLE_BOOT_S) * IDLE_BOOT_TIME_SHARE
        if idle > idle_timeout and machine.age(now) > MINIMUM_CHARGE - CHARGE_MARGIN:
            return ReturnReason.IDLE
        return None
