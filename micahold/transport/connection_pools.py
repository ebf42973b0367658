"""Pooled connections to engines: one pool per listing of an engine, one limit for all connections."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import inf
from typing import Any

from micahold.counters import Counters
from micahold.transport.calls import Call, CallNotSentError, ConnectError
from micahold.transport.directory import EngineDirectory, EngineListing
from micahold.transport.engine_connection import (
    TRAILING_DATA_DELAY_S,
    EngineConnection,
    EngineConnectionFactory,
)
from micahold.transport.response_matching import ExpectedResponse
from micahold.transport.timers import TimerQueue

# Interval between checks for connections that have been idle for too long.
SWEEP_INTERVAL_S = 1.0
# Until the front tries to connect again after it lacked descriptors, ports, memory or a route.
LACK_RETRY_DELAY_S = 0.02


class EngineConnectionPools:
    """Connections to all engines, pooled by listing.

    New connections are made to current listings only. After the end of a listing its established connections
    go on carrying calls while attempts retain it: its process may still run their queries.

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
        read_pending: Callable[[Any], bool] = lambda transport: True,
    ) -> None:
        """``read_pending`` reads at once what has arrived on a transport; False if it can't be read now."""
        self.clock = clock
        self.directory = directory
        self.counters = counters
        self.timers = TimerQueue(clock)
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        # Half the engines' own idle timeout, so that no request is sent on a connection that its engine is
        # closing at that moment. 0 disables the sweep.
        self.idle_timeout = engine_idle_timeout / 2
        self.read_pending = read_pending
        self.open_connections = 0  # established or being established
        self._idle: dict[EngineListing, deque[EngineConnection]] = {}
        self._retained: dict[EngineListing, int] = {}  # number of attempts that are not over
        self.waiting_calls: list[tuple[float, int, Call]] = []  # heap of due time, tie breaker and call
        self._sequence = count()
        self._attempt_numbers = count(1)
        self._suspended_until = -inf  # no new connections until then
        self._next_eviction: Any = None  # delayed call that dispatches once a connection may be evicted
        self._sweep = (
            clock.callLater(SWEEP_INTERVAL_S, self._close_expired_idle) if self.idle_timeout > 0 else None
        )

    def call(
        self,
        listing: EngineListing,
        due_at: float,
        prepare: Callable[[], bytes | None],
        expected: ExpectedResponse,
        new_connection: bool = False,
    ) -> Call:
        """Sends a request to an engine, or queues it while no connection is available.

        ``prepare`` is called right before the first byte and returns the request, or None to send nothing:
        the call may have waited for a connection meanwhile. ``new_connection`` excludes pooled connections.
        ``expected`` tells the answer from other responses.
        """
        call = Call(listing, due_at, prepare, expected)
        call.new_connection = new_connection
        may_overtake = self._is_suspended()  # the others wait for new connections
        if (self.waiting_calls and not may_overtake) or not self._dispatch(call):
            heappush(self.waiting_calls, (due_at, next(self._sequence), call))
            self.counters.record_max("calls_in_line", len(self.waiting_calls))
        return call

    def dispatch_waiting(self) -> None:
        """Dispatches waiting calls in order of their due time until no connection is available."""
        if self._is_suspended():
            waiting, self.waiting_calls = sorted(self.waiting_calls), []
            for entry in waiting:
                if not entry[2].ended and not self._dispatch(entry[2]):
                    heappush(self.waiting_calls, entry)
            return
        while self.waiting_calls:
            call = self.waiting_calls[0][2]
            if not call.ended and not self._dispatch(call):
                return
            heappop(self.waiting_calls)

    def _dispatch(self, call: Call) -> bool:
        """Sends a call on an idle or a new connection; False if none is available."""
        listing = call.listing
        is_current = self.directory.is_current(listing)
        connection = None if call.new_connection and is_current else self._take_idle(call)
        if connection is not None:
            self._send(connection, call)
            return True
        if not is_current:
            self._fail_unsent(call, "the engine is no longer listed")
            return True
        if self._is_suspended():
            return False
        if self.open_connections >= self.max_connections and not self._evict_longest_idle():
            return False
        self.open_connections += 1
        self.counters.record_max("engine_connections", self.open_connections)
        self.counters.add("engine_connects")
        factory = EngineConnectionFactory(self, call)
        self.clock.connectTCP(listing.host, listing.port, factory, timeout=self.connect_timeout)
        return True

    def _take_idle(self, call: Call) -> EngineConnection | None:
        """Removes and returns the most recently used connection that may carry the call.

        Guards against a duplicate of the last response, which would be taken for the response to the call:
        the connection must have rested, and what arrived meanwhile is read first, however late the event loop
        is.
        """
        for connection in reversed(tuple(self._idle.get(call.listing, ()))):
            if not connection.may_carry(call) or not self.read_pending(connection.transport):
                continue
            if self.withdraw(connection):  # reading has found nothing
                return connection
        return None

    def _send(self, connection: EngineConnection, call: Call) -> None:
        """Sends the call, or releases the connection if the call has ended or is no longer to be sent."""
        if call.ended or call.prepare is None:
            self.release(connection)
            return
        request = call.prepare()
        if request is None:
            self.release(connection)
            self._fail_unsent(call, "the call is no longer to be sent")
        else:
            self.counters.add("engine_calls")
            connection.send(call, request)

    def _fail_unsent(self, call: Call, reason: str) -> None:
        """Fails a call in a later reactor turn: the caller must have received the call object before."""
        self.clock.callLater(0, call.fail, CallNotSentError(reason))

    def new_attempt_number(self) -> int:
        """A number that no other attempt on these pools has."""
        return next(self._attempt_numbers)

    def retain(self, listing: EngineListing) -> None:
        """Keeps connections usable after the end of their listing, until ``release_listing`` as often."""
        self._retained[listing] = self._retained.get(listing, 0) + 1

    def release_listing(self, listing: EngineListing) -> None:
        """Takes back one ``retain``."""
        self._retained[listing] -= 1
        if not self._retained[listing]:
            del self._retained[listing]
            self.close_ended(listing)

    def _may_pool(self, listing: EngineListing) -> bool:
        return listing in self._retained or self.directory.is_current(listing)

    def connection_established(self, connection: EngineConnection, call: Call) -> None:
        """Sends the call that the connection was opened for, then waiting calls."""
        if self.directory.is_current(connection.listing):
            self._send(connection, call)
        else:
            connection.abort()  # another process may have the address
            self._fail_unsent(call, "the engine is no longer listed")
        self.dispatch_waiting()

    def _is_suspended(self) -> bool:
        """Whether no connections are made for the moment, since the front lacks what it takes."""
        return bool(self.clock.seconds() < self._suspended_until)

    def connection_lacked(self, call: Call, error_number: int) -> None:
        """Puts the call back into the queue: the front could not even try to reach the engine."""
        self.open_connections -= 1
        self.counters.add(f"engine_connects_lacked_{errno.errorcode.get(error_number, error_number)}")
        self.requeue(call)

    def requeue(self, call: Call) -> None:
        """Queues a call again that was not written; new connections rest for ``LACK_RETRY_DELAY_S``."""
        heappush(self.waiting_calls, (call.due_at, next(self._sequence), call))
        if not self._is_suspended():
            self._suspended_until = self.clock.seconds() + LACK_RETRY_DELAY_S
            self.clock.callLater(LACK_RETRY_DELAY_S, self.dispatch_waiting)

    def connection_failed(self, call: Call, refused: bool) -> None:
        """Fails the call that the connection was to be opened for, then dispatches waiting calls."""
        self.open_connections -= 1
        self.counters.add("engine_connects_refused" if refused else "engine_connects_failed")
        call.fail(ConnectError(refused))
        self.dispatch_waiting()

    def release(self, connection: EngineConnection) -> None:
        """Returns a connection to its pool, or aborts it if its listing is neither current nor retained."""
        if not self._may_pool(connection.listing):
            connection.abort()
            return
        connection.idle_since = self.clock.seconds()
        self._idle.setdefault(connection.listing, deque()).append(connection)

    def connection_closed(self, connection: EngineConnection) -> None:
        """Removes a connection and dispatches waiting calls in a later reactor turn."""
        self.open_connections -= 1
        self.withdraw(connection)
        self.clock.callLater(0, self.dispatch_waiting)

    def withdraw(self, connection: EngineConnection) -> bool:
        """Takes a connection out of its pool; False if it is not in there."""
        idle = self._idle.get(connection.listing, ())
        if connection not in idle:
            return False
        self._idle[connection.listing].remove(connection)
        return True

    def _evict_longest_idle(self) -> bool:
        """Aborts the connection that has been idle the longest, of any engine; False if there is none.

        One whose last response may still have a rest to come stays; another try follows shortly.
        """
        oldest = [idle[0] for idle in self._idle.values() if idle]
        evictable = [connection for connection in oldest if not connection.awaits_trailing_data()]
        if evictable:
            min(evictable, key=_idle_since).abort()
        elif oldest and (self._next_eviction is None or not self._next_eviction.active()):
            self._next_eviction = self.clock.callLater(TRAILING_DATA_DELAY_S, self.dispatch_waiting)
        return bool(evictable)

    def close_idle(self, engine: str) -> None:
        """Aborts the idle connections to the current listing of an engine."""
        listing = self.directory.listing(engine)
        if listing is not None:
            self._abort_idle(listing)

    def close_ended(self, listing: EngineListing) -> None:
        """Aborts the idle connections of a listing unless it is current or retained."""
        if not self._may_pool(listing):
            self._abort_idle(listing)

    def _abort_idle(self, listing: EngineListing) -> None:
        for connection in list(self._idle.pop(listing, ())):
            connection.abort()

    def _close_expired_idle(self) -> None:
        """Aborts the connections that have been idle for longer than the idle timeout."""
        idle_before = self.clock.seconds() - self.idle_timeout
        for idle in self._idle.values():
            while idle and idle[0].idle_since <= idle_before:
                idle[0].abort()
        self._sweep = self.clock.callLater(SWEEP_INTERVAL_S, self._close_expired_idle)


def _idle_since(connection: EngineConnection) -> float:
    return connection.idle_since
