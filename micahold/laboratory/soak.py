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
from dataclasses import dataclass
from pathlib import Path
from random import Random

from micahold.laboratory.loopback_site import LoopbackSite, class_settings
from micahold.laboratory.planted_faults import PLANT_VARIABLE
from micahold.laboratory.record_checker import RunRecords, Violation, check_records
from micahold.laboratory.soak_faults import FaultPlayer
from micahold.laboratory.soak_plan import SoakPlan
from micahold.laboratory.sql_client import QueryRecord, SessionLostError, SqlSession

LAG_INTERVAL_S = 0.02
# A run whose own loop was later than this proves nothing, since its records are late as well.
MAX_LAG_S = 0.08
RETRY_CONNECT_S = 0.05
REST_RANGE_S = (4.0, 5.5)
EFFECTS = {"lookup": "retryable", "load": "dedup", "job": "fragile"}
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
        self.faults = FaultPlayer(plan, self.site)
        self.max_lag_s = 0.0
        self.ends_at = 0.0

    async def run(self) -> SoakResult:
        """Plays the plan and checks the records."""
        async with self.site:
            self.ends_at = time.monotonic() + self.plan.seconds
            lag_task = asyncio.create_task(self._measure_lag())
            faults = [asyncio.create_task(self.faults.play(fault)) for fault in self.plan.faults]
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
        faults = self.faults
        kills = {
            process.name: state.kills
            for process, state in zip(self.site.fronts, faults.front_states, strict=True)
        }
        records = RunRecords(
            self.site.queries,
            attempts,
            self.site.limits,
            self.site.unavailable,
            kills,
            faults.cuts,
            faults.stops,
        )
        answers = Counter(query.answer or "none" for query in self.site.queries)
        violations = self.faults.crashes + check_records(records)
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
            state, process = self.faults.front_states[index], self.site.fronts[index]
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

    # The end

    async def _end_fronts(self) -> None:
        for process in self.site.fronts:
            self.faults.check_running(process)
            process.send_signal(signal.SIGTERM)
        for process in self.site.fronts:
            status = await process.wait_for_exit(self.faults.kill_after_s)
            if status != 0:
                self.faults.report_crash(process, f"exit status {status} at the end")
            if errors := process.error_path.read_text():
                self.faults.report_crash(process, errors[-500:])


def run_plan(plan: SoakPlan, folder: Path, plant: str = "") -> SoakResult:
    """Plays a plan in an event loop of its own."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(SoakRun(plan, folder, plant).run())
