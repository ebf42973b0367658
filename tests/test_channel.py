"""Tests of the command channel over in-memory connections: resumption, repeats, silence and backoff."""

from __future__ import annotations

from typing import Any

import pytest

from micahold.counters import Counters
from micahold.protocol.http_messages import MAX_INTERIM_RESPONSES
from micahold.transport.channel import (
    CONNECT_WAIT_S,
    MAX_ANSWER_WAIT_S,
    MAX_CALLS,
    MAX_RECONNECT_DELAY_S,
    SILENCE_TIMEOUT_S,
    STABLE_CONNECTION_S,
    CommandChannel,
)
from micahold.transport.channel_call import CALL_TIMEOUT_S
from tests.network import MemoryNetwork, ServerEnd

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
    assert network.clock.connectors[1].stoppedConnecting
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


@pytest.mark.parametrize("step", [1, 7, 1000])
@pytest.mark.parametrize(
    "ahead", [b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" * 3]
)
def test_interim_responses_ahead_of_the_stream_are_passed_over(ahead: bytes, step: int) -> None:
    """Guards against a front that gives a call up for a 1xx response and never hears of a drain."""
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    data = ahead + HEAD + event(4)
    for start in range(0, len(data), step):
        connection.send(data[start : start + step])
    assert network.delivered == [b"e4"] and not connection.transport.aborted


def test_interim_responses_without_end_are_bounded() -> None:
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    connection.send(b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_INTERIM_RESPONSES + 1))
    assert connection.transport.aborted


@pytest.mark.parametrize("step", [1, 2, 1000])
def test_event_behind_a_byte_order_mark_is_delivered(step: int) -> None:
    """Guards against a first event whose number is hidden by a byte order mark, which the format allows."""
    network = ChannelNetwork()
    connection = network.connections[0].accept()
    data = HEAD + b"\xef\xbb\xbf" + event(4) + event(5)
    for start in range(0, len(data), step):
        connection.send(data[start : start + step])
    assert network.delivered == [b"e4", b"e5"]


class SlowServer:
    """The server's end of a channel: connections come up late, and calls are answered late or never."""

    def __init__(self, network: ChannelNetwork) -> None:
        self.network = network
        self.connect_s = 0.0  # from the connect until the connection is established
        self.head_s = 0.0  # from the call to the head of its answer
        self.events_s = 0.0  # from the call to the events
        self.lost_before = 0.0  # calls that came earlier are never answered
        self.answered = 0
        self._requested_at: dict[int, float] = {}
        self._called_at: dict[int, float] = {}
        self._heads: set[int] = set()
        self._done: set[int] = set()
        self._ended: set[int] = set()

    def open_calls(self) -> int:
        """Number of calls that are connecting or connected and not answered."""
        connectors = self.network.clock.connectors
        return sum(
            not connection.transport.aborted and not connectors[number].stoppedConnecting
            for number, connection in enumerate(self.network.connections)
            if number not in self._done
        )

    def advance(self, seconds: float, step_s: float = 0.05) -> None:
        """Plays ``seconds``, with an event in each answer that comes."""
        for _ in range(round(seconds / step_s)):
            self.network.advance(step_s)
            now = self.network.clock.seconds()
            for number, connection in enumerate(self.network.connections):
                if not self.network.clock.connectors[number].stoppedConnecting:
                    self._serve(number, connection, now)

    def _serve(self, number: int, connection: ServerEnd, now: float) -> None:
        requested_at = self._requested_at.setdefault(number, now)
        if number in self._ended:
            return
        if connection.protocol is None and not self._accept(number, connection, now - requested_at):
            return
        if connection.transport.aborted:
            self._ended.add(number)
            connection.disconnect()
            return
        called_at = self._called_at.setdefault(number, now)
        if called_at < self.lost_before:
            return
        if number not in self._heads and now >= called_at + self.head_s:
            self._heads.add(number)
            connection.send(HEAD)
        if number in self._heads and now >= called_at + self.events_s:
            if number not in self._done:
                self._done.add(number)
                self.answered += 1
                connection.send(event(4))
            connection.send(b": alive\n\n")

    def _accept(self, number: int, connection: ServerEnd, waited_s: float) -> bool:
        """Establishes the connection once it is due, or lets the front give it up; False until then."""
        if waited_s < min(self.connect_s, connection.timeout):
            return False
        if self.connect_s > connection.timeout:
            self._ended.add(number)
            connection.time_out()
            return False
        connection.accept()
        return True


@pytest.mark.parametrize("answer_s", [2.4, 3.0, 6.0, 12.0, 25.0])
@pytest.mark.parametrize("head_comes_at_once", [False, True])
def test_server_that_takes_long_to_answer_each_call_is_heard(
    head_comes_at_once: bool, answer_s: float
) -> None:
    """Guards against a front that gives each call up before its answer and never hears of a drain."""
    network = ChannelNetwork()
    server = SlowServer(network)
    server.events_s = answer_s
    server.head_s = 0.0 if head_comes_at_once else answer_s
    server.advance(answer_s + 0.2)
    assert network.delivered == [b"e4"]
    server.advance(20.0)
    assert server.open_calls() == 0 and server.answered == 1
    assert network.log_events.count("channel_silent") == 0


@pytest.mark.parametrize("connect_s", [1.1, 3.0, 7.0])
def test_server_whose_connections_come_up_late_is_heard(connect_s: float) -> None:
    """Guards against a front that gives each connect up before it is established."""
    network = ChannelNetwork()
    server = SlowServer(network)
    server.connect_s = connect_s
    server.advance(connect_s + 0.2)
    assert network.delivered == [b"e4"]


@pytest.mark.parametrize("outage_s", [1.0, 4.0, 8.0, 13.0, 40.0])
def test_server_that_lost_its_calls_is_heard_by_a_new_one_soon(outage_s: float) -> None:
    """Guards against a front that waits for the answers to calls that are lost."""
    network = ChannelNetwork()
    server = SlowServer(network)
    server.lost_before = outage_s
    server.advance(outage_s)
    assert not network.delivered
    server.advance(MAX_ANSWER_WAIT_S + 0.2)
    assert network.delivered == [b"e4"]


def test_calls_to_a_silent_server_are_few_and_bounded() -> None:
    """Guards against a crowded server that is called more often the longer it takes."""
    network = ChannelNetwork()
    server = SlowServer(network)
    server.lost_before = 1e9
    for _ in range(600):
        server.advance(0.1)
        assert server.open_calls() <= MAX_CALLS
    assert len(network.connections) <= 60.0 / MAX_ANSWER_WAIT_S + 3
    assert network.log_events == ["channel_unanswered"] * len(network.log_events)


def test_call_without_an_answer_is_given_up_in_the_end() -> None:
    """Guards against a connection that is kept for ever."""
    network = ChannelNetwork()
    first = network.connections[0].accept()
    network.advance(CALL_TIMEOUT_S - 0.1)
    assert not first.transport.aborted
    network.advance(0.1)
    assert first.transport.aborted


def test_change_of_address_ends_all_calls_that_wait() -> None:
    """Guards against news of an old address, and against calls that pile up over many moves."""
    network = ChannelNetwork()
    old = network.connections[0].accept()
    network.advance(SILENCE_TIMEOUT_S)
    other = network.connections[1].accept()
    network.channel.change_address(("127.0.0.1", 7071))
    assert old.transport.aborted and other.transport.aborted
    other.send(HEAD + event(4))
    assert not network.delivered
    network.connections[2].accept().send(HEAD + event(4))
    network.advance(MAX_RECONNECT_DELAY_S)
    assert network.delivered == [b"e4"] and len(network.connections) == 3


def test_connect_that_does_not_come_up_is_followed_by_another_after_a_second() -> None:
    """Guards against a machine that vanished and keeps the channel waiting."""
    network = ChannelNetwork()
    network.advance(CONNECT_WAIT_S)
    assert len(network.connections) == 2
    assert network.log_events == ["channel_unanswered"]
