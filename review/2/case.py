"""Case 2: one statement that can't be read to its end stops the front, and so every other client's answer."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import site as sites
from standins.client import Asked, Session, command, new_id

TROUBLE, FOLDER = sys.argv[1] != "0", Path(sys.argv[2])
CLIENTS = 6
SECONDS = 12.0
WAIT_S = 5.0  # 80 to 100% of the 6 s after which a lookup is given up
LATE_S = 0.5  # later than this after its time, or never: lost
SLACK_S = 0.05
# A string with escaped quotes that is cut off: 60,000 bytes, one packet.
CUT_OFF = b"INSERT INTO staging.notes VALUES ('" + b"\\'" * 30_000 + b"\\"


async def usual_client(site: sites.Site, number: int, ends_at: float) -> list[Asked]:
    """Asks for a lookup of 100 ms every half second, on one connection."""
    session = Session(site.fronts[0].port)
    await session.connect()
    answers = []
    await asyncio.sleep(number * 0.5 / CLIENTS)
    while time.monotonic() < ends_at:
        query_id = new_id(site.random)
        site.record("client_sends", client=number, id=query_id, wait=WAIT_S)
        statement = b"SELECT work_100, rows_5 FROM sales_%d.orders" % number
        asked = await session.ask(query_id, WAIT_S, statement, WAIT_S + LATE_S + SLACK_S)
        site.record("client_reads", client=number, id=query_id, answer=asked.answer or "nothing")
        answers.append(asked)
        if not asked.answer:
            break  # its time is over
        await asyncio.sleep(0.5)
    session.close()
    return answers


async def bad_client(site: sites.Site) -> None:
    """Sends one statement that can't be read, and reads what it is sent."""
    await asyncio.sleep(3)
    session = Session(site.fronts[0].port)
    await session.connect()
    query_id = new_id(site.random)
    began_at = time.monotonic()
    site.record("bad_client_sends", id=query_id, bytes=len(CUT_OFF))
    session.send(command(query_id, WAIT_S, CUT_OFF))
    asked = Asked(query_id, began_at, WAIT_S)
    await session.read_answer(asked, 80)
    site.record("bad_client_reads", answer=asked.answer or "nothing", after=time.monotonic() - began_at)


async def run(site: sites.Site) -> int:
    async with site:
        ends_at = time.monotonic() + SECONDS
        work = [usual_client(site, number, ends_at) for number in range(CLIENTS)]
        bad = asyncio.ensure_future(bad_client(site)) if TROUBLE else None
        answers = [asked for client in await asyncio.gather(*work) for asked in client]
        if bad is not None:
            await bad
    lost = [asked for asked in answers if not asked.answer or asked.late_s > LATE_S + SLACK_S]
    served = sum(asked.answer == "served" for asked in answers)
    site.record("verdict", requests=len(answers), served=served, lost=len(lost))
    for asked in lost:
        site.record("lost", id=asked.query_id, answer=asked.answer or "nothing")
    return sites.BROKEN if lost else sites.HELD if served == len(answers) > 50 else sites.NOT_RUN


sys.exit(sites.run_case(FOLDER, run, fronts=1, engines=3))
