"""Front processes on loopback for experiments: configuration, start, signals, and the log that they write."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from micahold.laboratory.reserved_port import ReservedPort

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class FrontStartError(Exception):
    """A front has ended at its start, or does not accept connections in time."""


class FrontProcess:
    """One front, which can be started more than once; ``log_path`` collects the log of all its lives."""

    def __init__(self, name: str, folder: Path, configuration: dict[str, Any]) -> None:
        self.name = name
        self._reserved_port = ReservedPort()
        self.port = self._reserved_port.port
        self.configuration = {**configuration, "name": name, "listen": f"127.0.0.1:{self.port}"}
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.error_path = folder / f"{name}.err"
        self.environment: dict[str, str] = {}
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Writes the configuration and starts the process."""
        self.config_path.write_text(json.dumps(self.configuration))
        with self.log_path.open("ab") as log, self.error_path.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "micahold"],
                env={**os.environ, "NODE_CONFIG": str(self.config_path), **self.environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=errors,
            )

    async def wait_until_serving(self) -> None:
        """Waits for the front to accept connections; raises ``FrontStartError`` after ``START_TIMEOUT_S``."""
        assert self.process is not None
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if (status := self.process.poll()) is not None:
                raise FrontStartError(
                    f"ended at its start with {status}: {self.error_path.read_text()[-500:]}"
                )
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                writer.close()
                return
        raise FrontStartError(f"does not accept connections after {START_TIMEOUT_S:.0f} s")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Waits for the process to end; returns its exit status, or None after ``timeout_s``."""
        assert self.process is not None
        deadline = time.monotonic() + timeout_s
        while (status := self.process.poll()) is None and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        return status

    def kill(self) -> None:
        """Kills the process and waits for it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def events(self) -> list[dict[str, Any]]:
        """The complete lines of the log."""
        lines = self.log_path.read_bytes().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith(b"\n")]
