"""The state and the moves of the reachability model: one worker, the network and the leader.

The worker and the network are simulated; the leader's view is the real ``ClusterState``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

from micadeal.clock import ZERO, seconds
from micadeal.fleet.machines import Machine
from micadeal.jobs.model import Job
from micadeal.operator.platform import Workers
from micadeal.scheduling import machine_loss, reconciliation, worker_commands
from micadeal.scheduling.cluster_state import ClusterState
from micadeal.wire.users import Priority, Shape, Submission
from micadeal.wire.workers import Command, CommandKind, Heartbeat, TaskStatus

TOKEN = 1
LEASE_S = 2
WORKERS = Workers(seconds(1), seconds(LEASE_S), seconds(50), seconds(6), seconds(34))
MACHINE = "m"
SUBMISSION = Submission(
    job_id="req-1", job_class="c", team="t", shape=Shape.ARRAY, priority=Priority.STANDARD,
    tasks=1, cpus=1.0, gpus=1.0, memory_gb=1.0, image="i", image_gb=1.0, one_zone=False,
    spread=False, spot_allowed=False, estimate_s=1.0, checkpoint_s=0.0, save_s=0.0,
)  # fmt: skip
TASK = f"{SUBMISSION.job_id}/0"
#: Duration of a path: enough for a lease to expire twice.
MAX_SECONDS = 7
#: Maximum number of processes of the worker in one path.
MAX_PROCESSES = 2


class Move(Enum):
    """A move; the values are shown to users."""

    SECOND = "a second passes"
    SEND = "heartbeat sent"
    ARRIVE = "heartbeat arrives"
    ARRIVE_KEEPING_DUPLICATE = "heartbeat arrives, an earlier one may be repeated"
    DUPLICATE = "duplicate arrives"
    RESPONSE = "response arrives"
    PROBE = "probe"
    PROBE_ANSWER = "answer to probe arrives"
    RESTART = "worker restarts"
    PLACE = "task placed"
    STOP = "task stopped"


#: The first moves of each path: the worker receives the token, and the leader learns that.
OPENING = (Move.SEND, Move.ARRIVE, Move.RESPONSE, Move.SEND, Move.ARRIVE, Move.SECOND)

Path = tuple[Move, ...]


class Response(NamedTuple):
    """A response to a heartbeat, in flight; the incarnation is that of the heartbeat."""

    commands: list[Command]
    incarnation: int


class ProbeAnswer(NamedTuple):
    """An answer to a probe, in flight: when the probe was sent, and the worker's status."""

    asked_at: int
    heartbeat: Heartbeat


@dataclass
class World:
    """The state of one path, changed by moves; times are whole seconds."""

    now: int = 0
    cluster: ClusterState = field(init=False)
    job: Job = field(init=False)
    # The worker: its process, incarnation, sequence, token and running attempts.
    process: int = 1
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    running: set[int] = field(default_factory=set)
    #: Start of the worker's current lease.
    renewed_at: int = 0
    #: When the heartbeat that waits for its response was sent.
    heartbeat_sent_at: int | None = None
    in_flight: Heartbeat | None = None
    #: A heartbeat that has arrived and may arrive again.
    duplicate: Heartbeat | None = None
    response: Response | None = None
    probe_answer: ProbeAnswer | None = None

    def __post_init__(self) -> None:
        self.cluster = ClusterState(TOKEN, WORKERS, {}, ZERO)
        self.job = Job(SUBMISSION, ZERO, 1)
        self.cluster.add_job(self.job)

    # -- moves -----------------------------------------------------------------------------

    def moves(self) -> Iterator[Move]:
        """Yield all moves that are possible now."""
        if self.now < MAX_SECONDS:
            yield Move.SECOND
        yield from self._moves_of_heartbeats()
        if self.probe_answer is not None:
            yield Move.PROBE_ANSWER
        elif self.machine is not None:
            yield Move.PROBE
        if self.process < MAX_PROCESSES:
            yield Move.RESTART
        if self.machine is not None and self.machine.has_current_token and not self.job.attempts:
            yield Move.PLACE
        if any(attempt.stop_grace is None for attempt in self.job.all_attempts()):
            yield Move.STOP

    def _moves_of_heartbeats(self) -> Iterator[Move]:
        if self.in_flight is None:
            yield Move.SEND
        else:
            yield Move.ARRIVE
            if self.duplicate is not None:
                yield Move.ARRIVE_KEEPING_DUPLICATE
        if self.duplicate is not None:
            yield Move.DUPLICATE
        if self.response is not None:
            yield Move.RESPONSE

    def play(self, move: Move) -> None:
        """Execute one possible move."""
        _HANDLERS[move](self)

    @property
    def machine(self) -> Machine | None:
        """The leader's view of the worker; None: it does not know the worker."""
        return self.cluster.machines.get(MACHINE)

    @property
    def at(self) -> timedelta:
        """The present time of the leader's clock."""
        return seconds(self.now)

    @property
    def broken(self) -> bool:
        """Whether the worker runs an attempt that is not in the leader's cluster state."""
        known = {attempt.number for attempt in self.job.all_attempts()}
        return bool(self.running - known)

    def key(self) -> tuple[Any, ...]:
        """Return all values that later moves can depend on."""
        response, answer = self.response, self.probe_answer
        return (
            self._machine_key(),
            self.now,
            self.process,
            self.incarnation,
            self.token,
            tuple(sorted(self.running)),
            self.now - self.renewed_at,
            self.heartbeat_sent_at,
            self._heartbeat_key(self.in_flight),
            self._heartbeat_key(self.duplicate),
            response and tuple((command.verb, command.attempt) for command in response.commands),
            response and response.incarnation,
            answer and (answer.asked_at, self._heartbeat_key(answer.heartbeat)),
        )

    def _machine_key(self) -> tuple[Any, ...]:
        machine = self.machine
        if machine is None:
            return ()
        reachability = machine.reachability
        attempts = tuple(
            (
                attempt.number,
                attempt.state,
                attempt.stop_grace,
                attempt.start_sent_in
                and (attempt.start_sent_in[0], attempt.start_sent_in[1] - self.sequence),
            )
            for attempt in machine.attempts.values()
        )
        return (
            machine.incarnation,
            machine.sequence - self.sequence,
            machine.has_current_token,
            machine.lease_expired,
            None
            if reachability.last_message_at is None
            else self.at - reachability.last_message_at,
            None if machine.last_heartbeat_at is None else self.at - machine.last_heartbeat_at,
            reachability.token,
            reachability.ineffective_responses,
            reachability.restarted,
            attempts,
        )

    def _heartbeat_key(self, heartbeat: Heartbeat | None) -> tuple[Any, ...] | None:
        if heartbeat is None:
            return None
        attempts = tuple(task.attempt for task in heartbeat.tasks)
        sequence = heartbeat.sequence - self.sequence
        return (heartbeat.incarnation, sequence, heartbeat.token, attempts)

    # -- the worker ------------------------------------------------------------------------

    def _status(self) -> Heartbeat:
        """Return the worker's status, as its next message."""
        self.sequence += 1
        tasks = [TaskStatus(TASK, number, "running") for number in sorted(self.running)]
        return Heartbeat(
            machine=MACHINE, address="a", machine_type="box", zone="z", spot=False,
            incarnation=self.incarnation, sequence=self.sequence, token=self.token, tasks=tasks,
        )  # fmt: skip

    def _send(self) -> None:
        """Send a heartbeat.  Only one is pending: a response to an earlier one is dropped."""
        self.response = None
        self.heartbeat_sent_at = self.now
        self.in_flight = self._status()

    def _apply_response(self) -> None:
        assert self.response is not None
        assert self.heartbeat_sent_at is not None
        commands, incarnation = self.response
        self.response = None
        if incarnation != self.incarnation:
            return
        self.token = TOKEN
        self.renewed_at = max(self.renewed_at, self.heartbeat_sent_at)
        for command in commands:
            if command.verb is CommandKind.START:
                self.running.add(command.attempt)
            elif command.verb is CommandKind.STOP:
                self.running.discard(command.attempt)

    def _restart(self) -> None:
        self.process += 1
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.running.clear()
        self.renewed_at = self.now
        self.response = self.heartbeat_sent_at = None

    def _advance_second(self) -> None:
        self.now += 1
        if self.now - self.renewed_at > LEASE_S:
            self.running.clear()
            self.incarnation += 1
            self.renewed_at = self.now
        machine_loss.expire_leases(self.cluster, self.at)

    # -- the network and the leader --------------------------------------------------------

    def _arrive(self) -> None:
        assert self.in_flight is not None
        heartbeat, self.in_flight = self.in_flight, None
        self.duplicate = heartbeat
        commands = self._commands_for(heartbeat)
        alive = heartbeat.incarnation == self.incarnation and heartbeat.sequence <= self.sequence
        if self.heartbeat_sent_at is not None and alive:
            self.response = Response(commands, heartbeat.incarnation)

    def _arrive_keeping_duplicate(self) -> None:
        """Deliver a heartbeat, but keep an earlier one as the possible duplicate."""
        earlier_duplicate = self.duplicate
        self._arrive()
        self.duplicate = earlier_duplicate

    def _duplicate_arrives(self) -> None:
        assert self.duplicate is not None
        self._commands_for(self.duplicate)

    def _commands_for(self, heartbeat: Heartbeat) -> list[Command]:
        machine = reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, self.at, is_heartbeat=True
        )
        if machine is None:
            return []
        return worker_commands.commands_for(self.cluster, machine, full_authority=True)

    def _probe(self) -> None:
        if self.machine is not None:
            self.token = max(self.token, TOKEN)
            self.probe_answer = ProbeAnswer(self.now, self._status())

    def _apply_probe_answer(self) -> None:
        assert self.probe_answer is not None
        (asked_at, heartbeat), self.probe_answer = self.probe_answer, None
        reconciliation.reconcile_heartbeat(
            self.cluster, heartbeat, self.at, is_heartbeat=False, command_sent_at=seconds(asked_at)
        )

    def _place(self) -> None:
        machine = self.machine
        assert machine is not None
        if machine.draining is None and not machine.lease_expired:
            self.cluster.place(self.job, 0, self.cluster.next_number(), machine, self.at)
            self.cluster.placements_written(
                "placed/1/0", list(self.cluster.unwritten_placements), self.at
            )

    def _stop(self) -> None:
        for attempt in list(self.job.all_attempts()):
            self.cluster.stop(attempt, ZERO, self.at)


_HANDLERS: dict[Move, Callable[[World], None]] = {
    Move.SECOND: World._advance_second,
    Move.SEND: World._send,
    Move.ARRIVE: World._arrive,
    Move.ARRIVE_KEEPING_DUPLICATE: World._arrive_keeping_duplicate,
    Move.DUPLICATE: World._duplicate_arrives,
    Move.RESPONSE: World._apply_response,
    Move.PROBE: World._probe,
    Move.PROBE_ANSWER: World._apply_probe_answer,
    Move.RESTART: World._restart,
    Move.PLACE: World._place,
    Move.STOP: World._stop,
}
