"""The authority of a leader, decided from its lease and from what its peers confirm.

Guards ``ran_cancelled``.  A worker whose heartbeat is answered may run its tasks for one more
worker lease.  So the leader must stop answering early enough that a task ends within
``cancel_timeout`` of its cancellation, even if another controller accepted the cancellation without
the leader's knowledge.  A valid leader lease in the state service is no substitute: it may be valid
while the leader learns nothing about the jobs, because its first reads fail, a watch stalls, or an
outage has just ended.

No I/O; the caller passes the time.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import MAX_CLOCK_DRIFT

#: Allowance for responses in flight, timers that fire late, and leases that end slightly late.
SAFETY_MARGIN = timedelta(seconds=2.5)
#: Longest time without news about the jobs while the state service is reachable: an idle watch
#: returns every two seconds, and one on a broken connection is abandoned after four.
MAX_WATCH_LAG = timedelta(seconds=5)


class Authority(Enum):
    """What the leader of a term may do at an instant."""

    #: Everything is allowed: start tasks, rent machines, record task ends.
    FULL = "full"
    #: The state service is unreachable: only renew workers' leases and send stop commands.
    RENEW_ONLY = "renew only"
    #: Answer no worker: a task could otherwise outlive a cancellation that another controller
    #: accepted.
    NONE = "none"


@dataclass(frozen=True, slots=True)
class PeerContact:
    """A peer's answer to the question when it last confirmed a cancellation to a user."""

    #: When the question was sent; the answer is valid at least for this instant.
    asked_at: timedelta
    #: Latest instant, by this controller's clock, at which the peer may have last confirmed a
    #: cancellation.
    last_confirmed_at: timedelta


@dataclass(frozen=True, slots=True)
class Term:
    """One term of a leader.  ``token`` is the revision of the transaction that won the election."""

    token: int
    lease: int
    #: The lease is certainly valid until then.
    valid_until: timedelta
    #: The leader has read every cancellation up to this instant; None: it has not read the records
    #: yet.
    cancellations_read_until: timedelta | None
    #: The fencing version: the version of ``leader`` that every write depends on.  It changes with
    #: the feature level (rollout/leader_lock.py).
    fence: int = 0

    def authority(
        self,
        now: timedelta,
        peers: list[PeerContact | None],
        lease_duration: timedelta,
        cancel_timeout: timedelta,
        cancellations_known_until: timedelta | None = None,
    ) -> Authority:
        """Return what the leader may do at ``now``.

        ``peers`` has one entry for each peer, None if nothing is known of it.  ``lease_duration``
        is the length of a worker's lease, ``cancel_timeout`` the longest time for which a task may
        run after its cancellation.  The cancellation lists of a majority are complete up to
        ``cancellations_known_until``; None: unknown.
        """
        # Guards ``ran_cancelled``: see the docstring of this module.
        max_age = (cancel_timeout - lease_duration) * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN
        read_until = self.cancellations_read_until
        known_until = [
            instant for instant in (read_until, cancellations_known_until) if instant is not None
        ]
        if read_until is not None and peers:
            # If every peer answers that it has confirmed no cancellation since ``read_until``, the
            # bound advances.  So the leader can renew leases throughout an outage of any length
            # that all controllers share.
            unchanged_at = [
                peer.asked_at
                for peer in peers
                if peer is not None and peer.last_confirmed_at <= read_until
            ]
            if len(unchanged_at) == len(peers):
                known_until.append(min(unchanged_at))
        if not known_until:
            return Authority.NONE
        if now < self.valid_until:
            # If the cancel timeout is only slightly longer than a worker's lease, the normal age
            # of what the leader knows exceeds ``max_age``.  A connected leader must not stop
            # answering because of that.
            connected_max_age = max(max_age, MAX_WATCH_LAG)
            return Authority.FULL if now < max(known_until) + connected_max_age else Authority.NONE
        return Authority.RENEW_ONLY if now < max(known_until) + max_age else Authority.NONE
