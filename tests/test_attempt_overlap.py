"""No attempt of a query begins while the one before it still runs: real fronts between emulated engines.

Each scenario cuts the front off from an engine that goes on running the query. The rules are checked from
the records of clients and engines alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from micahold.laboratory.emulated_engine import EmulatedEngine
from micahold.laboratory.loopback_site import LoopbackSite

WORK_S = 3.5
WAIT_S = 7.5

Cut = Callable[[LoopbackSite, EmulatedEngine, str], Awaitable[None]]


async def drop_responses_to_the_post(site: LoopbackSite, engine: EmulatedEngine, query_id: str) -> None:
    engine.faults.drop_responses = True


async def drop_responses_to_polls(site: LoopbackSite, engine: EmulatedEngine, query_id: str) -> None:
    await asyncio.sleep(0.6)
    engine.faults.drop_responses = True


async def list_as_gone(site: LoopbackSite, engine: EmulatedEngine, query_id: str) -> None:
    site.list_as(engine, "Terminating")
    await asyncio.sleep(0.8)
    site.list_as(engine, "Gone")


async def reset_while_draining(site: LoopbackSite, engine: EmulatedEngine, query_id: str) -> None:
    site.list_as(engine, "Terminating")
    engine.close_listener()
    await asyncio.sleep(0.3)
    engine.reset_connections(query_id)


async def reset_and_list_as_gone(site: LoopbackSite, engine: EmulatedEngine, query_id: str) -> None:
    await reset_while_draining(site, engine, query_id)
    site.list_as(engine, "Gone")


async def stop_reading(site: LoopbackSite, engine: EmulatedEngine, query_id: str) -> None:
    await asyncio.sleep(0.6)
    engine.faults.stop_reading = True


async def run_cut(folder: Path, class_name: str, cut: Cut) -> None:
    """Runs one query through the cut and checks all rules."""
    async with LoopbackSite(folder) as site:
        engine, query_id, task = await site.start_query(class_name, WORK_S, WAIT_S)
        await cut(site, engine, query_id)
        await task
        assert site.violations() == []


@pytest.mark.parametrize(
    "cut",
    [
        drop_responses_to_the_post,
        drop_responses_to_polls,
        list_as_gone,
        reset_while_draining,
        reset_and_list_as_gone,
        stop_reading,
    ],
)
def test_attempt_begins_only_after_the_one_before_is_over(tmp_path: Path, cut: Cut) -> None:
    asyncio.run(run_cut(tmp_path, "load", cut))


def test_attempt_beside_another_on_a_draining_engine_is_over_before_the_next(tmp_path: Path) -> None:
    """The connection of one query is reset, new ones are refused, and the other's is always in use."""

    async def scenario() -> None:
        async with LoopbackSite(tmp_path, engines=2) as site:
            first = await site.start_query("load", 8.0, WAIT_S)
            others = [await site.start_query("load", 7.0, WAIT_S) for _ in range(2)]
            engine, query_id, task = first
            await asyncio.sleep(0.6)
            await reset_while_draining(site, engine, query_id)
            await task
            await asyncio.gather(*(other[2] for other in others))
            assert site.violations() == []

    asyncio.run(scenario())
