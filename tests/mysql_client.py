"""The client side of the MySQL protocol, written for the tests from the protocol's public documentation."""

from __future__ import annotations

from micahold.laboratory.sql_client import handshake_response, login_packet
from micahold.protocol.mysql_packets import PacketReader, encode_packet

__all__ = [
    "ServerError", "command_packet", "decode_packets", "decode_result_set", "handshake_response",
    "login_packet", "query_packet", "query_with_fields",
]  # fmt: skip


class ServerError(Exception):
    """The error code and the message of an ERR_Packet."""

    def __init__(self, payload: bytes) -> None:
        self.code, self.text = int.from_bytes(payload[1:3], "little"), payload[9:].decode()
        super().__init__(f"{self.code} {self.text}")


def command_packet(code: int, argument: bytes = b"") -> bytes:
    """A packet of the command phase."""
    return encode_packet(0, bytes((code,)) + argument)


def query_packet(text: bytes) -> bytes:
    """A COM_QUERY packet."""
    return command_packet(3, text)


def query_with_fields(
    number: int = 1, wait: int = 2000, statement: bytes = b"SELECT a FROM s_3.t", **fields: str
) -> bytes:
    """A COM_QUERY packet whose statement follows a comment with fields.

    ``class_`` gives the field class; a field with an empty value is left out.
    """
    all_fields = {"class": "lookup", "id": f"{number:016x}", "wait": str(wait), "tenant": "one"}
    all_fields.update({name.rstrip("_"): value for name, value in fields.items()})
    comment = ",".join(f"{name}={value}" for name, value in all_fields.items() if value)
    return query_packet(b"/* " + comment.encode() + b" */ " + statement)


def decode_packets(data: bytes) -> list[tuple[int, bytes]]:
    """Splits data into packets, each given as sequence id and payload; all of them must be complete."""
    reader = PacketReader(1 << 24, 1 << 25)
    reader.feed(data)
    packets = []
    while (packet := reader.next_packet()) is not None:
        packets.append(packet)
    assert reader.buffered_bytes == 0, "incomplete packet at the end"
    return packets


def _decode_lenenc_string(payload: bytes, offset: int) -> tuple[bytes, int]:
    """Decodes a length-encoded string; returns it and the offset after it."""
    length, extra_bytes = payload[offset], 0
    if length >= 0xFB:
        extra_bytes = {0xFC: 2, 0xFD: 3}[length]
        length = int.from_bytes(payload[offset + 1 : offset + 1 + extra_bytes], "little")
    start = offset + 1 + extra_bytes
    assert start + length <= len(payload)
    return payload[start : start + length], start + length


def decode_result_set(data: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """Returns the rows of one complete text result set; raises ``ServerError`` for an ERR_Packet.

    Checks all sequence ids and the structure of all packets.
    """
    packets = decode_packets(data)
    assert [number for number, _ in packets] == [number % 256 for number in range(1, len(packets) + 1)]
    if packets[0][1][:1] == b"\xff":
        raise ServerError(packets[0][1])
    assert packets[0][1] == b"\x03"
    for _, column_definition in packets[1:4]:
        assert column_definition.startswith(b"\x03def")
    assert packets[4][1][0] == 0xFE and len(packets[4][1]) == 5
    assert packets[-1][1][0] == 0xFE and len(packets[-1][1]) == 5
    rows = []
    for _, payload in packets[5:-1]:
        first, offset = _decode_lenenc_string(payload, 0)
        second, offset = _decode_lenenc_string(payload, offset)
        third, offset = _decode_lenenc_string(payload, offset)
        assert offset == len(payload)
        rows.append((first, second, third))
    return rows
