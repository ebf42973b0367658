"""HTTP answers from every split of the bytes, and what is not one."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import MAX_HEAD_BYTES, HttpResponse, ResponseParser, encode_request

SIZED = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 5\r\n\r\nhello"
EMPTY = b"HTTP/1.1 204 No Content\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nA: b\r\n\r\n"


def read(parts: list[bytes]) -> list[HttpResponse]:
    reader = ResponseParser()
    return [one for part in parts if (one := reader.feed(part)) is not None]


@pytest.mark.parametrize(
    ("data", "body"), [(SIZED, b"hello"), (EMPTY, b""), (INTERIM, b"hello"), (CHUNKED, b"hello")]
)
def test_an_answer_is_read_from_every_split(data: bytes, body: bytes) -> None:
    for at in range(len(data)):
        answers = read([data[:at], data[at:]])
        assert [one.body for one in answers] == [body]
        assert answers[0].keep_alive
    assert [one.body for one in read([data[at : at + 1] for at in range(len(data))])] == [body]


def test_answers_follow_each_other_on_one_connection() -> None:
    reader = ResponseParser()
    for data, status in ((CHUNKED, 200), (SIZED, 200), (EMPTY, 204)):
        answer = reader.feed(data)
        assert answer is not None and answer.status == status


def test_names_of_headers_are_in_lower_case_and_values_as_they_came() -> None:
    (answer,) = read([b"HTTP/1.1 503 x\r\nSRV-Untouched:  1 \r\nContent-length: 0\r\n\r\n"])
    assert answer.headers[b"srv-untouched"] == b"1"


def test_a_good_answer_with_more_behind_it_counts_and_its_connection_does_not() -> None:
    for behind in (SIZED, b"noise", b"\0", b"HTTP/1.1 100 Continue\r\n\r\n"):
        for whole in (SIZED, CHUNKED, INTERIM):
            for at in range(len(whole)):
                reader = ResponseParser()
                answer = reader.feed(whole[:at]) or reader.feed(whole[at:] + behind)
                assert answer is not None and answer.body == b"hello" and not answer.keep_alive


def test_noise_is_told_before_a_head_could_end() -> None:
    for noise in (b"x", b"HTTQ", b"\x00" * 5, b"HTTP/2 200 OK"):
        with pytest.raises(ProtocolError):
            ResponseParser().feed(noise)


def test_a_body_without_size_ends_with_the_connection() -> None:
    reader = ResponseParser()
    assert reader.feed(b"HTTP/1.1 500 no\r\n\r\nhel") is None
    assert reader.feed(b"lo") is None
    answer = reader.connection_closed()
    assert answer is not None and answer.body == b"hello" and not answer.keep_alive


@pytest.mark.parametrize("at", range(1, len(SIZED)))
def test_a_connection_that_ends_within_a_sized_answer_gives_none(at: int) -> None:
    reader = ResponseParser()
    assert reader.feed(SIZED[:at]) is None
    assert reader.connection_closed() is None


@pytest.mark.parametrize("head", [b"Connection: close\r\n", b"connection: Close\r\n"])
def test_connection_close_is_heeded(head: bytes) -> None:
    (answer,) = read([b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 0\r\n\r\n"])
    assert not answer.keep_alive


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
        b"HTTP/1.1 100 Continue\r\n\r\n" * 40 + SIZED,
    ],
)
def test_what_is_no_answer_or_too_long_is_an_error(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        read([data])
    with pytest.raises(ProtocolError):
        read([data[at : at + 997] for at in range(0, len(data), 997)])


@given(st.binary(max_size=300), st.integers(0, 300))
def test_any_bytes_are_read_or_refused(data: bytes, at: int) -> None:
    for whole in (data, b"HTTP/1.1 200 OK\r\n" + data, CHUNKED[:40] + data):
        with contextlib.suppress(ProtocolError):
            read([whole[:at], whole[at:]])


def test_requests_hold_host_headers_and_length() -> None:
    request = encode_request(b"POST", b"/data", b"h:1", ((b"Via-Id", b"7"),), b"SELECT 1")
    assert request == b"POST /data HTTP/1.1\r\nHost: h:1\r\nVia-Id: 7\r\nContent-Length: 8\r\n\r\nSELECT 1"
