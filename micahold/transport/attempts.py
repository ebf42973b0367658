"""One attempt of a query on one engine: submit it, poll for its status, read all result pages, or abort it.

An engine accepts a query with POST and answers 202 while the query runs. GET polls for the status and fetches
further result pages; DELETE cancels the query.

Another attempt of the query may start as soon as this one has ended. An attempt that was sent therefore ends
only with a response that ends it on the engine, with an acknowledged DELETE, or after the lease has lapsed.
No failure of a connection shows that the engine no longer runs the query.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from math import inf
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.interface import Outcome
from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import HttpResponse, encode_request
from micahold.transport.calls import (
    Call,
    CallError,
    CallNotSentError,
    ConnectError,
    MismatchedResponseError,
    UnreadableResponseError,
)
from micahold.transport.connection_pools import EngineConnectionPools
from micahold.transport.directory import EngineDirectory, EngineListing
from micahold.transport.engine_connection import (
    LATE_READ_GRACE_S,
    RESPONSE_TIMEOUT_S,
    REUSE_DELAY_S,
    TRAILING_DATA_DELAY_S,
)
from micahold.transport.query_lease import QueryLease
from micahold.transport.response_matching import PAGE_COUNT_HEADER, expect_delete, expect_page, expect_status
from micahold.transport.result_pages import ResultPages
from micahold.transport.timers import TimerQueue

# A query that brings no usable response for this long is aborted: its engine is lost or cut off.
CONTACT_TIMEOUT_S = 2.0
# Bounds the poll rate when an engine answers 202 immediately instead of holding the request.
MIN_POLL_INTERVAL_S = 0.05
# From the response to a poll until the next one, which goes on the same connection.
POLL_AFTER_RESPONSE_S = 1.1 * REUSE_DELAY_S
# How long an engine has to respond to a POST whose client has left: an attempt may begin 0.1 s after that.
POST_WITHDRAWAL_DELAY_S = 0.05
MAX_PAGES = 64
# Unreadable responses of one attempt, each of which is requested again; one more aborts the attempt.
MAX_UNREADABLE_RESPONSES = 8
# Header with value 1: the engine has not started the query.
UNTOUCHED_HEADER = b"srv-untouched"
LOAD_HEADER = b"srv-load"


class EndEvidence(Enum):
    """Why an attempt counts as over on its engine. The values appear in the log."""

    NEVER_SENT = "never_sent"
    RESPONSE = "response"
    DELETED = "deleted"
    LEASE_LAPSED = "lease_lapsed"
    DEADLINE = "deadline"  # the query's time is over: it may still run, and no other attempt can follow


@dataclass(slots=True)
class AttemptRequest:
    """The query to submit and its engine; times are on the clock of ``Attempt.now``.

    The attempt times out at ``expires_at``; the query itself must be answered by ``deadline``.
    Nothing is sent from ``start_by`` on.
    """

    engine: str
    query_id: bytes
    class_name: bytes
    token: bytes | None
    statement: bytes
    expires_at: float
    deadline: float
    start_by: float = inf


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt.

    ``result_set`` holds the complete response to the client and is set for ``Outcome.OK`` only;
    ``load_report`` is the engine's load header, if its last response had one. ``confirmation_s`` is the time
    from the last page to the end of the attempt, in which the engine did nothing.
    """

    outcome: Outcome
    result_set: bytes | None = None
    load_report: bytes | None = None
    evidence: EndEvidence = EndEvidence.RESPONSE
    confirmation_s: float = 0.0


class Attempt:
    """Runs one attempt and fires ``done`` exactly once; later responses and errors are ignored.

    ``over`` fires when the query can no longer run on the engine: right before ``done``, or later where the
    attempt ended with ``EndEvidence.DEADLINE``.
    """

    def __init__(
        self,
        request: AttemptRequest,
        pools: EngineConnectionPools,
        directory: EngineDirectory,
        counters: Counters,
        now: Callable[[], float],
        timers: TimerQueue,
        on_alive: Callable[[], None] = lambda: None,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        """``log`` is called with the name and the fields of each change of the attempt's state."""
        self.log = log
        self.request = request
        self.pools = pools
        self.directory = directory
        self.on_alive = on_alive
        self.counters = counters
        self.now = now
        self.timers = timers
        self.done: Deferred[AttemptResult] = Deferred()
        self.over: Deferred[None] = Deferred()
        self.ended = False
        self._current_call: Call | None = None
        self._post_call: Call | None = None
        self._abort_outcome: Outcome | None = None
        self._number = pools.new_attempt_number()
        self._path = b"/data/" + request.query_id
        self._page_count = 0
        self._pages = ResultPages()
        self._host = b""  # value of the Host header
        self._request_suffix = b""  # ends the request line and the headers of GET and DELETE requests
        self._last_request_at = 0.0
        self._all_pages_read_at = 0.0
        self._last_contact_at = 0.0  # of the last usable response, or the start
        self._listing: EngineListing | None = None
        self._lease = QueryLease(RESPONSE_TIMEOUT_S + LATE_READ_GRACE_S)
        self._known_to_engine = False  # a status response has come
        self._post_processed = False  # a response has shown that the engine has read the POST
        self._unreadable_count = 0
        self._is_retry = False  # the current call is a repeated GET
        self._has_retried = False
        self._delayed_request: Any = None
        self._expiry_timer: Any = None
        self._lease_timer: Any = None
        self._withdrawal_timer: Any = None
        self._may_start = True  # False once the attempt is given up or its client has left

    # Submitting, polling and paging

    def start(self) -> None:
        """Submits the query with POST and starts the expiry timer."""
        request = self.request
        now = self.now()
        listing = self._listing = self.directory.listing(request.engine)
        if listing is None:
            self._finish(Outcome.NOT_STARTED, EndEvidence.NEVER_SENT)
            return
        self.pools.retain(listing)
        self._host = b"%s:%d" % (listing.host.encode(), listing.port)
        self._request_suffix = b" HTTP/1.1\r\nHost: %s\r\n\r\n" % self._host
        self._expiry_timer = self.timers.call_later(
            max(0.0, request.expires_at - now), self.abort, Outcome.TIMEOUT
        )
        self._last_contact_at = now
        self._post_call = self._current_call = self.pools.call(
            listing, now, self._prepare_post, expect_status(self._number)
        )
        self._post_call.response.addCallbacks(self._handle_status, self._handle_post_failure)

    def _prepare_post(self) -> bytes | None:
        """The POST, or None if it is no longer to be sent.

        The engine may no longer be sent queries, or the attempt's time is over, or it was given up.

        Called right before the first byte: the engine list may have changed, and the time that is left has
        grown shorter, while the call waited for a connection.
        """
        request = self.request
        now = self.now()
        assert self._listing is not None
        is_over = now >= min(request.expires_at, request.start_by)
        if is_over or not self._may_start or not self.directory.accepts_queries(self._listing):
            return None
        left_ms = max(1, int((request.expires_at - now) * 1000))
        headers = [
            (b"Via-Id", request.query_id),
            (b"Via-Class", request.class_name),
            (b"Via-Wait", b"%d" % left_ms),
        ]
        if request.token is not None:
            headers.append((b"Via-Token", request.token))
        self.log("attempt_sent", left=left_ms / 1000)
        self._last_contact_at = now
        self._record_request_time()
        return encode_request(b"POST", b"/data", self._host, tuple(headers), request.statement)

    def _prepare_poll(self, message: bytes) -> bytes:
        self._record_request_time()
        return message

    def _record_request_time(self) -> None:
        """Notes the write of a request that may renew the lease."""
        self._last_request_at = self.now()
        self._lease.call_written(self._last_request_at)

    def _record_response(self) -> None:
        self._last_contact_at = self.now()
        self._lease.response_received(self._last_contact_at)

    def _send_get(self, page: int, new_connection: bool = False, is_retry: bool = False) -> None:
        """Polls for the status (page 0) or fetches a further page."""
        if self.ended or self._abort_outcome is not None:
            return
        assert self._listing is not None
        message = b"GET %s/%d%s" % (self._path, page, self._request_suffix)
        self._is_retry = is_retry
        due_at = self._last_request_at + CONTACT_TIMEOUT_S
        expected = expect_page(self._number, page, is_retry) if page else expect_status(self._number)
        self._current_call = self.pools.call(
            self._listing, due_at, partial(self._prepare_poll, message), expected, new_connection
        )
        handle_response = self._handle_page if page else self._handle_status
        self._current_call.response.addCallbacks(
            handle_response, self._handle_get_failure, errbackArgs=(page,)
        )

    def _handle_status(self, response: HttpResponse) -> None:
        """Handles the response to the POST or to a status poll."""
        if self._abort_outcome is not None:
            self._post_processed = True  # only a POST is still answered by then
            return
        self._record_response()
        now = self._last_contact_at
        was_known = self._known_to_engine
        self._known_to_engine = True
        self._post_processed |= not self._is_retry or response.status in (200, 202)
        untouched = response.headers.get(UNTOUCHED_HEADER) == b"1"
        if response.status == 202:
            self.on_alive()
            # Not immediately: the connection that was just used may not be reused within REUSE_DELAY_S, and
            # the delay avoids opening another one.
            delay = max(self._last_request_at + MIN_POLL_INTERVAL_S - now, POLL_AFTER_RESPONSE_S)
            self._delayed_request = self.pools.clock.callLater(delay, self._send_get, 0)
        elif response.status == 200:
            page_count = response.headers.get(PAGE_COUNT_HEADER, b"")
            if not page_count.isdigit() or len(page_count) > 3 or int(page_count) > MAX_PAGES:
                self._handle_unreadable(0)
                return
            self._page_count = int(page_count)
            self._add_page(response)
        elif response.status == 503 and untouched:
            self._finish(Outcome.FULL, EndEvidence.RESPONSE, response)
        elif response.status == 504:
            outcome = Outcome.NOT_STARTED if untouched else Outcome.TIMEOUT
            self._finish(outcome, EndEvidence.RESPONSE, response)
        elif not was_known and self._is_retry:
            # The POST was never answered and the engine does not have the query yet: it must not start it
            # later. This does not count against the engine: it responds, and resets affect any connection.
            self.abort(Outcome.CANCELLED)
        else:
            self._finish(Outcome.ERROR, EndEvidence.RESPONSE, response)

    def _handle_page(self, response: HttpResponse) -> None:
        """Handles the response to the GET of a further page."""
        self._record_response()
        if response.status != 200:
            self._finish(Outcome.ERROR, EndEvidence.RESPONSE, response)
        else:
            self._add_page(response)

    def _add_page(self, response: HttpResponse) -> None:
        """Adds a page to the result and fetches the next, or ends the attempt after the last.

        No part of the result is sent to the client before all pages are read, so that an engine that dies
        midway is an outcome of the attempt, and not a truncated response.
        """
        call = self._current_call
        assert call is not None and call.answered_on is not None
        try:
            self._pages.add(response, call.answered_on)
        except ProtocolError:
            self._handle_unreadable(len(self._pages))
            return
        if len(self._pages) < self._page_count:
            self._send_get(len(self._pages))
        else:
            self._all_pages_read_at = self.now()
            self._finish_if_confirmed()

    def _finish_if_confirmed(self) -> None:
        """Ends the attempt with its result once it is certain that no page lacks its rest.

        A page that was cut by a stated length that is too short is requested again, with all after it.
        """
        if self._pages.confirm():
            self._finish(Outcome.OK, EndEvidence.RESPONSE, self._pages.first_response)
        elif self._remove_cut_pages():
            self._handle_unreadable(len(self._pages))
        else:
            self._delayed_request = self.timers.call_later(TRAILING_DATA_DELAY_S, self._finish_if_confirmed)

    def _remove_cut_pages(self) -> bool:
        """Removes a page that was cut off, and all after it; False if there is none."""
        is_cut = self._pages.remove_from_first_cut()
        if is_cut:
            self.counters.add("engine_pages_cut")
        return is_cut

    def _handle_unreadable(self, page: int) -> None:
        """Handles a valid HTTP response whose headers or body can't be used."""
        self.counters.add("engine_answers_unreadable")
        self._retry_get(page, unreadable=True)

    # Calls without a response

    def _handle_post_failure(self, failure: Failure) -> None:
        """Ends the attempt if nothing was sent; otherwise polls, since the query may be running.

        A POST is never repeated. Polling keeps a good result when only the first response was unreadable, cut
        off or missing.
        """
        if self._abort_outcome is not None:
            return
        if failure.check(CallNotSentError):
            self._finish(Outcome.NOT_STARTED, EndEvidence.NEVER_SENT)
        elif failure.check(ConnectError):
            self._finish(Outcome.CONNECT_FAILED, EndEvidence.NEVER_SENT)
        elif failure.check(CallError):
            unreadable = failure.check(UnreadableResponseError) is not None
            self._post_processed |= unreadable
            mismatched = failure.check(MismatchedResponseError) is not None
            self._retry_get(0, unreadable=unreadable, mismatched=mismatched)
        else:
            self.abort(Outcome.RESET)
            failure.raiseException()

    def _handle_get_failure(self, failure: Failure, page: int) -> None:
        """Repeats the GET, on a new connection unless no new one could be made."""
        if not failure.check(CallError):
            self.abort(Outcome.RESET)
            failure.raiseException()
        self._retry_get(
            page,
            unreadable=failure.check(UnreadableResponseError) is not None,
            mismatched=failure.check(MismatchedResponseError) is not None,
            new_connection=not failure.check(ConnectError, CallNotSentError),
        )

    def _retry_get(
        self, page: int, unreadable: bool, mismatched: bool = False, new_connection: bool = True
    ) -> None:
        """Requests the status or a page again, on a new connection by default.

        Aborts after ``CONTACT_TIMEOUT_S`` without a response or after MAX_UNREADABLE_RESPONSES. A mismatched
        response does not show that the engine has read the call. What came in place of the response may be
        the rest of a page before it, which is requested instead.
        """
        if self.ended or self._abort_outcome is not None:
            return
        if self._remove_cut_pages():
            page = len(self._pages)
        now = self.now()
        if unreadable:
            self._record_response()
        else:
            self._lease.connection_closed(now)
        if unreadable or mismatched:
            self._unreadable_count += 1
        if self._unreadable_count > MAX_UNREADABLE_RESPONSES:
            self.abort(Outcome.ERROR)
        elif now > self._last_contact_at + CONTACT_TIMEOUT_S:
            self.abort(Outcome.RESET)
        else:
            self.counters.add("engine_news_asked_again")
            if not self._has_retried:
                self.log("attempt_contact_lost", page=page, unreadable=unreadable)
            delay = MIN_POLL_INTERVAL_S if self._is_retry else 0.0
            self._has_retried = True
            self._delayed_request = self.pools.clock.callLater(
                delay, self._send_get, page, new_connection, True
            )

    # Aborting

    def shorten_expiry(self, expires_at: float) -> None:
        """Moves the expiry forward, since the query now has an earlier deadline; a later time is ignored."""
        request = self.request
        if self.ended or self._abort_outcome is not None or expires_at >= request.expires_at:
            return
        request.expires_at = expires_at
        request.deadline = min(expires_at, request.deadline)
        self._cancel_timer(self._expiry_timer)
        self._expiry_timer = self.timers.call_later(
            max(0.0, expires_at - self.now()), self.abort, Outcome.TIMEOUT
        )

    def abandon_unread(self) -> None:
        """Keeps the engine from starting the query, unless it has read the POST.

        Ends the attempt if nothing of it was written yet; a POST that was written is withdrawn shortly.
        """
        self._may_start = False
        post_call = self._post_call
        if post_call is not None and not post_call.written:
            self.abort(Outcome.NOT_STARTED)
        elif post_call is not None and post_call.connection is not None:
            self._withdrawal_timer = self.timers.call_later(
                POST_WITHDRAWAL_DELAY_S, self._withdraw_post, post_call
            )

    def _withdraw_post(self, post_call: Call) -> None:
        """Breaks the connection of a POST without a response, so that what is on its way is discarded."""
        if post_call.connection is not None:
            self.counters.add("posts_withdrawn")
            post_call.break_connection()

    def abort(self, outcome: Outcome) -> None:
        """Cancels the query on the engine with DELETE and ends the attempt with ``outcome``.

        The attempt ends when the query can no longer run there: when the DELETE is acknowledged or the lease
        has lapsed, or at once if the query was never sent or its deadline has passed.
        """
        now = self.now()
        if self.ended or self._abort_outcome is not None:
            if self._abort_outcome is not None and now >= self.request.deadline:
                self._finish(self._abort_outcome, EndEvidence.DEADLINE)
            return
        post_call = self._post_call
        if post_call is None or not post_call.written:
            if post_call is not None:
                post_call.abandon()
            self._finish(
                Outcome.NOT_STARTED if outcome is Outcome.TIMEOUT else outcome, EndEvidence.NEVER_SENT
            )
            return
        self._abort_outcome = outcome
        self._may_start = False
        self.log("attempt_aborting", outcome=outcome.value, last_call_s=round(now - self._last_request_at, 4))
        if self._current_call is not None and self._current_call is not post_call:
            self._current_call.abandon()
        self._cancel_timer(self._delayed_request)
        self._send_delete(False)
        self._lease_timer = self.timers.call_later(
            max(0.0, self._lease.lapses_at - now), self._handle_lease_lapsed
        )
        if now >= self.request.deadline:
            self._finish(outcome, EndEvidence.DEADLINE)

    def _send_delete(self, new_connection: bool) -> None:
        assert self._listing is not None
        message = b"DELETE %s%s" % (self._path, self._request_suffix)
        self._current_call = self.pools.call(
            self._listing, self.now(), lambda: message, expect_delete(self._number), new_connection
        )
        self._current_call.response.addCallbacks(self._handle_delete_response, self._handle_delete_failure)

    def _handle_delete_response(self, response: HttpResponse) -> None:
        """Ends the attempt, or sends another DELETE if this one may have overtaken the POST."""
        self.log("attempt_delete_answered", status=response.status)
        if self._post_processed:
            self._finish_aborted(EndEvidence.DELETED)
            return
        # The DELETE may have overtaken the POST. What of the POST is still on its way is dropped with its
        # connection, and another DELETE ends what was read meanwhile.
        self._post_processed = True
        if self._post_call is not None:
            self._post_call.abandon(abort_connection=True)
        self._repeat_delete(False)

    def _handle_delete_failure(self, failure: Failure) -> None:
        if failure.check(MismatchedResponseError):
            self.counters.add("engine_deletes_unacknowledged")
        self._repeat_delete(not failure.check(ConnectError, CallNotSentError))

    def _repeat_delete(self, new_connection: bool) -> None:
        """Sends the DELETE again shortly; the lease timer ends this."""
        if self._lease_timer is not None and self._lease_timer.active():
            self._delayed_request = self.pools.clock.callLater(
                MIN_POLL_INTERVAL_S, self._send_delete, new_connection
            )

    def _handle_lease_lapsed(self) -> None:
        """Ends the attempt once the engine has discarded the query for lack of polls.

        Connections with a request of this attempt are aborted, so that no delayed bytes can still reach the
        engine.
        """
        self.counters.add("attempts_lease_lapsed")
        self.log("attempt_lease_lapsed", last_call_s=round(self.now() - self._last_request_at, 4))
        for call in (self._current_call, self._post_call):
            if call is not None:
                call.abandon(abort_connection=True)
        self._finish_aborted(EndEvidence.LEASE_LAPSED)

    def _finish_aborted(self, evidence: EndEvidence) -> None:
        assert self._abort_outcome is not None
        self._cancel_timer(self._lease_timer)
        self._cancel_timer(self._delayed_request)
        self._finish(self._abort_outcome, evidence)
        self._note_over()
        self._release_references()

    def _release_references(self) -> None:
        """Drops the references to calls, timers and the listing, which nothing is sent for any more.

        Calls and timers refer back to this attempt: every aborted attempt would be a reference cycle that
        holds a result until the next garbage collection, and memory would grow.
        """
        if self._listing is not None:
            self.pools.release_listing(self._listing)
            self._listing = None
        if self._post_call is not None:
            self._post_call.abandon()
        self._cancel_timer(self._withdrawal_timer)
        self._current_call = self._post_call = self._withdrawal_timer = None
        self._delayed_request = self._lease_timer = self._expiry_timer = None

    def _note_over(self) -> None:
        if not self.over.called:
            self.over.callback(None)

    def _cancel_timer(self, timer: Any) -> None:
        if timer is not None and timer.active():
            timer.cancel()

    def _finish(self, outcome: Outcome, evidence: EndEvidence, response: HttpResponse | None = None) -> None:
        """Ends the attempt and fires ``done``; does nothing if it has already ended."""
        if self.ended:
            return
        self.ended = True
        if evidence is not EndEvidence.DEADLINE:
            self._note_over()
        self._cancel_timer(self._expiry_timer)
        if self._has_retried and outcome is Outcome.OK:
            self.counters.add("attempts_saved")
        load_report = response.headers.get(LOAD_HEADER) if response is not None else None
        pages = self._pages
        self._pages = ResultPages()
        if self._abort_outcome is None:
            self._release_references()
        result_set = pages.encode() if outcome is Outcome.OK else None
        confirmation_s = max(0.0, self.now() - self._all_pages_read_at) if result_set is not None else 0.0
        self.done.callback(AttemptResult(outcome, result_set, load_report, evidence, confirmation_s))
