"""What holds for every test."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from micadeal import invariants


@pytest.fixture(autouse=True)
def log_filters_left_as_they_were() -> Iterator[None]:
    """Take back the filters that a test adds to handlers of the process.

    Guards against tests that fail by the order of files: ``micadeal serve`` limits like warnings by
    the time of day, and run inside the process it would limit all scenarios in stepped time
    together.
    """
    filters = {handler: list(handler.filters) for handler in logging.getLogger().handlers}
    yield
    for handler, before in filters.items():
        handler.filters[:] = before


@pytest.fixture(autouse=True)
def no_invariant_violated(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test in which the program reports that a rule would have been broken.

    A test marked ``violates_invariant`` has to bring just the violations named about.
    """
    invariants.violations.clear()
    yield
    expected = request.node.get_closest_marker("violates_invariant")
    found = set(invariants.violations)
    assert found == (set(expected.args) if expected else set())
    invariants.violations.clear()
