"""Tests of the HTTP request encoder, and of the response parser with every split of the data."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import (
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    HttpResponse,
    ResponseParser,
    encode_request,
)

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 5\r\n\r\nhello"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
WITH_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nA: b\r\n\r\n"


def parse(parts: list[bytes]) -> list[HttpResponse]:
    """Feeds the parts to one parser and returns the complete responses."""
    parser = ResponseParser()
    return [response for part in parts if (response := parser.feed(part)) is not None]


@pytest.mark.parametrize(
    ("data", "body"),
    [(WITH_LENGTH, b"hello"), (NO_CONTENT, b""), (WITH_INTERIM, b"hello"), (CHUNKED, b"hello")],
)
def test_response_is_parsed_from_every_split(data: bytes, body: bytes) -> None:
    for split in range(len(data)):
        responses = parse([data[:split], data[split:]])
        assert [response.body for response in responses] == [body]
        assert responses[0].keep_alive
    assert [response.body for response in parse([data[index : index + 1] for index in range(len(data))])] == [
        body
    ]


def test_successive_responses_on_one_connection_are_parsed() -> None:
    parser = ResponseParser()
    for data, status in ((CHUNKED, 200), (WITH_LENGTH, 200), (NO_CONTENT, 204)):
        response = parser.feed(data)
        assert response is not None and response.status == status


def test_header_names_are_lowercased_and_values_stripped() -> None:
    (response,) = parse([b"HTTP/1.1 503 x\r\nSRV-Untouched:  1 \r\nContent-length: 0\r\n\r\n"])
    assert response.headers[b"srv-untouched"] == b"1"


def test_response_followed_by_more_data_is_valid_but_not_kept_alive() -> None:
    for following in (WITH_LENGTH, b"noise", b"\0", b"HTTP/1.1 100 Continue\r\n\r\n"):
        for whole in (WITH_LENGTH, CHUNKED, WITH_INTERIM):
            for split in range(len(whole)):
                parser = ResponseParser()
                response = parser.feed(whole[:split]) or parser.feed(whole[split:] + following)
                assert response is not None and response.body == b"hello" and not response.keep_alive


def test_other_protocol_is_rejected_before_the_end_of_the_head() -> None:
    for data in (b"x", b"HTTQ", b"\x00" * 5, b"HTTP/2 200 OK"):
        with pytest.raises(ProtocolError):
            ResponseParser().feed(data)


def test_body_without_length_ends_with_the_connection() -> None:
    parser = ResponseParser()
    assert parser.feed(b"HTTP/1.1 500 no\r\n\r\nhel") is None
    assert parser.feed(b"lo") is None
    response = parser.connection_closed()
    assert response is not None and response.body == b"hello" and not response.keep_alive


@pytest.mark.parametrize("split", range(1, len(WITH_LENGTH)))
def test_truncated_response_of_known_length_is_not_returned(split: int) -> None:
    parser = ResponseParser()
    assert parser.feed(WITH_LENGTH[:split]) is None
    assert parser.connection_closed() is None


@pytest.mark.parametrize("header", [b"Connection: close\r\n", b"connection: Close\r\n"])
def test_connection_close_ends_keep_alive(header: bytes) -> None:
    (response,) = parse([b"HTTP/1.1 200 OK\r\n" + header + b"Content-Length: 0\r\n\r\n"])
    assert not response.keep_alive


@pytest.mark.parametrize(
    "data",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 abc\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"x" * (MAX_HEAD_BYTES + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"0" * 2000,
        b"HTTP/1.1 500 no\r\n\r\n" + b"x" * 70000,
        b"HTTP/1.1 200 OK\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 4\r\n\r\nhello",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 40 + WITH_LENGTH,
        b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * (MAX_HEADER_FIELDS + 1) + b"Content-Length: 0\r\n\r\n",
    ],
)
def test_malformed_ambiguous_or_oversized_response_is_rejected(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse([data])
    with pytest.raises(ProtocolError):
        parse([data[start : start + 997] for start in range(0, len(data), 997)])


@given(st.binary(max_size=300), st.integers(0, 300))
def test_arbitrary_data_is_parsed_or_rejected(data: bytes, split: int) -> None:
    for stream in (data, b"HTTP/1.1 200 OK\r\n" + data, CHUNKED[:40] + data):
        with contextlib.suppress(ProtocolError):
            parse([stream[:split], stream[split:]])


def test_request_has_host_headers_and_content_length() -> None:
    request = encode_request(b"POST", b"/data", b"h:1", ((b"Via-Id", b"7"),), b"SELECT 1")
    assert request == b"POST /data HTTP/1.1\r\nHost: h:1\r\nVia-Id: 7\r\nContent-Length: 8\r\n\r\nSELECT 1"
