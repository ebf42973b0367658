"""Attempts on engines: each end is the outcome that the wire page defines, and comes once."""

from __future__ import annotations

import gc
import weakref

import pytest

from micahold.interface import Outcome
from micahold.transport.attempts import (
    MAX_PAGES,
    MAX_UNREADABLE_RESPONSES,
    MIN_POLL_INTERVAL_S,
    QUERY_LEASE_S,
)
from micahold.transport.calls import LATE_READ_GRACE_S, RESPONSE_TIMEOUT_S, REUSE_DELAY_S
from tests.mysql_client import read_result
from tests.network import PAGE, EngineSide, Link, answer, news

DELETE = b"DELETE /data/9b1f03aa5c7e2d41 HTTP/1.1\r\nHost: 127.0.0.1:4097\r\n\r\n"


def get(number: int) -> bytes:
    return b"GET /data/9b1f03aa5c7e2d41/%d HTTP/1.1\r\nHost: 127.0.0.1:4097\r\n\r\n" % number


def first_link(world: EngineSide) -> Link:
    """The connection of the POST, with the POST written."""
    link = world.links[0].up()
    link.transport.clear()
    return link


def test_the_post_holds_id_class_wait_token_and_the_statement_unchanged() -> None:
    world = EngineSide()
    world.start(token=b"5c0f")
    sent = world.links[0].up().transport.sent()
    assert sent.startswith(b"POST /data HTTP/1.1\r\n")
    for line in (b"Via-Id: 9b1f03aa5c7e2d41", b"Via-Class: report", b"Via-Wait: 5000", b"Via-Token: 5c0f"):
        assert line + b"\r\n" in sent
    assert sent.endswith(b"\r\n\r\nSELECT 1")


def test_a_result_is_read_whole_before_it_is_passed_on() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    link.say(answer(200, PAGE, X_Sheets="3", Srv_Load="inflight:7;util:0.5"))
    assert link.transport.sent() == get(1)
    link.say(answer(200, PAGE * 2, X_Sheet="1"))
    assert not ends
    assert link.transport.sent() == get(2)
    link.say(answer(200, b"", X_Sheet="2"))
    (end,) = ends
    assert end.outcome is Outcome.OK
    assert end.result_set is not None
    assert read_result(end.result_set) == [(b"a", b"1", b"x")] * 3
    assert end.load_report == b"inflight:7;util:0.5"
    world.turn(10.0)
    assert len(ends) == 1


@pytest.mark.parametrize("pages", ["0", "1"])
def test_an_empty_result_is_a_good_end(pages: str) -> None:
    world = EngineSide()
    _, ends = world.start()
    first_link(world).say(answer(200, b"", X_Sheets=pages))
    assert [end.outcome for end in ends] == [Outcome.OK]


@pytest.mark.parametrize(
    ("data", "outcome"),
    [
        (answer(503, Srv_Untouched="1"), Outcome.FULL),
        (answer(503), Outcome.ERROR),
        (answer(500), Outcome.ERROR),
        (answer(404), Outcome.ERROR),
        (answer(504, Srv_Untouched="1"), Outcome.NOT_STARTED),
        (answer(504), Outcome.TIMEOUT),
    ],
)
def test_answers_and_their_outcomes(data: bytes, outcome: Outcome) -> None:
    world = EngineSide()
    _, ends = world.start()
    first_link(world).say(data)
    assert [end.outcome for end in ends] == [outcome]
    assert ends[0].result_set is None


SPOILT = [
    answer(200, PAGE),
    answer(200, PAGE, X_Sheets="many"),
    answer(200, PAGE, X_Sheets=str(MAX_PAGES + 1)),
    answer(200, b"a\tb\n", X_Sheets="1"),
    answer(200, b"a\tb\tc", X_Sheets="1"),
    b"HTTP/1.1 200 OK\r\n\r\n" + PAGE,
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\nX-Sheets: 1\r\n\r\n" + PAGE,
    b"\x00\xff noise",
]


@pytest.mark.parametrize("data", SPOILT)
def test_a_spoilt_answer_is_asked_for_again_with_a_get_and_never_with_a_post(data: bytes) -> None:
    world = EngineSide()
    _, ends = world.start()
    first_link(world).say(data)
    world.turn()
    assert not ends
    again = world.links[1].up()
    assert again.transport.sent() == get(0)
    again.say(answer(200, PAGE, X_Sheets="1"))
    assert [end.outcome for end in ends] == [Outcome.OK]
    assert ends[0].result_set is not None and read_result(ends[0].result_set) == [(b"a", b"1", b"x")]
    assert world.counters.values["attempts_saved"] == 1


def test_answers_that_are_always_spoilt_end_as_an_error_once_the_query_is_given_up() -> None:
    world = EngineSide()
    _, ends = world.start(wait=30.0)
    first_link(world).say(b"noise")
    for at in range(1, MAX_UNREADABLE_RESPONSES + 1):
        world.turn(MIN_POLL_INTERVAL_S)
        again = world.links[at].up()
        assert again.transport.sent() == get(0)
        again.say(b"noise")
    assert not ends
    last = world.links[MAX_UNREADABLE_RESPONSES + 1].up()
    assert last.transport.sent() == DELETE
    last.say(answer(204))
    assert [end.outcome for end in ends] == [Outcome.ERROR]
    world.turn(10.0)
    assert len(world.links) == MAX_UNREADABLE_RESPONSES + 2


def test_a_post_that_is_never_answered_is_asked_about() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    world.turn(RESPONSE_TIMEOUT_S)
    world.turn(LATE_READ_GRACE_S)
    assert link.transport.aborted
    world.turn()
    world.links[1].up().say(answer(200, PAGE, X_Sheets="1"))
    assert [end.outcome for end in ends] == [Outcome.OK]


def test_a_query_that_an_engine_does_not_know_after_a_broken_post_is_given_up_before_it_is_told() -> None:
    """The POST may still be on its way there: another attempt beside it would be a second copy."""
    world = EngineSide()
    _, ends = world.start()
    first_link(world).lose()
    world.turn()
    link = world.links[1].up()
    link.say(answer(500))
    assert not ends
    world.turn(REUSE_DELAY_S)
    last = world.links[2].up()
    assert last.transport.sent() == DELETE
    last.say(answer(204))
    assert [end.outcome for end in ends] == [Outcome.CANCELLED]  # held against nobody


def test_news_are_asked_for_again_and_again_but_not_in_a_busy_loop() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    for _ in range(5):
        link.say(answer(202))
        assert link.transport.sent() == b""
        world.turn(MIN_POLL_INTERVAL_S)
        assert link.transport.sent() == get(0)
    world.turn(0.25)
    link.say(answer(202))
    assert (
        link.transport.sent() == b""
    )  # a long poll that took its time: as soon as the connection has rested
    world.turn(2 * REUSE_DELAY_S)
    assert link.transport.sent() == get(0)
    assert len(world.links) == 1
    link.say(answer(200, PAGE, X_Sheets="1"))
    assert [end.outcome for end in ends] == [Outcome.OK]


def test_pages_lost_midway_are_an_error() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    link.say(answer(200, PAGE, X_Sheets="2"))
    link.say(answer(500))
    assert [end.outcome for end in ends] == [Outcome.ERROR]


def test_a_page_with_another_number_is_not_passed_on() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    link.say(answer(200, PAGE, X_Sheets="3"))
    link.say(answer(200, PAGE, X_Sheet="2"))
    world.turn()
    again = world.links[1].up()
    assert again.transport.sent() == get(1)
    again.say(answer(200, PAGE))  # nor one without a number
    world.turn(MIN_POLL_INTERVAL_S)
    assert world.links[2].up().transport.sent() == get(1)
    assert not ends


@pytest.mark.parametrize("how", ["refuse", "time_out"])
def test_no_connection_proves_that_nothing_ran(how: str) -> None:
    world = EngineSide()
    _, ends = world.start()
    getattr(world.links[0], how)()
    assert [end.outcome for end in ends] == [Outcome.CONNECT_FAILED]


def test_a_post_whose_connection_breaks_is_not_repeated_and_is_over_before_it_is_told() -> None:
    """It may have come whole: a second attempt beside it would be a second copy."""
    world = EngineSide()
    _, ends = world.start()
    first_link(world).lose()
    world.turn()
    assert not ends
    link = world.links[1].up()
    assert link.transport.sent() == get(0)
    link.say(answer(200, PAGE, X_Sheets="1"))
    assert [end.outcome for end in ends] == [Outcome.OK]


def test_a_post_whose_engine_has_died_is_reset_at_once() -> None:
    world = EngineSide()
    _, ends = world.start()
    first_link(world).lose()
    world.turn()
    world.links[1].refuse()
    assert [end.outcome for end in ends] == [Outcome.RESET]


def test_a_get_is_asked_again_on_a_new_connection() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    link.say(answer(200, PAGE, X_Sheets="2"))
    link.lose()
    world.turn()
    again = world.links[1].up()
    assert again.transport.sent() == get(1)
    again.say(answer(200, PAGE, X_Sheet="1"))
    assert [end.outcome for end in ends] == [Outcome.OK]


def test_an_engine_that_dies_between_pages_is_an_outcome_and_nothing_was_passed_on() -> None:
    world = EngineSide()
    _, ends = world.start()
    link = first_link(world)
    link.say(answer(200, PAGE, X_Sheets="2"))
    link.lose()
    world.turn()
    world.links[1].refuse()
    assert [(end.outcome, end.result_set) for end in ends] == [(Outcome.RESET, None)]


def test_a_get_is_not_asked_again_for_longer_than_the_engine_keeps_the_query() -> None:
    world = EngineSide()
    _, ends = world.start(wait=30.0)
    link = first_link(world)
    link.say(answer(202))
    world.turn(MIN_POLL_INTERVAL_S)
    link.lose()
    for _ in range(20):
        world.turn(MIN_POLL_INTERVAL_S)
        for one in world.links[1:]:
            if one.protocol is None and not ends:
                world.turn(0.25)
                one.protocol = object()
                one.time_out()
    assert [end.outcome for end in ends] == [Outcome.RESET]


def test_at_its_expiry_an_attempt_times_out_is_given_up_and_hears_no_more() -> None:
    world = EngineSide()
    _, ends = world.start(wait=1.0)
    link = first_link(world)
    world.turn(1.0)
    assert [end.outcome for end in ends] == [Outcome.TIMEOUT]
    assert world.links[1].up().transport.sent() == DELETE
    link.say(answer(200, PAGE, X_Sheets="1"))
    world.links[1].say(answer(204))
    world.turn(10.0)
    assert len(ends) == 1


def test_an_attempt_never_written_by_its_expiry_never_ran() -> None:
    world = EngineSide(most=1)
    world.start(wait=9.0)
    _, ends = world.start(wait=1.0)
    world.turn(1.0)
    assert [end.outcome for end in ends] == [Outcome.NOT_STARTED]


def test_a_cancelled_attempt_ends_once_the_engine_has_given_it_up() -> None:
    """Told earlier, the next attempt could start while this one still runs."""
    world = EngineSide()
    attempt, ends = world.start()
    link = first_link(world)
    attempt.abort(Outcome.CANCELLED)
    attempt.abort(Outcome.CANCELLED)
    assert not ends
    gone = world.links[1].up()
    assert gone.transport.sent() == DELETE
    link.say(answer(200, PAGE, X_Sheets="2"))
    assert link.transport.sent() == b""
    gone.say(answer(204))
    assert [end.outcome for end in ends] == [Outcome.CANCELLED]


def test_a_cancelled_attempt_on_a_silent_engine_ends_when_the_engine_has_forgotten_it() -> None:
    world = EngineSide()
    attempt, ends = world.start(wait=60.0)
    link = first_link(world)
    world.turn(1.0)
    attempt.abort(Outcome.CANCELLED)
    world.links[1].up()
    world.turn(QUERY_LEASE_S - 1.1)
    assert not ends
    world.turn(0.3)
    assert [end.outcome for end in ends] == [Outcome.CANCELLED]
    assert link.transport.aborted  # nothing on its way may start it after all


def test_an_attempt_cancelled_before_its_first_byte_is_never_written() -> None:
    world = EngineSide()
    attempt, ends = world.start()
    attempt.abort(Outcome.CANCELLED)
    assert [end.outcome for end in ends] == [Outcome.CANCELLED]
    assert world.links[0].up().transport.sent() == b""


def test_a_delete_that_finds_no_connection_is_repeated() -> None:
    world = EngineSide()
    attempt, ends = world.start()
    first_link(world)
    attempt.abort(Outcome.CANCELLED)
    world.links[1].up().lose()
    world.turn(MIN_POLL_INTERVAL_S)
    again = world.links[2].up()
    assert again.transport.sent() == DELETE
    again.say(answer(204))
    assert [end.outcome for end in ends] == [Outcome.CANCELLED]


def test_an_engine_that_leaves_the_list_while_a_connection_is_made_is_sent_nothing() -> None:
    world = EngineSide()
    _, ends = world.start()
    world.directory.update(news(2, full=False, a="draining"))
    link = world.links[0].up()
    world.turn()
    assert link.transport.sent() == b""
    assert [end.outcome for end in ends] == [Outcome.NOT_STARTED]


def test_two_attempts_of_one_query_on_one_engine_are_not_mixed_up() -> None:
    world = EngineSide()
    first, first_ends = world.start()
    link = first_link(world)
    first.abort(Outcome.CANCELLED)
    world.links[1].up().say(answer(204))
    _, second_ends = world.start()
    link.say(answer(200, PAGE, X_Sheets="1"))  # the first one's, late
    assert [end.outcome for end in first_ends] == [Outcome.CANCELLED]
    assert not second_ends


def test_an_engine_that_takes_no_new_connection_but_has_one_up_is_not_taken_for_dead() -> None:
    """One that drains may refuse connections while it runs on: a second attempt would be a second copy."""
    world = EngineSide()
    attempt, ends = world.start(wait=30.0)
    world.start(wait=30.0)
    link, _ = (one.up() for one in world.links)
    link.transport.clear()
    attempt.abort(Outcome.CANCELLED)
    world.links[2].refuse()
    assert not ends
    link.say(answer(202))  # the POST's answer, which nobody wants, frees its connection
    world.turn(MIN_POLL_INTERVAL_S)
    assert link.transport.sent() == DELETE
    link.say(answer(204))
    assert [end.outcome for end in ends] == [Outcome.CANCELLED]


def test_news_refused_on_a_new_connection_are_asked_for_on_one_that_is_up() -> None:
    world = EngineSide()
    _, ends = world.start(wait=30.0)
    world.start(wait=30.0)
    link, busy = (one.up() for one in world.links)
    link.lose()
    world.turn()
    world.links[2].refuse()
    busy.say(answer(202))
    world.turn(2 * REUSE_DELAY_S)
    assert not ends
    busy.transport.clear()
    world.turn(MIN_POLL_INTERVAL_S)
    assert busy.transport.sent() == get(0)
    busy.say(answer(200, PAGE, X_Sheets="1"))
    assert [end.outcome for end in ends] == [Outcome.OK]


@pytest.mark.parametrize("how", ["cancelled", "expired", "served", "spoilt"])
def test_an_attempt_that_is_over_is_freed_without_a_collection(how: str) -> None:
    """Each holds a result: kept until a collection they would make memory grow."""
    gc.collect()
    gc.disable()
    try:
        world = EngineSide()
        attempt, ends = world.start(wait=1.0)
        left = weakref.ref(attempt)
        link = first_link(world)
        if how == "cancelled":
            attempt.abort(Outcome.CANCELLED)
        elif how == "expired":
            world.turn(1.0)
        elif how == "served":
            link.say(answer(200, PAGE, X_Sheets="1"))
        else:
            link.say(b"noise")
            world.turn()
            world.links[1].up().say(answer(200, PAGE, X_Sheets="1"))
        if how in ("cancelled", "expired"):
            world.links[1].up().say(answer(204))
        assert len(ends) == 1
        del attempt
        world.turn(3.0)
        world.turn(3.0)
        assert left() is None
    finally:
        gc.enable()
