"""The group on sockets: UDP for datagrams, TCP for full exchanges, round one pure ``Group``.

Nothing here decides. Every connection has a time limit and a bounded frame, and there is a most of them;
whatever goes wrong with one is counted and ends that one alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import error, protocol
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from micahold import interface as api
from micahold.membership.controller_adapter import ControllerAdapter
from micahold.membership.group import Address, Group, Options
from micahold.membership.keyring import Keyring, Signer
from micahold.membership.wire import MOST_FRAME

MOST_CONNECTIONS = 16
CONNECTION_S, CONNECT_S = 5.0, 2.0
LEAST_WAIT_S = 0.002


class ExchangeConnection(Int32StringReceiver):
    """One full exchange, from either end; ``first`` is what the end that asked begins with."""

    MAX_LENGTH = MOST_FRAME
    transport: Any

    def __init__(self, service: Gossip, first: bytes | None = None) -> None:
        self.service, self.first = service, first
        self._limit: Any = None

    def connectionMade(self) -> None:
        self.service.connections += 1
        self._limit = self.service.clock.callLater(CONNECTION_S, self.transport.abortConnection)
        if self.first is not None:
            self._say(self.first)
        elif self.service.connections > MOST_CONNECTIONS:
            self.service.group.counts["connections_turned_away"] += 1
            self.transport.abortConnection()

    def _say(self, frame: bytes) -> None:
        self.sendString(frame)  # type: ignore[no-untyped-call]

    def stringReceived(self, string: bytes) -> None:
        try:
            answers, last = self.service.frame(string, self.transport.getPeer().host)
        except Exception as problem:  # ends this exchange alone
            self.service.fault(problem)
            self.transport.abortConnection()
            return
        for answer in answers:
            self._say(answer)
        if last or not answers:
            self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        self.service.group.counts["frames_too_long"] += 1
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.service.connections -= 1
        if self._limit is not None and self._limit.active():
            self._limit.cancel()


class ExchangeListener(protocol.ServerFactory):
    """Takes full exchanges that other members begin."""

    noisy = False

    def __init__(self, service: Gossip) -> None:
        self.service = service

    def buildProtocol(self, addr: Any) -> ExchangeConnection:
        return ExchangeConnection(self.service)


class ExchangeBegin(protocol.ClientFactory):
    """Begins one."""

    noisy = False

    def __init__(self, service: Gossip, first: bytes) -> None:
        self.service, self.first = service, first

    def buildProtocol(self, addr: Any) -> ExchangeConnection:
        return ExchangeConnection(self.service, self.first)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.service.group.counts["exchanges_failed"] += 1


class Gossip(protocol.DatagramProtocol):
    """``tell`` gets events for the decisions; ``observe`` is handed those that the exchange tells."""

    noisy = False
    transport: Any

    def __init__(
        self,
        clock: Any,
        now: Callable[[], float],
        group: Group,
        listen: Address,
        log: Callable[..., None],
        tell: Callable[[api.Event], None],
        hearsay: bool = True,
    ) -> None:
        self.clock, self.now, self.group, self.listen = clock, now, group, listen
        self.log, self.tell = log, tell
        self.adapter = ControllerAdapter(group, hearsay)
        self.connections = 0
        self._call: Any = None
        self._udp: Any = None
        self._tcp: Any = None
        self._stopped = False

    # From start to stop

    def start(self) -> None:
        """``CannotListenError`` where the address is taken."""
        host, port = self.listen
        self._udp = self.clock.listenUDP(port, self, interface=host)
        try:
            self._tcp = self.clock.listenTCP(port, ExchangeListener(self), interface=host)
        except error.CannotListenError:
            self._udp.stopListening()
            raise
        self._tick()

    def leave(self) -> None:
        """Tell the others; goes on until ``stop``."""
        self.group.leave(self.now())
        self._after()

    def stop(self) -> None:
        self._stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()
        for port in (self._udp, self._tcp):
            if port is not None:
                port.stopListening()

    def reconfigure(self, options: Options, hand: Signer, keyring: Keyring, hearsay: bool) -> None:
        """Take over what may change in service."""
        self.adapter.share_reports = hearsay
        self.group.reconfigure(self.now(), options, hand, keyring)
        if not hearsay:
            self.tell(api.PeerReport())
        self._after()

    def counters(self) -> dict[str, int]:
        """Sums by name, for the log."""
        counts = {f"gossip_{name}": number for name, number in sorted(self.group.counts.items())}
        return {**counts, "most_gossip_bytes_a_second": self.group.egress.peak_bytes}

    # What happens

    def observe(self, event: api.Event) -> None:
        """An event that the exchange tells the decisions; a fault here must not reach them."""
        if isinstance(event, api.AttemptEnded | api.ListUpdate):
            self._guarded(self.adapter.handle_event, self.now(), event)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self._guarded(self.group.receive, self.now(), datagram, (addr[0], addr[1]))

    def connectionRefused(self) -> None:
        """Nobody listens there: the probe's time-out will tell."""

    def frame(self, data: bytes, host: str) -> tuple[list[bytes], bool]:
        """Answers to a frame, and whether the connection ends with them."""
        now = self.now()
        if self.group.asked_by_own(now, data):
            return [orjson.dumps(self.group.view(now))], True
        answers = self.group.frame(now, data, (host, 0))
        self._after()
        return answers, False

    def fault(self, problem: Exception) -> None:
        self.group.counts["faults"] += 1
        self.log("gossip_fault", error=f"{type(problem).__name__}: {problem}")

    def _guarded(self, act: Callable[..., None], *arguments: Any) -> None:
        """An error in the group costs what it came with and is logged; the front goes on."""
        try:
            act(*arguments)
        except Exception as problem:
            self.fault(problem)
        self._after()

    def _tick(self) -> None:
        self._call = None
        self._guarded(self.group.tick, self.now())

    def _after(self) -> None:
        """Carry out what the core wants, and wake when it is due."""
        group = self.group
        if group.outbox:
            sent, group.outbox = group.outbox, []
            for datagram in sent:
                try:
                    self.transport.write(datagram.data, datagram.address)
                except (OSError, error.MessageLengthError, error.InvalidAddressError, AttributeError):
                    group.counts["datagrams_unsent"] += 1
        if group.exchanges:
            wanted, group.exchanges = group.exchanges, []
            for name, (host, port) in wanted:
                first = group.exchange(self.now(), name) if self.connections < MOST_CONNECTIONS else None
                if first is not None:
                    self.clock.connectTCP(host, port, ExchangeBegin(self, first), timeout=CONNECT_S)
        if group.news:
            news, group.news = group.news, []
            for one in news:
                before = one.before.value if one.before is not None else None
                self.log("member", name=one.name, before=before, now=one.after.value, why=one.reason)
        for event in self.adapter.take_events(self.now()):
            self.tell(event)
        self._wake()

    def _wake(self) -> None:
        if self._stopped:
            return
        wait = max(LEAST_WAIT_S, self.group.due() - self.now())
        if self._call is not None and self._call.active():
            if self._call.getTime() <= self.clock.seconds() + wait + LEAST_WAIT_S:
                return
            self._call.cancel()
        self._call = self.clock.callLater(wait, self._tick)
