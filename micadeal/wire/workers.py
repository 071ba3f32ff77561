"""Reports of workers and the orders they get."""

from __future__ import annotations

import math
from enum import Enum
from typing import Annotated

import msgspec

#: Sessions, sequences, tokens and attempts are counted from zero on.
Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskState(Enum):
    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "exited"


class TaskStatus(
    msgspec.Struct,
    rename={"task": "leg", "attempt": "try", "state": "status", "why": "cause"},
):
    task: str
    attempt: Count
    # Plain text, so that a state or cause unknown to us does not make the whole report unreadable.
    state: str
    why: str | None = None
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
    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    incarnation: Count
    sequence: Count
    token: Count
    notice_s: float | None = None
    tasks: list[TaskStatus] = []

    def __post_init__(self) -> None:
        """The one check of what a worker says, whichever way it comes; msgspec turns the error into
        its own, so that such a report is refused as a whole and nothing follows from it."""
        if not self.machine:
            raise ValueError("a report of no machine")
        if self.notice_s is not None and not math.isfinite(self.notice_s):
            raise ValueError(f"recall_s is {self.notice_s}")


class CommandKind(Enum):
    START = "run"
    STOP = "halt"
    FORGET = "reap"


class Command(
    msgspec.Struct,
    rename={"task": "leg", "attempt": "try", "grace_s": "wind_down_s"},
    omit_defaults=True,
):
    verb: CommandKind
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"token": "baton", "commands": "orders"}):
    token: int
    commands: list[Command]


class DirectCommands(
    msgspec.Struct, rename={"token": "baton", "incarnation": "shift", "commands": "orders"}
):
    token: int
    incarnation: int
    commands: list[Command]


class Redirect(msgspec.Struct, rename={"controller": "dispatcher"}, omit_defaults=True):
    controller: str | None = None
