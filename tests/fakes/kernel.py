"""A curio kernel with simulated time: waiting takes no real time, and runs are reproducible.

A run must not depend on real time, memory addresses or random numbers of the operating system.
Therefore curio's events wake their waiters in the order of arrival, and process ids are counted.
"""

from __future__ import annotations

import itertools
import secrets
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio.sched import SchedBarrier

from micadeal.clock import monotonic
from micadeal.ordered_set import OrderedSet


def now_s() -> float:
    """Return the monotonic time of the process, in seconds."""
    return monotonic().total_seconds()


class _Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def time(self) -> float:
        return 1_700_000_000.0 + self.now


class _SteppingSelector(selectors.SelectSelector):
    """Advances the clock where a real selector would wait."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise AssertionError("deadlock: all tasks wait and no timer is set")
        self._clock.now += max(timeout, 0.0)
        return []


def _init_barrier(barrier: Any) -> None:
    """Keep waiting tasks in order of arrival; a set would order them by memory address."""
    barrier._tasks = OrderedSet()


def run_stepped(main: Callable[[], Awaitable[None]], monkeypatch: Any) -> None:
    """Run ``main`` to its end in stepped time, with all sources of nondeterminism patched."""
    clock = _Clock()
    monkeypatch.setattr(time, "monotonic", clock.monotonic)
    monkeypatch.setattr(time, "time", clock.time)
    monkeypatch.setattr("micadeal.clock._start", clock.now)
    process_ids = itertools.count(1)
    monkeypatch.setattr(
        secrets, "token_hex", lambda nbytes=8: f"{next(process_ids):0{2 * nbytes}x}"
    )
    monkeypatch.setattr(SchedBarrier, "__init__", _init_barrier)
    kernel = curio.Kernel(selector=_SteppingSelector(clock))
    try:
        kernel.run(main)
    finally:
        kernel.run(shutdown=True)
