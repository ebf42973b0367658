"""A connection to an engine, which carries one HTTP call at a time."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Any
from weakref import ReferenceType, ref

from twisted.internet import error as twisted_error
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import HttpResponse, NotAResponseError, ResponseParser
from micahold.transport.calls import (
    Call,
    ConnectionBrokenError,
    MismatchedResponseError,
    UnreadableResponseError,
)
from micahold.transport.directory import EngineListing
from micahold.transport.response_matching import DELETE_ACKNOWLEDGED, OK
from micahold.transport.timers import Timer

if TYPE_CHECKING:
    from micahold.transport.connection_pools import EngineConnectionPools

# An engine responds within 250 ms, so a call without a response for this long is lost with its connection.
RESPONSE_TIMEOUT_S = 0.6
# Extra time after RESPONSE_TIMEOUT_S for a response that has arrived but a late event loop has not read yet.
LATE_READ_GRACE_S = 0.05
# Minimum time between a response and the next call on its connection: a duplicate of the response arrives
# within it and can't be mistaken for the response to the next call.
REUSE_DELAY_S = 0.02
# How long the rest of a response whose stated length is too short is waited for. A client is answered only
# after this time, so it is as short as that for a duplicate.
TRAILING_DATA_DELAY_S = REUSE_DELAY_S
# REUSE_DELAY_S after the response to a DELETE, of which a duplicate would acknowledge the next DELETE.
DELETE_REUSE_DELAY_S = 0.05
# socket(2) and connect(2): the front itself lacks something, which says nothing of the engine.
LOCAL_CONNECT_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class EngineConnection(Protocol):
    """A connection to an engine that carries one call at a time."""

    def __init__(self, pools: EngineConnectionPools, listing: EngineListing, initial_call: Call) -> None:
        self.pools = pools
        self.listing = listing
        self.initial_call: Call | None = initial_call
        self.current_call: Call | None = None
        self.last_attempt = 0  # number of the attempt whose call was sent last
        self.idle_since = 0.0
        self.reuse_delay_s = REUSE_DELAY_S  # after the last response
        self.closing = False
        self._reader = ResponseParser()
        self._response_timer: Timer | None = None
        # The last response, if it has a page whose end is not confirmed; its attempt owns it.
        self._unconfirmed: ReferenceType[HttpResponse] | None = None

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        initial_call = self.initial_call
        self.initial_call = None
        if initial_call is not None:
            self.pools.connection_established(self, initial_call)

    def send(self, call: Call, request: bytes) -> None:
        """Writes the request of the call and starts the response timeout."""
        transport: Any = self.transport
        self.current_call = call
        self.last_attempt = call.expected.attempt
        call.connection = self
        call.written = True
        transport.write(request)
        self._response_timer = self.pools.timers.call_later(
            RESPONSE_TIMEOUT_S, self._handle_response_timeout, False
        )

    def write_suspended(self) -> None:
        """Called when the system did not take the request: it is made anew, since what is left shrinks.

        The connection is aborted, so that no part of the old request is read as a whole one.
        """
        call = self.current_call
        if call is None or call.ended:
            return
        self.abort_call()
        call.written = False
        self.pools.requeue(call)

    def write_delayed(self) -> None:
        """Called when the process stood still before the request was sent: it is made anew on the news.

        Once for each call, so that a front whose iterations are all late still sends.
        """
        call = self.current_call
        if call is not None and not call.was_delayed:
            call.was_delayed = True
            self.pools.counters.add("engine_calls_delayed")
            self.write_suspended()

    def _handle_response_timeout(self, grace_elapsed: bool) -> None:
        """Fails the call and aborts the connection, after a grace period for data that has not been read yet.

        Guards against responses that stop midway or never arrive: every call ends.
        """
        if not grace_elapsed:
            self._response_timer = self.pools.timers.call_later(
                LATE_READ_GRACE_S, self._handle_response_timeout, True
            )
            return
        call = self.current_call
        self.pools.counters.add("engine_calls_unanswered")
        self.abort_call()
        if call is not None:
            call.fail(ConnectionBrokenError("no response within the timeout"))

    def dataReceived(self, data: bytes) -> None:
        call = self.current_call
        if call is None:
            self._read_unasked(data)
            return
        try:
            response = self._reader.feed(data)
        except ProtocolError as error:
            self._confirm_end(is_whole=not isinstance(error, NotAResponseError))
            self.abort_call()
            self.pools.counters.add("engine_answers_unreadable")
            call.fail(UnreadableResponseError(str(error)))
            return
        if response is not None:
            self._finish_call(call, response)

    def _finish_call(self, call: Call, response: HttpResponse) -> None:
        """Releases or closes the connection, then delivers the response if it answers the call."""
        if not call.expected.matches(response):
            self._detach_call()
            self._note_copy(response)
            self._read_unasked(b"")
            self._fail_mismatched(call)
            return
        self._confirm_end(is_whole=True)
        self.current_call = call.connection = None
        call.answered_on = self
        self._cancel_response_timer()
        self.reuse_delay_s = DELETE_REUSE_DELAY_S if response.status == DELETE_ACKNOWLEDGED else REUSE_DELAY_S
        if response.status == OK and not response.has_trailing_data:
            self._unconfirmed = ref(response)
        self.idle_since = self.pools.clock.seconds()
        if response.keep_alive:
            self.pools.release(self)
        else:
            self._read_unasked(b"")
        call.succeed(response)
        if self.pools.waiting_calls:
            self.pools.dispatch_waiting()

    # The end of the last response

    def _read_unasked(self, data: bytes) -> None:
        """Reads data without an open call: a copy of a response, or the rest of one.

        The connection carries no other call, since what comes on it can't be told apart any more.
        """
        try:
            copy = self._reader.feed(data)
            while copy is not None:
                self._note_copy(copy)
                copy = self._reader.feed(b"")
        except ProtocolError as error:
            self._confirm_end(is_whole=not isinstance(error, NotAResponseError))
            self.abort()
        else:
            self._close_after_rest()

    def _note_copy(self, copy: HttpResponse) -> None:
        """Notes what a response without a call tells of the last one: a copy of that follows its end."""
        last = self._unconfirmed_response()
        if copy.has_trailing_data:
            self._confirm_end(is_whole=False)
        elif last is not None and (copy.headers, copy.body) == (last.headers, last.body):
            self._confirm_end(is_whole=True)

    def _unconfirmed_response(self) -> HttpResponse | None:
        """The last response, if it is in use and its end is not confirmed."""
        return self._unconfirmed() if self._unconfirmed is not None else None

    def _confirm_end(self, is_whole: bool) -> None:
        """Notes whether the last response is whole; otherwise what followed may be its rest."""
        response = self._unconfirmed_response()
        self._unconfirmed = None
        if response is not None:
            response.is_end_confirmed = is_whole
            response.has_trailing_data = not is_whole

    def awaits_trailing_data(self) -> bool:
        """Whether it is too early to tell that no rest of the last response follows here."""
        if self._unconfirmed_response() is None:
            return False
        return bool(self.pools.clock.seconds() < self.idle_since + TRAILING_DATA_DELAY_S)

    def confirm_last_response(self) -> bool:
        """Reads what has arrived behind the last response and confirms its end.

        False if it is too early, or if the transport can't be read now.
        """
        response = self._unconfirmed_response()
        if response is None:
            return True
        if self.awaits_trailing_data() or not (self.pools.read_pending(self.transport) or self.closing):
            return False
        if self._unconfirmed_response() is response:  # reading has brought nothing
            self._confirm_end(is_whole=True)
        return self._unconfirmed is None

    def _close_after_rest(self) -> None:
        """Closes a connection that carries no other call, once a rest of its response would have come."""
        self.pools.withdraw(self)
        remaining_s = self.idle_since + TRAILING_DATA_DELAY_S - self.pools.clock.seconds()
        if not self.awaits_trailing_data():
            self.abort()
        elif self._response_timer is None:
            self._response_timer = self.pools.timers.call_later(remaining_s, self.abort)

    def _detach_call(self) -> None:
        """Ends the current call on this connection; the call itself is neither answered nor failed."""
        call = self.current_call
        self.current_call = None
        self._cancel_response_timer()
        if call is not None:
            call.connection = None

    def abort_call(self) -> None:
        """Detaches the current call, which is neither answered nor failed, and aborts the connection."""
        self._detach_call()
        self.abort()

    def abort(self) -> None:
        """Closes the connection with a TCP reset, so that unsent data is discarded.

        A response whose rest might still have come counts as cut off.
        """
        self._cancel_response_timer()
        if not self.closing and not self.confirm_last_response():
            self._confirm_end(is_whole=False)
        if not self.closing:
            self.closing = True
            self.pools.connection_closed(self)
            if self.transport is not None:
                self.transport.abortConnection()

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._cancel_response_timer()
        self._confirm_end(is_whole=True)
        call = self.current_call
        self.current_call = None
        if not self.closing:
            self.closing = True
            self.pools.connection_closed(self)
        if call is None:
            return
        self.pools.counters.add("engine_connections_lost_in_call")
        call.connection = None
        response = self._reader.connection_closed() if reason.check(twisted_error.ConnectionDone) else None
        if response is None:
            call.fail(ConnectionBrokenError(reason.getErrorMessage()))
        elif call.expected.matches(response):
            call.succeed(response)
        else:
            self._fail_mismatched(call)

    def _fail_mismatched(self, call: Call) -> None:
        self.pools.counters.add("engine_answers_mismatched")
        call.fail(MismatchedResponseError("the response does not name what was asked"))

    def may_carry(self, call: Call) -> bool:
        """Whether no copy of the last response can be mistaken for the answer to the call.

        Data that has arrived and is not read yet must be read before; see ``response_matching``.
        """
        if call.expected.is_unique and call.expected.attempt == self.last_attempt:
            return True
        return bool(self.pools.clock.seconds() >= self.idle_since + self.reuse_delay_s)


class EngineConnectionFactory(ClientFactory):
    """Establishes one connection for one call."""

    noisy = False

    def __init__(self, pools: EngineConnectionPools, call: Call) -> None:
        self.pools = pools
        self.call: Call | None = call

    def buildProtocol(self, addr: IAddress | None) -> EngineConnection:
        call = self.call
        self.call = None  # the factory lives as long as its connection and must not hold the call
        assert call is not None
        return EngineConnection(self.pools, call.listing, call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._break_reference_cycle(connector)
        call = self.call
        self.call = None
        if call is None:
            return
        error_number = getattr(reason.value, "osError", None)
        if error_number in LOCAL_CONNECT_ERRORS:
            self.pools.connection_lacked(call, error_number)
        else:
            self.pools.connection_failed(call, reason.check(twisted_error.ConnectionRefusedError) is not None)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        self._break_reference_cycle(connector)

    def _break_reference_cycle(self, connector: Any) -> None:
        """Twisted's connector and its transport refer to each other until a garbage collection."""
        if connector is not None:
            connector.transport = None
