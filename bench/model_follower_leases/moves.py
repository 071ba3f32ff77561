"""All moves that are possible in a state of the model, and the rules that they may break."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from bench.model_follower_leases.conversion import after_one_second, new_controller, with_job_listed
from bench.model_follower_leases.decisions import (
    answer_ping,
    answer_worker_as_follower,
    leader_may_renew,
    may_expire_lease,
    receive_ping_answer,
)
from bench.model_follower_leases.guards import FalseInputs, with_false_inputs, without_false_inputs
from bench.model_follower_leases.state import (
    CANCEL_TIMEOUT_S,
    CONTROLLERS,
    LEADER,
    LEASE_S,
    TOKEN,
    ControllerId,
    LateAnswer,
    Records,
    State,
    controller_state,
    peer_name,
    with_controller,
)

#: A late answer is lost if its ping was sent before this instant.
_OLDEST_LATE_QUESTION = -2


class RuleBrokenError(Exception):
    """A safety rule of the protocol is broken; ``rule`` is its name."""

    def __init__(self, rule: str) -> None:
        super().__init__(rule)
        self.rule = rule


class Move(NamedTuple):
    """A move, and the state after it.

    ``state`` is None if the task has ended: no rule can be broken any more.
    """

    description: str
    state: State | None


def _has_records(state: State) -> bool:
    return state.records in (Records.READ, Records.MISLEADING)


@dataclass(frozen=True, slots=True)
class Moves:
    """Generates moves; ``max_late`` is the maximum number of late answers in flight."""

    false_inputs: FalseInputs
    max_late: int

    def after(self, state: State) -> Iterator[Move]:
        """Yield all moves that are possible in ``state``.

        Raises ``RuleBrokenError`` if a rule is broken in ``state``.
        """
        if state.confirmed_at is not None and state.confirmed_at <= -CANCEL_TIMEOUT_S:
            raise RuleBrokenError("ran_cancelled")
        if state.renewed_at - 1 >= -LEASE_S:
            yield Move("a second passes", self._second_later(state))
        yield from self._pings(state)
        yield from self._late_answers(state)
        yield from self._follower_renewals(state)
        if state.leads:
            yield from self._moves_of_leader(state)
        if state.confirmed_at is None:
            yield from self._cancellations(state)
        if state.crashes:
            yield from self._crashes(state)

    def _second_later(self, state: State) -> State:
        votes_never_expire = self.false_inputs.votes_never_expire
        leader, first, second = state.controllers
        return state._replace(
            controllers=(
                after_one_second(leader, votes_never_expire),
                after_one_second(first, votes_never_expire),
                after_one_second(second, votes_never_expire),
            ),
            leader_answered_at=max(state.leader_answered_at - 1, -LEASE_S - 1),
            cancellations_read_until=max(state.cancellations_read_until - 1, -1),
            renewed_at=state.renewed_at - 1,
            confirmed_at=None if state.confirmed_at is None else state.confirmed_at - 1,
            late_answers=tuple(
                answer._replace(asked_at=answer.asked_at - 1)
                for answer in state.late_answers
                if answer.asked_at > _OLDEST_LATE_QUESTION
            ),
        )

    def _pings(self, state: State) -> Iterator[Move]:
        for asker in CONTROLLERS:
            for peer in CONTROLLERS:
                if peer != asker:
                    yield from self._ping(state, asker, peer)

    def _ping(self, state: State, asker: int, peer: int) -> Iterator[Move]:
        """Let one controller ping another; the answer arrives immediately or late."""
        controllers, false_inputs = state.controllers, self.false_inputs
        leading_token = TOKEN if asker == LEADER and state.leads else 0
        # A leader neither asks for a vote nor gives one: pings from and to it request only a list.
        asks_for_list_only = leading_token or (peer == LEADER and state.leads)
        requested_vote_token = (
            0 if asks_for_list_only else controller_state(controllers[asker]).token
        )
        believed_peer = with_false_inputs(controllers[peer], false_inputs.about_itself)
        answered, promise = answer_ping(
            believed_peer, leading_token, requested_vote_token, false_inputs.leader_forgotten
        )
        if false_inputs.promise_change is not None:
            promise = false_inputs.promise_change(promise)
        answered = without_false_inputs(controllers[peer], answered)
        after_answer = state._replace(controllers=with_controller(state, peer, answered))
        asker_after = receive_ping_answer(
            controllers[asker], peer_name(asker, peer), promise, 0, leading_token
        )
        yield Move(
            f"{asker} asks {peer}",
            after_answer._replace(controllers=with_controller(after_answer, asker, asker_after)),
        )
        if len(state.late_answers) < self.max_late:
            late = LateAnswer(asker, peer, 0, leading_token, promise)
            yield Move(
                f"{asker} asks {peer}, the answer is delayed",
                after_answer._replace(late_answers=(*state.late_answers, late)),
            )

    def _late_answers(self, state: State) -> Iterator[Move]:
        for answer in state.late_answers:
            asked_at = 0 if self.false_inputs.answers_dated_by_receipt else answer.asked_at
            asker_after = receive_ping_answer(
                state.controllers[answer.asker],
                peer_name(answer.asker, answer.peer),
                answer.promise,
                asked_at,
                answer.leading_token,
            )
            remaining = tuple(other for other in state.late_answers if other is not answer)
            yield Move(
                f"the delayed answer of {answer.peer} reaches {answer.asker}",
                state._replace(
                    controllers=with_controller(state, answer.asker, asker_after),
                    late_answers=remaining,
                ),
            )

    def _follower_renewals(self, state: State) -> Iterator[Move]:
        for index in CONTROLLERS:
            if index == LEADER and state.leads:
                continue
            controller = state.controllers[index]
            follower = with_false_inputs(
                controller, self.false_inputs.about_itself, self.false_inputs.votes_forged
            )
            answer = answer_worker_as_follower(follower)
            if answer is None:
                continue
            answered = without_false_inputs(controller, answer.controller)
            after_renewal = state._replace(
                controllers=with_controller(state, index, answered), renewed_at=0
            )
            yield Move(
                f"{index} answers the worker as a follower",
                None if answer.stops_task else after_renewal,
            )

    def _moves_of_leader(self, state: State) -> Iterator[Move]:
        leader = state.controllers[LEADER]
        leader_believes = with_false_inputs(leader, self.false_inputs.about_peers)
        if state.leader_answered_at < -LEASE_S and (
            self.false_inputs.expires_without_promises or may_expire_lease(leader_believes)
        ):
            # The leader would start the task on another machine while the worker still runs it.
            raise RuleBrokenError("ran_twice")
        yield from self._reads(state, controller_state(leader).lists_job)
        if _has_records(state):
            yield from self._answer_with_full_authority(state)
        yield from self._answer_by_lists(state, leader_believes)

    def _answer_with_full_authority(self, state: State) -> Iterator[Move]:
        """Let the leader answer the worker, or learn of the cancellation by its watch."""
        leader = state.controllers[LEADER]
        if state.confirmed_at is None:
            yield Move(
                "the leader answers, the state service is reachable",
                state._replace(leader_answered_at=0, cancellations_read_until=0, renewed_at=0),
            )
        elif not (controller_state(leader).lists_job and state.records == Records.READ):
            # The next answer stops the task.
            listed = with_controller(state, LEADER, with_job_listed(leader))
            yield Move(
                "the leader hears of the cancellation",
                state._replace(controllers=listed, records=Records.READ),
            )

    def _answer_by_lists(self, state: State, leader_believes: ControllerId) -> Iterator[Move]:
        """Let the leader answer the worker while it receives no changes of jobs."""
        has_records = _has_records(state)
        has_read_cancellations = has_records or self.false_inputs.election_counts_as_read
        cancellations_read_until = (
            state.cancellations_read_until if has_read_cancellations else None
        )
        if not self.false_inputs.answers_indefinitely and not leader_may_renew(
            leader_believes, cancellations_read_until, self.false_inputs.lists_always_complete
        ):
            return
        job_listed = controller_state(state.controllers[LEADER]).lists_job
        stops_task = job_listed and state.records != Records.MISLEADING
        if self.false_inputs.stops_by_records_only and not has_records:
            stops_task = False
        yield Move(
            "the leader answers, the state service is unreachable",
            None if stops_task else state._replace(leader_answered_at=0, renewed_at=0),
        )

    def _reads(self, state: State, job_listed: bool) -> Iterator[Move]:
        """Let a new leader read its records: the service reads them, then the response arrives."""
        if state.records == Records.UNREAD:
            if state.confirmed_at is None:
                yield Move(
                    "the leader's records are read, the job is alive",
                    state._replace(records=Records.IN_FLIGHT, cancellations_read_until=0),
                )
            else:
                leader = with_job_listed(state.controllers[LEADER])
                yield Move(
                    "the leader reads its records, the job is cancelled",
                    state._replace(
                        records=Records.READ,
                        cancellations_read_until=0,
                        controllers=with_controller(state, LEADER, leader),
                    ),
                )
        elif state.records == Records.IN_FLIGHT:
            notice_ignored = job_listed and self.false_inputs.early_notices_ignored
            yield Move(
                "the records arrive",
                state._replace(records=Records.MISLEADING if notice_ignored else Records.READ),
            )

    def _cancellations(self, state: State) -> Iterator[Move]:
        """Let a controller confirm the cancellation of the job once a peer knows it."""
        for confirming in CONTROLLERS:
            if self.false_inputs.confirms_without_peers:
                witnesses = [confirming]
            else:
                witnesses = [index for index in CONTROLLERS if index != confirming]
            for witness in witnesses:
                listed = with_job_listed(state.controllers[confirming])
                after_confirmation = state._replace(
                    controllers=with_controller(state, confirming, listed), confirmed_at=0
                )
                listed = with_job_listed(after_confirmation.controllers[witness])
                yield Move(
                    f"{confirming} confirms that the job is cancelled, {witness} knows",
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
