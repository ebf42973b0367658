"""No attempt begins after its client has left: real fronts, and a network that holds what it carries."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from micahold.laboratory.loopback_site import LoopbackSite
from micahold.laboratory.sql_client import SqlSession

WAIT_S = 4.0
# The POST waits on an open connection when its client leaves, and the network carries again while it would
# still wait there for a response.
LEAVES_AFTER_S = 0.15
CARRIES_AFTER_S = 0.25


async def leave_with_post_undelivered(folder: Path, cancels: bool) -> None:
    async with LoopbackSite(folder, engines=1, proxied=True, cancel=cancels) as site:
        (engine,) = site.engines
        await site.query("lookup", 0.01, WAIT_S)  # opens the connection that the POST will use
        await asyncio.sleep(0.05)
        site.proxies[engine.name].faults.cut = True
        session = SqlSession(site.fronts[0].name, site.fronts[0].port)
        await session.connect()
        query_id = site.ids.next()
        query = asyncio.create_task(session.query(query_id, "lookup", b"SELECT work_100 FROM s_3.t", WAIT_S))
        await asyncio.sleep(LEAVES_AFTER_S)
        session.left_at = time.monotonic()
        session.close()
        await asyncio.sleep(CARRIES_AFTER_S)
        site.proxies[engine.name].faults.cut = False
        await asyncio.sleep(0.5)
        site.queries.append(await query)
        assert len(engine.attempts) >= 1  # the first query's
        assert [violation.text for violation in site.violations() if violation.rule == "lost"] == []


@pytest.mark.parametrize("cancels", [True, False])
def test_post_on_its_way_does_not_begin_after_its_client_has_left(tmp_path: Path, cancels: bool) -> None:
    """Guards against a POST that a cut network holds and that is carried out later, for nobody."""
    asyncio.run(leave_with_post_undelivered(tmp_path, cancels))
