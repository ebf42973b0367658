"""An emulated command channel: server-sent events that list the engines, on a loopback socket."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from micahold.laboratory.loopback_listener import LoopbackListener

COMMENT_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.01


def member(name: str, port: int, phase: str = "Ready", zone: str = "east") -> dict[str, Any]:
    """The entry of one engine."""
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": zone, "flavor": "std", "phase": phase}


class EmulatedChannel(LoopbackListener):
    """Serves every event after the cursor that a front names, then new ones as they come."""

    def __init__(self, cursor: int = 3) -> None:
        super().__init__()
        self.cursor = cursor
        self.subscriptions = 0
        self.silent = False  # connections stay open and carry nothing
        self._events: list[tuple[int, str]] = []

    def publish(self, *members: dict[str, Any], complete: bool = False) -> None:
        """Adds an event with the entries that have changed, or with the whole list."""
        self.cursor += 1
        nodes = {"revision": self.cursor, "complete": complete, "members": list(members)}
        event = {"cursor": self.cursor, "nodes": nodes}
        self._events.append((self.cursor, json.dumps(event, separators=(",", ":"))))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            line = next(line for line in head.split("\r\n") if line.startswith("last-event-id:"))
            last_sent = int(line.partition(":")[2])
            self.subscriptions += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            silent_s = 0.0
            while not writer.is_closing():
                if self.silent:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                for number, data in [event for event in self._events if event[0] > last_sent]:
                    writer.write(f"id: {number}\ndata: {data}\n\n".encode())
                    last_sent = number
                if silent_s >= COMMENT_INTERVAL_S:
                    writer.write(b": alive\n")
                    silent_s = 0.0
                await writer.drain()
                await asyncio.sleep(POLL_INTERVAL_S)
                silent_s += POLL_INTERVAL_S
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass  # the end of the connection, or of the run
        finally:
            writer.close()
