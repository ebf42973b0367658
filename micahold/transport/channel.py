"""The command channel: server-sent events over one long-lived HTTP response, resumed from a cursor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.event_stream import EventStreamParser, ServerSentEvent
from micahold.protocol.http_messages import ChunkedDecoder, encode_request, is_chunked, take_response_head

CHANNEL_PATH = b"/cmd/next"
# The server sends a comment every second; the connection is dropped after two missed in a row.
SILENCE_TIMEOUT_S = 2.5
CONNECT_TIMEOUT_S = 1.0
# Backoff between connections that fail or end early: doubles from the first value up to the second. After a
# stable connection, the next attempt follows immediately.
INITIAL_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.4
# A connection that has lasted this long is stable and resets the backoff.
STABLE_CONNECTION_S = 0.5
MAX_EVENT_NUMBER_DIGITS = 18


class _EventStreamConnection(Protocol):
    """One connection of the channel: sends the request and parses the event stream of the response."""

    def __init__(self, channel: CommandChannel) -> None:
        self.channel = channel
        self._buffer = bytearray()
        self._chunks: ChunkedDecoder | None = None
        self._in_body = False
        self._events = EventStreamParser()
        self._silence_timer: Any = None
        self.created_at = channel.clock.seconds()

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        headers = ((b"Accept", b"text/event-stream"), (b"Last-Event-ID", b"%d" % self.channel.cursor))
        transport.write(encode_request(b"GET", CHANNEL_PATH, self.channel.host, headers))
        self._silence_timer = self.channel.clock.callLater(SILENCE_TIMEOUT_S, self._handle_silence)

    def dataReceived(self, data: bytes) -> None:
        self._silence_timer.reset(SILENCE_TIMEOUT_S)
        try:
            self._read(data)
        except ProtocolError as error:
            self.channel.log("channel_unreadable", error=str(error))
            self.abort()

    def _read(self, data: bytes) -> None:
        """Parses the response head, then delivers events; raises ``ProtocolError`` on unusable data."""
        self._buffer += data
        if not self._in_body:
            head = take_response_head(self._buffer)
            if head is None:
                return
            if head.status != 200:
                raise ProtocolError(f"status {head.status}")
            self._in_body = True
            self._chunks = ChunkedDecoder() if is_chunked(head.headers) else None
        if self._chunks is not None:
            data = self._chunks.decode(self._buffer)
        else:
            data = bytes(self._buffer)
            self._buffer.clear()
        for event in self._events.feed(data):
            self.channel.event_received(self, event)
        if self._chunks is not None and self._chunks.complete:
            self.abort()

    def _handle_silence(self) -> None:
        self.channel.log("channel_silent")
        self.abort()

    def abort(self) -> None:
        """Closes the connection with a TCP reset."""
        transport: Any = self.transport
        transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()
        self.channel.connection_ended(self)


class CommandChannel(ClientFactory):
    """Keeps one event stream connected and delivers each event once, in order.

    ``on_event`` is called with the data of each event whose number is above ``cursor``. It returns False for
    data that it can't parse.
    """

    noisy = False

    def __init__(
        self,
        clock: Any,
        address: tuple[str, int],
        cursor: int,
        on_event: Callable[[bytes], bool],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.clock = clock
        self.address = address
        self.cursor = cursor
        self.on_event = on_event
        self.counters = counters
        self.log = log
        self._reconnect_delay = 0.0
        self._stopped = False
        self._connection: _EventStreamConnection | None = None
        self._connector: Any = None
        self._reconnect_call: Any = None
        self._last_unreadable = -1  # number of the last event that could not be parsed

    @property
    def host(self) -> bytes:
        """Value of the Host header."""
        return b"%s:%d" % (self.address[0].encode(), self.address[1])

    @property
    def transport(self) -> Any:
        """The transport of the current connection; None while there is none."""
        return self._connection.transport if self._connection is not None else None

    def start(self) -> None:
        """Connects to the current address."""
        self._reconnect_call = None
        self.counters.add("channel_connects")
        self._connector = self.clock.connectTCP(*self.address, self, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Closes the connection for good."""
        self._stopped = True
        if self._reconnect_call is not None and self._reconnect_call.active():
            self._reconnect_call.cancel()
        if self._connection is not None:
            self._connection.abort()

    def change_address(self, address: tuple[str, int]) -> None:
        """Connects to a new address at once and resumes from the cursor.

        Data that still arrives on the old connection is ignored. Without this, drains could be received late:
        the server at the old address may keep the connection open and send no more events.
        """
        if address == self.address or self._stopped:
            return
        self.address = address
        self._reconnect_delay = 0.0
        self.counters.add("channel_moves")
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.abort()
        elif self._reconnect_call is not None:
            self._reconnect_call.cancel()
        else:
            # Ends the attempt on the old address; its failure callback then connects to the new one.
            self._connector.stopConnecting()
            return
        self.start()

    def buildProtocol(self, addr: IAddress | None) -> _EventStreamConnection:
        self._connection = _EventStreamConnection(self)
        return self._connection

    def event_received(self, connection: _EventStreamConnection, event: ServerSentEvent) -> None:
        """Delivers an event and advances the cursor; ignores events that are repeated, older or unnumbered.

        An event that can't be parsed may have been corrupted in transit: ``ProtocolError`` makes the channel
        reconnect and request it once more. If it fails again, the cursor moves past it.
        """
        if (
            connection is not self._connection
            or not event.last_event_id.isdigit()
            or len(event.last_event_id) > MAX_EVENT_NUMBER_DIGITS
        ):
            return
        number = int(event.last_event_id)
        if number <= self.cursor:
            return
        if not self.on_event(event.data) and number != self._last_unreadable:
            self._last_unreadable = number
            raise ProtocolError(f"event {number}")
        self.cursor = number
        self.counters.add("channel_events")

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._schedule_reconnect()

    def connection_ended(self, connection: _EventStreamConnection) -> None:
        """Schedules the next connection, unless a change of address has already replaced this one."""
        if connection is not self._connection:
            return
        self._connection = None
        if self.clock.seconds() - connection.created_at >= STABLE_CONNECTION_S:
            self._reconnect_delay = 0.0
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self._stopped:
            return
        self._reconnect_call = self.clock.callLater(self._reconnect_delay, self.start)
        self._reconnect_delay = min(
            MAX_RECONNECT_DELAY_S, self._reconnect_delay * 2 or INITIAL_RECONNECT_DELAY_S
        )
