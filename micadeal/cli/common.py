"""Shared by the commands: options, exit codes, output and requests to a controller."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Any, NoReturn

import click
import curio
import msgspec

from micadeal.clock import seconds
from micadeal.http.client import fetch
from micadeal.http.message import HttpError

REQUEST_TIMEOUT = seconds(5)
STATUS_OK, STATUS_CREATED = 200, 201

controller_option = click.option(
    "--controller",
    "-c",
    envvar="MICADEAL_CONTROLLER",
    default="127.0.0.1:8080",
    show_default=True,
    help="Address of any controller.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class ExitCode(IntEnum):
    """Exit codes besides 0 for success."""

    FAILED = 1
    #: Invalid arguments, settings or scripts.
    USAGE_ERROR = 2


def fail(text: str, code: ExitCode = ExitCode.FAILED) -> NoReturn:
    """Print an error and exit."""
    click.echo(f"micadeal: {text}", err=True)
    sys.exit(code)


def print_json(value: Any) -> None:
    """Print a decoded answer as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def request(controller: str, method: str, target: str, body: bytes = b"") -> Any:
    """Send a request to a controller and return its decoded answer.

    Exits if there is no answer, or if its status is neither 200 nor 201.
    """
    status, answer = _exchange(controller, method, target, body)
    if status not in (STATUS_OK, STATUS_CREATED):
        reason = answer.get("error") if isinstance(answer, dict) else None
        fail(f"{reason or 'refused'} (status {status})")
    return answer


def _exchange(controller: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
    try:
        status, data = curio.run(
            lambda: fetch(controller, method, target, body, timeout=REQUEST_TIMEOUT)
        )
    except ValueError as problem:
        fail(str(problem), ExitCode.USAGE_ERROR)
    except (HttpError, TimeoutError) as problem:
        fail(f"no answer from {controller}: {problem}")
    try:
        return status, msgspec.msgpack.decode(data) if data else None
    except msgspec.DecodeError:
        fail(f"{controller} does not speak MessagePack: is it a controller?")
