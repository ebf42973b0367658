"""In-memory transports and connections for tests of the Twisted protocols, without sockets."""

from __future__ import annotations

from typing import Any

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from micahold import interface as api
from micahold.counters import Counters
from micahold.protocol.engine_list import EngineListEvent
from micahold.transport.attempts import Attempt, AttemptRequest, AttemptResult
from micahold.transport.connection_pools import EngineConnectionPools
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import TimerQueue

PAGE = b"a\t1\tx\n"


class MemoryTransport(StringTransport):
    """A transport that records written data and whether the connection was aborted."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing."""

    def abortConnection(self) -> None:
        """Marks the connection as aborted and closing."""
        self.aborted = self.disconnecting = True

    def take_written(self) -> bytes:
        """Returns the data written since the last call and clears the record."""
        data: bytes = self.value()
        self.clear()
        return data


class ServerEnd:
    """The server's end of one connection that the front has requested."""

    def __init__(self, host: str, port: int, factory: Any, timeout: float) -> None:
        self.address, self.factory, self.timeout = (host, port), factory, timeout
        self.protocol: Any = None
        self.transport = MemoryTransport()
        self.unread = b""

    def accept(self) -> ServerEnd:
        """Establishes the connection."""
        self.protocol = self.factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        return self

    def refuse(self) -> None:
        """Fails the connection attempt as refused."""
        self.factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))

    def time_out(self) -> None:
        """Fails the connection attempt with a connect timeout."""
        self.factory.clientConnectionFailed(None, Failure(error.TimeoutError()))

    def send(self, data: bytes) -> None:
        """Delivers data to the front."""
        self.protocol.dataReceived(data)

    def arrive(self, data: bytes) -> None:
        """Lets data arrive that the front does not read yet."""
        self.unread += data

    def read_unread(self) -> None:
        """Has the front read what has arrived."""
        data, self.unread = self.unread, b""
        if data and not self.transport.disconnecting:
            self.protocol.dataReceived(data)

    def disconnect(self, clean: bool = False) -> None:
        """Ends an established connection: by a regular close if ``clean``, otherwise as lost."""
        self.protocol.connectionLost(Failure(error.ConnectionDone() if clean else error.ConnectionLost()))


class MemoryNetwork:
    """A reactor with a simulated clock that records outgoing connections instead of opening sockets."""

    def __init__(self) -> None:
        self.clock = MemoryReactorClock()

    @property
    def connections(self) -> list[ServerEnd]:
        """All connections requested so far, in order."""
        server_ends = self.clock.__dict__.setdefault("made_connections", [])
        for host, port, factory, timeout, _ in self.clock.tcpClients[len(server_ends) :]:
            server_ends.append(ServerEnd(host, port, factory, timeout))
        connections: list[ServerEnd] = server_ends
        return connections

    def advance(self, seconds: float = 0.0) -> None:
        """Advances the clock and runs all calls that are due."""
        self.clock.advance(seconds)


def http_response(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    """Encodes an engine's response; the keyword ``X_Sheets="1"`` becomes the header ``X-Sheets: 1``."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def engine_list_event(cursor: int = 1, full: bool = True, **states: str) -> EngineListEvent:
    """Builds an engine list event: ``a="up"`` is engine ``a`` with that state.

    The port of an engine is derived from the first letter of its name; longer names have another one.
    """
    entries = tuple(api.EngineEntry(name, api.EngineState(state)) for name, state in states.items())
    addresses = {name: ("127.0.0.1", (4000 if len(name) == 1 else 5000) + ord(name[0])) for name in states}
    kind = api.ListKind.FULL if full else api.ListKind.CHANGES
    return EngineListEvent(cursor, api.ListUpdate(kind, cursor, entries), addresses)


class EngineHarness(MemoryNetwork):
    """Connection pools and a directory with the engines ``a`` and ``b``; starts attempts on them."""

    def __init__(self, max_connections: int = 10) -> None:
        super().__init__()
        self.directory, self.counters, self.timers = EngineDirectory(), Counters(), TimerQueue(self.clock)
        self.directory.update(engine_list_event(a="up", b="up"))
        self.pools = EngineConnectionPools(
            self.clock,
            self.directory,
            self.counters,
            max_connections=max_connections,
            connect_timeout=0.25,
            engine_idle_timeout=15.0,
            read_pending=self.read_pending,
        )

    def read_pending(self, transport: MemoryTransport) -> bool:
        """Reads what has arrived on a connection, as the reactor does."""
        for connection in self.connections:
            if connection.transport is transport:
                connection.read_unread()
        return not transport.disconnecting

    def make_attempt(
        self,
        engine: str = "a",
        wait: float = 5.0,
        token: bytes | None = None,
        query_id: bytes = b"9b1f03aa5c7e2d41",
    ) -> Attempt:
        """Creates an attempt that expires after ``wait`` seconds."""
        now = self.clock.seconds()
        request = AttemptRequest(engine, query_id, b"report", token, b"SELECT 1", now + wait, now + wait)
        return Attempt(request, self.pools, self.directory, self.counters, self.clock.seconds, self.timers)

    def start_attempt(self, **options: Any) -> tuple[Attempt, list[AttemptResult]]:
        """Starts an attempt; returns it and a list that receives its result."""
        attempt, results = self.make_attempt(**options), list[AttemptResult]()
        attempt.done.addCallback(results.append)
        attempt.start()
        return attempt, results
