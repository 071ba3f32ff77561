"""Fixtures that apply to every test."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from micadeal import invariants


@pytest.fixture(autouse=True)
def restore_log_filters() -> Iterator[None]:
    """Remove the filters that a test adds to the log handlers of the process.

    Guards against tests whose result depends on the order of the files.  ``micadeal serve`` limits
    the rate of similar warnings by the time of day.  Run inside the test process, its filter would
    also drop warnings of later scenarios, which run in stepped time.
    """
    original_filters = {handler: list(handler.filters) for handler in logging.getLogger().handlers}
    yield
    for handler, filters in original_filters.items():
        handler.filters[:] = filters


@pytest.fixture(autouse=True)
def no_invariant_violated(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test in which the program reports a violated invariant.

    A test marked ``violates_invariant`` must cause exactly the violations that the marker names.
    """
    invariants.violations.clear()
    yield
    expected = request.node.get_closest_marker("violates_invariant")
    violations = set(invariants.violations)
    assert violations == (set(expected.args) if expected else set())
    invariants.violations.clear()
