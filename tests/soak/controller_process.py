"""One controller as a real process, which can be paused, killed and watched for unexpected ends."""

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
#: Time that a process gets to hand over and end after a termination signal.
RETIRE_TIMEOUT_S = 10.0
#: Time that a process gets until it accepts connections; no protocol rule depends on it.
START_TIMEOUT = seconds(120)
POLL_INTERVAL_S = 0.1


class ControllerProcess:
    """A running controller process; its creator must end it."""

    def __init__(self, name: str, settings: Path, log_file: Path, options: Path | None) -> None:
        """Start the process; ``options`` is the operators' file of enabled features."""
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
        self._end_requested = False

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._process.poll() is None

    @property
    def ended_unexpectedly(self) -> bool:
        """Whether the process has ended without a request to end."""
        return not self._end_requested and not self.running

    def kill(self) -> None:
        """Kill the process without a handover and wait for its end."""
        self._end_requested = True
        if self.running:
            self._process.kill()
            self._process.wait()

    def pause(self) -> None:
        """Stop the process with SIGSTOP; its clocks continue."""
        if self.running:
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        if self.running:
            self._process.send_signal(signal.SIGCONT)

    async def shut_down(self) -> None:
        """Ask the process to hand over and end, and wait until it has ended or time is up."""
        self._end_requested = True
        self._process.terminate()
        deadline = monotonic() + seconds(RETIRE_TIMEOUT_S)
        while self.running and monotonic() < deadline:
            await curio.sleep(POLL_INTERVAL_S)

    async def wait_until_listening(self, address: str) -> None:
        """Wait until the process accepts connections or has ended."""
        client = Client(address, max_idle=0)
        deadline = monotonic() + START_TIMEOUT
        while self.running and monotonic() < deadline:
            try:
                await client.request("GET", "/ready", timeout=seconds(2))
            except HttpError:
                await curio.sleep(POLL_INTERVAL_S)
            else:
                return
