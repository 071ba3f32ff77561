"""Calls of the code under test, cached by argument."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from typing import NamedTuple

from bench.model_follower_leases.conversion import forget_leader, pack, to_time, unpack
from bench.model_follower_leases.state import (
    JOB_ID,
    NOW,
    OLDEST,
    TIMING,
    TOKEN,
    ControllerId,
    Instant,
    Promise,
)
from micadeal.clock import seconds
from micadeal.leadership.follower_leases import cancellations_listed_until, may_expire_leases
from micadeal.leadership.term import Authority, Term
from micadeal.wire.peers import Ping, RenewalPromise
from micadeal.wire.workers import Heartbeat, TaskStatus

#: Every heartbeat of the worker reports its only task as running.
HEARTBEAT = Heartbeat(
    "i-1", "", "", "", False, 1, 1, TOKEN, None, [TaskStatus(f"{JOB_ID}/0", 1, "running")]
)


class PingAnswer(NamedTuple):
    """The state of a controller after it answered a ping, and its answer."""

    controller: ControllerId
    promise: Promise


class FollowerAnswer(NamedTuple):
    """The state of a follower after it answered the worker, and whether it stops the task."""

    controller: ControllerId
    stops_task: bool


@cache
def answer_ping(
    controller: ControllerId, leading_token: int, requested_vote_token: int, leader_forgotten: bool
) -> PingAnswer:
    """Let a controller answer a ping.

    ``leading_token``: the token of the term that the asker leads; 0: it does not lead.
    ``requested_vote_token``: the token under which the asker wants to renew leases; 0: none.
    ``leader_forgotten`` is a false input.
    """
    follower_leases = unpack(controller)
    if leader_forgotten:
        forget_leader(follower_leases)
    ping = Ping("c0" if leading_token else "", False, leading_token, requested_vote_token, True)
    message = follower_leases.promise(ping, leading=False, state_reachable=False, now=NOW)
    promise = Promise(
        age=round(message.age_ms / 1000),
        synced=message.synced,
        vote_token=message.consent,
        committed_token=message.bound_token,
        committed_for=round(message.bound_ms / 1000),
        lists_job=message.cancellations is not None and JOB_ID in message.cancellations,
    )
    return PingAnswer(pack(follower_leases), promise)


@cache
def receive_ping_answer(
    controller: ControllerId, peer: str, promise: Promise, asked_at: Instant, leading_token: int
) -> ControllerId:
    """Let a controller process a peer's answer to the ping that it sent at ``asked_at``."""
    follower_leases = unpack(controller)
    message = RenewalPromise(
        promise.age * 1000.0,
        promise.synced,
        promise.vote_token,
        promise.committed_token,
        promise.committed_for * 1000.0,
        {JOB_ID: 0.0} if promise.lists_job else {},
    )
    follower_leases.on_ping_answer(peer, message, NOW + seconds(asked_at), NOW, leading_token)
    return pack(follower_leases)


@cache
def answer_worker_as_follower(controller: ControllerId) -> FollowerAnswer | None:
    """Let a controller answer the worker as a follower; None: it must not."""
    follower_leases = unpack(controller)
    response = follower_leases.renew(HEARTBEAT, state_reachable=False, now=NOW)
    if response is None:
        return None
    return FollowerAnswer(pack(follower_leases), bool(response.commands))


@cache
def may_expire_lease(leader: ControllerId) -> bool:
    """Return whether the leader may treat the lease of a silent worker as expired."""
    started_at = NOW + seconds(OLDEST * 2)
    return may_expire_leases(TOKEN, started_at, unpack(leader).views(), NOW, TIMING)


@cache
def leader_may_renew(
    leader: ControllerId, cancellations_read_until: Instant | None, lists_always_complete: bool
) -> bool:
    """Return whether a leader that receives no changes of jobs may answer the worker.

    ``cancellations_read_until``: the instant up to which its reads include all cancellations; None:
    it has read nothing.  ``lists_always_complete``: it treats all lists as complete, even those of
    processes that have just started (a false input).
    """
    read_until = to_time(cancellations_read_until)
    term = Term(TOKEN, 1, NOW - seconds(1), read_until)
    follower_leases = unpack(leader)
    views = follower_leases.views()
    if lists_always_complete:
        views = tuple(replace(view, started_at=to_time(OLDEST)) for view in views)
    instants = (
        follower_leases.cancellations_known_until(NOW),
        cancellations_listed_until(views, read_until),
    )
    known_until = max((instant for instant in instants if instant is not None), default=None)
    authority = term.authority(NOW, [None], TIMING.lease_expiry, TIMING.cancel_timeout, known_until)
    return authority is Authority.RENEW_ONLY
