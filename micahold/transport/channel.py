"""The command channel: server-sent events over one HTTP answer that lasts, resumed from the cursor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.event_stream import EventStream, ServerEvent
from micahold.protocol.http_messages import MOST_HEAD, ChunkReader, encode_request, is_chunked, parse_head

PATH = b"/cmd/next"
SILENCE_TIMEOUT_S = 2.5  # a comment comes each second: two missed in a row end the connection
CONNECT_S = 1.0
PAUSE_S, MAX_RECONNECT_DELAY_S = (
    0.05,
    0.4,
)  # between connections that fail or end soon; else the next is at once
STABLE_CONNECTION_S = 0.5
MOST_DIGITS = 18  # of an event's number


class _Stream(Protocol):
    """One connection of the channel."""

    def __init__(self, channel: CommandChannel) -> None:
        self.channel = channel
        self._kept = bytearray()
        self._chunks: ChunkReader | None = None
        self._in_body = False
        self._events = EventStream()
        self._silence: Any = None
        self.since = channel.clock.seconds()

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        headers = ((b"Accept", b"text/event-stream"), (b"Last-Event-ID", b"%d" % self.channel.cursor))
        transport.write(encode_request(b"GET", PATH, self.channel.host, headers))
        self._silence = self.channel.clock.callLater(SILENCE_TIMEOUT_S, self._silent)

    def dataReceived(self, data: bytes) -> None:
        self._silence.reset(SILENCE_TIMEOUT_S)
        try:
            self._read(data)
        except ProtocolError as problem:
            self.channel.log("channel_unreadable", error=str(problem))
            self.abort()

    def _read(self, data: bytes) -> None:
        self._kept += data
        if not self._in_body:
            end = self._kept.find(b"\r\n\r\n")
            if end > MOST_HEAD or (end < 0 and len(self._kept) > MOST_HEAD):
                raise ProtocolError("a head that is too long")
            if end < 0:
                return
            status, headers, _ = parse_head(bytes(self._kept[:end]))
            if status != 200:
                raise ProtocolError(f"status {status}")
            del self._kept[: end + 4]
            self._in_body = True
            self._chunks = ChunkReader() if is_chunked(headers) else None
        if self._chunks is not None:
            data = self._chunks.take(self._kept)
        else:
            data = bytes(self._kept)
            self._kept.clear()
        for event in self._events.feed(data):
            self.channel.heard(self, event)
        if self._chunks is not None and self._chunks.whole:
            self.abort()

    def _silent(self) -> None:
        self.channel.log("channel_silent")
        self.abort()

    def abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._silence is not None and self._silence.active():
            self._silence.cancel()
        self.channel.ended(self)


class CommandChannel(ClientFactory):
    """Keeps one stream up and tells of each event once, in order."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        address: tuple[str, int],
        cursor: int,
        tell: Callable[[bytes], bool],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.clock, self.address, self.cursor = clock, address, cursor
        self.tell, self.counters, self.log = tell, counters, log
        self._pause = 0.0
        self._stopped = False
        self._stream: _Stream | None = None
        self._connector: Any = None
        self._next: Any = None
        self._spoilt = -1  # number of the event that could not be read the last time

    @property
    def host(self) -> bytes:
        return b"%s:%d" % (self.address[0].encode(), self.address[1])

    def start(self) -> None:
        self._next = None
        self.counters.add("channel_connects")
        self._connector = self.clock.connectTCP(*self.address, self, timeout=CONNECT_S)

    def stop(self) -> None:
        self._stopped = True
        if self._next is not None and self._next.active():
            self._next.cancel()
        if self._stream is not None:
            self._stream.abort()

    def change_address(self, address: tuple[str, int]) -> None:
        """A new address: at once, on from the cursor; what the old connection still says is not heard.

        Guards against drains learned late: the old address may stay open and tell nothing more.
        """
        if address == self.address or self._stopped:
            return
        self.address, self._pause = address, 0.0
        self.counters.add("channel_moves")
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        elif self._next is not None:
            self._next.cancel()
        else:
            self._connector.stopConnecting()  # and with it the wait for the old address
            return
        self.start()

    def buildProtocol(self, addr: IAddress | None) -> _Stream:
        self._stream = _Stream(self)
        return self._stream

    def heard(self, stream: _Stream, event: ServerEvent) -> None:
        """Repeated and older events are passed over, and the number only moves forward.

        An event that can't be read is asked for once more: it may have been spoilt on its way.
        """
        if stream is not self._stream or not event.id.isdigit() or len(event.id) > MOST_DIGITS:
            return
        number = int(event.id)
        if number <= self.cursor:
            return
        if not self.tell(event.data) and number != self._spoilt:
            self._spoilt = number
            raise ProtocolError(f"event {number}")
        self.cursor = number
        self.counters.add("channel_events")

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._again()

    def ended(self, stream: _Stream) -> None:
        if stream is not self._stream:
            return  # left behind by a change of address
        self._stream = None
        if self.clock.seconds() - stream.since >= STABLE_CONNECTION_S:
            self._pause = 0.0
        self._again()

    def _again(self) -> None:
        if self._stopped:
            return
        self._next = self.clock.callLater(self._pause, self.start)
        self._pause = min(MAX_RECONNECT_DELAY_S, self._pause * 2 or PAUSE_S)
