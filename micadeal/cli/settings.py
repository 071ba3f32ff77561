"""Commands for operators' settings scripts.

The docstrings of commands are the help that ``--help`` prints.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import click

from micadeal.cli.common import (
    ExitCode,
    controller_option,
    fail,
    json_option,
    print_json,
    request,
)
from micadeal.operator.script import EXAMPLE, InvalidScriptError, evaluate
from micadeal.wire.codec import encode


class _Script(NamedTuple):
    """A script that was evaluated and checked."""

    text: str
    values: dict[str, Any]
    highest_level: int | None


@click.group()
def settings() -> None:
    """Operators' settings: a Starlark script."""


def _evaluate(file: Path) -> _Script:
    try:
        text = file.read_bytes().decode()
        return _Script(text, *evaluate(text, str(file)))
    except (OSError, UnicodeDecodeError, InvalidScriptError) as problem:
        fail(str(problem), ExitCode.USAGE_ERROR)


@settings.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Evaluate and check FILE without applying it."""
    _evaluate(file)
    click.echo(f"{file}: fine")


@settings.command()
@click.argument("file", type=click.Path(path_type=Path))
@controller_option
def apply(file: Path, controller: str) -> None:
    """Check FILE and have the leader take it up."""
    script = _evaluate(file)
    body = {
        "script": script.text,
        "values": script.values,
        "highest_level": script.highest_level,
    }
    request(controller, "POST", "/settings", encode(body))
    click.echo("applied")


@settings.command()
@controller_option
@json_option
def show(controller: str, as_json: bool) -> None:
    """Show the settings in force; without any, the defaults as a script."""
    answer = request(controller, "GET", "/settings")
    if as_json:
        print_json(answer)
    elif answer.get("script"):
        click.echo(answer["script"], nl=False)
    else:
        click.echo("# no settings applied: the defaults are in force.  An example:")
        click.echo(EXAMPLE, nl=False)
