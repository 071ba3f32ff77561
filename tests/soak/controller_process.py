"""One controller as a real process: started, paused, killed, and watched for ends of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import curio

from micadeal.clock import monotonic, seconds
from micadeal.http.client import Client
from micadeal.http.message import HttpError

ROOT = Path(__file__).resolve().parent.parent.parent
#: How long a process that is asked to end may take.
RETIRE_TIMEOUT_S = 10.0
#: How long a process may take until it listens; not a bound of any rule.
START_TIMEOUT = seconds(120)
POLL_INTERVAL_S = 0.1


class ControllerProcess:
    """A running controller; whoever created it ends it."""

    def __init__(self, name: str, settings: Path, log_file: Path, options: Path | None) -> None:
        """Start the process; ``options`` is the operators' file of what is switched on."""
        self.name = name
        command = [sys.executable, str(ROOT / "run.py")]
        if options is not None:
            command += ["--options", str(options)]
        with log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [*command, "--config", str(settings)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self._asked_to_end = False

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process has ended though nobody ended it."""
        return not self._asked_to_end and not self.running

    def kill(self) -> None:
        """End the process at once."""
        self._asked_to_end = True
        if self.running:
            self._process.kill()
            self._process.wait()

    def pause(self) -> None:
        """Stop the process; its clocks run on."""
        if self.running:
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        if self.running:
            self._process.send_signal(signal.SIGCONT)

    async def shut_down(self) -> None:
        """Ask the process to hand over and end, and wait for that."""
        self._asked_to_end = True
        self._process.terminate()
        until = monotonic() + seconds(RETIRE_TIMEOUT_S)
        while self.running and monotonic() < until:
            await curio.sleep(POLL_INTERVAL_S)

    async def wait_until_listening(self, address: str) -> None:
        """Wait until the process accepts connections, or has ended."""
        client = Client(address, max_idle=0)
        until = monotonic() + START_TIMEOUT
        while self.running and monotonic() < until:
            try:
                await client.request("GET", "/ready", timeout=seconds(2))
            except HttpError:
                await curio.sleep(POLL_INTERVAL_S)
            else:
                return
