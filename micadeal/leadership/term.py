"""What a leader may still do, decided from its lease and from what its peers confirm.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from micadeal.clock import DRIFT

#: For answers under way, timers that fire late, and leases that end a little late.
MARGIN = timedelta(seconds=2.5)
#: So long a leader in touch may hear nothing of the jobs: a watch comes back every two seconds, one
#: on a connection that was cut is given up after four.
LAG = timedelta(seconds=5)


class Authority(Enum):
    """What the term allows at an instant."""

    #: Everything: start tasks, rent, record ends.
    FULL = "full"
    #: Touch with the state service is lost: keep workers' leases alive and pass on halts.
    RENEW_ONLY = "renew only"
    #: Nothing: a cancellation accepted elsewhere could otherwise be outlived.
    NONE = "none"


@dataclass(frozen=True, slots=True)
class PeerContact:
    """A peer's word on when it last told a user that a job is cancelled."""

    #: When we sent the question; the word holds for at least this instant.
    asked: timedelta
    #: Latest instant, by our clock, at which it may have told a cancellation before.
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
    informed: timedelta | None
    #: The version of ``leader`` that every write depends on; moves with the level
    #: (rollout/leader_lock.py).
    fence: int = 0

    def authority(
        self,
        now: timedelta,
        peers: list[PeerContact | None],
        lease_time: timedelta,
        cancel_time: timedelta,
        cancellations_known_until: timedelta | None = None,
    ) -> Authority:
        """``cancellations_known_until``: up to then a majority's lists hold every cancellation."""
        # A task whose worker we answer lives for a worker's lease after the report.  So answers
        # must end early enough that it is gone ``cancel_time`` after any cancellation that
        # another controller could have accepted unknown to us.  A lease of the state service does
        # not make up for that: it may hold while nothing comes of the jobs (first reads that fail,
        # a watch that stands still, an outage that has just ended).
        grace = (cancel_time - lease_time) * (1 - DRIFT) - MARGIN
        informed = self.informed
        known = [
            instant for instant in (informed, cancellations_known_until) if instant is not None
        ]
        if informed is not None and peers:
            # Every peer's word that it has told no user "cancelled" since ``informed`` moves the
            # bound on: so an outage that all share may last for as long as it likes.
            silent = [
                peer.asked for peer in peers if peer is not None and peer.cancelled <= informed
            ]
            if len(silent) == len(peers):
                known.append(min(silent))
        if not known:
            return Authority.NONE
        if now < self.valid_until:
            # Where a cancellation has hardly more time than a lease, the ordinary age of what is
            # known would do: a leader in touch must not stop answering for that.
            return Authority.FULL if now < max(known) + max(grace, LAG) else Authority.NONE
        return Authority.RENEW_ONLY if now < max(known) + grace else Authority.NONE
