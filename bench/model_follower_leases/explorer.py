"""Breadth-first search over all states that can be reached."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from bench.model_follower_leases.conversion import canonical, with_job_listed
from bench.model_follower_leases.guards import FalseInputs
from bench.model_follower_leases.moves import Moves, RuleBrokenError
from bench.model_follower_leases.state import (
    CANCEL,
    LEASE,
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
    #: All that can be reached was looked at.
    complete: bool
    #: The rule that broke and the shortest path to it; empty: none.
    rule: str = ""
    path: tuple[str, ...] = ()


#: A peer that has run, and given its complete list, for long.
_LONG_KNOWN_PEER = PeerState(
    asked=None,
    speaks_since=OLDEST,
    quiet_until=None,
    born=OLDEST,
    consent=0,
    consent_until=None,
    bound_token=0,
    bound_until=None,
    synced_list_at=OLDEST,
    listed=OLDEST,
)
#: A controller that has run for long and hears the leader.
_LONG_RUNNING_CONTROLLER = ControllerState(
    born=OLDEST,
    token=TOKEN,
    led=0,
    bound_token=0,
    bound_until=None,
    lists_job=False,
    peers=(_LONG_KNOWN_PEER, _LONG_KNOWN_PEER),
)


def initial_states(crashes: int, reading: bool) -> list[State]:
    """Return the states in which a search starts.

    Either a leader that has led for long; or, with ``reading``, one elected just now, when nothing
    was cancelled yet, or the job was a while ago, as the two others know.
    """
    controller = intern(_LONG_RUNNING_CONTROLLER)
    settled = State(
        controllers=(controller, controller, controller),
        leads=True,
        heard=0,
        informed=0,
        renewed=0,
        confirmed=None,
        records=Records.READ,
        crashes=crashes,
        late_answers=(),
    )
    if not reading:
        return [settled]
    elected = settled._replace(records=Records.UNREAD)
    knows = with_job_listed(controller)
    cancelled_before = elected._replace(
        controllers=(controller, knows, knows), confirmed=LEASE - CANCEL, renewed=-1
    )
    return [elected, cancelled_before]


def explore(
    crashes: int = 0,
    delayed: int = 0,
    lies: FalseInputs | None = None,
    most: int = 0,
    reading: bool = False,
) -> Outcome:
    """Visit all states, breadth first, until a rule breaks.

    ``crashes``: in one path; ``delayed``: late answers in flight at once; ``lies``: false inputs
    of the code under test; ``most``: give up beyond so many states (0: never); ``reading``: the
    leader was elected a moment ago.
    """
    moves = Moves(lies or FalseInputs(), delayed)
    has_late_answers = delayed > 0
    first = [canonical(state, has_late_answers) for state in initial_states(crashes, reading)]
    came_from: dict[State, tuple[State, str] | None] = dict.fromkeys(first)
    queue = deque(first)
    while queue:
        if most and len(came_from) > most:
            return Outcome(len(came_from), complete=False)
        state = queue.popleft()
        try:
            for description, following in moves.after(state):
                if following is None:
                    continue
                reached = canonical(following, has_late_answers)
                if reached not in came_from:
                    came_from[reached] = (state, description)
                    queue.append(reached)
        except RuleBrokenError as broken:
            return Outcome(
                len(came_from), complete=False, rule=broken.rule, path=_path(came_from, state)
            )
    return Outcome(len(came_from), complete=True)


def _path(came_from: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
    """Return the moves that lead to ``state``."""
    path: list[str] = []
    link = came_from[state]
    while link is not None:
        previous, description = link
        path.append(description)
        link = came_from[previous]
    return tuple(reversed(path))
