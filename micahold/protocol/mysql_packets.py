"""Packets and length-encoded values of the MySQL client/server protocol."""

from __future__ import annotations

from collections import deque

from micahold.protocol.errors import ProtocolError

HEADER_BYTES = 4
# Reads whose arrival is remembered while packets wait; later ones count as arrived with the last of these.
MAX_ARRIVALS = 256
# A packet with a payload of this length continues in the next one; no query here comes near it.
MAX_PAYLOAD_BYTES = 0xFFFFFF


def encode_packet(sequence_id: int, payload: bytes) -> bytes:
    """Encodes one packet; the sequence id is reduced modulo 256."""
    return len(payload).to_bytes(3, "little") + bytes((sequence_id & 0xFF,)) + payload


def encode_lenenc_int(value: int) -> bytes:
    """Encodes a length-encoded integer, ``int<lenenc>``."""
    if value < 0xFB:
        return bytes((value,))
    if value <= 0xFFFF:
        return b"\xfc" + value.to_bytes(2, "little")
    if value <= 0xFFFFFF:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def encode_lenenc_string(text: bytes) -> bytes:
    """Encodes a length-encoded string, ``string<lenenc>``."""
    return encode_lenenc_int(len(text)) + text


class PacketReader:
    """Splits received data, which may arrive in any split, into packets; the data it buffers is bounded."""

    def __init__(self, max_payload_bytes: int, max_buffered_bytes: int) -> None:
        self.max_payload_bytes = max_payload_bytes
        self.max_buffered_bytes = max_buffered_bytes
        self._buffer = bytearray()
        self.packet_arrived_at = 0.0  # arrival of the last byte of the packet that was returned last
        self._consumed_bytes = 0  # of all packets returned so far
        # By read: number of bytes received up to its end, and its arrival.
        self._arrivals: deque[tuple[int, float]] = deque()

    def feed(self, data: bytes, arrived_at: float = 0.0) -> None:
        """Buffers received data; raises ``ProtocolError`` if more is buffered than the limit."""
        self._buffer += data
        if data:
            if len(self._arrivals) >= MAX_ARRIVALS:
                arrived_at = self._arrivals.pop()[1]
            self._arrivals.append((self._consumed_bytes + len(self._buffer), arrived_at))
        if len(self._buffer) > self.max_buffered_bytes:
            raise ProtocolError("more sent ahead than is kept")

    def clear(self) -> None:
        """Discards the buffered data of a connection that is being closed."""
        self._consumed_bytes += len(self._buffer)
        self._buffer.clear()
        self._arrivals.clear()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received and not yet returned in a packet."""
        return len(self._buffer)

    def next_packet(self) -> tuple[int, bytes] | None:
        """Returns sequence id and payload of the next packet, or None if it is incomplete.

        Raises ``ProtocolError`` if the header announces a payload above the limit.
        """
        buffer = self._buffer
        if len(buffer) < HEADER_BYTES:
            self._forget_arrivals_but_last()
            return None
        packet_end = HEADER_BYTES + self._next_payload_bytes()
        if len(buffer) < packet_end:
            self._forget_arrivals_but_last()
            return None
        sequence_id = buffer[3]
        payload = bytes(buffer[HEADER_BYTES:packet_end])
        del buffer[:packet_end]
        self._consume(packet_end)
        return sequence_id, payload

    def _next_payload_bytes(self) -> int:
        payload_bytes = int.from_bytes(self._buffer[:3], "little")
        if payload_bytes > self.max_payload_bytes:
            raise ProtocolError("packet too large")
        return payload_bytes

    def check_next_command(self) -> None:
        """Checks the header of the next packet, without taking it, if that much has been received.

        Raises ``ProtocolError`` if no command begins there: it is the rest of a packet whose stated length is
        too short, or noise.
        """
        if len(self._buffer) >= HEADER_BYTES:
            self._next_payload_bytes()
            if self._buffer[HEADER_BYTES - 1]:
                raise ProtocolError("packet out of order")

    def _forget_arrivals_but_last(self) -> None:
        """The packet that comes next is incomplete, so it will have arrived with the last read or later."""
        while len(self._arrivals) > 1:
            self._arrivals.popleft()

    def _consume(self, packet_bytes: int) -> None:
        """Counts a packet that is returned, and notes the arrival of its last byte."""
        self._consumed_bytes += packet_bytes
        while self._arrivals and self._arrivals[0][0] < self._consumed_bytes:
            self._arrivals.popleft()
        if self._arrivals:
            self.packet_arrived_at = self._arrivals[0][1]
