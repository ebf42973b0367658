"""Case 3: rows stand twice in a served result, after one of its pages came spoilt and was asked for again."""

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
CLIENTS = 12
SECONDS = 20.0
ROWS = 300  # about 8,500 bytes: two pages of up to 6,000
WAIT_S = 5.5  # 80 to 100% of the 6 s after which a lookup is given up
SPOILT_SHARE = 0.05  # of the good answers and pages
NOISE = bytes(value for value in range(256) if value not in b"\t\n")


def put_noise(random: Random, site: sites.Site) -> Callable[[Answer], None]:
    """In some good answers and pages noise stands in place of a row: it has no columns, which can be told."""

    def spoil(answer: Answer) -> None:
        if answer.kind == "other" or random.random() >= SPOILT_SHARE:
            return
        lines = answer.body.split(b"\n")
        place = random.randrange(len(lines) - 1)
        lines[place] = bytes(random.choices(NOISE, k=len(lines[place])))
        answer.body = b"\n".join(lines)
        site.record("engine_spoils", id=answer.query_id, what=answer.kind, row=place)

    return spoil


async def client(site: sites.Site, number: int, ends_at: float) -> list[Asked]:
    """Asks one lookup after another on one connection."""
    random = Random(number)
    session = Session(site.fronts[0].port)
    await session.connect()
    answers = []
    while time.monotonic() < ends_at:
        query_id = new_id(random)
        site.record("client_sends", client=number, id=query_id, wait=WAIT_S)
        statement = b"SELECT work_100, rows_%d FROM sales_%d.orders" % (ROWS, random.randrange(6))
        asked = await session.ask(query_id, WAIT_S, statement, WAIT_S + 2)
        site.record("client_reads", client=number, id=query_id, answer=asked.answer, rows=len(asked.rows))
        answers.append(asked)
        if asked.answer in ("", "closed"):
            break
        await asyncio.sleep(random.uniform(0.1, 0.3))
    session.close()
    return answers


async def run(site: sites.Site) -> int:
    if TROUBLE:
        for number, engine in enumerate(site.engines):
            engine.spoil = put_noise(Random(100 + number), site)
    async with site:
        ends_at = time.monotonic() + SECONDS
        work = [client(site, number, ends_at) for number in range(CLIENTS)]
        answers = [asked for one in await asyncio.gather(*work) for asked in one]
    served = [asked for asked in answers if asked.answer == "served"]
    wrong = [asked for asked in served if asked.rows != result_rows(asked.query_id, ROWS)]
    site.record("verdict", requests=len(answers), served=len(served), served_wrong=len(wrong))
    for asked in wrong:
        twice = len(asked.rows) - len(set(asked.rows))
        site.record("served_wrong", id=asked.query_id, rows=len(asked.rows), of=ROWS, twice=twice)
    if wrong:
        return sites.BROKEN
    return sites.HELD if len(served) > 300 else sites.NOT_RUN


sys.exit(sites.run_case(FOLDER, run, fronts=1, engines=3))
