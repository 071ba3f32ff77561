"""Calls of the code under test, cached by their arguments."""

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

#: The worker always shows its only task.
HEARTBEAT = Heartbeat(
    "i-1", "", "", "", False, 1, 1, TOKEN, None, [TaskStatus(f"{JOB_ID}/0", 1, "running")]
)


class PingAnswer(NamedTuple):
    """What a controller has become by answering a ping, and its answer."""

    controller: ControllerId
    promise: Promise


class FollowerAnswer(NamedTuple):
    """What a follower has become by answering the worker, and whether it stops the task."""

    controller: ControllerId
    stops_task: bool


@cache
def answer_ping(
    controller: ControllerId, leading_token: int, wants_consent: int, leader_forgotten: bool
) -> PingAnswer:
    """Let a controller answer a ping.

    ``leading_token``: of the term that the asker leads; ``wants_consent``: the token under which
    the asker wants to renew leases; 0: none.  ``leader_forgotten`` is a false input.
    """
    follower_leases = unpack(controller)
    if leader_forgotten:
        forget_leader(follower_leases)
    ping = Ping("c0" if leading_token else "", False, leading_token, wants_consent, True)
    word = follower_leases.promise(ping, leading=False, state_reachable=False, now=NOW)
    promise = Promise(
        age=round(word.age_ms / 1000),
        synced=word.synced,
        consent=word.consent,
        bound_token=word.bound_token,
        bound=round(word.bound_ms / 1000),
        lists_job=word.cancellations is not None and JOB_ID in word.cancellations,
    )
    return PingAnswer(pack(follower_leases), promise)


@cache
def hear(
    controller: ControllerId, peer: str, promise: Promise, asked: Instant, leading_token: int
) -> ControllerId:
    """Let a controller take in a peer's answer to the ping that it sent at ``asked``."""
    follower_leases = unpack(controller)
    word = RenewalPromise(
        promise.age * 1000.0,
        promise.synced,
        promise.consent,
        promise.bound_token,
        promise.bound * 1000.0,
        {JOB_ID: 0.0} if promise.lists_job else {},
    )
    follower_leases.on_ping_answer(peer, word, NOW + seconds(asked), NOW, leading_token)
    return pack(follower_leases)


@cache
def answer_worker_as_follower(controller: ControllerId) -> FollowerAnswer | None:
    """Let a controller answer the worker without a leader; None: it may not."""
    follower_leases = unpack(controller)
    response = follower_leases.renew(HEARTBEAT, state_reachable=False, now=NOW)
    if response is None:
        return None
    return FollowerAnswer(pack(follower_leases), bool(response.commands))


@cache
def may_expire_lease(leader: ControllerId) -> bool:
    """Return whether the leader may treat the lease of a silent worker as expired."""
    began = NOW + seconds(OLDEST * 2)
    return may_expire_leases(TOKEN, began, unpack(leader).views(), NOW, TIMING)


@cache
def leader_may_renew(leader: ControllerId, informed: Instant | None, lists_ageless: bool) -> bool:
    """Return whether a leader that receives no changes of jobs may answer the worker.

    ``informed``: up to when its reads cover all cancellations; None: it has read nothing.
    ``lists_ageless``: it takes all lists for complete, however young the process that gave them
    (a false input).
    """
    known = to_time(informed)
    term = Term(TOKEN, 1, NOW - seconds(1), known)
    follower_leases = unpack(leader)
    views = follower_leases.views()
    if lists_ageless:
        views = tuple(replace(view, started_at=to_time(OLDEST)) for view in views)
    instants = (
        follower_leases.cancellations_known_until(NOW),
        cancellations_listed_until(views, known),
    )
    known_until = max((instant for instant in instants if instant is not None), default=None)
    authority = term.authority(NOW, [None], TIMING.lease_expiry, TIMING.cancel_timeout, known_until)
    return authority is Authority.RENEW_ONLY
