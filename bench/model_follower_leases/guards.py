"""Guards of the code under test, and the false inputs that disable them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bench.model_follower_leases.state import (
    OLDEST,
    TOKEN,
    ControllerId,
    ControllerState,
    PeerState,
    Promise,
    controller_state,
    intern,
)

ControllerChange = Callable[[ControllerState], ControllerState]


@dataclass(frozen=True, slots=True)
class FalseInputs:
    """False inputs of the code under test; each disables a guard."""

    #: The leader expires leases without any peer's promise.
    expires_without_promises: bool = False
    #: Every follower assumes that both peers have voted for it.
    votes_forged: bool = False
    #: Controllers forget their renewal promise to a leader.
    leader_forgotten: bool = False
    #: A cancellation is confirmed before another controller knows it.
    confirms_without_peers: bool = False
    #: A late answer is dated by its arrival instead of its ping.
    answers_dated_by_receipt: bool = False
    #: Votes never expire for the controller that received them.
    votes_never_expire: bool = False
    #: A leader assumes that it has read all cancellations before its election.
    election_counts_as_read: bool = False
    #: A leader that has not read its records stops no task.
    stops_by_records_only: bool = False
    #: Records that arrive after a cancellation notice override it.
    early_notices_ignored: bool = False
    #: A leader assumes that a peer's list includes what its previous process confirmed.
    lists_always_complete: bool = False
    #: A leader answers workers as if it knew every cancellation.
    answers_indefinitely: bool = False
    #: Changes of what a controller knows about itself, and of what a leader knows about its peers.
    about_itself: ControllerChange | None = None
    about_peers: ControllerChange | None = None
    #: Change of the promise that the asker receives.
    promise_change: Callable[[Promise], Promise] | None = None


@dataclass(frozen=True, slots=True)
class Guard:
    """False inputs that disable a guard, and the smallest model in which that breaks a rule."""

    false_inputs: FalseInputs
    #: Number of crashes in one path.
    crashes: int = 0
    #: Maximum number of late answers in flight.
    delayed: int = 0
    #: The leader has just been elected and has not read its records yet.
    reading: bool = False
    #: The search takes hundreds of thousands of states to find the broken rule.
    large: bool = False


def _change_peers(change: Callable[[PeerState], PeerState]) -> ControllerChange:
    def changed(controller: ControllerState) -> ControllerState:
        first, second = controller.peers
        return controller._replace(peers=(change(first), change(second)))

    return changed


def with_false_inputs(
    controller: ControllerId, change: ControllerChange | None, votes_forged: bool = False
) -> ControllerId:
    """Return the controller with false values for itself or its peers."""
    if change is None and not votes_forged:
        return controller
    state = controller_state(controller) if change is None else change(controller_state(controller))
    if votes_forged:
        state = _with_forged_votes(state)
    return intern(state)


_with_forged_votes = _change_peers(lambda peer: peer._replace(vote_token=TOKEN, vote_until=1))


def without_false_inputs(before: ControllerId, after: ControllerId) -> ControllerId:
    """Return the controller ``after`` a step with the true values of ``before`` restored.

    These are the start of its process and its views of the peers.
    """
    if before == after:
        return before
    truth = controller_state(before)
    return intern(controller_state(after)._replace(started_at=truth.started_at, peers=truth.peers))


GUARDS: dict[str, Guard] = {
    "a leader asks for promises before it treats a lease as expired": Guard(
        FalseInputs(expires_without_promises=True)
    ),
    "renewing leases as a follower needs consents": Guard(FalseInputs(votes_forged=True)),
    "no consent while the promise given to a leader holds": Guard(
        FalseInputs(leader_forgotten=True)
    ),
    "no consent while the promise of an earlier process may hold": Guard(
        FalseInputs(about_itself=lambda controller: controller._replace(started_at=OLDEST)),
        crashes=1,
    ),
    "a leader allows for consents of an earlier process": Guard(
        FalseInputs(about_peers=_change_peers(lambda peer: peer._replace(started_at=OLDEST))),
        crashes=1,
    ),
    "a leader waits a lease from the end of a consent": Guard(
        FalseInputs(
            about_peers=_change_peers(
                lambda peer: peer._replace(committed_token=0, committed_until=None)
            )
        )
    ),
    "a consent expires": Guard(FalseInputs(votes_never_expire=True)),
    "answers are dated by their questions": Guard(
        FalseInputs(answers_dated_by_receipt=True), delayed=1, large=True
    ),
    "others know of a cancellation before it is confirmed": Guard(
        FalseInputs(confirms_without_peers=True)
    ),
    "cancellation lists come with promises": Guard(
        FalseInputs(promise_change=lambda promise: promise._replace(lists_job=False))
    ),
    "a leader's answers end when cancellations may be unknown": Guard(
        FalseInputs(answers_indefinitely=True)
    ),
    "being elected is no knowledge of cancellations": Guard(
        FalseInputs(election_counts_as_read=True), reading=True
    ),
    "a list lacks what an earlier process confirmed": Guard(
        FalseInputs(lists_always_complete=True), crashes=2, large=True
    ),
    "listed jobs are stopped before the records are read": Guard(
        FalseInputs(stops_by_records_only=True), reading=True
    ),
    "a notice that arrives before the records overrides them": Guard(
        FalseInputs(early_notices_ignored=True), reading=True
    ),
    "a restarted controller asks for the list that it lost": Guard(
        FalseInputs(promise_change=lambda promise: promise._replace(synced=True)),
        crashes=1,
        large=True,
    ),
}
