"""Tests of engine calls over in-memory connections: pooling, the connection limit, queueing and failures."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.python.failure import Failure

from micahold.transport.calls import (
    CallError,
    CallNotSentError,
    ConnectError,
    ConnectionBrokenError,
    MismatchedResponseError,
    UnreadableResponseError,
)
from micahold.transport.connection_pools import EngineConnectionPools
from micahold.transport.directory import EngineListing
from micahold.transport.engine_connection import (
    DELETE_REUSE_DELAY_S,
    LATE_READ_GRACE_S,
    RESPONSE_TIMEOUT_S,
    REUSE_DELAY_S,
    TRAILING_DATA_DELAY_S,
)
from micahold.transport.response_matching import ExpectedResponse, expect_delete, expect_page, expect_status
from tests.network import EngineHarness, engine_list_event, http_response

ANY_RESPONSE = ExpectedResponse(lambda response: True, attempt=0)


class CallRecorder(EngineHarness):
    """Makes calls and records the status or the error type of each under its name."""

    def __init__(self, max_connections: int = 10) -> None:
        super().__init__(max_connections)
        self.outcomes: dict[str, Any] = {}
        self.listings = {engine: self.listing(engine) for engine in ("a", "b")}

    def listing(self, engine: str) -> EngineListing:
        """The current listing of an engine."""
        listing = self.directory.listing(engine)
        assert listing is not None
        return listing

    def call(self, name: str, engine: str = "a", due_at: float = 0.0, **options: Any) -> Any:
        """Makes a call whose request is its name to the first listing of the engine."""
        prepare = options.pop("prepare", name.encode)
        expected = options.pop("expected", ANY_RESPONSE)
        call = self.pools.call(self.listings[engine], due_at, prepare, expected, **options)
        call.response.addCallback(lambda response: self.outcomes.__setitem__(name, response.status))

        def failed(failure: Failure) -> None:
            self.outcomes[name] = failure.type

        call.response.addErrback(failed)
        return call


def test_connection_is_reused_for_the_same_engine_only() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    assert connection.transport.take_written() == b"one"
    connection.send(http_response())
    network.advance(REUSE_DELAY_S)
    network.call("two")
    assert connection.transport.take_written() == b"two"
    network.call("other", engine="b")
    assert [opened.address for opened in network.connections] == [("127.0.0.1", 4097), ("127.0.0.1", 4098)]
    assert network.outcomes == {"one": 200}


def test_duplicate_response_is_not_taken_for_the_response_to_the_next_call() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    network.call("two")
    assert len(network.connections) == 2  # the connection that was just used is not reused yet
    connection.send(http_response(500))
    assert connection.transport.aborted
    network.connections[1].accept().send(http_response(204))
    assert network.outcomes == {"one": 200, "two": 204}
    network.advance(DELETE_REUSE_DELAY_S)
    network.call("page", expected=expect_page(1, 1, is_retry=False))
    network.connections[1].send(http_response(200, X_Sheet="1"))
    network.call("next page", expected=expect_page(1, 2, is_retry=False))
    assert len(network.connections) == 2
    network.connections[1].send(http_response(200, X_Sheet="2"))
    assert network.outcomes == {"one": 200, "two": 204, "page": 200, "next page": 200}


@pytest.mark.parametrize(
    "expected", [expect_status(1), expect_status(2), expect_page(2, 1, False), expect_page(1, 1, True)]
)
def test_connection_rests_before_a_call_that_a_duplicate_could_answer(expected: ExpectedResponse) -> None:
    """Guards against the page of one query that is taken for the page of the same number of another."""
    network = CallRecorder()
    network.call("page", expected=expect_page(1, 1, is_retry=False))
    connection = network.connections[0].accept()
    connection.send(http_response(200, X_Sheet="1"))
    network.call("other", expected=expected)
    assert len(network.connections) == 2
    connection.send(http_response(200, X_Sheet="1"))
    assert connection.transport.aborted
    assert network.outcomes == {"page": 200}


@pytest.mark.parametrize("busy_s", [0.0, 0.02, 0.5])
def test_duplicate_that_arrived_while_the_front_was_busy_answers_no_other_call(busy_s: float) -> None:
    """Guards against a rest that is counted by the clock while a copy lies unread on the connection."""
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response(200))
    connection.arrive(http_response(200))
    network.advance(REUSE_DELAY_S + busy_s)
    network.call("two")
    assert connection.transport.aborted
    network.connections[1].accept().send(http_response(500))
    assert network.outcomes == {"one": 200, "two": 500}


@pytest.mark.parametrize(
    ("expected", "response"),
    [
        (expect_status(1), http_response(200)),
        (expect_status(1), http_response(200, X_Sheet="1")),
        (expect_status(1), http_response(204)),
        (expect_page(1, 1, False), http_response(200, X_Sheets="2")),
        (expect_page(1, 1, False), http_response(200, X_Sheet="2")),
        (expect_page(1, 1, False), http_response(202)),
        (expect_page(1, 1, False), http_response(204)),
        (expect_delete(1), http_response(200, X_Sheets="1")),
        (expect_delete(1), http_response(202)),
        (expect_delete(1), http_response(500)),
        (expect_status(1), b"HTTP/1.0 204 X\r\n\r\n"),
    ],
)
def test_response_that_does_not_name_what_was_asked_closes_its_connection(
    expected: ExpectedResponse, response: bytes
) -> None:
    """Guards against a connection on which each later response answers the call before its own."""
    network = CallRecorder()
    network.call("one", expected=expected)
    connection = network.connections[0].accept()
    connection.send(response)
    assert network.outcomes == {"one": MismatchedResponseError}
    assert connection.transport.aborted
    network.advance(1.0)
    network.call("two")
    assert len(network.connections) == 2


@pytest.mark.parametrize("late_s", [0.001, 0.008, 0.015])
def test_duplicate_response_some_milliseconds_late_answers_no_other_call(late_s: float) -> None:
    """Otherwise all later responses on its connection answer the call before theirs."""
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response(202))
    network.advance(late_s)
    network.call("two")
    connection.send(http_response(202))
    assert connection.transport.aborted
    network.connections[1].accept().send(http_response(500))
    assert network.outcomes == {"one": 202, "two": 500}


def test_response_followed_by_garbage_is_delivered_and_its_connection_aborted() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response() + b"noise")
    assert network.outcomes == {"one": 200}
    assert connection.transport.aborted
    assert network.pools.open_connections == 0


@pytest.mark.parametrize("partial", [b"", b"HTTP/1.1 200 OK\r\nContent-Le", http_response(200, b"body")[:-1]])
def test_call_with_an_incomplete_or_missing_response_fails_after_the_timeout(partial: bytes) -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(partial)
    network.advance(RESPONSE_TIMEOUT_S - 0.01)
    assert not network.outcomes
    network.advance(0.02)
    network.advance(LATE_READ_GRACE_S)
    assert network.outcomes == {"one": ConnectionBrokenError}
    assert connection.transport.aborted
    assert network.pools.open_connections == 0


def test_response_not_read_yet_by_a_late_event_loop_is_awaited() -> None:
    """After a stall, timers fire before sockets are read; this must not fail all calls."""
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    network.advance(5 * RESPONSE_TIMEOUT_S)
    connection.send(http_response())
    network.advance(LATE_READ_GRACE_S)
    assert network.outcomes == {"one": 200}


def test_connection_with_a_connection_close_response_is_not_reused() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response(Connection="close"))
    network.advance(TRAILING_DATA_DELAY_S)
    assert connection.transport.aborted
    network.call("two")
    assert len(network.connections) == 2


@pytest.mark.parametrize(
    ("event", "error"),
    [
        ("refuse", ConnectError),
        ("time_out", ConnectError),
        ("disconnect", ConnectionBrokenError),
        ("send", UnreadableResponseError),
    ],
)
def test_each_kind_of_failure_has_its_own_error(event: str, error: type[CallError]) -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0]
    if event in ("disconnect", "send"):
        connection.accept()
    getattr(connection, event)(*([b"no HTTP at all\r\n\r\n"] if event == "send" else []))
    assert network.outcomes == {"one": error}
    assert network.pools.open_connections == 0


def test_connect_timeout_is_passed_to_the_reactor() -> None:
    network = CallRecorder()
    network.call("one")
    assert network.connections[0].timeout == 0.25


def test_calls_beyond_the_connection_limit_wait_in_order_of_their_due_time() -> None:
    network = CallRecorder(max_connections=1)
    network.call("one", due_at=1.0)
    network.call("late", due_at=9.0)
    network.call("soon", due_at=2.0)
    assert len(network.connections) == 1
    connection = network.connections[0].accept()
    for name in (b"one", b"soon", b"late"):
        assert connection.transport.take_written() == name
        connection.send(http_response())
        network.advance(TRAILING_DATA_DELAY_S)
    assert len(network.connections) == 1
    assert network.pools.open_connections == 1


def test_idle_connection_is_evicted_for_another_engine() -> None:
    network = CallRecorder(max_connections=1)
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    network.call("other", engine="b")
    assert connection.transport.aborted
    assert len(network.connections) == 2
    assert network.pools.open_connections == 1


def test_waiting_call_is_sent_after_a_connection_is_lost() -> None:
    network = CallRecorder(max_connections=1)
    network.call("one")
    network.call("two")
    network.connections[0].accept().disconnect()
    network.advance()
    assert network.outcomes == {"one": ConnectionBrokenError}
    assert network.connections[1].accept().transport.take_written() == b"two"


def test_abandoned_waiting_call_is_never_sent() -> None:
    network = CallRecorder(max_connections=1)
    network.call("one")
    network.call("two").abandon()
    connection = network.connections[0].accept()
    connection.transport.clear()
    connection.send(http_response())
    assert connection.transport.take_written() == b""
    assert network.outcomes == {"one": 200}


def test_response_to_an_abandoned_call_is_ignored_and_its_connection_reused() -> None:
    network = CallRecorder()
    call = network.call("one")
    connection = network.connections[0].accept()
    call.abandon()
    connection.send(http_response())
    network.advance(RESPONSE_TIMEOUT_S * 2)
    assert network.outcomes == {}
    assert not connection.transport.aborted
    connection.transport.clear()
    network.call("two")
    assert connection.transport.take_written() == b"two"


def test_connection_of_an_abandoned_call_without_a_response_is_aborted() -> None:
    network = CallRecorder()
    call = network.call("one")
    connection = network.connections[0].accept()
    call.abandon()
    network.advance(RESPONSE_TIMEOUT_S)
    network.advance(LATE_READ_GRACE_S)
    assert connection.transport.aborted
    assert network.pools.open_connections == 0


def test_engine_list_is_checked_again_before_the_first_byte() -> None:
    network = CallRecorder()
    listing = network.listings["a"]
    network.call("one", prepare=lambda: b"one" if network.directory.accepts_queries(listing) else None)
    network.directory.update(engine_list_event(2, full=False, a="draining"))
    connection = network.connections[0].accept()
    network.advance()
    assert connection.transport.take_written() == b""
    assert network.outcomes == {"one": CallNotSentError}


def test_nothing_is_sent_to_the_address_of_an_engine_that_is_gone() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    for listing in network.directory.update(engine_list_event(2, a="gone", b="up")).ended:
        network.pools.close_ended(listing)
    assert connection.transport.aborted
    network.call("two")
    network.advance()
    assert network.outcomes["two"] is CallNotSentError
    assert len(network.connections) == 1


def test_engine_with_a_changed_address_is_called_at_the_new_one() -> None:
    network = CallRecorder()
    network.call("one")
    network.connections[0].accept().send(http_response())
    moved = engine_list_event(2, full=False, a="up")
    moved.addresses["a"] = ("127.0.0.1", 5000)
    for listing in network.directory.update(moved).ended:
        network.pools.close_ended(listing)
    assert network.connections[0].transport.aborted
    network.listings["a"] = network.listing("a")
    network.call("two")
    assert network.connections[1].address == ("127.0.0.1", 5000)


def test_connection_in_use_during_a_change_of_address_is_not_reused() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    moved = engine_list_event(2, full=False, a="up")
    moved.addresses["a"] = ("127.0.0.1", 5000)
    network.directory.update(moved)
    connection.send(http_response())
    assert network.outcomes == {"one": 200}
    assert connection.transport.aborted


def test_idle_connection_is_closed_before_the_engine_closes_it() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    for _ in range(9):
        network.advance(1.0)
    assert connection.transport.aborted
    assert network.pools.open_connections == 0


def test_idle_connection_that_receives_data_is_aborted() -> None:
    network = CallRecorder()
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    connection.send(http_response())
    assert connection.transport.aborted


def test_ended_call_holds_no_reference_to_its_caller() -> None:
    """Otherwise each attempt is a cycle that only a garbage collection frees, which stalls the front."""
    network = CallRecorder()
    call = network.call("one", prepare=lambda: b"one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    assert call.prepare is None
    abandoned = network.call("two")
    abandoned.abandon()
    assert abandoned.prepare is None


def test_pools_without_an_idle_timeout_start_no_sweep() -> None:
    network = EngineHarness()
    pools = EngineConnectionPools(
        network.clock, network.directory, network.counters, 1, 0.25, engine_idle_timeout=0.0
    )
    listing = network.directory.listing("a")
    assert listing is not None
    assert pools.call(listing, 0.0, lambda: b"x", ANY_RESPONSE) is not None


def test_retained_listing_is_called_on_its_connections_after_its_end_and_on_no_new_one() -> None:
    """Its process may still run queries, and another process may have its address."""
    network = CallRecorder()
    network.pools.retain(network.listings["a"])
    network.call("one")
    connection = network.connections[0].accept()
    connection.send(http_response())
    for listing in network.directory.update(engine_list_event(2, a="gone", b="up")).ended:
        network.pools.close_ended(listing)
    network.advance(REUSE_DELAY_S)
    connection.transport.clear()
    network.call("two")
    assert connection.transport.take_written() == b"two"
    network.call("three")
    network.advance()
    assert network.outcomes["three"] is CallNotSentError
    connection.send(http_response())
    network.pools.release_listing(network.listings["a"])
    assert connection.transport.aborted
    assert len(network.connections) == 1


def test_engine_that_returns_under_its_id_gets_connections_of_its_own() -> None:
    network = CallRecorder()
    old_listing = network.listings["a"]
    network.pools.retain(old_listing)
    network.call("one")
    network.connections[0].accept().send(http_response())
    network.directory.update(engine_list_event(2, a="gone", b="up"))
    network.directory.update(engine_list_event(3, a="up", b="up"))
    assert network.listing("a") != old_listing
    network.listings["a"] = network.listing("a")
    network.advance(REUSE_DELAY_S)
    network.call("two")
    assert network.connections[1].accept().transport.take_written() == b"two"


def test_connection_that_comes_up_after_the_end_of_its_listing_carries_nothing() -> None:
    network = CallRecorder()
    network.call("one")
    network.directory.update(engine_list_event(2, a="gone", b="up"))
    connection = network.connections[0].accept()
    network.advance()
    assert connection.transport.take_written() == b""
    assert connection.transport.aborted
    assert network.outcomes == {"one": CallNotSentError}


def test_connection_rests_longer_after_an_acknowledged_delete() -> None:
    """A duplicate of the acknowledgement would acknowledge the next DELETE."""
    network = CallRecorder()
    network.call("one")
    network.connections[0].accept().send(http_response(204))
    network.advance(REUSE_DELAY_S)
    network.call("two")
    assert len(network.connections) == 2
    network.advance(DELETE_REUSE_DELAY_S)
    network.connections[0].transport.clear()
    network.call("three")
    assert network.connections[0].transport.take_written() == b"three"
