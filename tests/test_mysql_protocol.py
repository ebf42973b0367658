"""MySQL packets, login and results: every split of the bytes, bad input, cells that stay as they came."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_handshake import (
    CLIENT_CONNECT_WITH_DB,
    CLIENT_PROTOCOL_41,
    CLIENT_SECURE_CONNECTION,
    CLIENT_SSL,
    error_payload,
    handshake_payload,
    parse_handshake_response,
)
from micahold.protocol.mysql_packets import PacketReader, encode_lenenc_int, encode_packet
from micahold.protocol.mysql_results import FIRST_ROW_SEQUENCE_ID, ResultSetEncoder
from tests.mysql_client import decode_result_set, handshake_response

CELL = st.binary(max_size=300).map(lambda cell: cell.replace(b"\t", b" ").replace(b"\n", b" "))


def read_all(reader: PacketReader) -> list[tuple[int, bytes]]:
    packets = []
    while (packet := reader.next_packet()) is not None:
        packets.append(packet)
    return packets


def test_packets_come_out_whole_from_every_split() -> None:
    sent = [(0, b""), (1, b"\x03SELECT"), (255, b"x" * 300)]
    data = b"".join(encode_packet(number, payload) for number, payload in sent)
    for at in range(len(data) + 1):
        reader, got = PacketReader(1000, 2000), []
        for part in (data[:at], data[at:]):
            reader.feed(part)
            got += read_all(reader)
        assert got == sent
        assert reader.buffered_bytes == 0


def test_a_packet_larger_than_allowed_is_told_from_its_head() -> None:
    reader = PacketReader(10, 100)
    reader.feed((11).to_bytes(3, "little") + b"\0")
    with pytest.raises(ProtocolError):
        reader.next_packet()


def test_what_is_sent_ahead_is_bounded() -> None:
    reader = PacketReader(10, 100)
    with pytest.raises(ProtocolError):
        reader.feed(bytes(101))


def test_login_without_database_and_with() -> None:
    assert parse_handshake_response(handshake_response(b"app", b"dw")).database == b"dw"
    assert parse_handshake_response(handshake_response(b"app", b"")).user == b"app"


@pytest.mark.parametrize("flags", [0, CLIENT_PROTOCOL_41 | CLIENT_SSL])
def test_login_of_another_protocol_or_with_encryption_is_refused(flags: int) -> None:
    with pytest.raises(ProtocolError):
        parse_handshake_response(flags.to_bytes(4, "little") + bytes(28) + b"app\0\0")


def test_a_login_that_is_cut_short_anywhere_never_gives_another_user() -> None:
    whole = handshake_response(b"app", b"dw", auth_response=b"secret")
    for at in range(len(whole)):
        try:
            login = parse_handshake_response(whole[:at])
        except ProtocolError:
            continue
        assert login.user == b"app"
        assert login.auth_response == b"secret"


@given(st.binary(max_size=200))
def test_any_login_is_read_or_refused(payload: bytes) -> None:
    flags = CLIENT_PROTOCOL_41 | CLIENT_SECURE_CONNECTION | CLIENT_CONNECT_WITH_DB
    for data in (payload, flags.to_bytes(4, "little") + payload):
        with contextlib.suppress(ProtocolError):
            parse_handshake_response(data)


def test_greeting_holds_the_connection_id() -> None:
    payload = handshake_payload(0x01020304, b"s" * 20)
    start = payload.index(b"\0") + 1
    assert payload[start : start + 4] == bytes((4, 3, 2, 1))


def test_error_packets_hold_code_state_and_text() -> None:
    payload = error_payload(1226, "after=20")
    assert payload[:3] == b"\xff\xca\x04"
    assert payload[3:] == b"#42000after=20"


@pytest.mark.parametrize("value", [0, 250, 251, 65535, 65536, 0xFFFFFF, 0x1000000])
def test_lengths_take_the_shortest_form(value: int) -> None:
    data = encode_lenenc_int(value)
    size = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(data[0], 0)
    assert len(data) == 1 + size
    assert (int.from_bytes(data[1:], "little") if size else data[0]) == value


@given(st.lists(st.lists(st.tuples(CELL, CELL, CELL), max_size=4), max_size=4))
def test_rows_come_out_as_the_bytes_that_came(pages: list[list[tuple[bytes, bytes, bytes]]]) -> None:
    rows = ResultSetEncoder()
    for page in pages:
        rows.add_page(b"".join(b"\t".join(row) + b"\n" for row in page))
    assert decode_result_set(rows.finish()) == [row for page in pages for row in page]


def test_sequence_numbers_go_on_past_255() -> None:
    rows = ResultSetEncoder()
    rows.add_page(b"a\tNULL\t\\N\n" * 600)
    reader = PacketReader(1 << 20, 1 << 22)
    reader.feed(rows.finish())
    numbers = [number for number, _ in read_all(reader)]
    assert numbers == [number % 256 for number in range(1, FIRST_ROW_SEQUENCE_ID + 600 + 1)]


@pytest.mark.parametrize("page", [b"a\tb\tc", b"a\tb\n", b"a\tb\tc\td\n", b"\n", b"a\tb\tc\nx"])
def test_a_page_that_is_not_whole_rows_of_three_is_not_read(page: bytes) -> None:
    with pytest.raises(ProtocolError):
        ResultSetEncoder().add_page(page)


def test_an_empty_result_is_a_head_and_an_end() -> None:
    rows = ResultSetEncoder()
    rows.add_page(b"")
    assert decode_result_set(rows.finish()) == []
