"""HTTP calls to engines: pools of connections by engine id, within a bound on all connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import Answer, AnswerReader
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import Timer, TimerQueue

SWEEP_INTERVAL_S = 1.0  # how often idle connections are looked through
RESPONSE_TIMEOUT_S = (
    0.6  # an engine has news within 250 ms: a call unanswered for so long is lost with its connection
)
LATE_READ_GRACE_S = 0.05  # more, for what has come but was not read yet by a late loop
REUSE_DELAY_S = (
    0.003  # between an answer and the next call on its connection: a second copy of it shows by then
)


class CallError(Exception):
    """A call that brought no answer."""


class CallNotSentError(CallError):
    """Nothing was written: the call was no longer to be made when its turn came."""


class ConnectError(CallError):
    """No connection came up, so nothing was written."""

    def __init__(self, refused: bool) -> None:
        super().__init__("refused" if refused else "no connection in time")
        self.refused = refused


class ConnectionBrokenError(CallError):
    """The connection ended after the call was written and before its answer was whole."""


class UnreadableResponseError(CallError):
    """What came is not an HTTP answer."""


class Call:
    """One request to one engine: lined up, then written, then ended."""

    def __init__(
        self, engine: str, request: bytes, due_at: float, should_send: Callable[[], bool] | None
    ) -> None:
        self.engine, self.request, self.due_at, self.should_send = engine, request, due_at, should_send
        self.response: Deferred[Answer] = Deferred()
        self.written = self.ended = False
        self.new_connection = self.self_identifying = False
        self.connection: EngineConnection | None = None

    def succeed(self, answer: Answer) -> None:
        if not self.ended:
            self.ended = True
            self.response.callback(answer)

    def fail(self, why: CallError) -> None:
        if not self.ended:
            self.ended, self.should_send = True, None
            self.response.errback(Failure(why))

    def abandon(self, abort_connection: bool = False) -> None:
        """Nobody wants the answer any more; ``abort_connection`` also stops bytes on their way."""
        self.ended, self.should_send = True, None
        self.response = Deferred()  # the other led back to who made the call
        if abort_connection and self.connection is not None:
            self.connection.break_off()


class EngineConnection(Protocol):
    """One connection, one call at a time."""

    def __init__(
        self, pools: EngineConnectionPools, engine: str, address: tuple[str, int], first: Call
    ) -> None:
        self.pools, self.engine, self.address = pools, engine, address
        self.first: Call | None = first
        self.call: Call | None = None
        self.idle_since = 0.0
        self.closing = False
        self._reader = AnswerReader()
        self._limit: Timer | None = None

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        first, self.first = self.first, None
        if first is not None:
            self.pools.connected(self, first)

    def send(self, call: Call) -> None:
        transport: Any = self.transport
        self.call, call.connection, call.written = call, self, True
        call.should_send = None  # it leads back to who made the call: no cycle is left behind
        transport.write(call.request)
        self._limit = self.pools.timers.call_later(RESPONSE_TIMEOUT_S, self._late, False)

    def _late(self, again: bool) -> None:
        """Guards against answers that stop short or never come: every call has an end."""
        if not again:
            self._limit = self.pools.timers.call_later(LATE_READ_GRACE_S, self._late, True)
            return
        call = self.call
        self.pools.counters.add("engine_calls_unanswered")
        self.break_off()
        if call is not None:
            call.fail(ConnectionBrokenError("no answer in time"))

    def dataReceived(self, data: bytes) -> None:
        call = self.call
        if call is None:
            self.drop()  # an idle connection has nothing to say
            return
        try:
            answer = self._reader.feed(data)
        except ProtocolError as problem:
            self.break_off()
            self.pools.counters.add("engine_answers_unreadable")
            call.fail(UnreadableResponseError(str(problem)))
            return
        if answer is not None:
            self._finish(call, answer)

    def _finish(self, call: Call, answer: Answer) -> None:
        self.call = call.connection = None
        self._stop_limit()
        if answer.keeps_open:
            self.pools.free(self)
        else:
            self.drop()
        call.succeed(answer)
        if self.pools.waiting_calls:
            self.pools.dispatch_waiting()

    def break_off(self) -> None:
        """End the call out and the connection with it."""
        call, self.call = self.call, None
        if call is not None:
            call.connection = None
        self.drop()

    def drop(self) -> None:
        """Close for good; a reset, so that nothing unsent lingers."""
        self._stop_limit()
        if not self.closing:
            self.closing = True
            self.pools.lost(self)
            if self.transport is not None:
                self.transport.abortConnection()

    def _stop_limit(self) -> None:
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._stop_limit()
        call, self.call = self.call, None
        if not self.closing:
            self.closing = True
            self.pools.lost(self)
        if call is None:
            return
        call.connection = None
        answer = self._reader.end() if reason.check(error.ConnectionDone) else None
        if answer is not None:
            call.succeed(answer)
        else:
            call.fail(ConnectionBrokenError(reason.getErrorMessage()))


class _Connecting(ClientFactory):
    """One connection being made for one call."""

    noisy = False

    def __init__(self, pools: EngineConnectionPools, address: tuple[str, int], call: Call) -> None:
        self.pools, self.address = pools, address
        self.call: Call | None = call

    def buildProtocol(self, addr: IAddress | None) -> EngineConnection:
        call, self.call = self.call, None  # a factory lives as long as its connection
        assert call is not None
        return EngineConnection(self.pools, call.engine, self.address, call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._let_go(connector)
        call, self.call = self.call, None
        if call is not None:
            self.pools.connect_failed(call, reason.check(error.ConnectionRefusedError) is not None)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        self._let_go(connector)

    def _let_go(self, connector: Any) -> None:
        """Twisted's connector and its transport hold each other, and would wait for a collection."""
        if connector is not None:
            connector.transport = None


class EngineConnectionPools:
    """Connections to all engines, ``max_connections`` at most; calls wait in line by what is due first."""

    def __init__(
        self,
        clock: Any,
        directory: EngineDirectory,
        counters: Counters,
        max_connections: int,
        connect_timeout: float,
        engine_idle_timeout: float,
    ) -> None:
        self.clock, self.directory, self.counters, self.timers = clock, directory, counters, TimerQueue(clock)
        self.max_connections, self.connect_timeout = max_connections, connect_timeout
        # Half the engines' own limit: a call must not cross the close of the connection it is written to.
        self.idle_limit = engine_idle_timeout / 2
        self.open_connections = 0  # connections that are up or being made
        self._idle: dict[str, deque[EngineConnection]] = {}
        self._established: dict[str, int] = {}  # connections that are up, by engine
        self.waiting_calls: list[tuple[float, int, Call]] = []
        self._serial = count()
        self._sweep = clock.callLater(SWEEP_INTERVAL_S, self._close_old) if self.idle_limit > 0 else None

    def call(
        self,
        engine: str,
        request: bytes,
        due_at: float,
        should_send: Callable[[], bool] | None = None,
        new_connection: bool = False,
        self_identifying: bool = False,
    ) -> Call:
        """Line a call up; ``should_send`` is asked before the first byte.

        ``new_connection`` asks for one; ``self_identifying``: no other answer could pass for its own.
        """
        call = Call(engine, request, due_at, should_send)
        call.new_connection, call.self_identifying = new_connection, self_identifying
        if self.waiting_calls or not self._place(call):
            heappush(self.waiting_calls, (due_at, next(self._serial), call))
            self.counters.most("calls_in_line", len(self.waiting_calls))
        return call

    def dispatch_waiting(self) -> None:
        """Place the calls that are due first, as far as there are connections."""
        while self.waiting_calls:
            call = self.waiting_calls[0][2]
            if not call.ended and not self._place(call):
                return
            heappop(self.waiting_calls)

    def _place(self, call: Call) -> bool:
        """False while there is no connection for it."""
        rested = (
            None
            if call.new_connection
            else self._rested(call.engine, 0.0 if call.self_identifying else REUSE_DELAY_S)
        )
        if rested is not None:
            self._start(rested, call)
            return True
        address = self.directory.address(call.engine)
        if address is None:
            self._not_sent(call, "the engine has gone")
            return True
        if self.open_connections >= self.max_connections and not self._close_oldest():
            return False
        self.open_connections += 1
        self.counters.most("engine_connections", self.open_connections)
        self.counters.add("engine_connects")
        self.clock.connectTCP(*address, _Connecting(self, address, call), timeout=self.connect_timeout)
        return True

    def _rested(self, engine: str, rest: float) -> EngineConnection | None:
        """The idle connection used last that has rested for so long.

        Guards against a second copy of an answer that would pass for the answer to the next call.
        """
        idle, before = self._idle.get(engine, ()), self.clock.seconds() - rest
        for at in range(len(idle) - 1, -1, -1):
            connection = idle[at]
            if connection.idle_since <= before:
                del self._idle[engine][at]
                return connection
        return None

    def _start(self, connection: EngineConnection, call: Call) -> None:
        if call.ended:
            self.free(connection)
        elif call.should_send is not None and not call.should_send():
            self.free(connection)
            self._not_sent(call, "no longer wanted")
        else:
            self.counters.add("engine_calls")
            connection.send(call)

    def _not_sent(self, call: Call, why: str) -> None:
        """Told in a turn of its own: the caller must have its call before the end of it."""
        self.clock.callLater(0, call.fail, CallNotSentError(why))

    def has_established_connection(self, engine: str) -> bool:
        """Whether one is up: a process that has died has reset all of its connections."""
        return engine in self._established

    def connected(self, connection: EngineConnection, call: Call) -> None:
        self._established[connection.engine] = self._established.get(connection.engine, 0) + 1
        self._start(connection, call)
        self.dispatch_waiting()

    def connect_failed(self, call: Call, refused: bool) -> None:
        self.open_connections -= 1
        self.counters.add("engine_connects_refused" if refused else "engine_connects_failed")
        call.fail(ConnectError(refused))
        self.dispatch_waiting()

    def free(self, connection: EngineConnection) -> None:
        if self.directory.address(connection.engine) != connection.address:
            connection.drop()  # the engine has gone or moved while it was in use
            return
        connection.idle_since = self.clock.seconds()
        self._idle.setdefault(connection.engine, deque()).append(connection)

    def lost(self, connection: EngineConnection) -> None:
        self.open_connections -= 1
        self._established[connection.engine] -= 1
        if not self._established[connection.engine]:
            del self._established[connection.engine]
        idle = self._idle.get(connection.engine)
        if idle and connection in idle:
            idle.remove(connection)
        self.clock.callLater(0, self.dispatch_waiting)

    def _close_oldest(self) -> bool:
        """Make room for another engine's call."""
        oldest = min((idle[0] for idle in self._idle.values() if idle), key=_idle_since, default=None)
        if oldest is not None:
            oldest.drop()
        return oldest is not None

    def close_idle(self, engine: str) -> None:
        for connection in list(self._idle.pop(engine, ())):
            connection.drop()

    def close_all_idle(self) -> None:
        for engine in list(self._idle):
            self.close_idle(engine)

    def _close_old(self) -> None:
        before = self.clock.seconds() - self.idle_limit
        for idle in self._idle.values():
            while idle and idle[0].idle_since <= before:
                idle[0].drop()
        self._sweep = self.clock.callLater(SWEEP_INTERVAL_S, self._close_old)


def _idle_since(connection: EngineConnection) -> float:
    return connection.idle_since
