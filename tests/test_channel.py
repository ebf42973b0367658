"""Tests of the command channel over in-memory connections: resumption, repeats, silence and backoff."""

from __future__ import annotations

from typing import Any

from micahold.counters import Counters
from micahold.transport.channel import (
    MAX_RECONNECT_DELAY_S,
    SILENCE_TIMEOUT_S,
    STABLE_CONNECTION_S,
    CommandChannel,
)
from tests.network import MemoryNetwork

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class ChannelNetwork(MemoryNetwork):
    """A command channel with cursor 3 that records delivered events and log lines."""

    def __init__(self) -> None:
        super().__init__()
        self.delivered: list[bytes] = []
        self.log_events: list[str] = []
        self.channel = CommandChannel(self.clock, ("127.0.0.1", 7070), 3, self.on_event, Counters(), self.log)
        self.channel.start()

    def on_event(self, data: bytes) -> bool:
        """Records the event; data that ends in a question mark counts as unreadable."""
        self.delivered.append(data)
        return not data.endswith(b"?")

    def log(self, event: str, **fields: Any) -> None:
        self.log_events.append(event)


def event(number: int) -> bytes:
    """A server-sent event with data ``e`` and its number."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def test_channel_resumes_from_its_cursor_and_delivers_each_event_once() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    assert connection.transport.take_written().startswith(
        b"GET /cmd/next HTTP/1.1\r\nHost: 127.0.0.1:7070\r\n"
    )
    data = HEAD + event(2) + event(3) + event(4) + b": x\n\n" + event(4) + event(5)
    for index in range(len(data)):
        connection.send(data[index : index + 1])
    assert network.delivered == [b"e4", b"e5"]


def test_events_in_a_chunked_response_are_delivered() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in (event(4)[:5], event(4)[5:], event(5))
    )
    connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    assert network.delivered == [b"e4", b"e5"]


def test_ended_stream_is_resumed_at_once_after_the_last_event() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    connection.send(HEAD + event(9))
    network.advance(STABLE_CONNECTION_S)
    connection.disconnect()
    network.advance()
    assert b"\r\nLast-Event-ID: 9\r\n" in network.connections[1].accept().transport.take_written()


def test_silent_stream_is_aborted_but_comments_keep_it_open() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    connection.send(HEAD)
    for _ in range(5):
        network.advance(SILENCE_TIMEOUT_S / 2)
        connection.send(b": still here\n\n")
    assert not connection.transport.aborted
    network.advance(SILENCE_TIMEOUT_S)
    assert connection.transport.aborted
    assert network.log_events == ["channel_silent"]


def test_refused_connection_is_retried_without_a_busy_loop() -> None:
    network = ChannelNetwork()
    seconds, step = 10.0, 0.01
    for _ in range(int(seconds / step)):
        for connection in network.connections:
            if connection.protocol is None:
                connection.protocol = object()
                connection.refuse()
        network.advance(step)
    assert (
        seconds / MAX_RECONNECT_DELAY_S * 0.8
        < len(network.connections)
        < seconds / MAX_RECONNECT_DELAY_S + 10
    )


def test_response_other_than_a_stream_is_logged_and_retried() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    connection.send(b"HTTP/1.1 500 no\r\n\r\n")
    assert connection.transport.aborted
    assert network.log_events == ["channel_unreadable"]
    connection.disconnect()
    network.advance()
    assert len(network.connections) == 2


def test_no_connection_is_opened_after_stop() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    network.channel.stop()
    assert connection.transport.aborted
    connection.disconnect()
    network.advance(10.0)
    assert len(network.connections) == 1


def test_change_of_address_connects_at_once_and_ignores_the_old_connection() -> None:
    network = ChannelNetwork()
    old = network.connections[0].accept()
    old.send(HEAD + event(4))
    network.channel.change_address(("127.0.0.1", 7071))
    new = network.connections[1].accept()
    assert new.address == ("127.0.0.1", 7071)
    sent = new.transport.take_written()
    assert b"Host: 127.0.0.1:7071\r\n" in sent and b"\r\nLast-Event-ID: 4\r\n" in sent
    assert old.transport.aborted
    old.send(event(5))
    assert network.delivered == [b"e4"]
    old.disconnect()
    new.send(HEAD + event(5))
    network.advance(MAX_RECONNECT_DELAY_S)
    assert network.delivered == [b"e4", b"e5"]
    assert len(network.connections) == 2
    new.disconnect()
    network.advance(MAX_RECONNECT_DELAY_S)
    assert network.connections[2].address == ("127.0.0.1", 7071)


def test_repeated_change_of_address_during_backoff_opens_one_connection() -> None:
    network = ChannelNetwork()
    network.connections[0].accept().disconnect()
    network.advance()
    network.connections[1].accept().disconnect()  # the next connection now waits for the backoff
    network.channel.change_address(("127.0.0.1", 7071))
    network.channel.change_address(("127.0.0.1", 7071))
    network.advance(MAX_RECONNECT_DELAY_S)
    assert [connection.address[1] for connection in network.connections] == [7070, 7070, 7071]


def test_change_of_address_stops_a_pending_connect() -> None:
    network = ChannelNetwork()
    network.connections[0].refuse()
    network.advance()
    network.channel.change_address(("127.0.0.1", 7071))
    assert network.clock.connectors[-1].stoppedConnecting
    network.connections[1].refuse()
    network.advance()
    assert network.connections[2].address[1] == 7071


def test_unreadable_event_is_requested_once_more_and_then_skipped() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    connection.send(HEAD + b"id: 4\ndata: unreadable?\n\n" + event(5))
    assert connection.transport.aborted
    connection.disconnect()
    network.advance(MAX_RECONNECT_DELAY_S)
    connection = network.connections[1].accept()
    assert b"\r\nLast-Event-ID: 3\r\n" in connection.transport.take_written()
    connection.send(HEAD + b"id: 4\ndata: unreadable?\n\n" + event(5))
    assert network.delivered == [b"unreadable?", b"unreadable?", b"e5"]
