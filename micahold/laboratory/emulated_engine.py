"""An emulated query engine: HTTP/1.1 on a loopback socket, with faults that a test or a soak run switches on.

It keeps the engine's side of the protocol: a query runs until it ends, is deleted, or has not been polled
for ``LEASE_S``. A call is held for up to ``HOLD_S`` while its query runs, and the lease counts from the end
of the latest call. Every attempt is recorded with the monotonic times at which it began and was over here.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field

from micahold.laboratory.loopback_listener import LoopbackListener
from micahold.laboratory.result_rows import asked_rows, expected_rows, result_pages
from micahold.laboratory.tcp_state import last_arrival, peer_has_closed

LEASE_S = 2.0
HOLD_S = 0.25
# Every time limit of the protocol may run this much longer.
LIMIT_TOLERANCE_S = 0.05
DEFAULT_WORK_S = 0.02
CHECK_INTERVAL_S = 0.01
# The result of a statement that names no number of rows.
RESULT_PAGES = [b"a\t1\tx\nb\t2\ty\n", b"c\t3\t\n"]
# The statement names its duration, as in SELECT work_1500 FROM ...
WORK_PATTERN = re.compile(rb"work_(\d+)")
# A row that is none: its columns are missing.
NOISE = b"\x00\xff noise\n"
LATE_COPY_S = (0.002, 0.005, 0.01)
MAX_COPY_LATENESS_S = 0.002
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its engine saw it; times in seconds of ``time.monotonic``."""

    query_id: str
    class_name: str
    engine: str
    wait_s: float  # what the front passed on in Via-Wait
    began_at: float
    ended_at: float | None = None
    ending: str = ""  # ok, error, deleted, lapsed or died
    # When its POST arrived, however late this process read it; to the few milliseconds of the system's ticks.
    arrived_at: float | None = None

    @property
    def earliest_begin(self) -> float:
        """When its POST arrived, where that is known."""
        return self.began_at if self.arrived_at is None else self.arrived_at


@dataclass(slots=True)
class EngineFaults:
    """Faults of one engine; all of them can be changed while it runs."""

    drop_responses: bool = False  # requests are read and carried out, their responses are never written
    stop_reading: bool = False  # connections stay open, and nothing that arrives is read
    fail_queries: bool = False  # every POST is answered with 500
    full: bool = False  # every POST is turned away before it runs
    duplicate_poll_after_s: float = 0.0  # a second copy of each 202 follows after this time
    unreadable_deletes: bool = False  # a DELETE is not carried out, and its response is noise
    ignore_deletes: bool = False  # a DELETE is answered with 202 and not carried out
    drop_delete_responses: bool = False
    # Of every second good answer:
    second_copies: bool = False  # the same bytes once more, at once or some milliseconds late, in turn
    spoilt_pages: bool = False  # noise stands behind its rows
    short_lengths: bool = False  # its stated length ends after some of its rows


@dataclass(slots=True, eq=False)
class _RunningQuery:
    record: AttemptRecord
    ends_at: float
    lease_from: float
    pages: list[bytes]
    over: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    read_at: float
    arrived_at: float


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, arrivals: Mapping[int, float]
) -> _Request | None:
    """The next request; None at the end of the connection.

    ``arrivals`` has, by the peer's port, when the data of a proxied connection came.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    method, path, _ = request_line.split(" ")
    peer_port: int = writer.get_extra_info("peername")[1]
    arrived_at = arrivals.get(peer_port)
    if arrived_at is None:
        arrived_at = last_arrival(writer)
    return _Request(method, path, headers, body, time.monotonic(), arrived_at)


def _response(status: str, headers: str, body: bytes, stated_bytes: int | None = None) -> bytes:
    """A response whose Content-Length is that of its body, or ``stated_bytes``."""
    length = len(body) if stated_bytes is None else stated_bytes
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n".encode() + body


def _whole_rows_bytes(page: bytes) -> int:
    """The length of about the first half of a page, up to the end of a row."""
    return page.rfind(b"\n", 0, len(page) // 2) + 1


class EmulatedEngine(LoopbackListener):
    """One engine process; ``attempts`` holds the records of everything it was sent."""

    def __init__(self, name: str, zone: str = "east") -> None:
        super().__init__()
        self.name = name
        self.zone = zone
        self.faults = EngineFaults()
        self.attempts: list[AttemptRecord] = []
        # By the port of each connection that a proxy makes: when its last data came.
        self.forwarded_arrivals: dict[int, float] = {}
        self.post_connections = 0
        self._page_count = 0  # good answers so far
        self._queries: dict[str, _RunningQuery] = {}
        self._connections: dict[asyncio.StreamWriter, str] = {}  # and the query that each last carried
        self._tasks: set[asyncio.Future[None]] = set()

    # Faults and life cycle

    def reset_connections(self, query_id: str | None = None) -> None:
        """Resets the connections that last carried the query, or all of them; queries go on running."""
        for writer, last_query in list(self._connections.items()):
            if query_id is None or last_query == query_id:
                self._reset(writer)

    def die(self) -> None:
        """Ends like a killed process: the listener closes, connections are reset, queries stop."""
        self.close_listener()
        for query in list(self._queries.values()):
            self._end(query, "died")
        self._queries.clear()
        self.reset_connections()

    async def stop(self) -> None:
        """Ends the engine and waits for its tasks."""
        self.die()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def running_queries(self) -> list[str]:
        """Ids of the queries whose attempt is not over here."""
        return [query_id for query_id, query in self._queries.items() if not query.over.is_set()]

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        connection: socket.socket = writer.get_extra_info("socket")
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            return  # closed already
        writer.transport.abort()

    # Requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections[writer] = ""
        try:
            while (request := await _read_request(reader, writer, self.forwarded_arrivals)) is not None:
                if self.faults.stop_reading:
                    await self._wait_until_reading()
                    if peer_has_closed(writer):
                        return  # the bytes went with their connection
                await self._handle(request, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass  # the end of the connection, or of the run
        finally:
            self._connections.pop(writer, None)
            writer.close()

    async def _wait_until_reading(self) -> None:
        while self.faults.stop_reading:
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _handle(self, request: _Request, writer: asyncio.StreamWriter) -> None:
        if request.method == "POST":
            query_id = request.headers["via-id"]
            self._connections[writer] = query_id
            await self._handle_post(request, query_id, writer)
            return
        query_id, _, page = request.path.removeprefix("/data/").partition("/")
        self._connections[writer] = query_id
        if request.method == "DELETE":
            self._handle_delete(query_id, writer)
        else:
            await self._handle_poll(query_id, int(page or 0), writer)

    async def _handle_post(self, request: _Request, query_id: str, writer: asyncio.StreamWriter) -> None:
        now = time.monotonic()
        if self.faults.full:
            self._respond(writer, "503 Full", "Srv-Untouched: 1\r\n")
            return
        record = AttemptRecord(
            query_id,
            request.headers["via-class"],
            self.name,
            int(request.headers["via-wait"]) / 1000,
            request.read_at,
            arrived_at=request.arrived_at,
        )
        self.attempts.append(record)
        if self.faults.fail_queries:
            record.ended_at = now
            record.ending = "error"
            self._respond(writer, "500 Error")
            return
        work = WORK_PATTERN.search(request.body)
        work_s = int(work[1]) / 1000 if work else DEFAULT_WORK_S
        rows = asked_rows(request.body)
        pages = RESULT_PAGES if rows is None else result_pages(expected_rows(query_id, rows))
        query = _RunningQuery(record, now + work_s, now, pages)
        self._queries[query_id] = query
        self._start_task(self._watch(query_id, query))
        await self._handle_poll(query_id, 0, writer)

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch(self, query_id: str, query: _RunningQuery) -> None:
        """Discards the query once it has not been polled for the lease."""
        while not query.over.is_set() or query.record.ending == "ok":
            lapses_at = query.lease_from + LEASE_S + LIMIT_TOLERANCE_S
            remaining_s = lapses_at - time.monotonic()
            if remaining_s <= 0:
                self._end(query, "lapsed", lapses_at)
                self._queries.pop(query_id, None)
                return
            await asyncio.sleep(remaining_s)

    def _end(self, query: _RunningQuery, ending: str, at: float | None = None) -> None:
        if not query.over.is_set():
            query.record.ended_at = at if at is not None else time.monotonic()
            query.record.ending = ending
            query.over.set()

    def _handle_delete(self, query_id: str, writer: asyncio.StreamWriter) -> None:
        if self.faults.unreadable_deletes:
            self._write(writer, b"\x00\xff noise")
            return
        if self.faults.ignore_deletes:
            self._respond(writer, "202 Accepted")
            return
        query = self._queries.pop(query_id, None)
        if query is not None:
            self._end(query, "deleted")
        if not self.faults.drop_delete_responses:
            self._write(writer, b"HTTP/1.1 204 No Content\r\n\r\n")

    async def _handle_poll(self, query_id: str, page: int, writer: asyncio.StreamWriter) -> None:
        query = self._queries.get(query_id)
        if query is None:
            self._respond(writer, "500 Unknown")
            return
        held_until = time.monotonic() + HOLD_S
        # The lease counts from the end of the call, which lasts until then at the latest.
        query.lease_from = held_until
        while (now := time.monotonic()) < min(held_until, query.ends_at) and not query.over.is_set():
            await asyncio.sleep(min(held_until, query.ends_at) - now)
        query.lease_from = min(held_until, time.monotonic())
        if query.over.is_set() and query.record.ending != "ok":
            self._respond(writer, "500 Ended")
        elif now < query.ends_at:
            self._respond(writer, "202 Accepted")
            if self.faults.duplicate_poll_after_s:
                self._start_task(self._duplicate(writer))
        elif page:
            self._respond_page(writer, f"X-Sheet: {page}\r\n", query.pages[page])
        else:
            self._end(query, "ok")
            self._respond_page(writer, f"X-Sheets: {len(query.pages)}\r\n", query.pages[0])

    async def _duplicate(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.faults.duplicate_poll_after_s)
        self._respond(writer, "202 Accepted")

    def _respond_page(self, writer: asyncio.StreamWriter, headers: str, page: bytes) -> None:
        """Sends a good answer, with the faults of every second one."""
        self._page_count += 1
        if self._page_count % 2:
            self._write(writer, _response("200 OK", headers, page))
            return
        body = page + NOISE if self.faults.spoilt_pages else page
        stated_bytes = _whole_rows_bytes(body) if self.faults.short_lengths else len(body)
        response = _response("200 OK", headers, body, stated_bytes)
        self._write(writer, response)
        if not self.faults.second_copies:
            return
        if self._page_count % 4:
            self._write(writer, response)
        else:
            self._start_task(self._write_late(writer, response))

    async def _write_late(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes a copy some milliseconds late; not at all if this process is late itself."""
        delay_s = LATE_COPY_S[self._page_count // 4 % len(LATE_COPY_S)]
        due_at = time.monotonic() + delay_s
        await asyncio.sleep(delay_s)
        if time.monotonic() <= due_at + MAX_COPY_LATENESS_S:
            self._write(writer, data)

    def _respond(
        self, writer: asyncio.StreamWriter, status: str, headers: str = "", body: bytes = b""
    ) -> None:
        self._write(writer, _response(status, headers, body))

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.faults.drop_responses and not writer.is_closing():
            writer.write(data)
