"""Calls to engines over connections in memory: pools, the bound, the line, and what brings no answer."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.python.failure import Failure

from micahold.transport.calls import (
    LATE_READ_GRACE_S,
    RESPONSE_TIMEOUT_S,
    REUSE_DELAY_S,
    CallError,
    CallNotSentError,
    ConnectError,
    ConnectionBrokenError,
    EngineConnectionPools,
    UnreadableResponseError,
)
from tests.network import EngineSide, answer, news


class Caller(EngineSide):
    """Makes calls and keeps what each brought, by name."""

    def __init__(self, most: int = 10) -> None:
        super().__init__(most)
        self.brought: dict[str, Any] = {}

    def call(self, name: str, engine: str = "a", due_at: float = 0.0, **options: Any) -> Any:
        call = self.pools.call(engine, name.encode(), due_at, **options)
        call.response.addCallback(lambda got: self.brought.__setitem__(name, got.status))

        def failed(failure: Failure) -> None:
            self.brought[name] = failure.type

        call.response.addErrback(failed)
        return call


def test_a_connection_is_used_again_for_the_same_engine_only() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    assert link.transport.sent() == b"one"
    link.say(answer())
    world.turn(REUSE_DELAY_S)
    world.call("two")
    assert link.transport.sent() == b"two"
    world.call("other", engine="b")
    assert [one.address for one in world.links] == [("127.0.0.1", 4097), ("127.0.0.1", 4098)]
    assert world.brought == {"one": 200}


def test_a_second_copy_of_an_answer_never_passes_for_the_answer_to_the_next_call() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(answer())
    world.call("two")
    assert len(world.links) == 2  # not yet on the connection that was just used
    link.say(answer(500))
    assert link.transport.aborted
    world.links[1].up().say(answer(204))
    assert world.brought == {"one": 200, "two": 204}
    world.turn(REUSE_DELAY_S)
    world.call("page", self_identifying=True)
    world.links[1].say(answer(200))
    world.call("three", self_identifying=True)
    assert len(world.links) == 2


def test_a_good_answer_with_noise_behind_counts_and_its_connection_is_dropped() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(answer() + b"noise")
    assert world.brought == {"one": 200}
    assert link.transport.aborted
    assert world.pools.open_connections == 0


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Le", answer(200, b"body")[:-1]])
def test_a_call_whose_answer_stops_short_or_never_comes_has_an_end(part: bytes) -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(part)
    world.turn(RESPONSE_TIMEOUT_S - 0.01)
    assert not world.brought
    world.turn(0.02)
    world.turn(LATE_READ_GRACE_S)
    assert world.brought == {"one": ConnectionBrokenError}
    assert link.transport.aborted
    assert world.pools.open_connections == 0


def test_an_answer_that_a_late_loop_has_not_read_yet_is_waited_for() -> None:
    """The timers of a turn fire before its sockets are read: a stall must not cut all calls off."""
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    world.turn(5 * RESPONSE_TIMEOUT_S)
    link.say(answer())
    world.turn(LATE_READ_GRACE_S)
    assert world.brought == {"one": 200}


def test_a_connection_that_the_engine_means_to_close_is_not_used_again() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(answer(Connection="close"))
    assert link.transport.aborted
    world.call("two")
    assert len(world.links) == 2


@pytest.mark.parametrize(
    ("happens", "error"),
    [
        ("refuse", ConnectError),
        ("time_out", ConnectError),
        ("lose", ConnectionBrokenError),
        ("say", UnreadableResponseError),
    ],
)
def test_what_brings_no_answer_is_told_apart(happens: str, error: type[CallError]) -> None:
    world = Caller()
    world.call("one")
    link = world.links[0]
    if happens in ("lose", "say"):
        link.up()
    getattr(link, happens)(*([b"no HTTP at all\r\n\r\n"] if happens == "say" else []))
    assert world.brought == {"one": error}
    assert world.pools.open_connections == 0


def test_the_connect_time_out_is_the_one_of_the_settings() -> None:
    world = Caller()
    world.call("one")
    assert world.links[0].timeout == 0.25


def test_calls_beyond_the_bound_wait_and_the_one_due_first_goes_first() -> None:
    world = Caller(most=1)
    world.call("one", due_at=1.0)
    world.call("late", due_at=9.0)
    world.call("soon", due_at=2.0)
    assert len(world.links) == 1
    world.links[0].up().say(answer())
    assert world.links[1].up().transport.sent() == b"soon"
    world.links[1].say(answer())
    assert world.links[2].up().transport.sent() == b"late"
    assert world.pools.open_connections == 1


def test_an_idle_connection_makes_room_for_another_engine() -> None:
    world = Caller(most=1)
    world.call("one")
    link = world.links[0].up()
    link.say(answer())
    world.call("other", engine="b")
    assert link.transport.aborted
    assert len(world.links) == 2
    assert world.pools.open_connections == 1


def test_a_call_that_waits_goes_once_a_connection_is_lost() -> None:
    world = Caller(most=1)
    world.call("one")
    world.call("two")
    world.links[0].up().lose()
    world.turn()
    assert world.brought == {"one": ConnectionBrokenError}
    assert world.links[1].up().transport.sent() == b"two"


def test_an_abandoned_call_in_line_is_never_written() -> None:
    world = Caller(most=1)
    world.call("one")
    world.call("two").abandon()
    link = world.links[0].up()
    link.transport.clear()
    link.say(answer())
    assert link.transport.sent() == b""
    assert world.brought == {"one": 200}


def test_the_answer_to_an_abandoned_call_is_dropped_and_its_connection_used_again() -> None:
    world = Caller()
    call = world.call("one")
    link = world.links[0].up()
    call.abandon()
    link.say(answer())
    world.turn(RESPONSE_TIMEOUT_S * 2)
    assert world.brought == {}
    assert not link.transport.aborted
    link.transport.clear()
    world.call("two")
    assert link.transport.sent() == b"two"


def test_a_connection_does_not_wait_for_good_for_an_answer_nobody_wants() -> None:
    world = Caller()
    call = world.call("one")
    link = world.links[0].up()
    call.abandon()
    world.turn(RESPONSE_TIMEOUT_S)
    world.turn(LATE_READ_GRACE_S)
    assert link.transport.aborted
    assert world.pools.open_connections == 0


def test_the_list_is_looked_at_again_before_the_first_byte() -> None:
    world = Caller()
    world.call("one", should_send=lambda: world.directory.accepts_queries("a"))
    world.directory.update(news(2, full=False, a="draining"))
    link = world.links[0].up()
    world.turn()
    assert link.transport.sent() == b""
    assert world.brought == {"one": CallNotSentError}


def test_nothing_is_sent_to_an_engine_that_has_gone_since_its_address_may_be_anothers() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(answer())
    for gone in world.directory.update(news(2, a="gone", b="up")):
        world.pools.close_idle(gone)
    assert link.transport.aborted
    world.call("two")
    world.turn()
    assert world.brought["two"] is CallNotSentError
    assert len(world.links) == 1


def test_an_engine_that_has_moved_is_called_at_its_new_address() -> None:
    world = Caller()
    world.call("one")
    world.links[0].up().say(answer())
    moved = news(2, full=False, a="up")
    moved.addresses["a"] = ("127.0.0.1", 5000)
    for engine in world.directory.update(moved):
        world.pools.close_idle(engine)
    assert world.links[0].transport.aborted
    world.call("two")
    assert world.links[1].address == ("127.0.0.1", 5000)


def test_a_connection_in_use_while_its_engine_moved_is_not_used_again() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    moved = news(2, full=False, a="up")
    moved.addresses["a"] = ("127.0.0.1", 5000)
    world.directory.update(moved)
    link.say(answer())
    assert world.brought == {"one": 200}
    assert link.transport.aborted


def test_idle_connections_are_closed_before_the_engine_does_it() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(answer())
    for _ in range(9):
        world.turn(1.0)
    assert link.transport.aborted
    assert world.pools.open_connections == 0


def test_an_idle_connection_that_speaks_is_dropped() -> None:
    world = Caller()
    world.call("one")
    link = world.links[0].up()
    link.say(answer())
    link.say(answer())
    assert link.transport.aborted


def test_a_written_call_holds_nothing_of_its_caller() -> None:
    """Else each attempt is a cycle, and only the collector, which stalls all, could free it."""
    world = Caller()
    call = world.call("one", should_send=lambda: True)
    world.links[0].up()
    assert call.should_send is None


def test_pools_without_an_idle_limit_need_no_sweep() -> None:
    side = EngineSide()
    pools = EngineConnectionPools(side.clock, side.directory, side.counters, 1, 0.25, engine_idle_timeout=0.0)
    assert pools.call("a", b"x", 0.0) is not None
