"""A site on loopback: front processes, emulated engines and their channel, for tests and soak runs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, Self

from micahold.laboratory.emulated_channel import EmulatedChannel, member
from micahold.laboratory.emulated_engine import EmulatedEngine
from micahold.laboratory.fault_proxy import FaultProxy
from micahold.laboratory.front_process import FrontProcess
from micahold.laboratory.record_checker import RuleLimits, RunRecords, Violation, check_records
from micahold.laboratory.sql_client import QueryIds, QueryRecord, SqlSession
from micahold.laboratory.system_faults import SystemFaults

FIRST_CURSOR = 3
NS_PER_S = 10**9
POLL_INTERVAL_S = 0.005


def class_settings(
    name: str, effect: str = "retryable", deadline_s: float = 8.0, window_s: float = 0.0
) -> dict[str, Any]:
    """The settings of one class; ``effect`` is retryable, dedup or fragile."""
    settings: dict[str, Any] = {
        "name": name,
        "effect": effect,
        "aim_ns": round(min(1.0, deadline_s / 4) * NS_PER_S),
        "deadline_ns": round(deadline_s * NS_PER_S),
        "worth": 1.0,
    }
    if effect == "dedup":
        settings.update(group="all", window_ns=round(window_s * NS_PER_S))
    return settings


def site_settings(fronts: int, *classes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """The settings of a site whose engines report their load in every answer."""
    settings: dict[str, Any] = {
        "siblings": fronts,
        "zones": ["east"],
        "models": ["std"],
        "tenants": [{"name": "one", "share": 1.0}],
        "classes": list(classes),
        "bounds": {
            "cancel": True,
            "connect_timeout_ns": 250_000_000,
            "idle_close_ns": 15 * NS_PER_S,
            "max_attempts": 6,
            "max_open": 20000,
            "retry_after": True,
            "max_retry_after_ns": 2 * NS_PER_S,
        },
        "invariants": {"answer_slack_ns": 20_000_000, "drain_grace_ns": NS_PER_S},
        "report": {"source": "piggyback", "columns": ["rif", "busy"]},
        "family_info": {"size_cores": [8], "size_mb": [1024]},
    }
    settings.update(changes)
    return settings


DEFAULT_CLASSES = (class_settings("lookup"), class_settings("load", "dedup", window_s=20.0))


class LoopbackSite:
    """Starts everything on entry and ends it on exit; keeps the records of clients and engines."""

    def __init__(
        self,
        folder: Path,
        fronts: int = 1,
        engines: int = 3,
        classes: tuple[dict[str, Any], ...] = DEFAULT_CLASSES,
        seed: int = 1,
        sockets: int = 1024,
        proxied: bool = False,
        cancel: bool = True,
        environment: Mapping[str, str] = MappingProxyType({}),
        **setting_changes: Any,
    ) -> None:
        self.random = Random(seed)
        self.ids = QueryIds(self.random)
        self.engines = [EmulatedEngine(f"s-{index}") for index in range(engines)]
        self.channel = EmulatedChannel(FIRST_CURSOR)
        self.queries: list[QueryRecord] = []
        self.limits = RuleLimits(
            unsafe_classes=frozenset(one["name"] for one in classes if one["effect"] == "fragile"),
            dedup_windows_s={
                one["name"]: one["window_ns"] / NS_PER_S for one in classes if one["effect"] == "dedup"
            },
            max_attempts=6,
        )
        self.unavailable: dict[str, list[tuple[float, float]]] = {}
        self.proxies: dict[str, FaultProxy] = {}  # by engine, if all calls go through proxies
        self._proxied = proxied
        self._environment = environment  # of all fronts
        self._phases: dict[str, str] = {}  # of each engine in the list
        self._folder = folder
        self._front_count = fronts
        self._sockets = sockets
        self._settings = site_settings(fronts, *classes, **setting_changes)
        self._settings["bounds"]["cancel"] = cancel  # whether fronts may send DELETE
        self.fronts: list[FrontProcess] = []
        self.faults: list[SystemFaults] = []  # of each front's machine

    async def __aenter__(self) -> Self:
        for engine in self.engines:
            await engine.start()
            if self._proxied:
                self.proxies[engine.name] = FaultProxy(engine.port, engine.forwarded_arrivals)
                await self.proxies[engine.name].start()
        await self.channel.start()
        for engine in self.engines:
            self._phases[engine.name] = "Ready"
        known = self.known_list()
        for index in range(self._front_count):
            configuration = {
                "seed": f"{self.random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self._sockets},
                "channel": f"127.0.0.1:{self.channel.port}",
                "known": known,
                "settings": {**self._settings, "my_number": index},
            }
            front = FrontProcess(f"n{index + 1}", self._folder, configuration)
            faults = SystemFaults(self._folder / f"{front.name}.faults")
            front.environment.update({**self._environment, **faults.environment()})
            self.faults.append(faults)
            self.fronts.append(front)
        await self.start_fronts()
        return self

    async def start_fronts(self) -> None:
        """Starts all fronts and waits until they serve."""
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            await front.wait_until_serving()

    async def __aexit__(self, *exception: object) -> None:
        for front in self.fronts:
            front.kill()
        for proxy in self.proxies.values():
            await proxy.stop()
        for engine in self.engines:
            await engine.stop()
        self.channel.close_listener()

    def known_list(self) -> dict[str, Any]:
        """The whole list as a front gets it in its configuration."""
        members = [
            member(engine.name, self.published_port(engine), self._phases[engine.name])
            for engine in self.engines
            if self._phases[engine.name] != "Gone"
        ]
        cursor = self.channel.cursor
        nodes = {"revision": cursor, "complete": True, "members": members}
        return {"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]}

    def published_port(self, engine: EmulatedEngine) -> int:
        """The port under which the list names an engine."""
        proxy = self.proxies.get(engine.name)
        return proxy.port if proxy is not None else engine.port

    def engine(self, name: str) -> EmulatedEngine:
        """The engine of that name."""
        return next(engine for engine in self.engines if engine.name == name)

    async def query(
        self, class_name: str, work_s: float, wait_s: float, front: int = 0, query_id: str = ""
    ) -> QueryRecord:
        """Runs one query on a session of its own and records it."""
        process = self.fronts[front]
        session = SqlSession(process.name, process.port)
        await session.connect()
        statement = b"SELECT work_%d FROM s_3.t" % round(work_s * 1000)
        query_id = query_id or self.ids.next()
        record = await session.query(query_id, class_name, statement, wait_s, token=query_id * 2)
        self.queries.append(record)
        session.close()
        return record

    async def start_query(
        self, class_name: str, work_s: float, wait_s: float
    ) -> tuple[EmulatedEngine, str, asyncio.Task[QueryRecord]]:
        """Starts a query and waits for its first attempt; returns its engine, its id and its task."""
        query_id = self.ids.next()
        task = asyncio.create_task(self.query(class_name, work_s, wait_s, query_id=query_id))
        while not task.done():
            for engine in self.engines:
                if any(attempt.query_id == query_id for attempt in engine.attempts):
                    return engine, query_id, task
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"no attempt of {query_id}: {task.result()}")

    # The engine list

    def list_as(self, engine: EmulatedEngine, phase: str) -> None:
        """Publishes a state of an engine: Ready, Terminating or Gone."""
        now = time.monotonic()
        self._phases[engine.name] = phase
        spans = self.unavailable.setdefault(engine.name, [])
        open_span = bool(spans) and spans[-1][1] == float("inf")
        if phase == "Ready" and open_span:
            spans[-1] = (spans[-1][0], now)
        elif phase != "Ready" and not open_span:
            spans.append((now, float("inf")))
        self.channel.publish(member(engine.name, self.published_port(engine), phase))

    # Records

    def attempts_of(self, query_id: str) -> list[Any]:
        """The attempts of one query in the order in which they began."""
        attempts = [
            attempt for engine in self.engines for attempt in engine.attempts if attempt.query_id == query_id
        ]
        return sorted(attempts, key=lambda attempt: attempt.began_at)

    def violations(self) -> list[Violation]:
        """The rules that the records break."""
        attempts = [attempt for engine in self.engines for attempt in engine.attempts]
        return check_records(RunRecords(self.queries, attempts, self.limits, self.unavailable))
