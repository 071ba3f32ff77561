"""What a leader's term allows it to do at an instant.

Performs no I/O; ``leadership/term.py`` and ``leadership/follower_leases.py`` make the decisions.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from datetime import timedelta

from micadeal.clock import monotonic
from micadeal.controller.messages import PeerStatus
from micadeal.leadership.follower_leases import (
    PeerRenewalView,
    RenewalTiming,
    cancellations_listed_until,
    may_expire_leases,
)
from micadeal.leadership.term import Authority, PeerContact, Term
from micadeal.operator.platform import Platform

log = logging.getLogger(__name__)

#: Log messages for a change of the term's authority.
AUTHORITY_MESSAGES = {
    Authority.FULL: "full authority: the state service is reachable again",
    Authority.RENEW_ONLY: (
        "reduced authority: the state service is unreachable, "
        "only renews workers' leases and sends stop commands"
    ),
    Authority.NONE: "no authority: answers no worker, since jobs may be cancelled unknown to us",
}


class TermAuthority:
    """Owns one term, and the latest answers of the peers to its leader."""

    def __init__(
        self, term: Term, platform: Platform, timing: RenewalTiming | None, started_at: timedelta
    ) -> None:
        """Create the state of a term that begins at ``started_at``.

        ``timing`` is that of lease renewal by followers; None: followers never renew leases.
        """
        self.term = term
        self._workers = platform.workers
        self._timing = timing
        self._started_at = started_at
        self._contacts: list[PeerContact | None] = [None for _ in platform.peers]
        self._renewal_views: tuple[PeerRenewalView, ...] = ()
        self._cancellations_known_until: timedelta | None = None
        #: The authority that was logged last.
        self.last_logged = Authority.FULL

    def current(self) -> Authority:
        """Return the current authority of the term."""
        known_until = (
            self._cancellations_known_until,
            cancellations_listed_until(self._renewal_views, self.term.cancellations_read_until),
        )
        cancellations_known_until = max(
            (instant for instant in known_until if instant is not None), default=None
        )
        return self.term.authority(
            monotonic(),
            self._contacts,
            self._workers.lease,
            self._workers.cancel_timeout,
            cancellations_known_until,
        )

    def log_change(self, authority: Authority) -> None:
        """Log the term's authority, which differs from the one logged last."""
        log.info("%s: token=%d", AUTHORITY_MESSAGES[authority], self.term.token)
        self.last_logged = authority

    def may_expire_leases(self, now: timedelta) -> bool:
        """Return whether the lease of a silent worker may be treated as expired.

        Guards ``ran_twice``: a follower that can't reach this leader may have renewed the lease in
        its place (docs/safety.md).
        """
        if self._timing is None:
            return True
        return may_expire_leases(
            self.term.token, self._started_at, self._renewal_views, now, self._timing
        )

    def update_peers(self, status: PeerStatus) -> None:
        """Apply the latest answers of the peers."""
        self._contacts = list(status.contacts)
        self._renewal_views = status.renewal_views or ()
        self._cancellations_known_until = status.cancellations_known_until

    def extend_lease(self, valid_until: timedelta) -> None:
        """Apply a renewal of the leader's lease."""
        self.term = replace(self.term, valid_until=valid_until)

    def change_fence(self, fence: int) -> None:
        """Apply a new fencing version, on which all further writes depend."""
        self.term = replace(self.term, fence=fence)

    def mark_cancellations_read(self, requested_at: timedelta) -> None:
        """Note that every cancellation recorded before ``requested_at`` is known to this leader."""
        cancellations_read_until = self.term.cancellations_read_until
        if cancellations_read_until is None or requested_at > cancellations_read_until:
            self.term = replace(self.term, cancellations_read_until=requested_at)
