"""Sockets around one ``Group``: UDP for datagrams, TCP for anti-entropy exchanges.

This module makes no protocol decisions. Every connection has a time limit and a maximum frame size, and the
number of connections is bounded; a fault on one connection is counted and closes only that connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from micahold import interface as api
from micahold.membership.controller_adapter import ControllerAdapter
from micahold.membership.group import Address, Group, GroupOptions
from micahold.membership.keyring import Keyring, Signer
from micahold.membership.wire import MAX_FRAME_BYTES

MAX_CONNECTIONS = 16
EXCHANGE_TIMEOUT_S = 5.0  # for a whole exchange over one connection
CONNECT_TIMEOUT_S = 2.0
MIN_TIMER_DELAY_S = 0.002


class ExchangeConnection(Int32StringReceiver):
    """One end of an anti-entropy exchange; ``first_frame`` is sent first by the end that begins it."""

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(self, service: GossipService, first_frame: bytes | None = None) -> None:
        self.service, self.first_frame = service, first_frame
        self._time_limit: Any = None

    def connectionMade(self) -> None:
        """Start the time limit and send the first frame; refuse accepted connections above the maximum."""
        self.service.open_connections += 1
        self._time_limit = self.service.clock.callLater(EXCHANGE_TIMEOUT_S, self.transport.abortConnection)
        if self.first_frame is not None:
            self._send_frame(self.first_frame)
        elif self.service.open_connections > MAX_CONNECTIONS:
            self.service.group.counts["connections_turned_away"] += 1
            self.transport.abortConnection()

    def _send_frame(self, frame: bytes) -> None:
        self.sendString(frame)  # type: ignore[no-untyped-call]

    def stringReceived(self, string: bytes) -> None:
        """Answer one frame; close the connection after the last answer or if there is none."""
        try:
            answers, last = self.service.answer_frame(string, self.transport.getPeer().host)
        except Exception as error:  # closes only this connection
            self.service.record_fault(error)
            self.transport.abortConnection()
            return
        for answer in answers:
            self._send_frame(answer)
        if last or not answers:
            self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Count a frame above the maximum size and abort the connection."""
        self.service.group.counts["frames_too_long"] += 1
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Release the connection's place and cancel its time limit."""
        self.service.open_connections -= 1
        if self._time_limit is not None and self._time_limit.active():
            self._time_limit.cancel()


class ExchangeServerFactory(protocol.ServerFactory):
    """Accepts the anti-entropy exchanges that other members begin."""

    noisy = False

    def __init__(self, service: GossipService) -> None:
        self.service = service

    def buildProtocol(self, addr: Any) -> ExchangeConnection:
        """Return the protocol of an accepted connection."""
        return ExchangeConnection(self.service)


class ExchangeClientFactory(protocol.ClientFactory):
    """Begins an anti-entropy exchange with ``first_frame``."""

    noisy = False

    def __init__(self, service: GossipService, first_frame: bytes) -> None:
        self.service, self.first_frame = service, first_frame

    def buildProtocol(self, addr: Any) -> ExchangeConnection:
        """Return the protocol that sends the first frame."""
        return ExchangeConnection(self.service, self.first_frame)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Count an exchange whose connection could not be established."""
        self.service.group.counts["exchanges_failed"] += 1


class GossipService(protocol.DatagramProtocol):
    """Runs a ``Group`` on sockets and a timer, and connects it to the admission controller.

    ``now`` reads the monotonic clock, by which all spans are measured, and ``unix_now`` the wall clock.
    ``deliver_event`` receives the group's events for the controller. ``observe`` takes the events that the
    query exchange delivers to the controller.
    """

    noisy = False
    transport: Any

    def __init__(
        self,
        clock: Any,
        now: Callable[[], float],
        unix_now: Callable[[], float],
        group: Group,
        listen_address: Address,
        log: Callable[..., None],
        deliver_event: Callable[[api.Event], None],
        share_reports: bool = True,
    ) -> None:
        self.clock, self.group, self.listen_address = clock, group, listen_address
        self._monotonic, self._unix_now = now, unix_now
        self.log, self.deliver_event = log, deliver_event
        self.adapter = ControllerAdapter(group, share_reports)
        self.open_connections = 0
        self._timer: Any = None
        self._udp_port: Any = None
        self._tcp_port: Any = None
        self._stopped = False

    def now(self) -> float:
        """The monotonic time; also tells the group what the wall clock shows, which may have been stepped."""
        now = self._monotonic()
        self.group.unix_offset_s = self._unix_now() - now
        return now

    # Start and stop

    def start(self) -> None:
        """Open both sockets and start the timer; raise ``CannotListenError`` if an address is in use."""
        host, port = self.listen_address
        self._udp_port = self.clock.listenUDP(port, self, interface=host)
        try:
            self._tcp_port = self.clock.listenTCP(port, ExchangeServerFactory(self), interface=host)
        except internet_error.CannotListenError:
            self._udp_port.stopListening()
            raise
        self._tick()

    def leave(self) -> None:
        """Announce that this member leaves; gossip continues until ``stop``."""
        self.group.leave(self.now())
        self._carry_out()

    def stop(self) -> None:
        """Cancel the timer and close both sockets."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for port in (self._udp_port, self._tcp_port):
            if port is not None:
                port.stopListening()

    def reconfigure(
        self, options: GroupOptions, signer: Signer, keyring: Keyring, share_reports: bool
    ) -> None:
        """Apply the settings and keys that may change at runtime."""
        self.adapter.share_reports = share_reports
        self.group.reconfigure(self.now(), options, signer, keyring)
        if not share_reports:
            self.deliver_event(api.PeerReport())
        self._carry_out()

    def counters(self) -> dict[str, int]:
        """Return the counters by their names in the log."""
        counts = {f"gossip_{name}": number for name, number in sorted(self.group.counts.items())}
        return {**counts, "most_gossip_bytes_a_second": self.group.egress.peak_bytes}

    # Events

    def observe(self, event: api.Event) -> None:
        """Process an event of the query exchange; a fault here must not reach the admission controller."""
        if isinstance(event, api.AttemptEnded | api.ListUpdate):
            self._call_group(self.adapter.handle_event, self.now(), event)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Pass a datagram and its source address to the group."""
        self._call_group(self.group.receive, self.now(), datagram, (addr[0], addr[1]))

    def connectionRefused(self) -> None:
        """Ignore that no process listens at a member's address: the probe's timeout detects it."""

    def answer_frame(self, data: bytes, host: str) -> tuple[list[bytes], bool]:
        """Return the answers to a frame, and whether the connection is closed after them."""
        now = self.now()
        if self.group.is_own_view_request(now, data):
            return [orjson.dumps(self.group.view(now))], True
        answers = self.group.handle_frame(now, data, (host, 0))
        self._carry_out()
        return answers, False

    def record_fault(self, error: Exception) -> None:
        """Count and log an unexpected exception."""
        self.group.counts["faults"] += 1
        self.log("gossip_fault", error=f"{type(error).__name__}: {error}")

    def _call_group(self, function: Callable[..., None], *arguments: Any) -> None:
        """Call the group; an exception drops only the event that caused it and is logged."""
        try:
            function(*arguments)
        except Exception as error:
            self.record_fault(error)
        self._carry_out()

    def _tick(self) -> None:
        self._timer = None
        self._call_group(self.group.tick, self.now())

    def _carry_out(self) -> None:
        """Carry out and log the group's results, deliver its events and set the timer for its next tick."""
        group = self.group
        if group.outbox:
            datagrams, group.outbox = group.outbox, []
            for datagram in datagrams:
                try:
                    self.transport.write(datagram.data, datagram.address)
                except (
                    OSError,
                    internet_error.MessageLengthError,
                    internet_error.InvalidAddressError,
                    AttributeError,
                ):
                    group.counts["datagrams_unsent"] += 1
        if group.exchange_targets:
            targets, group.exchange_targets = group.exchange_targets, []
            for name, (host, port) in targets:
                first_frame = (
                    group.begin_exchange(self.now(), name)
                    if self.open_connections < MAX_CONNECTIONS
                    else None
                )
                if first_frame is not None:
                    self.clock.connectTCP(
                        host, port, ExchangeClientFactory(self, first_frame), timeout=CONNECT_TIMEOUT_S
                    )
        if group.status_changes:
            changes, group.status_changes = group.status_changes, []
            for change in changes:
                before = change.before.value if change.before is not None else None
                self.log("member", name=change.name, before=before, now=change.after.value, why=change.reason)
        for event in self.adapter.take_events(self.now()):
            self.deliver_event(event)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._stopped:
            return
        delay_s = max(MIN_TIMER_DELAY_S, self.group.due() - self.now())
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self.clock.seconds() + delay_s + MIN_TIMER_DELAY_S:
                return
            self._timer.cancel()
        self._timer = self.clock.callLater(delay_s, self._tick)
