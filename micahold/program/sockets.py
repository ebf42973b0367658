"""TCP transports that outlast failing system calls: a shortage of the machine ends no connection.

A call that fails for want of memory or buffers, or that a signal interrupted, is made again shortly. In
between the descriptor is not polled, since it would be reported as ready at once and use up the processor.
"""

from __future__ import annotations

import errno
import socket
from typing import Any

from twisted.internet import main
from twisted.internet.error import TimeoutError
from twisted.internet.tcp import Client, Connector, Port, Server
from twisted.python import log

from micahold.program.configuration import MAX_ACCEPTS_PER_ITERATION

# Until a failed call is made again.
RETRY_DELAY_S = 0.01
# For a connection that has come up while the front could not look at it.
LATE_CONNECT_GRACE_S = 0.01
# recv(2) and send(2): the connection is whole, and the call may succeed later.
TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})


class RetryingTransport:
    """Mixin of Twisted's connections: makes reads and writes again that failed for a moment."""

    socket: socket.socket
    bufferSize: int
    SEND_LIMIT: int
    connected: int
    reactor: Any
    protocol: Any
    writes_suspended = False
    # Since when data may have waited because a call failed, on the reactor's clock; None if none did.
    unread_since: float | None = None

    def doRead(self) -> Any:
        """Reads what has arrived; returns an error only if the connection is broken."""
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                return main.CONNECTION_LOST
            self._suspend_reads()
            return None
        result = self._dataReceived(data)  # type: ignore[attr-defined]
        self.unread_since = None
        return result

    def writeSomeData(self, data: bytes) -> Any:
        """Writes as much as the socket takes; returns the number of bytes, or an error if it is broken."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                return main.CONNECTION_LOST
            self._suspend_writes()
            return 0

    def _suspend_reads(self) -> None:
        if self.unread_since is None:
            self.unread_since = self.reactor.seconds() - self.reactor.max_read_delay()
        self.reactor.removeReader(self)
        self.reactor.callLater(RETRY_DELAY_S, self._resume_reads)

    def _resume_reads(self) -> None:
        if self.connected and not self.disconnecting:  # type: ignore[attr-defined]
            self.reactor.addReader(self)

    def _suspend_writes(self) -> None:
        self.writes_suspended = True
        self.reactor.removeWriter(self)
        self.reactor.callLater(RETRY_DELAY_S, self._resume_writes)
        on_suspended = getattr(self.protocol, "write_suspended", None)
        if on_suspended is not None:
            self.reactor.callLater(0, on_suspended)

    def _resume_writes(self) -> None:
        self.writes_suspended = False
        if self.connected:
            self.reactor.addWriter(self)


class FrontServerTransport(RetryingTransport, Server):
    """An accepted connection."""


class FrontClientTransport(RetryingTransport, Client):
    """A connection that the front makes."""

    def failIfNotConnected(self, err: Exception) -> None:
        """Fails the connection; a timeout only if it does not come up within ``LATE_CONNECT_GRACE_S`` either.

        After a stall of the front, timers are due before its sockets are looked at.
        """
        if isinstance(err, TimeoutError) and not self.timed_out:
            self.timed_out = True
            self.reactor.callLater(LATE_CONNECT_GRACE_S, self.failIfNotConnected, err)
        else:
            super().failIfNotConnected(err)  # type: ignore[no-untyped-call]

    timed_out = False


class FrontConnector(Connector):
    """Makes one connection with a ``FrontClientTransport``."""

    def _makeTransport(self) -> FrontClientTransport:
        return FrontClientTransport(  # type: ignore[no-untyped-call]
            self.host, self.port, self.bindAddress, self, self.reactor
        )


class FrontPort(Port):
    """A listening port that accepts a bounded number of connections per reactor iteration.

    When accept(2) fails, the port rests for ``RETRY_DELAY_S`` and stays open: the errors of a single
    connection, of the network below it and of a shortage of descriptors or memory all pass.
    """

    transport = FrontServerTransport
    # Since when connections may have waited because accept(2) failed; None once all are accepted.
    unaccepted_since: float | None = None

    def doRead(self) -> None:
        """Accepts the connections that wait."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                self.unaccepted_since = None
                return
            except OSError as error:
                self._rest(error)
                return
            try:
                self._start_session(connection, address)
            except Exception:
                connection.close()
                log.err()

    def _start_session(self, connection: socket.socket, address: Any) -> None:
        factory: Any = self.factory
        protocol = factory.buildProtocol(self._buildAddr(address))  # type: ignore[no-untyped-call]
        if protocol is None:
            connection.close()
            return
        session_number = self.sessionno
        self.sessionno = session_number + 1
        transport: Any = self.transport(connection, protocol, address, self, session_number, self.reactor)
        transport.unread_since = self.unaccepted_since
        protocol.makeConnection(transport)

    def _rest(self, error: OSError) -> None:
        self.reactor.record_failed_call("accept", error)
        if self.unaccepted_since is None:
            self.unaccepted_since = self.reactor.seconds() - self.reactor.max_read_delay()
        self.stopReading()  # type: ignore[no-untyped-call]
        self.reactor.callLater(RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()  # type: ignore[no-untyped-call]
