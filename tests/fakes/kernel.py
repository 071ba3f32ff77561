"""A curio kernel whose time is stepped: waiting costs nothing and every run is the same."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from micadeal.clock import monotonic


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
    """Where a real selector would wait, the clock moves on instead."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise AssertionError("everything waits and no timer is set")
        self._clock.now += max(timeout, 0.0)
        return []


def run_stepped(main: Callable[[], Awaitable[None]], monkeypatch: Any) -> None:
    """Run ``main`` to its end in stepped time; the process's clocks are patched for that."""
    clock = _Clock()
    monkeypatch.setattr(time, "monotonic", clock.monotonic)
    monkeypatch.setattr(time, "time", clock.time)
    monkeypatch.setattr("micadeal.clock._start", clock.now)
    kernel = curio.Kernel(selector=_SteppingSelector(clock))
    try:
        kernel.run(main)
    finally:
        kernel.run(shutdown=True)
