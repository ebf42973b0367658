"""Transports and connections in memory, for tests of what stands on Twisted."""

from __future__ import annotations

from typing import Any

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from micahold import interface as api
from micahold.counters import Counters
from micahold.protocol.engine_list import EngineListEvent
from micahold.transport.attempts import Attempt, AttemptRequest, AttemptResult
from micahold.transport.calls import EngineConnectionPools
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import TimerQueue

PAGE = b"a\t1\tx\n"


class MemoryTransport(StringTransport):
    """A connection in memory; what was written is taken with ``sent``."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = self.disconnecting = True

    def take_written(self) -> bytes:
        data: bytes = self.value()
        self.clear()
        return data


class ServerEnd:
    """One connection that was asked for, from the other end."""

    def __init__(self, host: str, port: int, factory: Any, timeout: float) -> None:
        self.address, self.factory, self.timeout = (host, port), factory, timeout
        self.protocol: Any = None
        self.transport = MemoryTransport()

    def accept(self) -> ServerEnd:
        self.protocol = self.factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        return self

    def refuse(self) -> None:
        self.factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))

    def time_out(self) -> None:
        self.factory.clientConnectionFailed(None, Failure(error.TimeoutError()))

    def send(self, data: bytes) -> None:
        self.protocol.dataReceived(data)

    def disconnect(self, clean: bool = False) -> None:
        self.protocol.connectionLost(Failure(error.ConnectionDone() if clean else error.ConnectionLost()))


class MemoryNetwork:
    """A reactor with a clock whose connections are ``connections`` in the order they were asked for."""

    def __init__(self) -> None:
        self.clock = MemoryReactorClock()

    @property
    def connections(self) -> list[ServerEnd]:
        made = self.clock.__dict__.setdefault("made_connections", [])
        for host, port, factory, timeout, _ in self.clock.tcpClients[len(made) :]:
            made.append(ServerEnd(host, port, factory, timeout))
        connections: list[ServerEnd] = made
        return connections

    def advance(self, seconds: float = 0.0) -> None:
        self.clock.advance(seconds)


def http_response(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    """An engine's answer; ``X_Sheets="1"`` becomes ``X-Sheets: 1``."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def engine_list_event(cursor: int = 1, full: bool = True, **states: str) -> EngineListEvent:
    """A list event: ``a="up"`` is engine ``a``, which listens on a port by its first letter."""
    entries = tuple(api.EngineEntry(name, api.EngineState(state)) for name, state in states.items())
    addresses = {name: ("127.0.0.1", 4000 + ord(name[0])) for name in states}
    kind = api.ListKind.FULL if full else api.ListKind.CHANGES
    return EngineListEvent(cursor, api.ListUpdate(kind, cursor, entries), addresses)


class EngineHarness(MemoryNetwork):
    """Pools, a directory with engine ``a`` (and ``b``), and attempts on them."""

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
        )

    def make_attempt(self, engine: str = "a", wait: float = 5.0, token: bytes | None = None) -> Attempt:
        now = self.clock.seconds()
        order = AttemptRequest(
            engine, b"9b1f03aa5c7e2d41", b"report", token, b"SELECT 1", now + wait, now + wait
        )
        return Attempt(order, self.pools, self.directory, self.counters, self.clock.seconds, self.timers)

    def start_attempt(self, **options: Any) -> tuple[Attempt, list[AttemptResult]]:
        """An attempt that has started, and the list its end will be in."""
        attempt, ends = self.make_attempt(**options), list[AttemptResult]()
        attempt.done.addCallback(ends.append)
        attempt.start()
        return attempt, ends
