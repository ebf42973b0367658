"""One call of the command channel: an HTTP response with server-sent events that does not end by itself."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from micahold.protocol.errors import ProtocolError
from micahold.protocol.event_stream import EventStreamParser, ServerSentEvent
from micahold.protocol.http_messages import (
    MAX_INTERIM_RESPONSES,
    ChunkedDecoder,
    encode_request,
    is_chunked,
    take_response_head,
)

CHANNEL_PATH = b"/cmd/next"
# A call that is not answered for this long is given up. Until then it is kept beside newer calls.
CALL_TIMEOUT_S = 30.0


class ChannelCallOwner(TypingProtocol):
    """What a call tells of itself."""

    def call_connected(self, call: ChannelCall) -> None:
        """The connection of the call is established, and its request is written."""
        ...

    def stream_received(self, call: ChannelCall) -> None:
        """Part of the event stream has come, be it a comment."""
        ...

    def event_received(self, call: ChannelCall, event: ServerSentEvent) -> None:
        """An event has come; raises ``ProtocolError`` if the call is to end for it."""
        ...

    def call_unreadable(self, call: ChannelCall, error: ProtocolError) -> None:
        """The call ends because what came is no event stream."""
        ...

    def call_ended(self, call: ChannelCall) -> None:
        """The call has failed or ended, other than by ``ChannelCall.abort``."""
        ...


class ChannelCall(ClientFactory):
    """One call, from its connect to its end; after ``abort`` its owner hears nothing of it."""

    noisy = False

    def __init__(self, clock: Any, address: tuple[str, int], cursor: int, owner: ChannelCallOwner) -> None:
        self.clock = clock
        self.address = address
        self.cursor = cursor
        self.owner = owner
        self.ended = False
        self.is_answered = False  # part of the event stream has come
        self.connected_at: float | None = None
        self._connection: _EventStreamConnection | None = None
        self._connector: Any = None
        self._timeout: Any = None

    @property
    def host(self) -> bytes:
        """Value of the Host header."""
        return b"%s:%d" % (self.address[0].encode(), self.address[1])

    @property
    def transport(self) -> Any:
        """The transport of the connection; None while there is none."""
        return self._connection.transport if self._connection is not None else None

    def start(self) -> None:
        """Connects; the request follows by itself."""
        self._timeout = self.clock.callLater(CALL_TIMEOUT_S, self._handle_timeout)
        self._connector = self.clock.connectTCP(*self.address, self, timeout=CALL_TIMEOUT_S)

    def _handle_timeout(self) -> None:
        if not self.is_answered:
            self.abort()
            self.owner.call_ended(self)

    def abort(self) -> None:
        """Ends the call: resets its connection, or stops the connect."""
        if self.ended:
            return
        self._finish()
        if self._connection is not None:
            transport: Any = self._connection.transport
            transport.abortConnection()
        else:
            self._connector.stopConnecting()

    def _finish(self) -> None:
        self.ended = True
        if self._timeout.active():
            self._timeout.cancel()

    def buildProtocol(self, addr: IAddress | None) -> _EventStreamConnection:
        self._connection = _EventStreamConnection(self)
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._end()

    def connection_established(self) -> None:
        """Called when the request is written."""
        self.connected_at = float(self.clock.seconds())
        if not self.ended:
            self.owner.call_connected(self)

    def stream_received(self, events: list[ServerSentEvent]) -> None:
        """Called with the events that a part of the stream completes; none for a comment."""
        self.is_answered = True
        self.owner.stream_received(self)
        for event in events:
            if self.ended:
                return
            self.owner.event_received(self, event)

    def end_unreadable(self, error: ProtocolError) -> None:
        """Called when what came can't be read."""
        self.owner.call_unreadable(self, error)
        self.end_by_abort()

    def end_by_abort(self) -> None:
        """Resets the connection; the owner hears of the end once it is gone."""
        transport: Any = self.transport
        transport.abortConnection()

    def connection_lost(self) -> None:
        """Called when the connection has ended, for whatever reason."""
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self._finish()
            self.owner.call_ended(self)


class _EventStreamConnection(Protocol):
    """The connection of a call: sends the request and parses the event stream of the response."""

    def __init__(self, call: ChannelCall) -> None:
        self.call = call
        self._buffer = bytearray()
        self._chunks: ChunkedDecoder | None = None
        self._in_body = False
        self._interim_responses = 0
        self._events = EventStreamParser()

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        headers = ((b"Accept", b"text/event-stream"), (b"Last-Event-ID", b"%d" % self.call.cursor))
        transport.write(encode_request(b"GET", CHANNEL_PATH, self.call.host, headers))
        self.call.connection_established()

    def dataReceived(self, data: bytes) -> None:
        if self.call.ended:
            return
        try:
            self._read(data)
        except ProtocolError as error:
            self.call.end_unreadable(error)

    def _read(self, data: bytes) -> None:
        """Parses the response head, then delivers events; raises ``ProtocolError`` on unusable data."""
        self._buffer += data
        if not self._in_body and not self._read_head():
            return
        if self._chunks is not None:
            stream = self._chunks.decode(self._buffer)
        else:
            stream = bytes(self._buffer)
            self._buffer.clear()
        if stream:
            self.call.stream_received(self._events.feed(stream))
        if self._chunks is not None and self._chunks.complete and not self.call.ended:
            self.call.end_by_abort()

    def _read_head(self) -> bool:
        """Reads the head of the response, after those of interim ones; False if it is incomplete."""
        head = take_response_head(self._buffer)
        while head is not None and head.status < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise ProtocolError("too many interim responses")
            head = take_response_head(self._buffer)
        if head is None:
            return False
        if head.status != 200:
            raise ProtocolError(f"status {head.status}")
        self._in_body = True
        self._chunks = ChunkedDecoder() if is_chunked(head.headers) else None
        return True

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.call.connection_lost()
