"""Conversion between the code under test and hashable values, and merging of equal states.

Only this module touches private attributes of ``FollowerLeases``.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from functools import cache

from bench.model_follower_leases.state import (
    CANCEL,
    JOB_ID,
    LEADER,
    LEASE,
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
    fields,
    intern,
)
from micadeal.clock import seconds
from micadeal.controller.follower_leases import FollowerLeases
from micadeal.leadership.follower_leases import PeerRenewalView, RenewalState

#: The two followers in exchanged order.
_EXCHANGED = (0, 2, 1)


def to_instant(at: timedelta | None) -> Instant | None:
    """Convert a time of the code under test to an instant."""
    return None if at is None else max(OLDEST, round((at - NOW).total_seconds()))


def to_time(instant: Instant | None) -> timedelta | None:
    """Convert an instant to a time of the code under test."""
    return None if instant is None else NOW + seconds(instant)


def _forget(instant: Instant | None, limit: int) -> Instant | None:
    """Treat an instant at or before ``limit`` as absent: no decision depends on it any more."""
    return None if instant is None or instant <= limit else instant


def _clamp(instant: Instant | None, limit: int) -> Instant | None:
    """Treat all instants at or before ``limit`` as the same one."""
    return OLDEST if instant is not None and instant <= limit else instant


def new_controller() -> ControllerId:
    """Return a controller whose process was started just now."""
    return pack(FollowerLeases(PEER_NAMES, TIMING, NOW))


def pack(follower_leases: FollowerLeases) -> ControllerId:
    """Convert the code under test to an interned controller state."""
    renewal_state = follower_leases._state
    bound_until = _forget(to_instant(renewal_state.committed_until), -LEASE - 1)
    first, second = (_pack_view(view) for view in follower_leases.views())
    born = _clamp(to_instant(renewal_state.started_at), -CANCEL - 1)
    assert born is not None
    return intern(
        ControllerState(
            born=born,
            token=renewal_state.token,
            led=_clamp(to_instant(renewal_state.leader_contact_at), -2),
            bound_token=renewal_state.committed_token if bound_until is not None else 0,
            bound_until=bound_until,
            lists_job=JOB_ID in follower_leases._cancellations,
            peers=(first, second),
        )
    )


def _pack_view(view: PeerRenewalView) -> PeerState:
    consent_until = _forget(to_instant(view.vote_until), 0)
    bound_until = _forget(to_instant(view.committed_until), -LEASE - 1)
    return PeerState(
        asked=_forget(to_instant(view.asked_at), -3),
        speaks_since=_clamp(to_instant(view.reports_since), -CANCEL - 1),
        quiet_until=_forget(to_instant(view.promised_until), 0),
        born=_clamp(to_instant(view.started_at), -LEASE - 3),
        consent=view.vote_token if consent_until is not None else 0,
        consent_until=consent_until,
        bound_token=view.committed_token if bound_until is not None else 0,
        bound_until=bound_until,
        synced_list_at=_clamp(to_instant(view.synced_list_asked_at), -CANCEL - 1),
        listed=_clamp(to_instant(view.list_asked_at), -CANCEL - 1),
    )


def unpack(controller: ControllerId) -> FollowerLeases:
    """Create the code under test from an interned controller state."""
    state = fields(controller)
    follower_leases = FollowerLeases(PEER_NAMES, TIMING, NOW)
    follower_leases._state = RenewalState(
        NOW + seconds(state.born),
        state.token,
        to_time(state.led),
        state.bound_token,
        to_time(state.bound_until),
    )
    for name, peer in zip(PEER_NAMES, state.peers, strict=True):
        follower_leases._views[name] = PeerRenewalView(
            to_time(peer.asked),
            to_time(peer.speaks_since),
            to_time(peer.quiet_until),
            to_time(peer.born),
            peer.consent,
            to_time(peer.consent_until),
            peer.bound_token,
            to_time(peer.bound_until),
            to_time(peer.synced_list_at),
            to_time(peer.listed),
        )
    if state.lists_job:
        follower_leases._cancellations[JOB_ID] = NOW
    return follower_leases


def forget_leader(follower_leases: FollowerLeases) -> None:
    """Make a controller forget when it last heard a leader (a false input)."""
    follower_leases._state = replace(follower_leases._state, leader_contact_at=None)


@cache
def with_job_listed(controller: ControllerId) -> ControllerId:
    """Return the controller with the job on its cancellation list."""
    return intern(fields(controller)._replace(lists_job=True))


@cache
def second_later(controller: ControllerId, consents_endless: bool) -> ControllerId:
    """Return the controller one second later.

    ``consents_endless``: consents that were given to it stay valid (a false input).
    """
    state = fields(controller)
    first, second = (_peer_second_later(peer, consents_endless) for peer in state.peers)
    later = state._replace(
        born=max(OLDEST, state.born - 1),
        led=_earlier(state.led),
        bound_until=_earlier(state.bound_until),
        peers=(first, second),
    )
    return pack(unpack(intern(later)))


def _peer_second_later(peer: PeerState, consents_endless: bool) -> PeerState:
    return peer._replace(
        asked=_earlier(peer.asked),
        speaks_since=_earlier(peer.speaks_since),
        quiet_until=_earlier(peer.quiet_until),
        born=_earlier(peer.born),
        consent_until=peer.consent_until if consents_endless else _earlier(peer.consent_until),
        bound_until=_earlier(peer.bound_until),
        synced_list_at=_earlier(peer.synced_list_at),
        listed=_earlier(peer.listed),
    )


def _earlier(instant: Instant | None) -> Instant | None:
    return None if instant is None else max(OLDEST, instant - 1)


def canonical(state: State, has_late_answers: bool) -> State:
    """Return one state for all that differ in nothing that matters.

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
        heard=state.heard if leads else 0,
        informed=state.informed if leads else 0,
        records=state.records if leads else Records.READ,
        late_answers=tuple(sorted(late_answers)),
    )


@cache
def _with_peers_exchanged(controller: ControllerId) -> ControllerId:
    state = fields(controller)
    first, second = state.peers
    return intern(state._replace(peers=(second, first)))


@cache
def _reduced(
    controller: ControllerId, is_leader: bool, has_leader: bool, has_late_answers: bool
) -> ControllerId:
    """Return the controller without what no decision can depend on any more."""
    state = fields(controller)
    # All peers must have spoken for long enough, so only the one that has for the shortest time
    # counts.
    latest = max(
        (peer.speaks_since for peer in state.peers if peer.speaks_since is not None),
        default=OLDEST,
    )
    any_silent = any(peer.speaks_since is None for peer in state.peers)
    first, second = (
        _reduced_peer(
            peer._replace(
                asked=peer.asked if has_late_answers else None,
                speaks_since=OLDEST
                if peer.speaks_since is not None and (any_silent or peer.speaks_since < latest)
                else peer.speaks_since,
            ),
            is_leader,
            state.born,
        )
        for peer in state.peers
    )
    return intern(
        state._replace(
            led=OLDEST if is_leader else state.led,
            bound_token=state.bound_token if has_leader else 0,
            bound_until=state.bound_until if has_leader else None,
            peers=(first, second),
        )
    )


def _reduced_peer(peer: PeerState, owner_leads: bool, owner_born: Instant) -> PeerState:
    if owner_leads:
        listed = peer.listed
        return peer._replace(
            consent=0,
            consent_until=None,
            synced_list_at=peer.synced_list_at if peer.synced_list_at == 0 else OLDEST,
            listed=OLDEST if listed is not None and listed != 0 else listed,
        )
    # Whether the list was given since the owner's start: nothing else is asked of it.
    given = peer.synced_list_at is not None and peer.synced_list_at >= owner_born
    return peer._replace(
        quiet_until=None,
        born=OLDEST,
        bound_token=0,
        bound_until=None,
        synced_list_at=OLDEST if owner_born == OLDEST else (0 if given else None),
        listed=None,
    )
