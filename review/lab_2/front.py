"""Fronts, started with the command of the deploy file, and the settings of a small deployment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from lab_2.client import Session
from lab_2.records import Record

ROOT = Path(__file__).resolve().parents[2]
NS = 10**9


def free_port(host: str = "127.0.0.1") -> int:
    """A port that nothing listens on, below those that the system gives to connections."""
    while True:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            port = 15_000 + secrets.randbelow(15_000)
            with contextlib.suppress(OSError):
                probe.bind((host, port))
                return port


def query_class(
    name: str, effect: str = "retryable", deadline_s: float = 6.0, **fields: Any
) -> dict[str, Any]:
    """The settings of one class; ``effect`` is retryable, dedup or fragile."""
    return {
        "name": name, "effect": effect, "deadline_ns": round(deadline_s * NS), "aim_ns": round(1.2 * NS),
        "aim_stretch": 2.0, "late_share": 0.3, "group": "all", "window_ns": 20 * NS, "worth": 1.0,
        "stream": False, **fields,
    }  # fmt: skip


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """The settings of a deployment like csepel-campus."""
    return {
        "zones": ["east"], "models": ["std"], "my_number": 0, "siblings": 1, "discovery": "pushed",
        "tenants": [{"name": "one", "share": 1.0, "quota_per_s": 100.0}],
        "classes": classes,
        "bounds": {
            "cancel": True, "connect_timeout_ns": 250_000_000, "idle_close_ns": 15 * NS, "max_attempts": 6,
            "max_open": 1000, "max_retry_after_ns": 2 * NS, "retry_after": True, "second_copies": False,
        },
        "invariants": {
            "answer_slack_ns": 20_000_000, "drain_grace_ns": NS, "cold_from": 0.33, "cold_ns": 13 * NS,
            "tip_after_ns": NS, "tip_multiple": 2.0,
        },
        "family_info": {"dop": [1] * len(classes), "size_cores": [12], "size_mb": [24576.0]},
        "report": {"source": "silent", "columns": []},
        **changes,
    }  # fmt: skip


class Front:
    """One front process."""

    def __init__(self, name: str, folder: Path, record: Record, config: dict[str, Any]) -> None:
        self.name = name
        self.record = record
        self.host = "127.0.0.1"
        self.port = free_port(self.host)
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.config = {
            "name": name, "listen": f"{self.host}:{self.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **config,
        }  # fmt: skip
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Replaces the file of the configuration."""
        fresh = self.config_path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.config_path)

    def start(self) -> None:
        """Starts the process as the deploy file says."""
        self.config["seed"] = secrets.token_hex(8)
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if name != "MICAHOLD_OPERATOR"}
        environment.update(
            NODE_NAME=self.name, NODE_LISTEN=str(self.config["listen"]), NODE_CONFIG=str(self.config_path)
        )
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until COM_PING is answered with OK."""
        give_up_at = time.monotonic() + timeout_s
        while True:
            try:
                session = self.session()
                await asyncio.wait_for(session.connect(), 2.0)
                await asyncio.wait_for(session.ping(), 2.0)
                session.close()
                self.record.note("ready", front=self.name)
                return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if time.monotonic() >= give_up_at or (self.process and self.process.poll() is not None):
                    raise RuntimeError(f"front {self.name} is not ready") from None
                await asyncio.sleep(0.05)

    def session(self) -> Session:
        """A new session, not yet connected."""
        return Session(self.name, self.host, self.port, self.record)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.record.note("signal", front=self.name, signal=number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
