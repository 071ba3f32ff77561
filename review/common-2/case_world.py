"""A small deployment for the cases of the second review: real controllers, the project's stand-ins.

State service, cloud, workers and users are those of ``tests/fakes``; ``tests/soak`` connects them
over loopback to controller processes that are started with the command of the deploy file.  This
module adds a record of what was sent, answered and run, and the exit codes of a case.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import curio

from micadeal.clock import monotonic, seconds
from tests.fakes.workers import FakeWorker, TaskAttempt
from tests.fakes.world import CONTROLLERS, REQUEST_TIMEOUT
from tests.soak.world import SoakWorld, _shut_down

#: Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: A case that takes longer could not run.
MAX_CASE_S = 113.0
#: A process that takes longer ends its controllers and itself.
MAX_PROCESS_S = 118
HTTP_OK = 200


class CaseError(Exception):
    """The case could not be brought about, so it says nothing about the rule."""


def trouble() -> bool:
    """Return whether the disruption is to be applied."""
    return os.environ.get("TROUBLE", "1") != "0"


class CaseWorld(SoakWorld):
    """The deployment of one case, which records what is sent, answered and run."""

    def __init__(self, folder: Path, **deployment: Any) -> None:  # noqa: ANN401 - passed on
        """Prepare the deployment; the logs of the controllers go into ``folder``.

        ``teams`` is a section of the settings that replaces the usual teams.
        """
        teams = deployment.pop("teams", None)
        super().__init__(folder, 1, 0, **deployment)
        self.teams = teams or self.teams
        #: Whether to note just the ends of tasks, for cases with thousands of tasks.
        self.many_tasks = False
        self._began_at = monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the case began."""
        return (monotonic() - self._began_at).total_seconds()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now():7.2f}  {text}")

    def _on_task_event(self, event: str, worker: FakeWorker, attempt: TaskAttempt) -> None:
        if self.many_tasks:
            if event == "done":
                self.rules.finished_tasks.add(attempt.task)
            return
        cause = f" {attempt.why}" if event == "exit" else ""
        self.note(f"{worker.name}: {event}{cause} {attempt.task} try {attempt.attempt}")
        super()._on_task_event(event, worker, attempt)

    async def call(
        self,
        number: int,
        method: str,
        path: str,
        body: Any = None,  # noqa: ANN401 - any message
        timeout: timedelta = REQUEST_TIMEOUT,
    ) -> tuple[int, Any]:
        """Send a user's request to one controller and record it; status 0 means no answer."""
        asked_at = self.now()
        status, reply = await super().call(number, method, path, body, timeout)
        if path != "/ready":
            sent = "" if body is None else f" {body}"
            self.note(f"user to c{number}, sent at {asked_at:.2f}: {method} {path}{sent}")
            self.note(f"  answer: {status} {reply}")
        return status, reply

    async def begin(self, machines: list[str]) -> None:
        """Start everything, with one machine in each of these zones, and wait until it serves."""
        await self.start_services()
        for zone in machines:
            await self.cloud.add(zone, spot=False, boot_s=0.5)
        for number in range(CONTROLLERS):
            await self.start(number)
        deadline = self.now() + 30
        while not await self._serves():
            if self.now() > deadline:
                raise CaseError("the controllers don't serve")
            await curio.sleep(0.3)
        self.note(f"all controllers are ready, c{self.leader()} leads")

    async def _serves(self) -> bool:
        if self.leader() is None or not all(w.token for w in self.fleet.workers.values()):
            return False
        if not self.fleet.workers:
            return False
        for number in range(CONTROLLERS):
            status, _ = await self.call(number, "GET", "/ready", timeout=seconds(1))
            if status != HTTP_OK:
                return False
        return True

    def has_room(self, job_id: str) -> bool:
        """Return whether a machine has room for a task of the job, by the machine's own account."""
        job = self.fleet.jobs[job_id]
        return any(
            worker.alive and worker._has_capacity(job) for worker in self.fleet.workers.values()
        )

    async def longest_wait(self, job_id: str, limit_s: float, number: int) -> float:
        """Return for how long the job has waited without a break while a machine has room.

        Ends when it is done, or when that time exceeds ``limit_s``.  Its user asks controller
        ``number`` every two seconds.
        """
        longest = 0.0
        since: float | None = None
        while longest <= limit_s and not self.all_tasks_done(job_id):
            waits = not self.tasks_on_machines(job_id) and self.has_room(job_id)
            since = (self.now() if since is None else since) if waits else None
            if since is not None:
                longest = max(longest, self.now() - since)
            tasks = sorted(attempt.task for _, attempt in self.tasks_on_machines())
            room = "with" if self.has_room(job_id) else "without"
            self.note(f"machines: {sorted(self.fleet.workers)}, {room} room; tasks: {tasks}")
            await self.status(job_id, number)
            await curio.sleep(2)
        return longest

    async def wait_for(self, condition: Callable[[], bool], limit_s: float, what: str) -> None:
        """Wait until a condition holds; the case could not run if it does not in time."""
        deadline = self.now() + limit_s
        while not condition():
            if self.now() > deadline:
                raise CaseError(f"not within {limit_s:.0f} s: {what}")
            await curio.sleep(0.02)

    def run_case(self, scenario: Callable[[CaseWorld], Awaitable[list[str]]]) -> list[str]:
        """Run a scenario in real time; return in what way the rule was broken, if it was."""

        async def main() -> list[str]:
            try:
                await curio.spawn(self._watch_processes, daemon=True)
                async with curio.timeout_after(MAX_CASE_S):
                    return await scenario(self)
            except curio.TaskTimeout:
                raise CaseError("it took too long") from None
            finally:
                self.end_all()

        kernel = curio.Kernel()
        try:
            found: list[str] = kernel.run(main)
        finally:
            self.end_all()
            _shut_down(kernel)
        return found


def _interrupt(*_: object) -> None:
    # Takes the same path as Ctrl-C, which ends all processes that were started.
    raise KeyboardInterrupt


def main(
    record: Path,
    scenario: Callable[[CaseWorld], Awaitable[list[str]]],
    **deployment: Any,  # noqa: ANN401 - passed on
) -> None:
    """Run the scenario of a case, write what happened to ``record``, and exit with its code."""
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(MAX_PROCESS_S)
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="micadeal-review-") as folder:
        world = CaseWorld(Path(folder), **deployment)
        world.note(f"TROUBLE={int(trouble())}")
        try:
            found = world.run_case(scenario)
            code = BROKEN if found else HELD
            for line in found:
                world.note(f"BROKEN: {line}")
        except CaseError as problem:
            world.note(f"could not run: {problem}")
        except (Exception, KeyboardInterrupt):
            # Whatever fails here says nothing about the rule.
            world.note(f"could not run: {traceback.format_exc()}")
        finally:
            world.note(f"exit code {code}")
            record.write_text("\n".join(world.lines) + "\n")
            if os.environ.get("KEEP_LOGS"):
                for log in Path(folder).glob("*.log"):
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    sys.stdout.write("\n".join(world.lines[-8:]) + "\n")
    sys.exit(code)
