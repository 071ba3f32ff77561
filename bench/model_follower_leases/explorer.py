"""Breadth-first search over all reachable states."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from bench.model_follower_leases.conversion import canonical, with_job_listed
from bench.model_follower_leases.guards import FalseInputs
from bench.model_follower_leases.moves import Moves, RuleBrokenError
from bench.model_follower_leases.state import (
    CANCEL_TIMEOUT_S,
    LEASE_S,
    OLDEST,
    TOKEN,
    ControllerState,
    PeerState,
    Records,
    State,
    intern,
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a search."""

    states: int
    #: All reachable states were visited.
    complete: bool
    #: The broken rule and the shortest path to it; empty if none broke.
    rule: str = ""
    path: tuple[str, ...] = ()


#: A peer that started, and sent its complete list, a long time ago.
_ESTABLISHED_PEER = PeerState(
    asked_at=None,
    reports_since=OLDEST,
    promised_until=None,
    started_at=OLDEST,
    vote_token=0,
    vote_until=None,
    committed_token=0,
    committed_until=None,
    synced_list_asked_at=OLDEST,
    list_asked_at=OLDEST,
)
#: A controller that started a long time ago and is in contact with the leader.
_ESTABLISHED_CONTROLLER = ControllerState(
    started_at=OLDEST,
    token=TOKEN,
    leader_contact_at=0,
    committed_token=0,
    committed_until=None,
    lists_job=False,
    peers=(_ESTABLISHED_PEER, _ESTABLISHED_PEER),
)


def initial_states(crashes: int, reading: bool) -> list[State]:
    """Return the initial states of a search.

    Without ``reading``, the leader has led for a long time.  With ``reading``, it has just been
    elected; either nothing is cancelled yet, or the job was cancelled some time ago and only the
    two peers know this.
    """
    controller = intern(_ESTABLISHED_CONTROLLER)
    established = State(
        controllers=(controller, controller, controller),
        leads=True,
        leader_answered_at=0,
        cancellations_read_until=0,
        renewed_at=0,
        confirmed_at=None,
        records=Records.READ,
        crashes=crashes,
        late_answers=(),
    )
    if not reading:
        return [established]
    elected = established._replace(records=Records.UNREAD)
    informed_controller = with_job_listed(controller)
    cancelled_before = elected._replace(
        controllers=(controller, informed_controller, informed_controller),
        confirmed_at=LEASE_S - CANCEL_TIMEOUT_S,
        renewed_at=-1,
    )
    return [elected, cancelled_before]


def explore(
    crashes: int = 0,
    delayed: int = 0,
    false_inputs: FalseInputs | None = None,
    max_states: int = 0,
    reading: bool = False,
) -> Outcome:
    """Visit all states, breadth first, until a rule breaks.

    ``crashes``: number of crashes in one path; ``delayed``: maximum number of late answers in
    flight; ``false_inputs``: those of the code under test; ``max_states``: maximum number of states
    (0: no limit); ``reading``: the leader has just been elected and has not read its records.
    """
    moves = Moves(false_inputs or FalseInputs(), delayed)
    has_late_answers = delayed > 0
    first = [canonical(state, has_late_answers) for state in initial_states(crashes, reading)]
    predecessors: dict[State, tuple[State, str] | None] = dict.fromkeys(first)
    queue = deque(first)
    while queue:
        if max_states and len(predecessors) > max_states:
            return Outcome(len(predecessors), complete=False)
        state = queue.popleft()
        try:
            for description, next_state in moves.after(state):
                if next_state is None:
                    continue
                reached = canonical(next_state, has_late_answers)
                if reached not in predecessors:
                    predecessors[reached] = (state, description)
                    queue.append(reached)
        except RuleBrokenError as broken:
            return Outcome(
                len(predecessors), complete=False, rule=broken.rule, path=_path(predecessors, state)
            )
    return Outcome(len(predecessors), complete=True)


def _path(predecessors: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
    """Return the moves that lead to ``state``."""
    path: list[str] = []
    link = predecessors[state]
    while link is not None:
        previous, description = link
        path.append(description)
        link = predecessors[previous]
    return tuple(reversed(path))
