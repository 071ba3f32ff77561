"""How long a leader may act without the state service, or without news of cancellations."""

from __future__ import annotations

import pytest

from micadeal.clock import seconds
from micadeal.leadership.term import Authority, PeerContact, Term


def test_leader_without_state_service_renews_leases_only_while_safe() -> None:
    """Guards ``ran_cancelled``: its answers must end a lease and a margin before the limit."""
    term = Term(token=5, lease=1, valid_until=seconds(10), cancellations_read_until=seconds(8))
    lease, cancel = seconds(14), seconds(34)

    def authority(at: float, *peers: PeerContact | None) -> Authority:
        return term.authority(seconds(at), list(peers), lease, cancel)

    heard = PeerContact(asked=seconds(30), cancelled=seconds(2))
    cancelled_since = PeerContact(asked=seconds(30), cancelled=seconds(9))
    assert authority(9.9) is Authority.FULL
    assert authority(11, None, None) is Authority.RENEW_ONLY
    assert authority(26, heard, None) is Authority.NONE
    assert authority(40, heard, heard) is Authority.RENEW_ONLY
    assert authority(48, heard, heard) is Authority.NONE
    assert authority(40, heard, cancelled_since) is Authority.NONE


@pytest.mark.parametrize(("cancel", "longest"), [(34, 17.4), (18, 5.0)])
def test_state_service_lease_alone_gives_no_authority(cancel: int, longest: float) -> None:
    """Guards ``ran_cancelled`` where renewals succeed and nothing of the jobs arrives.

    The second case is one where a cancellation has hardly more time than a worker's lease.
    """
    term = Term(token=5, lease=1, valid_until=seconds(99), cancellations_read_until=seconds(8))
    authorities = [
        term.authority(seconds(8 + lag), [], seconds(14), seconds(cancel))
        for lag in (longest - 0.1, longest + 0.1)
    ]
    assert authorities == [Authority.FULL, Authority.NONE]


def test_leader_acts_before_its_records_are_read_only_if_peers_know_all_cancellations() -> None:
    """Guards ``ran_cancelled`` as the test above."""
    unread = Term(token=5, lease=1, valid_until=seconds(99), cancellations_read_until=None)
    cancellations_known_until = seconds(8)
    assert unread.authority(seconds(9), [], seconds(14), seconds(34)) is Authority.NONE
    assert (
        unread.authority(seconds(9), [], seconds(14), seconds(34), cancellations_known_until)
        is Authority.FULL
    )
