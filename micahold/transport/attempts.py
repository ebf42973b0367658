"""One attempt of a query on one engine: start it, ask for news, read the result whole, or give it up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.interface import Outcome
from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import Answer, encode_request
from micahold.protocol.mysql_results import ResultRows
from micahold.transport.calls import (
    REUSE_DELAY_S,
    Call,
    CallNotSentError,
    ConnectError,
    ConnectionBrokenError,
    EngineConnectionPools,
    UnreadableResponseError,
)
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import TimerQueue

QUERY_LEASE_S = 2.0  # an engine forgets a query that has not been asked for in this time
MIN_POLL_INTERVAL_S = 0.05  # news are asked for no faster than this, should an engine answer 202 at once
MAX_PAGES = 64
MAX_UNREADABLE_RESPONSES = 8  # answers of one attempt that can't be read and are asked for again
UNTOUCHED = b"srv-untouched"
ALL_PAGES, ONE_PAGE, LOAD = b"x-sheets", b"x-sheet", b"srv-load"


@dataclass(slots=True)
class AttemptRequest:
    """What to start where; times are on the clock of ``now``."""

    engine: str
    query_id: bytes
    class_name: bytes
    token: bytes | None
    statement: bytes
    expires_at: float
    deadline: float


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; ``result_set`` is the whole answer to the query after a good end."""

    outcome: Outcome
    result_set: bytes | None = None
    load_report: bytes | None = None


class Attempt:
    """Ends exactly once, through ``done``; what comes after that is dropped."""

    def __init__(
        self,
        request: AttemptRequest,
        pools: EngineConnectionPools,
        directory: EngineDirectory,
        counters: Counters,
        now: Callable[[], float],
        timers: TimerQueue,
        on_alive: Callable[[], None] = lambda: None,
    ) -> None:
        self.request, self.pools, self.directory, self.on_alive = request, pools, directory, on_alive
        self.counters, self.now, self.timers = counters, now, timers
        self.done: Deferred[AttemptResult] = Deferred()
        self.over = False
        self._call: Call | None = None
        self._posted: Call | None = None
        self._given_up: Outcome | None = None
        self._path = b"/data/" + request.query_id
        self._first: Answer | None = None  # the answer that told a good end
        self._pages = 0
        self._rows = ResultRows()
        self._taken = 0  # pages read so far
        self._tail = b""  # of a request without headers of its own
        self._asked = 0.0  # when the engine was last asked for this query
        self._heard = 0.0  # when it last answered
        self._is_known = False  # an answer has shown that the engine has this query
        self._spoilt = 0  # answers that could not be read
        self._repeated = False  # the call out is a GET that is asked again
        self._asked_again = False  # there was one
        self._later: Any = None
        self._expiry: Any = None
        self._limit: Any = None

    # Start, news, pages

    def start(self) -> None:
        request, now = self.request, self.now()
        headers = [
            (b"Via-Id", request.query_id),
            (b"Via-Class", request.class_name),
            (b"Via-Wait", b"%d" % max(1, int((request.expires_at - now) * 1000))),
        ]
        if request.token is not None:
            headers.append((b"Via-Token", request.token))
        host = self._host()
        self._tail = b" HTTP/1.1\r\nHost: %s\r\n\r\n" % host
        message = encode_request(b"POST", b"/data", host, tuple(headers), request.statement)
        self._expiry = self.timers.call_later(max(0.0, request.expires_at - now), self.abort, Outcome.TIMEOUT)
        self._heard = now
        self._posted = self._call = self.pools.call(request.engine, message, now, self._still_takes_work)
        self._posted.response.addCallbacks(self._news, self._post_failed)

    def _host(self) -> bytes:
        address = self.directory.address(self.request.engine)
        return b"%s:%d" % (address[0].encode(), address[1]) if address else b"engine"

    def _still_takes_work(self) -> bool:
        """Asked before the first byte: the list may have changed while a connection was made."""
        self._asked = self.now()
        return self.directory.accepts_queries(self.request.engine)

    def _note_asked(self) -> bool:
        self._asked = self.now()
        return True

    def _get(self, number: int, fresh: bool = False, again: bool = False) -> None:
        if self.over or self._given_up is not None:
            return
        request = b"GET %s/%d%s" % (self._path, number, self._tail)
        self._repeated = again
        due = self._asked + QUERY_LEASE_S
        # A page tells its number: a second copy of an earlier answer can't pass for it.
        self._call = self.pools.call(
            self.request.engine, request, due, self._note_asked, fresh, self_identifying=number > 0
        )
        heard = self._page if number else self._news
        self._call.response.addCallbacks(heard, self._get_failed, errbackArgs=(number,))

    def _news(self, answer: Answer) -> None:
        now = self.now()
        was_known, self._is_known, self._heard = self._is_known, True, now
        untouched = answer.headers.get(UNTOUCHED) == b"1"
        if answer.status == 202:
            self.on_alive()
            # Not at once: the connection that was just used has to rest, and another need not be made.
            pause = max(self._asked + MIN_POLL_INTERVAL_S - now, 2 * REUSE_DELAY_S)
            self._later = self.pools.clock.callLater(pause, self._get, 0)
        elif answer.status == 200:
            self._first, count = answer, answer.headers.get(ALL_PAGES, b"")
            if not count.isdigit() or len(count) > 3 or int(count) > MAX_PAGES:
                self._unreadable(0)
                return
            self._pages = int(count)
            self._take_page(answer)
        elif answer.status == 503 and untouched:
            self._end(Outcome.FULL, answer)
        elif answer.status == 504:
            self._end(Outcome.NOT_STARTED if untouched else Outcome.TIMEOUT, answer)
        elif not was_known and self._repeated:
            # The POST was never answered and the engine does not know the query yet: it must not later. That
            # is no sign that the engine is unwell: it answers, and resets hit connections to any.
            self.abort(Outcome.CANCELLED)
        else:
            self._end(Outcome.ERROR, answer)

    def _page(self, answer: Answer) -> None:
        self._heard = self.now()
        if answer.status != 200:
            self._end(Outcome.ERROR, answer)
        elif answer.headers.get(ONE_PAGE) != b"%d" % self._taken:
            self._unreadable(self._taken)
        else:
            self._take_page(answer)

    def _take_page(self, answer: Answer) -> None:
        """The result is read whole before any of it goes on: an engine that dies midway is an outcome."""
        try:
            self._rows.add_page(answer.body)
        except ProtocolError:
            self._unreadable(self._taken)
            return
        self._taken += 1
        if self._taken < self._pages:
            self._get(self._taken)
        else:
            self._end(Outcome.OK, self._first)

    def _unreadable(self, number: int) -> None:
        """An answer that is HTTP and yet can't be used."""
        self.counters.add("engine_answers_unreadable")
        self._ask_again(number, spoilt=True)

    # Calls that brought no answer

    def _post_failed(self, failure: Failure) -> None:
        """It has perhaps run, and a POST is never repeated; but its news can be asked for.

        Guards against good results thrown away because the first answer came spoilt, cut off or never.
        """
        if failure.check(CallNotSentError):
            self._end(Outcome.NOT_STARTED)
        elif failure.check(ConnectError):
            self._end(Outcome.CONNECT_FAILED)
        elif failure.check(UnreadableResponseError, ConnectionBrokenError):
            self._ask_again(0, spoilt=failure.check(UnreadableResponseError) is not None)
        else:
            self._end(Outcome.RESET)
            failure.raiseException()

    def _get_failed(self, failure: Failure, number: int) -> None:
        if self._has_died(failure) or not failure.check(
            ConnectionBrokenError, ConnectError, UnreadableResponseError
        ):
            self._end(Outcome.RESET)
        else:
            fresh = not failure.check(ConnectError)
            self._ask_again(number, spoilt=failure.check(UnreadableResponseError) is not None, fresh=fresh)

    def _has_died(self, failure: Failure) -> bool:
        """Refused, and no connection of it is up any more.

        Guards against a second copy: an engine that ends soon takes no new connection and yet runs on.
        """
        refused = failure.check(ConnectError) and getattr(failure.value, "refused", False)
        return bool(refused) and not self.pools.has_established_connection(self.request.engine)

    def _ask_again(self, number: int, spoilt: bool, fresh: bool = True) -> None:
        """Only with a GET, on a new connection, until the engine forgets the query or spoils without end."""
        if self.over or self._given_up is not None:
            return
        now = self.now()
        if spoilt:
            self._heard = now
            self._spoilt += 1
        if self._spoilt > MAX_UNREADABLE_RESPONSES:
            self.abort(Outcome.ERROR)
        elif now > self._heard + QUERY_LEASE_S:
            self._end(Outcome.RESET)
        else:
            self.counters.add("engine_news_asked_again")
            pause = MIN_POLL_INTERVAL_S if self._repeated else 0.0
            self._asked_again = True
            self._later = self.pools.clock.callLater(pause, self._get, number, fresh, True)

    # Giving up

    def shorten_expiry(self, by: float) -> None:
        """Its query has to be answered by then, which is earlier than it was."""
        request = self.request
        if self.over or self._given_up is not None or by >= request.expires_at:
            return
        request.expires_at, request.deadline = by, min(by, request.deadline)
        self._stop(self._expiry)
        self._expiry = self.timers.call_later(max(0.0, by - self.now()), self.abort, Outcome.TIMEOUT)

    def abort(self, outcome: Outcome) -> None:
        """Cancelled, timed out or cut off: with DELETE, and told as ended once it can't be out any more."""
        if self.over or self._given_up is not None:
            if self._given_up is not None and outcome is Outcome.TIMEOUT:
                self._end(self._given_up)  # past its time nothing waits for the engine's word
            return
        posted, now = self._posted, self.now()
        if posted is None or not posted.written:
            if posted is not None:
                posted.abandon()
            self._end(Outcome.NOT_STARTED if outcome is Outcome.TIMEOUT else outcome)
            return
        self._given_up = outcome
        if self._call is not None and self._call is not posted:
            self._call.abandon()
        if posted is not None and not posted.ended:
            posted.abandon()
        self._stop(self._later)
        self._delete(False)
        self._limit = self.timers.call_later(
            max(0.0, self._asked + QUERY_LEASE_S + MIN_POLL_INTERVAL_S - now), self._forgotten
        )
        if now >= self.request.deadline:
            self._end(outcome)  # the query is over, so no other attempt can follow

    def _delete(self, fresh: bool) -> None:
        request = b"DELETE %s%s" % (self._path, self._tail)
        self._call = self.pools.call(self.request.engine, request, self.now(), None, fresh)
        self._call.response.addCallbacks(self._deleted, self._delete_failed)

    def _deleted(self, answer: Answer) -> None:
        self._stop(self._limit)
        self._end_given_up()

    def _delete_failed(self, failure: Failure) -> None:
        if self._has_died(failure) or not failure.check(ConnectError, ConnectionBrokenError):
            self._stop(self._limit)
            self._end_given_up()
        elif self._limit is not None and self._limit.active():
            fresh = not failure.check(ConnectError)
            self._later = self.pools.clock.callLater(MIN_POLL_INTERVAL_S, self._delete, fresh)
        else:
            self._end_given_up()

    def _forgotten(self) -> None:
        """Not asked for in so long that the engine has dropped it; nothing of ours may still reach it."""
        self._stop(self._later)
        for call in (self._call, self._posted):
            if call is not None:
                call.abandon(abort_connection=True)
        self._end_given_up()

    def _end_given_up(self) -> None:
        assert self._given_up is not None
        self._end(self._given_up)
        self._let_go()

    def _let_go(self) -> None:
        """Calls lead back here: without this each attempt that is given up waits for a collection.

        Guards against memory that grows by a result for each of them.
        """
        self._call = self._posted = None
        self._later = self._limit = self._expiry = None

    def _stop(self, timer: Any) -> None:
        if timer is not None and timer.active():
            timer.cancel()

    def _end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        if self.over:
            return
        self.over = True
        self._stop(self._expiry)
        if self._asked_again and outcome is Outcome.OK:
            self.counters.add("attempts_saved")  # by asking again
        load = answer.headers.get(LOAD) if answer is not None else None
        rows, self._rows = self._rows, ResultRows()
        if self._given_up is None:
            self._let_go()
        self.done.callback(AttemptResult(outcome, rows.answer() if outcome is Outcome.OK else None, load))
