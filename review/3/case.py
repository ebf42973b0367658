"""Case 3: requests that a client sent at once are left without an answer, after one before them took long."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import site as sites
from standins.client import Asked, Session, command, new_id

TROUBLE, FOLDER = sys.argv[1] != "0", Path(sys.argv[2])
CLIENTS = 3
LOOKUP_WAIT_S = 5.0  # 80 to 100% of the 6 s after which a lookup is given up
REPORT_WAIT_S = 13.0  # the same of the 15 s of a report
# What a client sends, in order: class, wait, and work in ms; the first takes longer than its client waits.
COMMANDS = [("lookup", LOOKUP_WAIT_S, 8000)] + 3 * [("lookup", LOOKUP_WAIT_S, 100)]
COMMANDS += 6 * [("report", REPORT_WAIT_S, 300)]
LATE_S = 0.5  # later than this after its time, or never: lost
SLACK_S = 0.05


async def ask_all(site: sites.Site, number: int) -> list[Asked]:
    """Sends its commands at once on one connection; without the disruption, each on its own connection."""
    sessions = [Session(site.fronts[0].port) for _ in range(1 if TROUBLE else len(COMMANDS))]
    for session in sessions:
        await session.connect()
    requests = []
    packets = []
    for class_name, wait_s, work_ms in COMMANDS:
        statement = b"SELECT work_%d, rows_5 FROM sales_%d.orders" % (work_ms, number)
        asked = Asked(new_id(site.random), time.monotonic(), wait_s)
        requests.append(asked)
        packets.append(command(asked.query_id, wait_s, statement, class_name))
        site.record(
            "client_sends", client=number, id=asked.query_id, what=class_name, wait=wait_s, work_ms=work_ms
        )
    if TROUBLE:
        sessions[0].send(b"".join(packets))
        for asked in requests:
            await sessions[0].read_answer(asked, asked.wait_s + LATE_S + SLACK_S)
    else:
        for session, data in zip(sessions, packets, strict=True):
            session.send(data)
        reads = zip(sessions, requests, strict=True)
        await asyncio.gather(
            *(session.read_answer(asked, asked.wait_s + LATE_S + SLACK_S) for session, asked in reads)
        )
    for asked in requests:
        answer = f"{asked.answer or 'nothing'} {asked.text}".strip().replace(" ", "_")
        after = f"{asked.answered_at - asked.sent_at:.3f}"
        site.record("client_reads", client=number, id=asked.query_id, answer=answer, after=after)
    for session in sessions:
        session.close()
    return requests


async def run(site: sites.Site) -> int:
    async with site:
        clients = await asyncio.gather(*(ask_all(site, number) for number in range(CLIENTS)))
    requests = [asked for client in clients for asked in client]
    lost = [asked for asked in requests if asked.answer in ("", "closed") or asked.late_s > LATE_S + SLACK_S]
    served = sum(asked.answer == "served" for asked in requests)
    site.record("verdict", requests=len(requests), served=served, lost=len(lost))
    for asked in lost:
        after = f"{asked.answered_at - asked.sent_at:.3f}"
        site.record(
            "lost", id=asked.query_id, answer=asked.answer or "nothing", after=after, wait=asked.wait_s
        )
    if lost:
        return sites.BROKEN
    return sites.HELD if served > CLIENTS else sites.NOT_RUN


sys.exit(sites.run_case(FOLDER, run, fronts=1, engines=3))
