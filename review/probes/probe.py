"""Probes of the review: small runs that the report names and that are no cases. They print and do not judge.

Run with PYTHONPATH=review and the name of one: pages, pipeline, overlap, stall, leave, drain, lengths, fleet
or release.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

from standins import site as sites
from standins.channel import full_list, member
from standins.client import Asked, Session, command, new_id
from standins.engine import Answer, Engine, result_rows


async def pages(site: sites.Site) -> None:
    """15 in 100 good answers have a second copy, directly behind or 2 to 10 ms late; results of two pages."""
    random = Random(100)

    def spoil(answer: Answer) -> None:
        if answer.kind == "other" or random.random() >= 0.15:
            return
        if random.random() < 0.5:
            answer.body += answer.head + b"\r\n\r\n" + answer.body
        else:
            answer.late_copy_s = random.uniform(0.002, 0.01)

    for engine in site.engines:
        engine.spoil = spoil
    answers: list[Asked] = []

    async def client(number: int) -> None:
        own = Random(number)
        session = Session(site.fronts[0].port)
        await session.connect()
        turn_at = time.monotonic()
        while turn_at < ends_at:
            turn_at += 0.25
            await asyncio.sleep(turn_at - time.monotonic())
            statement = b"SELECT work_100, rows_300 FROM sales_%d.t" % own.randrange(6)
            answers.append(await session.ask(new_id(own), 5.5, statement, 8))

    ends_at = time.monotonic() + 50
    await asyncio.gather(*(client(number) for number in range(24)))
    served = [asked for asked in answers if asked.answer == "served"]
    wrong = [asked for asked in served if asked.rows != result_rows(asked.query_id, 300)]
    print(f"{len(served)} served, {len(wrong)} of them with rows of other queries")


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


async def overlap(site: sites.Site) -> None:
    """Two requests written at once, a third 2.5 s later behind them, before the first is answered."""
    session = Session(site.fronts[0].port)
    await session.connect()
    requests = []
    for wait_s, work_ms, pause_s in ((5.0, 2800, 0.0), (4.0, 9000, 2.5), (5.5, 100, 0.0)):
        asked = Asked(new_id(site.random), time.monotonic(), wait_s)
        requests.append(asked)
        session.send(command(asked.query_id, wait_s, b"SELECT work_%d, rows_5 FROM sales_1.t" % work_ms))
        await asyncio.sleep(pause_s)
    for asked in requests:
        await session.read_answer(asked, 20)
        print(f"wait {asked.wait_s} s: {asked.answer} {asked.text}, {asked.late_s:.3f} s after its time")


async def leave(site: sites.Site) -> None:
    """Clients ask while the front stands still for 1.8 s and close 0.6 s later, before it goes on."""
    sessions = [Session(site.fronts[0].port) for _ in range(6)]
    statement = b"SELECT work_500, rows_5 FROM sales_1.t"
    for session in sessions:
        await session.connect()
    for _ in range(3):
        await asyncio.gather(*(session.ask(new_id(site.random), 5, statement, 8) for session in sessions))
    site.fronts[0].signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    left_at = {}
    for session in sessions:
        query_id = new_id(site.random)
        left_at[query_id] = time.monotonic() + 0.6
        session.send(command(query_id, 4.0, statement))
    await asyncio.sleep(0.6)
    for session in sessions:
        session.close()
    await asyncio.sleep(1.0)
    site.fronts[0].signal(signal.SIGCONT)
    await asyncio.sleep(1.5)
    runs = [run for engine in site.engines for run in engine.runs if run.query_id in left_at]
    print(f"{len(runs)} attempts of {len(left_at)} requests; s after the client had gone:")
    print([round(run.began_at - left_at[run.query_id], 3) for run in runs])


ENGINES = 3200
GROUPS_PER_ENGINE = 2.3  # csepel-campus: 1.8 to 2.8
ZIPF = 0.68  # csepel-campus: 0.51 to 0.86


class Fleet:
    """A front among 3,200 engines (few processes play them all), and clients that ask it at a steady rate."""

    def __init__(self, site: sites.Site, folder: Path, rate: float, seconds: float) -> None:
        self.site = site
        self.folder = folder
        self.rate = rate
        self.seconds = seconds
        self.random = Random(5)
        self.members: list[dict[str, object]] = []
        self.answers: list[Asked] = []
        self.groups: set[int] = set()
        self.weights = [rank**-ZIPF for rank in range(1, round(ENGINES * GROUPS_PER_ENGINE) + 1)]
        self.cumulated = list(itertools.accumulate(self.weights))

    async def start(self) -> sites.Front:
        """Starts the engines, the channel and one front of 200."""
        engine = Engine("all", lambda *_, **__: None)
        for _ in range(ENGINES):
            server = await asyncio.start_server(engine._serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.members.append(member(f"s-{self.random.getrandbits(32):08x}", port))
        await self.site.channel.start()
        front = sites.Front(
            "n1",
            self.folder,
            {
                "seed": "12345678abcdef12",
                "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 576},
                "channel": f"127.0.0.1:{self.site.channel.port}",
                "known": full_list(self.members),
                "settings": {**sites.settings(200), "my_number": 3},
            },
        )
        front.start()
        self.site.fronts.append(front)
        await front.wait_until_ready()
        return front

    async def client(self, number: int, clients: int, began_at: float) -> None:
        """Asks at its turns, on one connection."""
        session = Session(self.site.fronts[0].port)
        await session.connect()
        turn_at = began_at + number / self.rate
        while turn_at - began_at < self.seconds:
            await asyncio.sleep(turn_at - time.monotonic())
            turn_at += clients / self.rate
            (group,) = self.random.choices(range(len(self.weights)), cum_weights=self.cumulated)
            self.groups.add(group)
            statement = b"SELECT work_50, rows_5 FROM sales_%d.t" % (group + 1)
            self.answers.append(await session.ask(new_id(self.random), 5.0, statement, 12))
            if self.answers[-1].answer in ("", "closed"):
                session.close()
                session = Session(self.site.fronts[0].port)
                await session.connect()


def private_mb(process_id: int) -> float:
    """The private memory of a process, in MB."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("RssAnon"))


async def play_fleet(rate: float, seconds: float, release_after_s: float = 0) -> None:
    """Asks at ``rate``; from ``release_after_s`` on, six in ten engines are replaced within 7 s."""
    with tempfile.TemporaryDirectory() as folder:
        site = sites.Site(Path(folder), fronts=0, engines=0)
        try:
            fleet = Fleet(site, Path(folder), rate, seconds)
            front = await fleet.start()
            began_at = time.monotonic()

            async def watch() -> None:
                for second in range(0, round(seconds), 5):
                    await asyncio.sleep(began_at + second - time.monotonic())
                    print(f"{second} s: {private_mb(front.process.pid):.0f} MB, {len(fleet.groups)} groups")

            async def release() -> None:
                await asyncio.sleep(release_after_s)
                count = round(ENGINES * 0.6)
                for number, entry in enumerate(fleet.members[:count]):
                    site.channel.publish({**entry, "phase": "Terminating"})
                    site.channel.publish({**entry, "phase": "Gone"})
                    started = round(time.time() * 1000)
                    site.channel.publish({**entry, "id": f"r-{number}", "up_since_ms": started})
                    due_at = began_at + release_after_s + 7 * number / count
                    await asyncio.sleep(due_at - time.monotonic())

            others = [watch(), release()] if release_after_s else [watch()]
            await asyncio.gather(*others, *(fleet.client(number, 20, began_at) for number in range(20)))
        finally:
            await site.__aexit__()
    print(Counter(asked.answer or "nothing" for asked in fleet.answers))
    late = [asked.late_s for asked in fleet.answers if asked.answer and asked.late_s > 0.5]
    print(f"answers more than 0.5 s after the client's time: {len(late)}")


async def fleet() -> None:
    """3,200 engines, 100 requests a second for 60 s, no fault."""
    await play_fleet(rate=100, seconds=60)


async def release() -> None:
    """3,200 engines, 60 requests a second; after 8 s six in ten engines are replaced, one event a change."""
    await play_fleet(rate=60, seconds=35, release_after_s=8)


async def run(name: str) -> None:
    if name in ("fleet", "release"):
        await {"fleet": fleet, "release": release}[name]()
        return
    probes = {
        "pages": pages,
        "pipeline": pipeline,
        "overlap": overlap,
        "stall": stall,
        "leave": leave,
        "drain": drain,
        "lengths": lengths,
    }
    with tempfile.TemporaryDirectory() as folder:
        async with sites.Site(Path(folder), fronts=1, engines=3) as site:
            await probes[name](site)


asyncio.run(run(sys.argv[1]))
