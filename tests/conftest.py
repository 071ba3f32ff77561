"""What holds for every test."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest


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
