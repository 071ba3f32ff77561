"""Derives from a worker's messages whether the connection to its machine works.  No I/O.

Three faults look like a healthy machine:

- a *one-way partition*: heartbeats arrive, but responses and commands do not reach the machine.  It
  never starts the tasks that it is commanded to start, and the tasks on it end when its lease
  expires, although every heartbeat was answered;
- a *late copy* of a heartbeat: the machine may be gone or run other tasks by the time it arrives;
- a *restarted worker*: incarnation and sequence start over, so its messages look older than those
  of the previous process (PROTOCOL, "POST /checkin").

Later heartbeats show whether a response arrived: they show its effect.  The age of a heartbeat
follows from its incarnation, sequence and token.  Where these do not suffice, the worker is probed.
Its answer is newer than the probe, whatever incarnation and sequence it carries.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import ZERO, seconds

#: Consecutive responses without effect after which a machine counts as unreachable.  One suffices
#: if a probe is not answered either.
UNREACHABLE_AFTER = 2
#: From this many responses without effect on, an answered probe no longer makes the machine count
#: as reachable.
MAX_EXCUSED_FAILURES = 5
#: If a lease expires within this share of its duration after a response, the response did not renew
#: it.
UNRENEWED_LEASE_SHARE = 0.75
#: Shortest time between two probes of one machine.
PROBE_INTERVAL = seconds(2)


@dataclass(slots=True)
class Reachability:
    """Evidence about the connection to one machine, in both directions."""

    #: Highest fencing token that its worker has shown.
    token: int = 0
    #: Receipt of its newest message, either a heartbeat or an answer to a command.  A response to
    #: an older heartbeat, however late it arrives, renews the lease only from when that heartbeat
    #: was sent, which is before this instant.
    last_message_at: timedelta | None = None
    #: Consecutive responses without effect.
    ineffective_responses: int = 0
    #: When the first of these was noticed.
    first_ineffective_at: timedelta | None = None
    #: When a command or probe was last sent to it.
    last_probe_at: timedelta | None = None
    #: Its worker process was restarted.  No message from such a machine is conclusive: a late copy
    #: of a message of the earlier process would be taken for a newer one.
    restarted: bool = False

    def record_message(self, token: int, now: timedelta) -> None:
        """Record the receipt of a message that is newer than all earlier ones."""
        self.token = max(self.token, token)
        self.last_message_at = now

    def response_took_effect(self) -> None:
        """Record that a heartbeat showed the effect of an earlier response."""
        self.ineffective_responses, self.first_ineffective_at = 0, None

    def response_had_no_effect(self, now: timedelta) -> None:
        """Record that a heartbeat sent after a response showed no effect of it."""
        self.ineffective_responses += 1
        if self.first_ineffective_at is None:
            self.first_ineffective_at = now

    def probe_answered(self, probe_sent_at: timedelta) -> None:
        """Record an answer to a probe sent at ``probe_sent_at``."""
        sent_after_failure = (
            self.first_ineffective_at is not None and probe_sent_at >= self.first_ineffective_at
        )
        if sent_after_failure and self.ineffective_responses < MAX_EXCUSED_FAILURES:
            self.response_took_effect()

    def probe_unanswered(self, probe_sent_at: timedelta) -> None:
        """Record that a probe sent at ``probe_sent_at`` was not answered.

        One response without effect and one unanswered probe make the machine unreachable.
        """
        if self.first_ineffective_at is not None and probe_sent_at >= self.first_ineffective_at:
            self.ineffective_responses = max(self.ineffective_responses, UNREACHABLE_AFTER)

    @property
    def receives_no_responses(self) -> bool:
        """Whether the machine counts as unreachable for responses and commands."""
        return self.ineffective_responses >= UNREACHABLE_AFTER

    def no_responses_for(self, now: timedelta) -> timedelta:
        """Return how long the machine has been unreachable; zero if it is reachable."""
        if self.first_ineffective_at is None or not self.receives_no_responses:
            return ZERO
        return now - self.first_ineffective_at

    def proves_restart(self, probe_sent_at: timedelta | None) -> bool:
        """Tell whether a message that looks old proves that the worker process was restarted.

        ``probe_sent_at``: when the probe that it answers was sent, None if it answers no probe.
        Only an answer to a probe sent after the receipt of the newest message is proof.  A probe
        sent at the same clock reading is not enough: the clock moves in steps, so the order is
        unknown.
        """
        return probe_sent_at is not None and (
            self.last_message_at is None or probe_sent_at > self.last_message_at
        )

    def may_probe(self, now: timedelta) -> bool:
        """Tell whether enough time has passed since the last probe to send another."""
        return self.last_probe_at is None or now - self.last_probe_at >= PROBE_INTERVAL
