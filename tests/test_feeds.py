"""Server-sent events, events of the engine list, and load reports."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micahold import interface as api
from micahold.protocol.engine_list import parse_address, parse_list_event
from micahold.protocol.errors import ProtocolError
from micahold.protocol.event_stream import EventStreamParser, ServerSentEvent
from micahold.protocol.load_report import parse_load_report

STREAM = b": hello\n\nid: 41\r\ndata: one\r\n\r\nevent: x\ndata:two\rdata: three\r\rid:42\n\ndata: four\n\n"
EVENTS = [
    ServerSentEvent(b"41", b"one"),
    ServerSentEvent(b"41", b"two\nthree"),
    ServerSentEvent(b"42", b"four"),
]


def test_events_are_read_from_every_split() -> None:
    for at in range(len(STREAM) + 1):
        stream = EventStreamParser()
        assert stream.feed(STREAM[:at]) + stream.feed(STREAM[at:]) == EVENTS
    stream = EventStreamParser()
    assert [one for at in range(len(STREAM)) for one in stream.feed(STREAM[at : at + 1])] == EVENTS


def test_lines_and_events_are_bounded() -> None:
    with pytest.raises(ProtocolError):
        EventStreamParser(10).feed(b"data: " + b"x" * 20)
    with pytest.raises(ProtocolError):
        EventStreamParser(10).feed(b"data: 123456\ndata: 123456\n")


@given(st.binary(max_size=100), st.integers(0, 100))
def test_any_split_of_any_bytes_gives_the_same_events(data: bytes, at: int) -> None:
    whole, split = EventStreamParser(), EventStreamParser()
    assert split.feed(data[:at]) + split.feed(data[at:]) == whole.feed(data)


NEWS = (
    b'{"cursor":41,"nodes":{"revision":7,"complete":false,"members":[{"id":"s-1","host_port":"10.1.0.9:4100",'
    b'"locality":"east","flavor":"std","cell":2,"phase":"Ready","size":4,"up_since_ms":1500},'
    b'{"id":"s-2","phase":"Gone"}]}}'
)


def test_news_of_the_list() -> None:
    news = parse_list_event(NEWS, ("west", "east"), ("std",))
    assert news.cursor == 41
    assert news.addresses == {"s-1": ("10.1.0.9", 4100)}
    assert news.update.kind is api.ListKind.CHANGES
    assert news.update.entries[0] == api.EngineEntry(
        "s-1", api.EngineState.UP, zone=1, kind=0, cell=2, started_at=1.5, weight=4.0
    )
    assert news.update.entries[1].state is api.EngineState.GONE


def test_a_whole_list_says_so() -> None:
    news = parse_list_event(NEWS.replace(b"false", b"true"), (), ())
    assert news.update.kind is api.ListKind.FULL


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{}",
        b'{"cursor":1,"nodes":{"members":3}}',
        b'{"cursor":1,"nodes":{"members":[{"id":"a"}]}}',
        NEWS.replace(b"Ready", b"Sleeping"),
        NEWS.replace(b"10.1.0.9:4100", b"10.1.0.9"),
        NEWS.replace(b'"cursor":41', b'"cursor":"x"'),
    ],
)
def test_news_that_cannot_be_read_are_an_error(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse_list_event(data, (), ())


@pytest.mark.parametrize("text", ["", ":1", "host", "host:", "host:0", "host:65536", "host:x"])
def test_addresses_that_cannot_be_used(text: str) -> None:
    with pytest.raises(ProtocolError):
        parse_address(text)


def test_load_reports_keep_what_the_settings_name() -> None:
    columns = ("rif", "busy", "x0")
    assert parse_load_report(b"inflight:7;util:0.61;x0:0.5", columns) == {"rif": 7.0, "busy": 0.61, "x0": 0.5}
    assert parse_load_report(b"rif:7; other:1;util:nan;x0;:3", columns) == {"rif": 7.0}
    assert parse_load_report(None, columns) == {}
    assert parse_load_report(b"\xff\xfe;=;::", columns) == {}
