"""Twisted's epoll reactor with less work per message: one core serves a front and nothing else.

Twisted asks epoll for each write and for its end, and runs each event in a logging context. Here what was
written in a turn goes out at the end of that turn, and epoll is asked only for what the socket did not
take. It leans on names of the pinned Twisted; ``tests/test_loop.py`` holds them.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from twisted.internet import epollreactor, main
from twisted.internet.tcp import Connection, Port
from twisted.python import log

from micahold.program.configuration import MAX_ACCEPTS_PER_ITERATION

MAX_READY_EVENTS = 16  # handled between two looks at the timers: a busy turn must not make an answer late
MAX_ASSUMED_LATENESS_S = 0.05  # the platform's own allowance on sockets: no more lateness is assumed
MAX_UNREAD_S = 0.25  # nor more time unread: never having read all for long says little of one query
LATENESS_HALF_LIFE_S = 5.0
MIN_BLOCKING_POLL_S = 0.001  # a poll that took longer had nothing to tell when it began


class BoundedAcceptPort(Port):
    """A listener that takes a few connections a turn; Twisted's takes hundreds once hundreds wait."""

    @property
    def numberAccepts(self) -> int:
        return MAX_ACCEPTS_PER_ITERATION

    @numberAccepts.setter
    def numberAccepts(self, number: int) -> None:
        """Twisted would raise it."""


class FrontReactor(epollreactor.EPollReactor):
    """One poll, then one pass over what is ready."""

    def __init__(self) -> None:
        self._unsent: dict[Any, None] = {}
        self._at_turn_end: list[Callable[[], None]] = []
        self._drained = self._unread_since = self._returned = 0.0
        self._late = 0.0
        super().__init__()  # type: ignore[no-untyped-call]

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> BoundedAcceptPort:
        listener = BoundedAcceptPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def addWriter(self, writer: Any) -> None:
        if isinstance(writer, Connection) and writer.connected:
            if writer.fileno() not in self._writes:
                self._unsent[writer] = None
        else:
            super().addWriter(writer)  # type: ignore[no-untyped-call]

    def removeWriter(self, writer: Any) -> None:
        if writer in self._unsent:
            del self._unsent[writer]
        elif writer.fileno() in self._writes or not isinstance(writer, Connection) or writer.fileno() == -1:
            super().removeWriter(writer)  # type: ignore[no-untyped-call]

    def call_at_iteration_end(self, act: Callable[[], None]) -> None:
        """Once, after what is ready now and due now, and before what was written is sent."""
        self._at_turn_end.append(act)

    def max_read_delay(self) -> float:
        """How long what is being read may have lain there, in seconds.

        Guards against deadlines counted from when a late turn got to a query. What is ready without a wait
        came after the last poll that did not find all it could take; what was waited for has just come.
        """
        return max(0.0, min(MAX_UNREAD_S, float(self.seconds()) - self._unread_since))

    def timer_lateness(self) -> float:
        """How late a timer may fire, in seconds: the longest turn of late, fading.

        Guards against answers at a deadline that a stalled machine makes late.
        """
        return min(MAX_ASSUMED_LATENESS_S, self._late)

    def _end_turn(self) -> bool:
        """True if there was anything to do."""
        acted = bool(self._at_turn_end)
        while self._at_turn_end:
            acts, self._at_turn_end = self._at_turn_end, []
            for act in acts:
                try:
                    act()
                except Exception:
                    log.err()
        return self._send_unsent() or acted

    def _send_unsent(self) -> bool:
        """Send what this turn wrote; True if there was anything."""
        sent = bool(self._unsent)
        while self._unsent:
            writers, self._unsent = list(self._unsent), {}
            for writer in writers:
                descriptor = writer.fileno()
                if descriptor == -1:
                    continue
                self._doReadOrWrite(writer, descriptor, epollreactor.EPOLLOUT)  # type: ignore[no-untyped-call]
                left = writer.offset < len(writer.dataBuffer) or writer._tempDataLen
                if left and writer.connected and writer.fileno() != -1:
                    self._unsent.pop(writer, None)
                    super().addWriter(writer)  # type: ignore[no-untyped-call]
        return sent

    def doPoll(self, timeout: float | None) -> None:
        if self._end_turn():
            # What was done may have ended sessions and set timers since the time-out was worked out.
            timeout = self.timeout()
        before = self.seconds()
        try:
            ready = self._poller.poll(-1 if timeout is None else timeout, MAX_READY_EVENTS)
        except OSError as problem:
            if problem.errno == errno.EINTR:
                return
            raise
        after = self.seconds()
        passed, turn = after - self._returned, before - self._returned
        self._late = max(turn, self._late * 0.5 ** (passed / LATENESS_HALF_LIFE_S)) if self._returned else 0.0
        self._returned = after
        self._unread_since = after if after - before > MIN_BLOCKING_POLL_S else self._drained
        if len(ready) < MAX_READY_EVENTS:
            self._drained = after
        for descriptor, event in ready:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                self._doReadOrWrite(selectable, descriptor, event)  # type: ignore[no-untyped-call]

    doIteration = doPoll


def install() -> Any:
    """Make it the process's reactor; before anything imports Twisted's own."""
    reactor = FrontReactor()
    main.installReactor(reactor)
    return reactor
