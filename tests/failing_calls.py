"""Runs a scenario on a real front for each error of a system call, with checks that hold for all of them.

The calls are replaced in the front's process (laboratory/preload).
"""

from __future__ import annotations

import asyncio
import errno
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from micahold.laboratory.loopback_site import LoopbackSite
from micahold.laboratory.system_faults import SHORT

FAILURE_S = 2.0
# A front that waits for a call to succeed again uses little of its core.
MAX_CPU_SHARE = 0.3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KILL_AFTER_S = 3.7

ACCEPT_ERRORS = (
    errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO,
    errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EINTR,
)  # fmt: skip
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM,
    errno.EINTR,
)  # fmt: skip
TRANSFER_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, SHORT)

Scenario = Callable[[LoopbackSite, int], Awaitable[None]]


def cpu_seconds(site: LoopbackSite) -> float:
    """The processor time that the front has used so far."""
    process = site.fronts[0].process
    assert process is not None
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def descriptors(site: LoopbackSite) -> int:
    """The number of descriptors that the front holds."""
    process = site.fronts[0].process
    assert process is not None
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def run_for_each(folder: Path, errors: tuple[int, ...], scenario: Scenario) -> None:
    """Runs the scenario once for each error, side by side, each on a site of its own."""

    async def run_one(error: int) -> None:
        name = errno.errorcode.get(error, "SHORT")
        site_folder = folder / name
        site_folder.mkdir()
        async with LoopbackSite(site_folder) as site:
            assert (await site.query("lookup", work_s=0.05, wait_s=4.0)).answer == "served"
            descriptors_before = descriptors(site)
            await scenario(site, error)
            assert (await site.query("lookup", work_s=0.05, wait_s=4.0)).answer == "served", name
            await asyncio.sleep(0.3)
            # Pooled connections to the engines come on top.
            assert descriptors(site) <= descriptors_before + 2 * len(site.engines), name
            assert site.violations() == [], name
            site.fronts[0].send_signal(signal.SIGTERM)
            assert await site.fronts[0].wait_for_exit(KILL_AFTER_S) == 0, name
            assert site.fronts[0].error_path.read_text() == "", name

    async def run_all() -> None:
        results: list[Any] = await asyncio.gather(*map(run_one, errors), return_exceptions=True)
        failures = {
            errno.errorcode.get(error, "SHORT"): result
            for error, result in zip(errors, results, strict=True)
            if result is not None
        }
        assert not failures, failures

    asyncio.run(run_all())


async def use_while_failing(site: LoopbackSite, call: str, error: int) -> None:
    """Has queries open and new ones come while the call fails; all are served, and the front rests."""
    long_query = asyncio.create_task(site.query("load", work_s=1.0, wait_s=6.0))
    await asyncio.sleep(0.1)
    cpu_before = cpu_seconds(site)
    site.faults[0].fail(call, error)
    queries = [asyncio.create_task(site.query("lookup", work_s=0.05, wait_s=6.0)) for _ in range(5)]
    await asyncio.sleep(FAILURE_S)
    cpu_used = cpu_seconds(site) - cpu_before
    site.faults[0].clear(call)
    records = await asyncio.gather(long_query, *queries)
    assert [record.answer for record in records] == ["served"] * len(records)
    assert cpu_used < MAX_CPU_SHARE * FAILURE_S, f"{cpu_used} s of processor time"
    assert not [event for event in site.fronts[0].events() if event["event"] == "error_caught"]
