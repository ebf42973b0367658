"""Sessions of clients over connections in memory."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.protocol.mysql_packets import encode_packet
from micahold.protocol.mysql_results import ResultRows
from micahold.protocol.query_fields import ClientQuery
from micahold.transport.clients import (
    CLOSE_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_PACKET_BYTES,
    MAX_SESSION_BUFFER_BYTES,
    MAX_UNUSABLE_QUERIES,
    MIN_EVICTION_AGE_S,
    PACKET_TIMEOUT_S,
    SWEEP_INTERVAL_S,
    ClientSession,
    ClientSessions,
    QueryReply,
    UnusableQueryError,
)
from tests import mysql_client
from tests.mysql_client import ask, command, login, packets, query, read_result
from tests.network import Transport


class Taker:
    """Takes every query and keeps it."""

    def __init__(self) -> None:
        self.taken: list[ClientQuery] = []
        self.replies: list[QueryReply] = []
        self.dropped: list[int] = []
        self.waited: list[float] = []
        self.unread = 0.0
        self.error: Exception | None = None

    def submit(self, one: ClientQuery, reply: QueryReply, waited: float) -> int:
        if self.error is not None:
            raise self.error
        self.taken.append(one)
        self.waited.append(waited)
        self.replies.append(reply)
        return len(self.taken)

    def drop(self, ticket: int) -> None:
        self.dropped.append(ticket)


class Clients:
    """Sessions, each with its transport."""

    def __init__(self, most: int = 10, seed: int = 7, most_kept: int = 2**20) -> None:
        self.clock, self.taker, self.counters = Clock(), Taker(), Counters()
        self.logged: list[str] = []
        self.sessions = ClientSessions(
            self.clock,
            self.taker,
            self.counters,
            lambda event, **_: self.logged.append(event),
            seed,
            most,
            lambda: self.taker.unread,
            most_kept,
        )

    def connect(self) -> tuple[ClientSession, Any]:
        session, transport = self.sessions.buildProtocol(None), Transport()
        session.makeConnection(transport)
        return session, transport

    def logged_in(self) -> tuple[ClientSession, Any]:
        session, transport = self.connect()
        session.dataReceived(login())
        transport.clear()
        return session, transport


def error_of(data: bytes) -> mysql_client.ServerError:
    return mysql_client.ServerError(packets(data)[-1][1])


def rows(page: bytes) -> bytes:
    made = ResultRows()
    made.add_page(page)
    return made.answer()


def test_login_and_first_query_may_come_ahead_of_the_greeting_and_in_any_split() -> None:
    data = login() + ask()
    for at in range(len(data) + 1):
        world = Clients()
        session, transport = world.connect()
        session.dataReceived(data[:at])
        session.dataReceived(data[at:])
        greeting, ok = packets(transport.sent())
        assert greeting[0] == 0 and greeting[1][0] == 10
        assert ok[0] == 2 and ok[1][0] == 0
        assert [one.id for one in world.taker.taken] == [b"%016x" % 1]


def test_a_result_reaches_the_client() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(ask())
    world.taker.replies[0].send_result(rows(b"a\t\xff\tNULL\n"))
    assert read_result(transport.sent()) == [(b"a", b"\xff", b"NULL")]


def test_a_refusal_holds_the_hint() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(ask())
    world.taker.replies[0].refuse(1.25)
    problem = error_of(transport.sent())
    assert problem.code in (1040, 1203, 1226)
    assert problem.text == "after=1250"


def test_a_failure_is_none_of_the_errors_that_mean_refused() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(ask())
    world.taker.replies[0].fail("failed")
    assert error_of(transport.sent()).code not in (1040, 1203, 1226)


def test_queries_of_one_session_run_one_after_the_other() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(ask(1) + ask(2))
    assert len(world.taker.taken) == 1
    world.taker.replies[0].send_result(rows(b""))
    world.clock.advance(0)
    assert [one.id for one in world.taker.taken] == [b"%016x" % 1, b"%016x" % 2]
    assert len(read_result(transport.sent())) == 0


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (command(0x0E), None),
        (command(0x02, b"dw"), None),
        (command(0x02, b"other"), 1049),
        (command(0x16, b"x"), 1047),
        (command(0x99), 1047),
        (encode_packet(0, b""), 1047),
        (query(b"SELECT 1"), 1064),
        (query(b"KILL QUERY 999999"), 1094),
    ],
)
def test_commands_and_their_answers(sent: bytes, code: int | None) -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(sent)
    ((number, payload),) = packets(transport.sent())
    assert number == 1
    assert payload[0] == 0 if code is None else mysql_client.ServerError(payload).code == code
    session.dataReceived(ask())
    assert len(world.taker.taken) == 1  # the session goes on


def test_quit_ends_the_session() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(command(0x01))
    assert transport.disconnecting


@pytest.mark.parametrize(
    ("data", "code"),
    [(login(user=b"root"), 1045), (login(database=b"other"), 1049), (encode_packet(1, b"\0" * 40), 1043)],
)
def test_another_user_database_or_protocol_is_turned_away(data: bytes, code: int) -> None:
    world = Clients()
    session, transport = world.connect()
    transport.clear()
    session.dataReceived(data)
    assert error_of(transport.sent()).code == code
    assert transport.disconnecting


def test_a_query_that_cannot_be_taken_is_an_error_at_once() -> None:
    world = Clients()
    session, transport = world.logged_in()
    world.taker.error = UnusableQueryError("unknown class")
    session.dataReceived(ask())
    assert error_of(transport.sent()).code == 1105


def test_an_error_in_one_session_ends_that_session_alone_and_is_logged() -> None:
    world = Clients()
    session, transport = world.logged_in()
    other, _ = world.logged_in()
    world.taker.error = RuntimeError("x")
    session.dataReceived(ask())
    assert transport.disconnecting
    assert world.logged == ["session_error"]
    world.taker.error = None
    other.dataReceived(ask())
    assert len(world.taker.taken) == 1


def test_an_oversized_packet_ends_that_session_and_drops_its_query() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived((MAX_PACKET_BYTES + 1).to_bytes(3, "little") + b"\0")
    assert error_of(transport.sent()).code == 1153
    assert transport.disconnecting


def test_a_client_that_sends_without_end_ends_its_session() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(ask())
    for _ in range(MAX_SESSION_BUFFER_BYTES // 10_000 + 2):
        session.dataReceived(bytes(10_000))
    assert transport.disconnecting
    assert world.taker.dropped == [1]


def test_a_slow_reader_is_asked_to_read_before_it_is_served_more() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.pauseProducing()
    session.dataReceived(command(0x0E) * 1000)
    assert transport.sent() == b""
    session.resumeProducing()
    world.clock.advance(0)
    assert len(packets(transport.sent())) == 1000


def test_kill_query_drops_the_query_that_is_open_and_hits_nobody_else() -> None:
    world = Clients()
    session, transport = world.logged_in()
    other, other_transport = world.logged_in()
    killer, killer_transport = world.logged_in()
    session.dataReceived(ask(1))
    other.dataReceived(ask(2))
    killer.dataReceived(query(b"KILL QUERY %d" % session.connection_id))
    assert packets(killer_transport.sent())[0][1][0] == 0
    assert world.taker.dropped == [1]
    assert error_of(transport.sent()).code == 1317
    assert other_transport.sent() == b""
    killer.dataReceived(query(b"KILL QUERY %d" % session.connection_id))  # nothing is open there any more
    assert world.taker.dropped == [1]
    assert transport.sent() == b""


def test_a_query_is_told_with_how_long_it_may_have_lain_unread() -> None:
    """A late turn reads it late, and its deadline counts from its last byte."""
    world = Clients()
    world.taker.unread = 0.04
    session, _ = world.connect()
    world.clock.advance(0.01)
    session.dataReceived(login() + ask(1))  # may have come with the connection
    world.taker.replies[0].refuse(0.0)
    world.taker.unread = 0.02
    session.dataReceived(ask(2))
    assert [round(one, 6) for one in world.taker.waited] == [0.05, 0.02]


def test_a_lost_connection_drops_its_query_and_a_late_answer_goes_nowhere() -> None:
    world = Clients()
    session, transport = world.logged_in()
    session.dataReceived(ask())
    session.connectionLost(Failure(error.ConnectionLost()))
    assert world.taker.dropped == [1]
    world.taker.replies[0].send_result(rows(b""))
    assert transport.sent() == b""
    assert len(world.sessions) == 0


def test_connection_ids_begin_at_a_point_drawn_from_the_seed() -> None:
    firsts = {Clients(seed=seed).connect()[0].connection_id for seed in range(50)}
    assert len(firsts) == 50
    world = Clients(seed=3)
    assert world.connect()[0].connection_id != world.connect()[0].connection_id
    assert Clients(seed=3).connect()[0].connection_id == Clients(seed=3).connect()[0].connection_id


def test_connections_beyond_the_bound_are_told_so() -> None:
    world = Clients(most=1)
    world.connect()
    _, transport = world.connect()
    assert error_of(transport.sent()).code == 1040
    assert transport.disconnecting


# Clients that hold connections, stop midway or send what can't be used


def pass_time(world: Clients, seconds: float) -> None:
    for _ in range(round(seconds / SWEEP_INTERVAL_S)):
        world.clock.advance(SWEEP_INTERVAL_S)


def swept(**options: Any) -> Clients:
    world = Clients(**options)
    world.sessions.startFactory()
    return world


@pytest.mark.parametrize("sent", [b"", login()[:20], login(), login() + ask()[:30], b"\x05\0\0"])
def test_a_client_that_asks_nothing_whole_is_told_so_within_three_seconds(sent: bytes) -> None:
    world = swept()
    session, transport = world.connect()
    session.dataReceived(sent)
    pass_time(world, 1.5)
    assert not transport.disconnecting
    pass_time(world, 1.0)
    assert error_of(transport.sent()).code == 1159
    assert transport.disconnecting


def test_a_packet_that_comes_byte_by_byte_wins_no_time() -> None:
    world = swept()
    session, transport = world.logged_in()
    session.dataReceived(command(0x0E))
    for byte in ask()[: round(PACKET_TIMEOUT_S / SWEEP_INTERVAL_S) + 2]:
        session.dataReceived(bytes((byte,)))
        world.clock.advance(SWEEP_INTERVAL_S)
    assert transport.disconnecting


def test_an_idle_session_is_closed_and_one_with_a_query_open_never() -> None:
    world = swept()
    session, transport = world.logged_in()
    session.dataReceived(ask())
    pass_time(world, 4 * IDLE_TIMEOUT_S)
    assert not transport.disconnecting
    world.taker.replies[0].send_result(rows(b""))
    pass_time(world, IDLE_TIMEOUT_S - 0.5)
    assert not transport.disconnecting
    pass_time(world, 1.0)
    assert transport.disconnecting
    assert world.counters.values["client_sessions_idle"] == 1


def test_a_client_that_does_not_take_its_last_bytes_is_cut_off() -> None:
    world = swept()
    session, transport = world.logged_in()
    session.dataReceived(command(0x01))
    assert transport.disconnecting and not transport.aborted
    pass_time(world, CLOSE_TIMEOUT_S + SWEEP_INTERVAL_S)
    assert transport.aborted


def test_silent_sessions_make_room_first_then_idle_ones_and_never_one_with_a_query() -> None:
    world = swept(most=3)
    asking, asking_transport = world.logged_in()
    asking.dataReceived(ask(1))
    idle, idle_transport = world.logged_in()
    idle.dataReceived(command(0x0E))
    world.clock.advance(MIN_EVICTION_AGE_S)
    _, silent_transport = world.connect()
    world.clock.advance(MIN_EVICTION_AGE_S)
    for transport in (silent_transport, idle_transport):
        fresh, fresh_transport = world.logged_in()
        assert transport.disconnecting and not fresh_transport.disconnecting
        fresh.dataReceived(ask(len(world.taker.taken) + 1))
    _, last = world.connect()
    assert error_of(last.sent()).code == 1040  # all have a query open
    assert not asking_transport.disconnecting
    assert len(world.sessions) == 3


def test_what_all_sessions_keep_is_bounded() -> None:
    world = swept(most=100, most_kept=100_000)
    ends = []
    for _ in range(20):
        session, transport = world.logged_in()
        session.dataReceived((30_000).to_bytes(3, "little") + b"\0" + bytes(20_000))
        ends.append(transport.disconnecting)
        assert world.sessions.buffered_bytes <= 100_000
    assert ends == [False] * 4 + [True] * 16
    pass_time(world, 3.0)
    assert world.sessions.buffered_bytes == 0


def test_kept_bytes_are_no_longer_counted_once_a_client_is_gone() -> None:
    world = swept()
    session, _ = world.logged_in()
    session.dataReceived(ask()[:20])
    assert world.sessions.buffered_bytes == 20
    session.connectionLost(Failure(error.ConnectionLost()))
    assert world.sessions.buffered_bytes == 0


def test_a_session_with_nothing_but_queries_that_cannot_be_used_ends() -> None:
    world = swept()
    session, transport = world.logged_in()
    session.dataReceived(query(b"SELECT 1") * 100)
    assert len(packets(transport.sent())) == MAX_UNUSABLE_QUERIES
    assert transport.disconnecting
    assert world.counters.values["queries_unusable"] == MAX_UNUSABLE_QUERIES


@pytest.mark.parametrize("number", [1, 7])
def test_packets_out_of_order_end_the_session_and_nothing_is_taken(number: int) -> None:
    world = swept()
    session, transport = world.logged_in()
    session.dataReceived(encode_packet(number, ask()[4:]))
    assert error_of(transport.sent()).code == 1156
    assert transport.disconnecting and not world.taker.taken


def test_a_stall_of_the_front_makes_no_client_overdue() -> None:
    world = swept()
    session, transport = world.connect()
    world.clock.advance(10.0)  # the timers of a turn fire before its sockets are read
    assert not transport.disconnecting
    session.dataReceived(login() + ask())
    pass_time(world, 1.0)
    assert not transport.disconnecting and len(world.taker.taken) == 1
