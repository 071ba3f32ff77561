"""False inputs, and the guards of the code that they disable."""

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
    fields,
    intern,
)

ControllerChange = Callable[[ControllerState], ControllerState]


@dataclass(frozen=True, slots=True)
class FalseInputs:
    """What the code under test is given in place of the truth."""

    #: The leader expires leases without any peer's promise.
    leader_asks_nobody: bool = False
    #: Every follower believes that both peers consent.
    consents_forged: bool = False
    #: Controllers forget that they promised a leader to abstain.
    leader_forgotten: bool = False
    #: A cancellation is confirmed before another controller knows of it.
    confirms_alone: bool = False
    #: A late answer counts from its arrival.
    dated_by_receipt: bool = False
    #: Consents never expire for the controller that was given them.
    consents_endless: bool = False
    #: A leader believes that nothing was cancelled before it was elected.
    informed_by_election: bool = False
    #: A leader that has not read its records stops nothing.
    stops_by_records_only: bool = False
    #: Records that arrive after a notice of cancellation override it.
    early_notices_lost: bool = False
    #: A leader believes that a list has all that an earlier process confirmed.
    lists_ageless: bool = False
    #: A leader believes that no cancellation can be unknown.
    answers_for_ever: bool = False
    #: What a controller believes about itself, and a leader about its peers.
    of_itself: ControllerChange | None = None
    of_others: ControllerChange | None = None
    #: What the asker receives in place of a promise.
    of_promises: Callable[[Promise], Promise] | None = None


@dataclass(frozen=True, slots=True)
class Guard:
    """False inputs that disable a guard, and the smallest world in which that breaks a rule."""

    lies: FalseInputs
    #: Crashes in one path.
    crashes: int = 0
    #: Late answers in flight at once.
    delayed: int = 0
    #: The leader was elected a moment ago.
    reading: bool = False
    #: It takes hundreds of thousands of states to find.
    large: bool = False


def _about_peers(change: Callable[[PeerState], PeerState]) -> ControllerChange:
    def changed(controller: ControllerState) -> ControllerState:
        first, second = controller.peers
        return controller._replace(peers=(change(first), change(second)))

    return changed


def believed(
    controller: ControllerId, change: ControllerChange | None, consents_forged: bool = False
) -> ControllerId:
    """Return the controller with false inputs about itself or its peers."""
    if change is None and not consents_forged:
        return controller
    state = fields(controller) if change is None else change(fields(controller))
    if consents_forged:
        state = _with_forged_consents(state)
    return intern(state)


_with_forged_consents = _about_peers(lambda peer: peer._replace(consent=TOKEN, consent_until=1))


def without_false_inputs(before: ControllerId, after: ControllerId) -> ControllerId:
    """Return what a controller has become, with the truth about itself and its peers restored."""
    if before == after:
        return before
    truth = fields(before)
    return intern(fields(after)._replace(born=truth.born, peers=truth.peers))


GUARDS: dict[str, Guard] = {
    "a leader asks for promises before it treats a lease as expired": Guard(
        FalseInputs(leader_asks_nobody=True)
    ),
    "renewing leases as a follower needs consents": Guard(FalseInputs(consents_forged=True)),
    "no consent while the promise given to a leader holds": Guard(
        FalseInputs(leader_forgotten=True)
    ),
    "no consent while the promise of an earlier process may hold": Guard(
        FalseInputs(of_itself=lambda controller: controller._replace(born=OLDEST)), crashes=1
    ),
    "a leader allows for consents of an earlier process": Guard(
        FalseInputs(of_others=_about_peers(lambda peer: peer._replace(born=OLDEST))), crashes=1
    ),
    "a leader waits a lease from the end of a consent": Guard(
        FalseInputs(
            of_others=_about_peers(lambda peer: peer._replace(bound_token=0, bound_until=None))
        )
    ),
    "a consent expires": Guard(FalseInputs(consents_endless=True)),
    "answers are dated by their questions": Guard(
        FalseInputs(dated_by_receipt=True), delayed=1, large=True
    ),
    "others know of a cancellation before it is confirmed": Guard(FalseInputs(confirms_alone=True)),
    "cancellation lists come with promises": Guard(
        FalseInputs(of_promises=lambda promise: promise._replace(lists_job=False))
    ),
    "a leader's answers end when cancellations may be unknown": Guard(
        FalseInputs(answers_for_ever=True)
    ),
    "being elected is no knowledge of cancellations": Guard(
        FalseInputs(informed_by_election=True), reading=True
    ),
    "a list lacks what an earlier process confirmed": Guard(
        FalseInputs(lists_ageless=True), crashes=2, large=True
    ),
    "listed jobs are stopped before the records are read": Guard(
        FalseInputs(stops_by_records_only=True), reading=True
    ),
    "a notice that arrives before the records overrides them": Guard(
        FalseInputs(early_notices_lost=True), reading=True
    ),
    "a restarted controller asks for the list that it lost": Guard(
        FalseInputs(of_promises=lambda promise: promise._replace(synced=True)),
        crashes=1,
        large=True,
    ),
}
