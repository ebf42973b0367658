"""Log segments of framed records, from which every intact record can be read after any damage to the file.

A segment is a header followed by frames. A frame holds a marker, the payload length, the kind, the sequence
number, a checksum and the payload. The checksum is a CRC32C of the run id, the frame header with its checksum
field set to 0, and the payload. Sequence numbers of a run increase by one, so that the number of missing
records is known.

After damage the reader searches for the next offset where marker, length, sequence number and checksum all
fit, so that damaged bytes yield no record and the intact records before and after the damage are kept. The
checksum covers the run id, so that frames of an older file in a reused disk block do not match.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct

import google_crc32c

MAGIC = b"MCHR"
FORMAT_VERSION = 1
FRAME_MARKER = b"\xc5\x7e"
HEADER_STRUCT = Struct(">4sBxxx16sIQ")  # magic, version, run id, segment number, first sequence number
FRAME_STRUCT = Struct(">2sHBBQI")  # marker, payload length, kind, reserved (0), sequence number, checksum
MAX_PAYLOAD_BYTES = 60_000
MAX_SEQUENCE_GAP = 1 << 24  # bound on records missing between two intact frames


class SegmentError(Exception):
    """The file is not a segment, its header is damaged, or its format version is not supported."""


@dataclass(slots=True, frozen=True)
class SegmentHeader:
    """The header of a segment; ``run_id`` has 16 bytes."""

    run_id: bytes
    segment_number: int
    first_sequence_number: int

    def encode(self) -> bytes:
        """Returns the header's bytes, with its CRC32C in the last four."""
        data = HEADER_STRUCT.pack(
            MAGIC, FORMAT_VERSION, self.run_id, self.segment_number, self.first_sequence_number
        )
        return data + _crc32c(data).to_bytes(4, "big")


SEGMENT_HEADER_BYTES = HEADER_STRUCT.size + 4


@dataclass(slots=True, frozen=True)
class Frame:
    """An intact frame: the record, still encoded, and the offset just after the frame."""

    sequence_number: int
    kind: int
    payload: bytes
    end_offset: int


@dataclass(slots=True, frozen=True)
class Gap:
    """A gap from ``start_offset`` to ``end_offset``, where records are damaged or missing.

    ``lost_records`` is their number, by the sequence numbers on both sides. It is None at the end of the
    data, where no later sequence number shows it. The offsets are equal where records are missing without
    damage.
    """

    start_offset: int
    end_offset: int
    lost_records: int | None


def _crc32c(data: bytes) -> int:
    return int(google_crc32c.value(data))


def encode_frame(run_id: bytes, sequence_number: int, kind: int, payload: bytes) -> bytes:
    """Returns the bytes of a frame; ``ValueError`` if the payload exceeds ``MAX_PAYLOAD_BYTES``."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"payload of {len(payload)} bytes exceeds the maximum frame payload")
    header_without_checksum = FRAME_STRUCT.pack(FRAME_MARKER, len(payload), kind, 0, sequence_number, 0)
    return (
        FRAME_STRUCT.pack(
            FRAME_MARKER,
            len(payload),
            kind,
            0,
            sequence_number,
            _crc32c(run_id + header_without_checksum + payload),
        )
        + payload
    )


def decode_header(data: bytes) -> SegmentHeader:
    """Decodes the header at the beginning of a segment; ``SegmentError`` if it is missing or damaged."""
    if len(data) < SEGMENT_HEADER_BYTES:
        raise SegmentError("file is shorter than a segment header")
    magic, version, run_id, segment_number, first_sequence_number = HEADER_STRUCT.unpack_from(data)
    if magic != MAGIC:
        raise SegmentError("magic bytes of a segment are missing")
    if _crc32c(data[: HEADER_STRUCT.size]) != int.from_bytes(
        data[HEADER_STRUCT.size : SEGMENT_HEADER_BYTES], "big"
    ):
        raise SegmentError("segment header checksum does not match")
    if version != FORMAT_VERSION:
        raise SegmentError(f"segment format version {version} is not supported")
    return SegmentHeader(run_id, segment_number, first_sequence_number)


def _frame_at(data: bytes, offset: int, run_id: bytes, min_sequence_number: int) -> Frame | None:
    """Returns the intact frame that begins at the offset, or None.

    A frame counts only with a sequence number from ``min_sequence_number`` to less than ``MAX_SEQUENCE_GAP``
    above it.
    """
    if offset + FRAME_STRUCT.size > len(data) or data[offset : offset + 2] != FRAME_MARKER:
        return None
    _, length, kind, reserved, sequence_number, checksum = FRAME_STRUCT.unpack_from(data, offset)
    end_offset = offset + FRAME_STRUCT.size + length
    if (
        length > MAX_PAYLOAD_BYTES
        or end_offset > len(data)
        or not min_sequence_number <= sequence_number < min_sequence_number + MAX_SEQUENCE_GAP
    ):
        return None
    payload = data[offset + FRAME_STRUCT.size : end_offset]
    if (
        _crc32c(
            run_id + FRAME_STRUCT.pack(FRAME_MARKER, length, kind, reserved, sequence_number, 0) + payload
        )
        != checksum
    ):
        return None
    return Frame(sequence_number, kind, payload, end_offset)


def scan_frames(
    data: bytes, run_id: bytes, offset: int = SEGMENT_HEADER_BYTES, min_sequence_number: int = 0
) -> Iterator[Frame | Gap]:
    """Yields the intact frames from ``offset`` on in order, and a gap where records are damaged or missing.

    ``min_sequence_number`` is the sequence number expected first; frames with a lower one are not accepted.
    """
    while offset < len(data):
        frame = _frame_at(data, offset, run_id, min_sequence_number)
        if frame is None:
            candidate = data.find(FRAME_MARKER, offset + 1)
            while (
                candidate >= 0 and (frame := _frame_at(data, candidate, run_id, min_sequence_number)) is None
            ):
                candidate = data.find(FRAME_MARKER, candidate + 1)
            if frame is None:
                yield Gap(offset, len(data), None)
                return
            yield Gap(offset, candidate, frame.sequence_number - min_sequence_number)
        elif frame.sequence_number > min_sequence_number:
            yield Gap(offset, offset, frame.sequence_number - min_sequence_number)
        yield frame
        offset, min_sequence_number = frame.end_offset, frame.sequence_number + 1
