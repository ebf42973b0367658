"""Writes of the log fail: no answer is lost, and the lines come later."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

from micahold.laboratory.loopback_site import LoopbackSite
from micahold.laboratory.system_faults import SHORT
from tests.failing_calls import MAX_CPU_SHARE, cpu_seconds, run_for_each


def test_failing_log_writes_lose_no_answer(tmp_path: Path) -> None:
    async def scenario(site: LoopbackSite, error: int) -> None:
        site.faults[0].fail("write", error)
        cpu_before = cpu_seconds(site)
        records = [await site.query("lookup", work_s=0.05, wait_s=4.0) for _ in range(5)]
        await asyncio.sleep(0.5)
        assert cpu_seconds(site) - cpu_before < MAX_CPU_SHARE
        site.faults[0].clear("write")
        assert [record.answer for record in records] == ["served"] * len(records)
        await asyncio.sleep(0.3)
        logged = {event.get("id") for event in site.fronts[0].events()}
        assert {record.query_id for record in records} <= logged

    run_for_each(tmp_path, (errno.ENOSPC, errno.EIO, errno.EINTR, SHORT), scenario)
