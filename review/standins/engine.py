"""A query engine: HTTP/1.1, one call at a time on a connection; a query belongs to no connection.

A statement names its duration and its size, as in ``SELECT work_300, rows_40 FROM ...``. The result is made
from the id of the query, so that a client can tell whether the rows that it got are those of its query.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

LEASE_S = 2.0
HOLD_S = 0.25
# A second copy that would come later than this, since the stand-in itself was busy, is not written.
MAX_COPY_DELAY_S = 0.012
IDLE_S = 15.0
PAGE_BYTES = 6000
WORK = re.compile(rb"work_(\d+)")
ROWS = re.compile(rb"rows_(\d+)")


def result_rows(query_id: str, count: int) -> list[tuple[bytes, bytes, bytes]]:
    """The rows that an engine makes for a query."""
    return [(query_id.encode(), b"%d" % number, b"row%d" % (number * 7)) for number in range(count)]


def result_pages(query_id: str, count: int, page_bytes: int = PAGE_BYTES) -> list[bytes]:
    """The same rows as text, in pages of whole rows."""
    pages = [b""]
    for row in result_rows(query_id, count):
        line = b"\t".join(row) + b"\n"
        if len(pages[-1]) + len(line) > page_bytes:
            pages.append(b"")
        pages[-1] += line
    return pages


@dataclass(slots=True)
class Answer:
    """One answer of an engine, which a case may spoil before it is written."""

    query_id: str
    kind: str  # "end" for page 0, "page" for a further page, "other"
    head: bytes
    body: bytes
    late_copy_s: float = 0.0  # a second copy is written after this time


@dataclass(slots=True)
class Run:
    """One run of a query here."""

    query_id: str
    began_at: float
    ends_at: float
    pages: list[bytes]
    asked_at: float
    ended_at: float | None = None
    ending: str = ""


@dataclass(eq=False)
class Engine:
    """One engine; ``runs`` holds all that it was sent."""

    name: str
    record: Callable[..., None]
    spoil: Callable[[Answer], None] = lambda answer: None
    page_bytes: int = PAGE_BYTES
    runs: list[Run] = field(default_factory=list)
    port: int = 0

    def __post_init__(self) -> None:
        self.copies_written = self.copies_left_out = 0
        self.latest_copy_s = 0.0
        self._open: dict[str, Run] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), IDLE_S)
                line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (item.partition(":") for item in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, path, _ = line.split(" ")
                await self._handle(method, path, headers, body, writer)
        except (asyncio.IncompleteReadError, TimeoutError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        now = time.monotonic()
        if method == "POST":
            query_id = headers["via-id"]
            work = WORK.search(body)
            rows = ROWS.search(body)
            if work is None or rows is None:
                self.record("engine_rejects", engine=self.name, id=query_id)
                self._write(writer, Answer(query_id, "other", b"500 Error", b""))
                return
            run = Run(
                query_id,
                now,
                now + int(work[1]) / 1000,
                result_pages(query_id, int(rows[1]), self.page_bytes),
                now,
            )
            self.runs.append(run)
            self._open[query_id] = run
            self.record("engine_begins", engine=self.name, id=query_id, wait=int(headers["via-wait"]))
            self._start(self._watch(run))
            await self._news(run, writer)
            return
        query_id, _, page = path.removeprefix("/data/").partition("/")
        found = self._open.get(query_id)
        if method == "DELETE":
            if found is not None:
                self._end(found, "deleted")
                del self._open[query_id]
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif found is None:
            self._write(writer, Answer(query_id, "other", b"500 Unknown", b""))
        elif page == "0":
            await self._news(found, writer)
        else:
            found.asked_at = now
            body = found.pages[int(page)]
            self._write(writer, Answer(query_id, "page", b"200 OK\r\nX-Sheet: " + page.encode(), body))

    async def _news(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """The end of the query, or 202 after a quarter of a second."""
        run.asked_at = time.monotonic() + HOLD_S
        await asyncio.sleep(max(0.0, min(HOLD_S, run.ends_at - time.monotonic())))
        run.asked_at = time.monotonic()
        if run.ending not in ("", "ok"):
            self._write(writer, Answer(run.query_id, "other", b"500 Ended", b""))
        elif run.asked_at < run.ends_at:
            self._write(writer, Answer(run.query_id, "other", b"202 Accepted", b""))
        else:
            self._end(run, "ok")
            head = b"200 OK\r\nX-Sheets: %d" % len(run.pages)
            self._write(writer, Answer(run.query_id, "end", head, run.pages[0]))

    def _end(self, run: Run, ending: str) -> None:
        if not run.ending:
            run.ending = ending
            run.ended_at = time.monotonic()
            self.record("engine_ends", engine=self.name, id=run.query_id, end=ending)

    async def _watch(self, run: Run) -> None:
        """Ends the query when its work is done; drops it once it has not been asked for in two seconds."""
        while (left_s := run.asked_at + LEASE_S - time.monotonic()) > 0:
            if not run.ending:
                left_s = min(left_s, max(0.0, run.ends_at - time.monotonic()))
            await asyncio.sleep(left_s)
            if time.monotonic() >= run.ends_at:
                self._end(run, "ok")
        self._end(run, "lapsed")
        if self._open.get(run.query_id) is run:
            del self._open[run.query_id]

    def _write(self, writer: asyncio.StreamWriter, answer: Answer) -> None:
        load = b"Srv-Load: inflight:%d;util:0.4;x0:0.3" % len(self._open)
        answer.head = b"HTTP/1.1 %s\r\n%s\r\nContent-Length: %d" % (answer.head, load, len(answer.body))
        self.spoil(answer)
        data = answer.head + b"\r\n\r\n" + answer.body
        writer.write(data)
        if answer.late_copy_s:
            self._start(self._write_late(writer, data, answer.late_copy_s, time.monotonic()))

    async def _write_late(
        self, writer: asyncio.StreamWriter, data: bytes, delay_s: float, written_at: float
    ) -> None:
        await asyncio.sleep(delay_s)
        if writer.is_closing():
            return
        if time.monotonic() - written_at > MAX_COPY_DELAY_S:
            self.copies_left_out += 1
            return
        writer.write(data)
        self.copies_written += 1
        self.latest_copy_s = max(self.latest_copy_s, time.monotonic() - written_at)

    def _start(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
