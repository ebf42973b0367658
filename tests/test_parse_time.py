"""Tests that the time of the parsers grows with the length of their input and not faster.

The front runs one event loop: while a parser is busy, no client is answered.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import pytest

from micahold.protocol.event_stream import MAX_LINE_BYTES, EventStreamParser
from micahold.protocol.mysql_packets import PacketReader, encode_packet
from micahold.protocol.query_fields import parse_kill_query, parse_query
from micahold.protocol.table_group import find_table_group, has_multiple_statements
from micahold.transport.clients import MAX_PACKET_BYTES, MAX_SESSION_BUFFER_BYTES

FIELDS = b"/* id=9b1f03aa5c7e2d41,class=report,wait=1500 */ "
# About the largest statement that a client can send in one packet.
STATEMENT_BYTES = 60_000
# A final answer may be half a second late, and a front may have half a core.
MAX_CPU_S = 0.25
MEASUREMENTS = 3


def least_cpu_time(function: Callable[..., Any], *arguments: Any) -> float:
    """The least processor time in seconds of a few calls; other processes don't count."""
    times = []
    for _ in range(MEASUREMENTS):
        began_at = time.thread_time()
        function(*arguments)
        times.append(time.thread_time() - began_at)
        if times[-1] <= MAX_CPU_S:
            break
    return min(times)


def fill(start: bytes, fragment: bytes, end: bytes) -> bytes:
    """``start`` and ``end`` with as many fragments between them as fit a statement."""
    return start + fragment * ((STATEMENT_BYTES - len(start) - len(end)) // len(fragment)) + end


@pytest.mark.parametrize("end", [b"", b"\\", b"\\x;y", b";x"])
@pytest.mark.parametrize("fragment", [b"\\'", b'\\"', b"''", b'""', b"``", b"\\`", b"x``", b"'\\'", b"\\\\'"])
@pytest.mark.parametrize("start", [b"INSERT INTO staging.t VALUES ('", b'SELECT "', b"SELECT 1 FROM `"])
def test_statement_cut_off_in_a_string_does_not_hold_up_the_event_loop(
    start: bytes, fragment: bytes, end: bytes
) -> None:
    """Guards against a string without an end that is read again from each of its quotes."""
    statement = fill(start, fragment, end)
    assert least_cpu_time(find_table_group, statement) <= MAX_CPU_S
    assert least_cpu_time(has_multiple_statements, statement) <= MAX_CPU_S


def test_query_cut_off_in_a_string_does_not_hold_up_the_event_loop() -> None:
    """Guards against one client's packet that stops the front for all others."""
    statement = b"INSERT INTO staging.notes VALUES ('" + b"\\'" * (STATEMENT_BYTES // 2) + b"\\"
    assert least_cpu_time(parse_query, FIELDS + statement) <= MAX_CPU_S


@pytest.mark.parametrize("schema", [b"a" * 30_000, b"_1" * 15_000, b"_123456789" * 3_000 + b"x"])
def test_name_of_many_parts_does_not_hold_up_the_event_loop(schema: bytes) -> None:
    """Guards against a schema that is searched for its group again at each further part of the name."""
    statement = fill(b"SELECT 1 FROM " + schema, b".a", b"")
    assert least_cpu_time(find_table_group, statement) <= MAX_CPU_S


@pytest.mark.parametrize("space", [b" ", b"\n", b"\t ;", b"; "])
@pytest.mark.parametrize("start", [b"", b"KILL", b"KILL QUERY", b"KILL QUERY 1", b"KILL QUERY 1;"])
def test_kill_query_with_long_white_space_does_not_hold_up_the_event_loop(start: bytes, space: bytes) -> None:
    """Guards against white space that is divided in every way before a text turns out to be no KILL QUERY."""
    assert least_cpu_time(parse_kill_query, fill(start, space, b"x")) <= MAX_CPU_S
    assert least_cpu_time(parse_kill_query, fill(start, space, b"")) <= MAX_CPU_S


def feed_in_pieces(data: bytes, piece_bytes: int) -> int:
    """Feeds an event stream piece by piece and returns the number of events."""
    parser = EventStreamParser()
    pieces = (data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes))
    return sum(len(parser.feed(piece)) for piece in pieces)


def test_long_event_in_small_pieces_does_not_hold_up_the_event_loop() -> None:
    """Guards against a line of the channel that is split again from its beginning at each piece."""
    data = b"id: 4\r\ndata: " + b"x" * (MAX_LINE_BYTES // 4) + b"\r\n\r\n"
    assert feed_in_pieces(data, 100) == 1
    assert least_cpu_time(feed_in_pieces, data, 100) <= MAX_CPU_S


def read_pings_behind_many_reads() -> int:
    """Reads as many small packets as one session may buffer, which came in many reads."""
    reader = PacketReader(MAX_PACKET_BYTES, MAX_SESSION_BUFFER_BYTES)
    ping = encode_packet(0, b"\x0e")
    for number in range(MAX_SESSION_BUFFER_BYTES // len(ping)):
        reader.feed(ping, float(number))
    return sum(1 for _ in iter(reader.next_packet, None))


def test_small_packets_that_came_in_many_reads_do_not_hold_up_the_event_loop() -> None:
    """Guards against arrivals that are gone through again for each packet."""
    assert read_pings_behind_many_reads() == MAX_SESSION_BUFFER_BYTES // 5
    assert least_cpu_time(read_pings_behind_many_reads) <= MAX_CPU_S
