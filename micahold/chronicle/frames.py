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

MAGIC, VERSION = b"MCHR", 1
MARKER = b"\xc5\x7e"
HEAD = Struct(">4sBxxx16sIQ")  # magic, version, run, number of the segment, first sequence
FRAME = Struct(">2sHBBQI")  # marker, payload length, kind, 0, sequence, CRC
MOST_PAYLOAD = 60_000
FARTHEST = 1 << 24  # sequences that may be missing between two whole frames


class SegmentError(Exception):
    """A file that is no segment, or of a version that this one can't read."""


@dataclass(slots=True, frozen=True)
class Header:
    """The first bytes of a segment; ``run`` is 16 bytes."""

    run: bytes
    number: int
    first: int

    def encode(self) -> bytes:
        data = HEAD.pack(MAGIC, VERSION, self.run, self.number, self.first)
        return data + _crc(data).to_bytes(4, "big")


HEADER_SIZE = HEAD.size + 4


@dataclass(slots=True, frozen=True)
class Frame:
    """One whole record, still encoded, and the offset behind it."""

    sequence: int
    kind: int
    payload: bytes
    end: int


@dataclass(slots=True, frozen=True)
class Gap:
    """Damage from ``begin`` to ``end``; ``lost`` records, None at the end of the data: nobody can tell."""

    begin: int
    end: int
    lost: int | None


def _crc(data: bytes) -> int:
    return int(google_crc32c.value(data))


def encode_frame(run: bytes, sequence: int, kind: int, payload: bytes) -> bytes:
    """The bytes of one frame; ``ValueError`` where the payload is too long for one."""
    if len(payload) > MOST_PAYLOAD:
        raise ValueError(f"{len(payload)} bytes of payload")
    bare = FRAME.pack(MARKER, len(payload), kind, 0, sequence, 0)
    return FRAME.pack(MARKER, len(payload), kind, 0, sequence, _crc(run + bare + payload)) + payload


def read_header(data: bytes) -> Header:
    """``SegmentError`` where it is none, or damaged."""
    if len(data) < HEADER_SIZE:
        raise SegmentError("too short for a header")
    magic, version, run, number, first = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise SegmentError("no segment")
    if _crc(data[: HEAD.size]) != int.from_bytes(data[HEAD.size : HEADER_SIZE], "big"):
        raise SegmentError("damaged header")
    if version != VERSION:
        raise SegmentError(f"version {version}")
    return Header(run, number, first)


def _frame_at(data: bytes, at: int, run: bytes, least: int) -> Frame | None:
    """The whole frame that begins there, if its sequence is one that may come next."""
    if at + FRAME.size > len(data) or data[at : at + 2] != MARKER:
        return None
    _, length, kind, spare, sequence, crc = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if length > MOST_PAYLOAD or end > len(data) or not least <= sequence < least + FARTHEST:
        return None
    payload = data[at + FRAME.size : end]
    if _crc(run + FRAME.pack(MARKER, length, kind, spare, sequence, 0) + payload) != crc:
        return None
    return Frame(sequence, kind, payload, end)


def scan(data: bytes, run: bytes, at: int = HEADER_SIZE, least: int = 0) -> Iterator[Frame | Gap]:
    """Whole frames in order, and the damage between; ``least`` is the first sequence that may come."""
    while at < len(data):
        frame = _frame_at(data, at, run, least)
        if frame is None:
            found = data.find(MARKER, at + 1)
            while found >= 0 and (frame := _frame_at(data, found, run, least)) is None:
                found = data.find(MARKER, found + 1)
            if frame is None:
                yield Gap(at, len(data), None)
                return
            yield Gap(at, found, frame.sequence - least)
        elif frame.sequence > least:
            yield Gap(at, at, frame.sequence - least)
        yield frame
        at, least = frame.end, frame.sequence + 1
