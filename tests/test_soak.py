"""Short seeded histories on real processes over loopback (``tests/soak``), and their checker.

The result depends on the bounds of the protocol, not on how long the run takes.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from micadeal.http.message import Answer, Request, answer
from tests.fakes import state as state_fake
from tests.fakes.world import World
from tests.soak.controller_process import ROOT
from tests.soak.world import SoakWorld


def soak(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "tests.soak", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )


def test_seeded_faults_on_real_processes_break_no_rule(tmp_path: Path) -> None:
    result = soak("--seeds", "3", "--jobs", "3", "--quiet", "8", "--keep", str(tmp_path))
    assert result.returncode == 0, result.stdout
    assert "3 seeds in" in result.stdout and ", 0 with a rule broken" in result.stdout


def test_wrong_answers_of_the_state_service_are_detected(tmp_path: Path) -> None:
    """The checker covers real processes: each read of a record of one job is answered 404."""
    world = SoakWorld(tmp_path, seed=1, workers=0, boot_s=1.0)

    async def scenario(world: World) -> None:
        job = await world.run_job("array", 1, image_gb=0.1)

        async def answer_not_found(request: Request) -> Answer:
            if request.method == "GET" and request.path.endswith(job):
                return answer(404, {"ledger": world.state.revision})
            return await world.state.handle(request)

        world.network.serve(state_fake.HOST, state_fake.ADDRESS, answer_not_found)
        for number in range(3):
            await world.status(job, number)
        world.network.serve(state_fake.HOST, state_fake.ADDRESS, world.state.handle)

    with pytest.raises(AssertionError, match="forgotten req-000001: answered 404, to a status"):
        world.play(None, scenario)
    assert not any(process.running for process in world.controllers.values())


def test_controller_that_exits_unexpectedly_is_detected(tmp_path: Path) -> None:
    world = SoakWorld(tmp_path, seed=1, workers=0, boot_s=1.0)

    async def scenario(world: World) -> None:
        controllers: Any = world.nodes
        controllers[1]._process.kill()
        await world.wait_until(lambda: bool(world.rules.violations))

    with pytest.raises(AssertionError, match="ended by itself: c1"):
        world.play(None, scenario)


@pytest.mark.parametrize(
    "arguments",
    [["--seeds", "0"], ["--jobs", "x"], ["--workers", "-1"], ["--first", "-2"], ["--nothing"]],
)
def test_bad_arguments_are_reported_and_nothing_is_started(arguments: list[str]) -> None:
    result = soak(*arguments)
    assert result.returncode == 2
    assert arguments[0] in result.stdout and "Usage:" in result.stdout
