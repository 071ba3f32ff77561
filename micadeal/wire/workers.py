"""Messages between workers and controllers: heartbeats, and the commands that answer them."""

from __future__ import annotations

import math
from enum import Enum
from typing import Annotated

import msgspec

#: Incarnations, sequence numbers, tokens and attempts: non-negative integers.
Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskState(Enum):
    """State of a task on a machine, as its worker reports it."""

    #: Waits for its image.
    FETCHING = "pulling"
    #: A task of a gang that waits for the other tasks of its attempt.
    WAITING = "waiting"
    RUNNING = "running"
    #: Has received a stop command and saves its progress.
    SAVING = "flushing"
    EXITED = "exited"


class TaskStatus(
    msgspec.Struct,
    rename={"task": "leg", "attempt": "try", "state": "status", "why": "cause"},
):
    """One task in a worker's ``Heartbeat``."""

    #: ``<job id>/<index>``.
    task: str
    attempt: Count
    #: A ``TaskState``'s value, and why an exited task has ended.  Plain text, so that an unknown
    #: state or cause does not make the whole heartbeat unreadable.
    state: str
    why: str | None = None
    #: Whether a task that was stopped has saved its progress.
    saved: bool | None = None


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine": "host",
        "address": "addr",
        "machine_type": "rig",
        "zone": "depot",
        "spot": "loaners",
        "incarnation": "shift",
        "sequence": "tick",
        "token": "baton",
        "notice_s": "recall_s",
        "tasks": "legs",
    },
):
    """A worker's report of its machine and all its tasks, sent to ``POST /checkin``.

    Also the worker's answer to ``DirectCommands`` and to ``GET /inspect``.  Of two heartbeats of a
    machine the one with the larger (``incarnation``, ``sequence``) is newer.
    """

    machine: str
    #: ``host:port`` for direct commands.
    address: str
    machine_type: str
    zone: str
    spot: bool
    #: Starts at 1 and increases each time the worker's lease has expired and its tasks were killed.
    incarnation: Count
    sequence: Count
    #: Highest fencing token that the worker has seen.
    token: Count
    #: Seconds until the cloud takes the machine away; None: no notice.
    notice_s: float | None = None
    #: All tasks on the machine, exited ones until they are forgotten by command.
    tasks: list[TaskStatus] = []

    def __post_init__(self) -> None:
        """Check what the types can't express, however a heartbeat is received.

        msgspec converts the error into its own, so that such a heartbeat is refused as a whole and
        has no effect.
        """
        if not self.machine:
            raise ValueError("a report of no machine")
        if self.notice_s is not None and not math.isfinite(self.notice_s):
            raise ValueError(f"recall_s is {self.notice_s}")


class CommandKind(Enum):
    """What a command asks a worker to do with one attempt of a task; it may be repeated."""

    START = "run"
    STOP = "halt"
    #: Leave an exited task out of the heartbeats; a repeated start then starts it again.
    FORGET = "reap"


class Command(
    msgspec.Struct,
    rename={"task": "leg", "attempt": "try", "grace_s": "wind_down_s"},
    omit_defaults=True,
):
    """One command to a worker, in a ``HeartbeatResponse`` or ``DirectCommands``."""

    verb: CommandKind
    #: ``<job id>/<index>``.
    task: str
    attempt: int
    #: With ``STOP``: time to save; if the job needs more, the task exits immediately.
    grace_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"token": "baton", "commands": "orders"}):
    """A controller's answer to a heartbeat, status 200; it renews the worker's lease.

    A worker drops it with all its commands if ``token`` is below the highest that it has seen.
    """

    token: int
    #: Executed in this order.
    commands: list[Command]


class DirectCommands(
    msgspec.Struct, rename={"token": "baton", "incarnation": "shift", "commands": "orders"}
):
    """Commands that the leader sends to a worker's ``POST /commands``; they renew no lease.

    The worker answers with a ``Heartbeat``: 200 after the commands, or 409, with nothing executed,
    if the token is below the highest that it has seen or the incarnation differs from its own.
    """

    token: int
    incarnation: int
    commands: list[Command]


class Redirect(msgspec.Struct, rename={"controller": "dispatcher"}, omit_defaults=True):
    """A controller's answer to a heartbeat, status 421: report to another controller."""

    #: None: the worker tries the next one.
    controller: str | None = None
