"""Which machines are returned to the cloud, and why."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from micadeal.clock import seconds
from micadeal.fleet.machines import Machine
from micadeal.scheduling.capacity import MAX_MISSED_HEARTBEATS
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.scheduling.plan import Plan

#: Charged in any case (PROTOCOL, cloud): returning a machine earlier saves nothing.
MINIMUM_CHARGE = seconds(60)
#: An idle machine is returned so long before the end of the minimum charge at the earliest.
CHARGE_MARGIN = seconds(3)
#: An idle machine is kept for this share of its type's boot time: to rent it anew costs a boot
#: and the fetch of its images, and makes work wait for both.
IDLE_SHARE = 0.5
#: Boot times where the machine type is unknown: for giving up a boot, and for idle machines.
UNKNOWN_BOOT_S = 60.0
UNKNOWN_IDLE_BOOT_S = 30.0
#: A silent machine is returned when its lease and this time have passed.
UNREACHABLE_TIMEOUT = seconds(45)
#: The same where it may still run tasks: only the cloud's answer makes their end certain.
UNREACHABLE_WITH_TASKS_TIMEOUT = seconds(3)
#: A machine whose announced end has passed counts as gone after so many heartbeat intervals.
RECLAIMED_HEARTBEATS = 1.5
#: A machine without heartbeats is returned after more than so many lists without it.
MAX_MISSING_LISTS = 3
#: One that was never up also needs to be known for this long.
UNLISTED_TIMEOUT = seconds(60)
#: A machine known from heartbeats alone that does not answer is returned after so many.
UNKNOWN_HEARTBEATS = 3
#: If more than this share of the machines, and no fewer than so many, do not receive our answers,
#: the fault is most likely with us.
MAX_UNREACHABLE_SHARE = 0.5
MIN_UNREACHABLE = 3


class ReturnReason(StrEnum):
    """Why a machine is drained and returned, as in the log."""

    RESTARTED = "its worker restarted"
    FAILED = "it failed"
    NEVER_HEARD = "no heartbeat since the failover"
    UNLISTED = "the cloud lists it no more"
    NO_HEARTBEAT = "no heartbeat"
    NOT_BOOTED = "it does not boot"
    RECLAIMED = "the cloud reclaimed it"
    UNKNOWN = "no record names it, and it does not answer"
    RECEIVES_NOTHING = "it reports, but does not receive answers"
    NO_HEARTBEAT_WITH_TASKS = "no heartbeat, and it may still run tasks"
    CANCELLATION_OVERDUE = "it does not stop a cancelled task"
    RECLAIM_NOTICE = "the cloud is about to reclaim it"
    IDLE = "it is idle"
    FAULTY = "faulty"
    RETURNED_EARLIER = "an earlier leader returned it"


class ScaleIn:
    """Judges machines at one tick after the other."""

    def __init__(self, cluster: ClusterState, now: timedelta) -> None:
        self._cluster = cluster
        #: Taken once: it is compared with for each machine at each tick.
        self._lease_expiry = cluster.lease_expiry
        #: Since when machines are observed without a gap: earlier silence may be our own fault.
        self._observing_since = now
        #: As of the last tick, most machines do not receive our answers.
        self._unreachable_ourselves = False

    def observe_from(self, now: timedelta) -> None:
        """Count silence anew from now: this process did not observe anything before."""
        self._observing_since = now

    def note_reachability(self, heard: int, receives_nothing: int) -> None:
        """Take in how many machines sent heartbeats lately, and how many of them miss our answers.

        With so many of them it is rather our own answers that are lost, whoever they are for.
        """
        self._unreachable_ourselves = (
            receives_nothing >= MIN_UNREACHABLE and receives_nothing > heard * MAX_UNREACHABLE_SHARE
        )

    def return_reason(self, machine: Machine, plan: Plan, now: timedelta) -> str | None:
        """Return why the machine is to be returned, or None; the first reason that applies."""
        if machine.reachability.restarted:
            return ReturnReason.RESTARTED
        if machine.listed_failed and (machine.lease_expired or not machine.up):
            return ReturnReason.FAILED
        if not machine.up:
            return self._reason_not_up(machine, now)
        if (reason := self._reason_lost(machine, now)) is not None:
            return reason
        if machine.heard is None or now - machine.heard > self._lease_expiry:
            return self._reason_no_heartbeat(machine, now)
        return self._reason_in_contact(machine, plan, now)

    # -- machines that are not up ------------------------------------------------------------

    def _reason_not_up(self, machine: Machine, now: timedelta) -> str | None:
        if machine.attempts:
            # Recorded by an earlier leader and silent since: only the cloud can make certain.
            waited = now - self._observing_since
            limit = self._lease_expiry + UNREACHABLE_WITH_TASKS_TIMEOUT
            return ReturnReason.NEVER_HEARD if waited > limit else None
        if (
            machine.missing_lists > MAX_MISSING_LISTS
            and now - machine.known_since > UNLISTED_TIMEOUT
        ):
            return ReturnReason.UNLISTED
        if machine.listed_running:
            # It has booted and can't be reached, as in a zone that was cut off before we led: it is
            # waited for like one that sent heartbeats before.
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
        """Return why a machine is of no use any more although its lease may still be valid."""
        if self._is_gone(machine, now):
            return ReturnReason.RECLAIMED
        if not machine.has_our_token and self._is_unknown(machine, now):
            return ReturnReason.UNKNOWN
        if machine.reachability.ineffective_responses and self._lease_lapsed(machine, now):
            return ReturnReason.RECEIVES_NOTHING
        return None

    def _is_gone(self, machine: Machine, now: timedelta) -> bool:
        """Return whether a silent machine is most likely gone.

        Asking the cloud for its end then beats waiting for its lease: the answer makes it certain,
        and its tasks start elsewhere sooner.
        """
        if machine.heard is None or (
            machine.reclaim_expected_at is None and machine.missing_lists <= 1
        ):
            return False
        silence = now - machine.heard
        heartbeat = self._cluster.workers.heartbeat_interval
        if machine.reclaim_expected_at is not None and now > machine.reclaim_expected_at:
            return silence > heartbeat * RECLAIMED_HEARTBEATS
        return machine.missing_lists > 1 and silence > heartbeat * MAX_MISSED_HEARTBEATS

    def _is_unknown(self, machine: Machine, now: timedelta) -> bool:
        """Return whether only heartbeats name a machine that should have shown our token by now.

        No record names anything on it, so nothing is lost with it.
        """
        if machine.confirmed or machine.up_since is None:
            return False
        heartbeat = self._cluster.workers.heartbeat_interval
        return now - machine.up_since > heartbeat * UNKNOWN_HEARTBEATS

    def _lease_lapsed(self, machine: Machine, now: timedelta) -> bool:
        """Return whether its lease has expired since our answers do not reach it.

        That holds whatever we have answered: what ran on it was moved or is lost.
        """
        return (
            machine.reachability.receives_nothing_for(now) > self._lease_expiry
            and not self._unreachable_ourselves
        )

    def _reason_no_heartbeat(self, machine: Machine, now: timedelta) -> str | None:
        last = machine.reachability.latest if machine.lease_expired else machine.heard
        silence = now - max(last or machine.up_since or now, self._observing_since)
        if (
            machine.missing_lists > MAX_MISSING_LISTS
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
        """Return whether a cancelled task runs on so long that only returning the machine helps."""
        limit = self._cluster.workers.cancel_timeout - self._cluster.workers.lease
        for attempt in machine.attempts.values():
            job = self._cluster.jobs[attempt.job_id]
            if job.over and attempt.stop_since and now - attempt.stop_since > limit:
                return True
        return False

    def _reason_empty(self, machine: Machine, plan: Plan, now: timedelta) -> str | None:
        """Return why a machine without tasks is returned, and keep track of how long it is idle."""
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
        keep = self._boot_time(machine, UNKNOWN_IDLE_BOOT_S) * IDLE_SHARE
        if idle > keep and machine.age(now) > MINIMUM_CHARGE - CHARGE_MARGIN:
            return ReturnReason.IDLE
        return None
