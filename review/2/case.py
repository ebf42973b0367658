"""Case 2: rows of one client's query are served to another client, when engines send answers twice."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from standins import site as sites
from standins.client import Asked, Session, new_id
from standins.engine import Answer, result_rows

TROUBLE, FOLDER = sys.argv[1] != "0", Path(sys.argv[2])
CLIENTS = 24
SECONDS = 50.0
PERIOD_S = 0.25  # 96 requests a second, of the 110 that a front gets
WORK_MS = 100
ROWS = 300  # about 8,500 bytes: two pages of up to 6,000
WAIT_S = 5.5  # 80 to 100% of the 6 s after which a lookup is given up
SPOILT_SHARE = 0.15  # of the good answers and pages
LATE_MS = (2, 10)  # a second copy comes directly behind, or some milliseconds late


def send_twice(random: Random) -> Callable[[Answer], None]:
    """Some good answers and pages are followed by a second copy."""

    def spoil(answer: Answer) -> None:
        if answer.kind == "other" or random.random() >= SPOILT_SHARE:
            return
        if random.random() < 0.5:
            answer.body += answer.head + b"\r\n\r\n" + answer.body
        else:
            answer.late_copy_s = random.uniform(*LATE_MS) / 1000

    return spoil


async def client(site: sites.Site, number: int, ends_at: float) -> list[Asked]:
    """Asks for a lookup at each turn, on one connection; the clients of a portal refresh at the same time."""
    random = Random(number)
    session = Session(site.fronts[0].port)
    await session.connect()
    answers = []
    turn_at = time.monotonic()
    while time.monotonic() < ends_at:
        turn_at += PERIOD_S
        await asyncio.sleep(turn_at - time.monotonic())
        query_id = new_id(random)
        group = random.randrange(6)
        site.record("client_sends", client=number, id=query_id, wait=WAIT_S)
        statement = b"SELECT work_%d, rows_%d FROM sales_%d.orders" % (WORK_MS, ROWS, group)
        asked = await session.ask(query_id, WAIT_S, statement, WAIT_S + 2)
        site.record("client_reads", client=number, id=query_id, answer=asked.answer, rows=len(asked.rows))
        answers.append(asked)
        if asked.answer in ("", "closed"):
            break
    session.close()
    return answers


async def run(site: sites.Site) -> int:
    if TROUBLE:
        for number, engine in enumerate(site.engines):
            engine.spoil = send_twice(Random(100 + number))
    async with site:
        ends_at = time.monotonic() + SECONDS
        work = [client(site, number, ends_at) for number in range(CLIENTS)]
        answers = [asked for one in await asyncio.gather(*work) for asked in one]
    served = [asked for asked in answers if asked.answer == "served"]
    wrong = [asked for asked in served if asked.rows != result_rows(asked.query_id, ROWS)]
    site.record("verdict", requests=len(answers), served=len(served), served_wrong=len(wrong))
    for asked in wrong:
        others = sorted({row[0].decode() for row in asked.rows} - {asked.query_id})
        site.record("served_wrong", id=asked.query_id, rows=len(asked.rows), rows_of=",".join(others))
    return sites.BROKEN if wrong else sites.HELD if len(served) > 500 else sites.NOT_RUN


sys.exit(sites.run_case(FOLDER, run, fronts=1, engines=3))
