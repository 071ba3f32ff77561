"""What the messages of a worker prove about the connection to its machine.  Pure.

Three faults look like a healthy machine and are not:

- a *one-way partition*: heartbeats arrive, but responses and commands do not reach the machine.  It
  never runs what it is told to start, and its tasks end with its lease although each of its
  heartbeats was answered;
- a *late copy* of a heartbeat: the machine may be gone, or run other tasks, by now;
- a *restarted worker*: incarnation and sequence count from the start again, so whatever it sends
  looks older than what the process before it sent (PROTOCOL, "POST /checkin").

Whether a response arrived is seen from what later heartbeats show of it.  How old a heartbeat is
follows from its incarnation, sequence and token.  Where these do not suffice the worker is probed:
its answer is newer than the probe, whatever its numbers are.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import ZERO, seconds

#: Responses without effect, in a row, after which a machine counts as unreachable.  One is enough
#: if a probe remains unanswered as well.
UNREACHABLE_AFTER = 2
#: From so many on, an answered probe does not make the machine count as reachable again.
MAX_EXCUSED_FAILURES = 5
#: A lease that ran out sooner than this share of it after our response was not renewed by it.
UNRENEWED_LEASE_SHARE = 0.75
#: Shortest time between two probes of one machine.
PROBE_INTERVAL = seconds(2)


@dataclass(slots=True)
class Reachability:
    """Evidence about the connection to one machine, in both directions."""

    #: Highest fencing token that its worker has shown.
    token: int = 0
    #: Receipt of its newest message, be it a heartbeat or an answer to a command.  Whatever it sent
    #: before was sent before that instant, so no response to an older heartbeat, however late it
    #: arrives, can have renewed its lease from a later one.
    latest: timedelta | None = None
    #: Responses in a row that had no effect.
    missed: int = 0
    #: When the first of these was noticed.
    missed_since: timedelta | None = None
    #: When a command or probe was last sent to it.
    last_probe_at: timedelta | None = None
    #: Its worker process was restarted.  Nothing that arrives from such a machine is conclusive: a
    #: copy of what the earlier process sent would be taken for a newer message.
    restarted: bool = False

    def record_message(self, token: int, now: timedelta) -> None:
        """Record the receipt of a message that is newer than all before."""
        self.token = max(self.token, token)
        self.latest = now

    def response_took_effect(self) -> None:
        """Record that a heartbeat shows the effect of an earlier response."""
        self.missed, self.missed_since = 0, None

    def response_had_no_effect(self, now: timedelta) -> None:
        """Record that a heartbeat sent after a response shows nothing of what that asked for."""
        self.missed += 1
        if self.missed_since is None:
            self.missed_since = now

    def probe_answered(self, asked: timedelta) -> None:
        """Record an answer to a probe that was sent at ``asked``."""
        sent_after_failure = self.missed_since is not None and asked >= self.missed_since
        if sent_after_failure and self.missed < MAX_EXCUSED_FAILURES:
            self.response_took_effect()

    def probe_unanswered(self, asked: timedelta) -> None:
        """Record that a probe sent at ``asked`` was not answered.

        Together with one response without effect that makes the machine unreachable.
        """
        if self.missed_since is not None and asked >= self.missed_since:
            self.missed = max(self.missed, UNREACHABLE_AFTER)

    @property
    def receives_nothing(self) -> bool:
        """Whether the machine counts as unreachable for responses and commands."""
        return self.missed >= UNREACHABLE_AFTER

    def receives_nothing_for(self, now: timedelta) -> timedelta:
        """Return for how long the machine has been unreachable; zero if it is not."""
        if self.missed_since is None or not self.receives_nothing:
            return ZERO
        return now - self.missed_since

    def proves_restart(self, asked: timedelta | None) -> bool:
        """Tell whether a message that looks old proves that its worker process was restarted.

        Only an answer to a probe sent at ``asked``, after the newest message had arrived, does.
        One sent at the same clock reading does not: the clock moves in steps, so the order of the
        two is unknown.  None: the message is no answer to a probe.
        """
        return asked is not None and (self.latest is None or asked > self.latest)

    def may_probe(self, now: timedelta) -> bool:
        """Tell whether the machine may be probed again."""
        return self.last_probe_at is None or now - self.last_probe_at >= PROBE_INTERVAL
