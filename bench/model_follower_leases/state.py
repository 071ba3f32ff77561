"""Controllers, messages and states of the small world, as hashable values.

An *instant* is a whole number of seconds relative to now: 0 is now, negative values are past.
Instants before ``OLDEST`` are never told apart.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, NewType

from micadeal.clock import seconds
from micadeal.leadership.follower_leases import RenewalTiming

#: Durations of this world in seconds: a worker's lease, and the time after a confirmed
#: cancellation by which the task must be gone.
LEASE, CANCEL = 2, 5
TIMING = RenewalTiming(
    lease_expiry=seconds(LEASE),
    cancel_timeout=seconds(CANCEL),
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
#: What the code under test takes for the present time.
NOW = seconds(1000)
#: An instant that is older than anything that can still matter.
OLDEST = -9
#: How a controller names its two peers, in the order of their numbers.
PEER_NAMES = "12"

Instant = int
#: Number of an interned ``ControllerState``; cheap to hash and to compare.
ControllerId = NewType("ControllerId", int)


class PeerState(NamedTuple):
    """What a controller knows of one peer: a ``PeerRenewalView`` with relative instants."""

    asked: Instant | None
    speaks_since: Instant | None
    quiet_until: Instant | None
    born: Instant | None
    consent: int
    consent_until: Instant | None
    bound_token: int
    bound_until: Instant | None
    synced_list_at: Instant | None
    listed: Instant | None


class ControllerState(NamedTuple):
    """A controller: its ``RenewalState``, its cancellation list and its views of the peers."""

    born: Instant
    token: int
    led: Instant | None
    bound_token: int
    bound_until: Instant | None
    #: The job is on its cancellation list.
    lists_job: bool
    peers: tuple[PeerState, PeerState]


class Promise(NamedTuple):
    """A controller's answer to a ping: a ``RenewalPromise`` in whole seconds."""

    age: int
    synced: bool
    consent: int
    bound_token: int
    bound: int
    #: The answer came with a cancellation list that names the job.
    lists_job: bool


class LateAnswer(NamedTuple):
    """An answer in flight."""

    asker: int
    peer: int
    asked: Instant
    #: The token of the term that the asker led when it asked, else 0.
    leading_token: int
    promise: Promise


class Records(IntEnum):
    """What the leader has read of the stored records."""

    UNREAD = 0
    #: Read by the service while the job was alive; the answer has not arrived.
    IN_FLIGHT = 1
    READ = 2
    #: The leader takes the job for alive whatever its cancellation list says (a false input).
    MISLEADING = 3


Controllers = tuple[ControllerId, ControllerId, ControllerId]


class State(NamedTuple):
    """The whole world at one moment."""

    controllers: Controllers
    #: The leader still leads the term that it led at the start.
    leads: bool
    #: When the leader last answered the worker.
    heard: Instant
    #: Up to when the leader knows of every cancellation.
    informed: Instant
    #: When the last heartbeat that was answered, by whomever, was sent.
    renewed: Instant
    #: When a user was told that the job is cancelled.
    confirmed: Instant | None
    records: Records
    #: How many more crashes may happen.
    crashes: int
    late_answers: tuple[LateAnswer, ...]


_controllers: list[ControllerState] = []
_ids: dict[ControllerState, ControllerId] = {}


def intern(controller: ControllerState) -> ControllerId:
    """Return the number of this controller state, the same for equal states."""
    known = _ids.get(controller)
    if known is None:
        known = _ids[controller] = ControllerId(len(_controllers))
        _controllers.append(controller)
    return known


def fields(controller: ControllerId) -> ControllerState:
    """Return the controller state with this number."""
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
