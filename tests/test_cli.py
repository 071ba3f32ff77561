"""The command line with a fake controller, over loopback."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import quote

import curio
import pytest
from click.testing import CliRunner, Result

from micadeal.cli.main import main
from micadeal.http.message import Answer, Request, answer, error
from micadeal.http.server import Server
from micadeal.wire.codec import decode
from micadeal.wire.peers import MachineLine, Overview, StuckJob, TeamLine, WhyAnswer, WhyLine
from micadeal.wire.users import JobAnswer, Status
from tests.fakes.deployment_settings import TEAMS, settings

OVERVIEW = Overview(
    "c1", 41, 65.0, False,
    [TeamLine("red", "gpus", 3.0, 4.0, 8.0, 4.0, 6.0, 2, 1)],
    {"running": 1, "waiting": 2},
    [StuckJob("req-000007", "red", "train", 91.0, "no room, and the cloud refused")],
    [MachineLine("box", "north", True, 2, 1, 0, 0, 3.0, 6.0)],
    ["the cloud refused box (spot) in north lately"],
)  # fmt: skip
WHY = WhyAnswer(
    "req-000007", "pending", "red", 1, 0, 0, 2, 91.0,
    [WhyLine("no room, and the cloud refused", 2)],
)  # fmt: skip


class Controller:
    """A fake controller with fixed answers; it stores the settings that it receives."""

    def __init__(self) -> None:
        self.settings: dict[str, Any] = {"script": ""}
        server = Server(("127.0.0.1", 0), self.handle, max_connections=20)
        host, port = server.listen()
        self.address = f"{host}:{port}"
        threading.Thread(target=curio.run, args=(server.run,), daemon=True).start()

    async def handle(self, request: Request) -> Answer:
        match request.method, request.path:
            case "POST", "/work":
                if "crew" not in decode(dict, request.body):
                    return error(400, "crew is missing")
                return answer(201, JobAnswer("req-000007", Status.PENDING))
            case "GET", "/work/req-000007":
                return answer(200, JobAnswer("req-000007", Status.RUNNING, 1, 2))
            case "POST", "/work/req-000007/abort":
                return answer(200, JobAnswer("req-000007", Status.CANCELLED))
            case "GET", "/why/req-000007":
                return answer(200, WHY)
            case "GET", "/overview":
                return answer(200, OVERVIEW)
            case "GET", "/settings":
                return answer(200, self.settings)
            case "POST", "/settings":
                self.settings = decode(dict, request.body)
                return answer(200, self.settings)
        return error(404, "no such job")


@pytest.fixture(scope="module")
def controller() -> Iterator[Controller]:
    yield Controller()


def run(controller: Controller, *arguments: str) -> Result:
    return CliRunner().invoke(main, [*arguments, "-c", controller.address])


def test_submit_status_and_cancel(controller: Controller, tmp_path: Path) -> None:
    job = tmp_path / "job.toml"
    job.write_text('name_id = "req-000007"\ncrew = "red"\n')
    assert run(controller, "submit", str(job)).output == "req-000007: pending\n"
    assert "running, 1 tasks done, 2 running" in run(controller, "status", "req-000007").output
    as_json = run(controller, "status", "req-000007", "--json")
    assert json.loads(as_json.output)["status"] == "running"
    assert run(controller, "cancel", "req-000007").output == "req-000007: cancelled\n"


def test_exit_code_is_1_for_failure_and_2_for_misuse(
    controller: Controller, tmp_path: Path
) -> None:
    missing = run(controller, "status", "req-000008")
    assert (missing.exit_code, missing.output) == (1, "micadeal: no such job (status 404)\n")
    bad = tmp_path / "job.toml"
    bad.write_text("name_id = 1\n")
    assert run(controller, "submit", str(bad)).exit_code == 1
    bad.write_text("name_id = = 1\n")
    assert run(controller, "submit", str(bad)).exit_code == 2
    assert run(controller, "submit").exit_code == 2
    assert CliRunner().invoke(main, ["overview", "-c", "nowhere"]).exit_code == 2
    assert CliRunner().invoke(main, ["fly"]).exit_code == 2


def test_why_and_overview_show_the_answers(controller: Controller) -> None:
    why = run(controller, "why", "req-000007").output
    assert "2 waiting" in why and "- 2 tasks: no room, and the cloud refused" in why
    overview = run(controller, "overview").output
    assert "leader c1 for 65 s" in overview and "WITHOUT TOUCH" in overview
    assert "red (gpus)" in overview and "req-000007" in overview and "box spot north" in overview
    assert json.loads(run(controller, "overview", "--json").output)["token"] == 41


def test_settings_are_validated_before_they_are_applied(
    controller: Controller, tmp_path: Path
) -> None:
    assert "defaults are in force" in run(controller, "settings", "show").output
    script = tmp_path / "policy.star"
    script.write_text("refresh_s = 0\n")
    refused = run(controller, "settings", "apply", str(script))
    assert refused.exit_code == 2 and f"{script}:1: refresh_s" in refused.output
    assert controller.settings == {"script": ""}
    script.write_text('teams = {"red": {"weight": 2}}\n')
    assert CliRunner().invoke(main, ["settings", "check", str(script)]).exit_code == 0
    assert run(controller, "settings", "apply", str(script)).output == "applied\n"
    assert controller.settings["values"] == {"teams": {"red": {"weight": 2}}}
    assert run(controller, "settings", "show").output == script.read_text()


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("stand_in = true", ""),
        ("stand_im = true", "stand_im"),
        ("stand_in = 'yes'", "Expected 'bool'"),
        ("stand_in", "bad options"),
        (None, "No such file"),
    ],
)
def test_options_file_is_validated(tmp_path: Path, text: str | None, expected_error: str) -> None:
    config, options = tmp_path / "settings.toml", tmp_path / "options.toml"
    config.write_text(settings(0, TEAMS))
    if text is not None:
        options.write_text(text)
    result = CliRunner().invoke(main, ["check", str(config), "--options", str(options)])
    assert result.exit_code == (2 if expected_error else 0)
    assert expected_error in result.output


@pytest.mark.parametrize("command", ["why", "status", "cancel"])
@pytest.mark.parametrize("job", ["req-7/../8", "req 7", "req-7?x", "", "reqé"])
def test_job_id_that_needs_escaping_reaches_the_controller(command: str, job: str) -> None:
    """Unescaped, such an id names another path or makes the request invalid."""
    paths: list[str] = []

    class RecordingController(Controller):
        async def handle(self, request: Request) -> Answer:
            paths.append(request.path)
            return error(400, "not a job id")

    refused = run(RecordingController(), command, job)
    assert (refused.exit_code, refused.output) == (1, "micadeal: not a job id (status 400)\n")
    prefix = "/why/" if command == "why" else "/work/"
    suffix = "/abort" if command == "cancel" else ""
    assert paths == [f"{prefix}{quote(job, safe='')}{suffix}"]


@pytest.mark.parametrize(
    ("status", "text"),
    [
        (400, "not a job id"),
        (404, "not waiting or running: see its status"),
        (503, "the leader c0 does not answer"),
    ],
)
def test_why_without_an_explanation_prints_the_error_of_the_controller(
    status: int, text: str
) -> None:
    class RefusingController(Controller):
        async def handle(self, request: Request) -> Answer:
            return error(status, text)

    refused = run(RefusingController(), "why", "req-000009")
    assert (refused.exit_code, refused.output) == (1, f"micadeal: {text} (status {status})\n")
