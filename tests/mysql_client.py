"""The client's half of the MySQL protocol, written for the tests from its public description."""

from __future__ import annotations

from micahold.protocol.mysql_packets import PacketReader, encode_packet

FLAGS = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000


class ServerError(Exception):
    """An error packet."""

    def __init__(self, payload: bytes) -> None:
        self.code, self.text = int.from_bytes(payload[1:3], "little"), payload[9:].decode()
        super().__init__(f"{self.code} {self.text}")


def handshake_response(user: bytes, database: bytes, auth_response: bytes = b"") -> bytes:
    head = FLAGS.to_bytes(4, "little") + (1 << 24).to_bytes(4, "little") + b"\x21" + bytes(23)
    return head + user + b"\0" + bytes((len(auth_response),)) + auth_response + database + b"\0"


def login_packet(user: bytes = b"app", database: bytes = b"dw") -> bytes:
    return encode_packet(1, handshake_response(user, database))


def command_packet(code: int, argument: bytes = b"") -> bytes:
    return encode_packet(0, bytes((code,)) + argument)


def query_packet(text: bytes) -> bytes:
    return command_packet(3, text)


def query_with_fields(
    number: int = 1, wait: int = 2000, statement: bytes = b"SELECT a FROM s_3.t", **fields: str
) -> bytes:
    """A query with its fields; ``class_`` stands for class."""
    every = {"class": "lookup", "id": f"{number:016x}", "wait": str(wait), "tenant": "one"}
    every.update({name.rstrip("_"): value for name, value in fields.items()})
    text = ",".join(f"{name}={value}" for name, value in every.items() if value)
    return query_packet(b"/* " + text.encode() + b" */ " + statement)


def decode_packets(data: bytes) -> list[tuple[int, bytes]]:
    reader = PacketReader(1 << 24, 1 << 25)
    reader.feed(data)
    done = []
    while (packet := reader.next_packet()) is not None:
        done.append(packet)
    assert reader.buffered_bytes == 0, "half a packet"
    return done


def _text(payload: bytes, at: int) -> tuple[bytes, int]:
    size, width = payload[at], 0
    if size >= 0xFB:
        width = {0xFC: 2, 0xFD: 3}[size]
        size = int.from_bytes(payload[at + 1 : at + 1 + width], "little")
    start = at + 1 + width
    assert start + size <= len(payload)
    return payload[start : start + size], start + size


def decode_result_set(data: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """The rows of one whole result; every number and every byte is looked at."""
    got = decode_packets(data)
    assert [number for number, _ in got] == [number % 256 for number in range(1, len(got) + 1)]
    if got[0][1][:1] == b"\xff":
        raise ServerError(got[0][1])
    assert got[0][1] == b"\x03"
    for _, column in got[1:4]:
        assert column.startswith(b"\x03def")
    assert got[4][1][0] == 0xFE and len(got[4][1]) == 5
    assert got[-1][1][0] == 0xFE and len(got[-1][1]) == 5
    rows = []
    for _, payload in got[5:-1]:
        first, at = _text(payload, 0)
        second, at = _text(payload, at)
        third, at = _text(payload, at)
        assert at == len(payload)
        rows.append((first, second, third))
    return rows
