"""Stand-ins for the peers of a front, written from the published protocol: engine, channel, client."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from micahold.laboratory.emulated_channel import member
from tests import mysql_client

__all__ = ["Channel", "Client", "Engine", "configuration", "list_event", "member", "wait_until"]

SETTINGS: dict[str, Any] = {
    "siblings": 1,
    "zones": ["east"],
    "models": ["std"],
    "tenants": [{"name": "one", "share": 1.0}],
    "classes": [
        {"name": "lookup", "effect": "retryable", "aim_ns": 10**9, "deadline_ns": 4 * 10**9, "worth": 1.0},
        {"name": "load", "effect": "dedup", "group": "all", "window_ns": 10**10, "aim_ns": 10**9,
         "deadline_ns": 4 * 10**9, "worth": 5.0},
    ],
    "bounds": {"cancel": True, "connect_timeout_ns": 250_000_000, "idle_close_ns": 15 * 10**9,
               "max_attempts": 3, "max_open": 20000, "retry_after": True, "max_retry_after_ns": 2 * 10**9},
    "invariants": {"answer_slack_ns": 20_000_000, "drain_grace_ns": 10**9},
    "report": {"source": "piggyback", "columns": ["rif", "busy"]},
    "family_info": {"size_cores": [8], "size_mb": [1024]},
}  # fmt: skip


def list_event(cursor: int, *members: dict[str, Any]) -> dict[str, Any]:
    """An event of the command channel with a complete engine list."""
    return {"cursor": cursor, "nodes": {"revision": cursor, "complete": True, "members": list(members)}}


def configuration(listen: int = 4100, channel: int = 7070, engine: int = 4200) -> dict[str, Any]:
    """A front's configuration with these ports and one engine."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "channel": f"127.0.0.1:{channel}",
        "known": {"cursor": 3, "cmds": [list_event(3, member("s-1", engine))]},
        "settings": SETTINGS,
    }


class ThreadedServer:
    """An HTTP server with a daemon thread per connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as lines:
            try:
                while (request := self._read_request(lines)) is not None:
                    self.serve(connection, *request)
            except OSError:
                return

    def _read_request(self, lines: Any) -> tuple[str, dict[str, str], bytes] | None:
        request_line = lines.readline().decode().strip()
        if not request_line:
            return None
        headers = {}
        while line := lines.readline().decode().strip():
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return request_line, headers, lines.read(int(headers.get("content-length", 0)))

    def serve(
        self, connection: socket.socket, request_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Answers one request."""
        raise NotImplementedError


class Engine(ThreadedServer):
    """Answers according to a word in the statement.

    'full' gets a 503, 'hold' is never finished, 'slow' gets its rows after a second, any other at once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.running: dict[str, tuple[bytes, float]] = {}

    def serve(
        self, connection: socket.socket, request_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        method, path, _ = request_line.split(" ")
        self.requests.append((request_line, headers, body))
        if method == "POST":
            query_id = headers["via-id"]
            page = 0
            self.running[query_id] = (body, time.monotonic())
        else:
            query_id = path.split("/")[2]
            page = int((path.split("/")[3:] or ["0"])[0])
        statement, started_at = self.running.get(query_id, (b"", 0.0))
        if method == "DELETE":
            self.running.pop(query_id, None)
            connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif not statement:
            self._answer(connection, "500 Error", "")
        elif b"full" in statement:
            self._answer(connection, "503 Full", "Srv-Untouched: 1\r\n")
        elif b"hold" in statement or (b"slow" in statement and time.monotonic() < started_at + 1.0):
            time.sleep(0.25)
            self._answer(connection, "202 Accepted", "")
        elif page:
            self._answer(connection, "200 OK", f"X-Sheet: {page}\r\n", b"c\t3\t\n")
        else:
            self._answer(
                connection,
                "200 OK",
                "X-Sheets: 2\r\nSrv-Load: inflight:1;util:0.1\r\n",
                b"a\t1\tx\nb\t2\ty\n",
            )

    def _answer(self, connection: socket.socket, status: str, headers: str, body: bytes = b"") -> None:
        head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)


class Channel(ThreadedServer):
    """Sends the events that a test adds, and comments as keep-alives in between."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict[str, Any]] = []
        self.cursors: list[str] = []

    def serve(
        self, connection: socket.socket, request_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.cursors.append(headers["last-event-id"])
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        sent_count = 0
        while True:
            for event in self.events[sent_count:]:
                data = json.dumps(event, separators=(",", ":"))
                connection.sendall(f"id: {event['cursor']}\ndata: {data}\n\n".encode())
                sent_count += 1
            connection.sendall(b": alive\n")
            time.sleep(0.05)


class Client:
    """A MySQL session on a blocking socket."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        greeting = self._read_packet()
        id_offset = greeting.index(b"\0", 5) + 1
        self.id = int.from_bytes(greeting[id_offset : id_offset + 4], "little")
        self.send(mysql_client.login_packet())
        assert self.read()[4] == 0

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def _read_exactly(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            chunk = self.socket.recv(size - len(data))
            if not chunk:
                raise EOFError("the front closed the connection")
            data += chunk
        return data

    def _read_packet(self) -> bytes:
        header = self._read_exactly(4)
        return header + self._read_exactly(int.from_bytes(header[:3], "little"))

    def read(self) -> bytes:
        """Reads one response: a single OK or error packet, or a result set up to its second EOF packet."""
        data = b""
        eof_count = 0
        while True:
            packet = self._read_packet()
            data += packet
            if packet[4] in (0x00, 0xFF) and not eof_count and len(data) == len(packet):
                return data
            eof_count += packet[4] == 0xFE and len(packet) == 9
            if eof_count == 2:
                return data

    def ask(
        self, number: int, statement: bytes, wait: int = 2000, **fields: str
    ) -> list[tuple[bytes, bytes, bytes]]:
        """Sends a query and returns the rows of its result."""
        self.send(mysql_client.query_with_fields(number, wait, statement, **fields))
        return mysql_client.decode_result_set(self.read())

    def close(self) -> None:
        self.socket.close()


def wait_until(condition: Callable[[], Any], timeout_s: float = 10.0) -> None:
    """Waits until the condition holds; fails the test after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "condition did not hold in time"
        time.sleep(0.01)
