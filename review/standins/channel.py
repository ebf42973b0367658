"""The command channel: server-sent events over one long response, a comment each second."""

from __future__ import annotations

import asyncio
import json
from typing import Any


def member(name: str, port: int, phase: str = "Ready") -> dict[str, Any]:
    """The entry of one engine that started long ago."""
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "hall-a",
        "flavor": "std-12",
        "cell": 0,
        "phase": phase,
        "size": 12,
        "up_since_ms": 0,
    }


def full_list(members: list[dict[str, Any]]) -> dict[str, Any]:
    """``known`` with the whole list as event 1."""
    nodes = {"revision": 1, "complete": True, "members": members}
    return {"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]}


class Channel:
    """Serves the events after the one that a front names, then new ones as they come."""

    def __init__(self) -> None:
        self.port = 0
        self.cursor = 1
        self._events: list[tuple[int, str]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def publish(self, *members: dict[str, Any]) -> None:
        """Adds an event with the entries that have changed."""
        self.cursor += 1
        nodes = {"revision": self.cursor, "complete": False, "members": list(members)}
        event = {"cursor": self.cursor, "nodes": nodes}
        self._events.append((self.cursor, json.dumps(event, separators=(",", ":"))))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            line = next(item for item in head.split("\r\n") if item.startswith("last-event-id:"))
            last = int(line.partition(":")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            quiet = 0
            while True:
                for number, data in [event for event in self._events if event[0] > last]:
                    writer.write(f"id: {number}\ndata: {data}\n\n".encode())
                    last = number
                if quiet == 50:
                    writer.write(b": alive\n\n")
                    quiet = 0
                await writer.drain()
                await asyncio.sleep(0.02)
                quiet += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
