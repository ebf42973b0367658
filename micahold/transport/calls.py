"""HTTP calls to engines over pooled connections: one pool per engine id, one limit for all connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

from twisted.internet import error as twisted_error
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import HttpResponse, ResponseParser
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import Timer, TimerQueue

# Interval between checks for connections that have been idle for too long.
SWEEP_INTERVAL_S = 1.0
# An engine responds within 250 ms, so a call without a response for this long is lost with its connection.
RESPONSE_TIMEOUT_S = 0.6
# Extra time after RESPONSE_TIMEOUT_S for a response that has arrived but a late event loop has not read yet.
LATE_READ_GRACE_S = 0.05
# Minimum time between a response and the next call on its connection: a duplicate of the response arrives
# within it and can't be mistaken for the response to the next call.
REUSE_DELAY_S = 0.003


class CallError(Exception):
    """Base class of the errors of calls that ended without a response."""


class CallNotSentError(CallError):
    """Nothing was sent: the call was no longer valid when a connection was available."""


class ConnectError(CallError):
    """No connection could be established, so nothing was sent."""

    def __init__(self, refused: bool) -> None:
        super().__init__("connection refused" if refused else "connection not established in time")
        self.refused = refused


class ConnectionBrokenError(CallError):
    """The connection ended after the request was sent and before the response was complete."""


class UnreadableResponseError(CallError):
    """The engine sent data that is not an HTTP response."""


class Call:
    """One request to one engine: queued, then written, then ended.

    ``response`` fires with the response or with a ``CallError``. Where ``should_send`` is given, it is called
    right before the first byte and decides whether the request is still sent.
    """

    def __init__(
        self, engine: str, request: bytes, due_at: float, should_send: Callable[[], bool] | None
    ) -> None:
        self.engine = engine
        self.request = request
        self.due_at = due_at
        self.should_send = should_send
        self.response: Deferred[HttpResponse] = Deferred()
        self.written = self.ended = False
        self.new_connection = self.self_identifying = False
        self.connection: EngineConnection | None = None

    def succeed(self, response: HttpResponse) -> None:
        """Ends the call with its response, unless it has already ended."""
        if not self.ended:
            self.ended = True
            self.response.callback(response)

    def fail(self, reason: CallError) -> None:
        """Ends the call with an error, unless it has already ended."""
        if not self.ended:
            self.ended = True
            self.should_send = None
            self.response.errback(Failure(reason))

    def abandon(self, abort_connection: bool = False) -> None:
        """Ends the call without firing ``response``.

        ``abort_connection`` also aborts the connection, so that bytes not yet delivered are discarded.
        """
        self.ended = True
        self.should_send = None
        self.response = Deferred()  # the previous one refers to the caller; dropping it avoids a cycle
        if abort_connection and self.connection is not None:
            self.connection.abort_call()


class EngineConnection(Protocol):
    """A connection to an engine that carries one call at a time."""

    def __init__(
        self, pools: EngineConnectionPools, engine: str, address: tuple[str, int], initial_call: Call
    ) -> None:
        self.pools = pools
        self.engine = engine
        self.address = address
        self.initial_call: Call | None = initial_call
        self.current_call: Call | None = None
        self.idle_since = 0.0
        self.closing = False
        self._reader = ResponseParser()
        self._response_timer: Timer | None = None

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        initial_call = self.initial_call
        self.initial_call = None
        if initial_call is not None:
            self.pools.connection_established(self, initial_call)

    def send(self, call: Call) -> None:
        """Writes the request of the call and starts the response timeout."""
        transport: Any = self.transport
        self.current_call = call
        call.connection = self
        call.written = True
        call.should_send = None  # it refers to the caller; dropping it avoids a reference cycle
        transport.write(call.request)
        self._response_timer = self.pools.timers.call_later(
            RESPONSE_TIMEOUT_S, self._handle_response_timeout, False
        )

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
            self.abort()  # an engine must not send data on an idle connection
            return
        try:
            response = self._reader.feed(data)
        except ProtocolError as error:
            self.abort_call()
            self.pools.counters.add("engine_answers_unreadable")
            call.fail(UnreadableResponseError(str(error)))
            return
        if response is not None:
            self._finish_call(call, response)

    def _finish_call(self, call: Call, response: HttpResponse) -> None:
        """Releases or aborts the connection, then delivers the response."""
        self.current_call = call.connection = None
        self._cancel_response_timer()
        if response.keep_alive:
            self.pools.release(self)
        else:
            self.abort()
        call.succeed(response)
        if self.pools.waiting_calls:
            self.pools.dispatch_waiting()

    def abort_call(self) -> None:
        """Detaches the current call, which is neither answered nor failed, and aborts the connection."""
        call = self.current_call
        self.current_call = None
        if call is not None:
            call.connection = None
        self.abort()

    def abort(self) -> None:
        """Closes the connection with a TCP reset, so that unsent data is discarded."""
        self._cancel_response_timer()
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
        if response is not None:
            call.succeed(response)
        else:
            call.fail(ConnectionBrokenError(reason.getErrorMessage()))


class _ConnectionFactory(ClientFactory):
    """Establishes one connection for one call."""

    noisy = False

    def __init__(self, pools: EngineConnectionPools, address: tuple[str, int], call: Call) -> None:
        self.pools = pools
        self.address = address
        self.call: Call | None = call

    def buildProtocol(self, addr: IAddress | None) -> EngineConnection:
        call = self.call
        self.call = None  # the factory lives as long as its connection and must not hold the call
        assert call is not None
        return EngineConnection(self.pools, call.engine, self.address, call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._break_reference_cycle(connector)
        call = self.call
        self.call = None
        if call is not None:
            self.pools.connection_failed(call, reason.check(twisted_error.ConnectionRefusedError) is not None)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        self._break_reference_cycle(connector)

    def _break_reference_cycle(self, connector: Any) -> None:
        """Twisted's connector and its transport refer to each other until a garbage collection."""
        if connector is not None:
            connector.transport = None


class EngineConnectionPools:
    """Connections to all engines, pooled by engine id.

    At most ``max_connections`` are open in all. Calls beyond them wait in a queue, earliest due time first.
    """

    def __init__(
        self,
        clock: Any,
        directory: EngineDirectory,
        counters: Counters,
        max_connections: int,
        connect_timeout: float,
        engine_idle_timeout: float,
    ) -> None:
        self.clock = clock
        self.directory = directory
        self.counters = counters
        self.timers = TimerQueue(clock)
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        # Half the engines' own idle timeout, so that no request is sent on a connection that its engine is
        # closing at that moment. 0 disables the sweep.
        self.idle_timeout = engine_idle_timeout / 2
        self.open_connections = 0  # established or being established
        self._idle: dict[str, deque[EngineConnection]] = {}
        self._established: dict[str, int] = {}  # number of established connections by engine
        self.waiting_calls: list[tuple[float, int, Call]] = []  # heap of due time, tie breaker and call
        self._sequence = count()
        self._sweep = (
            clock.callLater(SWEEP_INTERVAL_S, self._close_expired_idle) if self.idle_timeout > 0 else None
        )

    def call(
        self,
        engine: str,
        request: bytes,
        due_at: float,
        should_send: Callable[[], bool] | None = None,
        new_connection: bool = False,
        self_identifying: bool = False,
    ) -> Call:
        """Sends a request to an engine, or queues it while no connection is available.

        ``should_send`` is called right before the first byte and may still prevent it. ``new_connection``
        excludes pooled connections. ``self_identifying`` says that no other response can be mistaken for the
        one to this request, so that REUSE_DELAY_S does not apply.
        """
        call = Call(engine, request, due_at, should_send)
        call.new_connection = new_connection
        call.self_identifying = self_identifying
        if self.waiting_calls or not self._dispatch(call):
            heappush(self.waiting_calls, (due_at, next(self._sequence), call))
            self.counters.record_max("calls_in_line", len(self.waiting_calls))
        return call

    def dispatch_waiting(self) -> None:
        """Dispatches waiting calls in order of their due time until no connection is available."""
        while self.waiting_calls:
            call = self.waiting_calls[0][2]
            if not call.ended and not self._dispatch(call):
                return
            heappop(self.waiting_calls)

    def _dispatch(self, call: Call) -> bool:
        """Sends a call on an idle or a new connection; False if none is available."""
        connection = (
            None
            if call.new_connection
            else self._take_idle(call.engine, 0.0 if call.self_identifying else REUSE_DELAY_S)
        )
        if connection is not None:
            self._send(connection, call)
            return True
        address = self.directory.address(call.engine)
        if address is None:
            self._fail_unsent(call, "the engine is no longer listed")
            return True
        if self.open_connections >= self.max_connections and not self._evict_longest_idle():
            return False
        self.open_connections += 1
        self.counters.record_max("engine_connections", self.open_connections)
        self.counters.add("engine_connects")
        self.clock.connectTCP(*address, _ConnectionFactory(self, address, call), timeout=self.connect_timeout)
        return True

    def _take_idle(self, engine: str, min_idle: float) -> EngineConnection | None:
        """Removes and returns the most recently used connection that has been idle for ``min_idle`` seconds.

        Guards against a duplicate of a response that would be taken for the response to the next call.
        """
        idle = self._idle.get(engine, ())
        idle_before = self.clock.seconds() - min_idle
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.idle_since <= idle_before:
                del self._idle[engine][index]
                return connection
        return None

    def _send(self, connection: EngineConnection, call: Call) -> None:
        """Sends the call, or releases the connection if the call has ended or is no longer to be sent."""
        if call.ended:
            self.release(connection)
        elif call.should_send is not None and not call.should_send():
            self.release(connection)
            self._fail_unsent(call, "the call is no longer to be sent")
        else:
            self.counters.add("engine_calls")
            connection.send(call)

    def _fail_unsent(self, call: Call, reason: str) -> None:
        """Fails a call in a later reactor turn: the caller must have received the call object before."""
        self.clock.callLater(0, call.fail, CallNotSentError(reason))

    def has_established_connection(self, engine: str) -> bool:
        """Whether a connection to the engine is established.

        False for an engine whose process has died, since that resets all of its connections.
        """
        return engine in self._established

    def connection_established(self, connection: EngineConnection, call: Call) -> None:
        """Sends the call that the connection was opened for, then waiting calls."""
        self._established[connection.engine] = self._established.get(connection.engine, 0) + 1
        self._send(connection, call)
        self.dispatch_waiting()

    def connection_failed(self, call: Call, refused: bool) -> None:
        """Fails the call that the connection was to be opened for, then dispatches waiting calls."""
        self.open_connections -= 1
        self.counters.add("engine_connects_refused" if refused else "engine_connects_failed")
        call.fail(ConnectError(refused))
        self.dispatch_waiting()

    def release(self, connection: EngineConnection) -> None:
        """Returns a connection to the pool, or aborts it if its engine's address has changed meanwhile."""
        if self.directory.address(connection.engine) != connection.address:
            connection.abort()
            return
        connection.idle_since = self.clock.seconds()
        self._idle.setdefault(connection.engine, deque()).append(connection)

    def connection_closed(self, connection: EngineConnection) -> None:
        """Removes a connection and dispatches waiting calls in a later reactor turn."""
        self.open_connections -= 1
        self._established[connection.engine] -= 1
        if not self._established[connection.engine]:
            del self._established[connection.engine]
        idle = self._idle.get(connection.engine)
        if idle and connection in idle:
            idle.remove(connection)
        self.clock.callLater(0, self.dispatch_waiting)

    def _evict_longest_idle(self) -> bool:
        """Aborts the connection that has been idle the longest, of any engine; False if none is idle."""
        longest_idle = min((idle[0] for idle in self._idle.values() if idle), key=_idle_since, default=None)
        if longest_idle is not None:
            longest_idle.abort()
        return longest_idle is not None

    def close_idle(self, engine: str) -> None:
        """Aborts the idle connections to one engine."""
        for connection in list(self._idle.pop(engine, ())):
            connection.abort()

    def close_all_idle(self) -> None:
        """Aborts the idle connections to all engines."""
        for engine in list(self._idle):
            self.close_idle(engine)

    def _close_expired_idle(self) -> None:
        """Aborts the connections that have been idle for longer than the idle timeout."""
        idle_before = self.clock.seconds() - self.idle_timeout
        for idle in self._idle.values():
            while idle and idle[0].idle_since <= idle_before:
                idle[0].abort()
        self._sweep = self.clock.callLater(SWEEP_INTERVAL_S, self._close_expired_idle)


def _idle_since(connection: EngineConnection) -> float:
    return connection.idle_since
