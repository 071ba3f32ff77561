"""The ``micadeal`` command: runs a controller, and holds the commands for users and operators.

The docstrings of commands are the help that ``--help`` prints.
"""

from __future__ import annotations

import logging
import os
import signal
import sys
from pathlib import Path

import click
import curio

from micadeal import __version__
from micadeal.cli import jobs, settings
from micadeal.cli.common import ExitCode, fail
from micadeal.cli.log_rate_limit import LogRateLimitFilter
from micadeal.operator import options as options_file
from micadeal.operator import platform as platform_file
from micadeal.operator.options import Options
from micadeal.operator.platform import InvalidSettingsError, Platform

#: Logging levels by value of ``LOG_LEVEL``; any other value means info.
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

options_option = click.option(
    "--options", type=click.Path(path_type=Path), help="What is switched on (TOML)."
)


class _DefaultToServe(click.Group):
    """Runs ``serve`` if no command is named and its options come first.

    The platform starts a controller with ``--config FILE``, or with ``--options FILE --config
    FILE`` if a file under ``deploy/`` says so.
    """

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0].split("=")[0] in ("--config", "--options"):
            args = ["serve", *args]
        return super().parse_args(ctx, args)


@click.group(cls=_DefaultToServe, help="A fair-share scheduler for clusters of rented machines.")
@click.version_option(__version__)
def main() -> None:
    """Run the command line."""


@main.command()
@click.option("--config", required=True, type=click.Path(path_type=Path), help="Settings (TOML).")
@options_option
def serve(config: Path, options: Path | None) -> None:
    """Run one controller until it is killed; told to end (TERM), it hands over first."""
    _set_up_logging()
    platform = _load_platform(config)
    enabled = _load_options(options)
    # Imported here: the controller is slow to load, and other commands do not need it.
    from micadeal.controller.controller import Controller  # noqa: PLC0415 - see above

    controller = Controller(platform, options=enabled)
    received: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: received.append(number))
    curio.run(controller.serve, lambda: bool(received))


def _set_up_logging() -> None:
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimitFilter())


def _load_platform(path: Path) -> Platform:
    try:
        return platform_file.load(path)
    except InvalidSettingsError as problem:
        fail(f"bad settings: {problem}", ExitCode.USAGE_ERROR)


def _load_options(path: Path | None) -> Options:
    try:
        return Options() if path is None else options_file.load(path)
    except InvalidSettingsError as problem:
        fail(f"bad options: {problem}", ExitCode.USAGE_ERROR)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@options_option
def check(file: Path, options: Path | None) -> None:
    """Check a platform settings file, and what is switched on."""
    platform = _load_platform(file)
    _load_options(options)
    click.echo(
        f"{file}: fine: {platform.name} in {platform.zone}, {len(platform.peers)} peers, "
        f"{len(platform.teams)} teams"
    )


for command in (
    jobs.submit,
    jobs.status,
    jobs.cancel,
    jobs.why,
    jobs.overview,
    settings.settings,
):
    main.add_command(command)
