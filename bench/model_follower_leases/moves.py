"""Everything that may happen next in the small world, and the rules that may break."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from bench.model_follower_leases.conversion import new_controller, second_later, with_job_listed
from bench.model_follower_leases.decisions import (
    answer_ping,
    answer_worker_as_follower,
    hear,
    leader_may_renew,
    may_expire_lease,
)
from bench.model_follower_leases.guards import FalseInputs, believed, without_false_inputs
from bench.model_follower_leases.state import (
    CANCEL,
    CONTROLLERS,
    LEADER,
    LEASE,
    TOKEN,
    ControllerId,
    LateAnswer,
    Records,
    State,
    fields,
    peer_name,
    with_controller,
)

#: A late answer is lost when its question is older than this.
_OLDEST_LATE_ANSWER = -2


class RuleBrokenError(Exception):
    """A safety rule of the protocol, by its name."""

    def __init__(self, rule: str) -> None:
        super().__init__(rule)
        self.rule = rule


class Move(NamedTuple):
    """Something that may happen, and the state after it.

    ``state`` is None where the task is gone: no rule can be broken any more.
    """

    description: str
    state: State | None


def _has_records(state: State) -> bool:
    return state.records in (Records.READ, Records.MISLEADING)


@dataclass(frozen=True, slots=True)
class Moves:
    """Generates moves.  ``max_late``: how many late answers may be in flight at once."""

    false_inputs: FalseInputs
    max_late: int

    def after(self, state: State) -> Iterator[Move]:
        """Yield all that may happen next.  Raises ``RuleBrokenError``."""
        if state.confirmed is not None and state.confirmed <= -CANCEL:
            raise RuleBrokenError("ran_cancelled")
        if state.renewed - 1 >= -LEASE:
            yield Move("a second passes", self._second_later(state))
        yield from self._pings(state)
        yield from self._late_answers(state)
        yield from self._answers_of_followers(state)
        if state.leads:
            yield from self._moves_of_leader(state)
        if state.confirmed is None:
            yield from self._cancellations(state)
        if state.crashes:
            yield from self._crashes(state)

    def _second_later(self, state: State) -> State:
        endless = self.false_inputs.consents_endless
        leader, first, second = state.controllers
        return state._replace(
            controllers=(
                second_later(leader, endless),
                second_later(first, endless),
                second_later(second, endless),
            ),
            heard=max(state.heard - 1, -LEASE - 1),
            informed=max(state.informed - 1, -1),
            renewed=state.renewed - 1,
            confirmed=None if state.confirmed is None else state.confirmed - 1,
            late_answers=tuple(
                answer._replace(asked=answer.asked - 1)
                for answer in state.late_answers
                if answer.asked > _OLDEST_LATE_ANSWER
            ),
        )

    def _pings(self, state: State) -> Iterator[Move]:
        for asker in CONTROLLERS:
            for peer in CONTROLLERS:
                if peer != asker:
                    yield from self._ping(state, asker, peer)

    def _ping(self, state: State, asker: int, peer: int) -> Iterator[Move]:
        """Let one controller ask another; the answer arrives at once or late."""
        controllers, false_inputs = state.controllers, self.false_inputs
        leading_token = TOKEN if asker == LEADER and state.leads else 0
        # A leader consents to nothing: it is asked for its list only.
        consents_to_nothing = leading_token or (peer == LEADER and state.leads)
        wants_consent = 0 if consents_to_nothing else fields(controllers[asker]).token
        answering = believed(controllers[peer], false_inputs.of_itself)
        answered, promise = answer_ping(
            answering, leading_token, wants_consent, false_inputs.leader_forgotten
        )
        if false_inputs.of_promises is not None:
            promise = false_inputs.of_promises(promise)
        answered = without_false_inputs(controllers[peer], answered)
        asked = state._replace(controllers=with_controller(state, peer, answered))
        heard = hear(controllers[asker], peer_name(asker, peer), promise, 0, leading_token)
        yield Move(
            f"{asker} asks {peer}",
            asked._replace(controllers=with_controller(asked, asker, heard)),
        )
        if len(state.late_answers) < self.max_late:
            late = LateAnswer(asker, peer, 0, leading_token, promise)
            yield Move(
                f"{asker} asks {peer}, the answer is delayed",
                asked._replace(late_answers=(*state.late_answers, late)),
            )

    def _late_answers(self, state: State) -> Iterator[Move]:
        for answer in state.late_answers:
            asked = 0 if self.false_inputs.dated_by_receipt else answer.asked
            heard = hear(
                state.controllers[answer.asker],
                peer_name(answer.asker, answer.peer),
                answer.promise,
                asked,
                answer.leading_token,
            )
            rest = tuple(other for other in state.late_answers if other is not answer)
            yield Move(
                f"the delayed answer of {answer.peer} reaches {answer.asker}",
                state._replace(
                    controllers=with_controller(state, answer.asker, heard), late_answers=rest
                ),
            )

    def _answers_of_followers(self, state: State) -> Iterator[Move]:
        for index in CONTROLLERS:
            if index == LEADER and state.leads:
                continue
            controller = state.controllers[index]
            follower = believed(
                controller, self.false_inputs.of_itself, self.false_inputs.consents_forged
            )
            answer = answer_worker_as_follower(follower)
            if answer is None:
                continue
            answered = without_false_inputs(controller, answer.controller)
            renewed = state._replace(controllers=with_controller(state, index, answered), renewed=0)
            yield Move(
                f"{index} answers the worker as a follower",
                None if answer.stops_task else renewed,
            )

    def _moves_of_leader(self, state: State) -> Iterator[Move]:
        leader = state.controllers[LEADER]
        leader_believes = believed(leader, self.false_inputs.of_others)
        if state.heard < -LEASE and (
            self.false_inputs.leader_asks_nobody or may_expire_lease(leader_believes)
        ):
            # The task would be started elsewhere, and it is still here.
            raise RuleBrokenError("ran_twice")
        yield from self._reads(state, fields(leader).lists_job)
        if _has_records(state):
            yield from self._answer_with_full_authority(state)
        yield from self._answer_by_lists(state, leader_believes)

    def _answer_with_full_authority(self, state: State) -> Iterator[Move]:
        """Let the leader answer the worker, or hear of the cancellation by its watch."""
        leader = state.controllers[LEADER]
        if state.confirmed is None:
            yield Move(
                "the leader answers, the state service is reachable",
                state._replace(heard=0, informed=0, renewed=0),
            )
        elif not (fields(leader).lists_job and state.records == Records.READ):
            # The task is stopped with the next answer.
            listed = with_controller(state, LEADER, with_job_listed(leader))
            yield Move(
                "the leader hears of the cancellation",
                state._replace(controllers=listed, records=Records.READ),
            )

    def _answer_by_lists(self, state: State, leader_believes: ControllerId) -> Iterator[Move]:
        """Let the leader answer the worker while it receives no changes of jobs."""
        has_records = _has_records(state)
        informed_at_all = has_records or self.false_inputs.informed_by_election
        informed = state.informed if informed_at_all else None
        if not self.false_inputs.answers_for_ever and not leader_may_renew(
            leader_believes, informed, self.false_inputs.lists_ageless
        ):
            return
        job_listed = fields(state.controllers[LEADER]).lists_job
        stops_task = job_listed and state.records != Records.MISLEADING
        if self.false_inputs.stops_by_records_only and not has_records:
            stops_task = False
        yield Move(
            "the leader answers, the state service is unreachable",
            None if stops_task else state._replace(heard=0, renewed=0),
        )

    def _reads(self, state: State, job_listed: bool) -> Iterator[Move]:
        """Let a new leader read its records: the service answers, then the answer arrives."""
        if state.records == Records.UNREAD:
            if state.confirmed is None:
                yield Move(
                    "the leader's records are read, the job is alive",
                    state._replace(records=Records.IN_FLIGHT, informed=0),
                )
            else:
                leader = with_job_listed(state.controllers[LEADER])
                yield Move(
                    "the leader reads its records, the job is cancelled",
                    state._replace(
                        records=Records.READ,
                        informed=0,
                        controllers=with_controller(state, LEADER, leader),
                    ),
                )
        elif state.records == Records.IN_FLIGHT:
            lost = job_listed and self.false_inputs.early_notices_lost
            yield Move(
                "the records arrive",
                state._replace(records=Records.MISLEADING if lost else Records.READ),
            )

    def _cancellations(self, state: State) -> Iterator[Move]:
        """Let a controller confirm that the job is cancelled, once another one knows."""
        for teller in CONTROLLERS:
            if self.false_inputs.confirms_alone:
                witnesses = [teller]
            else:
                witnesses = [index for index in CONTROLLERS if index != teller]
            for witness in witnesses:
                listed = with_job_listed(state.controllers[teller])
                after_confirmation = state._replace(
                    controllers=with_controller(state, teller, listed), confirmed=0
                )
                listed = with_job_listed(after_confirmation.controllers[witness])
                yield Move(
                    f"{teller} confirms that the job is cancelled, {witness} knows",
                    after_confirmation._replace(
                        controllers=with_controller(after_confirmation, witness, listed)
                    ),
                )

    def _crashes(self, state: State) -> Iterator[Move]:
        restarted = new_controller()
        for index in CONTROLLERS:
            yield Move(
                f"{index} crashes and is back",
                state._replace(
                    controllers=with_controller(state, index, restarted),
                    leads=state.leads and index != LEADER,
                    crashes=state.crashes - 1,
                    late_answers=tuple(
                        answer for answer in state.late_answers if answer.asker != index
                    ),
                ),
            )
