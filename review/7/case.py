"""Pages whose stated length is too short, written in two pieces: are results served with all their rows?"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from lab_2.case import TROUBLE, Site, run
from lab_2.client import Query
from lab_2.engine import Answer, Engine, result_rows
from lab_2.front import query_class, settings
from lab_2.records import Record

SPOILT_SHARE = 0.2  # of the good answers
PAUSE_S = 0.003  # between the two pieces of a page
CLIENTS = 5
QUERIES = 30  # of each client
WAIT_S = 6.0


class Pieces:
    """Writes each good page in two pieces of whole rows; some state the length of the first one only."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = Random(7)

    async def __call__(self, engine: Engine, answer: Answer, writer: asyncio.StreamWriter) -> Answer | None:
        ends = [place + 1 for place, byte in enumerate(answer.body) if byte == 0x0A]
        if not answer.status.startswith("200") or len(ends) < 2:
            return answer
        first = self.random.choice(ends[:-1])
        spoilt = TROUBLE and self.random.random() < SPOILT_SHARE
        length = first if spoilt else len(answer.body)
        if spoilt:
            self.record.note("spoilt", engine=engine.name, stated=length, bytes=len(answer.body))
        head = f"HTTP/1.1 {answer.status}\r\n{answer.headers}Content-Length: {length}\r\n\r\n"
        writer.write(head.encode() + answer.body[:first])
        await asyncio.sleep(PAUSE_S)
        writer.write(answer.body[first:])
        await writer.drain()
        return None


def check(record: Record, query: Query, count: int) -> None:
    """Rule 1: one whole answer; 'served' means all rows of the result, in order and unchanged."""
    if not query.answer:
        record.rule_broken(f"{query.query_id}: no answer")
    elif query.answer == "served" and query.rows != result_rows(query.query_id, count):
        record.rule_broken(f"{query.query_id}: served with {len(query.rows)} of {count} rows")


async def play(record: Record) -> None:
    """Five clients, 150 queries, three engines, one front."""
    async with Site(record, settings([query_class("lookup")])) as site:
        pieces = Pieces(record)
        for engine in site.engines:
            engine.change = pieces

        async def client(number: int) -> None:
            random = Random(number)
            session = site.fronts[0].session()
            await session.connect()
            for _ in range(QUERIES):
                count = random.choice((3, 40, 300))
                statement = f"SELECT work_20, rows_{count} FROM sales_{random.randrange(9)}.orders"
                check(record, await session.query("lookup", statement, WAIT_S), count)
            session.close()

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))


run(play, Path(__file__).parent)
