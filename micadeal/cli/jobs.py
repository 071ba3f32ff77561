"""Commands that submit, query and cancel jobs, and that show the state of the cluster.

The docstrings of commands are the help that ``--help`` prints.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from micadeal.cli.common import (
    ExitCode,
    controller_option,
    fail,
    json_option,
    print_json,
    request,
)
from micadeal.cli.text_output import show_overview, show_status, show_why
from micadeal.wire.codec import encode


def _print_status(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(answer)
    else:
        click.echo(show_status(answer))


def _as_path_segment(job: str) -> str:
    """Return a job id, percent-encoded so that it is one segment of a URL path."""
    return quote(job, safe="")


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@controller_option
@json_option
def submit(file: Path, controller: str, as_json: bool) -> None:
    """Submit the job that FILE (TOML, fields as in the protocol) describes."""
    try:
        job = tomllib.loads(file.read_bytes().decode())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        fail(f"{file}: {problem}", ExitCode.USAGE_ERROR)
    _print_status(request(controller, "POST", "/work", encode(job)), as_json)


@click.command()
@click.argument("job")
@controller_option
@json_option
def status(job: str, controller: str, as_json: bool) -> None:
    """Show how far JOB is."""
    _print_status(request(controller, "GET", f"/work/{_as_path_segment(job)}"), as_json)


@click.command()
@click.argument("job")
@controller_option
@json_option
def cancel(job: str, controller: str, as_json: bool) -> None:
    """Cancel JOB."""
    _print_status(request(controller, "POST", f"/work/{_as_path_segment(job)}/abort"), as_json)


@click.command()
@click.argument("job")
@controller_option
@json_option
def why(job: str, controller: str, as_json: bool) -> None:
    """Say in plain words why JOB waits."""
    answer = request(controller, "GET", f"/why/{_as_path_segment(job)}")
    if as_json:
        print_json(answer)
    else:
        click.echo(show_why(answer))


@click.command()
@controller_option
@json_option
def overview(controller: str, as_json: bool) -> None:
    """Teams, waiting and stuck jobs, machines and leader at a glance."""
    answer = request(controller, "GET", "/overview")
    if as_json:
        print_json(answer)
    else:
        click.echo(show_overview(answer))
