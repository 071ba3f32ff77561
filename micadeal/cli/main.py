"""``micadeal``: serve, and what users and operators do from a terminal."""

from __future__ import annotations

import logging
import os
import signal
import sys
import tomllib
from pathlib import Path
from typing import Any, NoReturn

import click

from micadeal import __version__
from micadeal.cli.log_rate_limit import LogRateLimitFilter

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
FAILED, MISUSED = 1, 2


def _set_up_logging() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimitFilter())


def _fail(text: str, code: int = FAILED) -> NoReturn:
    click.echo(f"micadeal: {text}", err=True)
    sys.exit(code)


class _Start(click.Group):
    """The platform starts a controller as ``--config FILE``, with no command: that is serve.

    The same with ``--options FILE`` before it, as files under ``deploy/`` say it.
    """

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0].split("=")[0] in ("--config", "--options"):
            args = ["serve", *args]
        return super().parse_args(ctx, args)


controller_option = click.option(
    "--controller",
    "-c",
    envvar="MICADEAL_CONTROLLER",
    default="127.0.0.1:8080",
    show_default=True,
    help="Address of any controller.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group(cls=_Start)
@click.version_option(__version__)
def main() -> None:
    """A fair-share scheduler for clusters of rented machines."""


options_option = click.option(
    "--options", type=click.Path(path_type=Path), help="What is switched on (TOML)."
)


@main.command()
@click.option("--config", required=True, type=click.Path(path_type=Path), help="Settings (TOML).")
@options_option
def serve(config: Path, options: Path | None) -> None:
    """Run one controller until it is killed; told to end (TERM), it hands over first."""
    _set_up_logging()
    platform = _platform(config)
    switched = _options(options)
    import curio

    from micadeal.controller.controller import Controller

    node = Controller(platform, options=switched)
    ended: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: ended.append(number))
    curio.run(node.serve, lambda: bool(ended))


def _platform(path: Path) -> Any:
    from micadeal.operator.platform import InvalidSettingsError, load

    try:
        return load(path)
    except InvalidSettingsError as problem:
        _fail(f"bad settings: {problem}", MISUSED)


def _options(path: Path | None) -> Any:
    from micadeal.operator.options import Options, load
    from micadeal.operator.platform import InvalidSettingsError

    try:
        return Options() if path is None else load(path)
    except InvalidSettingsError as problem:
        _fail(f"bad options: {problem}", MISUSED)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@options_option
def check(file: Path, options: Path | None) -> None:
    """Check a platform settings file, and what is switched on."""
    platform = _platform(file)
    _options(options)
    click.echo(
        f"{file}: fine: {platform.name} in {platform.zone}, {len(platform.peers)} peers, "
        f"{len(platform.teams)} teams"
    )


# -- users -----------------------------------------------------------------------------------


def _call(controller: str, method: str, target: str, body: bytes = b"") -> tuple[int, Any]:
    import curio
    import msgspec

    from micadeal.clock import seconds
    from micadeal.http.client import fetch
    from micadeal.http.message import HttpError

    try:
        status, data = curio.run(
            lambda: fetch(controller, method, target, body, timeout=seconds(5))
        )
    except ValueError as problem:
        _fail(str(problem), MISUSED)
    except (HttpError, TimeoutError) as problem:
        _fail(f"no answer from {controller}: {problem}")
    try:
        return status, msgspec.msgpack.decode(data) if data else None
    except msgspec.DecodeError:
        _fail(f"{controller} does not speak MessagePack: is it a controller?")


def _checked(controller: str, method: str, target: str, body: bytes = b"") -> Any:
    status, answer = _call(controller, method, target, body)
    if status not in (200, 201):
        reason = answer.get("error") if isinstance(answer, dict) else None
        _fail(f"{reason or 'refused'} (status {status})")
    return answer


def _print_json(value: Any) -> None:
    import msgspec

    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def _print_status(answer: dict[str, Any]) -> None:
    line = f"{answer['name_id']}: {answer['status']}"
    if answer.get("done") is not None:
        line += f", {answer['done']} tasks done, {answer.get('running') or 0} running"
    click.echo(line)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@controller_option
@json_option
def submit(file: Path, controller: str, as_json: bool) -> None:
    """Submit the job that FILE (TOML, fields as in the protocol) describes."""
    from micadeal.wire.codec import encode

    try:
        job = tomllib.loads(file.read_bytes().decode())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        _fail(f"{file}: {problem}", MISUSED)
    answer = _checked(controller, "POST", "/work", encode(job))
    _print_json(answer) if as_json else _print_status(answer)


@main.command()
@click.argument("job")
@controller_option
@json_option
def status(job: str, controller: str, as_json: bool) -> None:
    """Show how far JOB is."""
    answer = _checked(controller, "GET", f"/work/{job}")
    _print_json(answer) if as_json else _print_status(answer)


@main.command()
@click.argument("job")
@controller_option
@json_option
def cancel(job: str, controller: str, as_json: bool) -> None:
    """Cancel JOB."""
    answer = _checked(controller, "POST", f"/work/{job}/abort")
    _print_json(answer) if as_json else _print_status(answer)


# -- operators -------------------------------------------------------------------------------


@main.command()
@click.argument("job")
@controller_option
@json_option
def why(job: str, controller: str, as_json: bool) -> None:
    """Say in plain words why JOB waits."""
    from micadeal.cli.text_output import show_why

    answer = _checked(controller, "GET", f"/why/{job}")
    _print_json(answer) if as_json else click.echo(show_why(answer))


@main.command()
@controller_option
@json_option
def overview(controller: str, as_json: bool) -> None:
    """Teams, waiting and stuck jobs, machines and leader at a glance."""
    from micadeal.cli.text_output import show_overview

    answer = _checked(controller, "GET", "/overview")
    _print_json(answer) if as_json else click.echo(show_overview(answer))


@main.group()
def settings() -> None:
    """Operators' settings: a Starlark script."""


def _evaluate(file: Path) -> tuple[str, dict[str, Any], int | None]:
    from micadeal.operator.script import InvalidScriptError, evaluate

    try:
        script = file.read_bytes().decode()
        return script, *evaluate(script, str(file))
    except (OSError, UnicodeDecodeError, InvalidScriptError) as problem:
        _fail(str(problem), MISUSED)


@settings.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def settings_check(file: Path) -> None:
    """Evaluate and check FILE without applying it."""
    _evaluate(file)
    click.echo(f"{file}: fine")


@settings.command("apply")
@click.argument("file", type=click.Path(path_type=Path))
@controller_option
def settings_apply(file: Path, controller: str) -> None:
    """Check FILE and have the leader take it up."""
    from micadeal.wire.codec import encode

    script, values, level = _evaluate(file)
    sent = {"script": script, "values": values, "highest_level": level}
    _checked(controller, "POST", "/settings", encode(sent))
    click.echo("applied")


@settings.command("show")
@controller_option
@json_option
def settings_show(controller: str, as_json: bool) -> None:
    """Show the settings in force; without any, the defaults as a script."""
    from micadeal.operator.script import EXAMPLE

    answer = _checked(controller, "GET", "/settings")
    if as_json:
        _print_json(answer)
    elif answer.get("script"):
        click.echo(answer["script"], nl=False)
    else:
        click.echo("# no settings applied: the defaults are in force.  An example:")
        click.echo(EXAMPLE, nl=False)
