"""Conversion between the code under test and hashable values, and merging of equivalent states.

Only this module uses private attributes of ``FollowerLeases``.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from functools import cache

from bench.model_follower_leases.state import (
    CANCEL_TIMEOUT_S,
    JOB_ID,
    LEADER,
    LEASE_S,
    NOW,
    OLDEST,
    PEER_NAMES,
    TIMING,
    ControllerId,
    ControllerState,
    Instant,
    PeerState,
    Records,
    State,
    controller_state,
    intern,
)
from micadeal.clock import seconds
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.leadership.follower_leases import PeerRenewalView, RenewalState

#: The index of each controller after the two followers are exchanged.
_EXCHANGED = (0, 2, 1)


def to_instant(at: timedelta | None) -> Instant | None:
    """Convert a time of the code under test to an instant."""
    return None if at is None else max(OLDEST, round((at - NOW).total_seconds()))


def to_time(instant: Instant | None) -> timedelta | None:
    """Convert an instant to a time of the code under test."""
    return None if instant is None else NOW + seconds(instant)


def _drop_if_old(instant: Instant | None, limit: int) -> Instant | None:
    """Return None for an instant at or before ``limit``: no decision depends on it any more."""
    return None if instant is None or instant <= limit else instant


def _clamp(instant: Instant | None, limit: int) -> Instant | None:
    """Return ``OLDEST`` for an instant at or before ``limit``, so that all of these are equal."""
    return OLDEST if instant is not None and instant <= limit else instant


def new_controller() -> ControllerId:
    """Return a controller whose process has just started."""
    return pack(FollowerLeases(PEER_NAMES, TIMING, NOW))


def pack(follower_leases: FollowerLeases) -> ControllerId:
    """Convert the code under test to an interned controller state."""
    renewal_state = follower_leases._state
    committed_until = _drop_if_old(to_instant(renewal_state.committed_until), -LEASE_S - 1)
    first, second = (_pack_peer(view) for view in follower_leases.views())
    started_at = _clamp(to_instant(renewal_state.started_at), -CANCEL_TIMEOUT_S - 1)
    assert started_at is not None
    return intern(
        ControllerState(
            started_at=started_at,
            token=renewal_state.token,
            leader_contact_at=_clamp(to_instant(renewal_state.leader_contact_at), -2),
            committed_token=renewal_state.committed_token if committed_until is not None else 0,
            committed_until=committed_until,
            lists_job=JOB_ID in follower_leases._cancellations,
            peers=(first, second),
        )
    )


def _pack_peer(view: PeerRenewalView) -> PeerState:
    vote_until = _drop_if_old(to_instant(view.vote_until), 0)
    committed_until = _drop_if_old(to_instant(view.committed_until), -LEASE_S - 1)
    return PeerState(
        asked_at=_drop_if_old(to_instant(view.asked_at), -3),
        reports_since=_clamp(to_instant(view.reports_since), -CANCEL_TIMEOUT_S - 1),
        promised_until=_drop_if_old(to_instant(view.promised_until), 0),
        started_at=_clamp(to_instant(view.started_at), -LEASE_S - 3),
        vote_token=view.vote_token if vote_until is not None else 0,
        vote_until=vote_until,
        committed_token=view.committed_token if committed_until is not None else 0,
        committed_until=committed_until,
        synced_list_asked_at=_clamp(to_instant(view.synced_list_asked_at), -CANCEL_TIMEOUT_S - 1),
        list_asked_at=_clamp(to_instant(view.list_asked_at), -CANCEL_TIMEOUT_S - 1),
    )


def unpack(controller: ControllerId) -> FollowerLeases:
    """Create the code under test from an interned controller state."""
    state = controller_state(controller)
    follower_leases = FollowerLeases(PEER_NAMES, TIMING, NOW)
    follower_leases._state = RenewalState(
        NOW + seconds(state.started_at),
        state.token,
        to_time(state.leader_contact_at),
        state.committed_token,
        to_time(state.committed_until),
    )
    for name, peer in zip(PEER_NAMES, state.peers, strict=True):
        follower_leases._views[name] = PeerRenewalView(
            to_time(peer.asked_at),
            to_time(peer.reports_since),
            to_time(peer.promised_until),
            to_time(peer.started_at),
            peer.vote_token,
            to_time(peer.vote_until),
            peer.committed_token,
            to_time(peer.committed_until),
            to_time(peer.synced_list_asked_at),
            to_time(peer.list_asked_at),
        )
    if state.lists_job:
        follower_leases._cancellations[JOB_ID] = NOW
    return follower_leases


def forget_leader(follower_leases: FollowerLeases) -> None:
    """Remove the time of the last contact of a leader from a controller (a false input)."""
    follower_leases._state = replace(follower_leases._state, leader_contact_at=None)


@cache
def with_job_listed(controller: ControllerId) -> ControllerId:
    """Return the controller with the job on its cancellation list."""
    return intern(controller_state(controller)._replace(lists_job=True))


@cache
def after_one_second(controller: ControllerId, votes_never_expire: bool) -> ControllerId:
    """Return the controller one second later.

    ``votes_never_expire``: votes that were given to it stay valid (a false input).
    """
    state = controller_state(controller)
    first, second = (_peer_after_one_second(peer, votes_never_expire) for peer in state.peers)
    later = state._replace(
        started_at=max(OLDEST, state.started_at - 1),
        leader_contact_at=_one_second_earlier(state.leader_contact_at),
        committed_until=_one_second_earlier(state.committed_until),
        peers=(first, second),
    )
    return pack(unpack(intern(later)))


def _peer_after_one_second(peer: PeerState, votes_never_expire: bool) -> PeerState:
    return peer._replace(
        asked_at=_one_second_earlier(peer.asked_at),
        reports_since=_one_second_earlier(peer.reports_since),
        promised_until=_one_second_earlier(peer.promised_until),
        started_at=_one_second_earlier(peer.started_at),
        vote_until=peer.vote_until if votes_never_expire else _one_second_earlier(peer.vote_until),
        committed_until=_one_second_earlier(peer.committed_until),
        synced_list_asked_at=_one_second_earlier(peer.synced_list_asked_at),
        list_asked_at=_one_second_earlier(peer.list_asked_at),
    )


def _one_second_earlier(instant: Instant | None) -> Instant | None:
    return None if instant is None else max(OLDEST, instant - 1)


def canonical(state: State, has_late_answers: bool) -> State:
    """Return the same state for all states that lead to the same decisions.

    The two followers are interchangeable.  ``has_late_answers``: answers may arrive late.
    """
    leads = state.leads
    leader, first, second = (
        _reduced(controller, leads and index == LEADER, leads, has_late_answers)
        for index, controller in enumerate(state.controllers)
    )
    late_answers = state.late_answers
    if first > second:
        first, second, leader = second, first, _with_peers_exchanged(leader)
        late_answers = tuple(
            answer._replace(asker=_EXCHANGED[answer.asker], peer=_EXCHANGED[answer.peer])
            for answer in late_answers
        )
    return state._replace(
        controllers=(leader, first, second),
        leader_answered_at=state.leader_answered_at if leads else 0,
        cancellations_read_until=state.cancellations_read_until if leads else 0,
        records=state.records if leads else Records.READ,
        late_answers=tuple(sorted(late_answers)),
    )


@cache
def _with_peers_exchanged(controller: ControllerId) -> ControllerId:
    state = controller_state(controller)
    first, second = state.peers
    return intern(state._replace(peers=(second, first)))


@cache
def _reduced(
    controller: ControllerId, is_leader: bool, has_leader: bool, has_late_answers: bool
) -> ControllerId:
    """Return the controller without the values that no decision can depend on any more."""
    state = controller_state(controller)
    # All peers must have sent reports for long enough, so only the latest of these instants counts.
    latest = max(
        (peer.reports_since for peer in state.peers if peer.reports_since is not None),
        default=OLDEST,
    )
    any_without_reports = any(peer.reports_since is None for peer in state.peers)
    first, second = (
        _reduced_peer(
            peer._replace(
                asked_at=peer.asked_at if has_late_answers else None,
                reports_since=OLDEST
                if peer.reports_since is not None
                and (any_without_reports or peer.reports_since < latest)
                else peer.reports_since,
            ),
            is_leader,
            state.started_at,
        )
        for peer in state.peers
    )
    return intern(
        state._replace(
            leader_contact_at=OLDEST if is_leader else state.leader_contact_at,
            committed_token=state.committed_token if has_leader else 0,
            committed_until=state.committed_until if has_leader else None,
            peers=(first, second),
        )
    )


def _reduced_peer(peer: PeerState, owner_is_leader: bool, owner_started_at: Instant) -> PeerState:
    if owner_is_leader:
        list_asked_at = peer.list_asked_at
        return peer._replace(
            vote_token=0,
            vote_until=None,
            synced_list_asked_at=peer.synced_list_asked_at
            if peer.synced_list_asked_at == 0
            else OLDEST,
            list_asked_at=OLDEST
            if list_asked_at is not None and list_asked_at != 0
            else list_asked_at,
        )
    # Decisions only depend on whether the list was sent since the owner's start.
    is_synced = (
        peer.synced_list_asked_at is not None and peer.synced_list_asked_at >= owner_started_at
    )
    return peer._replace(
        promised_until=None,
        started_at=OLDEST,
        committed_token=0,
        committed_until=None,
        synced_list_asked_at=OLDEST if owner_started_at == OLDEST else (0 if is_synced else None),
        list_asked_at=None,
    )
