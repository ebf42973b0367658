"""Tests of client sessions over in-memory connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.protocol.mysql_packets import encode_packet
from micahold.protocol.mysql_results import ResultSetEncoder
from micahold.protocol.query_fields import ClientQuery, parse_query
from micahold.transport import clients
from micahold.transport.clients import (
    CLOSE_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_BYTES_PER_TURN,
    MAX_PACKET_BYTES,
    MAX_PACKETS_PER_TURN,
    MAX_SESSION_BUFFER_BYTES,
    MAX_UNUSABLE_QUERIES,
    MIN_EVICTION_AGE_S,
    PACKET_TIMEOUT_S,
    SWEEP_INTERVAL_S,
    ClientSession,
    ClientSessions,
    ExpiredQueryError,
    QueryReply,
    UnusableQueryError,
)
from tests import mysql_client
from tests.mysql_client import (
    command_packet,
    decode_packets,
    decode_result_set,
    login_packet,
    query_packet,
    query_with_fields,
)
from tests.network import MemoryTransport


class RecordingHandler:
    """Accepts and records every query, or raises ``error`` if it is set."""

    def __init__(self, clock: Clock) -> None:
        self.queries: list[ClientQuery] = []
        self.replies: list[QueryReply] = []
        self.dropped: list[int] = []
        self.waited: list[float] = []  # from each query's arrival until it was submitted, in seconds
        self.clock = clock
        self.unread_s = 0.0
        self.error: Exception | None = None

    def submit(self, query: ClientQuery, reply: QueryReply, arrived_at: float) -> int:
        if self.error is not None:
            raise self.error
        self.queries.append(query)
        self.waited.append(self.clock.seconds() - arrived_at)
        self.replies.append(reply)
        return len(self.queries)

    def drop(self, query_number: int) -> None:
        self.dropped.append(query_number)


class SessionHarness:
    """The session factory with a simulated clock; connects clients over in-memory transports."""

    def __init__(self, max_sessions: int = 10, seed: int = 7, max_buffered_bytes: int = 2**20) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.handler = RecordingHandler(self.clock)
        self.log_events: list[str] = []
        self.sessions = ClientSessions(
            self.clock,
            self.handler,
            self.counters,
            lambda event, **_: self.log_events.append(event),
            seed,
            max_sessions,
            lambda: self.handler.unread_s,
            max_buffered_bytes,
        )

    def connect(self) -> tuple[ClientSession, Any]:
        """Opens a connection; its transport holds the greeting."""
        session, transport = self.sessions.buildProtocol(None), MemoryTransport()
        session.makeConnection(transport)
        return session, transport

    def connect_and_log_in(self) -> tuple[ClientSession, Any]:
        """Opens a connection and logs in; its transport is empty."""
        session, transport = self.connect()
        session.dataReceived(login_packet())
        transport.clear()
        return session, transport


def error_of(data: bytes) -> mysql_client.ServerError:
    """The error in the last packet."""
    return mysql_client.ServerError(decode_packets(data)[-1][1])


def result_packets(page: bytes) -> bytes:
    """The encoded result set of one page."""
    result_rows = ResultSetEncoder()
    result_rows.add_page(page)
    return result_rows.finish()


def test_login_and_first_query_sent_before_the_greeting_are_accepted_in_any_split() -> None:
    data = login_packet() + query_with_fields()
    for split in range(len(data) + 1):
        harness = SessionHarness()
        session, transport = harness.connect()
        session.dataReceived(data[:split])
        session.dataReceived(data[split:])
        greeting, ok = decode_packets(transport.take_written())
        assert greeting[0] == 0 and greeting[1][0] == 10
        assert ok[0] == 2 and ok[1][0] == 0
        assert [query.id for query in harness.handler.queries] == [b"%016x" % 1]


def test_result_is_sent_to_the_client() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields())
    harness.handler.replies[0].send_result(result_packets(b"a\t\xff\tNULL\n"))
    assert decode_result_set(transport.take_written()) == [(b"a", b"\xff", b"NULL")]


def test_refusal_carries_the_retry_hint() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields())
    harness.handler.replies[0].refuse(1.25)
    error = error_of(transport.take_written())
    assert error.code in (1040, 1203, 1226)
    assert error.text == "after=1250"


def test_failure_has_none_of_the_error_codes_of_a_refusal() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields())
    harness.handler.replies[0].fail("failed")
    assert error_of(transport.take_written()).code not in (1040, 1203, 1226)


def test_queries_of_one_session_run_one_at_a_time() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields(1) + query_with_fields(2))
    assert len(harness.handler.queries) == 1
    harness.handler.replies[0].send_result(result_packets(b""))
    harness.clock.advance(0)
    assert [query.id for query in harness.handler.queries] == [b"%016x" % 1, b"%016x" % 2]
    assert len(decode_result_set(transport.take_written())) == 0


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (command_packet(0x0E), None),
        (command_packet(0x02, b"dw"), None),
        (command_packet(0x02, b"other"), 1049),
        (command_packet(0x16, b"x"), 1047),
        (command_packet(0x99), 1047),
        (encode_packet(0, b""), 1047),
        (query_packet(b"SELECT 1"), 1064),
        (query_packet(b"KILL QUERY 999999"), 1094),
    ],
)
def test_commands_are_answered_and_the_session_continues(sent: bytes, code: int | None) -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(sent)
    ((number, payload),) = decode_packets(transport.take_written())
    assert number == 1
    assert payload[0] == 0 if code is None else mysql_client.ServerError(payload).code == code
    session.dataReceived(query_with_fields())
    assert len(harness.handler.queries) == 1  # the session continues


def test_quit_closes_the_session() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(command_packet(0x01))
    assert transport.disconnecting


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (login_packet(user=b"root"), 1045),
        (login_packet(database=b"other"), 1049),
        (encode_packet(1, b"\0" * 40), 1043),
    ],
)
def test_wrong_user_database_or_protocol_is_rejected(data: bytes, code: int) -> None:
    harness = SessionHarness()
    session, transport = harness.connect()
    transport.clear()
    session.dataReceived(data)
    assert error_of(transport.take_written()).code == code
    assert transport.disconnecting


def test_query_rejected_by_the_handler_gets_an_error_at_once() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    harness.handler.error = UnusableQueryError("unknown class")
    session.dataReceived(query_with_fields())
    assert error_of(transport.take_written()).code == 1105


def test_exception_in_one_session_closes_only_that_session_and_is_logged() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    other, _ = harness.connect_and_log_in()
    harness.handler.error = RuntimeError("x")
    session.dataReceived(query_with_fields())
    assert transport.disconnecting
    assert error_of(transport.take_written()).code == 1105
    assert harness.log_events == ["session_error", "session_closed"]
    harness.handler.error = None
    other.dataReceived(query_with_fields())
    assert len(harness.handler.queries) == 1


def test_oversized_packet_closes_the_session() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived((MAX_PACKET_BYTES + 1).to_bytes(3, "little") + b"\0")
    assert error_of(transport.take_written()).code == 1153
    assert transport.disconnecting


def test_client_that_sends_beyond_the_buffer_limit_is_disconnected() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields())
    for _ in range(MAX_SESSION_BUFFER_BYTES // 10_000 + 2):
        session.dataReceived(bytes(10_000))
    assert transport.disconnecting
    assert harness.handler.dropped == [1]
    assert error_of(transport.take_written()).code == 1153  # the answer to the open query


def test_query_that_waits_behind_another_is_refused_when_the_front_exits() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields(1) + query_with_fields(2) + query_with_fields(3))
    harness.handler.replies[0].fail("server shutdown in progress")
    transport.take_written()
    harness.sessions.close_at_exit()
    answers = decode_packets(transport.take_written())
    assert [int.from_bytes(payload[1:3], "little") for _, payload in answers] == [1040, 1040]
    assert transport.disconnecting
    assert len(harness.handler.queries) == 1


def test_query_that_arrives_as_its_idle_session_is_closed_is_answered() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(command_packet(0x0E))
    harness.sessions.read_pending = lambda closing: session.dataReceived(query_with_fields())
    assert not session.close_if_idle()
    assert len(harness.handler.queries) == 1
    harness.handler.replies[0].fail("x")
    assert error_of(transport.take_written()[11:]).text == "x"
    assert not transport.disconnecting


def test_session_on_which_a_query_has_just_arrived_does_not_make_room() -> None:
    harness = SessionHarness(max_sessions=2)
    asking, asking_transport = harness.connect_and_log_in()
    _, idle_transport = harness.connect_and_log_in()
    harness.clock.advance(2 * MIN_EVICTION_AGE_S)

    def read_pending(transport: Any) -> None:
        if transport is asking_transport:
            asking.dataReceived(query_with_fields())

    harness.sessions.read_pending = read_pending
    harness.connect()
    assert not asking_transport.disconnecting and len(harness.handler.queries) == 1
    assert idle_transport.disconnecting


def test_commands_of_a_slow_reader_wait_until_it_has_read() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.pauseProducing()
    session.dataReceived(command_packet(0x0E) * 1000)
    assert transport.take_written() == b""
    session.resumeProducing()
    harness.clock.advance(0)
    assert len(decode_packets(transport.take_written())) == 1000


def test_kill_query_drops_the_open_query_of_the_named_session_only() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    other, other_transport = harness.connect_and_log_in()
    killer, killer_transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields(1))
    other.dataReceived(query_with_fields(2))
    killer.dataReceived(query_packet(b"KILL QUERY %d" % session.connection_id))
    assert decode_packets(killer_transport.take_written())[0][1][0] == 0
    assert harness.handler.dropped == [1]
    assert error_of(transport.take_written()).code == 1317
    assert other_transport.take_written() == b""
    killer.dataReceived(
        query_packet(b"KILL QUERY %d" % session.connection_id)
    )  # no query is open there any more
    assert harness.handler.dropped == [1]
    assert transport.take_written() == b""


def test_query_is_submitted_with_the_time_it_may_have_been_unread() -> None:
    """A late reactor turn reads a query late, but its deadline counts from its last byte."""
    harness = SessionHarness()
    harness.handler.unread_s = 0.04
    session, _ = harness.connect()
    harness.clock.advance(0.01)
    session.dataReceived(login_packet() + query_with_fields(1))  # may have arrived with the connection
    harness.handler.replies[0].refuse(0.0)
    harness.handler.unread_s = 0.02
    session.dataReceived(query_with_fields(2))
    assert [round(seconds, 6) for seconds in harness.handler.waited] == [0.05, 0.02]


def test_lost_connection_drops_its_query_and_a_late_result_is_ignored() -> None:
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields())
    session.connectionLost(Failure(error.ConnectionLost()))
    assert harness.handler.dropped == [1]
    harness.handler.replies[0].send_result(result_packets(b""))
    assert transport.take_written() == b""
    assert len(harness.sessions) == 0


def test_connection_ids_start_at_a_value_derived_from_the_seed() -> None:
    first_ids = {SessionHarness(seed=seed).connect()[0].connection_id for seed in range(50)}
    assert len(first_ids) == 50
    harness = SessionHarness(seed=3)
    assert harness.connect()[0].connection_id != harness.connect()[0].connection_id
    assert (
        SessionHarness(seed=3).connect()[0].connection_id == SessionHarness(seed=3).connect()[0].connection_id
    )


def test_connection_beyond_the_limit_gets_an_error() -> None:
    harness = SessionHarness(max_sessions=1)
    harness.connect()
    _, transport = harness.connect()
    assert error_of(transport.take_written()).code == 1040
    assert transport.disconnecting


# Clients that hold connections, stop within a packet or send unusable data


def pass_time(harness: SessionHarness, seconds: float) -> None:
    """Advances the clock in steps of the sweep, so that no step counts as a stall."""
    for _ in range(round(seconds / SWEEP_INTERVAL_S)):
        harness.clock.advance(SWEEP_INTERVAL_S)


def harness_with_sweep(**options: Any) -> SessionHarness:
    """A harness whose factory checks for timed-out sessions."""
    harness = SessionHarness(**options)
    harness.sessions.startFactory()
    return harness


@pytest.mark.parametrize(
    "sent", [b"", login_packet()[:20], login_packet(), login_packet() + query_with_fields()[:30], b"\x05\0\0"]
)
def test_client_without_a_complete_command_times_out_within_three_seconds(sent: bytes) -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect()
    session.dataReceived(sent)
    pass_time(harness, 1.5)
    assert not transport.disconnecting
    pass_time(harness, 1.0)
    assert error_of(transport.take_written()).code == 1159
    assert transport.disconnecting


def test_packet_sent_byte_by_byte_does_not_extend_the_timeout() -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(command_packet(0x0E))
    for byte in query_with_fields()[: round(PACKET_TIMEOUT_S / SWEEP_INTERVAL_S) + 2]:
        session.dataReceived(bytes((byte,)))
        harness.clock.advance(SWEEP_INTERVAL_S)
    assert transport.disconnecting


def test_idle_session_is_closed_but_never_one_with_an_open_query() -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields())
    pass_time(harness, 4 * IDLE_TIMEOUT_S)
    assert not transport.disconnecting
    harness.handler.replies[0].send_result(result_packets(b""))
    pass_time(harness, IDLE_TIMEOUT_S - 0.5)
    assert not transport.disconnecting
    pass_time(harness, 1.0)
    assert transport.disconnecting
    assert harness.counters.values["client_sessions_idle"] == 1


def test_client_that_does_not_read_its_last_bytes_is_aborted() -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(command_packet(0x01))
    assert transport.disconnecting and not transport.aborted
    pass_time(harness, CLOSE_TIMEOUT_S + SWEEP_INTERVAL_S)
    assert transport.aborted


def test_silent_sessions_are_evicted_first_then_idle_ones_and_never_one_with_a_query() -> None:
    harness = harness_with_sweep(max_sessions=3)
    asking, asking_transport = harness.connect_and_log_in()
    asking.dataReceived(query_with_fields(1))
    idle, idle_transport = harness.connect_and_log_in()
    idle.dataReceived(command_packet(0x0E))
    harness.clock.advance(MIN_EVICTION_AGE_S)
    _, silent_transport = harness.connect()
    harness.clock.advance(MIN_EVICTION_AGE_S)
    for transport in (silent_transport, idle_transport):
        fresh, fresh_transport = harness.connect_and_log_in()
        assert transport.disconnecting and not fresh_transport.disconnecting
        fresh.dataReceived(query_with_fields(len(harness.handler.queries) + 1))
    _, last = harness.connect()
    assert error_of(last.take_written()).code == 1040  # every session has an open query
    assert not asking_transport.disconnecting
    assert len(harness.sessions) == 3


def test_buffered_bytes_of_all_sessions_are_bounded() -> None:
    harness = harness_with_sweep(max_sessions=100, max_buffered_bytes=100_000)
    closed = []
    for _ in range(20):
        session, transport = harness.connect_and_log_in()
        session.dataReceived((30_000).to_bytes(3, "little") + b"\0" + bytes(20_000))
        closed.append(transport.disconnecting)
        assert harness.sessions.buffered_bytes <= 100_000
    assert closed == [False] * 4 + [True] * 16
    pass_time(harness, 3.0)
    assert harness.sessions.buffered_bytes == 0


def test_buffered_bytes_are_released_when_the_connection_is_lost() -> None:
    harness = harness_with_sweep()
    session, _ = harness.connect_and_log_in()
    session.dataReceived(query_with_fields()[:20])
    assert harness.sessions.buffered_bytes == 20
    session.connectionLost(Failure(error.ConnectionLost()))
    assert harness.sessions.buffered_bytes == 0


def test_session_with_repeated_unusable_queries_is_closed() -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_packet(b"SELECT 1") * 100)
    assert len(decode_packets(transport.take_written())) == MAX_UNUSABLE_QUERIES
    assert transport.disconnecting
    assert harness.counters.values["queries_unusable"] == MAX_UNUSABLE_QUERIES


@pytest.mark.parametrize("number", [1, 7])
def test_packets_out_of_order_close_the_session_without_a_query(number: int) -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(encode_packet(number, query_with_fields()[4:]))
    assert error_of(transport.take_written()).code == 1156
    assert transport.disconnecting and not harness.handler.queries


@pytest.mark.parametrize("in_one_read", [True, False])
@pytest.mark.parametrize("missing_bytes", [4, 12])
def test_query_whose_packet_states_too_short_a_length_is_not_run_without_its_rest(
    missing_bytes: int, in_one_read: bool
) -> None:
    """Guards against a statement that is cut off by the length of its packet and answered as served."""
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    whole = query_with_fields()
    cut_length = len(whole) - 4 - missing_bytes
    cut, rest = whole[: 4 + cut_length], whole[4 + cut_length :]
    pieces = [cut[4:] + rest] if in_one_read else [cut[4:], rest]
    session.dataReceived(cut_length.to_bytes(3, "little") + b"\0" + pieces[0])
    for piece in pieces[1:]:
        session.dataReceived(piece)
    assert harness.handler.dropped == [1]
    assert error_of(transport.take_written()).code in (1153, 1156)
    assert transport.disconnecting


PING = command_packet(0x0E)


def test_session_handles_a_bounded_number_of_commands_a_turn_and_all_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that floods its connection with small commands and makes all others wait."""
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    turns: list[Callable[[], None]] = []
    monkeypatch.setattr(harness.clock, "callLater", lambda _, turn: turns.append(turn))
    session.dataReceived(PING * 1000)
    session.dataReceived(PING * 1000)
    answered = len(decode_packets(transport.take_written()))
    assert answered <= 2 * MAX_PACKETS_PER_TURN  # one turn for each read
    while turns:
        assert len(turns) == 1
        turns.pop()()
        written = len(decode_packets(transport.take_written()))
        assert written <= MAX_PACKETS_PER_TURN
        answered += written
    assert answered == 2000 and not transport.disconnecting


def test_session_handles_one_long_command_a_turn() -> None:
    """Guards against a client whose long statements, one after the other, take the time of all others."""
    harness = SessionHarness()
    harness.handler.error = ExpiredQueryError("past its wait on arrival")
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields(statement=b"SELECT " + b"a" * 2 * MAX_BYTES_PER_TURN) * 3)
    assert len(decode_packets(transport.take_written())) == 1
    harness.clock.advance(0)
    assert len(decode_packets(transport.take_written())) == 2


def test_query_behind_many_commands_is_answered_before_its_session_is_closed() -> None:
    """Guards against a close between two turns of a session, over a query that was read."""
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(PING * 50 + query_with_fields())
    assert not session.close_if_idle()
    for _ in range(5):
        harness.clock.advance(0)
    assert len(harness.handler.queries) == 1
    assert not transport.disconnecting


def test_client_that_waits_for_its_turn_does_not_time_out() -> None:
    """Guards against a session that is closed as silent while the front has not looked at its commands."""
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(PING * 2 * MAX_PACKETS_PER_TURN)
    session.timeout_at = 0.0
    session.handle_timeout()
    assert not transport.disconnecting


@pytest.mark.parametrize("filler", [b"a" * 2 * MAX_BYTES_PER_TURN])
def test_client_that_is_silent_after_a_long_login_times_out(filler: bytes) -> None:
    """Guards against a session without a time limit, since its login took up a whole turn."""
    harness = harness_with_sweep()
    session, transport = harness.connect()
    session.dataReceived(encode_packet(1, login_packet()[4:] + filler))
    for _ in range(20):
        harness.clock.advance(SWEEP_INTERVAL_S)
    assert transport.disconnecting


def test_good_query_behind_an_open_one_does_not_end_its_session() -> None:
    """Guards against a check of what waits that takes part of a packet for one that can't be read."""
    harness = harness_with_sweep()
    session, transport = harness.connect_and_log_in()
    session.dataReceived(query_with_fields(1))
    for byte in query_with_fields(2):
        session.dataReceived(bytes((byte,)))
    assert not harness.handler.dropped and not transport.disconnecting


def test_stall_of_the_front_times_out_no_client() -> None:
    harness = harness_with_sweep()
    session, transport = harness.connect()
    harness.clock.advance(10.0)  # after a stall, timers fire before sockets are read
    assert not transport.disconnecting
    session.dataReceived(login_packet() + query_with_fields())
    pass_time(harness, 1.0)
    assert not transport.disconnecting and len(harness.handler.queries) == 1


def test_query_behind_another_has_waited_since_it_came() -> None:
    """Guards against a query that gets the time of what came last on its connection, and a late answer."""
    harness = SessionHarness()
    session, _ = harness.connect_and_log_in()
    session.dataReceived(query_with_fields(1))
    harness.clock.advance(0.5)
    session.dataReceived(query_with_fields(2))
    harness.clock.advance(2.0)
    session.dataReceived(query_with_fields(3))
    for _ in range(2):
        harness.handler.replies[-1].fail("no answer")
        harness.clock.advance(0.0)
    assert harness.handler.waited == [0.0, 2.0, 0.0]


def test_good_queries_behind_expired_ones_get_their_answers() -> None:
    """Guards against a session that is closed for queries whose time ran out in its line."""
    harness = SessionHarness()
    session, transport = harness.connect_and_log_in()
    harness.handler.error = ExpiredQueryError("past its wait on arrival")
    session.dataReceived(b"".join(query_with_fields(number) for number in range(10)))
    assert len(decode_packets(transport.take_written())) == 10
    harness.handler.error = None
    session.dataReceived(query_with_fields(11))
    assert not transport.disconnecting and len(harness.handler.queries) == 1
    assert "queries_unusable" not in harness.counters.values


def test_time_that_parsing_takes_counts_towards_the_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a long statement whose parsing lengthens the time that its client gave it."""
    harness = SessionHarness()
    session, _ = harness.connect_and_log_in()

    def parse_slowly(text: bytes) -> ClientQuery:
        harness.clock.advance(0.125)
        return parse_query(text)

    monkeypatch.setattr(clients, "parse_query", parse_slowly)
    session.dataReceived(query_with_fields())
    assert harness.handler.waited == [0.125]
