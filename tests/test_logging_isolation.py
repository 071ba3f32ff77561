"""What one test does to the process's logging does not reach another.

What happened: once in the whole suite with its files in random order (seed 25444, beside load) an
expected warning was missing from the log in ``test_unexplained_jobs.py``.  Why: ``micadeal serve``,
run inside the process by ``test_cli_golden.py``, limits like warnings on every handler, pytest's
too, to 20 in ten seconds; scenarios in stepped time all play at the same seconds.  Of 20 random
orders of the two files three failed, of seven orders without ``test_cli_golden.py`` none.
"""

from __future__ import annotations

import logging
from pathlib import Path

from click.testing import CliRunner

from micadeal.cli.log_rate_limit import LogRateLimitFilter
from micadeal.cli.main import main


def _limited_handlers() -> list[logging.Handler]:
    return [
        handler
        for handler in logging.getLogger().handlers
        if any(isinstance(entry, LogRateLimitFilter) for entry in handler.filters)
    ]


def test_serve_limits_the_log(tmp_path: Path) -> None:
    refused = CliRunner().invoke(main, ["serve", "--config", str(tmp_path / "none.toml")])
    assert refused.exit_code == 2
    assert _limited_handlers() == logging.getLogger().handlers != []


def test_no_handler_is_limited_by_what_another_test_ran() -> None:
    assert _limited_handlers() == []
