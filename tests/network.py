"""Transports and connections in memory, for tests of what stands on Twisted."""

from __future__ import annotations

from typing import Any

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from micahold import interface as api
from micahold.counters import Counters
from micahold.protocol.engine_list import ListNews
from micahold.transport.attempts import Attempt, AttemptRequest, AttemptResult
from micahold.transport.calls import EngineConnectionPools
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import TimerQueue

PAGE = b"a\t1\tx\n"


class Transport(StringTransport):
    """A connection in memory; what was written is taken with ``sent``."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = self.disconnecting = True

    def sent(self) -> bytes:
        data: bytes = self.value()
        self.clear()
        return data


class Link:
    """One connection that was asked for, from the other end."""

    def __init__(self, host: str, port: int, factory: Any, timeout: float) -> None:
        self.address, self.factory, self.timeout = (host, port), factory, timeout
        self.protocol: Any = None
        self.transport = Transport()

    def up(self) -> Link:
        self.protocol = self.factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        return self

    def refuse(self) -> None:
        self.factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))

    def time_out(self) -> None:
        self.factory.clientConnectionFailed(None, Failure(error.TimeoutError()))

    def say(self, data: bytes) -> None:
        self.protocol.dataReceived(data)

    def lose(self, clean: bool = False) -> None:
        self.protocol.connectionLost(Failure(error.ConnectionDone() if clean else error.ConnectionLost()))


class Network:
    """A reactor with a clock whose connections are ``links`` in the order they were asked for."""

    def __init__(self) -> None:
        self.clock = MemoryReactorClock()

    @property
    def links(self) -> list[Link]:
        made = self.clock.__dict__.setdefault("made_links", [])
        for host, port, factory, timeout, _ in self.clock.tcpClients[len(made) :]:
            made.append(Link(host, port, factory, timeout))
        links: list[Link] = made
        return links

    def turn(self, seconds: float = 0.0) -> None:
        self.clock.advance(seconds)


def answer(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    """An engine's answer; ``X_Sheets="1"`` becomes ``X-Sheets: 1``."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def news(cursor: int = 1, full: bool = True, **states: str) -> ListNews:
    """A list event: ``a="up"`` is engine ``a``, which listens on a port by its first letter."""
    entries = tuple(api.EngineEntry(name, api.EngineState(state)) for name, state in states.items())
    addresses = {name: ("127.0.0.1", 4000 + ord(name[0])) for name in states}
    kind = api.ListKind.FULL if full else api.ListKind.CHANGES
    return ListNews(cursor, api.ListUpdate(kind, cursor, entries), addresses)


class EngineSide(Network):
    """Pools, a directory with engine ``a`` (and ``b``), and attempts on them."""

    def __init__(self, most: int = 10) -> None:
        super().__init__()
        self.directory, self.counters, self.timers = EngineDirectory(), Counters(), TimerQueue(self.clock)
        self.directory.update(news(a="up", b="up"))
        self.pools = EngineConnectionPools(
            self.clock,
            self.directory,
            self.counters,
            max_connections=most,
            connect_timeout=0.25,
            engine_idle_timeout=15.0,
        )

    def attempt(self, engine: str = "a", wait: float = 5.0, token: bytes | None = None) -> Attempt:
        now = self.clock.seconds()
        order = AttemptRequest(
            engine, b"9b1f03aa5c7e2d41", b"report", token, b"SELECT 1", now + wait, now + wait
        )
        return Attempt(order, self.pools, self.directory, self.counters, self.clock.seconds, self.timers)

    def start(self, **options: Any) -> tuple[Attempt, list[AttemptResult]]:
        """An attempt that has started, and the list its end will be in."""
        attempt, ends = self.attempt(**options), list[AttemptResult]()
        attempt.done.addCallback(ends.append)
        attempt.start()
        return attempt, ends
