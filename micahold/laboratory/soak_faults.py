"""The faults of a soak run: plays each fault of a plan at its time on a site."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from micahold.laboratory.emulated_engine import EmulatedEngine
from micahold.laboratory.front_process import FrontProcess, FrontStartError
from micahold.laboratory.loopback_site import LoopbackSite
from micahold.laboratory.record_checker import Violation
from micahold.laboratory.soak_plan import Fault, SoakPlan
from micahold.laboratory.sql_client import SessionLostError, SqlSession

# Shutdown as the protocol page times it.
LAST_CONNECTION_AFTER_TERM_S = 0.4
KILL_AFTER_DEADLINE_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
# Below the time that the rules allow for the way.
LATE_CONNECT_S = 0.08
# Statements that are cut off in a string, a name, a comment or a list.
LONG_TEXT_PARTS = (
    (b"INSERT INTO s_1.t VALUES ('", b"\\'"),
    (b"INSERT INTO s_1.t VALUES ('", b"''"),
    (b"SELECT 1 FROM ", b"a."),
    (b"SELECT 1 FROM ", b"a,"),
    (b"SELECT 1 FROM ", b"("),
    (b"SELECT /*", b"* /"),
    (b"SELECT 1 FROM `", b"``"),
)
LONG_TEXTS = 20
MAX_TEXT_BYTES = 60_000


@dataclass(slots=True)
class FrontState:
    """What the clients of a front know of it."""

    accepts_connections: bool = True
    kills: list[float] = field(default_factory=list)


class FaultPlayer:
    """Plays the faults of a plan and keeps what the rules have to know of them.

    ``front_states`` is what clients know of each front; ``cuts`` and ``stops`` are the spans in which an
    engine's network was cut and a front's process stopped; ``crashes`` are ends that no fault explains.
    """

    def __init__(self, plan: SoakPlan, site: LoopbackSite) -> None:
        self.plan = plan
        self.site = site
        self.front_states = [FrontState() for _ in range(plan.fronts)]
        self.cuts: dict[str, list[tuple[float, float]]] = {}
        self.stops: dict[str, list[tuple[float, float]]] = {}
        self.crashes: list[Violation] = []
        # From SIGTERM to SIGKILL.
        self.kill_after_s = KILL_AFTER_DEADLINE_S + min(
            max(plan.deadlines_s.values()), MAX_COUNTED_DEADLINE_S
        )
        self._busy_fronts: set[int] = set()  # that are ending, starting or stopped
        self._busy_engines: set[int] = set()  # that are draining, gone or starting

    async def play(self, fault: Fault) -> None:
        """Waits for the fault's time and plays it."""
        await asyncio.sleep(fault.at_s)
        handlers: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "drain": self._drain,
            "crash": self._crash,
            "reset": self._reset,
            "term": self._terminate,
            "kill": self._kill,
            "reload": self._send_signals,
            "counters": self._send_signals,
            "clock": self._step_clock,
            "call": self._fail_call,
            "channel_silent": self._silence_channel,
            "stop": self._stop,
            "texts": self._send_long_texts,
        }
        await handlers.get(fault.kind, self._set_engine_fault)(fault)

    async def _set_engine_fault(self, fault: Fault) -> None:
        """Switches a fault of an engine, or of the way to it, on for its span."""
        engine = self.site.engines[fault.target]
        proxy = self.site.proxies[engine.name]
        values: dict[str, tuple[object, str, object, object]] = {
            "cut": (proxy.faults, "cut", True, False),
            "late": (proxy.faults, "late_connect_s", LATE_CONNECT_S, 0.0),
            "split": (proxy.faults, "split_bytes", 16, 0),
            "duplicates": (engine.faults, "duplicate_poll_after_s", 0.008, 0.0),
        }
        owner, name, on, off = values.get(fault.kind, (engine.faults, fault.kind, True, False))
        began_at = time.monotonic()
        setattr(owner, name, on)
        await asyncio.sleep(fault.span_s)
        setattr(owner, name, off)
        if fault.kind == "cut":
            self.cuts.setdefault(engine.name, []).append((began_at, time.monotonic()))

    async def _drain(self, fault: Fault) -> None:
        """An engine drains: no new connections, listed as gone while it runs on, later back."""
        await self._replace_engine(fault, drains=True)

    async def _crash(self, fault: Fault) -> None:
        await self._replace_engine(fault, drains=False)

    async def _replace_engine(self, fault: Fault, drains: bool) -> None:
        if fault.target in self._busy_engines:
            return
        self._busy_engines.add(fault.target)
        engine = self.site.engines[fault.target]
        proxy = self.site.proxies[engine.name]
        if drains:
            self.site.list_as(engine, "Terminating")
            proxy.close_listener()
        else:
            self._end_engine(engine)
        await asyncio.sleep(fault.value)
        self.site.list_as(engine, "Gone")
        await asyncio.sleep(fault.span_s)
        if drains:
            self._end_engine(engine)
        await asyncio.sleep(0.2)
        await engine.start()
        await proxy.start()
        self.site.list_as(engine, "Ready")
        self._busy_engines.discard(fault.target)

    def _end_engine(self, engine: EmulatedEngine) -> None:
        engine.die()
        proxy = self.site.proxies[engine.name]
        proxy.close_listener()
        proxy.reset_connections()

    async def _reset(self, fault: Fault) -> None:
        self.site.proxies[self.site.engines[fault.target].name].reset_connections()

    async def _terminate(self, fault: Fault) -> None:
        """SIGTERM, once or in a series, and SIGKILL at the earliest moment; then a new start."""
        if fault.target in self._busy_fronts:
            return
        self._busy_fronts.add(fault.target)
        process, state = self.site.fronts[fault.target], self.front_states[fault.target]
        terminated_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if fault.span_s > 1.0:
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1):
                await asyncio.sleep(0.05)
                process.send_signal(number)
        await asyncio.sleep(max(0.0, terminated_at + LAST_CONNECTION_AFTER_TERM_S - time.monotonic()))
        state.accepts_connections = False
        status = await process.wait_for_exit(terminated_at + self.kill_after_s - time.monotonic())
        if status is None:
            process.kill()
        elif status != 0:
            self.report_crash(process, f"exit status {status} after SIGTERM")
        await self._restart(process, state)
        self._busy_fronts.discard(fault.target)

    async def _kill(self, fault: Fault) -> None:
        if fault.target in self._busy_fronts:
            return
        self._busy_fronts.add(fault.target)
        process, state = self.site.fronts[fault.target], self.front_states[fault.target]
        self.check_running(process)
        state.kills.append(time.monotonic())
        process.kill()
        state.accepts_connections = False
        await asyncio.sleep(fault.span_s)
        await self._restart(process, state)
        self._busy_fronts.discard(fault.target)

    async def _restart(self, process: FrontProcess, state: FrontState) -> None:
        process.configuration["known"] = self.site.known_list()
        process.start()
        try:
            await process.wait_until_serving()
        except FrontStartError as error:
            self.report_crash(process, str(error))
        else:
            state.accepts_connections = True

    async def _send_signals(self, fault: Fault) -> None:
        number = signal.SIGHUP if fault.kind == "reload" else signal.SIGUSR1
        if fault.target not in self._busy_fronts:
            for _ in range(3):
                self.site.fronts[fault.target].send_signal(number)
                await asyncio.sleep(0.02)

    async def _step_clock(self, fault: Fault) -> None:
        self.site.faults[fault.target].step_clock(fault.value)

    async def _fail_call(self, fault: Fault) -> None:
        self.site.faults[fault.target].fail(fault.detail, int(fault.value), seconds=fault.span_s)
        await asyncio.sleep(fault.span_s)

    async def _stop(self, fault: Fault) -> None:
        """The front's process stands still, and then finds all that has come meanwhile."""
        if fault.target in self._busy_fronts:
            return
        self._busy_fronts.add(fault.target)
        process = self.site.fronts[fault.target]
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.span_s)
        process.send_signal(signal.SIGCONT)
        self.stops.setdefault(process.name, []).append((stopped_at, time.monotonic()))
        self._busy_fronts.discard(fault.target)

    async def _send_long_texts(self, fault: Fault) -> None:
        """Clients send statements of up to 60,000 bytes, cut off anywhere, one after another."""
        random = Random(f"{self.plan.seed} {fault.at_s}")
        process, state = self.site.fronts[fault.target], self.front_states[fault.target]
        for _ in range(LONG_TEXTS):
            if not state.accepts_connections:
                return
            start, fragment = random.choice(LONG_TEXT_PARTS)
            text = (start + fragment * MAX_TEXT_BYTES)[: random.randrange(len(start), MAX_TEXT_BYTES)]
            session = SqlSession(process.name, process.port)
            with contextlib.suppress(SessionLostError, TimeoutError):
                await asyncio.wait_for(session.connect(), 2.0)
                class_name = min(self.plan.deadlines_s)
                query_id = self.site.ids.next()
                record = await session.query(query_id, class_name, text, self.plan.deadlines_s[class_name])
                self.site.queries.append(record)
                session.close()

    async def _silence_channel(self, fault: Fault) -> None:
        self.site.channel.silent = True
        await asyncio.sleep(fault.span_s)
        self.site.channel.silent = False

    def check_running(self, process: FrontProcess) -> None:
        """Notes a crash if the process has ended by itself."""
        if process.process is not None and (status := process.process.poll()) is not None:
            self.report_crash(process, f"ended by itself with {status}")

    def report_crash(self, process: FrontProcess, text: str) -> None:
        """Notes an end of a front that no fault explains."""
        self.crashes.append(Violation("crash", "", f"{process.name}: {text}"))
