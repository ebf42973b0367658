"""A client of a front: MySQL sessions on asyncio streams, one query at a time, with a record of each."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from random import Random

from micahold.laboratory.result_rows import ResultRow, asked_rows, decode_row
from micahold.laboratory.tcp_state import last_arrival
from micahold.protocol.mysql_packets import HEADER_BYTES, encode_packet

# CLIENT_LONG_PASSWORD, CLIENT_CONNECT_WITH_DB, CLIENT_PROTOCOL_41, CLIENT_TRANSACTIONS and
# CLIENT_SECURE_CONNECTION.
CAPABILITIES = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000
COM_QUERY = b"\x03"
COM_PING = b"\x0e"
REFUSAL_CODES = (1040, 1203, 1226)
OK_HEADER, EOF_HEADER, ERR_HEADER = 0x00, 0xFE, 0xFF
MAX_EOF_PAYLOAD_BYTES = 5
# A client waits this much past its own limit before it records that no answer came: a front may be stopped.
LATE_ANSWER_S = 3.0


@dataclass(slots=True)
class QueryRecord:
    """One query as its client saw it; times in seconds of ``time.monotonic``."""

    query_id: str
    class_name: str
    front: str
    sent_at: float
    wait_s: float
    answered_at: float | None = None
    answer: str = ""  # served, refused, failed; empty while there is none
    error_text: str = ""
    left_at: float | None = None  # when the client closed or cancelled
    connection_lost_at: float | None = None
    is_first: bool = False  # on its connection
    asked_rows: int | None = None  # how many rows its statement asks for; None where it names none
    rows: list[ResultRow] = field(default_factory=list)  # that came, if it names a number


class SessionLostError(Exception):
    """The front closed or reset the connection."""


def handshake_response(user: bytes, database: bytes, auth_response: bytes = b"") -> bytes:
    """The payload of a Protocol::HandshakeResponse41."""
    fixed_fields = CAPABILITIES.to_bytes(4, "little") + (1 << 24).to_bytes(4, "little") + b"\x21" + bytes(23)
    return fixed_fields + user + b"\0" + bytes((len(auth_response),)) + auth_response + database + b"\0"


def login_packet(user: bytes = b"app", database: bytes = b"dw") -> bytes:
    """The client's packet of the connection phase."""
    return encode_packet(1, handshake_response(user, database))


class QueryIds:
    """Ids of queries: 16 hexadecimal digits that do not repeat within a run."""

    def __init__(self, random: Random) -> None:
        self._prefix = random.getrandbits(32)
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """A new id."""
        return f"{self._prefix:08x}{next(self._numbers):08x}"


class SqlSession:
    """One connection to a front."""

    def __init__(self, front: str, port: int) -> None:
        self.front = front
        self.port = port
        self.connection_id = 0
        self.query_count = 0
        self.left_at: float | None = None  # when the client closed it or cancelled its query
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Connects and logs in; raises ``SessionLostError`` if that fails."""
        try:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
            greeting = await self._read_packet()
            if greeting[0] == ERR_HEADER:
                raise SessionLostError("refused by the front")
            id_offset = greeting.index(b"\0", 1) + 1
            self.connection_id = int.from_bytes(greeting[id_offset : id_offset + 4], "little")
            self._writer.write(login_packet())
            if (await self._read_packet())[0] != OK_HEADER:
                raise SessionLostError("login refused")
        except OSError as error:
            raise SessionLostError(str(error)) from None

    async def _read_packet(self) -> bytes:
        try:
            header = await self._reader.readexactly(HEADER_BYTES)
            return await self._reader.readexactly(int.from_bytes(header[:3], "little"))
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            raise SessionLostError(str(error)) from None

    def send(self, text: bytes) -> None:
        """Sends a statement without waiting for its answer."""
        self._writer.write(encode_packet(0, COM_QUERY + text))

    async def ping(self) -> None:
        """Waits for the answer to COM_PING."""
        self._writer.write(encode_packet(0, COM_PING))
        await self._read_packet()

    async def query(
        self, query_id: str, class_name: str, statement: bytes, wait_s: float, token: str = ""
    ) -> QueryRecord:
        """Runs one query and records its answer; a lost connection is recorded, not raised."""
        fields = f"class={class_name},id={query_id},wait={round(wait_s * 1000)},tenant=one"
        if token:
            fields += f",once={token}"
        now = time.monotonic()
        record = QueryRecord(query_id, class_name, self.front, now, wait_s, is_first=not self.query_count)
        record.asked_rows = asked_rows(statement)
        self.query_count += 1
        self.send(f"/* {fields} */ ".encode() + statement)
        try:
            await asyncio.wait_for(self._read_answer(record), wait_s + LATE_ANSWER_S)
        except TimeoutError:
            self.close()
        except SessionLostError:
            record.connection_lost_at = time.monotonic()
        if record.answer != "served":
            record.left_at = self.left_at
        return record

    async def _read_answer(self, record: QueryRecord) -> None:
        payload = await self._read_packet()
        if payload[0] == ERR_HEADER:
            code = int.from_bytes(payload[1:3], "little")
            record.answer = "refused" if code in REFUSAL_CODES else "failed"
            record.error_text = payload[9:].decode(errors="replace")
        else:
            eof_count = 0
            while eof_count < 2:
                payload = await self._read_packet()
                is_eof = payload[:1] == bytes((EOF_HEADER,)) and len(payload) <= MAX_EOF_PAYLOAD_BYTES
                eof_count += is_eof
                if eof_count == 1 and not is_eof and record.asked_rows is not None:
                    record.rows.append(decode_row(payload))
            record.answer = "served"
        record.answered_at = last_arrival(self._writer)

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()
