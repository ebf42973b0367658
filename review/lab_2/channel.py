"""The command channel: numbered events of the list of engines as server-sent events."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from lab_2.records import Record

COMMENT_S = 1.0


def member(name: str, address: str, phase: str = "Ready", **fields: Any) -> dict[str, Any]:
    """The entry of one engine."""
    return {
        "id": name, "host_port": address, "locality": "east", "flavor": "std", "cell": 1, "phase": phase,
        "size": 4, "up_since_ms": 0, **fields,
    }  # fmt: skip


class Channel:
    """Serves the events after the number that a front names, then new ones as they come."""

    def __init__(self, record: Record, host: str = "127.0.0.1") -> None:
        self.record = record
        self.host = host
        self.port = 0
        self.cursor = 1
        self.events: list[tuple[int, str]] = []
        self.answer_after_s = 0.0  # from the request of a front to the head of the answer
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens; a second start keeps the port."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def publish(self, *members: dict[str, Any], complete: bool = False) -> float:
        """Puts an event into the channel; returns when."""
        self.cursor += 1
        nodes = {"revision": self.cursor, "complete": complete, "members": list(members)}
        self.events.append((self.cursor, json.dumps({"cursor": self.cursor, "nodes": nodes})))
        for entry in members:
            self.record.note("told", cursor=self.cursor, engine=entry["id"], phase=entry["phase"])
        return time.time()

    def break_connections(self) -> None:
        """Ends all connections, as at a restart of the channel's server."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close_listener(self) -> None:
        """Takes no new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            sent = next(
                int(line.partition(":")[2]) for line in head.split("\r\n") if line.startswith("last-event-id")
            )
            self.record.note("channel_asked", after=sent)
            gone = asyncio.create_task(_wait_for_end(reader))
            if self.answer_after_s:
                await asyncio.wait({gone}, timeout=self.answer_after_s)
                if gone.done():
                    self.record.note("channel_left_unanswered")
                    return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            quiet_since = time.monotonic()
            while not writer.is_closing() and not gone.done():
                for number, data in [event for event in self.events if event[0] > sent]:
                    writer.write(f"id: {number}\ndata: {data}\n\n".encode())
                    self.record.note("channel_wrote", cursor=number)
                    sent = number
                if time.monotonic() >= quiet_since + COMMENT_S:
                    quiet_since = time.monotonic()
                    writer.write(b": here\n\n")
                await writer.drain()
                await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError, OSError):
        await reader.read()
