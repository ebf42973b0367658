"""A client: sessions of the MySQL client protocol, one query at a time, with a record of each query."""

from __future__ import annotations

import asyncio
import itertools
import os
import time
from dataclasses import dataclass, field

from lab_2.records import Record

CAPABILITIES = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000
LOGIN = (
    CAPABILITIES.to_bytes(4, "little") + (1 << 24).to_bytes(4, "little") + b"\x21" + bytes(23)
    + b"app\0" + b"\0" + b"dw\0"
)  # fmt: skip
REFUSALS = (1040, 1203, 1226)
PATIENCE_S = 4.0  # beyond its wait, before a client notes that no answer came
_prefix = os.urandom(4).hex()
_numbers = itertools.count(1)


def new_id() -> str:
    """An id that no other request has."""
    return f"{_prefix}{next(_numbers):08x}"


def packet(sequence: int, payload: bytes) -> bytes:
    """One packet of the protocol."""
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


@dataclass(eq=False)
class Query:
    """One query as its client saw it; times by the system's Unix clock."""

    query_id: str
    class_name: str
    front: str
    wait_s: float
    statement: str
    token: str
    sent_at: float = 0.0
    answered_at: float | None = None
    answer: str = ""  # served, refused, failed; empty while there is none
    code: int = 0
    text: str = ""
    rows: list[tuple[str, str, str]] = field(default_factory=list)
    lost_at: float | None = None  # when the front ended the connection without a whole answer
    left_at: float | None = None  # when the client left or cancelled


class Session:
    """One connection to a front."""

    def __init__(self, front: str, host: str, port: int, record: Record) -> None:
        self.front = front
        self.host = host
        self.port = port
        self.record = record
        self.connection_id = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Connects and logs in."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        greeting = await self._packet()
        if greeting[0] == 0xFF:
            raise ConnectionError("turned away")
        place = greeting.index(b"\0", 1) + 1
        self.connection_id = int.from_bytes(greeting[place : place + 4], "little")
        self.writer.write(packet(1, LOGIN))
        if (await self._packet())[0] != 0:
            raise ConnectionError("login refused")

    async def ping(self) -> None:
        """Waits for the answer to COM_PING."""
        self.writer.write(packet(0, b"\x0e"))
        if (await self._packet())[0] != 0:
            raise ConnectionError("ping refused")

    async def _packet(self) -> bytes:
        head = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(head[:3], "little"))

    def text(self, query: Query) -> bytes:
        """The text of the COM_QUERY."""
        fields = f"class={query.class_name},id={query.query_id},wait={round(query.wait_s * 1000)},tenant=one"
        if query.token:
            fields += f",once={query.token}"
        return f"/* {fields} */ {query.statement}".encode()

    async def query(
        self, class_name: str, statement: str, wait_s: float, token: str = "", query_id: str = ""
    ) -> Query:
        """Sends one query and waits for its answer."""
        query = Query(query_id or new_id(), class_name, self.front, wait_s, statement, token)
        self.writer.write(packet(0, b"\x03" + self.text(query)))
        query.sent_at = time.time()
        self.record.note("asks", front=self.front, id=query.query_id, cls=class_name, wait=wait_s)
        try:
            await asyncio.wait_for(self._answer(query), wait_s + PATIENCE_S)
        except TimeoutError:
            self.writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            query.lost_at = time.time()
            query.text = repr(error)
        self.record.note(
            "answer",
            id=query.query_id,
            what=query.answer or "none",
            code=query.code,
            text=repr(query.text),
            rows=len(query.rows),
            after=round((query.answered_at or query.lost_at or time.time()) - query.sent_at, 3),
        )
        return query

    async def _answer(self, query: Query) -> None:
        payload = await self._packet()
        if payload[0] == 0xFF:
            query.code = int.from_bytes(payload[1:3], "little")
            query.text = payload[9:].decode(errors="replace")
            query.answer = "refused" if query.code in REFUSALS else "failed"
        else:
            ends = 0
            while ends < 2:
                payload = await self._packet()
                if payload[0] == 0xFE and len(payload) <= 5:
                    ends += 1
                elif payload[0] == 0xFF and ends == 1:
                    query.code = int.from_bytes(payload[1:3], "little")
                    query.answer = "failed"
                    break
                elif ends == 1:
                    query.rows.append(_row(payload))
            else:
                query.answer = "served"
        query.answered_at = time.time()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


def _row(payload: bytes) -> tuple[str, str, str]:
    columns, place = [], 0
    while place < len(payload):
        length, place = payload[place], place + 1
        if length == 0xFC:
            length, place = int.from_bytes(payload[place : place + 2], "little"), place + 2
        columns.append(payload[place : place + length].decode())
        place += length
    first, second, third = columns
    return first, second, third
