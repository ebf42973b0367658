"""The reactor after the process has stood still, with a scripted poller and clock."""

from __future__ import annotations

from collections import deque
from typing import Any

import pytest
from twisted.internet.epollreactor import EPOLLIN

from micahold.program.loop import MAX_READY_EVENTS, FrontReactor

STALLS_S = (0.3, 1.2, 2.0)
POLL_TIMEOUT_S = 0.1
# More than one poll returns.
DESCRIPTORS = 3 * MAX_READY_EVENTS


class Clock:
    """A clock that moves only when it is told to."""

    def __init__(self) -> None:
        self.now = 100.0

    def seconds(self) -> float:
        return self.now


class Poller:
    """Returns ready descriptors in their order; a poll without any waits for its timeout.

    The next poll takes ``stall_s`` longer, and what is ready then has come meanwhile.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ready: deque[int] = deque()
        self.stall_s = 0.0

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Stands in for ``select.epoll.poll``."""
        stall_s, self.stall_s = self.stall_s, 0.0
        self.clock.now += stall_s if stall_s or self.ready else timeout
        return [(self.ready.popleft(), EPOLLIN) for _ in range(min(max_events, len(self.ready)))]


class Connection:
    """A connection that records when it is read, and how long its data may have waited."""

    def __init__(self, reactor: FrontReactor, descriptor: int, events: list[str]) -> None:
        self.reactor, self.descriptor, self.events = reactor, descriptor, events
        self.delays: list[float] = []

    def fileno(self) -> int:
        return self.descriptor

    def doRead(self) -> None:
        self.events.append(f"read {self.descriptor}")
        self.delays.append(self.reactor.max_read_delay())


class StalledReactor:
    """A reactor with connections on which data waits, and the record of what it did in which order."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        monkeypatch.setattr(FrontReactor, "seconds", lambda reactor: self.clock.now)
        self.reactor = FrontReactor()
        self.poller = Poller(self.clock)
        self.events: list[str] = []
        self.connections = [
            Connection(self.reactor, 1000 + number, self.events) for number in range(DESCRIPTORS)
        ]
        reactor: Any = self.reactor
        reactor._poller = self.poller
        for connection in self.connections:
            reactor._selectables[connection.descriptor] = connection
            reactor._reads.add(connection.descriptor)

    def poll(self) -> None:
        """One iteration of the reactor."""
        self.reactor.doPoll(POLL_TIMEOUT_S)

    def decide_at_iteration_end(self) -> None:
        """Has the end of the iteration recorded, at which the decisions are made and data is sent."""
        self.reactor.call_at_iteration_end(lambda: self.events.append("decide"))

    def data_comes(self) -> None:
        """Makes all connections readable."""
        self.poller.ready.extend(connection.descriptor for connection in self.connections)


@pytest.fixture
def stalled(monkeypatch: pytest.MonkeyPatch) -> StalledReactor:
    """A reactor that has polled once, without news."""
    reactor = StalledReactor(monkeypatch)
    reactor.poll()
    return reactor


@pytest.mark.parametrize("stall_s", STALLS_S)
@pytest.mark.parametrize("within_poll", [True, False])
def test_data_found_after_a_stall_may_have_waited_for_all_of_it(
    stalled: StalledReactor, stall_s: float, within_poll: bool
) -> None:
    """Guards against queries that came in a stall and are given the whole of their wait from its end on."""
    stalled.data_comes()
    if within_poll:
        stalled.poller.stall_s = POLL_TIMEOUT_S + stall_s
    else:
        stalled.clock.now += stall_s
    stalled.poll()
    assert all(len(connection.delays) == 1 for connection in stalled.connections)
    assert min(delay for connection in stalled.connections for delay in connection.delays) >= stall_s - 1e-6


@pytest.mark.parametrize("stall_s", STALLS_S)
@pytest.mark.parametrize("within_poll", [True, False])
def test_all_that_came_in_a_stall_is_read_before_anything_is_decided(
    stalled: StalledReactor, stall_s: float, within_poll: bool
) -> None:
    """Guards against attempts for clients that left in the stall, and to engines that were told to drain."""
    stalled.data_comes()
    if within_poll:
        stalled.poller.stall_s = POLL_TIMEOUT_S + stall_s
        stalled.poll()
        stalled.decide_at_iteration_end()
    else:
        stalled.decide_at_iteration_end()
        stalled.clock.now += stall_s
    stalled.poll()
    assert stalled.events.count("decide") == 1
    assert stalled.events.index("decide") == DESCRIPTORS


def test_news_of_the_engine_list_is_read_first_after_a_stall(stalled: StalledReactor) -> None:
    """Guards against a request that is written while a drain that was told before lies unread."""
    control_connection = stalled.connections[-1]
    stalled.reactor.control_transport = lambda: control_connection
    stalled.data_comes()
    stalled.clock.now += 1.2
    stalled.poll()
    assert stalled.events[0] == f"read {control_connection.descriptor}"


def test_without_a_stall_one_iteration_reads_a_bounded_number_of_descriptors(stalled: StalledReactor) -> None:
    stalled.data_comes()
    stalled.poll()
    assert len(stalled.events) == MAX_READY_EVENTS
    assert max(connection.delays[0] for connection in stalled.connections[:MAX_READY_EVENTS]) <= 0.25


def test_time_before_the_first_poll_is_no_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against queries that a front takes as old because it took long to start."""
    starting = StalledReactor(monkeypatch)
    starting.clock.now += 2.0
    starting.data_comes()
    starting.poll()
    assert max(connection.delays[0] for connection in starting.connections[:MAX_READY_EVENTS]) <= 0.25


def test_stall_is_over_once_all_is_read(stalled: StalledReactor) -> None:
    stalled.data_comes()
    stalled.clock.now += 2.0
    stalled.poll()
    stalled.poll()
    assert stalled.reactor.max_read_delay() <= POLL_TIMEOUT_S


class Writer:
    """A connection of the front with data to send, whose protocol records what it is told."""

    def __init__(self, events: list[str]) -> None:
        self.events = events
        self.protocol = self

    def fileno(self) -> int:
        return -1

    def write_delayed(self) -> None:
        self.events.append("delayed")


@pytest.mark.parametrize(("stall_s", "told"), [(0.05, []), (0.3, ["delayed"]), (2.0, ["delayed"])])
def test_request_written_before_a_stall_is_not_sent_as_it_is(
    stalled: StalledReactor, stall_s: float, told: list[str]
) -> None:
    """Guards against a deadline that is passed on too long, and an attempt for a client that left."""
    reactor: Any = stalled.reactor

    def write_and_stand_still() -> None:
        reactor._unsent_writers[Writer(stalled.events)] = None
        stalled.clock.now += stall_s

    reactor.call_at_iteration_end(write_and_stand_still)
    stalled.poll()
    assert stalled.events == told


@pytest.mark.parametrize("stall_s", STALLS_S)
def test_data_read_in_the_iteration_of_a_stall_may_have_waited_for_all_of_it(
    stalled: StalledReactor, stall_s: float
) -> None:
    """Guards against queries that are read after a stop between the poll and their read, and count as new."""
    first, second = stalled.connections[:2]

    def read_and_stand_still() -> None:
        stalled.clock.now += stall_s

    first.doRead = read_and_stand_still  # type: ignore[method-assign]
    stalled.poller.ready.extend((first.descriptor, second.descriptor))
    stalled.poll()
    assert second.delays[0] >= stall_s - 1e-6
