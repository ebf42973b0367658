"""MySQL client protocol: packets in a stream, and the numbers and texts inside them."""

from __future__ import annotations

from micahold.protocol.errors import ProtocolError

HEADER_BYTES = 4
LONGEST_PACKET = 0xFFFFFF  # a packet this long continues in the next; no query here is near it


def encode_packet(sequence: int, payload: bytes) -> bytes:
    """One packet; its sequence number counts modulo 256."""
    return len(payload).to_bytes(3, "little") + bytes((sequence & 0xFF,)) + payload


def length_encoded(value: int) -> bytes:
    """A length-encoded integer."""
    if value < 0xFB:
        return bytes((value,))
    if value <= 0xFFFF:
        return b"\xfc" + value.to_bytes(2, "little")
    if value <= 0xFFFFFF:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def length_encoded_text(text: bytes) -> bytes:
    """A text with its length ahead."""
    return length_encoded(len(text)) + text


class PacketReader:
    """Takes bytes in any split and hands out packets one by one; what it keeps is bounded."""

    def __init__(self, most_payload: int, most_kept: int) -> None:
        self.most_payload, self.most_kept = most_payload, most_kept
        self._kept = bytearray()

    def feed(self, data: bytes) -> None:
        self._kept += data
        if len(self._kept) > self.most_kept:
            raise ProtocolError("more sent ahead than is kept")

    def clear(self) -> None:
        """Nothing of this stream is wanted any more."""
        self._kept.clear()

    @property
    def kept(self) -> int:
        """Bytes that came and were not handed out yet."""
        return len(self._kept)

    def next(self) -> tuple[int, bytes] | None:
        """Sequence number and payload of the next whole packet, or None until more has come."""
        kept = self._kept
        if len(kept) < HEADER_BYTES:
            return None
        size = int.from_bytes(kept[:3], "little")
        if size > self.most_payload:
            raise ProtocolError("packet too large")
        end = HEADER_BYTES + size
        if len(kept) < end:
            return None
        sequence, payload = kept[3], bytes(kept[HEADER_BYTES:end])
        del kept[:end]
        return sequence, payload
