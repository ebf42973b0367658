"""The wall clock is stepped while a real front works: limits are spans of real time, whatever it shows."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from micahold.laboratory.loopback_site import LoopbackSite

# The longest deadline of the settings counts as 3 s, and SIGKILL may come 0.7 s after that.
KILL_AFTER_S = 3.7
# By then a query has been seen by its engine and polled twice.
ATTEMPT_UNDER_WAY_S = 0.6
STEPS_S = (3600.0, -3600.0, 3.0, -3.0)


def run_at_every_step(folder: Path, scenario: Callable[[LoopbackSite, float], Awaitable[None]]) -> None:
    """Runs the scenario once for each step, side by side, each on a site of its own."""

    async def run_one(step_s: float) -> None:
        site_folder = folder / f"step{step_s:+.0f}"
        site_folder.mkdir()
        async with LoopbackSite(site_folder) as site:
            await scenario(site, step_s)
            assert site.violations() == [], f"step of {step_s} s"

    async def run_all() -> None:
        results = await asyncio.gather(*map(run_one, STEPS_S), return_exceptions=True)
        failures = [result for result in results if result is not None]
        assert failures == []

    asyncio.run(run_all())


def test_query_is_answered_in_time_when_the_clock_steps_during_its_attempt(tmp_path: Path) -> None:
    async def scenario(site: LoopbackSite, step_s: float) -> None:
        served = asyncio.create_task(site.query("lookup", work_s=1.5, wait_s=4.0))
        late = asyncio.create_task(site.query("lookup", work_s=9.0, wait_s=2.0))
        await asyncio.sleep(ATTEMPT_UNDER_WAY_S)
        site.faults[0].step_clock(step_s)
        assert (await served).answer == "served"
        record = await late
        assert record.answer in ("refused", "failed")
        assert record.answered_at is not None
        assert 1.5 < record.answered_at - record.sent_at < 2.1
        assert (await site.query("load", work_s=0.1, wait_s=2.0)).answer == "served"

    run_at_every_step(tmp_path, scenario)


def test_held_query_is_given_up_in_time_when_the_clock_steps(tmp_path: Path) -> None:
    """Every engine is full, so the query is held and tried again until its wait is over."""

    async def scenario(site: LoopbackSite, step_s: float) -> None:
        for engine in site.engines:
            engine.faults.full = True
        held = asyncio.create_task(site.query("lookup", work_s=0.1, wait_s=3.0))
        await asyncio.sleep(ATTEMPT_UNDER_WAY_S)
        site.faults[0].step_clock(step_s)
        record = await held
        assert record.answer == "refused"
        assert record.answered_at is not None
        assert record.answered_at - record.sent_at < 3.1

    run_at_every_step(tmp_path, scenario)


def test_lease_of_a_lost_engine_is_waited_for_when_the_clock_steps(tmp_path: Path) -> None:
    async def scenario(site: LoopbackSite, step_s: float) -> None:
        engine, query_id, task = await site.start_query("load", work_s=3.2, wait_s=7.5)
        site.list_as(engine, "Terminating")
        engine.close_listener()
        await asyncio.sleep(ATTEMPT_UNDER_WAY_S)
        engine.reset_connections(query_id)
        await asyncio.sleep(0.3)
        site.faults[0].step_clock(step_s)
        assert (await task).answer == "served"

    run_at_every_step(tmp_path, scenario)


def test_shutdown_ends_in_time_when_the_clock_steps(tmp_path: Path) -> None:
    async def scenario(site: LoopbackSite, step_s: float) -> None:
        served = asyncio.create_task(site.query("lookup", work_s=1.2, wait_s=4.0))
        unserved = asyncio.create_task(site.query("lookup", work_s=9.0, wait_s=7.0))
        await asyncio.sleep(ATTEMPT_UNDER_WAY_S)
        site.fronts[0].send_signal(signal.SIGTERM)
        terminated_at = time.monotonic()
        await asyncio.sleep(0.2)
        site.faults[0].step_clock(step_s)
        assert await site.fronts[0].wait_for_exit(KILL_AFTER_S) == 0
        assert time.monotonic() - terminated_at < KILL_AFTER_S
        assert (await served).answer == "served"
        assert (await unserved).answer in ("refused", "failed")

    run_at_every_step(tmp_path, scenario)
