"""The command channel over connections in memory: resumption, repeats, silence, and no busy loop."""

from __future__ import annotations

from typing import Any

from micahold.counters import Counters
from micahold.transport.channel import (
    MAX_RECONNECT_DELAY_S,
    SILENCE_TIMEOUT_S,
    STABLE_CONNECTION_S,
    CommandChannel,
)
from tests.network import Network

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class Channel(Network):
    """A channel that knows events up to 3."""

    def __init__(self) -> None:
        super().__init__()
        self.told: list[bytes] = []
        self.logged: list[str] = []
        self.channel = CommandChannel(self.clock, ("127.0.0.1", 7070), 3, self.tell, Counters(), self.log)
        self.channel.start()

    def tell(self, data: bytes) -> bool:
        self.told.append(data)
        return not data.endswith(b"?")

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append(event)


def event(number: int) -> bytes:
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def test_it_asks_from_its_cursor_and_tells_each_event_once() -> None:
    world = Channel()
    link = world.links[0].up()
    assert link.transport.sent().startswith(b"GET /cmd/next HTTP/1.1\r\nHost: 127.0.0.1:7070\r\n")
    data = HEAD + event(2) + event(3) + event(4) + b": x\n\n" + event(4) + event(5)
    for at in range(len(data)):
        link.say(data[at : at + 1])
    assert world.told == [b"e4", b"e5"]


def test_events_in_chunks() -> None:
    world = Channel()
    link = world.links[0].up()
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in (event(4)[:5], event(4)[5:], event(5)))
    link.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    assert world.told == [b"e4", b"e5"]


def test_a_stream_that_ends_is_resumed_at_once_from_the_last_event() -> None:
    world = Channel()
    link = world.links[0].up()
    link.say(HEAD + event(9))
    world.turn(STABLE_CONNECTION_S)
    link.lose()
    world.turn()
    assert b"\r\nLast-Event-ID: 9\r\n" in world.links[1].up().transport.sent()


def test_a_silent_stream_is_given_up_and_comments_keep_it_up() -> None:
    world = Channel()
    link = world.links[0].up()
    link.say(HEAD)
    for _ in range(5):
        world.turn(SILENCE_TIMEOUT_S / 2)
        link.say(b": still here\n\n")
    assert not link.transport.aborted
    world.turn(SILENCE_TIMEOUT_S)
    assert link.transport.aborted
    assert world.logged == ["channel_silent"]


def test_a_refused_channel_is_tried_again_without_a_busy_loop() -> None:
    world = Channel()
    seconds, step = 10.0, 0.01
    for _ in range(int(seconds / step)):
        for link in world.links:
            if link.protocol is None:
                link.protocol = object()
                link.refuse()
        world.turn(step)
    assert seconds / MAX_RECONNECT_DELAY_S * 0.8 < len(world.links) < seconds / MAX_RECONNECT_DELAY_S + 10


def test_what_is_no_stream_is_logged_and_tried_again() -> None:
    world = Channel()
    link = world.links[0].up()
    link.say(b"HTTP/1.1 500 no\r\n\r\n")
    assert link.transport.aborted
    assert world.logged == ["channel_unreadable"]
    link.lose()
    world.turn()
    assert len(world.links) == 2


def test_after_stop_nothing_is_asked_for_any_more() -> None:
    world = Channel()
    link = world.links[0].up()
    world.channel.stop()
    assert link.transport.aborted
    link.lose()
    world.turn(10.0)
    assert len(world.links) == 1


def test_a_move_asks_the_new_address_at_once_and_hears_the_old_one_no_more() -> None:
    world = Channel()
    old = world.links[0].up()
    old.say(HEAD + event(4))
    world.channel.change_address(("127.0.0.1", 7071))
    new = world.links[1].up()
    assert new.address == ("127.0.0.1", 7071)
    sent = new.transport.sent()
    assert b"Host: 127.0.0.1:7071\r\n" in sent and b"\r\nLast-Event-ID: 4\r\n" in sent
    assert old.transport.aborted
    old.say(event(5))
    assert world.told == [b"e4"]
    old.lose()
    new.say(HEAD + event(5))
    world.turn(MAX_RECONNECT_DELAY_S)
    assert world.told == [b"e4", b"e5"]
    assert len(world.links) == 2
    new.lose()
    world.turn(MAX_RECONNECT_DELAY_S)
    assert world.links[2].address == ("127.0.0.1", 7071)


def test_moves_between_connections_lead_to_the_last_address_alone() -> None:
    world = Channel()
    world.links[0].up().lose()
    world.turn()
    world.links[1].up().lose()  # the next waits for its pause now
    world.channel.change_address(("127.0.0.1", 7071))
    world.channel.change_address(("127.0.0.1", 7071))
    world.turn(MAX_RECONNECT_DELAY_S)
    assert [link.address[1] for link in world.links] == [7070, 7070, 7071]


def test_a_move_while_connecting_stops_that() -> None:
    world = Channel()
    world.links[0].refuse()
    world.turn()
    world.channel.change_address(("127.0.0.1", 7071))
    assert world.clock.connectors[-1].stoppedConnecting
    world.links[1].refuse()
    world.turn()
    assert world.links[2].address[1] == 7071


def test_an_event_that_can_not_be_read_is_asked_for_once_more() -> None:
    world = Channel()
    link = world.links[0].up()
    link.say(HEAD + b"id: 4\ndata: spoilt?\n\n" + event(5))
    assert link.transport.aborted
    link.lose()
    world.turn(MAX_RECONNECT_DELAY_S)
    link = world.links[1].up()
    assert b"\r\nLast-Event-ID: 3\r\n" in link.transport.sent()
    link.say(HEAD + b"id: 4\ndata: spoilt?\n\n" + event(5))
    assert world.told == [b"spoilt?", b"spoilt?", b"e5"]
