"""A discovery that answers each call 3 s late: does work go to an engine that has long begun to drain?"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from lab_2.case import TROUBLE, Site, run
from lab_2.channel import member
from lab_2.front import query_class, settings
from lab_2.records import Record

ANSWER_AFTER_S = 3.0  # the head of discovery's answer, from the call
TOLD_AFTER_S = 7.0  # an event counts as told then at the latest
GRACE_S = 1.0 + 0.05  # of the settings, and what the protocol adds
WAY_S = 0.1  # from the first byte of a call to its last, and to the engine's reading
ENDS_AFTER_S = 11.0  # the draining engine's process, from the event
PLAYED_S = 13.0
GROUPS = 18


async def play(record: Record) -> None:
    """Eighteen clients of one front, three engines; one of them begins to drain, and ends 11 s later."""
    classes = [query_class("lookup"), query_class("import", "fragile")]
    async with Site(record, settings(classes), slow_channel_s=ANSWER_AFTER_S if TROUBLE else 0.0) as site:
        await asyncio.sleep(1.0)
        drained = site.engines[0]
        failed: set[str] = set()
        told_at = site.channel.publish(member(drained.name, site.address(drained), "Terminating"))

        async def client(group: int) -> None:
            session = site.fronts[0].session()
            await session.connect()
            while time.time() < told_at + PLAYED_S:
                name, work_ms = ("import", 1000) if group % 2 else ("lookup", 100)
                query = await session.query(name, f"SELECT work_{work_ms} FROM sales_{group}.orders", 6.0)
                if query.answer == "failed":
                    failed.add(query.query_id)
                await asyncio.sleep(0.05)
            session.close()

        clients = [asyncio.create_task(client(group)) for group in range(GROUPS)]
        await asyncio.sleep(told_at + ENDS_AFTER_S - time.time())
        record.note("ends_as_drained", engine=drained.name)
        drained.die()
        await asyncio.gather(*clients)
        limit = told_at + TOLD_AFTER_S + GRACE_S + WAY_S
        late = [attempt for attempt in drained.attempts if attempt.began_at > limit]
        if late:
            lost = sum(attempt.query_id in failed for attempt in late)
            record.rule_broken(
                f"{len(late)} queries began at {drained.name} over {limit - told_at:.2f} s after its drain "
                f"was told, the last {late[-1].began_at - told_at:.2f} s after; {lost} of them failed with it"
            )


run(play, Path(__file__).parent)
