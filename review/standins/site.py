"""A small deployment on loopback: one or more fronts by the deploy file's command, engines and channel."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, Self

from standins.channel import Channel, full_list, member
from standins.client import Session
from standins.engine import Engine

ROOT = Path(__file__).resolve().parents[2]
NS = 10**9
RUN_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def settings(fronts: int) -> dict[str, Any]:
    """Settings like those of the site csepel-campus: two classes that are safe to repeat, and one keyed."""
    return {
        "bounds": {
            "cancel": True,
            "connect_timeout_ns": 250_000_000,
            "cpu_us_per_s": 500_000,
            "idle_close_ns": 15 * NS,
            "max_attempts": 6,
            "max_open": 20_000,
            "max_retry_after_ns": 2 * NS,
            "peer_messages": False,
            "probing": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 32,
        },
        "classes": [
            class_settings("lookup", "retryable", 1.2, 2.0, 6, 1.0),
            class_settings("report", "retryable", 2.0, 2.5, 15, 5.0),
            class_settings("load", "dedup", 4.0, 3.0, 20, 10.0) | {"window_ns": 20 * NS},
        ],
        "clients": {"marks_retry": False},
        "discovery": "pushed",
        "family": "queries",
        "family_info": {
            "dop": [1, 2, 2],
            "grant_cap": 0.4,
            "grants": False,
            "is_load": [False, False, True],
            "ranks_heeded": False,
            "size_cores": [12, 8],
            "size_mb": [24576.0, 16384.0],
            "tells_cost": False,
            "tells_every_ns": 0,
            "waits_for_loads": [False, False, False],
            "when_short": "overcommit",
        },
        "invariants": {
            "answer_slack_ns": 20_000_000,
            "ask_within_ns": 10 * NS,
            "budget_span_ns": 5 * NS,
            "cold_from": 0.33,
            "cold_ns": 13 * NS,
            "drain_grace_ns": NS,
            "extra_free": 5,
            "repeat_ratio": 0.1,
            "tip_after_ns": NS,
            "tip_multiple": 2.0,
        },
        "layers": ["query-fleet"],
        "models": ["std-12", "std-8"],
        "over_share_worth": 0.2,
        "report": {"columns": ["rif", "busy", "x0"], "source": "piggyback"},
        "round_ns": 5_000_000,
        "siblings": fronts,
        "tenants": [
            {"name": "kk-core", "quota_per_s": 161.0, "share": 0.68},
            {"name": "dunalog", "quota_per_s": 79.0, "share": 0.32},
        ],
        "tier": 0,
        "weight_source": "silent",
        "worth_by": "request",
        "zone": 0,
        "zones": ["hall-a", "hall-b"],
    }


def class_settings(
    name: str, effect: str, aim_s: float, stretch: float, deadline_s: float, worth: float
) -> dict[str, Any]:
    """The settings of one class."""
    return {
        "aim_ns": round(aim_s * NS),
        "aim_stretch": stretch,
        "deadline_ns": round(deadline_s * NS),
        "effect": effect,
        "group": "all",
        "late_share": 0.3,
        "name": name,
        "stream": False,
        "window_ns": 5 * NS,
        "worth": worth,
    }


def free_port() -> int:
    """A port that was free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Front:
    """One front, started by the command ``run`` of the deploy file."""

    def __init__(self, name: str, folder: Path, configuration: dict[str, Any]) -> None:
        self.name = name
        self.port = free_port()
        self.folder = folder
        self.configuration = {**configuration, "name": name, "listen": f"127.0.0.1:{self.port}"}
        self.process: subprocess.Popen[bytes]

    def start(self) -> None:
        """Writes the configuration and starts the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.configuration))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PYTHONPATH": "",
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.configuration["listen"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Waits until COM_PING is answered with OK, as the platform does."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            session = Session(self.port)
            try:
                await session.connect()
                if await session.ping():
                    session.close()
                    return
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the front."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the front, also one that is stopped."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Site:
    """Starts everything on entry and ends it on exit; ``record`` collects what was sent, answered and run."""

    def __init__(self, folder: Path, fronts: int, engines: int, seed: int = 1) -> None:
        self.folder = folder
        self.random = Random(seed)
        self.began_at = time.monotonic()
        self.lines: list[str] = []
        self.channel = Channel()
        self.engines = [Engine(f"s-{number}", self.record) for number in range(engines)]
        self.fronts: list[Front] = []
        self._front_count = fronts

    def record(self, event: str, **fields: object) -> None:
        """Notes an event with the time since the start."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.began_at:9.4f} {event} {text}")

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        for engine in self.engines:
            await engine.start()
        await self.channel.start()
        known = full_list([member(engine.name, engine.port) for engine in self.engines])
        for number in range(self._front_count):
            configuration = {
                "seed": f"{self.random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "channel": f"127.0.0.1:{self.channel.port}",
                "known": known,
                "settings": {**settings(self._front_count), "my_number": number},
            }
            front = Front(f"n{number + 1}", self.folder, configuration)
            front.start()
            self.fronts.append(front)
        for front in self.fronts:
            await front.wait_until_ready()

    async def __aexit__(self, *exception: object) -> None:
        for front in self.fronts:
            front.end()
        for engine in self.engines:
            engine.close()
        self.channel.close()


def run_case(folder: Path, case: Callable[[Site], Awaitable[int]], fronts: int, engines: int) -> int:
    """Runs a case with a limit of time and writes its record; the exit code, ``NOT_RUN`` after an error."""
    with tempfile.TemporaryDirectory() as temporary:
        site = Site(Path(temporary), fronts, engines)
        try:
            return asyncio.run(_run_limited(site, case))
        except (Exception, KeyboardInterrupt, asyncio.CancelledError):
            site.record("not_run", error=traceback.format_exc())
            return NOT_RUN
        finally:
            (folder / "record.txt").write_text("\n".join(site.lines) + "\n")


async def _run_limited(site: Site, case: Callable[[Site], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    with contextlib.suppress(NotImplementedError):
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(RUN_LIMIT_S):
        return await case(site)
