"""The output of the command line, compared byte for byte with the files under ``golden/cli/``.

A fake controller answers with bytes recorded in ``golden/wire.json``, so these tests do not depend
on the names of Python types.  The recorded files must never be regenerated.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import curio
import msgspec
import pytest
from click.testing import CliRunner

from micadeal import __version__
from micadeal.cli.main import main
from micadeal.http.message import Answer, Request
from micadeal.http.server import Server

GOLDEN = Path(__file__).parent / "golden"
CLI = GOLDEN / "cli"
MESSAGES: dict[str, Any] = json.loads((GOLDEN / "wire.json").read_text())
SETTINGS = str(GOLDEN / "settings.toml")


def message(name: str, kind: str) -> bytes:
    return bytes.fromhex(MESSAGES[name][kind]["hex"])


def error_body(text: str) -> bytes:
    return msgspec.msgpack.encode({"error": text})


def keyed(keys: str, *values: object) -> dict[str, object]:
    return dict(zip(keys.split(), values, strict=True))


#: The overview while the level is being lowered and the state service is unreachable.
TROUBLED_OVERVIEW = {
    "leader": "dock-0", "token": 41, "leading_s": 65.4, "state_contact": False,
    "teams": [
        keyed(
            "name resource used guarantee limit share demand waiting_jobs running_jobs",
            *("vision", "gpus", 3.0, 4.0, 0.0, 4.25, 6.5, 2, 1),
        )
    ],
    "jobs": {"running": 1, "starting": 2, "waiting": 3, "blocked": 4},
    "stuck": [], "notes": [],
    "machines": [
        keyed(
            "machine_type zone spot up booting silent leaving gpus_used gpus",
            *("g8", "north", False, 2, 1, 0, 3, 0.0, 16.0),
        )
    ],
    "level": {
        **keyed("level writes oldest since_s by waits", 2, 1, 0, 0.0, "", []),
        "members": [keyed("name presence build lowest highest", "dock-1", "silent", "b1", 0, 2)],
    },
}  # fmt: skip


#: HTTP status and body of each answer, by kind of controller, then by method and path.
ANSWERS: dict[str, dict[tuple[str, str], tuple[int, bytes]]] = {
    "full": {
        ("GET", "/work/req-1"): (200, message("users_job_answer", "full")),
        ("POST", "/work/req-1/abort"): (200, message("users_job_answer", "full")),
        ("POST", "/work"): (201, message("users_job_answer", "full")),
        ("GET", "/why/req-1"): (200, message("mesh_why_answer", "full")),
        ("GET", "/overview"): (200, message("mesh_overview", "full")),
        ("GET", "/settings"): (200, message("state_settings", "full")),
        ("POST", "/settings"): (200, message("state_settings", "full")),
    },
    "unset": {
        ("GET", "/work/req-1"): (200, message("users_job_answer", "unset")),
        ("POST", "/work/req-1/abort"): (200, message("users_job_answer", "unset")),
        ("POST", "/work"): (200, message("users_job_answer", "unset")),
        ("GET", "/why/req-1"): (200, message("mesh_why_answer", "unset")),
        ("GET", "/overview"): (200, message("mesh_overview", "unset")),
        ("GET", "/settings"): (200, msgspec.msgpack.encode({"script": ""})),
        ("POST", "/settings"): (409, error_body("the settings were changed meanwhile")),
    },
    "failing": {
        ("GET", "/work/req-1"): (404, error_body("no such job")),
        ("POST", "/work/req-1/abort"): (503, b""),
        ("POST", "/work"): (422, error_body("unknown team")),
        ("GET", "/why/req-1"): (200, b"\xc1"),
        ("GET", "/overview"): (503, error_body("no leader at the moment")),
        ("GET", "/settings"): (503, b""),
        ("POST", "/settings"): (400, error_body("refresh_s")),
    },
}
ANSWERS["troubled"] = {("GET", "/overview"): (200, msgspec.msgpack.encode(TROUBLED_OVERVIEW))}
#: Commands that send a request to a controller; ``JOB`` and ``SCRIPT`` stand for files.
CONTROLLER_COMMANDS: dict[str, list[str]] = {
    "status": ["status", "req-1"],
    "status-json": ["status", "req-1", "--json"],
    "cancel": ["cancel", "req-1"],
    "cancel-json": ["cancel", "req-1", "--json"],
    "submit": ["submit", "JOB"],
    "submit-json": ["submit", "JOB", "--json"],
    "why": ["why", "req-1"],
    "why-json": ["why", "req-1", "--json"],
    "overview": ["overview"],
    "overview-json": ["overview", "--json"],
    "settings-show": ["settings", "show"],
    "settings-show-json": ["settings", "show", "--json"],
    "settings-apply": ["settings", "apply", "SCRIPT"],
}
PAIRS = [
    (kind, name)
    for kind in ANSWERS
    for name in CONTROLLER_COMMANDS
    if kind != "troubled" or name.startswith("overview")
]
#: Commands that end without a request to a controller.
LOCAL_COMMANDS: dict[str, list[str]] = {
    "nothing": [],
    "unknown-command": ["fly"],
    "unknown-option": ["overview", "--fly"],
    "no-job": ["status"],
    "no-file": ["submit", "missing.toml"],
    "no-script": ["settings", "check", "missing.star"],
    "not-an-address": ["overview", "-c", "nowhere"],
    "version": ["--version"],
    "check": ["check", "SETTINGS"],
    "check-missing": ["check", "missing.toml"],
    "check-bad": ["check", "JOB"],
    "check-bad-options": ["check", "SETTINGS", "--options", "JOB"],
    "check-missing-options": ["check", "SETTINGS", "--options", "missing.toml"],
    "settings-check": ["settings", "check", "SCRIPT"],
    "settings-check-bad": ["settings", "check", "BAD_SCRIPT"],
    "settings-apply-bad": ["settings", "apply", "BAD_SCRIPT", "-c", "127.0.0.1:1"],
    "serve-bad-settings": ["serve", "--config", "JOB"],
    "start-bad-settings": ["--config", "JOB"],
    "start-bad-options": ["--options", "JOB", "--config", "SETTINGS"],
    "serve-no-settings": ["serve"],
}


class Controller:
    """A fake controller with recorded answers; it stores the request bodies that it receives."""

    def __init__(self, kind: str) -> None:
        self._answers = ANSWERS[kind]
        self.received: list[bytes] = []
        server = Server(("127.0.0.1", 0), self._handle, max_connections=20)
        host, port = server.listen()
        self.address = f"{host}:{port}"
        threading.Thread(target=curio.run, args=(server.run,), daemon=True).start()

    async def _handle(self, request: Request) -> Answer:
        self.received.append(request.body)
        status, body = self._answers[request.method, request.path]
        return Answer(status, body)


@pytest.fixture(scope="module")
def controllers() -> Iterator[dict[str, Controller]]:
    yield {kind: Controller(kind) for kind in ANSWERS}


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    return write_files(tmp_path_factory.mktemp("cli"))


def write_files(folder: Path) -> dict[str, str]:
    texts = {
        "JOB": 'name_id = "req-1"\ncrew = "red"\nlegs = 3\nvcpus = 2.5\nrigs = ["box"]\n',
        "SCRIPT": 'refresh_s = 3\nteams = {"red": {"weight": 2}}\nhighest_level = 1\n',
        "BAD_SCRIPT": "\nrefresh_s = 0\n",
    }
    for name, text in texts.items():
        (folder / name).write_text(text)
    return {"SETTINGS": SETTINGS, **{name: str(folder / name) for name in texts}}


def run(arguments: list[str], files: dict[str, str], controller: str = "") -> str:
    """Run a command; return its exit code and its output as one text."""
    command = [files.get(argument, argument) for argument in arguments]
    if controller:
        command += ["-c", controller]
    result = CliRunner().invoke(main, command, prog_name="micadeal", terminal_width=80)
    parts = [f"exit code {result.exit_code}\n", "-- output\n", result.stdout]
    parts += ["-- errors\n", result.stderr]
    text = "".join(parts)
    text = text.replace(f"version {__version__}", "version VERSION")
    for name, path in [*files.items(), *([("CONTROLLER", controller)] if controller else [])]:
        text = text.replace(path, name)
    return text


def recorded(name: str) -> str:
    return (CLI / f"{name}.txt").read_text()


def all_commands(command: click.Command, path: list[str]) -> Iterator[list[str]]:
    yield path
    if isinstance(command, click.Group):
        for name, subcommand in command.commands.items():
            yield from all_commands(subcommand, [*path, name])


def help_name(path: list[str]) -> str:
    return "-".join(["help", *path])


def test_every_command_has_its_help_recorded() -> None:
    names = {help_name(path) for path in all_commands(main, [])}
    assert names == {path.stem for path in CLI.glob("help*.txt")}


@pytest.mark.parametrize("path", list(all_commands(main, [])), ids=help_name)
def test_help(path: list[str], files: dict[str, str]) -> None:
    assert run([*path, "--help"], files) == recorded(help_name(path))


@pytest.mark.parametrize("name", LOCAL_COMMANDS)
def test_commands_without_a_controller(name: str, files: dict[str, str]) -> None:
    assert run(LOCAL_COMMANDS[name], files) == recorded(f"alone-{name}")


@pytest.mark.parametrize(("kind", "name"), PAIRS)
def test_commands_that_send_a_request_to_a_controller(
    kind: str, name: str, files: dict[str, str], controllers: dict[str, Controller]
) -> None:
    output = run(CONTROLLER_COMMANDS[name], files, controllers[kind].address)
    assert output == recorded(f"{kind}-{name}")


def test_every_recorded_file_is_used() -> None:
    used = {help_name(path) for path in all_commands(main, [])}
    used |= {f"alone-{name}" for name in LOCAL_COMMANDS} | {
        f"{kind}-{name}" for kind, name in PAIRS
    }
    assert {path.stem for path in CLI.iterdir()} == used


def test_request_bodies(files: dict[str, str], controllers: dict[str, Controller]) -> None:
    controller = controllers["full"]
    controller.received.clear()
    run(CONTROLLER_COMMANDS["submit"], files, controller.address)
    run(CONTROLLER_COMMANDS["settings-apply"], files, controller.address)
    run(CONTROLLER_COMMANDS["cancel"], files, controller.address)
    job, applied, cancelled = controller.received
    assert msgspec.msgpack.decode(job) == {
        "name_id": "req-1", "crew": "red", "legs": 3, "vcpus": 2.5, "rigs": ["box"],
    }  # fmt: skip
    assert msgspec.msgpack.decode(applied) == {
        "script": Path(files["SCRIPT"]).read_text(),
        "values": {"refresh_s": 3, "teams": {"red": {"weight": 2}}},
        "highest_level": 1,
    }
    assert cancelled == b""
