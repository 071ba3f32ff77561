"""How long a leader may act without the state service, or without news of cancellations."""

from __future__ import annotations

import pytest

from micadeal.clock import seconds
from micadeal.leadership.term import Authority, PeerContact, Term


def test_leader_without_state_service_renews_leases_only_while_safe() -> None:
    """Guards ``ran_cancelled``: answers stop a lease and a margin before the cancel timeout."""
    term = Term(token=5, lease=1, valid_until=seconds(10), cancellations_read_until=seconds(8))
    lease, cancel = seconds(14), seconds(34)

    def authority(at: float, *peers: PeerContact | None) -> Authority:
        return term.authority(seconds(at), list(peers), lease, cancel)

    unchanged = PeerContact(asked_at=seconds(30), last_confirmed_at=seconds(2))
    cancelled_since = PeerContact(asked_at=seconds(30), last_confirmed_at=seconds(9))
    assert authority(9.9) is Authority.FULL
    assert authority(11, None, None) is Authority.RENEW_ONLY
    assert authority(26, unchanged, None) is Authority.NONE
    assert authority(40, unchanged, unchanged) is Authority.RENEW_ONLY
    assert authority(48, unchanged, unchanged) is Authority.NONE
    assert authority(40, unchanged, cancelled_since) is Authority.NONE


@pytest.mark.parametrize(("cancel", "longest"), [(34, 17.4), (18, 5.0)])
def test_state_service_lease_alone_gives_no_authority(cancel: int, longest: float) -> None:
    """Guards ``ran_cancelled`` if renewals succeed but no news about the jobs arrives.

    In the second case the cancel timeout is only slightly longer than a worker's lease.
    """
    term = Term(token=5, lease=1, valid_until=seconds(99), cancellations_read_until=seconds(8))
    authorities = [
        term.authority(seconds(8 + lag), [], seconds(14), seconds(cancel))
        for lag in (longest - 0.1, longest + 0.1)
    ]
    assert authorities == [Authority.FULL, Authority.NONE]


def test_leader_acts_before_its_records_are_read_only_if_peers_know_all_cancellations() -> None:
    """Guards ``ran_cancelled``: otherwise the leader may not know of a cancellation."""
    unread = Term(token=5, lease=1, valid_until=seconds(99), cancellations_read_until=None)
    cancellations_known_until = seconds(8)
    assert unread.authority(seconds(9), [], seconds(14), seconds(34)) is Authority.NONE
    assert (
        unread.authority(seconds(9), [], seconds(14), seconds(34), cancellations_known_until)
        is Authority.FULL
    )
