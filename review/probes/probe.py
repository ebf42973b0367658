"""Probes of the review: small runs that the report names and that are no cases. They print and do not judge.

Run with PYTHONPATH=review and the name of one: pipeline, stall, drain or lengths.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

from standins import site as sites
from standins.channel import member
from standins.client import Asked, Session, command, new_id
from standins.engine import Answer, result_rows


async def pipeline(site: sites.Site) -> None:
    """Ten good requests written at once on one connection; the first takes longer than its client waits."""
    session = Session(site.fronts[0].port)
    await session.connect()
    requests = []
    packets = []
    for class_name, wait_s, work_ms in (
        [("lookup", 5, 8000)] + 3 * [("lookup", 5, 100)] + 6 * [("report", 13, 300)]
    ):
        requests.append(Asked(new_id(site.random), time.monotonic(), wait_s))
        statement = b"SELECT work_%d, rows_5 FROM sales_1.orders" % work_ms
        packets.append(command(requests[-1].query_id, wait_s, statement, class_name))
    session.send(b"".join(packets))
    for asked in requests:
        await session.read_answer(asked, asked.wait_s + 0.55)
        after_s = asked.answered_at - asked.sent_at
        print(f"wait {asked.wait_s} s: {asked.answer} {asked.text} after {after_s:.3f} s")


async def stall(site: sites.Site) -> None:
    """A request arrives while the front stands still for 1.8 s; it takes longer than its client waits."""
    session = Session(site.fronts[0].port)
    await session.connect()
    print((await session.ask(new_id(site.random), 4, b"SELECT work_200, rows_5 FROM sales_1.t", 8)).answer)
    site.fronts[0].signal(signal.SIGSTOP)
    await asyncio.sleep(0.05)
    statement = b"SELECT work_20000, rows_5 FROM sales_1.t"
    task = asyncio.ensure_future(session.ask(new_id(site.random), 3.5, statement, 8))
    await asyncio.sleep(1.75)
    site.fronts[0].signal(signal.SIGCONT)
    asked = await task
    print(f"{asked.answer} {asked.text}: {asked.late_s:.3f} s after the client's time")


async def drain(site: sites.Site) -> None:
    """30 requests, then a drain, arrive while the front stands still; it goes on 1.4 s after the drain."""
    sessions = [Session(site.fronts[0].port) for _ in range(30)]
    for session in sessions:
        await session.connect()

    def ask_all() -> list[asyncio.Future[Asked]]:
        return [
            asyncio.ensure_future(
                session.ask(new_id(site.random), 4, b"SELECT work_50, rows_5 FROM sales_%d.t" % number, 8)
            )
            for number, session in enumerate(sessions)
        ]

    for _ in range(3):
        await asyncio.gather(*ask_all())
    site.fronts[0].signal(signal.SIGSTOP)
    asked = ask_all()
    await asyncio.sleep(0.5)
    engine = site.engines[0]
    site.channel.publish(member(engine.name, engine.port, "Terminating"))
    told_at = time.monotonic()
    await asyncio.sleep(1.4)
    site.fronts[0].signal(signal.SIGCONT)
    await asyncio.gather(*asked)
    print("sent to the draining engine, s after it was told:")
    print([round(run.began_at - told_at, 3) for run in engine.runs if run.began_at > told_at])


async def lengths(site: sites.Site) -> None:
    """A tenth of the good answers and pages state too short a length; the rest of the body follows."""
    random = Random(3)

    def spoil(answer: Answer) -> None:
        if answer.kind != "other" and random.random() < 0.1:
            length = random.randrange(1, len(answer.body))
            answer.head = answer.head.rpartition(b": ")[0] + b": %d" % length

    for engine in site.engines:
        engine.spoil = spoil
        engine.page_bytes = 200
    answers: list[Asked] = []

    async def client(number: int) -> None:
        own = Random(number)
        session = Session(site.fronts[0].port)
        await session.connect()
        while time.monotonic() < ends_at:
            statement = b"SELECT work_%d, rows_10 FROM sales_%d.t" % (
                own.choice((100, 200, 300)),
                own.randrange(4),
            )
            answers.append(await session.ask(new_id(own), 5.5, statement, 8))

    ends_at = time.monotonic() + 20
    await asyncio.gather(*(client(number) for number in range(24)))
    served = [asked for asked in answers if asked.answer == "served"]
    wrong = [asked for asked in served if asked.rows != result_rows(asked.query_id, 10)]
    print(f"{len(served)} served, {len(wrong)} wrong; by the number of rows, of 10 each:")
    print(Counter(len(asked.rows) for asked in wrong))


async def run(name: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with sites.Site(Path(folder), fronts=1, engines=3) as site:
            await {"pipeline": pipeline, "stall": stall, "drain": drain, "lengths": lengths}[name](site)


asyncio.run(run(sys.argv[1]))
