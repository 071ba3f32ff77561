"""Controllers, messages and states of the model, as hashable values.

An *instant* is a whole number of seconds relative to the present: 0 is now, negative values are in
the past.  Instants before ``OLDEST`` are treated as equal to it.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, NewType

from micadeal.clock import seconds
from micadeal.leadership.follower_leases import RenewalTiming

#: Durations of the model: a worker's lease, and the time within which a task must end after its
#: cancellation was confirmed.
LEASE_S, CANCEL_TIMEOUT_S = 2, 5
TIMING = RenewalTiming(
    lease_expiry=seconds(LEASE_S),
    cancel_timeout=seconds(CANCEL_TIMEOUT_S),
    cluster_size=3,
    promise_duration=seconds(2),
    vote_duration=seconds(2),
    clock_slack=seconds(0),
)
CONTROLLERS = range(3)
#: The controller that leads at the start.
LEADER = 0
#: The fencing token of the only term.
TOKEN = 1
JOB_ID = "req-1"
#: The present time of the code under test.
NOW = seconds(1000)
#: An instant before all instants that decisions depend on.
OLDEST = -9
#: The names of the two peers of a controller, in the order of their indices.
PEER_NAMES = "12"

Instant = int
#: Id of an interned ``ControllerState``; cheap to hash and to compare.
ControllerId = NewType("ControllerId", int)


class PeerState(NamedTuple):
    """What a controller knows about one peer: a ``PeerRenewalView`` with relative instants."""

    asked_at: Instant | None
    reports_since: Instant | None
    promised_until: Instant | None
    started_at: Instant | None
    vote_token: int
    vote_until: Instant | None
    committed_token: int
    committed_until: Instant | None
    synced_list_asked_at: Instant | None
    list_asked_at: Instant | None


class ControllerState(NamedTuple):
    """A controller: its ``RenewalState``, its cancellation list and its views of the peers."""

    started_at: Instant
    token: int
    leader_contact_at: Instant | None
    committed_token: int
    committed_until: Instant | None
    #: The job is on its cancellation list.
    lists_job: bool
    peers: tuple[PeerState, PeerState]


class Promise(NamedTuple):
    """A controller's answer to a ping: a ``RenewalPromise`` in whole seconds."""

    age: int
    synced: bool
    vote_token: int
    committed_token: int
    committed_for: int
    #: The answer includes a cancellation list with the job.
    lists_job: bool


class LateAnswer(NamedTuple):
    """A delayed answer to a ping, in flight."""

    asker: int
    peer: int
    asked_at: Instant
    #: The token of the term that the asker led when it sent the ping; 0: it did not lead.
    leading_token: int
    promise: Promise


class Records(IntEnum):
    """The progress of the leader's read of the stored records."""

    UNREAD = 0
    #: The state service has read them while the job was alive; the response has not arrived yet.
    IN_FLIGHT = 1
    READ = 2
    #: The leader treats the job as alive, even if its cancellation list has it (a false input).
    MISLEADING = 3


Controllers = tuple[ControllerId, ControllerId, ControllerId]


class State(NamedTuple):
    """The state of the whole model at one instant."""

    controllers: Controllers
    #: The leader still leads the term that it led at the start.
    leads: bool
    #: When the leader last answered the worker.
    leader_answered_at: Instant
    #: The instant up to which the leader has read every cancellation.
    cancellations_read_until: Instant
    #: When the last heartbeat was sent that any controller answered.
    renewed_at: Instant
    #: When the cancellation of the job was confirmed to a user.
    confirmed_at: Instant | None
    records: Records
    #: Number of crashes that may still happen.
    crashes: int
    late_answers: tuple[LateAnswer, ...]


_controllers: list[ControllerState] = []
_ids: dict[ControllerState, ControllerId] = {}


def intern(controller: ControllerState) -> ControllerId:
    """Return the id of this controller state; equal states have the same id."""
    read_until = _ids.get(controller)
    if read_until is None:
        read_until = _ids[controller] = ControllerId(len(_controllers))
        _controllers.append(controller)
    return read_until


def controller_state(controller: ControllerId) -> ControllerState:
    """Return the controller state with this id."""
    return _controllers[controller]


def with_controller(state: State, index: int, controller: ControllerId) -> Controllers:
    """Return the controllers of ``state`` with one replaced."""
    leader, first, second = state.controllers
    if index == LEADER:
        return controller, first, second
    return (leader, controller, second) if index == 1 else (leader, first, controller)


def peer_name(owner: int, peer: int) -> str:
    """Return the name under which controller ``owner`` knows controller ``peer``."""
    first_peer = 1 if owner == LEADER else LEADER
    return PEER_NAMES[0 if peer == first_peer else 1]
