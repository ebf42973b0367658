"""A variant of Twisted's epoll reactor with less work per message, for a process that uses one core.

Twisted registers a descriptor with epoll for each write, removes it afterwards, and runs each event in a
logging context. This reactor sends at the end of an iteration what was written during it, and registers only
descriptors whose socket did not take all of its data. After the process has stood still, it reads all that
came meanwhile before the calls at the end of the iteration: decisions are made, and data is sent, only on the
news of the engine list and of clients that have left. It uses private names of the pinned Twisted release;
``tests/test_loop.py`` checks that they still behave as expected.
"""

from __future__ import annotations

import errno
import time
from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

from twisted.internet import epollreactor, main
from twisted.internet.tcp import Connection
from twisted.python import log

from micahold.program.sockets import FrontConnector, FrontPort

# Events handled between two checks of the timers; a longer iteration would make answers late.
MAX_READY_EVENTS = 16
# Bound on the assumed read delay: under lasting load the time since the last complete poll says little about
# a single query.
MAX_UNREAD_S = 0.25
# Bounds the processor time that a failing poll takes.
FAILED_POLL_DELAY_S = 0.001
# An iteration that was this much longer than it was to be: the process stood still.
STALL_S = 0.1
# A request that was made longer ago is made anew before it is sent: the deadline that it passes on may be too
# long by this.
MAX_UNSENT_S = 0.15
# Bounds the polls that catch up after a stall, each of up to MAX_READY_EVENTS descriptors.
MAX_CATCH_UP_POLLS = 128
# A poll that took longer than this has blocked: no descriptor was ready when it began.
MIN_BLOCKING_POLL_S = 0.001


class FrontReactor(epollreactor.EPollReactor):
    """An epoll reactor whose iteration is one poll and one pass over the descriptors that are ready."""

    # All timers and time limits count real time: the wall clock may be stepped.
    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        self._unsent_writers: dict[Any, None] = {}
        self._iteration_end_calls: list[Callable[[], None]] = []
        self.failed_calls: Counter[str] = Counter()  # system calls that failed and were made again
        # Times of the reactor's clock: of the last poll that returned all ready descriptors; since when the
        # data of this iteration may have been readable.
        self._drained_at = self._unread_since = 0.0
        # Since when data may have waited because polls failed; None once all of it is read.
        self._polls_failed_since: float | None = None
        # Since when data may have waited because the process stood still; None once all of it is read.
        self._stalled_since: float | None = None
        self._polled_at = inf  # return of the last poll; the time before the first one is no stall
        # Returns the transport with the news of the engine list, which is read first after a stall.
        self.control_transport: Callable[[], Any] = lambda: None
        super().__init__()  # type: ignore[no-untyped-call]

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> FrontPort:
        """Listens as Twisted's reactor does, with transports that outlast failing system calls."""
        listener = FrontPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Any:
        """Connects as Twisted's reactor does, with transports that outlast failing system calls."""
        connector = FrontConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def read_pending(self, transport: Any) -> bool:
        """Reads at once what has arrived on a connection; False if it is closed or can't be read now."""
        descriptor = transport.fileno()
        if descriptor not in self._reads:
            return False
        self._doReadOrWrite(transport, descriptor, epollreactor.EPOLLIN)  # type: ignore[no-untyped-call]
        return descriptor in self._reads and transport.fileno() == descriptor

    def record_failed_call(self, call: str, error: OSError) -> None:
        """Counts a system call that failed and is made again."""
        name = errno.errorcode.get(error.errno or 0, str(error.errno))
        self.failed_calls[f"failed_{call}_{name}"] += 1

    def addWriter(self, writer: Any) -> None:
        """Queues a connected socket to be sent at the end of the iteration; registers others with epoll."""
        if isinstance(writer, Connection) and writer.connected:
            if writer.fileno() not in self._writes:
                self._unsent_writers[writer] = None
        else:
            super().addWriter(writer)  # type: ignore[no-untyped-call]

    def removeWriter(self, writer: Any) -> None:
        """Removes ``writer`` from the queue of this iteration or from epoll, wherever it is."""
        if writer in self._unsent_writers:
            del self._unsent_writers[writer]
        elif writer.fileno() in self._writes or not isinstance(writer, Connection) or writer.fileno() == -1:
            super().removeWriter(writer)  # type: ignore[no-untyped-call]

    def call_at_iteration_end(self, call: Callable[[], None]) -> None:
        """Calls ``call`` once, after the ready events and due timers, before written data is sent."""
        self._iteration_end_calls.append(call)

    def max_read_delay(self) -> float:
        """The longest time, in seconds, for which the data being read may have been waiting to be read.

        Without it, the deadline of a query would count from the moment at which a late iteration read the
        query. Data that is ready without a wait arrived after the last poll that returned all ready
        descriptors; data that a blocking poll waited for has just arrived, unless the process stood still.
        What an iteration reads was ready when its poll returned.
        """
        now = float(self.seconds())
        delay = max(0.0, min(MAX_UNREAD_S, now - self._unread_since), now - self._polled_at)
        for since in (self._polls_failed_since, self._stalled_since):
            if since is not None:
                delay = max(delay, now - since)
        return delay

    def _end_iteration(self) -> bool:
        """Runs the calls for the end of the iteration and sends; True if there was anything to do."""
        acted = bool(self._iteration_end_calls)
        while self._iteration_end_calls:
            calls, self._iteration_end_calls = self._iteration_end_calls, []
            for call in calls:
                try:
                    call()
                except Exception:
                    log.err()
        return self._send_unsent() or acted

    def _send_unsent(self) -> bool:
        """Sends what this iteration wrote; True if there was anything.

        Registers a connection with epoll only where the socket did not take all of its data.
        """
        sent = bool(self._unsent_writers)
        while self._unsent_writers:
            writers, self._unsent_writers = list(self._unsent_writers), {}
            for writer in writers:
                self._report_delay(writer)
                descriptor = writer.fileno()
                if descriptor == -1:
                    continue
                self._doReadOrWrite(writer, descriptor, epollreactor.EPOLLOUT)  # type: ignore[no-untyped-call]
                if getattr(writer, "writes_suspended", False):
                    continue
                left = writer.offset < len(writer.dataBuffer) or writer._tempDataLen
                if left and writer.connected and writer.fileno() != -1:
                    self._unsent_writers.pop(writer, None)
                    super().addWriter(writer)  # type: ignore[no-untyped-call]
        return sent

    def _report_delay(self, writer: Any) -> None:
        """Calls ``write_delayed`` of the writer's protocol if the process stood still before this send.

        What it wrote may be out of date: it was decided on before the news of the stall are read.
        """
        if self.seconds() - self._polled_at <= MAX_UNSENT_S:
            return
        on_delayed = getattr(writer.protocol, "write_delayed", None)
        if on_delayed is not None:
            on_delayed()

    def doPoll(self, timeout: float | None) -> None:
        """Ends the previous iteration, polls for at most ``timeout`` seconds and handles the ready events."""
        self._note_stall(self._polled_at, self._polled_at)
        self._catch_up()
        if self._end_iteration():
            # The calls may have closed connections and set timers since the timeout was computed.
            timeout = self.timeout()
        self._poll(timeout)
        self._catch_up()

    def _poll(self, timeout: float | None) -> bool:
        """Polls once and handles the ready events; False if there were none or the poll failed."""
        self._note_stall(self._polled_at, self._polled_at)
        poll_began_at = self.seconds()
        try:
            ready = self._poller.poll(-1 if timeout is None else timeout, MAX_READY_EVENTS)
        except OSError as error:
            self.record_failed_call("epoll_wait", error)
            if self._polls_failed_since is None:
                self._polls_failed_since = self._unread_since
            time.sleep(FAILED_POLL_DELAY_S)  # it may fail many times in a row
            return False
        if timeout is not None:
            self._note_stall(poll_began_at, poll_began_at + timeout)
        now = self._polled_at = self.seconds()
        self._unread_since = now if now - poll_began_at > MIN_BLOCKING_POLL_S else self._drained_at
        if len(ready) < MAX_READY_EVENTS:
            self._drained_at = now
        for descriptor, event in ready:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                self._doReadOrWrite(selectable, descriptor, event)  # type: ignore[no-untyped-call]
        if len(ready) < MAX_READY_EVENTS:
            self._polls_failed_since = None  # all that waited meanwhile is read
        return bool(ready)

    def _note_stall(self, unread_since: float, due_at: float) -> None:
        """Notes a stall if it is later than ``due_at`` by over ``STALL_S``, and reads the control transport.

        Data may have waited since ``unread_since``.
        """
        if self.seconds() - due_at <= STALL_S:
            return
        if self._stalled_since is None:
            self._stalled_since = unread_since
        control_transport = self.control_transport()
        if control_transport is not None:
            self.read_pending(control_transport)

    def _catch_up(self) -> None:
        """Reads all that has come while the process stood still, up to the ends of connections."""
        if self._stalled_since is None:
            return
        for _ in range(MAX_CATCH_UP_POLLS):
            if not self._poll(0.0):
                break
        self._stalled_since = None

    doIteration = doPoll


def install() -> Any:
    """Installs a ``FrontReactor`` as the process's reactor and returns it.

    It must run before any import of ``twisted.internet.reactor``, which installs Twisted's default.
    """
    reactor = FrontReactor()
    main.installReactor(reactor)
    return reactor
