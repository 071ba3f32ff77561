"""Reports of workers and the orders they get."""

from __future__ import annotations

from enum import Enum

import msgspec


class TaskState(Enum):
    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "exited"


class TaskReport(
    msgspec.Struct,
    rename={"task": "leg", "attempt": "try", "state": "status", "why": "cause"},
):
    task: str
    attempt: int
    # Plain text, so that a state or cause unknown to us does not make the whole report unreadable.
    state: str
    why: str | None = None
    saved: bool | None = None


class Report(
    msgspec.Struct,
    rename={
        "machine": "host",
        "address": "addr",
        "machine_type": "rig",
        "zone": "depot",
        "spot": "loaners",
        "session": "shift",
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
    session: int
    sequence: int
    token: int
    notice_s: float | None = None
    tasks: list[TaskReport] = []


class Verb(Enum):
    START = "run"
    STOP = "halt"
    FORGET = "reap"


class Order(
    msgspec.Struct,
    rename={"task": "leg", "attempt": "try", "grace_s": "wind_down_s"},
    omit_defaults=True,
):
    verb: Verb
    task: str
    attempt: int
    grace_s: float | None = None


class Orders(msgspec.Struct, rename={"token": "baton", "orders": "orders"}):
    token: int
    orders: list[Order]


class DirectOrders(msgspec.Struct, rename={"token": "baton", "session": "shift"}):
    token: int
    session: int
    orders: list[Order]


class Redirect(msgspec.Struct, rename={"controller": "dispatcher"}, omit_defaults=True):
    controller: str | None = None
