"""Tests of the MySQL packet reader, connection phase and result set encoder, including malformed input."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_errors import ErrorCode
from micahold.protocol.mysql_handshake import (
    CLIENT_CONNECT_WITH_DB,
    CLIENT_PROTOCOL_41,
    CLIENT_SECURE_CONNECTION,
    CLIENT_SSL,
    error_payload,
    handshake_payload,
    parse_handshake_response,
)
from micahold.protocol.mysql_packets import (
    HEADER_BYTES,
    MAX_ARRIVALS,
    PacketReader,
    encode_lenenc_int,
    encode_packet,
)
from micahold.protocol.mysql_results import FIRST_ROW_SEQUENCE_ID, MAX_RESULT_BYTES, ResultSetEncoder
from tests.mysql_client import decode_result_set, handshake_response

Row = tuple[bytes, bytes, bytes]
VALUE = st.binary(max_size=300).map(lambda value: value.replace(b"\t", b" ").replace(b"\n", b" "))


def read_packets(reader: PacketReader) -> list[tuple[int, bytes]]:
    """Returns sequence id and payload of all complete packets."""
    packets = []
    while (packet := reader.next_packet()) is not None:
        packets.append(packet)
    return packets


def test_packets_are_read_from_every_split() -> None:
    packets = [(0, b""), (1, b"\x03SELECT"), (255, b"x" * 300)]
    data = b"".join(encode_packet(sequence_id, payload) for sequence_id, payload in packets)
    for split in range(len(data) + 1):
        reader, packets_read = PacketReader(1000, 2000), []
        for part in (data[:split], data[split:]):
            reader.feed(part)
            packets_read += read_packets(reader)
        assert packets_read == packets
        assert reader.buffered_bytes == 0


def test_packet_has_the_arrival_of_its_last_byte() -> None:
    """Guards against a query that is given the time of what came behind it on its connection."""
    reader = PacketReader(1000, 2000)
    first, second, third = (encode_packet(number, b"x" * 10) for number in range(3))
    reader.feed(first + second[:3], 1.0)
    reader.feed(second[3:5], 2.0)
    reader.feed(second[5:], 3.0)
    reader.feed(third, 4.0)
    arrivals = []
    while reader.next_packet() is not None:
        arrivals.append(reader.packet_arrived_at)
    assert arrivals == [1.0, 3.0, 4.0]


def test_arrivals_are_kept_for_a_bounded_number_of_reads_and_never_later_than_they_were() -> None:
    reader = PacketReader(1000, 1_000_000)
    packet = encode_packet(0, b"x")
    for number in range(3 * MAX_ARRIVALS):
        reader.feed(packet, float(number))
    for number in range(3 * MAX_ARRIVALS):
        assert reader.next_packet() is not None
        assert min(number, MAX_ARRIVALS - 1) == reader.packet_arrived_at


@given(st.lists(st.integers(0, 40), max_size=12), st.lists(st.integers(1, 30), min_size=40, max_size=80))
def test_arrivals_hold_for_any_split(payload_sizes: list[int], read_sizes: list[int]) -> None:
    data = b"".join(encode_packet(0, bytes(size)) for size in payload_sizes)
    packet_ends, position = [], 0
    for size in payload_sizes:
        position += HEADER_BYTES + size
        packet_ends.append(position)
    reader, arrivals, arrived, position = PacketReader(1000, 10_000), [], {}, 0
    for number, size in enumerate([*read_sizes, len(data)]):
        arrived.update(dict.fromkeys(range(position + 1, min(len(data), position + size) + 1), float(number)))
        reader.feed(data[position : position + size], float(number))
        position += size
        if number % 3 == 0:  # in between, packets wait
            while reader.next_packet() is not None:
                arrivals.append(reader.packet_arrived_at)
    while reader.next_packet() is not None:
        arrivals.append(reader.packet_arrived_at)
    assert arrivals == [arrived[end] for end in packet_ends]


def test_oversized_packet_is_rejected_from_its_header() -> None:
    reader = PacketReader(10, 100)
    reader.feed((11).to_bytes(3, "little") + b"\0")
    with pytest.raises(ProtocolError):
        reader.next_packet()


def test_buffered_data_is_bounded() -> None:
    reader = PacketReader(10, 100)
    with pytest.raises(ProtocolError):
        reader.feed(bytes(101))


def test_handshake_response_with_and_without_database_is_parsed() -> None:
    assert parse_handshake_response(handshake_response(b"app", b"dw")).database == b"dw"
    assert parse_handshake_response(handshake_response(b"app", b"")).user == b"app"


@pytest.mark.parametrize("flags", [0, CLIENT_PROTOCOL_41 | CLIENT_SSL])
def test_handshake_response_of_another_protocol_or_with_tls_is_rejected(flags: int) -> None:
    with pytest.raises(ProtocolError):
        parse_handshake_response(flags.to_bytes(4, "little") + bytes(28) + b"app\0\0")


def test_truncated_handshake_response_never_yields_another_user() -> None:
    complete = handshake_response(b"app", b"dw", auth_response=b"secret")
    for length in range(len(complete)):
        try:
            response = parse_handshake_response(complete[:length])
        except ProtocolError:
            continue
        assert response.user == b"app"
        assert response.auth_response == b"secret"


@given(st.binary(max_size=200))
def test_arbitrary_handshake_response_is_parsed_or_rejected(payload: bytes) -> None:
    capabilities = CLIENT_PROTOCOL_41 | CLIENT_SECURE_CONNECTION | CLIENT_CONNECT_WITH_DB
    for data in (payload, capabilities.to_bytes(4, "little") + payload):
        with contextlib.suppress(ProtocolError):
            parse_handshake_response(data)


def test_handshake_has_the_connection_id_after_the_server_version() -> None:
    payload = handshake_payload(0x01020304, b"s" * 20)
    start = payload.index(b"\0") + 1
    assert payload[start : start + 4] == bytes((4, 3, 2, 1))


def test_error_payload_has_code_sqlstate_and_message() -> None:
    payload = error_payload(ErrorCode.USER_LIMIT_REACHED, "after=20")
    assert payload[:3] == b"\xff\xca\x04"
    assert payload[3:] == b"#42000after=20"


@pytest.mark.parametrize("value", [0, 250, 251, 65535, 65536, 0xFFFFFF, 0x1000000])
def test_length_encoded_integer_uses_the_shortest_form(value: int) -> None:
    data = encode_lenenc_int(value)
    extra_bytes = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(data[0], 0)
    assert len(data) == 1 + extra_bytes
    assert (int.from_bytes(data[1:], "little") if extra_bytes else data[0]) == value


@given(st.lists(st.lists(st.tuples(VALUE, VALUE, VALUE), max_size=4), max_size=4))
def test_rows_decode_to_the_bytes_of_the_pages(pages: list[list[tuple[bytes, bytes, bytes]]]) -> None:
    encoder = ResultSetEncoder()
    for page in pages:
        encoder.add_page(b"".join(b"\t".join(row) + b"\n" for row in page))
    assert decode_result_set(encoder.finish()) == [row for page in pages for row in page]


def test_sequence_ids_wrap_around_after_255() -> None:
    encoder = ResultSetEncoder()
    encoder.add_page(b"a\tNULL\t\\N\n" * 600)
    reader = PacketReader(1 << 20, 1 << 22)
    reader.feed(encoder.finish())
    sequence_ids = [sequence_id for sequence_id, _ in read_packets(reader)]
    assert sequence_ids == [number % 256 for number in range(1, FIRST_ROW_SEQUENCE_ID + 600 + 1)]


@pytest.mark.parametrize("page", [b"a\tb\tc", b"a\tb\n", b"a\tb\tc\td\n", b"\n", b"a\tb\tc\nx"])
def test_page_with_an_incomplete_row_or_a_wrong_number_of_columns_is_rejected(page: bytes) -> None:
    with pytest.raises(ProtocolError):
        ResultSetEncoder().add_page(page)


# Each can't be read, from its first row on, from a later one, or because of its size.
SPOILT_PAGES = (b"\x01\n", b"a\tb\tc\n\x01\n", b"a\tb\tc\n" * 3 + b"a\tb", b"a\tb\tc\n" * 11_000)


@given(
    st.lists(st.one_of(st.sampled_from(SPOILT_PAGES), st.lists(st.tuples(VALUE, VALUE, VALUE), max_size=4)))
)
def test_nothing_of_a_page_that_is_rejected_gets_into_the_result(pages: list[bytes | list[Row]]) -> None:
    """Guards against rows ahead of a spoilt one that are served a second time with the page's repeat."""
    encoder, expected = ResultSetEncoder(), ResultSetEncoder()
    for page in pages:
        if isinstance(page, bytes):
            with pytest.raises(ProtocolError):
                encoder.add_page(page)
        else:
            good_page = b"".join(b"\t".join(row) + b"\n" for row in page)
            encoder.add_page(good_page)
            expected.add_page(good_page)
    assert encoder.finish() == expected.finish()


@given(*[st.lists(st.lists(st.tuples(VALUE, VALUE, VALUE), max_size=4), max_size=4)] * 3)
def test_pages_that_are_removed_leave_nothing_in_the_result(
    kept: list[list[Row]], removed: list[list[Row]], added: list[list[Row]]
) -> None:
    """Guards against rows of a page that was cut off beside those of its repeat."""
    encoder, expected = ResultSetEncoder(), ResultSetEncoder()

    def add(pages: list[list[Row]], *encoders: ResultSetEncoder) -> None:
        for page in pages:
            for one in encoders:
                one.add_page(b"".join(b"\t".join(row) + b"\n" for row in page))

    add(kept, encoder, expected)
    mark = encoder.mark()
    add(removed, encoder)
    encoder.remove_behind(mark)
    add(added, encoder, expected)
    assert encoder.finish() == expected.finish()


def test_rejected_page_does_not_count_towards_the_size_of_the_result() -> None:
    """Guards against a large page that is taken for too large when it is requested again."""
    encoder = ResultSetEncoder()
    page = b"a\tb\tc\n" * (MAX_RESULT_BYTES // 6)
    with pytest.raises(ProtocolError):
        encoder.add_page(page + b"x")
    encoder.add_page(page)
    assert len(decode_result_set(encoder.finish())) == MAX_RESULT_BYTES // 6


def test_empty_result_set_has_metadata_and_no_rows() -> None:
    encoder = ResultSetEncoder()
    encoder.add_page(b"")
    assert decode_result_set(encoder.finish()) == []
