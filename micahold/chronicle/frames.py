"""Segments of framed records: what was whole is found again, whatever happened to the file.

A segment is a header and frames, one after the other. A frame is marker, payload length, kind, sequence,
CRC32C of all that and of the run, payload. Sequences of a run go up by one, so that what is missing is known
to the record. A reader that meets damage looks for the next place where marker, length, sequence and CRC all
fit: so no record is invented, and none before the damage is lost. The run is part of the CRC: frames of an
older file in a reused block don't fit.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct

import google_crc32c

MAGIC, FORMAT_VERSION = b"MCHR", 1
FRAME_MARKER = b"\xc5\x7e"
HEADER_STRUCT = Struct(">4sBxxx16sIQ")  # magic, version, run, number of the segment, first sequence
FRAME_STRUCT = Struct(">2sHBBQI")  # marker, payload length, kind, 0, sequence_number, CRC
MAX_PAYLOAD_BYTES = 60_000
MAX_SEQUENCE_GAP = 1 << 24  # sequences that may be missing between two whole frames


class SegmentError(Exception):
    """A file that is no segment, or of a version that this one can't read."""


@dataclass(slots=True, frozen=True)
class SegmentHeader:
    """The first bytes of a segment; ``run_id`` is 16 bytes."""

    run_id: bytes
    segment_number: int
    first_sequence_number: int

    def encode(self) -> bytes:
        data = HEADER_STRUCT.pack(
            MAGIC, FORMAT_VERSION, self.run_id, self.segment_number, self.first_sequence_number
        )
        return data + _crc(data).to_bytes(4, "big")


SEGMENT_HEADER_BYTES = HEADER_STRUCT.size + 4


@dataclass(slots=True, frozen=True)
class Frame:
    """One whole record, still encoded, and the offset behind it."""

    sequence_number: int
    kind: int
    payload: bytes
    end_offset: int


@dataclass(slots=True, frozen=True)
class Gap:
    """Damage from ``start_offset`` to ``end_offset``; ``lost_records`` records, None at the end of the data:
    nobody can tell.
    """

    start_offset: int
    end_offset: int
    lost_records: int | None


def _crc(data: bytes) -> int:
    return int(google_crc32c.value(data))


def encode_frame(run_id: bytes, sequence_number: int, kind: int, payload: bytes) -> bytes:
    """The bytes of one frame; ``ValueError`` where the payload is too long for one."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"{len(payload)} bytes of payload")
    bare = FRAME_STRUCT.pack(FRAME_MARKER, len(payload), kind, 0, sequence_number, 0)
    return (
        FRAME_STRUCT.pack(FRAME_MARKER, len(payload), kind, 0, sequence_number, _crc(run_id + bare + payload))
        + payload
    )


def decode_header(data: bytes) -> SegmentHeader:
    """``SegmentError`` where it is none, or damaged."""
    if len(data) < SEGMENT_HEADER_BYTES:
        raise SegmentError("too short for a header")
    magic, version, run, number, first = HEADER_STRUCT.unpack_from(data)
    if magic != MAGIC:
        raise SegmentError("no segment")
    if _crc(data[: HEADER_STRUCT.size]) != int.from_bytes(
        data[HEADER_STRUCT.size : SEGMENT_HEADER_BYTES], "big"
    ):
        raise SegmentError("damaged header")
    if version != FORMAT_VERSION:
        raise SegmentError(f"version {version}")
    return SegmentHeader(run, number, first)


def _frame_at(data: bytes, at: int, run: bytes, least: int) -> Frame | None:
    """The whole frame that begins there, if its sequence is one that may come next."""
    if at + FRAME_STRUCT.size > len(data) or data[at : at + 2] != FRAME_MARKER:
        return None
    _, length, kind, spare, sequence, crc = FRAME_STRUCT.unpack_from(data, at)
    end = at + FRAME_STRUCT.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data) or not least <= sequence < least + MAX_SEQUENCE_GAP:
        return None
    payload = data[at + FRAME_STRUCT.size : end]
    if _crc(run + FRAME_STRUCT.pack(FRAME_MARKER, length, kind, spare, sequence, 0) + payload) != crc:
        return None
    return Frame(sequence, kind, payload, end)


def scan_frames(
    data: bytes, run_id: bytes, offset: int = SEGMENT_HEADER_BYTES, min_sequence_number: int = 0
) -> Iterator[Frame | Gap]:
    """Whole frames in order, and the damage between; ``min_sequence_number`` is the first sequence that may
    come.
    """
    while offset < len(data):
        frame = _frame_at(data, offset, run_id, min_sequence_number)
        if frame is None:
            found = data.find(FRAME_MARKER, offset + 1)
            while found >= 0 and (frame := _frame_at(data, found, run_id, min_sequence_number)) is None:
                found = data.find(FRAME_MARKER, found + 1)
            if frame is None:
                yield Gap(offset, len(data), None)
                return
            yield Gap(offset, found, frame.sequence_number - min_sequence_number)
        elif frame.sequence_number > min_sequence_number:
            yield Gap(offset, offset, frame.sequence_number - min_sequence_number)
        yield frame
        offset, min_sequence_number = frame.end_offset, frame.sequence_number + 1
