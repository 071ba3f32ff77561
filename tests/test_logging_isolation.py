"""Changes that one test makes to the process's logging do not affect other tests.

Guards against missing log lines: once, with all test files in random order (seed 25444, on a loaded
machine), ``test_unexplained_jobs.py`` did not find an expected warning.  ``test_cli_golden.py`` had
run ``micadeal serve`` in the same process.  The command limits similar warnings to 20 in ten
seconds on every handler, including pytest's, and all scenarios in stepped time run at the same
seconds.  Of 20 random orders of the two files three failed; of seven orders without
``test_cli_golden.py``, none.
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


def test_no_handler_keeps_a_limit_from_another_test() -> None:
    assert _limited_handlers() == []
