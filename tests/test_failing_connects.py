"""The front lacks what a connection takes: it waits, and blames no engine."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from micahold.laboratory.loopback_site import LoopbackSite
from tests.failing_calls import CONNECT_ERRORS, FAILURE_S, MAX_CPU_SHARE, cpu_seconds, run_for_each


@pytest.mark.parametrize("call", ["connect", "socket"])
def test_what_the_front_lacks_is_no_failure_of_an_engine(tmp_path: Path, call: str) -> None:
    """New connections to all engines fail at the front: it waits, refuses nothing and quarantines nothing."""

    async def scenario(site: LoopbackSite, error: int) -> None:
        site.fronts[0].kill()
        site.fronts[0].start()
        await site.fronts[0].wait_until_serving()
        cpu_before = cpu_seconds(site)
        site.faults[0].fail(call, error)
        queries = [asyncio.create_task(site.query("lookup", work_s=0.05, wait_s=6.0)) for _ in range(5)]
        await asyncio.sleep(FAILURE_S)
        assert cpu_seconds(site) - cpu_before < MAX_CPU_SHARE * FAILURE_S
        site.faults[0].clear(call)
        records = await asyncio.gather(*queries)
        assert [record.answer for record in records] == ["served"] * len(records)
        assert all(len(site.attempts_of(record.query_id)) == 1 for record in records)
        outcomes = {event["outcome"] for event in site.fronts[0].events() if event["event"] == "attempt"}
        assert outcomes <= {"moot"}

    run_for_each(tmp_path, CONNECT_ERRORS, scenario)


@pytest.mark.parametrize("call", ["connect", "socket"])
def test_single_failure_to_connect_ends_no_query(tmp_path: Path, call: str) -> None:
    async def scenario(site: LoopbackSite, error: int) -> None:
        for _ in range(3):
            site.faults[0].fail(call, error, times=1)
            assert (await site.query("load", work_s=0.3, wait_s=4.0)).answer == "served"

    run_for_each(tmp_path, CONNECT_ERRORS, scenario)
