"""Case 3: requests that a client sent at once are left without an answer, after one before them took long."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import site as sites
from standins.client import Asked, Session, command, new_id

TROUBLE, FOLDER = sys.argv[1] != "0", Path(sys.argv[2])
COMMANDS = 12  # that each client sends
CLIENTS = 3
COSTLY = 4  # one lookup among them takes longer than the client waits
WAIT_S = 5.0  # 80 to 100% of the 6 s after which a lookup is given up
LATE_S = 0.5  # later than this after its time, or never: lost
SLACK_S = 0.05


async def ask_all(site: sites.Site, number: int) -> list[Asked]:
    """Sends its lookups at once on one connection; without the disruption, each on its own connection."""
    sessions = [Session(site.fronts[0].port) for _ in range(1 if TROUBLE else COMMANDS)]
    for session in sessions:
        await session.connect()
    requests = []
    packets = []
    for index in range(COMMANDS):
        work_ms = 8000 if index == COSTLY else 100
        statement = b"SELECT work_%d, rows_5 FROM sales_%d.orders" % (work_ms, number)
        requests.append(Asked(new_id(site.random), time.monotonic(), WAIT_S))
        packets.append(command(requests[-1].query_id, WAIT_S, statement))
        site.record("client_sends", client=number, id=requests[-1].query_id, wait=WAIT_S, work_ms=work_ms)
    limit_s = WAIT_S + LATE_S + SLACK_S
    if TROUBLE:
        sessions[0].send(b"".join(packets))
        for asked in requests:
            await sessions[0].read_answer(asked, limit_s)
    else:
        for session, data in zip(sessions, packets, strict=True):
            session.send(data)
        reads = zip(sessions, requests, strict=True)
        await asyncio.gather(*(session.read_answer(asked, limit_s) for session, asked in reads))
    for asked in requests:
        answer = f"{asked.answer or 'nothing'} {asked.text}".strip().replace(" ", "_")
        site.record(
            "client_reads", client=number, id=asked.query_id, answer=answer, late=f"{asked.late_s:.3f}"
        )
    for session in sessions:
        session.close()
    return requests


async def run(site: sites.Site) -> int:
    async with site:
        requests = [
            asked
            for one in await asyncio.gather(*(ask_all(site, number) for number in range(CLIENTS)))
            for asked in one
        ]
    lost = [asked for asked in requests if asked.answer in ("", "closed") or asked.late_s > LATE_S + SLACK_S]
    served = sum(asked.answer == "served" for asked in requests)
    site.record("verdict", requests=len(requests), served=served, lost=len(lost))
    for asked in lost:
        site.record("lost", id=asked.query_id, answer=asked.answer or "nothing")
    return sites.BROKEN if lost else sites.HELD if served > CLIENTS else sites.NOT_RUN


sys.exit(sites.run_case(FOLDER, run, fronts=1, engines=3))
