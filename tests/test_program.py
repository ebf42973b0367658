"""Configuration, log, timers, garbage collection and phases of the front, without sockets."""

from __future__ import annotations

import errno
import gc
import os
from typing import Any

import orjson
import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock

from micahold import interface as api
from micahold.counters import Counters
from micahold.program.collector import CHECK_INTERVAL_S, MAX_GROWTH_WHEN_BUSY, GarbageCollector
from micahold.program.configuration import MAX_ACCEPTS_PER_ITERATION, parse_configuration
from micahold.program.front import FLUSH_TIMEOUT_S, NOTICE_PERIOD_S, Front, Phase, format_listen_error
from micahold.program.log import MAX_BUFFERED_BYTES, Log
from micahold.settings import FormatError
from micahold.transport.timers import MAX_CANCELLED_TIMERS, TimerQueue
from tests.mysql_client import decode_packets, login_packet, query_with_fields
from tests.network import MemoryNetwork, MemoryTransport
from tests.standins import configuration

# Configuration

BROKEN_LIST = {"known": {"cmds": [3]}}


def test_a_configuration_is_decoded() -> None:
    decoded = parse_configuration(orjson.dumps(configuration()))
    assert decoded.listen == ("127.0.0.1", 4100)
    assert decoded.channel == ("127.0.0.1", 7070)
    assert decoded.cursor == 3
    assert [entry.engine for event in decoded.initial_list_events for entry in event.update.entries] == [
        "s-1"
    ]
    assert decoded.seed == 0x8C1F30D27A5BE964


def test_connection_limits_leave_descriptors_free_and_bound_the_open_queries() -> None:
    decoded = parse_configuration(orjson.dumps(configuration()))
    assert (
        decoded.max_engine_connections + decoded.max_client_connections
        < 1024 - 1024 // 8 - MAX_ACCEPTS_PER_ITERATION
    )
    assert decoded.max_client_connections >= 1024 // 3
    assert decoded.settings.limits.max_open_queries == 1024 // 3


@pytest.mark.parametrize(
    "changes",
    [
        {"settings": None},
        {"settings": 3},
        {"listen": "x"},
        {"channel": None},
        {"seed": "no hex"},
        {"known": {"cmds": [3]}},
    ],
)
def test_an_unusable_configuration_is_an_error_of_one_line(changes: dict[str, Any]) -> None:
    with pytest.raises(FormatError) as caught:
        parse_configuration(orjson.dumps({**configuration(), **changes}))
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"{}", b"\xff"])
def test_data_that_is_not_a_configuration_is_an_error(data: bytes) -> None:
    with pytest.raises(FormatError):
        parse_configuration(data)


# Log


def test_a_full_log_pipe_drops_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    counters = Counters()
    log = Log(writer, lambda: 1.0, counters)
    log.defer_flushes(lambda: None)
    while log.flush():
        log("fill", text="x" * 1000)
    for _ in range(MAX_BUFFERED_BYTES // 1000 + 10):
        log("more", text="x" * 1000)
    assert counters.values["log_lines_lost"] > 0
    os.set_blocking(reader, False)
    data = b""
    while True:
        log.flush()
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    for line in data.splitlines():
        assert orjson.loads(line)["event"] in ("fill", "more")
    os.close(reader)
    log("reader closed")
    assert log.flush()
    os.close(writer)


# Timers


def test_timers_fire_in_order_and_never_early_and_cancelled_ones_not_at_all() -> None:
    clock, fired = MemoryReactorClock(), list[str]()
    timers = TimerQueue(clock)
    for name, delay in (("c", 3.0), ("a", 1.0), ("b", 2.0), ("x", 1.5)):
        timer = timers.call_later(delay, fired.append, name)
    timer.cancel()
    timer.cancel()
    assert not timer.active()
    clock.advance(0.99)
    assert fired == []
    for _ in range(4):
        clock.advance(1.0)
    assert fired == ["a", "b", "c"]


def test_cancelled_timers_are_removed() -> None:
    clock, fired = MemoryReactorClock(), list[int]()
    timers = TimerQueue(clock)
    for number in range(MAX_CANCELLED_TIMERS * 3):
        timers.call_later(100.0, fired.append, number).cancel()
    timers.call_later(1.0, fired.append, -1)
    clock.advance(1.0)
    assert timers.cancelled < MAX_CANCELLED_TIMERS
    clock.advance(200.0)
    assert fired == [-1]


def test_a_timer_that_fails_does_not_stop_the_others() -> None:
    clock, fired = MemoryReactorClock(), list[str]()
    timers = TimerQueue(clock)
    timers.call_later(1.0, lambda: fired.append(str(1 // 0)))
    timers.call_later(1.0, fired.append, "after")
    with pytest.raises(ZeroDivisionError):
        clock.advance(1.0)
    clock.advance(0.0)
    assert fired == ["after"]


# Garbage collection


def test_garbage_is_collected_when_idle_or_when_too_many_objects_have_accumulated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, counted, idle, growth = MemoryReactorClock(), list[str](), [False], [MAX_GROWTH_WHEN_BUSY]
    monkeypatch.setattr(gc, "collect", lambda: 0)
    monkeypatch.setattr(gc, "freeze", lambda: None)
    monkeypatch.setattr(gc, "disable", lambda: None)
    monkeypatch.setattr(gc, "get_count", lambda: (growth[0], 0, 0))
    GarbageCollector(clock, lambda: idle[0], counted.append).start()
    clock.advance(CHECK_INTERVAL_S)
    assert counted == []
    idle[0] = True
    clock.advance(CHECK_INTERVAL_S)
    assert len(counted) == 1
    idle[0], growth[0] = False, MAX_GROWTH_WHEN_BUSY + 1
    clock.advance(CHECK_INTERVAL_S)
    assert len(counted) == 2


# Phases


class Reactor(MemoryReactorClock):
    """Twisted's in-memory reactor with the methods that ``FrontReactor`` adds."""

    def max_read_delay(self) -> float:
        return 0.0

    def read_pending(self, transport: Any) -> bool:
        """Nothing waits to be read in memory."""
        return True

    def call_at_iteration_end(self, call: Any) -> None:
        self.callLater(0, call)


class FrontHarness(MemoryNetwork):
    """A started front with its log; ``stopped`` tells whether it has asked the reactor to stop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        monkeypatch.setattr(GarbageCollector, "start", lambda self: None)
        self.clock = Reactor()
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.stopped = False
        self.front = Front(
            parse_configuration(orjson.dumps(configuration())),
            self.clock,
            self.clock.seconds,
            RecordingLog(self.logged),  # type: ignore[arg-type]
            Counters(),
            self.stop,
        )
        self.front.start()
        self.advance()

    def stop(self) -> None:
        self.stopped = True

    def phases(self) -> list[str]:
        return [fields["phase"] for event, fields in self.logged if event == "phase"]

    def client(self) -> tuple[Any, MemoryTransport]:
        session, transport = self.front.sessions.buildProtocol(None), MemoryTransport()
        session.makeConnection(transport)
        session.dataReceived(login_packet())
        transport.clear()
        return session, transport

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.advance(0.01)


class RecordingLog:
    """A log that keeps each event with its fields."""

    def __init__(self, logged: list[tuple[str, dict[str, Any]]]) -> None:
        self.logged = logged

    def __call__(self, event: str, **fields: Any) -> None:
        self.logged.append((event, fields))

    def defer_flushes(self, schedule: Any) -> None:
        pass


def test_shutdown_counts_from_the_signal_and_not_from_its_handling(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = FrontHarness(monkeypatch)
    session, transport = harness.client()
    session.dataReceived(query_with_fields(wait=4000))
    signalled_at = harness.clock.seconds()
    harness.advance(0.4)
    harness.front.begin_shutdown(signalled_at)
    harness.pass_time(NOTICE_PERIOD_S - 0.4 + 0.01)
    assert harness.phases()[-1] == "draining"
    longest_s = 3.0  # the longest deadline, of which at most so much counts
    while not harness.stopped:
        harness.pass_time(0.05)
        assert harness.clock.seconds() < signalled_at + longest_s + NOTICE_PERIOD_S
    assert transport.take_written()


def test_an_idle_front_stops_after_the_notice_period(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = FrontHarness(monkeypatch)
    harness.front.begin_shutdown(harness.clock.seconds())
    harness.front.begin_shutdown(harness.clock.seconds())
    harness.pass_time(NOTICE_PERIOD_S - 0.05)
    assert harness.front.phase is Phase.NOTICE
    harness.pass_time(0.2)
    assert harness.stopped
    assert harness.phases() == ["serving", "notice", "draining", "closing", "stopped"]
    assert harness.logged[-1][0] == "counters"


def test_queries_are_accepted_during_the_notice_period_and_answered_before_the_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = FrontHarness(monkeypatch)
    harness.front.begin_shutdown(harness.clock.seconds())
    harness.pass_time(NOTICE_PERIOD_S / 2)
    session, transport = harness.client()
    session.dataReceived(query_with_fields(wait=8000))
    harness.pass_time(NOTICE_PERIOD_S)
    assert not harness.stopped
    assert harness.front.phase is Phase.DRAINING
    harness.pass_time(3.0)
    assert harness.stopped
    # No engine answered: the client gets an error before the exit.
    assert decode_packets(transport.take_written())[0][1][0] == 0xFF


def test_the_front_stops_as_soon_as_all_queries_are_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = FrontHarness(monkeypatch)
    session, _ = harness.client()
    session.dataReceived(query_with_fields(wait=60000))
    harness.advance()
    harness.front.begin_shutdown(harness.clock.seconds())
    harness.pass_time(NOTICE_PERIOD_S + 0.1)
    assert not harness.stopped
    session.connectionLost()
    harness.pass_time(0.1 + FLUSH_TIMEOUT_S)
    assert harness.stopped


def test_an_unreadable_list_event_is_logged_and_the_channel_reconnects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = FrontHarness(monkeypatch)
    link = harness.connections[0].accept()
    link.send(b"HTTP/1.1 200 OK\r\n\r\nid: 9\ndata: {}\n\n")
    assert "list_event_unreadable" in [event for event, _ in harness.logged]
    # A new connection requests the event once more, in case it was damaged in transit.
    assert link.transport.aborted


def test_the_error_for_an_address_in_use_is_one_line() -> None:
    text = format_listen_error(
        error.CannotListenError("127.0.0.1", 4100, OSError(errno.EADDRINUSE, "in use"))
    )
    assert "127.0.0.1:4100" in text and "\n" not in text


def test_short_entry_of_the_channel_changes_only_what_it_names(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a front that takes a field which an event leaves out for its first value."""
    harness = FrontHarness(monkeypatch)
    told: list[api.Event] = []
    harness.front.exchange.observer = told.append
    whole = b'{"id":"s-9","host_port":"127.0.0.1:4209","phase":"Ready","cell":3,"size":2}'
    for number, member in ((8, whole), (9, b'{"id":"s-9","phase":"Gone"}')):
        event = b'{"cursor":%d,"nodes":{"revision":%d,"complete":false,"members":[%s]}}' % (
            number,
            number,
            member,
        )
        connection = harness.connections[0]
        if connection.protocol is None:
            connection.accept().send(b"HTTP/1.1 200 OK\r\n\r\n")
        connection.send(b"id: %d\ndata: %s\n\n" % (number, event))
    entries = [update.entries[0] for update in told if isinstance(update, api.ListUpdate)]
    assert [(entry.state, entry.cell, entry.weight) for entry in entries] == [
        (api.EngineState.UP, 3, 2.0), (api.EngineState.GONE, 3, 2.0)
    ]  # fmt: skip
