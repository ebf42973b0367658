"""MySQL client protocol: packets in a stream, and the numbers and texts inside them."""

from __future__ import annotations

from micahold.protocol.errors import ProtocolError

HEADER_BYTES = 4
MAX_PAYLOAD_BYTES = 0xFFFFFF  # a packet this long continues in the next; no query here is near it


def encode_packet(sequence: int, payload: bytes) -> bytes:
    """One packet; its sequence number counts modulo 256."""
    return len(payload).to_bytes(3, "little") + bytes((sequence & 0xFF,)) + payload


def encode_lenenc_int(value: int) -> bytes:
    """A length-encoded integer."""
    if value < 0xFB:
        return bytes((value,))
    if value <= 0xFFFF:
        return b"\xfc" + value.to_bytes(2, "little")
    if value <= 0xFFFFFF:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def encode_lenenc_string(text: bytes) -> bytes:
    """A text with its length ahead."""
    return encode_lenenc_int(len(text)) + text


class PacketReader:
    """Takes bytes in any split and hands out packets one by one; what it keeps is bounded."""

    def __init__(self, max_payload_bytes: int, max_buffered_bytes: int) -> None:
        self.max_payload_bytes, self.max_buffered_bytes = max_payload_bytes, max_buffered_bytes
        self._kept = bytearray()

    def feed(self, data: bytes) -> None:
        self._kept += data
        if len(self._kept) > self.max_buffered_bytes:
            raise ProtocolError("more sent ahead than is kept")

    def clear(self) -> None:
        """Nothing of this stream is wanted any more."""
        self._kept.clear()

    @property
    def buffered_bytes(self) -> int:
        """Bytes that came and were not handed out yet."""
        return len(self._kept)

    def next_packet(self) -> tuple[int, bytes] | None:
        """Sequence number and payload of the next whole packet, or None until more has come."""
        kept = self._kept
        if len(kept) < HEADER_BYTES:
            return None
        size = int.from_bytes(kept[:3], "little")
        if size > self.max_payload_bytes:
            raise ProtocolError("packet too large")
        end = HEADER_BYTES + size
        if len(kept) < end:
            return None
        sequence, payload = kept[3], bytes(kept[HEADER_BYTES:end])
        del kept[:end]
        return sequence, payload
