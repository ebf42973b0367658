"""Tests of the parsers for event streams, engine list events, addresses and load reports."""

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


def test_empty_read_between_carriage_return_and_line_feed_changes_nothing() -> None:
    parser = EventStreamParser()
    events = parser.feed(b"data: a\r") + parser.feed(b"") + parser.feed(b"\ndata: b\n\n")
    assert events == [ServerSentEvent(b"", b"a\nb")]


def test_events_are_parsed_from_every_split() -> None:
    for split in range(len(STREAM) + 1):
        parser = EventStreamParser()
        assert parser.feed(STREAM[:split]) + parser.feed(STREAM[split:]) == EVENTS
    parser = EventStreamParser()
    assert [
        event for index in range(len(STREAM)) for event in parser.feed(STREAM[index : index + 1])
    ] == EVENTS


def test_line_or_event_beyond_the_limit_is_rejected() -> None:
    with pytest.raises(ProtocolError):
        EventStreamParser(10).feed(b"data: " + b"x" * 20)
    with pytest.raises(ProtocolError):
        EventStreamParser(10).feed(b"data: 123456\ndata: 123456\n")


@given(st.binary(max_size=100), st.integers(0, 100))
def test_arbitrary_data_yields_the_same_events_in_any_split(data: bytes, split: int) -> None:
    whole_parser, split_parser = EventStreamParser(), EventStreamParser()
    assert split_parser.feed(data[:split]) + split_parser.feed(data[split:]) == whole_parser.feed(data)


LIST_EVENT = (
    b'{"cursor":41,"nodes":{"revision":7,"complete":false,"members":[{"id":"s-1","host_port":"10.1.0.9:4100",'
    b'"locality":"east","flavor":"std","cell":2,"phase":"Ready","size":4,"up_since_ms":1500},'
    b'{"id":"s-2","phase":"Gone"}]}}'
)


def test_list_event_is_decoded() -> None:
    event = parse_list_event(LIST_EVENT, ("west", "east"), ("std",))
    assert event.cursor == 41
    assert event.addresses == {"s-1": ("10.1.0.9", 4100)}
    assert event.update.kind is api.ListKind.CHANGES
    assert event.update.entries[0] == api.EngineEntry(
        "s-1", api.EngineState.UP, zone=1, kind=0, cell=2, started_at=1.5, weight=4.0
    )
    assert event.update.entries[1].state is api.EngineState.GONE


def test_complete_list_is_a_full_update() -> None:
    event = parse_list_event(LIST_EVENT.replace(b"false", b"true"), (), ())
    assert event.update.kind is api.ListKind.FULL


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{}",
        b'{"cursor":1,"nodes":{"members":3}}',
        b'{"cursor":1,"nodes":{"members":[{"id":"a"}]}}',
        LIST_EVENT.replace(b"Ready", b"Sleeping"),
        LIST_EVENT.replace(b"10.1.0.9:4100", b"10.1.0.9"),
        LIST_EVENT.replace(b'"cursor":41', b'"cursor":"x"'),
    ],
)
def test_malformed_list_event_is_rejected(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse_list_event(data, (), ())


@pytest.mark.parametrize("text", ["", ":1", "host", "host:", "host:0", "host:65536", "host:x"])
def test_invalid_address_is_rejected(text: str) -> None:
    with pytest.raises(ProtocolError):
        parse_address(text)


def test_load_report_keeps_finite_numbers_of_the_configured_columns() -> None:
    columns = ("rif", "busy", "x0")
    assert parse_load_report(b"inflight:7;util:0.61;x0:0.5", columns) == {"rif": 7.0, "busy": 0.61, "x0": 0.5}
    assert parse_load_report(b"rif:7; other:1;util:nan;x0;:3", columns) == {"rif": 7.0}
    assert parse_load_report(None, columns) == {}
    assert parse_load_report(b"\xff\xfe;=;::", columns) == {}
