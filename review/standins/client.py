"""A client: MySQL protocol 4.1, EOF packets, no encryption, an empty password."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

CAPABILITIES = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000
REFUSALS = (1040, 1203, 1226)


@dataclass(slots=True)
class Asked:
    """One request as its client saw it; times of the monotonic clock."""

    query_id: str
    sent_at: float
    wait_s: float
    answer: str = ""  # served, refused, failed, or closed; empty while there is none
    answered_at: float = 0.0
    text: str = ""
    rows: list[tuple[bytes, ...]] = field(default_factory=list)

    @property
    def late_s(self) -> float:
        """How long after the client's time the answer came."""
        return self.answered_at - self.sent_at - self.wait_s


def new_id(random: Random) -> str:
    """The id of a request."""
    return f"{random.getrandbits(64):016x}"


def packet(sequence: int, payload: bytes) -> bytes:
    """One packet."""
    return len(payload).to_bytes(3, "little") + bytes((sequence & 255,)) + payload


def login() -> bytes:
    """The client's packet of the connection phase."""
    fixed = CAPABILITIES.to_bytes(4, "little") + (1 << 24).to_bytes(4, "little") + b"\x21" + bytes(23)
    return packet(1, fixed + b"app\0" + b"\0" + b"dw\0")


def command(
    query_id: str, wait_s: float, statement: bytes, class_name: str = "lookup", fields: str = ""
) -> bytes:
    """COM_QUERY with the fields in a comment ahead of the statement."""
    text = f"/* class={class_name},id={query_id},wait={round(wait_s * 1000)},tenant=kk-core{fields} */ "
    return packet(0, b"\x03" + text.encode() + statement)


def read_values(payload: bytes) -> tuple[bytes, ...]:
    """The values of a row."""
    values = []
    offset = 0
    while offset < len(payload):
        size = payload[offset]
        offset += 1
        if size == 0xFC:
            size = int.from_bytes(payload[offset : offset + 2], "little")
            offset += 2
        values.append(payload[offset : offset + size])
        offset += size
    return tuple(values)


class Session:
    """One connection to a front."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Connects and logs in."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(login())
        await self._read_packet()
        if (await self._read_packet())[0] != 0:
            raise ConnectionError("login refused")

    async def _read_packet(self) -> bytes:
        header = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(header[:3], "little"))

    async def ping(self) -> bool:
        """Whether COM_PING is answered with OK."""
        self.writer.write(packet(0, b"\x0e"))
        return (await self._read_packet())[0] == 0

    def send(self, data: bytes) -> None:
        """Writes packets."""
        self.writer.write(data)

    async def read_answer(self, asked: Asked, limit_s: float) -> None:
        """Reads the answer to one request, for at most ``limit_s`` after it was sent."""
        try:
            left_s = max(0.0, asked.sent_at + limit_s - time.monotonic())
            await asyncio.wait_for(self._read_answer(asked), left_s)
        except TimeoutError:
            return
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            asked.answer = "closed"
            asked.text = type(error).__name__
        asked.answered_at = time.monotonic()

    async def _read_answer(self, asked: Asked) -> None:
        payload = await self._read_packet()
        if payload[0] == 0xFF:
            code = int.from_bytes(payload[1:3], "little")
            asked.answer = "refused" if code in REFUSALS else "failed"
            asked.text = f"{code} {payload[9:].decode(errors='replace')}"
            return
        ends = 0
        while ends < 2:
            payload = await self._read_packet()
            if payload[0] == 0xFE and len(payload) <= 5:
                ends += 1
            elif ends:
                asked.rows.append(read_values(payload))
        asked.answer = "served"

    async def ask(self, query_id: str, wait_s: float, statement: bytes, limit_s: float) -> Asked:
        """Sends one request and reads its answer."""
        asked = Asked(query_id, time.monotonic(), wait_s)
        self.send(command(query_id, wait_s, statement))
        await self.read_answer(asked, limit_s)
        return asked

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
