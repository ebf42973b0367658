"""A soak run: real fronts under load and a drawn schedule of faults, judged by the records of both sides.

Clients keep using open connections until a front is killed, which happens at the earliest moment that the
protocol allows. The rules are checked from the records of clients and engines alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from micahold.laboratory.emulated_engine import EmulatedEngine
from micahold.laboratory.front_process import FrontProcess, FrontStartError
from micahold.laboratory.loopback_site import LoopbackSite, class_settings
from micahold.laboratory.planted_faults import PLANT_VARIABLE
from micahold.laboratory.record_checker import RunRecords, Violation, check_records
from micahold.laboratory.soak_plan import Fault, SoakPlan
from micahold.laboratory.sql_client import QueryRecord, SessionLostError, SqlSession

# Shutdown as the protocol page times it.
LAST_CONNECTION_AFTER_TERM_S = 0.4
KILL_AFTER_DEADLINE_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
LAG_INTERVAL_S = 0.02
# A run whose own loop was later than this proves nothing, since its records are late as well.
MAX_LAG_S = 0.08
RETRY_CONNECT_S = 0.05
# Below the time that the rules allow for the way.
LATE_CONNECT_S = 0.08
REST_RANGE_S = (4.0, 5.5)
EFFECTS = {"lookup": "retryable", "load": "dedup", "job": "fragile"}
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
RESULT_SIZES_ROWS = (0, 3, 40, 300, 900)  # of one page to several
RETRY_WINDOW_S, RETRY_FLOOR, RETRY_RATIO = 5.0, 20.0, 0.5


@dataclass(slots=True)
class SoakResult:
    """What a run found; ``answers`` counts the queries by answer."""

    seed: int
    violations: list[Violation]
    answers: dict[str, int]
    attempts: int
    max_lag_s: float

    @property
    def was_late(self) -> bool:
        """Whether the run's own loop was too late to judge by."""
        return self.max_lag_s > MAX_LAG_S


@dataclass(slots=True)
class _FrontState:
    """What the clients of a front know of it."""

    accepts_connections: bool = True
    kills: list[float] = field(default_factory=list)


class SoakRun:
    """Plays one plan in ``folder``."""

    def __init__(self, plan: SoakPlan, folder: Path, plant: str = "") -> None:
        self.plan = plan
        self.random = Random(plan.seed + 1)
        classes = tuple(
            class_settings(name, EFFECTS[name], deadline_s, plan.dedup_window_s)
            for name, deadline_s in plan.deadlines_s.items()
        )
        invariants = {
            "answer_slack_ns": 20_000_000,
            "drain_grace_ns": 10**9,
            "extra_free": RETRY_FLOOR,
            "repeat_ratio": RETRY_RATIO,
            "budget_span_ns": round(RETRY_WINDOW_S * 1e9),
        }
        self.site = LoopbackSite(
            folder,
            plan.fronts,
            plan.engines,
            classes,
            plan.seed,
            plan.sockets,
            proxied=True,
            environment={PLANT_VARIABLE: plant} if plant else {},
            invariants=invariants,
        )
        self.site.limits.retry_window_s = RETRY_WINDOW_S
        self.site.limits.retry_floor = RETRY_FLOOR
        self.site.limits.retry_ratio = RETRY_RATIO
        self.fronts = [_FrontState() for _ in range(plan.fronts)]
        self.busy_fronts: set[int] = set()  # that are ending or starting
        self.busy_engines: set[int] = set()  # that are draining, gone or starting
        self.violations: list[Violation] = []
        self.cuts: dict[str, list[tuple[float, float]]] = {}
        self.stops: dict[str, list[tuple[float, float]]] = {}
        self.max_lag_s = 0.0
        self.ends_at = 0.0
        self._kill_after_s = KILL_AFTER_DEADLINE_S + min(
            max(plan.deadlines_s.values()), MAX_COUNTED_DEADLINE_S
        )

    async def run(self) -> SoakResult:
        """Plays the plan and checks the records."""
        async with self.site:
            self.ends_at = time.monotonic() + self.plan.seconds
            lag_task = asyncio.create_task(self._measure_lag())
            faults = [asyncio.create_task(self._play(fault)) for fault in self.plan.faults]
            clients = [asyncio.create_task(self._ask(number)) for number in range(self.plan.clients)]
            crowd = asyncio.create_task(self._crowd())
            await asyncio.gather(*clients, *faults)
            crowd.cancel()
            await self._end_fronts()
            lag_task.cancel()
            await asyncio.gather(crowd, lag_task, return_exceptions=True)
            await asyncio.sleep(0)
            return self._judge()

    def _judge(self) -> SoakResult:
        attempts = [attempt for engine in self.site.engines for attempt in engine.attempts]
        kills = {
            process.name: state.kills for process, state in zip(self.site.fronts, self.fronts, strict=True)
        }
        records = RunRecords(
            self.site.queries, attempts, self.site.limits, self.site.unavailable, kills, self.cuts, self.stops
        )
        answers = Counter(query.answer or "none" for query in self.site.queries)
        violations = self.violations + check_records(records)
        return SoakResult(self.plan.seed, violations, dict(answers), len(attempts), self.max_lag_s)

    async def _measure_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - before - LAG_INTERVAL_S)

    # Clients

    async def _ask(self, number: int) -> None:
        """One client: asks on a connection until it is lost, then on another."""
        random = Random(self.plan.seed * 1000 + number)
        index = number % self.plan.fronts
        while time.monotonic() < self.ends_at:
            state, process = self.fronts[index], self.site.fronts[index]
            session = SqlSession(process.name, process.port)
            try:
                if not state.accepts_connections:
                    raise SessionLostError("the front ends")
                await asyncio.wait_for(session.connect(), 2.0)
            except (SessionLostError, TimeoutError):
                await asyncio.sleep(RETRY_CONNECT_S)
                continue
            await self._use_session(session, random)
            session.close()

    async def _use_session(self, session: SqlSession, random: Random) -> None:
        while time.monotonic() < self.ends_at:
            record = await self._query(session, random)
            if record.answered_at is None or record.left_at is not None:
                return
            rests = random.random() < 0.03
            await asyncio.sleep(random.uniform(*REST_RANGE_S) if rests else random.uniform(0.0, 0.2))
            if rests and random.random() < 0.5:
                return

    async def _query(self, session: SqlSession, random: Random) -> QueryRecord:
        class_name = random.choice(sorted(self.plan.deadlines_s))
        wait_s = self.plan.deadlines_s[class_name] * random.uniform(0.5, 1.0)
        work_s = wait_s * random.choice((0.02, 0.02, 0.1, 0.4, 0.8, 2.0))
        query_id = self.site.ids.next()
        rows = random.choice(RESULT_SIZES_ROWS)
        statement = b"SELECT work_%d, rows_%d FROM s_%d.t" % (
            round(work_s * 1000), rows, random.randrange(20)
        )  # fmt: skip
        query = asyncio.create_task(
            session.query(query_id, class_name, statement, wait_s, token=query_id * 2)
        )
        if random.random() < 0.1:
            await self._leave(session, query, random.uniform(0.0, wait_s), random.random() < 0.5)
        record = await query
        self.site.queries.append(record)
        return record

    async def _leave(
        self, session: SqlSession, query: asyncio.Task[QueryRecord], after_s: float, kills: bool
    ) -> None:
        """Closes the connection or cancels the query, unless it is answered before."""
        await asyncio.wait([query], timeout=after_s)
        if query.done():
            return
        if kills:
            killer = SqlSession(session.front, session.port)
            with contextlib.suppress(SessionLostError, TimeoutError):
                await asyncio.wait_for(killer.connect(), 1.0)
                killer.send(b"KILL QUERY %d" % session.connection_id)
                session.left_at = time.monotonic()
                await asyncio.sleep(0.5)
                killer.close()
                session.close()
                return
        session.left_at = time.monotonic()
        session.close()

    async def _crowd(self) -> None:
        """Opens idle connections to all fronts and keeps them."""
        await asyncio.sleep(self.plan.crowd_at_s)
        writers = []
        try:
            for number in range(self.plan.crowd):
                process = self.site.fronts[number % self.plan.fronts]
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", process.port)
                    writers.append(writer)
            await asyncio.sleep(self.plan.seconds)
        finally:
            for writer in writers:
                writer.close()

    # Faults

    async def _play(self, fault: Fault) -> None:
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
        if fault.target in self.busy_engines:
            return
        self.busy_engines.add(fault.target)
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
        self.busy_engines.discard(fault.target)

    def _end_engine(self, engine: EmulatedEngine) -> None:
        engine.die()
        proxy = self.site.proxies[engine.name]
        proxy.close_listener()
        proxy.reset_connections()

    async def _reset(self, fault: Fault) -> None:
        self.site.proxies[self.site.engines[fault.target].name].reset_connections()

    async def _terminate(self, fault: Fault) -> None:
        """SIGTERM, once or in a series, and SIGKILL at the earliest moment; then a new start."""
        if fault.target in self.busy_fronts:
            return
        self.busy_fronts.add(fault.target)
        process, state = self.site.fronts[fault.target], self.fronts[fault.target]
        terminated_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if fault.span_s > 1.0:
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1):
                await asyncio.sleep(0.05)
                process.send_signal(number)
        await asyncio.sleep(max(0.0, terminated_at + LAST_CONNECTION_AFTER_TERM_S - time.monotonic()))
        state.accepts_connections = False
        status = await process.wait_for_exit(terminated_at + self._kill_after_s - time.monotonic())
        if status is None:
            process.kill()
        elif status != 0:
            self._report_crash(process, f"exit status {status} after SIGTERM")
        await self._restart(process, state)
        self.busy_fronts.discard(fault.target)

    async def _kill(self, fault: Fault) -> None:
        if fault.target in self.busy_fronts:
            return
        self.busy_fronts.add(fault.target)
        process, state = self.site.fronts[fault.target], self.fronts[fault.target]
        self._check_running(process)
        state.kills.append(time.monotonic())
        process.kill()
        state.accepts_connections = False
        await asyncio.sleep(fault.span_s)
        await self._restart(process, state)
        self.busy_fronts.discard(fault.target)

    async def _restart(self, process: FrontProcess, state: _FrontState) -> None:
        process.configuration["known"] = self.site.known_list()
        process.start()
        try:
            await process.wait_until_serving()
        except FrontStartError as error:
            self._report_crash(process, str(error))
        else:
            state.accepts_connections = True

    async def _send_signals(self, fault: Fault) -> None:
        number = signal.SIGHUP if fault.kind == "reload" else signal.SIGUSR1
        if fault.target not in self.busy_fronts:
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
        if fault.target in self.busy_fronts:
            return
        self.busy_fronts.add(fault.target)
        process = self.site.fronts[fault.target]
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.span_s)
        process.send_signal(signal.SIGCONT)
        self.stops.setdefault(process.name, []).append((stopped_at, time.monotonic()))
        self.busy_fronts.discard(fault.target)

    async def _send_long_texts(self, fault: Fault) -> None:
        """Clients send statements of up to 60,000 bytes, cut off anywhere, one after another."""
        random = Random(f"{self.plan.seed} {fault.at_s}")
        process, state = self.site.fronts[fault.target], self.fronts[fault.target]
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

    # The end

    async def _end_fronts(self) -> None:
        for process in self.site.fronts:
            self._check_running(process)
            process.send_signal(signal.SIGTERM)
        for process in self.site.fronts:
            status = await process.wait_for_exit(self._kill_after_s)
            if status != 0:
                self._report_crash(process, f"exit status {status} at the end")
            if errors := process.error_path.read_text():
                self._report_crash(process, errors[-500:])

    def _check_running(self, process: FrontProcess) -> None:
        if process.process is not None and (status := process.process.poll()) is not None:
            self._report_crash(process, f"ended by itself with {status}")

    def _report_crash(self, process: FrontProcess, text: str) -> None:
        self.violations.append(Violation("crash", "", f"{process.name}: {text}"))


def run_plan(plan: SoakPlan, folder: Path, plant: str = "") -> SoakResult:
    """Plays a plan in an event loop of its own."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(SoakRun(plan, folder, plant).run())
