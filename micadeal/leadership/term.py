"""What a leader may still do, decided from its lease and from what its peers confirm.

Guards ``ran_cancelled``.  A task whose worker we answer lives for a worker's lease after the
heartbeat.  So answers must end early enough that the task is gone ``cancel_time`` after any
cancellation that another controller could have accepted unknown to us.  A lease of the state
service does not replace that: it may hold while nothing is learned about the jobs (first reads that
fail, a watch that stalls, an outage that has just ended).

Pure: no input or output, and the caller passes the time.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import DRIFT

#: For responses in flight, timers that fire late, and leases that end a little late.
SAFETY_MARGIN = timedelta(seconds=2.5)
#: How long a leader that reaches the state service may hear nothing about the jobs: an idle watch
#: returns every two seconds, one on a connection that was cut is given up after four.
MAX_WATCH_LAG = timedelta(seconds=5)


class Authority(Enum):
    """What the leader of a term may do at an instant."""

    #: Everything: start tasks, rent machines, record ends.
    FULL = "full"
    #: The state service is out of reach: renew workers' leases and send stops only.
    RENEW_ONLY = "renew only"
    #: Nothing: a task could otherwise outlive a cancellation accepted by another controller.
    NONE = "none"


@dataclass(frozen=True, slots=True)
class PeerContact:
    """A peer's answer on when it last confirmed a cancellation to a user."""

    #: When we sent the question; the answer holds at least for this instant.
    asked: timedelta
    #: Latest instant, by our clock, at which the peer may have confirmed a cancellation before.
    cancelled: timedelta


@dataclass(frozen=True, slots=True)
class Term:
    """One election won.  ``token`` is the revision of the transaction that won it."""

    token: int
    lease: int
    #: The lease certainly holds until then.
    valid_until: timedelta
    #: The last instant at which we certainly knew of every cancellation; None: the records that
    #: say so are not read yet.
    cancellations_read_until: timedelta | None
    #: The fence: the version of ``leader`` that every write depends on.  It changes with the
    #: feature level (rollout/leader_lock.py).
    fence: int = 0

    def authority(
        self,
        now: timedelta,
        peers: list[PeerContact | None],
        lease_time: timedelta,
        cancel_time: timedelta,
        cancellations_known_until: timedelta | None = None,
    ) -> Authority:
        """Return what the leader may do at ``now``.

        ``peers`` has one entry for each other controller, None where nothing is known of it.
        ``lease_time`` is the length of a worker's lease, ``cancel_time`` how long after its
        cancellation a task may run at most.  Up to ``cancellations_known_until`` the lists of a
        majority hold every cancellation; None: that is not known.
        """
        # Guards ``ran_cancelled``: see the head of this module.
        grace = (cancel_time - lease_time) * (1 - DRIFT) - SAFETY_MARGIN
        read_until = self.cancellations_read_until
        known = [
            instant for instant in (read_until, cancellations_known_until) if instant is not None
        ]
        if read_until is not None and peers:
            # If every peer has confirmed no cancellation since ``read_until``, the bound moves on:
            # so an outage that all controllers share may last for any length of time.
            unchanged_at = [
                peer.asked for peer in peers if peer is not None and peer.cancelled <= read_until
            ]
            if len(unchanged_at) == len(peers):
                known.append(min(unchanged_at))
        if not known:
            return Authority.NONE
        if now < self.valid_until:
            # Where a cancellation has hardly more time than a lease, the ordinary age of what is
            # known exceeds the grace: a connected leader must not stop answering because of that.
            age_limit = max(grace, MAX_WATCH_LAG)
            return Authority.FULL if now < max(known) + age_limit else Authority.NONE
        return Authority.RENEW_ONLY if now < max(known) + grace else Authority.NONE
